//! Ejects backend servers that fail or cannot be reached, and takes them back.

use super::{Fleet, KnownBackend};
use crate::{
    ids::{BackendName, PoolName},
    settings::{Ejection, PolicySettings},
};

/// Failures in a row that eject a backend server.
const FAILURES_TO_EJECT: u32 = 2;
/// Doublings of the time for which a backend server stays ejected.
const MOST_DOUBLINGS: u32 = 4;

/// What a bad answer says about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It answers, but not well.
    Failing,
    /// Its connection broke or has gone quiet.
    Silent,
    /// No connection to it can be opened.
    Unreachable,
}

/// How a backend server has answered lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Bad answers since the last good one.
    pub(crate) failures: u32,
    /// Time until which it gets no calls, in ms.
    pub(crate) ejected_until_ms: u64,
    /// Why it was ejected last.
    fault: Option<Fault>,
    /// Ejections since it was last well.
    ejections: u32,
}

impl Health {
    pub(crate) fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Tells whether it was taken back and has not answered well yet: it gets
    /// one call at a time.
    pub(crate) fn is_on_trial(&self, now_ms: u64) -> bool {
        self.ejections > 0 && !self.is_ejected(now_ms)
    }

    /// Tells whether its last answer was good.
    pub(crate) fn is_well(&self) -> bool {
        self.failures == 0 && self.ejections == 0
    }

    pub(crate) fn on_success(&mut self) {
        *self = Self::default();
    }

    fn counts_against_cap(&self, now_ms: u64) -> bool {
        self.is_ejected(now_ms) && self.fault == Some(Fault::Failing)
    }

    fn eject(&mut self, now_ms: u64, fault: Fault, settings: &PolicySettings) {
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        self.ejections += 1;
        self.fault = Some(fault);
        self.ejected_until_ms = now_ms + (settings.ejection_ms << doublings);
    }
}

impl KnownBackend {
    /// Tells whether it may get one more call, as far as its health goes.
    pub(super) fn is_open(&self, now_ms: u64) -> bool {
        !self.health.is_ejected(now_ms) && (self.in_flight == 0 || !self.health.is_on_trial(now_ms))
    }
}

impl Fleet {
    /// Counts a bad answer, and ejects the backend server if it is one of
    /// several in a row. Servers that fail are ejected up to a share of their
    /// pool; more at once means that the fault lies elsewhere. There is no such
    /// cap for servers that cannot be reached.
    pub(crate) fn on_bad_answer(&mut self, now_ms: u64, name: &BackendName, fault: Fault) {
        let settings = self.settings.clone();
        if settings.ejection == Ejection::Off {
            return;
        }
        let has_room = fault != Fault::Failing || self.may_eject_one_more(now_ms, name);
        let Some(backend) = self.known_mut(name) else {
            return;
        };
        let health = &mut backend.health;
        health.failures += 1;
        let is_outlier = fault == Fault::Unreachable
            || health.failures >= FAILURES_TO_EJECT
            || health.is_on_trial(now_ms);
        if is_outlier && has_room && !health.is_ejected(now_ms) {
            health.eject(now_ms, fault, &settings);
        }
    }

    /// Tells whether so many of a pool's servers are unwell that the stage is
    /// slow and not one of them.
    pub(crate) fn is_pool_degraded(&self, name: &PoolName) -> bool {
        let Some(pool) = self.pools.get(name) else {
            return false;
        };
        let unwell = pool
            .members
            .iter()
            .filter(|index| !self.backends[**index].health.is_well())
            .count();
        unwell * 2 > pool.members.len()
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
        let most = pool.members.len() * self.settings.ejected_percent_max as usize / 100;
        ejected < most.max(1)
    }
}
