//! Estimates what a call would meet at a backend server.

use super::{Fleet, KnownBackend};

/// Busy time of a call that is assumed before one was seen, in µs.
const ASSUMED_BUSY_US: u64 = 10_000;
/// Time on the way to another availability zone and back that is assumed
/// before one was seen, in µs.
const ASSUMED_WAY_US: u64 = 2_000;
/// Share of the calls to a zone whose time beside work counts as the way
/// alone, in per cent.
const WAY_QUANTILE: u32 = 10;

impl Fleet {
    /// Scores a backend server for a call: its expected wait, and the way there
    /// when it stands in another availability zone.
    pub(super) fn score_us(&self, now_ms: u64, backend: &KnownBackend) -> u64 {
        let busy_us = self.busy_us(backend);
        let load = u64::from(self.load(now_ms, backend));
        let slots = u64::from(backend.slots);
        let wait_us = busy_us * load / slots;
        if backend.zone == self.zone {
            wait_us
        } else {
            wait_us + self.way_us(backend) + busy_us / slots
        }
    }

    fn busy_us(&self, backend: &KnownBackend) -> u64 {
        self.pools
            .get(&backend.pool)
            .and_then(|pool| pool.busy.mean_us())
            .unwrap_or(ASSUMED_BUSY_US)
    }

    fn way_us(&self, backend: &KnownBackend) -> u64 {
        self.ways
            .get(&backend.zone)
            .and_then(|way| way.quantile_us(WAY_QUANTILE))
            .unwrap_or(ASSUMED_WAY_US)
    }

    /// Estimates the calls at a backend server: what it reported of others,
    /// as long as that is recent, and what this instance has open there.
    pub(super) fn load(&self, now_ms: u64, backend: &KnownBackend) -> u32 {
        let others = backend.report.as_ref().map_or(0, |report| {
            let age_ms = now_ms.saturating_sub(report.measured_at_ms);
            if age_ms > self.settings.report_max_age_ms {
                return 0;
            }
            report.load.saturating_sub(report.own_in_flight)
        });
        others + backend.in_flight
    }
}
