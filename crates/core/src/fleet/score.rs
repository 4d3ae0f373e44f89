//! Estimates the cost of sending a call to a backend server.

use super::{Fleet, KnownBackend, KnownPool, RouteQuery};
use crate::settings::Reports;

/// Busy time assumed before the first sample, in µs.
const DEFAULT_BUSY_US: u64 = 10_000;
const US_PER_MS: u64 = 1_000;
/// Fraction of a call's busy time after which the weight of a report has
/// decayed to about a third. It is less than one because the instances that
/// read a report react to it before calls end.
const REPORT_DECAY_FACTOR: f64 = 0.3;
/// Calls by which a server in another availability zone must be less loaded to
/// be preferred.
const REMOTE_PENALTY_CALLS: u64 = 2;
/// Round trip time to another availability zone assumed before the first
/// sample, in µs.
const DEFAULT_NETWORK_US: u64 = 2_000;
/// Percentile of the time outside of work that is taken as the network round
/// trip to a zone.
const NETWORK_PERCENTILE: u32 = 10;

impl Fleet {
    /// Scores a backend server for a call: its expected wait, plus the round
    /// trip if it is in another availability zone. The lowest score wins.
    pub(super) fn score_us(&self, now_ms: u64, backend: &KnownBackend) -> u64 {
        let busy_us = self.busy_us(backend);
        let slots = u64::from(backend.slots);
        let share = self.load(now_ms, backend) / f64::from(backend.slots);
        let wait_us = (busy_us as f64 * share) as u64;
        if backend.zone == self.zone {
            wait_us
        } else {
            wait_us + self.network_us(backend) + REMOTE_PENALTY_CALLS * busy_us / slots
        }
    }

    /// Returns the score penalty of an engine without the prompt prefix, in µs.
    pub(super) fn affinity_us(&self, query: &RouteQuery<'_>) -> u64 {
        let busy_us = self
            .pools
            .get(query.pool)
            .map_or(0, KnownPool::mean_busy_us);
        let percent = self.settings.affinity_percent.of(query.objective);
        busy_us * u64::from(percent) / 100
    }

    fn busy_us(&self, backend: &KnownBackend) -> u64 {
        self.pools
            .get(&backend.pool)
            .and_then(|pool| pool.busy_times.mean_us())
            .unwrap_or(DEFAULT_BUSY_US)
    }

    fn network_us(&self, backend: &KnownBackend) -> u64 {
        self.network_times
            .get(&backend.zone)
            .and_then(|times| times.quantile_us(NETWORK_PERCENTILE))
            .unwrap_or(DEFAULT_NETWORK_US)
    }

    /// Estimates the calls at a backend server: those of other instances and
    /// the open calls of this one.
    ///
    /// The weight of a report decays as its age reaches the time in which calls
    /// are replaced by new ones; the remaining weight is given to the mean of
    /// its zone.
    pub(crate) fn load(&self, now_ms: u64, backend: &KnownBackend) -> f64 {
        let own = f64::from(backend.in_flight);
        let Some(peer_load) = self.recent_peer_load(now_ms, backend) else {
            return own + self.zone_mean_peer_calls(now_ms, backend);
        };
        if self.settings.reports == Reports::Trusted {
            return own + peer_load.calls;
        }
        let decay_us = self.busy_us(backend).max(1) as f64 * REPORT_DECAY_FACTOR;
        let report_weight = (-(peer_load.age_us as f64) / decay_us).exp();
        own + report_weight * peer_load.calls
            + (1.0 - report_weight) * self.zone_mean_peer_calls(now_ms, backend)
    }

    /// Estimates the calls that other instances have sent since the last
    /// report, assuming that each has sent as many as this one.
    pub(super) fn unreported_calls(&self, now_ms: u64, backend: &KnownBackend) -> f64 {
        let Some(report) = &backend.report else {
            return 0.0;
        };
        if now_ms.saturating_sub(report.measured_at_ms) > self.settings.report_max_age_ms {
            return 0.0;
        }
        let growth = f64::from(backend.in_flight) - f64::from(report.own_in_flight);
        growth * f64::from(self.peers)
    }

    fn recent_peer_load(&self, now_ms: u64, backend: &KnownBackend) -> Option<PeerLoad> {
        let report = backend.report.as_ref()?;
        let age_ms = now_ms.saturating_sub(report.measured_at_ms);
        (age_ms <= self.settings.report_max_age_ms).then(|| PeerLoad {
            calls: f64::from(report.load.saturating_sub(report.own_in_flight)),
            age_us: age_ms * US_PER_MS,
        })
    }

    /// Returns the mean of the calls of other instances at the backend servers
    /// in the same pool and availability zone.
    fn zone_mean_peer_calls(&self, now_ms: u64, backend: &KnownBackend) -> f64 {
        let Some(pool) = self.pools.get(&backend.pool) else {
            return 0.0;
        };
        let (mut calls, mut count) = (0.0, 0u32);
        for index in &pool.members {
            let member = &self.backends[*index];
            if member.zone == backend.zone
                && let Some(peer_load) = self.recent_peer_load(now_ms, member)
            {
                calls += peer_load.calls;
                count += 1;
            }
        }
        calls / f64::from(count.max(1))
    }
}

/// The calls of other instances at a backend server, as last reported.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    calls: f64,
    age_us: u64,
}
