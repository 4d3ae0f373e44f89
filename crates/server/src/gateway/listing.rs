//! The list of instances as the store has it.

use std::collections::BTreeMap;

use savoryvane_core::{forwarding::reserves, ids::InstanceName};
use savoryvane_wire::peer::ListedPeer;

/// The instances that are listed, and how far the list is known.
#[derive(Debug, Default)]
pub(super) struct Listing {
    peers: BTreeMap<InstanceName, ListedPeer>,
    /// Those that read the store where the one that schedules can't.
    reserves: Vec<InstanceName>,
    /// Position up to which the list is known.
    position: u64,
}

impl Listing {
    /// Returns the position up to which the list is known, 0 before any of it is.
    pub(super) fn position(&self) -> u64 {
        self.position
    }

    /// Iterates over the instances, by name.
    pub(super) fn peers(&self) -> impl Iterator<Item = &ListedPeer> {
        self.peers.values()
    }

    /// Returns an instance by its name.
    pub(super) fn peer(&self, instance: &InstanceName) -> Option<&ListedPeer> {
        self.peers.get(instance)
    }

    /// Returns those that read the store where the one that schedules can't.
    pub(super) fn reserves(&self) -> &[InstanceName] {
        &self.reserves
    }

    /// Takes over what is listed, after which the list is known up to `position`.
    /// Instances stay listed when they are gone. Returns whether anything changed.
    pub(super) fn update(&mut self, peers: Vec<ListedPeer>, position: u64) -> bool {
        let mut has_changed = false;
        for peer in peers {
            let known = self.peers.get(&peer.instance);
            if known.is_some_and(|known| known.position >= peer.position) {
                continue;
            }
            let says_the_same = known.is_some_and(|known| {
                let position = peer.position;
                let moved = ListedPeer {
                    position,
                    ..known.clone()
                };
                moved == peer
            });
            has_changed |= !says_the_same;
            self.peers.insert(peer.instance.clone(), peer);
        }
        self.position = self.position.max(position);
        if has_changed {
            let peers = self.peers.values();
            self.reserves = reserves(peers.map(|peer| (&peer.instance, &peer.zone)));
        }
        has_changed
    }
}
