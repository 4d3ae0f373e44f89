//! What a backend server says of itself in the head of an answer.

use super::NamedLimit;

/// What one answer says of the server that gave it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSignals {
    /// Whether it is leaving.
    pub departure: Departure,
    /// How long it wants no requests from this instance.
    pub backoff: BackoffRequest,
    /// Requests a second that it takes from all instances together.
    pub limit: NamedLimit,
}

/// Whether an answer says that its server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It says nothing of it, or that it is not.
    None,
    /// It is leaving.
    Leaving,
    /// It says something that can't be read.
    Unreadable,
}

/// How long a server that rejected a request asks for no further ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffRequest {
    /// It does not ask.
    None,
    /// No requests for this time, in ms.
    ForMs(u64),
    /// It names a time that can't be read.
    Unreadable,
}
