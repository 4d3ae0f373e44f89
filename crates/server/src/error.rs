//! The one error type of the entry instance.

use std::{io, net::SocketAddr, path::PathBuf};

use quick_error::quick_error;

use savoryvane_check::Problems;

quick_error! {
    /// Why an entry instance can't start or has to stop.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum Error {
        /// The settings file can't be read.
        Unreadable(path: PathBuf, err: io::Error) {
            display("{}: can't be read: {}", path.display(), err)
            source(err)
        }
        /// The settings are not valid; every problem is listed.
        Settings(problems: Problems) {
            display("{problems}")
        }
        /// An address can't be listened on.
        Listen(what: &'static str, addr: SocketAddr, err: io::Error) {
            display("can't listen for {what} on {addr}: {err}")
            source(err)
        }
        /// The operating system refused something that the process needs.
        System(what: &'static str, err: io::Error) {
            display("{what}: {err}")
            source(err)
        }
    }
}

/// Result of an operation of the entry instance.
pub type Result<T> = std::result::Result<T, Error>;
