//! The state of each backend server and pool.

use super::{health::Health, in_flight::InFlightHistory, refusals::Refusals};
use crate::{
    ids::{BackendName, ModelName, PoolName, SoftwareVersion, ZoneName},
    objects::{Backend, Pool},
    quantile::Quantiles,
};

/// The state of a backend server as seen by one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BackendState {
    /// It gets new calls.
    Serving,
    /// It is leaving and gets no new calls.
    Leaving,
    /// It failed too often and gets no calls for a while.
    Ejected,
    /// It has requested a backoff from this instance and gets no calls until
    /// that ends.
    BackingOff,
    /// It has neither reported nor completed a call yet; it gets new calls.
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

/// The status of a backend server for the admin interface.
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
    /// Open calls of this instance.
    pub in_flight: u32,
    /// Last reported load: running and queued calls.
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
    /// Version of its software, if the platform's list has one.
    pub(crate) software: Option<SoftwareVersion>,
    pub(crate) leaving: bool,
    /// Whether the platform's list marks it as leaving.
    pub(crate) listed_leaving: bool,
    pub(crate) is_confirmed: bool,
    pub(crate) health: Health,
    pub(crate) refusals: Refusals,
    pub(crate) in_flight: u32,
    /// Recent history of open calls of this instance.
    pub(crate) recent: InFlightHistory,
    pub(crate) report: Option<Report>,
    /// Models in the last report; `None` before the first one.
    pub(crate) models: Option<Vec<ModelName>>,
}

impl KnownBackend {
    pub(super) fn new(backend: &Backend) -> Self {
        Self {
            name: backend.name.clone(),
            pool: backend.pool.clone(),
            zone: backend.zone.clone(),
            slots: backend.slots.max(1),
            software: None,
            leaving: false,
            listed_leaving: false,
            is_confirmed: false,
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
        } else if self.is_confirmed {
            BackendState::Serving
        } else {
            BackendState::Unknown
        }
    }

    /// Returns its status; `backoff_until_ms` is the end of its backoff.
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
    /// Its backend servers, as indices into the list of the fleet.
    pub(crate) members: Vec<usize>,
    pub(crate) round_robin_index: usize,
    /// Busy times of calls.
    pub(crate) busy_times: Quantiles,
    /// Times from sending a call to its first token or its completion.
    pub(crate) first_progress_times: Quantiles,
    /// Times between two tokens.
    pub(crate) token_gaps: Quantiles,
}

impl KnownPool {
    pub(super) fn new(pool: &Pool) -> Self {
        Self {
            pool: pool.clone(),
            members: Vec::new(),
            round_robin_index: 0,
            busy_times: Quantiles::default(),
            first_progress_times: Quantiles::default(),
            token_gaps: Quantiles::default(),
        }
    }
}
