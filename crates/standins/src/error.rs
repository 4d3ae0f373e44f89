//! The one error type of this package.

use std::{io, net::SocketAddr};

use quick_error::quick_error;

quick_error! {
    /// What can go wrong in a stand-in.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum Error {
        /// A socket failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("input or output failed: {}", err)
        }
        /// An address could not be listened on.
        Bind(addr: SocketAddr, err: io::Error) {
            source(err)
            display("cannot listen on {}: {}", addr, err)
        }
        /// An HTTP exchange failed.
        Http(err: hyper::Error) {
            from()
            source(err)
            display("HTTP exchange failed: {}", err)
        }
        /// A request could not be built.
        Request(err: http::Error) {
            from()
            source(err)
            display("request cannot be built: {}", err)
        }
        /// A JSON body could not be read or written.
        Json(err: serde_json::Error) {
            from()
            source(err)
            display("JSON body not understood: {}", err)
        }
        /// A body was larger than allowed.
        TooLarge(limit_bytes: usize) {
            display("body larger than {} bytes", limit_bytes)
        }
        /// A server answered with an unexpected status.
        Status(status: http::StatusCode, body: String) {
            display("answered {}: {}", status, body)
        }
        /// A command-line argument made no sense.
        Argument(what: String) {
            display("{}", what)
        }
    }
}

/// Result with this package's error.
pub type Result<T> = std::result::Result<T, Error>;
