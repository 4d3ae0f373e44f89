//! The result of one read of a store topic.

use savoryvane_core::forwarding::{Cursor, Position};
use savoryvane_platform::store::Record;
use tokio::time::Instant;

/// The result of one read of a store topic.
pub(super) struct Batch {
    pub(super) records: Vec<Record>,
    /// Whether `records` holds the latest record of every key rather than the changes
    /// since a position.
    pub(super) is_snapshot: bool,
    /// Era of the store that the records belong to.
    pub(super) era: u64,
    /// Offset up to which the topic is known after the read.
    pub(super) next: u64,
    /// Time at which the last call of the read was sent.
    pub(super) sent_at: Instant,
}

impl Batch {
    /// Returns the topic's cursor after this read, given the cursor `before` it.
    pub(super) fn cursor(&self, before: Cursor) -> Cursor {
        before.advanced_to(self.era, self.next)
    }

    /// Returns the position of one of the records.
    pub(super) fn position(&self, record: &Record) -> Position {
        Position {
            era: self.era,
            offset: record.offset,
        }
    }
}
