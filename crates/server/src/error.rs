//! The one error type of the entry instance.

use std::{io, net::SocketAddr, path::PathBuf};

use quick_error::quick_error;

use crate::settings::Fault;

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
        /// The settings are not valid; every fault is listed.
        Settings(path: PathBuf, faults: Vec<Fault>) {
            display("{}", list_faults(path, faults))
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

fn list_faults(path: &std::path::Path, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults
        .iter()
        .map(|fault| format!("{}: {fault}", path.display()))
        .collect();
    lines.join("\n")
}
