//! The state of an engine for placement.

use std::collections::BTreeSet;

use crate::{
    ids::{BackendName, ModelName},
    objects::Backend,
};

/// The last report of an engine, for a preview.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Backend server.
    pub backend: BackendName,
    /// Running and queued calls.
    pub load: u32,
    /// Models loaded.
    pub models: Vec<ModelName>,
}

/// An engine that takes new work.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) backend: BackendName,
    pub(crate) slots: u32,
    pub(crate) load: u32,
    pub(crate) models: BTreeSet<ModelName>,
    /// Models that it was ordered to load and does not report yet.
    pub(crate) loading: BTreeSet<ModelName>,
    /// Models that it has recently failed to load.
    pub(crate) avoided_models: BTreeSet<ModelName>,
    /// Whether it can be given an order now.
    pub(crate) is_orderable: bool,
}

impl Engine {
    /// Creates an engine without models that can be given orders.
    pub(crate) fn empty(backend: &Backend) -> Self {
        Self {
            backend: backend.name.clone(),
            slots: backend.slots.max(1),
            load: 0,
            models: BTreeSet::new(),
            loading: BTreeSet::new(),
            avoided_models: BTreeSet::new(),
            is_orderable: true,
        }
    }

    pub(crate) fn holds_or_loads(&self, model: &ModelName) -> bool {
        self.models.contains(model) || self.loading.contains(model)
    }

    /// Returns the number of models that occupy room on it.
    pub(crate) fn model_count(&self) -> usize {
        self.models.union(&self.loading).count()
    }

    /// Returns its load per slot, in thousandths.
    pub(crate) fn load_per_mille(&self) -> u64 {
        u64::from(self.load) * 1_000 / u64::from(self.slots.max(1))
    }
}

/// Counts the engines that report a model.
pub(crate) fn count_loaded(engines: &[Engine], model: &ModelName) -> u32 {
    let holders = engines.iter().filter(|x| x.models.contains(model));
    u32::try_from(holders.count()).unwrap_or(u32::MAX)
}

/// Counts the engines that hold or load a model.
pub(crate) fn held(engines: &[Engine], model: &ModelName) -> u32 {
    let holders = engines.iter().filter(|x| x.holds_or_loads(model));
    u32::try_from(holders.count()).unwrap_or(u32::MAX)
}
