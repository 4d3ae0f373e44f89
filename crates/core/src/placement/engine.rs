//! An engine as placement sees it.

use std::collections::BTreeSet;

use crate::{
    ids::{BackendName, ModelName},
    objects::Backend,
};

/// What is known of an engine, for a preview.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Backend server.
    pub backend: BackendName,
    /// Calls running and waiting there.
    pub load: u32,
    /// Models loaded.
    pub models: Vec<ModelName>,
}

/// One engine that takes new work.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) backend: BackendName,
    pub(crate) slots: u32,
    pub(crate) load: u32,
    pub(crate) models: BTreeSet<ModelName>,
    /// Models that it was ordered to load and does not report yet.
    pub(crate) loading: BTreeSet<ModelName>,
    /// Models that it failed to load lately.
    pub(crate) avoid: BTreeSet<ModelName>,
    /// Whether it can be given an order now.
    pub(crate) is_orderable: bool,
}

impl Engine {
    /// Makes an engine that holds nothing and can be given orders.
    pub(crate) fn empty(backend: &Backend) -> Self {
        Self {
            backend: backend.name.clone(),
            slots: backend.slots.max(1),
            load: 0,
            models: BTreeSet::new(),
            loading: BTreeSet::new(),
            avoid: BTreeSet::new(),
            is_orderable: true,
        }
    }

    pub(crate) fn holds_or_loads(&self, model: &ModelName) -> bool {
        self.models.contains(model) || self.loading.contains(model)
    }

    /// Returns how many models take up room on it.
    pub(crate) fn occupied(&self) -> usize {
        self.models.union(&self.loading).count()
    }

    /// Returns its load for each slot, per mille.
    pub(crate) fn load_per_mille(&self) -> u64 {
        u64::from(self.load) * 1_000 / u64::from(self.slots.max(1))
    }
}

/// Counts the engines that report a model.
pub(crate) fn loaded(engines: &[Engine], model: &ModelName) -> u32 {
    let holders = engines.iter().filter(|x| x.models.contains(model));
    u32::try_from(holders.count()).unwrap_or(u32::MAX)
}

/// Counts the engines that hold or load a model.
pub(crate) fn held(engines: &[Engine], model: &ModelName) -> u32 {
    let holders = engines.iter().filter(|x| x.holds_or_loads(model));
    u32::try_from(holders.count()).unwrap_or(u32::MAX)
}
