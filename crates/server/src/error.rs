//! Error type of this crate.

use std::{io, net::SocketAddr, path::PathBuf};

use quick_error::quick_error;

use savoryvane_check::Problems;

quick_error! {
    /// Error that keeps an instance from starting or ends the process.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum Error {
        /// The settings file can't be read.
        Unreadable(path: PathBuf, err: io::Error) {
            display("{}: can't be read: {}", path.display(), err)
            source(err)
        }
        /// The settings are not valid; the error lists every problem.
        Settings(problems: Problems) {
            display("{problems}")
        }
        /// The instance can't listen on an address.
        Listen(purpose: &'static str, addr: SocketAddr, err: io::Error) {
            display("can't listen for {purpose} on {addr}: {err}")
            source(err)
        }
        /// A call to the operating system failed.
        System(what: &'static str, err: io::Error) {
            display("{what}: {err}")
            source(err)
        }
    }
}

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
