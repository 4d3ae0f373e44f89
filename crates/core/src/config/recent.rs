//! The most recently applied records, for peers that missed some of them.

use std::collections::VecDeque;

use crate::{
    config::{ConfigRecord, Content, Received},
    ids::Offset,
};

/// Maximum number of retained records.
const MAX_RECORDS: usize = 32;

/// The most recently applied records, without gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentRecords {
    records: VecDeque<TimedRecord>,
}

#[derive(Clone, Debug)]
struct TimedRecord {
    at_ms: u64,
    record: Received,
}

impl RecentRecords {
    /// Adds the record that follows the last one.
    pub(crate) fn push(&mut self, at_ms: u64, record: &Received) {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        let record = without_items(record.clone());
        self.records.push_back(TimedRecord { at_ms, record });
    }

    /// Removes all records, after records were skipped.
    pub(crate) fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns the records from an offset on, or none if that offset is not retained.
    pub(crate) fn copy_from(&self, now_ms: u64, from: Offset) -> Vec<Received> {
        let is_retained = self
            .records
            .front()
            .is_some_and(|timed_record| timed_record.record.offset <= from);
        let requested = self
            .records
            .iter()
            .filter(|timed_record| timed_record.record.offset >= from);
        let aged = |timed_record: &TimedRecord| Received {
            age_ms: timed_record.record.age_ms + now_ms.saturating_sub(timed_record.at_ms),
            ..timed_record.record.clone()
        };
        requested.filter(|_| is_retained).map(aged).collect()
    }
}

/// Removes the items of a checkpoint part. Peers do not need them, because a part only
/// advances the offset of the state.
pub(crate) fn without_items(mut record: Received) -> Received {
    if let Content::Record(ConfigRecord::Checkpoint(part)) = &mut record.content {
        part.items.clear();
    }
    record
}
