//! Settings of a backend server.

use std::{net::SocketAddr, sync::Arc};

use savoryvane_core::{
    ids::{BackendName, ModelName},
    objects::{Fencing, StageKind},
};

use crate::weights::{WeightSource, WeightStore};

/// Settings of a backend server.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Name that it reports.
    pub name: BackendName,
    /// Work that it does.
    pub kind: StageKind,
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Calls that it works on at the same time.
    pub slots: u32,
    /// Calls that may wait for a slot.
    pub queue_limit: usize,
    /// Seed of service times and of random faults.
    pub seed: u64,
    /// Mean time of a call before its first token or its answer, in µs.
    pub service_us: u64,
    /// Time between two tokens of a call that runs alone, in µs.
    pub token_us: u64,
    /// Growth of the time between tokens when all slots are busy, per mille.
    pub batch_slowdown_per_mille: u32,
    /// Age of the load that it reports, in ms.
    pub load_lag_ms: u64,
    /// Prefixes that its cache holds.
    pub cache_prefixes: usize,
    /// Age that a cache event has when it is first reported, in ms.
    pub cache_lag_ms: u64,
    /// Share of cache events that are never reported, per mille.
    pub cache_lost_per_mille: u32,
    /// Whether it checks fencing numbers of orders.
    pub fencing: Fencing,
    /// Models loaded at the start.
    pub models: Vec<ModelName>,
    /// Size of every model, in MB.
    pub model_mb: u64,
    /// Where models are loaded from.
    pub weights: WeightSource,
}

impl BackendSettings {
    /// Returns settings of a quick server for `kind`.
    pub fn new(name: impl Into<BackendName>, kind: StageKind) -> Self {
        Self {
            name: name.into(),
            kind,
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 8,
            queue_limit: 32,
            seed: 1,
            service_us: 2000,
            token_us: 500,
            batch_slowdown_per_mille: 500,
            load_lag_ms: 200,
            cache_prefixes: 64,
            cache_lag_ms: 500,
            cache_lost_per_mille: 20,
            fencing: Fencing::default(),
            models: Vec::new(),
            model_mb: 1000,
            weights: WeightSource::Local(Arc::new(WeightStore::new(0))),
        }
    }
}
