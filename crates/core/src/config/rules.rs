//! Validation of the configuration.

use std::collections::BTreeSet;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{
    config::store::Store,
    ids::{ModelName, PipelineName, PoolName, StageName, is_sha256, is_valid_name},
    objects::{Backend, Model, ObjectKey, ObjectKind, Pipeline, Pool, Stage, StageKind, Workspace},
};

/// Maximum number of stages of a pipeline.
pub const MAX_STAGES: usize = 16;
/// Maximum deadline of a pipeline, in ms.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Maximum number of concurrent calls of a backend server.
pub const MAX_SLOTS: u32 = 4_096;
/// Maximum value of a model's minimum number of engines in each availability zone.
pub const MAX_REPLICAS: u32 = 1_000;
/// Maximum weight of a workspace.
pub const MAX_WEIGHT: u32 = 1_000_000;
/// Maximum number of pipelines of a workspace.
pub const MAX_PIPELINES_PER_WORKSPACE: usize = 256;

const PER_MILLE: u32 = 1_000;

quick_error! {
    /// Reason why an object is not valid.
    #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Fault {
        /// A name is not valid.
        BadName(name: String) {
            display("name {:?}: found what is not 1 to 63 lower-case letters, digits, `-` or `.` between letters or digits", name)
        }
        /// A number is out of its range.
        OutOfRange(field: String, found: u64, min: u64, max: u64) {
            display("{}: found {}, allowed are {} to {}", field, found, min, max)
        }
        /// A referenced pool would not exist.
        UnknownPool(name: PoolName) {
            display("pool {:?} is not configured, or would be removed", name.as_str())
        }
        /// A referenced model would not exist.
        UnknownModel(name: ModelName) {
            display("model {:?} is not configured, or would be removed", name.as_str())
        }
        /// A referenced pipeline would not exist.
        UnknownPipeline(name: PipelineName) {
            display("pipeline {:?} is not configured, or would be removed", name.as_str())
        }
        /// A model is assigned to a pool that is not of kind generate.
        NotGenerating(pool: PoolName) {
            display("pool {:?} is not of kind generate, so it serves no model", pool.as_str())
        }
        /// A stage and its model belong to different pools.
        ModelOfOtherPool(model: ModelName, pool: PoolName) {
            display("model {:?} is not served by pool {:?}", model.as_str(), pool.as_str())
        }
        /// Two stages of a pipeline have the same name.
        DuplicateStage(name: StageName) {
            display("stage {:?} is named twice", name.as_str())
        }
        /// A workspace lists a pipeline twice.
        DuplicatePipeline(name: PipelineName) {
            display("pipeline {:?} is named twice", name.as_str())
        }
        /// The credential's digest is not 64 lower-case hex digits.
        BadCredential {
            display("credential_sha256: allowed are 64 lower-case hex digits")
        }
    }
}

/// An invalid object and the reason.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Violation {
    /// Object that would not be valid.
    pub key: ObjectKey,
    /// Reason why it is not valid.
    pub fault: Fault,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.key, self.fault)
    }
}

/// Checks the touched objects and the objects that refer to them. All other objects
/// were valid before and remain valid.
pub(crate) fn check(store: &Store, touched: &BTreeSet<ObjectKey>) -> Vec<Violation> {
    let mut found = Vec::new();
    for key in affected(store, touched) {
        for fault in find_faults(store, &key) {
            found.push(Violation {
                key: key.clone(),
                fault,
            });
        }
    }
    found
}

/// Touched objects, to look up the objects that refer to them.
struct Touched<'a>(&'a BTreeSet<ObjectKey>);

impl Touched<'_> {
    fn any(&self, kind: ObjectKind) -> bool {
        self.0.iter().any(|key| key.kind == kind)
    }

    fn contains(&self, kind: ObjectKind, name: &str) -> bool {
        self.0.contains(&key(kind, name))
    }

    fn contains_stage(&self, stage: &Stage) -> bool {
        let model = stage.model.as_ref();
        self.contains(ObjectKind::Pool, stage.pool.as_str())
            || model.is_some_and(|name| self.contains(ObjectKind::Model, name.as_str()))
    }
}

fn key(kind: ObjectKind, name: &str) -> ObjectKey {
    ObjectKey {
        kind,
        name: name.to_owned(),
    }
}

fn affected(store: &Store, touched: &BTreeSet<ObjectKey>) -> BTreeSet<ObjectKey> {
    let mut keys = touched.clone();
    let touched = Touched(touched);
    if touched.any(ObjectKind::Pool) {
        keys.extend(references_to_pools(store, &touched));
    }
    if touched.any(ObjectKind::Pool) || touched.any(ObjectKind::Model) {
        keys.extend(references_in_stages(store, &touched));
    }
    if touched.any(ObjectKind::Pipeline) {
        keys.extend(references_to_pipelines(store, &touched));
    }
    keys
}

fn references_to_pools(store: &Store, touched: &Touched<'_>) -> impl Iterator<Item = ObjectKey> {
    let uses = |pool: &PoolName| touched.contains(ObjectKind::Pool, pool.as_str());
    let backends = store
        .backends
        .values()
        .filter(move |object| uses(&object.pool));
    let models = store
        .models
        .values()
        .filter(move |object| uses(&object.pool));
    let backends = backends.map(|object| key(ObjectKind::Backend, object.name.as_str()));
    backends.chain(models.map(|object| key(ObjectKind::Model, object.name.as_str())))
}

fn references_in_stages(store: &Store, touched: &Touched<'_>) -> impl Iterator<Item = ObjectKey> {
    let uses = |object: &Pipeline| {
        object
            .stages
            .iter()
            .any(|stage| touched.contains_stage(stage))
    };
    let pipelines = store.pipelines.values().filter(move |object| uses(object));
    pipelines.map(|object| key(ObjectKind::Pipeline, object.name.as_str()))
}

fn references_to_pipelines(
    store: &Store,
    touched: &Touched<'_>,
) -> impl Iterator<Item = ObjectKey> {
    let is_touched = |name: &PipelineName| touched.contains(ObjectKind::Pipeline, name.as_str());
    let uses = move |object: &Workspace| object.pipelines.iter().any(is_touched);
    let workspaces = store.workspaces.values().filter(move |object| uses(object));
    workspaces.map(|object| key(ObjectKind::Workspace, object.name.as_str()))
}

fn find_faults(store: &Store, key: &ObjectKey) -> Vec<Fault> {
    let name = key.name.as_str();
    let mut found = Vec::new();
    match key.kind {
        ObjectKind::Pool => {
            if let Some(pool) = store.pools.get(name) {
                check_pool(pool, &mut found);
            }
        }
        ObjectKind::Backend => {
            if let Some(backend) = store.backends.get(name) {
                check_backend(store, backend, &mut found);
            }
        }
        ObjectKind::Model => {
            if let Some(model) = store.models.get(name) {
                check_model(store, model, &mut found);
            }
        }
        ObjectKind::Pipeline => {
            if let Some(pipeline) = store.pipelines.get(name) {
                check_pipeline(store, pipeline, &mut found);
            }
        }
        ObjectKind::Workspace => {
            if let Some(workspace) = store.workspaces.get(name) {
                check_workspace(store, workspace, &mut found);
            }
        }
    }
    found
}

fn check_name(name: &str, found: &mut Vec<Fault>) {
    if !is_valid_name(name) {
        found.push(Fault::BadName(name.to_owned()));
    }
}

fn check_range(field: &str, value: u64, min: u64, max: u64, found: &mut Vec<Fault>) {
    if value < min || value > max {
        found.push(Fault::OutOfRange(field.to_owned(), value, min, max));
    }
}

fn check_pool(pool: &Pool, found: &mut Vec<Fault>) {
    check_name(pool.name.as_str(), found);
}

fn check_backend(store: &Store, backend: &Backend, found: &mut Vec<Fault>) {
    check_name(backend.name.as_str(), found);
    check_name(backend.zone.as_str(), found);
    check_range("slots", backend.slots.into(), 1, MAX_SLOTS.into(), found);
    if !store.pools.contains_key(&backend.pool) {
        found.push(Fault::UnknownPool(backend.pool.clone()));
    }
}

fn check_model(store: &Store, model: &Model, found: &mut Vec<Fault>) {
    check_name(model.name.as_str(), found);
    let replicas = model.min_replicas.into();
    check_range("min_replicas", replicas, 0, MAX_REPLICAS.into(), found);
    match store.pools.get(&model.pool) {
        None => found.push(Fault::UnknownPool(model.pool.clone())),
        Some(pool) if pool.kind != StageKind::Generate => {
            found.push(Fault::NotGenerating(model.pool.clone()));
        }
        Some(_) => {}
    }
}

fn check_pipeline(store: &Store, pipeline: &Pipeline, found: &mut Vec<Fault>) {
    check_name(pipeline.name.as_str(), found);
    check_range(
        "deadline_ms",
        pipeline.deadline_ms,
        1,
        MAX_DEADLINE_MS,
        found,
    );
    let stages = pipeline.stages.len();
    check_range("stages", stages as u64, 1, MAX_STAGES as u64, found);
    let mut names = BTreeSet::new();
    for stage in &pipeline.stages {
        check_name(stage.name.as_str(), found);
        if !names.insert(&stage.name) {
            found.push(Fault::DuplicateStage(stage.name.clone()));
        }
        check_stage(store, stage, found);
    }
}

fn check_stage(store: &Store, stage: &Stage, found: &mut Vec<Fault>) {
    let pool = store.pools.get(&stage.pool);
    if pool.is_none() {
        found.push(Fault::UnknownPool(stage.pool.clone()));
    }
    let Some(name) = &stage.model else { return };
    if pool.is_some_and(|pool| pool.kind != StageKind::Generate) {
        found.push(Fault::NotGenerating(stage.pool.clone()));
    }
    match store.models.get(name) {
        None => found.push(Fault::UnknownModel(name.clone())),
        Some(model) if model.pool != stage.pool => {
            found.push(Fault::ModelOfOtherPool(name.clone(), stage.pool.clone()));
        }
        Some(_) => {}
    }
}

fn check_workspace(store: &Store, workspace: &Workspace, found: &mut Vec<Fault>) {
    check_name(workspace.name.as_str(), found);
    check_range(
        "weight",
        workspace.weight.into(),
        1,
        MAX_WEIGHT.into(),
        found,
    );
    let quota = workspace.quota_per_s.into();
    check_range("quota_per_s", quota, 1, u32::MAX.into(), found);
    let attainment = workspace.attainment_per_mille.into();
    check_range(
        "attainment_per_mille",
        attainment,
        0,
        PER_MILLE.into(),
        found,
    );
    let pipelines = workspace.pipelines.len() as u64;
    check_range(
        "pipelines",
        pipelines,
        0,
        MAX_PIPELINES_PER_WORKSPACE as u64,
        found,
    );
    if !is_sha256(&workspace.credential_sha256) {
        found.push(Fault::BadCredential);
    }
    let mut names = BTreeSet::new();
    for name in &workspace.pipelines {
        if !names.insert(name) {
            found.push(Fault::DuplicatePipeline(name.clone()));
        }
        if !store.pipelines.contains_key(name) {
            found.push(Fault::UnknownPipeline(name.clone()));
        }
    }
}
