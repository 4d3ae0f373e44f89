//! What one read of a topic of the store gave.

use savoryvane_core::forwarding::{Cursor, Position};
use savoryvane_platform::store::Record;

/// What a read of a topic gave.
pub(super) struct Batch {
    pub(super) records: Vec<Record>,
    /// Whether it is the newest of every key and not what has changed.
    pub(super) is_whole: bool,
    /// Era of the store that they are of.
    pub(super) era: u64,
    /// Offset up to which the topic is known after it.
    pub(super) next: u64,
}

impl Batch {
    /// Returns how far the topic is known after it where it was known up to `before`.
    pub(super) fn cursor(&self, before: Cursor) -> Cursor {
        before.advanced_to(self.era, self.next)
    }

    /// Returns the position of one of its records.
    pub(super) fn position(&self, record: &Record) -> Position {
        Position {
            era: self.era,
            offset: record.offset,
        }
    }
}
