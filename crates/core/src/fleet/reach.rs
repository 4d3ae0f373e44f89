//! Detects that an availability zone cannot be reached.
//!
//! Guards against the following load: a zone with a third of the engines is cut
//! off. Each of 68 instances would detect separately for each of 30 engines
//! that no connection can be established, and one request in three would wait
//! for that at least once, while the results that it needs occupy the room of
//! others.

use super::Fleet;
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
pub(super) struct ZoneReach {
    /// Unreachable servers since the last response from the zone.
    unreachable_servers: Vec<BackendName>,
    /// Time of the last connection failure, in ms.
    failed_at_ms: u64,
    /// Time until which the zone is avoided, in ms.
    avoided_until_ms: u64,
    avoid_doublings: u32,
}

impl ZoneReach {
    fn on_failure(&mut self, now_ms: u64, server: &BackendName) {
        let last_ms = self.failed_at_ms.max(self.avoided_until_ms);
        if now_ms > last_ms + FAILURE_WINDOW_MS {
            *self = Self::default();
        }
        self.failed_at_ms = now_ms;
        if !self.unreachable_servers.contains(server) {
            self.unreachable_servers.push(server.clone());
        }
        if self.unreachable_servers.len() >= MIN_UNREACHABLE_SERVERS
            && now_ms >= self.avoided_until_ms
        {
            self.avoided_until_ms = now_ms + (FIRST_AVOID_MS << self.avoid_doublings);
            self.avoid_doublings = (self.avoid_doublings + 1).min(MAX_DOUBLINGS);
        }
    }
}

impl Fleet {
    /// Records that no connection to a server could be established.
    pub(super) fn on_connect_failed(&mut self, now_ms: u64, server: &BackendName) {
        let Some(zone) = self.known(server).map(|known| known.zone.clone()) else {
            return;
        };
        let reach = self.reach.entry(zone).or_default();
        reach.on_failure(now_ms, server);
    }

    /// Records that a server responded, which clears the failures of its zone.
    pub(super) fn on_response(&mut self, server: &BackendName) {
        let Some(zone) = self.known(server).map(|known| known.zone.clone()) else {
            return;
        };
        self.reach.remove(&zone);
    }

    /// Returns the zones whose servers are avoided.
    pub fn cut_off_zones(&self, now_ms: u64) -> Vec<ZoneName> {
        let zones = self.reach.keys();
        let cut_off = zones.filter(|zone| self.is_cut_off(now_ms, zone));
        cut_off.cloned().collect()
    }

    /// Returns whether servers of `zone` are avoided in favour of servers
    /// elsewhere.
    pub fn is_cut_off(&self, now_ms: u64, zone: &ZoneName) -> bool {
        let reach = self.reach.get(zone);
        reach.is_some_and(|reach| now_ms < reach.avoided_until_ms)
    }
}
