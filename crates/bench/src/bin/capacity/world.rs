//! Objects of the full size, or of a part of it.

use savoryvane_core::{
    call::{LoadReport, ServingState},
    change::{Change, Intent},
    claim::{Batch, ClaimId, Completion, Entry, Fingerprint, KeyHash},
    claim_index::{ClaimIndex, ClaimRecord, IndexLimits},
    config::{ConfigRecord, State},
    ids::{
        IdempotencyKey, Incarnation, InstanceName, Offset, OperatorName, PipelineName,
        WorkspaceName, ZoneName,
    },
    objects::{Backend, Fencing, Object, Pipeline, Pool, Stage, StageKind, Workspace},
    outcome::Outcome,
};
use savoryvane_wire::platform::{Listed, ListedRole, ListedState, Listing};

/// Objects put by one change.
const OPS: usize = 100;
/// Pools of the full size.
pub(crate) const POOLS: usize = 18;

/// Makes a workspace.
pub(crate) fn workspace(index: usize) -> Workspace {
    Workspace {
        name: workspace_name(index),
        credential_sha256: format!("{index:064x}"),
        pipelines: vec![format!("pipeline-{:02}", index % POOLS).as_str().into()],
        weight: 1,
        quota_per_s: 5,
        objective: Default::default(),
        attainment_per_mille: 950,
    }
}

/// Makes the name of a workspace.
pub(crate) fn workspace_name(index: usize) -> WorkspaceName {
    WorkspaceName::new(format!("workspace-{index:05}"))
}

/// Makes the pools.
pub(crate) fn pools() -> Vec<Pool> {
    let pool = |index: usize| Pool {
        name: format!("pool-{index:02}").as_str().into(),
        kind: StageKind::Encode,
        price_micros_per_s: 1_000,
        fencing: Fencing::Checked,
    };
    (0..POOLS).map(pool).collect()
}

/// Makes a backend server of one of six zones.
pub(crate) fn backend(index: usize) -> Backend {
    Backend {
        name: format!("runner-{index:04}").as_str().into(),
        pool: format!("pool-{:02}", index % POOLS).as_str().into(),
        zone: format!("zone-{}", index / POOLS % 6).as_str().into(),
        addr: ([10, 1, (index / 250) as u8, (index % 250) as u8 + 1], 9_000).into(),
        slots: 64,
    }
}

/// Makes a load report of a backend server.
pub(crate) fn load_report(index: usize) -> LoadReport {
    LoadReport {
        server: backend(index).name,
        state: ServingState::Serving,
        running: 40,
        queued: 3,
        slots: 64,
        age_ms: 120,
        models: vec!["chat-large".into(), "chat-small".into()],
    }
}

/// Makes a change that puts one workspace, planned against `state`.
pub(crate) fn change(state: &State, index: usize) -> Change {
    planned(state, vec![Object::Workspace(workspace(index))])
}

/// Makes a change that puts these objects, planned against `state`.
pub(crate) fn planned(state: &State, objects: Vec<Object>) -> Change {
    let mut intent = Intent::default();
    for object in objects {
        match object {
            Object::Pool(pool) => intent.pools.push(pool),
            Object::Backend(backend) => intent.backends.push(backend),
            Object::Model(model) => intent.models.push(model),
            Object::Pipeline(pipeline) => intent.pipelines.push(pipeline),
            Object::Workspace(workspace) => intent.workspaces.push(workspace),
        }
    }
    let plan = state.plan(&intent, &OperatorName::new("anna"));
    plan.expect("the objects are valid").change
}

/// Applies a change at the state's next offset.
pub(crate) fn apply(state: &mut State, change: Change) {
    let offset = state.next();
    state.apply(offset, &ConfigRecord::Change(change));
}

fn pipeline(index: usize) -> Pipeline {
    let stage = |stage: usize| Stage {
        name: format!("stage-{stage}").as_str().into(),
        pool: format!("pool-{:02}", (index + stage) % POOLS)
            .as_str()
            .into(),
        model: None,
        idempotent: true,
        max_tokens: 0,
    };
    Pipeline {
        name: format!("pipeline-{index:02}").as_str().into(),
        deadline_ms: 4_000,
        stages: (0..4).map(stage).collect(),
    }
}

/// Makes a state with the pools, the pipelines, this many backend servers and
/// this many workspaces.
///
/// # Panics
///
/// Panics when an object is not taken over.
pub(crate) fn state(backends: usize, workspaces: usize) -> State {
    let pools = pools().into_iter().map(Object::Pool);
    let pipelines = (0..POOLS).map(|i| Object::Pipeline(pipeline(i)));
    let backends = (0..backends).map(|i| Object::Backend(backend(i)));
    let workspaces = (0..workspaces).map(|i| Object::Workspace(workspace(i)));
    let objects = pools.chain(pipelines).chain(backends).chain(workspaces);
    let objects: Vec<_> = objects.collect();
    let mut state = State::new();
    for chunk in objects.chunks(OPS) {
        let change = planned(&state, chunk.to_vec());
        apply(&mut state, change);
    }
    assert_eq!(state.objects().count(), objects.len());
    state
}

/// Makes the claim and the end of a request under a key.
pub(crate) fn claim_entries(index: u64) -> [Entry; 2] {
    let workspace = workspace_name((index % 13_000) as usize);
    let key = KeyHash::of(&workspace, &IdempotencyKey::new(format!("key-{index}")));
    let id = ClaimId {
        incarnation: Incarnation(index.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        seq: index,
    };
    let fingerprint = Fingerprint::of(&PipelineName::new("hold"), b"{}");
    let completion = Completion::new(Outcome::Complete, &[b'x'; 300]);
    [
        Entry::Claim {
            key,
            id,
            instance: InstanceName::new("entry-000"),
            fingerprint,
        },
        Entry::Done {
            key,
            id,
            completion,
        },
    ]
}

/// Makes an index that has seen the claims and ends of `keys` requests.
pub(crate) fn claim_index(keys: u64) -> ClaimIndex {
    let mut index = ClaimIndex::new(IndexLimits {
        window_ms: 86_400_000,
        max_keys: usize::MAX,
        max_answer_bytes: usize::MAX,
    });
    for number in 0..keys {
        let entries = claim_entries(number).to_vec();
        let batch = Batch { entries };
        index.apply(&ClaimRecord {
            offset: Offset(number),
            appended_at_ms: number,
            batch: Some(&batch),
        });
    }
    index
}

/// Makes the platform's list.
pub(crate) fn listing(entries: usize) -> Listing {
    let listed = |index: usize| Listed {
        name: InstanceName::new(format!("runner-{index:04}")).to_string(),
        role: ListedRole::Backend,
        zone: ZoneName::new(format!("zone-{}", index % 6)),
        addr: backend(index).addr,
        state: ListedState::Live,
    };
    Listing {
        as_of_ms: 1_764_700_000_000,
        entries: (0..entries).map(listed).collect(),
    }
}
