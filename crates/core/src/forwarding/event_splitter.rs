//! Splits an event stream into parts that can be forwarded.

use bytes::{Bytes, BytesMut};

use super::event_stream::EventPosition;

/// Largest event that is held back until it is complete, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Which bytes of a stream are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holding {
    /// None.
    Nothing,
    /// Those of the event that has begun, until it is complete.
    PartialEvents,
    /// None until the event that has begun is complete, since it is too large.
    NothingUntilEventEnd,
}

/// Where another server can resume a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumePoint<'a> {
    /// At its start: no event has been forwarded.
    Start,
    /// After the event with this identifier, the last one forwarded.
    After(&'a str),
    /// Nowhere: it is not resumable, or what has been forwarded can't be named.
    None,
}

/// Splits a stream into parts that can be forwarded.
#[derive(Debug)]
pub struct EventSplitter {
    holding: Holding,
    /// Bytes held back.
    held: BytesMut,
    /// Position after all bytes received.
    position: EventPosition,
}

impl EventSplitter {
    /// Creates the splitter of a stream. Only a resumable stream is split between events.
    pub fn new(is_resumable: bool) -> Self {
        Self {
            holding: if is_resumable {
                Holding::PartialEvents
            } else {
                Holding::Nothing
            },
            held: BytesMut::new(),
            position: EventPosition::default(),
        }
    }

    /// Adds the next bytes of the stream, and returns those that can be forwarded.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        let outside_len = self.position.advance(&bytes);
        match self.holding {
            Holding::Nothing => bytes,
            Holding::PartialEvents => self.push_held(&bytes, outside_len),
            Holding::NothingUntilEventEnd if outside_len == 0 => bytes,
            Holding::NothingUntilEventEnd => {
                self.holding = Holding::PartialEvents;
                self.held.extend_from_slice(&bytes[outside_len..]);
                bytes.slice(..outside_len)
            }
        }
    }

    /// Returns the number of bytes held back if `added` more arrive and no event ends in them.
    pub fn held_bytes_with(&self, added: usize) -> usize {
        match self.holding {
            Holding::PartialEvents => self.held.len() + added,
            Holding::Nothing | Holding::NothingUntilEventEnd => 0,
        }
    }

    /// Stops holding the event that has begun back, and returns what is held of it. No other
    /// server can resume the stream until that event is complete.
    pub fn release_partial(&mut self) -> Bytes {
        if self.holding == Holding::PartialEvents && !self.held.is_empty() {
            self.holding = Holding::NothingUntilEventEnd;
        }
        std::mem::take(&mut self.held).freeze()
    }

    /// Returns the position after all bytes received.
    pub fn position(&self) -> &EventPosition {
        &self.position
    }

    /// Returns where another server can resume the stream.
    pub fn resume_point(&self) -> ResumePoint<'_> {
        match (self.holding, self.position.last_id()) {
            (Holding::Nothing | Holding::NothingUntilEventEnd, _) => ResumePoint::None,
            (_, Some(id)) => ResumePoint::After(id),
            (_, None) if self.position.events() == 0 => ResumePoint::Start,
            (_, None) => ResumePoint::None,
        }
    }

    /// Drops what is held back, before another server resumes the stream.
    pub fn discard_partial(&mut self) {
        self.held.clear();
        self.position.discard_partial();
    }

    fn push_held(&mut self, bytes: &[u8], outside_len: usize) -> Bytes {
        let held_len = self.held.len();
        self.held.extend_from_slice(bytes);
        if outside_len > 0 {
            // The rest gets a buffer of its own, so that it does not keep that of a large event.
            let rest = BytesMut::from(&bytes[outside_len..]);
            let mut complete = std::mem::replace(&mut self.held, rest);
            complete.truncate(held_len + outside_len);
            return complete.freeze();
        }
        if self.held.len() <= MAX_EVENT_BYTES {
            return Bytes::new();
        }
        self.release_partial()
    }
}
