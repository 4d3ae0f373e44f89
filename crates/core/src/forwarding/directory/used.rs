//! The servers that an instance uses, and which of them get new requests.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::Directory;
use crate::{
    forwarding::{
        RoutingConfig, Service,
        entry::{ServerEntry, ServerState},
    },
    ids::{BackendName, PoolName, SoftwareVersion, ZoneName},
    objects::{Backend, Fencing, Pool, StageKind},
};

/// Minimum number of concurrent calls of a server.
const MIN_SLOTS: u32 = 1;

impl Directory {
    /// Iterates over the current runs that the instance uses.
    pub fn used_entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let entries = self.entries.values();
        entries.filter(|entry| self.used.has_server(&entry.registered_as))
    }

    /// Returns the number of servers of each service, of all that are kept.
    pub fn counts_by_service(&self) -> HashMap<PoolName, usize> {
        let mut counts = HashMap::new();
        for entry in self.entries.values() {
            *counts.entry(entry.service.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the pools and backend servers that the instance uses, for the fleet. Servers
    /// without a configured service are omitted.
    pub fn for_fleet(&self, config: &RoutingConfig) -> (Vec<Pool>, Vec<Backend>) {
        let pools: Vec<Pool> = config.services.iter().map(pool).collect();
        let known: HashSet<&PoolName> = config.services.iter().map(|s| &s.name).collect();
        let backends = self
            .used_entries()
            .filter(|entry| known.contains(&entry.service))
            .map(backend);
        (pools, backends.collect())
    }

    /// Returns the versions of the used servers' software, as far as they are known.
    pub fn software(&self) -> HashMap<BackendName, SoftwareVersion> {
        let versions = self.used_entries();
        let versions =
            versions.filter_map(|entry| Some((entry.id.clone(), entry.software.clone()?)));
        versions.collect()
    }

    /// Sets the evacuated availability zones.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneName>) {
        self.evacuated = zones;
    }

    /// Returns the evacuated availability zones.
    pub fn evacuated(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated
    }

    /// Tells whether a server gets no new requests: it is leaving, or its availability zone is
    /// evacuated.
    pub fn is_closed(&self, entry: &ServerEntry) -> bool {
        entry.state == ServerState::Leaving || self.evacuated.contains(&entry.zone)
    }

    /// Returns the used servers that get no new requests.
    pub fn closed(&self) -> HashSet<BackendName> {
        let closed = self.used_entries().filter(|entry| self.is_closed(entry));
        closed.map(|entry| entry.id.clone()).collect()
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
        slots: entry.slots.max(MIN_SLOTS),
    }
}
