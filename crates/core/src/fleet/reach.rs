//! Tells whether the way to an availability zone seems to be cut.
//!
//! The load that it answers: a zone with a third of the engines is cut off. Each
//! of 68 instances would find out for each of 30 engines that no connection can
//! be made, and a request in three would wait for that once or more, while the
//! results that it needs take the room of others.

use super::Fleet;
use crate::ids::{BackendName, ZoneName};

/// Servers of a zone that could not be reached, none having answered since, from
/// which the way there counts as cut: one may have crashed, and of two that were
/// drawn at random both have crashed in 3 of 100 cases on days on which a sixth
/// of the servers does.
const UNREACHED_SERVERS: usize = 2;
/// Time within which they count together, in ms: an instance sends some requests
/// a second to each zone.
const MEMORY_MS: u64 = 2_000;
/// Time for which servers of the zone are passed over at first, in ms; after
/// that a request finds out.
const FIRST_PAUSE_MS: u64 = 1_000;
/// Doublings of that time while nothing there answers: a zone that is back is
/// found within 4 s.
const MOST_DOUBLINGS: u32 = 2;

/// What connections to one zone have come to lately.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneReach {
    /// Servers that could not be reached since one answered.
    unreached: Vec<BackendName>,
    /// Time of the last such failure, in ms.
    failed_at_ms: u64,
    /// Time until which the zone is passed over, in ms.
    avoided_until_ms: u64,
    pauses: u32,
}

impl ZoneReach {
    fn on_unreachable(&mut self, now_ms: u64, server: &BackendName) {
        let last_ms = self.failed_at_ms.max(self.avoided_until_ms);
        if now_ms > last_ms + MEMORY_MS {
            *self = Self::default();
        }
        self.failed_at_ms = now_ms;
        if !self.unreached.contains(server) {
            self.unreached.push(server.clone());
        }
        if self.unreached.len() >= UNREACHED_SERVERS && now_ms >= self.avoided_until_ms {
            self.avoided_until_ms = now_ms + (FIRST_PAUSE_MS << self.pauses);
            self.pauses = (self.pauses + 1).min(MOST_DOUBLINGS);
        }
    }
}

impl Fleet {
    /// Notes that no connection to a server could be made.
    pub(super) fn on_unreached(&mut self, now_ms: u64, server: &BackendName) {
        let Some(zone) = self.known(server).map(|known| known.zone.clone()) else {
            return;
        };
        let reach = self.reach.entry(zone).or_default();
        reach.on_unreachable(now_ms, server);
    }

    /// Notes that a server answered something.
    pub(super) fn on_reached(&mut self, server: &BackendName) {
        let Some(zone) = self.known(server).map(|known| known.zone.clone()) else {
            return;
        };
        self.reach.remove(&zone);
    }

    /// Returns the zones whose servers are passed over.
    pub fn cut_off_zones(&self, now_ms: u64) -> Vec<ZoneName> {
        let zones = self.reach.keys();
        let cut_off = zones.filter(|zone| self.is_cut_off(now_ms, zone));
        cut_off.cloned().collect()
    }

    /// Tells whether servers of `zone` are passed over, where there are others.
    pub fn is_cut_off(&self, now_ms: u64, zone: &ZoneName) -> bool {
        let reach = self.reach.get(zone);
        reach.is_some_and(|reach| now_ms < reach.avoided_until_ms)
    }
}
