//! What ties a response to the request for which it was received.

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
