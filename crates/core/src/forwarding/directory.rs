//! The backend servers that have registered themselves.

use std::{
    collections::{BTreeMap, HashSet},
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

/// The servers that are registered, by their identifiers.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<BackendName, ServerEntry>,
    /// Position in the register up to which its records are applied.
    position: u64,
    /// Servers that have left; an entry that was already on its way does not
    /// bring them back.
    left: HashSet<BackendName>,
}

/// Most servers that are remembered as having left.
const MOST_LEFT: usize = 4_096;

impl Directory {
    /// Returns the position up to which the register is applied.
    pub fn position(&self) -> u64 {
        self.position
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
        let Some(mut entry) = entry else {
            return self.entries.remove(id).is_some();
        };
        if self.left.contains(id) {
            entry.state = ServerState::Leaving;
        }
        if entry.state == ServerState::Leaving && self.left.len() < MOST_LEFT {
            self.left.insert(id.clone());
        }
        let changed = self.entries.get(id) != Some(&entry);
        self.entries.insert(id.clone(), entry);
        changed
    }

    /// Notes that a server says in an answer that it is leaving.
    pub fn on_leaving(&mut self, id: &BackendName) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let changed = entry.state != ServerState::Leaving;
        entry.state = ServerState::Leaving;
        self.left.insert(id.clone());
        changed
    }

    /// Notes that the register is applied up to `position`.
    pub fn advance(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// Replaces all entries by a whole listing that is good up to `position`.
    /// Returns whether anything changed.
    pub fn replace(&mut self, listing: Vec<ServerEntry>, position: u64) -> bool {
        let kept: HashSet<BackendName> = listing.iter().map(|entry| entry.id.clone()).collect();
        let before = self.entries.len();
        self.entries.retain(|id, _| kept.contains(id));
        let mut changed = self.entries.len() != before;
        for entry in listing {
            let id = entry.id.clone();
            changed |= self.apply(&id, Some(entry));
        }
        self.position = self.position.max(position);
        changed
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
