//! Where the events of an event stream (`text/event-stream`) end.
//!
//! A line ends with LF, CR or CRLF, and a blank line ends an event. A line that begins with
//! a colon is a comment, which belongs to no event.

const FIELD_ID: &[u8] = b"id:";

/// Position in an event stream, moved forward by the bytes of the stream.
#[derive(Clone, Debug, Default)]
pub struct EventPosition {
    line: Line,
    /// Whether the current event has a field already.
    has_fields: bool,
    events: u64,
}

/// Position in a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Before its first byte.
    #[default]
    Start,
    /// Before its first byte, but an LF still belongs to the end of the line before.
    StartAfterCr,
    Comment,
    Field,
}

impl EventPosition {
    /// Moves past `bytes`, and returns how many of them come before the last position that is
    /// [outside any event](Self::is_inside_event).
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut outside_len = 0;
        for (index, byte) in bytes.iter().enumerate() {
            self.advance_byte(*byte);
            if !self.is_inside_event() {
                outside_len = index + 1;
            }
        }
        outside_len
    }

    /// Returns whether an event or a comment has begun and has not ended.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || matches!(self.line, Line::Comment | Line::Field)
    }

    /// Returns the number of events that have ended.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Forgets the event that has begun and has not ended.
    pub fn discard_partial(&mut self) {
        self.line = Line::Start;
        self.has_fields = false;
    }

    fn advance_byte(&mut self, byte: u8) {
        self.line = match (byte, self.line) {
            (b'\n', Line::StartAfterCr) => Line::Start,
            (b'\n', _) => {
                self.end_line();
                Line::Start
            }
            (b'\r', _) => {
                self.end_line();
                Line::StartAfterCr
            }
            (b':', Line::Start | Line::StartAfterCr) => Line::Comment,
            (_, Line::Start | Line::StartAfterCr) => {
                self.has_fields = true;
                Line::Field
            }
            (_, Line::Comment | Line::Field) => self.line,
        };
    }

    fn end_line(&mut self) {
        let is_blank = matches!(self.line, Line::Start | Line::StartAfterCr);
        if is_blank && self.has_fields {
            self.has_fields = false;
            self.events += 1;
        }
    }
}

/// Returns the last event identifier in `events`, which are complete.
pub fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.find_map(|line| line.strip_prefix(FIELD_ID))?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
