//! Measures non-idempotent requests: latency with a claim and with a ticket, appends
//! per second, and the requests served during an outage of the log.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use common::{Deployment, KINDS, credential};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use savoryvane_core::{
    claim::{ClaimId, Completion, Entry, Fingerprint, KeyHash},
    claim_batcher::{AppendResult, BatchLimits, ClaimBatcher, interval_ms},
    ids::Incarnation,
    objects::StageKind,
    outcome::Outcome,
};
use savoryvane_standins::{
    CallerSettings, ListServer, ListSettings, LoadSettings, LogFaults, Report, Step, Warrants,
    client::Version, run_load,
};
use savoryvane_wire::{
    claims::decode,
    platform::{CLAIM_STREAM, Listed, ListedRole, ListedState},
};
use tokio::time;

/// Number of entry instances, as in a typical deployment.
const INSTANCES: usize = 8;
/// Latency of each exchange with the log, in ms.
const LOG_LATENCY_MS: u64 = 5;
/// Total append rate of all appenders; the default of the settings.
const APPENDS_PER_S: u64 = 200;
const SIMULATED_MS: u64 = 60_000;
/// Duration of a run, from its claim to its end, in ms.
const RUN_MS: u64 = 600;
const DEADLINE_MS: u64 = 4_000;
const DURATION_MS: u64 = 8_000;
/// Maximum number of tokens in the pipelines of the deployment.
const MAX_TOKENS: u32 = 64;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    pipeline: &'static str,
    warrants: Warrants,
    rate_per_s: u32,
    log_faults: fn() -> LogFaults,
}

const CASES: [Case; 7] = [
    case("no key, idempotent", "quote", Warrants::None, 20, slow),
    case("key", "hold", Warrants::Keys, 20, slow),
    case("ticket", "hold", Warrants::Tickets, 20, slow),
    case("key", "hold", Warrants::Keys, 200, slow),
    case("ticket", "hold", Warrants::Tickets, 200, slow),
    case("key, log away", "hold", Warrants::Keys, 100, unavailable),
    case(
        "ticket, log away",
        "hold",
        Warrants::Tickets,
        100,
        unavailable,
    ),
];

const fn case(
    name: &'static str,
    pipeline: &'static str,
    warrants: Warrants,
    rate_per_s: u32,
    log_faults: fn() -> LogFaults,
) -> Case {
    Case {
        name,
        pipeline,
        warrants,
        rate_per_s,
        log_faults,
    }
}

fn slow() -> LogFaults {
    LogFaults {
        slow_ms: LOG_LATENCY_MS,
        ..LogFaults::default()
    }
}

fn unavailable() -> LogFaults {
    LogFaults {
        outage: true,
        ..LogFaults::default()
    }
}

#[tokio::main]
async fn main() {
    let deployment = start_deployment().await;
    println!("{INSTANCES} instances, log {LOG_LATENCY_MS} ms an exchange, {DURATION_MS} ms a case");
    println!("case | requests/s | right | refused | p50 ms | p99 ms | appends/s | entries/append");
    for case in CASES {
        deployment.log.set_faults((case.log_faults)());
        time::sleep(Duration::from_millis(1_000)).await;
        let payloads_before = deployment.log.payloads(CLAIM_STREAM).len();
        let report = load(&deployment, case).await;
        let payloads = deployment.log.payloads(CLAIM_STREAM);
        print(
            case,
            &report,
            payloads.get(payloads_before..).unwrap_or_default(),
        );
    }
    println!(
        "batching alone, by the core: appenders | requests/s | wait p50 ms | p99 ms | appends/s | entries/append"
    );
    for (appenders, requests_per_s) in [(8, 200), (570, 700), (6, 700)] {
        simulate_batching(appenders, requests_per_s);
    }
}

/// Simulates one minute of the core's batchers, where each claim is followed by the
/// record of its end, and prints the wait of claims until their append.
fn simulate_batching(appenders: u64, requests_per_s: u64) {
    let mut rng = StdRng::seed_from_u64(1);
    let limits = BatchLimits {
        interval_ms: interval_ms(appenders, APPENDS_PER_S),
        heartbeat_interval_ms: u64::MAX / 2,
        max_entries: 512,
        max_bytes: 60_000,
        max_pending: 4_096,
    };
    let mut waits_ms = Vec::new();
    let (mut appends, mut entries) = (0, 0);
    for _ in 0..appenders {
        let mut batcher = ClaimBatcher::new(limits);
        let mut pushed_at_ms = HashMap::new();
        let mut run_ends: VecDeque<(u64, ClaimId)> = VecDeque::new();
        for now_ms in 0..SIMULATED_MS {
            // Each appender gets an equal share of the requests.
            if rng.random_range(0..1_000 * appenders) < requests_per_s {
                let id = ClaimId {
                    incarnation: Incarnation(1),
                    seq: now_ms,
                };
                pushed_at_ms.insert(id, now_ms);
                run_ends.push_back((now_ms + RUN_MS, id));
                batcher.push(entry(id, false));
            }
            while run_ends.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
                let ended_run = run_ends.pop_front();
                ended_run
                    .into_iter()
                    .for_each(|(_, id)| batcher.push(entry(id, true)));
            }
            let Some(batch) = batcher.poll(now_ms) else {
                continue;
            };
            appends += 1;
            entries += batch.entries.len();
            for id in batch.entries.iter().map(Entry::id) {
                waits_ms.extend(pushed_at_ms.remove(&id).map(|pushed| now_ms - pushed));
            }
            batcher.on_result(AppendResult::Appended, |_| true);
        }
    }
    waits_ms.sort_unstable();
    let quantile = |per_mille: usize| waits_ms[waits_ms.len() * per_mille / 1_000];
    println!(
        "{appenders} | {requests_per_s} | {} | {} | {:.0} | {:.1}",
        quantile(500),
        quantile(990),
        f64::from(appends) / 60.0,
        entries as f64 / f64::from(appends),
    );
}

fn entry(id: ClaimId, is_done: bool) -> Entry {
    let key = KeyHash([0; 16]);
    if is_done {
        let completion = Completion::new(Outcome::Complete, &[0; 400]);
        return Entry::Done {
            key,
            id,
            completion,
        };
    }
    Entry::Claim {
        key,
        id,
        fingerprint: Fingerprint([0; 16]),
        instance: "entry-1".into(),
    }
}

async fn start_deployment() -> Deployment {
    let mut deployment = Deployment::without_instances("").await;
    let list = ListSettings {
        lag_ms: 0,
        ..ListSettings::default()
    };
    deployment.list = ListServer::start(list).await.expect("list");
    for number in 0..INSTANCES {
        let name = format!("entry-{number}");
        deployment.add_instance(&name).await;
        let addresses = deployment.instances[number].addresses();
        deployment.list.put(Listed {
            name,
            role: ListedRole::Entry,
            zone: common::ZONE.into(),
            addr: addresses.peer,
            state: ListedState::Live,
        });
    }
    deployment.confirm(&deployment.intent()).await;
    deployment.wait_ready().await;
    time::sleep(Duration::from_secs(3)).await;
    deployment
}

/// Sends requests at the case's rate, spread evenly over all instances.
async fn load(deployment: &Deployment, case: Case) -> Vec<Report> {
    let loads = deployment
        .instances
        .iter()
        .zip(0..)
        .map(|(instance, seed)| {
            tokio::spawn(run_load(LoadSettings {
                caller: CallerSettings {
                    addr: instance.addresses().caller,
                    version: Version::Http2,
                    workspace: "vakwerk".to_owned(),
                    credential: credential("vakwerk"),
                    pipeline: case.pipeline.to_owned(),
                    steps: steps(),
                    deadline_ms: DEADLINE_MS,
                },
                rate_per_s: case.rate_per_s / INSTANCES as u32,
                duration_ms: DURATION_MS,
                streamed_per_mille: 0,
                connections: 2,
                warrants: case.warrants,
                seed: seed + rand::random::<u64>() / 2,
            }))
        });
    let mut reports = Vec::new();
    for load in loads.collect::<Vec<_>>() {
        reports.push(load.await.expect("load"));
    }
    reports
}

fn steps() -> Vec<Step> {
    let step = |(_, kind): &(&str, StageKind)| match kind {
        StageKind::Generate => Step {
            kind: *kind,
            max_tokens: MAX_TOKENS,
        },
        _ => Step::from(*kind),
    };
    KINDS.iter().map(step).collect()
}

fn print(case: Case, reports: &[Report], payloads: &[Vec<u8>]) {
    let sum = |of: fn(&Report) -> u64| reports.iter().map(of).sum::<u64>();
    let (sent, right) = (sum(|x| x.sent), sum(|x| x.right));
    let refused = sum(|x| x.refused.values().sum());
    let worst_ms = |q| {
        let each = reports.iter().map(|x| x.latency_us(q));
        each.max().unwrap_or(0) as f64 / 1_000.0
    };
    let entries: usize = payloads
        .iter()
        .filter_map(|payload| decode(payload).ok())
        .map(|batch| batch.entries.len())
        .sum();
    let appends_per_s = payloads.len() as f64 * 1_000.0 / DURATION_MS as f64;
    println!(
        "{} | {} | {right}/{sent} | {refused} | {:.1} | {:.1} | {appends_per_s:.1} | {:.1}",
        case.name,
        case.rate_per_s,
        worst_ms(0.5),
        worst_ms(0.99),
        entries as f64 / payloads.len().max(1) as f64,
    );
    for example in reports.iter().flat_map(|x| &x.examples).take(2) {
        println!("  {example}");
    }
}
