//! Reads an intent file and reports all its problems at once.

use std::path::Path;

use savoryvane_check::{Fields, Limits};
use savoryvane_core::{
    change::Intent,
    config::{
        MAX_DEADLINE_MS, MAX_PIPELINES_PER_WORKSPACE, MAX_REPLICAS, MAX_SLOTS, MAX_STAGES,
        MAX_WEIGHT,
    },
    ids::PipelineName,
    objects::{
        Backend, Fencing, Model, ObjectKey, ObjectKind, Objective, Pipeline, Pool, Stage,
        StageKind, Workspace,
    },
};

use crate::error::{Error, Result};

/// Maximum number of objects of one kind in an intent.
const MAX_OBJECTS: usize = 20_000;
/// Attainment of a workspace that does not set one.
const DEFAULT_ATTAINMENT_PER_MILLE: u32 = 950;
const PER_MILLE: u32 = 1_000;

const KINDS: [(&str, StageKind); 5] = [
    ("encode", StageKind::Encode),
    ("retrieve", StageKind::Retrieve),
    ("rerank", StageKind::Rerank),
    ("generate", StageKind::Generate),
    ("call", StageKind::Call),
];
const FENCINGS: [(&str, Fencing); 2] =
    [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];
const OBJECTIVES: [(&str, Objective); 2] = [
    ("attainment", Objective::Attainment),
    ("cost", Objective::Cost),
];
const OBJECT_KINDS: [(&str, ObjectKind); 5] = [
    ("pool", ObjectKind::Pool),
    ("backend", ObjectKind::Backend),
    ("model", ObjectKind::Model),
    ("pipeline", ObjectKind::Pipeline),
    ("workspace", ObjectKind::Workspace),
];

/// Reads the intent file at `path`.
///
/// # Errors
///
/// Returns an error when the file can't be read, or an error that lists all problems in it.
pub(crate) fn load(path: &Path) -> Result<Intent> {
    let limits = Limits::default();
    let text = limits
        .read_file(path)
        .map_err(|err| Error::Read(path.to_owned(), err))?;
    let name = path.display().to_string();
    savoryvane_check::read(&name, &text, &limits, intent).map_err(Error::Intent)
}

fn intent(fields: &mut Fields<'_>) -> Option<Intent> {
    let pools = objects(fields, "pools", pool);
    let backends = objects(fields, "backends", backend);
    let models = objects(fields, "models", model);
    let pipelines = objects(fields, "pipelines", pipeline);
    let workspaces = objects(fields, "workspaces", workspace);
    let remove = objects(fields, "remove", object_key);
    Some(Intent {
        pools: pools?,
        backends: backends?,
        models: models?,
        pipelines: pipelines?,
        workspaces: workspaces?,
        remove: remove?,
    })
}

fn objects<T>(
    fields: &mut Fields<'_>,
    field: &'static str,
    mut reader: impl FnMut(&mut Fields<'_>) -> Option<T>,
) -> Option<Vec<T>> {
    fields.or(field, Vec::new(), |fields, key| {
        fields.list(key, 0..=MAX_OBJECTS, |item| item.map(&mut reader))
    })
}

fn pool(fields: &mut Fields<'_>) -> Option<Pool> {
    let name = fields.name("name");
    let kind = fields.choice("kind", &KINDS);
    let price_micros_per_s = fields.u64("price_micros_per_s", 0..=u64::MAX);
    let fencing = fields.or("fencing", Fencing::default(), |f, key| {
        f.choice(key, &FENCINGS)
    });
    Some(Pool {
        name: name?.as_str().into(),
        kind: kind?,
        price_micros_per_s: price_micros_per_s?,
        fencing: fencing?,
    })
}

fn backend(fields: &mut Fields<'_>) -> Option<Backend> {
    let name = fields.name("name");
    let pool = fields.name("pool");
    let zone = fields.name("zone");
    let addr = fields.addr("addr");
    let slots = fields.u32("slots", 1..=MAX_SLOTS);
    Some(Backend {
        name: name?.as_str().into(),
        pool: pool?.as_str().into(),
        zone: zone?.as_str().into(),
        addr: addr?,
        slots: slots?,
    })
}

fn model(fields: &mut Fields<'_>) -> Option<Model> {
    let name = fields.name("name");
    let pool = fields.name("pool");
    let size_mb = fields.u64("size_mb", 0..=u64::MAX);
    let min_replicas = fields.u32("min_replicas", 0..=MAX_REPLICAS);
    Some(Model {
        name: name?.as_str().into(),
        pool: pool?.as_str().into(),
        size_mb: size_mb?,
        min_replicas: min_replicas?,
    })
}

fn pipeline(fields: &mut Fields<'_>) -> Option<Pipeline> {
    let name = fields.name("name");
    let deadline_ms = fields.u64("deadline_ms", 1..=MAX_DEADLINE_MS);
    let stages = fields.list("stages", 1..=MAX_STAGES, |item| item.map(stage));
    Some(Pipeline {
        name: name?.as_str().into(),
        deadline_ms: deadline_ms?,
        stages: stages?,
    })
}

fn stage(fields: &mut Fields<'_>) -> Option<Stage> {
    let name = fields.name("name");
    let pool = fields.name("pool");
    let model = fields.optional("model", Fields::name);
    let idempotent = fields.or("idempotent", true, Fields::bool);
    let max_tokens = fields.or("max_tokens", 0, |f, key| f.u32(key, 0..=u32::MAX));
    Some(Stage {
        name: name?.as_str().into(),
        pool: pool?.as_str().into(),
        model: model?.map(|name| name.as_str().into()),
        idempotent: idempotent?,
        max_tokens: max_tokens?,
    })
}

fn workspace(fields: &mut Fields<'_>) -> Option<Workspace> {
    let name = fields.name("name");
    let credential_sha256 = fields.sha256("credential_sha256");
    let pipelines = fields.list("pipelines", 0..=MAX_PIPELINES_PER_WORKSPACE, |item| {
        item.name().map(PipelineName::new)
    });
    let weight = fields.u32("weight", 1..=MAX_WEIGHT);
    let quota_per_s = fields.u32("quota_per_s", 1..=u32::MAX);
    let objective = fields.or("objective", Objective::default(), |f, key| {
        f.choice(key, &OBJECTIVES)
    });
    let attainment_per_mille = fields.or(
        "attainment_per_mille",
        DEFAULT_ATTAINMENT_PER_MILLE,
        |f, key| f.u32(key, 0..=PER_MILLE),
    );
    Some(Workspace {
        name: name?.as_str().into(),
        credential_sha256: credential_sha256?,
        pipelines: pipelines?,
        weight: weight?,
        quota_per_s: quota_per_s?,
        objective: objective?,
        attainment_per_mille: attainment_per_mille?,
    })
}

fn object_key(fields: &mut Fields<'_>) -> Option<ObjectKey> {
    let kind = fields.choice("kind", &OBJECT_KINDS);
    let name = fields.name("name");
    Some(ObjectKey {
        kind: kind?,
        name: name?,
    })
}
