//! Wall time of one decision, at today's size and at that of a large zone.

use std::{
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, Throughput};
use savoryvane_core::{
    call::{LoadReport, ServingState},
    change::{Change, ChangeOp},
    claim::{Batch, ClaimId, Entry, Fingerprint, KeyHash},
    claim_index::{ClaimIndex, ClaimRecord, IndexLimits},
    config::{Applied, ConfigRecord, State, change_id},
    execution::{Event, Execution, ExecutionSpec},
    fleet::Fleet,
    forwarding::EventSplitter,
    ids::{IdempotencyKey, Incarnation, Offset, WorkspaceName},
    objects::{Backend, Fencing, Object, Objective, Pipeline, Pool, Stage, StageKind, Workspace},
    settings::{Admission, PolicySettings},
};
use serde_json::Value;

/// How much there is to decide about.
#[derive(Clone, Copy, Debug)]
struct Size {
    name: &'static str,
    runners: usize,
    instances: u32,
    workspaces: usize,
    claims: u64,
}

const SIZES: [Size; 2] = [
    Size {
        name: "today",
        runners: 18,
        instances: 9,
        workspaces: 5,
        claims: 10_000,
    },
    Size {
        name: "large_zone",
        runners: 283,
        instances: 95,
        workspaces: 13_000,
        claims: 1_000_000,
    },
];

const POOL: &str = "lm";
const NOW_MS: u64 = 1_000_000;
const DEADLINE_MS: u64 = 4_000;

fn pool() -> Pool {
    Pool {
        name: POOL.into(),
        kind: StageKind::Generate,
        price_micros_per_s: 700,
        fencing: Fencing::Ignored,
    }
}

fn backend(number: usize) -> Backend {
    Backend {
        name: format!("lm-{number}").as_str().into(),
        pool: POOL.into(),
        zone: "zone".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 8,
    }
}

fn workspace(number: usize) -> Workspace {
    Workspace {
        name: format!("workspace-{number}").as_str().into(),
        credential_sha256: format!("{number:064x}"),
        pipelines: vec!["chat".into()],
        weight: 1,
        quota_per_s: 1_000_000,
        objective: Objective::Attainment,
        attainment_per_mille: 950,
    }
}

fn pipeline() -> Pipeline {
    Pipeline {
        name: "chat".into(),
        deadline_ms: DEADLINE_MS,
        stages: vec![Stage {
            name: POOL.into(),
            pool: POOL.into(),
            model: None,
            idempotent: true,
            max_tokens: 32,
        }],
    }
}

fn fleet(size: Size, admission: Admission) -> Fleet {
    let settings = PolicySettings {
        admission,
        ..PolicySettings::default()
    };
    let mut fleet = Fleet::new("entry-0".into(), "zone".into(), settings, 1);
    let backends: Vec<Backend> = (0..size.runners).map(backend).collect();
    fleet.configure(&[pool()], &backends);
    fleet.set_peers(size.instances - 1);
    let workspaces: Vec<Workspace> = (0..size.workspaces).map(workspace).collect();
    fleet.configure_workspaces(&workspaces);
    for backend in &backends {
        let report = LoadReport {
            server: backend.name.clone(),
            state: ServingState::Serving,
            running: 4,
            queued: 0,
            slots: 8,
            age_ms: 500,
            models: Vec::new(),
        };
        fleet.on_load_report(NOW_MS, &report);
    }
    fleet
}

/// Takes one request as far as its first call and gives it up again: admission
/// (unless it is off), routing and their decision values.
fn take_one(fleet: &mut Fleet, pipeline: &Arc<Pipeline>, workspace: &WorkspaceName, number: u64) {
    let now_ms = NOW_MS + number / 100;
    let spec = ExecutionSpec {
        request: "request".into(),
        workspace: workspace.clone(),
        pipeline: Arc::clone(pipeline),
        input: Value::Null.into(),
        deadline_at_ms: now_ms + DEADLINE_MS,
        attempt_base: 0,
        objective: Objective::Attainment,
        priority: 0,
        earlier_may_have_run: false,
        prefix: None,
    };
    let mut execution = Execution::new(spec, now_ms);
    black_box(execution.on_event(now_ms, Event::Start, fleet));
    black_box(execution.on_event(now_ms, Event::CallerGone, fleet));
}

fn route_and_admit(criterion: &mut Criterion) {
    let pipeline = Arc::new(pipeline());
    for (name, admission) in [
        ("route", Admission::Off),
        ("admit_and_route", Admission::ByForecast),
    ] {
        let mut group = criterion.benchmark_group(name);
        for size in SIZES {
            let mut fleet = fleet(size, admission);
            let workspaces: Vec<WorkspaceName> =
                (0..size.workspaces).map(|n| workspace(n).name).collect();
            let mut number = 0u64;
            group.bench_function(BenchmarkId::from_parameter(size.name), |bencher| {
                bencher.iter(|| {
                    number += 1;
                    let workspace = &workspaces[number as usize % workspaces.len()];
                    take_one(&mut fleet, &pipeline, workspace, number);
                });
            });
        }
        group.finish();
    }
}

/// Applies a change and returns the time that this took.
fn put(state: &mut State, object: Object) -> Duration {
    let offset = state.next();
    let operator = "operator".into();
    let ops = vec![ChangeOp::Put(object)];
    let record = ConfigRecord::Change(Change {
        id: change_id(offset, &operator, &ops),
        base: offset,
        operator,
        ops,
    });
    let start = Instant::now();
    let applied = black_box(state.apply(offset, &record));
    let elapsed = start.elapsed();
    assert!(
        !matches!(applied, Applied::Invalid { .. }),
        "{applied:?} at {offset}"
    );
    elapsed
}

fn config_apply(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("config_apply");
    for size in SIZES {
        let mut state = State::new();
        let backends = (0..size.runners).map(|n| Object::Backend(backend(n)));
        let workspaces = (0..size.workspaces).map(|n| Object::Workspace(workspace(n)));
        let all = [Object::Pool(pool()), Object::Pipeline(pipeline())];
        for object in all.into_iter().chain(backends).chain(workspaces) {
            put(&mut state, object);
        }
        assert_eq!(state.workspaces().len(), size.workspaces, "all are valid");
        group.bench_function(BenchmarkId::from_parameter(size.name), |bencher| {
            bencher.iter_custom(|times| {
                (0..times)
                    .map(|time| {
                        let changed = time as usize % size.workspaces;
                        put(&mut state, Object::Workspace(workspace(changed)))
                    })
                    .sum()
            });
        });
    }
    group.finish();
}

fn claim(number: u64) -> Entry {
    let key = IdempotencyKey::new(format!("key-{number}"));
    Entry::Claim {
        key: KeyHash::of(&"workspace".into(), &key),
        id: ClaimId {
            incarnation: Incarnation(1),
            seq: number,
        },
        fingerprint: Fingerprint::of(&"chat".into(), b"input"),
        instance: "entry-0".into(),
    }
}

fn claim_check(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("claim_check");
    for size in SIZES {
        let mut index = ClaimIndex::new(IndexLimits {
            window_ms: u64::MAX / 2,
            max_keys: usize::MAX,
            max_answer_bytes: 1 << 20,
        });
        for number in 0..size.claims {
            let batch = Batch {
                entries: vec![claim(number)],
            };
            index.apply(&ClaimRecord {
                offset: Offset(number),
                appended_at_ms: number,
                batch: Some(&batch),
            });
        }
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(size.name), |bencher| {
            bencher.iter(|| {
                number += 1;
                let key = IdempotencyKey::new(format!("key-{}", number % size.claims));
                let hash = KeyHash::of(&"workspace".into(), &key);
                black_box(index.key_status(&hash));
            });
        });
    }
    group.finish();
}

/// Splits one event that arrives in reads of 8 KiB.
fn split_event(criterion: &mut Criterion) {
    const READ_LEN: usize = 8 << 10;
    let mut group = criterion.benchmark_group("split_event");
    for event_len in [100, 10_000, 1_000_000] {
        let event = format!("id: 1\ndata: {}\n\n", "x".repeat(event_len));
        let event = Bytes::from(event);
        group.throughput(Throughput::Bytes(event.len() as u64));
        group.bench_function(BenchmarkId::from_parameter(event_len), |bencher| {
            bencher.iter(|| {
                let mut splitter = EventSplitter::new(true);
                for begin in (0..event.len()).step_by(READ_LEN) {
                    let end = (begin + READ_LEN).min(event.len());
                    black_box(splitter.push(event.slice(begin..end)));
                }
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    route_and_admit(&mut criterion);
    config_apply(&mut criterion);
    claim_check(&mut criterion);
    split_event(&mut criterion);
    criterion.final_summary();
}
