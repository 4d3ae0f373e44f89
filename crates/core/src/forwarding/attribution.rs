//! What ties a response to the request for which it was received.
//!
//! A server may send a response a second time, at the point where the response to the next request
//! on the connection is expected. What such a head says, for example that the request was not run,
//! must not be believed of that request.

/// How a status line begins, up to the minor version.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
/// Digits of a status code.
const STATUS_DIGITS: usize = 3;

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

/// Returns whether a reason phrase or header value holds a status line: a head that stopped midway
/// takes the next one on the connection into its last line.
pub fn holds_status_line(text: &[u8]) -> bool {
    let mut positions = text.windows(STATUS_LINE_START.len()).enumerate();
    positions.any(|(start, window)| {
        let rest = &text[start + STATUS_LINE_START.len()..];
        window == STATUS_LINE_START && is_minor_version_and_status(rest)
    })
}

/// Returns whether `text` begins like `1 200`, what follows the start of a status line.
fn is_minor_version_and_status(text: &[u8]) -> bool {
    match text {
        [minor, b' ', status @ ..] => {
            minor.is_ascii_digit()
                && status.len() >= STATUS_DIGITS
                && status[..STATUS_DIGITS].iter().all(u8::is_ascii_digit)
        }
        _ => false,
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
