//! Objects in force, by kind and name.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ids::{BackendName, ModelName, PipelineName, PoolName, WorkspaceName},
    objects::{Backend, Model, Object, ObjectKey, ObjectKind, Pipeline, Pool, Workspace},
};

/// Objects by name. Values are reference-counted, so that clones for readers are cheap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Store {
    pub(crate) pools: BTreeMap<PoolName, Arc<Pool>>,
    pub(crate) backends: BTreeMap<BackendName, Arc<Backend>>,
    pub(crate) models: BTreeMap<ModelName, Arc<Model>>,
    pub(crate) pipelines: BTreeMap<PipelineName, Arc<Pipeline>>,
    pub(crate) workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
}

impl Store {
    /// Inserts an object and returns the one that it replaces.
    pub(crate) fn put(&mut self, object: Object) -> Option<Object> {
        match object {
            Object::Pool(pool) => self
                .pools
                .insert(pool.name.clone(), Arc::new(pool))
                .map(|old| Object::Pool(Arc::unwrap_or_clone(old))),
            Object::Backend(backend) => self
                .backends
                .insert(backend.name.clone(), Arc::new(backend))
                .map(|old| Object::Backend(Arc::unwrap_or_clone(old))),
            Object::Model(model) => self
                .models
                .insert(model.name.clone(), Arc::new(model))
                .map(|old| Object::Model(Arc::unwrap_or_clone(old))),
            Object::Pipeline(pipeline) => self
                .pipelines
                .insert(pipeline.name.clone(), Arc::new(pipeline))
                .map(|old| Object::Pipeline(Arc::unwrap_or_clone(old))),
            Object::Workspace(workspace) => self
                .workspaces
                .insert(workspace.name.clone(), Arc::new(workspace))
                .map(|old| Object::Workspace(Arc::unwrap_or_clone(old))),
        }
    }

    /// Removes an object and returns it.
    pub(crate) fn remove(&mut self, key: &ObjectKey) -> Option<Object> {
        let name = key.name.as_str();
        match key.kind {
            ObjectKind::Pool => self
                .pools
                .remove(name)
                .map(|old| Object::Pool(Arc::unwrap_or_clone(old))),
            ObjectKind::Backend => self
                .backends
                .remove(name)
                .map(|old| Object::Backend(Arc::unwrap_or_clone(old))),
            ObjectKind::Model => self
                .models
                .remove(name)
                .map(|old| Object::Model(Arc::unwrap_or_clone(old))),
            ObjectKind::Pipeline => self
                .pipelines
                .remove(name)
                .map(|old| Object::Pipeline(Arc::unwrap_or_clone(old))),
            ObjectKind::Workspace => self
                .workspaces
                .remove(name)
                .map(|old| Object::Workspace(Arc::unwrap_or_clone(old))),
        }
    }

    /// Returns whether an object with this key is in force.
    pub(crate) fn contains(&self, key: &ObjectKey) -> bool {
        let name = key.name.as_str();
        match key.kind {
            ObjectKind::Pool => self.pools.contains_key(name),
            ObjectKind::Backend => self.backends.contains_key(name),
            ObjectKind::Model => self.models.contains_key(name),
            ObjectKind::Pipeline => self.pipelines.contains_key(name),
            ObjectKind::Workspace => self.workspaces.contains_key(name),
        }
    }

    /// Returns whether an identical object is in force.
    pub(crate) fn contains_identical(&self, object: &Object) -> bool {
        match object {
            Object::Pool(pool) => self
                .pools
                .get(&pool.name)
                .is_some_and(|stored| **stored == *pool),
            Object::Backend(backend) => self
                .backends
                .get(&backend.name)
                .is_some_and(|stored| **stored == *backend),
            Object::Model(model) => self
                .models
                .get(&model.name)
                .is_some_and(|stored| **stored == *model),
            Object::Pipeline(pipeline) => self
                .pipelines
                .get(&pipeline.name)
                .is_some_and(|stored| **stored == *pipeline),
            Object::Workspace(workspace) => self
                .workspaces
                .get(&workspace.name)
                .is_some_and(|stored| **stored == *workspace),
        }
    }

    /// Returns copies of all objects, ordered by kind and name.
    pub(crate) fn objects(&self) -> impl Iterator<Item = Object> + '_ {
        let pools = self
            .pools
            .values()
            .map(|object| Object::Pool((**object).clone()));
        let backends = self.backends.values();
        let backends = backends.map(|object| Object::Backend((**object).clone()));
        let models = self
            .models
            .values()
            .map(|object| Object::Model((**object).clone()));
        let pipelines = self.pipelines.values();
        let pipelines = pipelines.map(|object| Object::Pipeline((**object).clone()));
        let workspaces = self.workspaces.values();
        let workspaces = workspaces.map(|object| Object::Workspace((**object).clone()));
        pools
            .chain(backends)
            .chain(models)
            .chain(pipelines)
            .chain(workspaces)
    }
}
