//! Signals of a backend server about itself, from the headers of a response.

use super::{Brittleness, NamedLimit};

/// Signals in one response about the server that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSignals {
    /// Whether it is leaving.
    pub departure: Departure,
    /// Backoff that it requests from this instance.
    pub backoff: BackoffRequest,
    /// Rate limit that it announces for all instances together.
    pub limit: NamedLimit,
    /// Whether it fails when it has to reject too many requests.
    pub brittleness: Brittleness,
}

/// Whether a response says that its server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It is not, or the response does not say.
    None,
    /// It is leaving.
    Leaving,
    /// The value can't be parsed.
    Unreadable,
}

/// Backoff that a server requests when it rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffRequest {
    /// It requests none.
    None,
    /// It requests no traffic for this time, in ms.
    ForMs(u64),
    /// The value can't be parsed.
    Unreadable,
}
