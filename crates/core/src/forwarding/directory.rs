//! The backend servers that have registered themselves.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet, VecDeque},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use super::{RoutingConfig, Service};
use crate::{
    ids::{BackendName, PoolName, ZoneName},
    objects::{Backend, Fencing, Pool, StageKind},
};

/// Calls that a server takes where its service says nothing of it.
const DEFAULT_SLOTS: u32 = 1;

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It is leaving and takes nothing new.
    Leaving,
}

/// One run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Identifier of the run; a restarted server has another one.
    pub id: BackendName,
    /// Service that it belongs to.
    pub service: PoolName,
    /// Address that it serves on; another run may have it later.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// What it says of itself.
    pub state: ServerState,
}

/// What a directory tells one that has an earlier revision of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// All its servers.
    Whole(Vec<ServerEntry>),
    /// Those that changed: what they say of themselves, or none once gone.
    Changes(Vec<(BackendName, Option<ServerEntry>)>),
}

/// The servers that are registered, by their identifiers.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<BackendName, ServerEntry>,
    /// Number of changes that were made to it.
    revision: u64,
    /// Servers that changed lately, with the revisions that they led to.
    changes: VecDeque<(u64, BackendName)>,
    /// Servers that have left; an entry that was already on its way does not
    /// bring them back.
    left: HashSet<BackendName>,
}

/// Most servers that are remembered as having left.
const MOST_LEFT: usize = 4_096;
/// Changes that are remembered, so that others can be told them alone.
const MOST_CHANGES: usize = 1_024;

impl Directory {
    /// Returns the number of changes that were made to it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Tells whether it has no server.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the servers in the order of their identifiers.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.entries.values()
    }

    /// Returns a server by its identifier.
    pub fn entry(&self, id: &BackendName) -> Option<&ServerEntry> {
        self.entries.get(id)
    }

    /// Applies one record of the register: what a server says of itself, or
    /// none once it is gone. Returns whether anything changed.
    pub fn apply(&mut self, id: &BackendName, entry: Option<ServerEntry>) -> bool {
        let has_changed = match entry {
            None => self.entries.remove(id).is_some(),
            Some(entry) => self.put(id, entry),
        };
        if has_changed {
            self.note_change(id);
        }
        has_changed
    }

    fn put(&mut self, id: &BackendName, mut entry: ServerEntry) -> bool {
        if self.left.contains(id) {
            entry.state = ServerState::Leaving;
        }
        if entry.state == ServerState::Leaving && self.left.len() < MOST_LEFT {
            self.left.insert(id.clone());
        }
        if self.entries.get(id) == Some(&entry) {
            return false;
        }
        self.entries.insert(id.clone(), entry);
        true
    }

    fn note_change(&mut self, id: &BackendName) {
        self.revision += 1;
        self.changes.push_back((self.revision, id.clone()));
        if self.changes.len() > MOST_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Notes that a server says in an answer that it is leaving.
    pub fn on_leaving(&mut self, id: &BackendName) -> bool {
        let Some(mut entry) = self.entries.get(id).cloned() else {
            return false;
        };
        entry.state = ServerState::Leaving;
        self.apply(id, Some(entry))
    }

    /// Replaces all entries by a whole listing. Returns whether anything
    /// changed.
    pub fn replace(&mut self, listing: Vec<ServerEntry>) -> bool {
        let listed: HashSet<&BackendName> = listing.iter().map(|entry| &entry.id).collect();
        let gone = self.entries.keys().filter(|id| !listed.contains(id));
        let gone: Vec<BackendName> = gone.cloned().collect();
        let before = self.revision;
        for id in gone {
            self.apply(&id, None);
        }
        for entry in listing {
            let id = entry.id.clone();
            self.apply(&id, Some(entry));
        }
        self.revision != before
    }

    /// Takes over what another instance tells of its directory. Returns whether
    /// anything changed.
    pub fn update(&mut self, update: DirectoryUpdate) -> bool {
        match update {
            DirectoryUpdate::Whole(listing) => self.replace(listing),
            DirectoryUpdate::Changes(changes) => {
                let before = self.revision;
                for (id, entry) in changes {
                    self.apply(&id, entry);
                }
                self.revision != before
            }
        }
    }

    /// Returns what has changed since the revision `since`, or everything when
    /// that is unknown or too long ago.
    pub fn update_since(&self, since: Option<u64>) -> DirectoryUpdate {
        let oldest = self.changes.front().map_or(self.revision, |(at, _)| at - 1);
        let since = since.filter(|since| (oldest..=self.revision).contains(since));
        let Some(since) = since else {
            return DirectoryUpdate::Whole(self.entries.values().cloned().collect());
        };
        let changed: BTreeSet<&BackendName> = self
            .changes
            .iter()
            .filter(|(at, _)| *at > since)
            .map(|(_, id)| id)
            .collect();
        let changes = changed
            .into_iter()
            .map(|id| (id.clone(), self.entries.get(id).cloned()));
        DirectoryUpdate::Changes(changes.collect())
    }

    /// Returns the pools and backend servers that the fleet is to know. Pools
    /// without a configured service are left out with their servers.
    pub fn for_fleet(&self, config: &RoutingConfig) -> (Vec<Pool>, Vec<Backend>) {
        let pools: Vec<Pool> = config.services.iter().map(pool).collect();
        let known: HashSet<&PoolName> = config.services.iter().map(|s| &s.name).collect();
        let backends = self
            .entries
            .values()
            .filter(|entry| known.contains(&entry.service))
            .map(backend);
        (pools, backends.collect())
    }

    /// Returns the servers that are leaving.
    pub fn leaving(&self) -> HashSet<BackendName> {
        self.entries
            .values()
            .filter(|entry| entry.state == ServerState::Leaving)
            .map(|entry| entry.id.clone())
            .collect()
    }
}

fn pool(service: &Service) -> Pool {
    Pool {
        name: service.name.clone(),
        kind: match (service.engine, service.batching) {
            (Some(_), _) => StageKind::Generate,
            (None, _) => StageKind::Call,
        },
        price_micros_per_s: 0,
        fencing: Fencing::Ignored,
    }
}

fn backend(entry: &ServerEntry) -> Backend {
    Backend {
        name: entry.id.clone(),
        pool: entry.service.clone(),
        zone: entry.zone.clone(),
        addr: entry.addr,
        slots: entry.slots.max(DEFAULT_SLOTS),
    }
}
