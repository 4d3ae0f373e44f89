//! The last records applied, for peers that missed a few.

use std::collections::VecDeque;

use crate::{
    config::{ConfigRecord, Content, Received},
    ids::Offset,
};

/// Most records that are kept.
const MAX_RECENT: usize = 32;

/// The last records applied, without a gap.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    records: VecDeque<Arrived>,
}

#[derive(Clone, Debug)]
struct Arrived {
    at_ms: u64,
    record: Received,
}

impl Recent {
    /// Adds the record that follows the last one.
    pub(crate) fn push(&mut self, at_ms: u64, record: &Received) {
        if self.records.len() == MAX_RECENT {
            self.records.pop_front();
        }
        let record = without_items(record.clone());
        self.records.push_back(Arrived { at_ms, record });
    }

    /// Forgets everything, when records were skipped.
    pub(crate) fn clear(&mut self) {
        self.records.clear();
    }

    /// Copies the records from an offset on; none when that one is not kept.
    pub(crate) fn copy_from(&self, now_ms: u64, from: Offset) -> Vec<Received> {
        let is_kept = self
            .records
            .front()
            .is_some_and(|x| x.record.offset <= from);
        let wanted = self.records.iter().filter(|x| x.record.offset >= from);
        let aged = |arrived: &Arrived| Received {
            age_ms: arrived.record.age_ms + now_ms.saturating_sub(arrived.at_ms),
            ..arrived.record.clone()
        };
        wanted.filter(|_| is_kept).map(aged).collect()
    }
}

/// Leaves out what no peer needs: a part of a checkpoint only takes up its
/// offset in the state.
pub(crate) fn without_items(mut record: Received) -> Received {
    if let Content::Record(ConfigRecord::Checkpoint(part)) = &mut record.content {
        part.items.clear();
    }
    record
}
