//! Detects that an availability zone cannot be reached.
//!
//! Guards against the following load: a zone with a third of the servers is cut
//! off. Each of 68 instances would detect separately for each of 30 engines
//! that no connection can be established, and one request in three would wait
//! for that at least once, while the results that it needs occupy the room of
//! others. A scheduler of stages would detect it separately for each of up to a
//! hundred servers of a service.

use std::collections::BTreeMap;

use crate::ids::{BackendName, ZoneName};

/// Unreachable servers of a zone, without a response from any other since, from
/// which the zone counts as cut off. One may have crashed; on days on which a
/// sixth of the servers crash, two randomly chosen ones have both crashed in 3
/// of 100 cases.
const MIN_UNREACHABLE_SERVERS: usize = 2;
/// Time within which failures are counted together, in ms: an instance sends a
/// few requests a second to each zone.
const FAILURE_WINDOW_MS: u64 = 2_000;
/// First period in which servers of the zone are avoided, in ms; after it a
/// request probes the zone.
const FIRST_AVOID_MS: u64 = 1_000;
/// Maximum doublings of that time while no server of the zone responds: a zone
/// that has recovered is detected within 4 s.
const MAX_DOUBLINGS: u32 = 2;

/// Recent connection failures to one zone.
#[derive(Clone, Debug, Default)]
struct ZoneReach {
    /// Unreachable servers since the last response from the zone.
    unreachable_servers: Vec<BackendName>,
    /// Time of the last connection failure, in ms.
    failed_at_ms: u64,
    /// Time until which the zone is avoided, in ms.
    avoided_until_ms: u64,
    avoid_doublings: u32,
}

impl ZoneReach {
    /// Records a failure; returns whether the zone is avoided from now on.
    fn on_failure(&mut self, now_ms: u64, server: &BackendName) -> bool {
        let last_ms = self.failed_at_ms.max(self.avoided_until_ms);
        if now_ms > last_ms + FAILURE_WINDOW_MS {
            *self = Self::default();
        }
        self.failed_at_ms = now_ms;
        if !self.unreachable_servers.contains(server) {
            self.unreachable_servers.push(server.clone());
        }
        let is_newly_avoided = self.unreachable_servers.len() >= MIN_UNREACHABLE_SERVERS
            && now_ms >= self.avoided_until_ms;
        if is_newly_avoided {
            self.avoided_until_ms = now_ms + (FIRST_AVOID_MS << self.avoid_doublings);
            self.avoid_doublings = (self.avoid_doublings + 1).min(MAX_DOUBLINGS);
        }
        is_newly_avoided
    }
}

/// Reachability of each availability zone from one instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZonesReach {
    by_zone: BTreeMap<ZoneName, ZoneReach>,
}

impl ZonesReach {
    /// Records that `server` in `zone` could not be reached; returns whether the
    /// zone is avoided from now on.
    pub(crate) fn on_failure(
        &mut self,
        now_ms: u64,
        zone: &ZoneName,
        server: &BackendName,
    ) -> bool {
        let reach = self.by_zone.entry(zone.clone()).or_default();
        reach.on_failure(now_ms, server)
    }

    /// Records that a server in `zone` responded, which clears the failures of the
    /// zone. Returns whether there were any.
    pub(crate) fn on_response(&mut self, zone: &ZoneName) -> bool {
        self.by_zone.remove(zone).is_some()
    }

    /// Returns the time until which servers of `zone` are avoided in favour of
    /// servers elsewhere, in ms.
    pub(crate) fn avoided_until_ms(&self, zone: &ZoneName) -> u64 {
        let reach = self.by_zone.get(zone);
        reach.map_or(0, |reach| reach.avoided_until_ms)
    }

    /// Returns the zones whose servers are avoided.
    pub(crate) fn avoided(&self, now_ms: u64) -> impl Iterator<Item = &ZoneName> {
        let zones = self.by_zone.iter();
        let avoided = zones.filter(move |(_, reach)| now_ms < reach.avoided_until_ms);
        avoided.map(|(zone, _)| zone)
    }
}
