//! The part of the configuration that placement depends on.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::State,
    ids::{BackendName, ModelName, PoolName, ZoneName},
    objects::{Backend, Model, Pipeline, Pool, StageKind},
};

/// The engines of one pool in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Site {
    pub(crate) zone: ZoneName,
    pub(crate) pool: PoolName,
}

/// A view of the engine pools, their backend servers and models.
#[derive(Clone, Debug, Default)]
pub struct Layout<'a> {
    pools: BTreeMap<&'a PoolName, &'a Pool>,
    backends: BTreeMap<&'a BackendName, &'a Backend>,
    models: BTreeMap<&'a ModelName, &'a Model>,
    in_use: BTreeSet<&'a ModelName>,
}

impl<'a> Layout<'a> {
    /// Creates a view of a configuration.
    pub fn of(state: &'a State) -> Self {
        Self::new(
            state.pools(),
            state.backends(),
            state.models(),
            state.pipelines(),
        )
    }

    /// Creates a view of objects; only engine pools are included.
    pub fn new(
        pools: impl IntoIterator<Item = &'a Pool>,
        backends: impl IntoIterator<Item = &'a Backend>,
        models: impl IntoIterator<Item = &'a Model>,
        pipelines: impl IntoIterator<Item = &'a Pipeline>,
    ) -> Self {
        let pools: BTreeMap<_, _> = pools
            .into_iter()
            .filter(|pool| pool.kind == StageKind::Generate)
            .map(|pool| (&pool.name, pool))
            .collect();
        let backends = backends
            .into_iter()
            .filter(|backend| pools.contains_key(&backend.pool))
            .map(|backend| (&backend.name, backend))
            .collect();
        let models = models.into_iter().map(|model| (&model.name, model));
        let stages = pipelines.into_iter().flat_map(|pipeline| &pipeline.stages);
        Self {
            backends,
            models: models.collect(),
            in_use: stages.filter_map(|stage| stage.model.as_ref()).collect(),
            pools,
        }
    }

    /// Returns the names of the backend servers that take orders.
    pub fn engines(&self) -> impl Iterator<Item = &'a BackendName> {
        self.backends.keys().copied()
    }

    pub(crate) fn pool(&self, name: &PoolName) -> Option<&'a Pool> {
        self.pools.get(name).copied()
    }

    pub(crate) fn backend(&self, name: &BackendName) -> Option<&'a Backend> {
        self.backends.get(name).copied()
    }

    pub(crate) fn backends(&self) -> impl Iterator<Item = &'a Backend> {
        self.backends.values().copied()
    }

    pub(crate) fn model(&self, name: &ModelName) -> Option<&'a Model> {
        self.models.get(name).copied()
    }

    pub(crate) fn models(&self) -> impl Iterator<Item = &'a Model> {
        self.models.values().copied()
    }

    pub(crate) fn models_of(&self, pool: &PoolName) -> impl Iterator<Item = &'a Model> {
        self.models().filter(move |model| model.pool == *pool)
    }

    /// Returns whether a model is configured for a pool.
    pub(crate) fn has_model(&self, pool: &PoolName, model: &ModelName) -> bool {
        self.model(model).is_some_and(|model| model.pool == *pool)
    }

    /// Returns whether a pipeline uses a model.
    pub(crate) fn is_in_use(&self, model: &ModelName) -> bool {
        self.in_use.contains(model)
    }

    /// Returns the minimum replicas of a model among `engines` engines.
    pub(crate) fn floor(&self, model: &Model, engines: usize) -> u32 {
        let min_in_use = u32::from(self.is_in_use(&model.name));
        let engine_count = u32::try_from(engines).unwrap_or(u32::MAX);
        model.min_replicas.max(min_in_use).min(engine_count)
    }

    pub(crate) fn sites(&self) -> BTreeSet<Site> {
        let site = |backend: &&Backend| Site {
            zone: backend.zone.clone(),
            pool: backend.pool.clone(),
        };
        self.backends.values().map(site).collect()
    }
}
