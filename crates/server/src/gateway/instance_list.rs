//! The list of instances as stored in the store.

use std::collections::BTreeMap;

use savoryvane_core::{
    forwarding::{CellLayout, Cursor, Scope, reserves},
    ids::InstanceName,
};
use savoryvane_wire::peer::{ListedLayout, ListedPeer};

/// The listed instances, and up to which position the list is known.
#[derive(Debug, Default)]
pub(super) struct InstanceList {
    peers: BTreeMap<InstanceName, ListedPeer>,
    /// Number of cells, if the list has one.
    layout: Option<ListedLayout>,
    /// Instances that read the store when the scheduler of the reading cell cannot.
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

    /// Iterates over the instances of one cell, by name.
    pub(super) fn peers_in(&self, cell: Scope) -> impl Iterator<Item = &ListedPeer> {
        let peers = self.peers.values();
        peers.filter(move |peer| cell.has_instance(&peer.instance))
    }

    /// Returns the number of cells as listed.
    pub(super) fn listed_layout(&self) -> Option<ListedLayout> {
        self.layout
    }

    /// Returns the number of cells: one until the list has another number.
    pub(super) fn layout(&self) -> CellLayout {
        self.layout
            .map_or(CellLayout::SINGLE, |listed| listed.layout)
    }

    /// Returns the instances that read the store when the scheduler of the reading cell cannot.
    pub(super) fn reserves(&self) -> &[InstanceName] {
        &self.reserves
    }

    /// Merges listed instances and the number of cells, after which the list is known up to
    /// `cursor`. Instances stay listed when they are gone. Returns whether anything changed
    /// other than positions.
    pub(super) fn update(
        &mut self,
        peers: Vec<ListedPeer>,
        layout: Option<ListedLayout>,
        cursor: Cursor,
    ) -> bool {
        let mut has_changed = self.update_layout(layout);
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
            let peers = self.peers_in(self.layout().reading_cell());
            self.reserves = reserves(peers.map(|peer| (&peer.instance, &peer.zone)));
        }
        has_changed
    }

    /// Returns whether the number of cells changed.
    fn update_layout(&mut self, listed: Option<ListedLayout>) -> bool {
        let Some(listed) = listed else {
            return false;
        };
        let known_at = self.layout.map(|known| known.position);
        if known_at.is_some_and(|known_at| known_at >= listed.position) {
            return false;
        }
        let before = self.layout();
        self.layout = Some(listed);
        self.layout() != before
    }
}
