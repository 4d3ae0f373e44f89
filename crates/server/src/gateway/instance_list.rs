//! The list of instances as stored in the store.

use std::collections::BTreeMap;

use savoryvane_core::{
    forwarding::{Cursor, reserves},
    ids::InstanceName,
};
use savoryvane_wire::peer::ListedPeer;

/// The listed instances, and up to which position the list is known.
#[derive(Debug, Default)]
pub(super) struct InstanceList {
    peers: BTreeMap<InstanceName, ListedPeer>,
    /// Instances that read the store when the scheduler cannot.
    reserves: Vec<InstanceName>,
    /// Position up to which the list is known.
    cursor: Cursor,
}

impl InstanceList {
    /// Returns the position up to which the list is known.
    pub(super) fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns whether the store was restored from a copy that lacks `instance`.
    pub(super) fn is_missing_in_copy(&self, instance: &InstanceName) -> bool {
        let listed = self.peer(instance);
        listed.is_some_and(|listed| listed.position.era < self.cursor.era)
    }

    /// Iterates over the instances, by name.
    pub(super) fn peers(&self) -> impl Iterator<Item = &ListedPeer> {
        self.peers.values()
    }

    /// Returns an instance by its name.
    pub(super) fn peer(&self, instance: &InstanceName) -> Option<&ListedPeer> {
        self.peers.get(instance)
    }

    /// Returns the instances that read the store when the scheduler cannot.
    pub(super) fn reserves(&self) -> &[InstanceName] {
        &self.reserves
    }

    /// Merges listed instances, after which the list is known up to `cursor`. Instances
    /// stay listed when they are gone. Returns whether any entry changed other than its
    /// position.
    pub(super) fn update(&mut self, peers: Vec<ListedPeer>, cursor: Cursor) -> bool {
        let mut has_changed = false;
        for peer in peers {
            let known = self.peers.get(&peer.instance);
            if known.is_some_and(|known| known.position >= peer.position) {
                continue;
            }
            let is_unchanged = known.is_some_and(|known| {
                let position = peer.position;
                let repositioned = ListedPeer {
                    position,
                    ..known.clone()
                };
                repositioned == peer
            });
            has_changed |= !is_unchanged;
            self.peers.insert(peer.instance.clone(), peer);
        }
        self.cursor = self.cursor.max(cursor);
        if has_changed {
            let peers = self.peers.values();
            self.reserves = reserves(peers.map(|peer| (&peer.instance, &peer.zone)));
        }
        has_changed
    }
}
