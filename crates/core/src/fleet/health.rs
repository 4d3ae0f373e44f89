//! Ejects backend servers that fail or cannot be reached, and readmits them.

use super::{Fleet, KnownBackend};
use crate::{
    ids::{BackendName, PoolName},
    settings::{Ejection, PolicySettings},
};

/// Consecutive failures after which a backend server is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// Maximum doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 4;

/// The kind of a failure of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It responds, but with errors, incompletely or too slowly.
    Failing,
    /// Its connection broke without a response or has gone silent.
    Silent,
    /// No connection to it can be established.
    Unreachable,
}

/// The recent health of a backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Failures since the last success.
    pub(crate) failures: u32,
    /// Time until which it gets no calls, in ms.
    pub(crate) ejected_until_ms: u64,
    /// Reason for the last ejection.
    fault: Option<Fault>,
    /// Ejections since the last success.
    ejections: u32,
}

impl Health {
    pub(crate) fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Returns whether it was readmitted and has not succeeded yet: it gets one
    /// call at a time.
    pub(crate) fn is_on_probation(&self, now_ms: u64) -> bool {
        self.ejections > 0 && !self.is_ejected(now_ms)
    }

    /// Returns whether it has not failed since its last success.
    pub(crate) fn is_healthy(&self) -> bool {
        self.failures == 0 && self.ejections == 0
    }

    pub(crate) fn on_success(&mut self) {
        *self = Self::default();
    }

    fn counts_against_cap(&self, now_ms: u64) -> bool {
        self.is_ejected(now_ms) && self.fault == Some(Fault::Failing)
    }

    fn eject(&mut self, now_ms: u64, fault: Fault, settings: &PolicySettings) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.fault = Some(fault);
        self.ejected_until_ms = now_ms + (settings.ejection_ms << doublings);
    }
}

impl KnownBackend {
    /// Returns whether its health permits one more call.
    pub(super) fn may_get_call(&self, now_ms: u64) -> bool {
        !self.health.is_ejected(now_ms)
            && (self.in_flight == 0 || !self.health.is_on_probation(now_ms))
    }
}

impl Fleet {
    /// Counts a failure and ejects the backend server after several in a row.
    /// Failing servers are ejected up to a share of their pool; more at once
    /// means that the fault lies elsewhere. There is no such cap for servers
    /// that are silent or cannot be reached.
    pub(crate) fn on_fault(&mut self, now_ms: u64, name: &BackendName, fault: Fault) {
        let settings = self.settings.clone();
        if settings.ejection == Ejection::Off {
            return;
        }
        let may_eject = fault != Fault::Failing || self.may_eject_one_more(now_ms, name);
        let Some(backend) = self.known_mut(name) else {
            return;
        };
        let health = &mut backend.health;
        health.failures += 1;
        let is_outlier = fault == Fault::Unreachable
            || health.failures >= FAILURES_TO_EJECT
            || health.is_on_probation(now_ms);
        if is_outlier && may_eject && !health.is_ejected(now_ms) {
            health.eject(now_ms, fault, &settings);
        }
    }

    /// Returns whether more than half of the servers of a pool are unhealthy,
    /// which means that the stage is slow and not single servers.
    pub(crate) fn is_pool_degraded(&self, name: &PoolName) -> bool {
        let Some(pool) = self.pools.get(name) else {
            return false;
        };
        let unhealthy = pool
            .members
            .iter()
            .filter(|index| !self.backends[**index].health.is_healthy())
            .count();
        unhealthy * 2 > pool.members.len()
    }

    fn may_eject_one_more(&self, now_ms: u64, name: &BackendName) -> bool {
        let pool = self
            .known(name)
            .and_then(|backend| self.pools.get(&backend.pool));
        let Some(pool) = pool else {
            return false;
        };
        let ejected = pool
            .members
            .iter()
            .filter(|index| self.backends[**index].health.counts_against_cap(now_ms))
            .count();
        let max_ejected = pool.members.len() * self.settings.ejected_percent_max as usize / 100;
        ejected < max_ejected.max(1)
    }
}
