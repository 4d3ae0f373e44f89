//! Small configurations and records for the tests of the `config` module.
#![allow(dead_code)]

use savoryvane_core::{
    change::{Change, ChangeOp, Intent},
    config::{Applied, ConfigRecord, State, change_id},
    ids::{Offset, OperatorName},
    objects::{
        Backend, Fencing, Model, Object, ObjectKey, ObjectKind, Pipeline, Pool, Stage, StageKind,
        Workspace,
    },
};

pub fn pool(name: &str, price: u64) -> Pool {
    Pool {
        name: name.into(),
        kind: StageKind::Generate,
        price_micros_per_s: price,
        fencing: Fencing::Ignored,
    }
}

pub fn backend(name: &str, pool: &str, slots: u32) -> Backend {
    Backend {
        name: name.into(),
        pool: pool.into(),
        zone: "zone-a".into(),
        addr: ([127, 0, 0, 1], 9000).into(),
        slots,
    }
}

pub fn model(name: &str, pool: &str) -> Model {
    Model {
        name: name.into(),
        pool: pool.into(),
        size_mb: 800,
        min_replicas: 2,
    }
}

pub fn stage(name: &str, pool: &str) -> Stage {
    Stage {
        name: name.into(),
        pool: pool.into(),
        model: None,
        idempotent: true,
        max_tokens: 0,
    }
}

pub fn pipeline(name: &str, pool: &str) -> Pipeline {
    Pipeline {
        name: name.into(),
        deadline_ms: 4_000,
        stages: vec![stage("only", pool)],
    }
}

pub fn workspace(name: &str, pipeline: &str) -> Workspace {
    Workspace {
        name: name.into(),
        credential_sha256: "ab".repeat(32),
        pipelines: vec![pipeline.into()],
        weight: 1,
        quota_per_s: 10,
        objective: Default::default(),
        attainment_per_mille: 950,
    }
}

pub fn key(kind: ObjectKind, name: &str) -> ObjectKey {
    ObjectKey {
        kind,
        name: name.to_owned(),
    }
}

pub fn operator() -> OperatorName {
    "anna".into()
}

pub fn change(base: u64, ops: Vec<ChangeOp>) -> Change {
    Change {
        id: change_id(Offset(base), &operator(), &ops),
        base: Offset(base),
        operator: operator(),
        ops,
    }
}

pub fn put_pool(base: u64, name: &str, price: u64) -> ConfigRecord {
    let put = ChangeOp::Put(Object::Pool(pool(name, price)));
    ConfigRecord::Change(change(base, vec![put]))
}

pub fn apply_next(state: &mut State, record: &ConfigRecord) -> Applied {
    state.apply(state.next(), record)
}

pub fn small_intent() -> Intent {
    Intent {
        pools: vec![pool("llm", 5)],
        backends: vec![backend("runner-1", "llm", 4)],
        models: vec![model("chat", "llm")],
        pipelines: vec![pipeline("quote", "llm")],
        workspaces: vec![workspace("signs", "quote")],
        remove: Vec::new(),
    }
}

pub fn small_state() -> State {
    let mut state = State::new();
    let plan = state.plan(&small_intent(), &operator()).unwrap();
    let applied = apply_next(&mut state, &ConfigRecord::Change(plan.change));
    assert_eq!(applied, Applied::InForce);
    state
}

pub mod world;
