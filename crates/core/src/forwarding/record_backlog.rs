//! Records of streams that wait to be stored, for instances that start after all were lost.

use std::collections::{HashSet, VecDeque};

use super::stream_records::{StreamKey, StreamRecord};

/// Most records that wait; beyond it, the earliest are dropped: their callers are the first ones
/// that can no longer come back.
const MAX_WAITING: usize = 4_096;

/// Records that wait to be stored, each stream once.
#[derive(Debug, Default)]
pub struct RecordBacklog {
    waiting: VecDeque<StreamRecord>,
    keys: HashSet<StreamKey>,
}

impl RecordBacklog {
    /// Returns whether no record waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a record; returns how many others had to be dropped.
    pub fn push(&mut self, record: StreamRecord) -> usize {
        if !self.keys.insert(record.key.clone()) {
            return 0;
        }
        self.waiting.push_back(record);
        let mut dropped = 0;
        while self.waiting.len() > MAX_WAITING {
            dropped += usize::from(self.pop().is_some());
        }
        dropped
    }

    /// Takes up to `count` records, the earliest first.
    pub fn take(&mut self, count: usize) -> Vec<StreamRecord> {
        let mut taken = Vec::new();
        while taken.len() < count
            && let Some(record) = self.pop()
        {
            taken.push(record);
        }
        taken
    }

    fn pop(&mut self) -> Option<StreamRecord> {
        let record = self.waiting.pop_front()?;
        self.keys.remove(&record.key);
        Some(record)
    }
}
