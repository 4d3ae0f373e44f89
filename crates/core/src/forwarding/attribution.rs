//! What ties a response to the request for which it was received.
//!
//! A server may send a response a second time, at the point where the response to the next request
//! on the connection is expected. What such a head says, for example that the request was not run,
//! must not be believed of that request.

/// Request that a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedRequest {
    /// The one for which it was received.
    This,
    /// Another one.
    Another,
    /// None.
    None,
}

/// What a connection carried before a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionHistory {
    /// Nothing.
    New,
    /// Other requests, of which second copies of responses may arrive.
    Kept,
}

/// Whether a response belongs to the request for which it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// It does.
    Own,
    /// It belongs to another request.
    Foreign,
    /// Nothing ties it to the request.
    Untied,
}

impl Attribution {
    /// Judges a response by the request that it names and by what its connection carried before.
    pub fn of(named: NamedRequest, history: ConnectionHistory) -> Self {
        match (named, history) {
            (NamedRequest::This, _) | (NamedRequest::None, ConnectionHistory::New) => Self::Own,
            (NamedRequest::Another, _) => Self::Foreign,
            (NamedRequest::None, ConnectionHistory::Kept) => Self::Untied,
        }
    }
}

impl NamedRequest {
    /// Returns its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::This => "this",
            Self::Another => "another",
            Self::None => "none",
        }
    }
}

impl ConnectionHistory {
    /// Returns its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Kept => "kept",
        }
    }
}
