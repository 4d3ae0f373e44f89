//! Whether a response body is complete, once it has ended without an error of its connection.

use super::event_stream::EventPosition;

/// What marks the end of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Its length is announced.
    Length,
    /// Its last chunk.
    Chunked,
    /// The end of the connection, which looks the same if the server broke the body off.
    Connection,
}

impl Framing {
    /// Returns its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}

/// What is known about a body that has ended without an error of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// It is complete.
    Complete,
    /// It ended with its connection, and nothing in it shows whether it is complete.
    Unmarked,
    /// The server broke it off.
    Truncated,
}

impl BodyEnd {
    /// Judges an event stream by its last position.
    ///
    /// A stream without any event is complete only if its framing says so: a server that has
    /// run a request has at least one event for it.
    pub fn of_stream(framing: Framing, position: &EventPosition) -> Self {
        let end = Self::of_body(framing);
        let has_events = position.events() > 0;
        if position.is_inside_event() || (end == Self::Unmarked && !has_events) {
            return Self::Truncated;
        }
        end
    }

    /// Judges a whole body like [`of_body`](Self::of_body).
    ///
    /// Without any content and framing, a server that stopped right after the head looks the same
    /// as one that has nothing to say, and nothing of a response has shown.
    pub fn of_whole_body(framing: Framing, is_empty: bool) -> Self {
        match Self::of_body(framing) {
            Self::Unmarked if is_empty => Self::Truncated,
            end => end,
        }
    }

    /// Judges a body whose content has no end mark of its own.
    pub fn of_body(framing: Framing) -> Self {
        match framing {
            Framing::Length | Framing::Chunked => Self::Complete,
            Framing::Connection => Self::Unmarked,
        }
    }
}
