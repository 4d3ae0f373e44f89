//! Signals of a backend server about itself, from the head of an answer.

use super::NamedLimit;

/// Signals in one answer about the server that gave it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSignals {
    /// Whether it is leaving.
    pub departure: Departure,
    /// Backoff that it requests from this instance.
    pub backoff: BackoffRequest,
    /// Requests a second that it takes from all instances together.
    pub limit: NamedLimit,
}

/// Whether an answer says that its server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It is not, or the answer does not say.
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
    /// No requests for this time, in ms.
    ForMs(u64),
    /// The value can't be parsed.
    Unreadable,
}
