//! Tracks the engines that may have a prompt prefix in their cache.
//!
//! Cache events arrive late and incompletely, so an entry is only a hint: it
//! gives an engine a bounded bonus.

use std::collections::{BTreeMap, HashMap};

use super::Fleet;
use crate::ids::BackendName;

/// Maximum number of tracked prefixes.
const MAX_PREFIXES: usize = 4_096;
/// Maximum number of engines tracked for each prefix, the most recent first.
const MAX_HOLDERS: usize = 4;

/// Engines that may have each prefix cached.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prefixes {
    holders: HashMap<u64, PrefixEntry>,
    /// Prefixes by their last use, for evicting the least recently used.
    prefixes_by_last_use: BTreeMap<u64, u64>,
    use_counter: u64,
}

#[derive(Clone, Debug, Default)]
struct PrefixEntry {
    last_use: u64,
    backends: Vec<BackendName>,
}

impl Prefixes {
    pub(crate) fn holders(&self, prefix: u64) -> &[BackendName] {
        self.holders
            .get(&prefix)
            .map_or(&[], |entry| &entry.backends)
    }

    pub(crate) fn on_cached(&mut self, prefix: u64, backend: &BackendName) {
        self.touch(prefix);
        let entry = self.holders.entry(prefix).or_default();
        entry.backends.retain(|known| known != backend);
        entry.backends.insert(0, backend.clone());
        entry.backends.truncate(MAX_HOLDERS);
    }

    pub(crate) fn on_dropped(&mut self, prefix: u64, backend: &BackendName) {
        if let Some(entry) = self.holders.get_mut(&prefix) {
            entry.backends.retain(|known| known != backend);
        }
    }

    fn touch(&mut self, prefix: u64) {
        self.use_counter += 1;
        let entry = self.holders.entry(prefix).or_default();
        self.prefixes_by_last_use.remove(&entry.last_use);
        entry.last_use = self.use_counter;
        self.prefixes_by_last_use.insert(self.use_counter, prefix);
        if self.prefixes_by_last_use.len() > MAX_PREFIXES
            && let Some((_, oldest)) = self.prefixes_by_last_use.pop_first()
        {
            self.holders.remove(&oldest);
        }
    }
}

impl Fleet {
    /// Records that an engine has cached or dropped a prefix.
    pub fn on_cache_event(&mut self, backend: &BackendName, prefix: u64, cached: bool) {
        if cached {
            self.prefixes.on_cached(prefix, backend);
        } else {
            self.prefixes.on_dropped(prefix, backend);
        }
    }
}
