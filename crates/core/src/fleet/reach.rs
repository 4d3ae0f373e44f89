//! Availability zones whose servers an instance avoids.

use super::Fleet;
use crate::ids::{BackendName, ZoneName};

/// Time for which the zones that the scheduler does not reach are avoided after it has named
/// them, in ms: four queries to it.
const ADVICE_MS: u64 = 1_000;

/// Zones that the scheduler does not reach.
#[derive(Clone, Debug, Default)]
pub(super) struct CutOffAdvice {
    zones: Vec<ZoneName>,
    until_ms: u64,
}

impl Fleet {
    /// Avoids zones whose servers the scheduler does not reach. It calls servers far more often
    /// than one of hundreds of instances, each of which would detect the same with its own
    /// requests. The zone of this instance is not avoided.
    pub fn on_cut_off_advised(&mut self, now_ms: u64, zones: Vec<ZoneName>) {
        self.cut_off_advice = CutOffAdvice {
            zones: zones
                .into_iter()
                .filter(|zone| *zone != self.zone)
                .collect(),
            until_ms: now_ms + ADVICE_MS,
        };
    }

    /// Records that no connection to a server could be established.
    pub(super) fn on_connect_failed(&mut self, now_ms: u64, server: &BackendName) {
        if let Some(zone) = self.known(server).map(|known| known.zone.clone()) {
            self.reach.on_failure(now_ms, &zone, server);
        }
    }

    /// Records that a server responded, which clears the failures of its zone.
    pub(super) fn on_response(&mut self, server: &BackendName) {
        if let Some(zone) = self.known(server).map(|known| known.zone.clone()) {
            self.reach.on_response(&zone);
        }
    }

    /// Returns the zones whose servers this instance itself does not reach.
    pub fn cut_off_zones(&self, now_ms: u64) -> Vec<ZoneName> {
        self.reach.avoided(now_ms).cloned().collect()
    }

    /// Returns whether servers of `zone` are avoided in favour of servers
    /// elsewhere.
    pub fn is_cut_off(&self, now_ms: u64, zone: &ZoneName) -> bool {
        let advice = &self.cut_off_advice;
        let is_advised = now_ms < advice.until_ms && advice.zones.contains(zone);
        is_advised || now_ms < self.reach.avoided_until_ms(zone)
    }
}
