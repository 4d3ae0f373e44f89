//! Which engines may have a prompt prefix in their cache.
//!
//! Cache events come late and with gaps, so that an entry is a hint: it earns
//! an engine a bounded bonus and never more.

use std::collections::{BTreeMap, HashMap};

use super::Fleet;
use crate::ids::BackendName;

/// Prefixes that are remembered.
const MOST_PREFIXES: usize = 4_096;
/// Engines that are remembered for each prefix, the latest first.
const MOST_HOLDERS: usize = 4;

/// Engines that may hold each prefix.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prefixes {
    holders: HashMap<u64, Entry>,
    /// Prefixes by the time of their last use, for forgetting the oldest.
    by_use: BTreeMap<u64, u64>,
    uses: u64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    used: u64,
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
        entry.backends.truncate(MOST_HOLDERS);
    }

    pub(crate) fn on_dropped(&mut self, prefix: u64, backend: &BackendName) {
        if let Some(entry) = self.holders.get_mut(&prefix) {
            entry.backends.retain(|known| known != backend);
        }
    }

    fn touch(&mut self, prefix: u64) {
        self.uses += 1;
        let entry = self.holders.entry(prefix).or_default();
        self.by_use.remove(&entry.used);
        entry.used = self.uses;
        self.by_use.insert(self.uses, prefix);
        if self.by_use.len() > MOST_PREFIXES
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.holders.remove(&oldest);
        }
    }
}

impl Fleet {
    /// Takes in that an engine has cached or dropped a prefix.
    pub fn on_cache_event(&mut self, backend: &BackendName, prefix: u64, cached: bool) {
        if cached {
            self.prefixes.on_cached(prefix, backend);
        } else {
            self.prefixes.on_dropped(prefix, backend);
        }
    }
}
