//! Where the events of an event stream (`text/event-stream`) end.
//!
//! A line ends with LF, CR or CRLF, and a blank line ends an event. A line that begins with
//! a colon is a comment, which belongs to no event.

const ID_FIELD: &[u8] = b"id:";
/// Longest event identifier that is kept, in bytes; a longer one counts as none.
const MAX_ID_BYTES: usize = 1_024;

/// Position in an event stream, moved forward by the bytes of the stream.
#[derive(Clone, Debug, Default)]
pub struct EventPosition {
    line: Line,
    /// Whether the current event has a field already.
    has_fields: bool,
    /// Identifier of the current event, as far as it has been read.
    id: Option<Vec<u8>>,
    /// Identifier of the last event that has ended.
    last_id: Option<String>,
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
    /// After this many bytes of [`ID_FIELD`].
    IdField(usize),
    /// In the value of the identifier.
    Id,
    OtherField,
}

impl EventPosition {
    /// Moves past `bytes`, and returns how many of them come before the last position that is
    /// [outside any event](Self::is_inside_event).
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut outside_len = 0;
        for (index, byte) in bytes.iter().enumerate() {
            self.line = self.next_line(*byte);
            if !self.is_inside_event() {
                outside_len = index + 1;
            }
        }
        outside_len
    }

    /// Returns whether an event or a comment has begun and has not ended.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || !matches!(self.line, Line::Start | Line::StartAfterCr)
    }

    /// Returns the number of events that have ended.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the identifier of the last event that has ended, if that event has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Forgets the event that has begun and has not ended.
    pub fn discard_partial(&mut self) {
        self.line = Line::Start;
        self.has_fields = false;
        self.id = None;
    }

    fn next_line(&mut self, byte: u8) -> Line {
        match (byte, self.line) {
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
                self.next_in_field_name(byte, 0)
            }
            (_, Line::IdField(matched)) => self.next_in_field_name(byte, matched),
            (_, Line::Id) => self.next_in_id(byte),
            (_, Line::Comment | Line::OtherField) => self.line,
        }
    }

    fn next_in_field_name(&mut self, byte: u8, matched: usize) -> Line {
        if ID_FIELD.get(matched) != Some(&byte) {
            return Line::OtherField;
        }
        if matched + 1 < ID_FIELD.len() {
            return Line::IdField(matched + 1);
        }
        self.id = Some(Vec::new());
        Line::Id
    }

    fn next_in_id(&mut self, byte: u8) -> Line {
        match &mut self.id {
            Some(id) if id.len() < MAX_ID_BYTES => {
                id.push(byte);
                Line::Id
            }
            _ => {
                self.id = None;
                Line::OtherField
            }
        }
    }

    fn end_line(&mut self) {
        let is_blank = matches!(self.line, Line::Start | Line::StartAfterCr);
        if is_blank && self.has_fields {
            self.has_fields = false;
            self.events += 1;
            self.last_id = self.id.take().and_then(decode_id);
        }
    }
}

/// Decodes an identifier; one that is empty or that a header can't carry counts as none.
fn decode_id(bytes: Vec<u8>) -> Option<String> {
    let id = bytes.trim_ascii();
    let is_usable = !id.is_empty()
        && id
            .iter()
            .all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    is_usable.then(|| String::from_utf8_lossy(id).into_owned())
}
