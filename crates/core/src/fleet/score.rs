//! Estimates what a call would meet at a backend server.

use super::{Fleet, KnownBackend, KnownPool, RouteQuery};
use crate::settings::Reports;

/// Busy time of a call that is assumed before one was seen, in µs.
const ASSUMED_BUSY_US: u64 = 10_000;
const US_PER_MS: u64 = 1_000;
/// Part of a call's busy time after which a report has faded to a third: the
/// instances that read it answer to it sooner than calls end.
const REPORT_LIFE: f64 = 0.3;
/// Calls by which another availability zone must be less loaded.
const FAR_CALLS: u64 = 2;
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
        let slots = u64::from(backend.slots);
        let share = self.load(now_ms, backend) / f64::from(backend.slots);
        let wait_us = (busy_us as f64 * share) as u64;
        if backend.zone == self.zone {
            wait_us
        } else {
            wait_us + self.way_us(backend) + FAR_CALLS * busy_us / slots
        }
    }

    /// Returns what an engine without a prompt's prefix is behind one with it.
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
            .and_then(|pool| pool.busy.mean_us())
            .unwrap_or(ASSUMED_BUSY_US)
    }

    fn way_us(&self, backend: &KnownBackend) -> u64 {
        self.ways
            .get(&backend.zone)
            .and_then(|way| way.quantile_us(WAY_QUANTILE))
            .unwrap_or(ASSUMED_WAY_US)
    }

    /// Estimates the calls at a backend server: those of others, and what this
    /// instance has open there.
    ///
    /// A report of others' calls fades as its age reaches the time in which
    /// calls are replaced by new ones; what is left is the mean of its zone.
    pub(crate) fn load(&self, now_ms: u64, backend: &KnownBackend) -> f64 {
        let own = f64::from(backend.in_flight);
        let Some(others) = self.recent_others(now_ms, backend) else {
            return own + self.zone_mean_others(now_ms, backend);
        };
        if self.settings.reports == Reports::Trusted {
            return own + others.calls;
        }
        let turnover_us = self.busy_us(backend).max(1) as f64 * REPORT_LIFE;
        let trust = (-(others.age_us as f64) / turnover_us).exp();
        own + trust * others.calls + (1.0 - trust) * self.zone_mean_others(now_ms, backend)
    }

    /// Estimates the calls that other instances have sent since the last
    /// report: as many more, each, as this one has.
    pub(super) fn unreported(&self, now_ms: u64, backend: &KnownBackend) -> f64 {
        let Some(report) = &backend.report else {
            return 0.0;
        };
        if now_ms.saturating_sub(report.measured_at_ms) > self.settings.report_max_age_ms {
            return 0.0;
        }
        let grown = f64::from(backend.in_flight) - f64::from(report.own_in_flight);
        grown * f64::from(self.peers)
    }

    fn recent_others(&self, now_ms: u64, backend: &KnownBackend) -> Option<Others> {
        let report = backend.report.as_ref()?;
        let age_ms = now_ms.saturating_sub(report.measured_at_ms);
        (age_ms <= self.settings.report_max_age_ms).then(|| Others {
            calls: f64::from(report.load.saturating_sub(report.own_in_flight)),
            age_us: age_ms * US_PER_MS,
        })
    }

    /// Returns the mean of others' calls at the backend servers that share pool
    /// and availability zone with this one.
    fn zone_mean_others(&self, now_ms: u64, backend: &KnownBackend) -> f64 {
        let Some(pool) = self.pools.get(&backend.pool) else {
            return 0.0;
        };
        let (mut calls, mut count) = (0.0, 0u32);
        for index in &pool.members {
            let member = &self.backends[*index];
            if member.zone == backend.zone
                && let Some(others) = self.recent_others(now_ms, member)
            {
                calls += others.calls;
                count += 1;
            }
        }
        calls / f64::from(count.max(1))
    }
}

/// Calls of other instances at a backend server, as last reported.
#[derive(Clone, Copy, Debug)]
struct Others {
    calls: f64,
    age_us: u64,
}
