//! Errors that prevent a soak from running.

use quick_error::quick_error;

quick_error! {
    /// Error that prevents a soak from running. A broken promise is not an error but a result.
    #[derive(Debug)]
    pub enum Error {
        /// A file, process or socket operation failed.
        Io(err: std::io::Error) {
            display("{err}")
            from()
        }
        /// A stand-in failed to start.
        Standin(err: savoryvane_standins::Error) {
            display("stand-in: {err}")
            from()
        }
        /// No free ports are left for instances.
        NoFreePorts {
            display("no free ports are left for instances")
        }
        /// The instances did not become ready in time.
        NotReady(message: String) {
            display("not ready in time: {message}")
        }
        /// A flag has an invalid value.
        InvalidFlag(message: String) {
            display("{message}")
        }
    }
}

/// Result of a soak operation.
pub(crate) type Result<T> = std::result::Result<T, Error>;
