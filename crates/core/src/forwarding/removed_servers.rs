//! Tracks servers that were removed from the register.

use std::collections::{HashMap, VecDeque};

use super::{Position, ServerEntry};
use crate::ids::BackendName;

/// Most tracked servers: an hour at one removal per second.
const MAX_REMOVED: usize = 4_096;

/// Removed servers, and the register position of each removal.
#[derive(Debug, Default)]
pub(super) struct RemovedServers {
    positions: HashMap<BackendName, Position>,
    /// The same servers in the order of their removal.
    order: VecDeque<BackendName>,
}

impl RemovedServers {
    /// Records a removal; returns whether no later one, nor the same, was known.
    pub(super) fn insert(&mut self, registered_as: &BackendName, at: Position) -> bool {
        if let Some(known) = self.positions.get_mut(registered_as) {
            let is_later = at > *known;
            *known = at.max(*known);
            return is_later;
        }
        self.positions.insert(registered_as.clone(), at);
        self.order.push_back(registered_as.clone());
        if self.order.len() > MAX_REMOVED
            && let Some(first) = self.order.pop_front()
        {
            self.positions.remove(&first);
        }
        true
    }

    /// Tells whether the server was removed after it wrote `entry`.
    pub(super) fn was_removed_after(&self, entry: &ServerEntry) -> bool {
        let removed_at = self.positions.get(&entry.registered_as);
        removed_at.is_some_and(|removed_at| entry.position < *removed_at)
    }

    pub(super) fn contains(&self, registered_as: &BackendName) -> bool {
        self.positions.contains_key(registered_as)
    }
}
