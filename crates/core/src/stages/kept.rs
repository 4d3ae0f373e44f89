//! The results that servers keep, for the memory that they take there.

use std::collections::{HashMap, VecDeque};

use crate::ids::BackendName;

/// One result that a server keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Kept {
    pub(super) server: BackendName,
    pub(super) bytes: u64,
    /// Time at which the server drops it by itself, in ms.
    pub(super) dropped_at_ms: u64,
}

/// All results that are kept, by their names.
#[derive(Debug, Default)]
pub(super) struct KeptResults {
    kept: HashMap<String, Kept>,
    /// Names in the order in which they were made.
    oldest: VecDeque<String>,
}

impl KeptResults {
    pub(super) fn insert(&mut self, handle: &str, kept: Kept) {
        self.kept.insert(handle.to_owned(), kept);
        self.oldest.push_back(handle.to_owned());
    }

    /// Forgets a result, and returns the memory that it took.
    pub(super) fn remove(&mut self, handle: &str) -> u64 {
        self.kept.remove(handle).map_or(0, |kept| kept.bytes)
    }

    /// Takes out the results that their servers have dropped by now.
    pub(super) fn take_dropped(&mut self, now_ms: u64) -> Vec<Kept> {
        let mut dropped = Vec::new();
        while let Some(handle) = self.oldest.front() {
            match self.kept.get(handle) {
                Some(kept) if kept.dropped_at_ms > now_ms => break,
                Some(_) => dropped.extend(self.kept.remove(handle)),
                None => {}
            }
            self.oldest.pop_front();
        }
        dropped
    }
}
