//! Why a soak can't be run.

use quick_error::quick_error;

quick_error! {
    /// Why a soak can't be run; a broken promise is no such reason.
    #[derive(Debug)]
    pub enum Error {
        /// A file, process or socket can't be had.
        Io(err: std::io::Error) {
            display("{err}")
            from()
        }
        /// A stand-in can't be started.
        Standin(err: savoryvane_standins::Error) {
            display("stand-in: {err}")
            from()
        }
        /// No ports are left for instances.
        NoFreePorts {
            display("no ports are left for instances")
        }
        /// The instances did not become ready.
        NotReady(message: String) {
            display("not ready in time: {message}")
        }
        /// The command line asks for something that there is not.
        InvalidFlag(message: String) {
            display("{message}")
        }
    }
}

/// Result of a step of the soak.
pub(crate) type Result<T> = std::result::Result<T, Error>;
