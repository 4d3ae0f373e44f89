//! Chooses the instances through which an instance connects to a backend server that it does not
//! reach itself.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{InstanceName, ZoneName};

/// Most instances of one availability zone that are tried for a connection. The whole zone may be
/// cut off from the servers.
const MAX_PER_ZONE: usize = 2;
/// Most instances that are tried for a connection.
const MAX_RELAYS: usize = 4;
/// First time for which an instance is not used after a failure, in ms.
const FIRST_AVOID_MS: u64 = 500;
/// Maximum doublings of that time.
const MAX_DOUBLINGS: u32 = 4;
/// Time after which an instance that has failed is forgotten, in ms.
const FORGET_AFTER_MS: u64 = 60_000;

/// An instance that may relay connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Its name.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
}

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    avoided_until_ms: u64,
    count: u32,
}

/// The instances that were not reached when they were asked for a connection.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    failures: HashMap<InstanceName, Failures>,
}

impl Relays {
    /// Records that `instance` established a connection.
    pub fn on_connected(&mut self, instance: &InstanceName) {
        self.failures.remove(instance);
    }

    /// Records that `instance` was not reached.
    pub fn on_failed(&mut self, now_ms: u64, instance: &InstanceName) {
        self.failures
            .retain(|_, failures| now_ms < failures.avoided_until_ms + FORGET_AFTER_MS);
        let failures = self.failures.entry(instance.clone()).or_default();
        failures.avoided_until_ms = now_ms + (FIRST_AVOID_MS << failures.count);
        failures.count = (failures.count + 1).min(MAX_DOUBLINGS);
    }

    /// Returns the instances out of `candidates` to try in order for a connection of `me` to a
    /// server in `server_zone`.
    ///
    /// Instances in the zone of the server come first, then those in the own zone: any other sends
    /// the bytes between zones twice. The zones alternate, since all instances of one may be cut
    /// off. Within a zone, rendezvous hashing spreads the instances that are cut off over those
    /// that are not.
    pub fn order(
        &self,
        now_ms: u64,
        me: &InstanceName,
        own_zone: &ZoneName,
        server_zone: Option<&ZoneName>,
        candidates: Vec<RelayCandidate>,
    ) -> Vec<InstanceName> {
        let mut by_zone: BTreeMap<ZoneName, Vec<InstanceName>> = BTreeMap::new();
        for candidate in candidates {
            if candidate.instance != *me && !self.is_avoided(now_ms, &candidate.instance) {
                let zone = by_zone.entry(candidate.zone).or_default();
                zone.push(candidate.instance);
            }
        }
        let mut ordered = Vec::new();
        for (zone, mut instances) in by_zone {
            let zone_rank = if Some(&zone) == server_zone {
                0
            } else if zone == *own_zone {
                1
            } else {
                2 + rank(me.as_str(), zone.as_str())
            };
            instances.sort_by_key(|instance| rank(me.as_str(), instance.as_str()));
            let first = instances.into_iter().take(MAX_PER_ZONE).enumerate();
            ordered.extend(first.map(|(index, instance)| ((index, zone_rank), instance)));
        }
        ordered.sort();
        let ordered = ordered.into_iter().map(|(_, instance)| instance);
        ordered.take(MAX_RELAYS).collect()
    }

    fn is_avoided(&self, now_ms: u64, instance: &InstanceName) -> bool {
        let failures = self.failures.get(instance);
        failures.is_some_and(|failures| now_ms < failures.avoided_until_ms)
    }
}

/// Returns the rank of `name` for `me`, which leaves room above it for an offset.
fn rank(me: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(me.as_bytes(), 0)) >> 1
}
