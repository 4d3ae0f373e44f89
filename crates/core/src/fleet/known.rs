//! What is known of each backend server and pool.

use super::{health::Health, in_flight::InFlightHistory, refusals::Refusals};
use crate::{
    ids::{BackendName, ModelName, PoolName, ZoneName},
    objects::{Backend, Pool},
    quantile::Quantiles,
};

/// State of a backend server as one instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BackendState {
    /// It gets new work.
    Serving,
    /// It is leaving and gets nothing new.
    Leaving,
    /// It failed too often and is left alone for a while.
    Ejected,
    /// It has asked this instance for backoff and gets nothing until that ends.
    BackingOff,
    /// Nothing was heard of it yet; it gets new work.
    Unknown,
}

impl BackendState {
    /// Returns the name used in logs, metrics and the admin interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Ejected => "ejected",
            Self::BackingOff => "backing_off",
            Self::Unknown => "unknown",
        }
    }
}

/// A backend server as the admin interface shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendStatus {
    /// Name of the backend server.
    pub name: BackendName,
    /// Its pool.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its state.
    pub state: BackendState,
    /// Calls that this instance has open there.
    pub in_flight: u32,
    /// Load last reported: calls running and waiting.
    pub reported: Option<u32>,
    /// Age of that report, in ms.
    pub age_ms: Option<u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) load: u32,
    pub(crate) own_in_flight: u32,
    pub(crate) measured_at_ms: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct KnownBackend {
    pub(crate) name: BackendName,
    pub(crate) pool: PoolName,
    pub(crate) zone: ZoneName,
    pub(crate) slots: u32,
    pub(crate) leaving: bool,
    /// Whether the platform's list calls it leaving.
    pub(crate) listed_leaving: bool,
    pub(crate) heard: bool,
    pub(crate) health: Health,
    pub(crate) refusals: Refusals,
    pub(crate) in_flight: u32,
    /// Calls that this instance had open there lately.
    pub(crate) recent: InFlightHistory,
    pub(crate) report: Option<Report>,
    /// Models that the last report names; nothing is known before it.
    pub(crate) models: Option<Vec<ModelName>>,
}

impl KnownBackend {
    pub(super) fn new(backend: &Backend) -> Self {
        Self {
            name: backend.name.clone(),
            pool: backend.pool.clone(),
            zone: backend.zone.clone(),
            slots: backend.slots.max(1),
            leaving: false,
            listed_leaving: false,
            heard: false,
            health: Health::default(),
            refusals: Refusals::default(),
            in_flight: 0,
            recent: InFlightHistory::default(),
            report: None,
            models: None,
        }
    }

    pub(crate) fn state(&self, now_ms: u64) -> BackendState {
        if self.leaving || self.listed_leaving {
            BackendState::Leaving
        } else if self.health.is_ejected(now_ms) {
            BackendState::Ejected
        } else if self.heard {
            BackendState::Serving
        } else {
            BackendState::Unknown
        }
    }

    /// Describes it, with the end of its backoff in ms.
    pub(super) fn status(&self, now_ms: u64, backoff_until_ms: u64) -> BackendStatus {
        let state = match self.state(now_ms) {
            BackendState::Serving | BackendState::Unknown if backoff_until_ms > now_ms => {
                BackendState::BackingOff
            }
            state => state,
        };
        BackendStatus {
            name: self.name.clone(),
            pool: self.pool.clone(),
            zone: self.zone.clone(),
            state,
            in_flight: self.in_flight,
            reported: self.report.as_ref().map(|report| report.load),
            age_ms: self
                .report
                .as_ref()
                .map(|report| now_ms.saturating_sub(report.measured_at_ms)),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct KnownPool {
    pub(crate) pool: Pool,
    /// Its backend servers, as indices into the fleet's.
    pub(crate) members: Vec<usize>,
    pub(crate) next_turn: usize,
    /// Busy time of a call.
    pub(crate) busy: Quantiles,
    /// Time from a call to its first sign of life.
    pub(crate) first: Quantiles,
    /// Time between two tokens.
    pub(crate) gap: Quantiles,
}

impl KnownPool {
    pub(super) fn new(pool: &Pool) -> Self {
        Self {
            pool: pool.clone(),
            members: Vec::new(),
            next_turn: 0,
            busy: Quantiles::default(),
            first: Quantiles::default(),
            gap: Quantiles::default(),
        }
    }
}
