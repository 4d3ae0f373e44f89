//! Weighs ways in which instances can act together at stages, side by side: one
//! schedules for all, or each for itself. Prints a line for each load and way, with
//! the processor time that scheduling a request takes.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    forwarding::{Batching, Position, RoutingConfig, ServerEntry, ServerState, Service},
    ids::{BackendName, Incarnation, InstanceName, PoolName, RequestId, ZoneName},
    stages::{
        CallOutcome, ItemOutcome, RequestKey, StageAction, StageCall, StageOutcome, StageScheduler,
        StageWork, Submission,
    },
};

/// One deployment of the sign makers.
#[derive(Clone, Copy, Debug)]
struct Size {
    name: &'static str,
    instances: usize,
    /// Servers of each service.
    servers: usize,
    /// Pieces of a call of the archive, the agenda and the invoices.
    batches: [usize; 3],
    /// Time that a piece of each adds to a call, in ms.
    piece_ms: [f64; 3],
    /// Memory for results at a server of each, in MB.
    room_mb: [f64; 3],
    /// Requests a second without a burst, of three stages each.
    rate: f64,
}

const SIZES: [Size; 2] = [
    Size {
        name: "today",
        instances: 9,
        servers: 5,
        batches: [10, 28, 46],
        piece_ms: [5.0, 6.1, 3.7],
        room_mb: [22.0, 3.6, 0.6],
        rate: 31.2,
    },
    Size {
        name: "grown",
        instances: 68,
        servers: 15,
        batches: [20, 68, 94],
        piece_ms: [2.6, 2.5, 1.8],
        room_mb: [45.0, 8.9, 1.2],
        rate: 266.0,
    },
];
/// Time that is played, in ms.
const LENGTH_MS: u64 = 20_000;
/// Begin and end of the burst, in ms.
const BURST_MS: std::ops::Range<u64> = 6_000..12_000;
/// Time to the first event that callers ask for, in ms.
const GOAL_MS: u64 = 1_800;
/// Time that a request needs after its stages, in ms.
const REST_MS: u64 = 100;
/// Calls that wait at a server beside the one at work.
const QUEUE: usize = 2;
/// Time between two calls' ends and the release of what they made, in ms.
const READ_MS: u64 = 100;

/// Who schedules.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// One instance for all.
    Shared,
    /// Each instance for its own requests.
    Alone,
}

/// A server with its calls, the first of them at work.
#[derive(Debug, Default)]
struct Server {
    calls: VecDeque<(usize, StageCall, Option<u64>)>,
}

/// What callers got.
#[derive(Debug, Default)]
struct Got {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    full: u32,
    calls: u32,
    /// Time that scheduling took.
    busy: Duration,
}

fn main() {
    println!("size   burst  way     asked  in time %  late %  refused %  calls  full  us/request");
    for size in &SIZES {
        for times in [1.0, 1.4, 1.8, 2.3] {
            for way in [Way::Shared, Way::Alone] {
                print(size, times, way, &play(size, way, times));
            }
        }
    }
}

fn print(size: &Size, times: f64, way: Way, got: &Got) {
    let percent = |count: u32| 100.0 * f64::from(count) / f64::from(got.asked);
    println!(
        "{name:<6} x{times:<5} {way:<7} {:5}  {:9.1}  {:6.1}  {:9.1}  {:5}  {:4}  {:10.0}",
        got.asked,
        percent(got.in_time),
        percent(got.late),
        percent(got.refused),
        got.calls,
        got.full,
        got.busy.as_secs_f64() * 1e6 / f64::from(got.asked),
        name = size.name,
        way = format!("{way:?}"),
    );
}

fn config(size: &Size) -> RoutingConfig {
    let service = |name: &str, index: usize| Service {
        name: PoolName::new(name),
        max_connections: 100,
        batching: Some(Batching {
            slots: 1,
            queue: QUEUE as u32,
            batch_pieces: size.batches[index],
            call_ms: 200.0,
            piece_ms: size.piece_ms[index],
            room_bytes: (size.room_mb[index] * 1e6) as u64,
            result_ttl_ms: 4_000,
        }),
        engine: None,
        cold_start: None,
    };
    RoutingConfig {
        version: 1,
        services: vec![
            service("archive", 0),
            service("agenda", 1),
            service("invoices", 2),
        ],
        ..RoutingConfig::default()
    }
}

fn servers(size: &Size) -> Vec<ServerEntry> {
    let zones = ["utrecht", "amersfoort", "gouda"].iter().cycle();
    let names = ["archive", "agenda", "invoices"];
    let entries = names.iter().flat_map(|service| {
        let zones = zones.clone().take(size.servers).enumerate();
        zones.map(move |(index, zone)| ServerEntry {
            id: BackendName::new(format!("{service}-{index}")),
            registered_as: BackendName::new(format!("{service}-{index}")),
            started_ms: None,
            position: Position::default(),
            software: None,
            service: PoolName::new(service),
            addr: ([127, 0, 0, 1], 1).into(),
            zone: ZoneName::new(zone),
            slots: 1,
            state: ServerState::Ready,
            cold_left_ms: 0,
        })
    });
    entries.collect()
}

fn submission(number: u64, rng: &mut Pcg64Mcg) -> Submission {
    let stage = |service: &str, after: &[usize], pieces, result_bytes| StageWork {
        service: PoolName::new(service),
        after: after.to_vec(),
        pieces,
        result_bytes,
    };
    Submission {
        key: RequestKey {
            instance: InstanceName::new("one"),
            incarnation: Incarnation(1),
            number,
        },
        request: RequestId::new(format!("r{number}")),
        stages: vec![
            stage("archive", &[], 1, 8_000),
            stage("agenda", &[0], 6, 60_000),
            stage("invoices", &[1], rng.random_range(6..=14), 6_000),
        ],
        piece_key: "k".to_owned(),
        goal_left_ms: GOAL_MS,
        deadline_left_ms: 6_000,
        missing_ms: 0,
        rest_ms: REST_MS,
        priority: 0,
        home_zone: None,
        done: Vec::new(),
        digest: Default::default(),
        ends: 0,
    }
}

fn play(size: &Size, way: Way, times: f64) -> Got {
    let (config, entries) = (config(size), servers(size));
    let schedulers = match way {
        Way::Shared => 1,
        Way::Alone => size.instances,
    };
    let mut schedulers: Vec<StageScheduler> =
        (0..schedulers).map(|_| StageScheduler::default()).collect();
    for scheduler in &mut schedulers {
        scheduler.configure(&config, &entries, &BTreeSet::new());
    }
    let batchings: BTreeMap<PoolName, Batching> = config
        .services
        .iter()
        .filter_map(|service| Some((service.name.clone(), service.batching?)))
        .collect();
    let mut servers: BTreeMap<BackendName, Server> = BTreeMap::new();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut got = Got::default();
    let mut began: Vec<u64> = Vec::new();
    let mut releases: VecDeque<(u64, usize, RequestKey)> = VecDeque::new();
    for now_ms in 0..LENGTH_MS + 7_000 {
        let is_burst = BURST_MS.contains(&now_ms);
        let rate = size.rate * if is_burst { times } else { 1.0 };
        let started = Instant::now();
        if now_ms < LENGTH_MS && rng.random_range(0.0..1.0) < rate / 1_000.0 {
            let number = began.len() as u64;
            began.push(now_ms);
            got.asked += 1;
            let at = rng.random_range(0..schedulers.len());
            schedulers[at].submit(now_ms, submission(number, &mut rng));
        }
        while releases.front().is_some_and(|(at_ms, ..)| *at_ms <= now_ms) {
            if let Some((_, at, key)) = releases.pop_front() {
                schedulers[at].release(&key);
            }
        }
        end_calls(now_ms, &mut servers, &batchings, &mut schedulers);
        for (at, scheduler) in schedulers.iter_mut().enumerate() {
            for action in scheduler.poll(now_ms) {
                match action {
                    StageAction::Call(call) => {
                        let calls = &mut servers.entry(call.server.clone()).or_default().calls;
                        if calls.len() > QUEUE {
                            got.full += 1;
                            scheduler.on_call_ended(now_ms, call.id, &CallOutcome::Full);
                        } else {
                            got.calls += 1;
                            calls.push_back((at, call, None));
                        }
                    }
                    StageAction::Free {
                        server, handles, ..
                    } => scheduler.on_freed(&server, &handles),
                    StageAction::Probe { .. } => {}
                    StageAction::Finish { key, outcome } => {
                        let took_ms = now_ms - began[key.number as usize] + REST_MS;
                        match outcome {
                            StageOutcome::Ready(_) if took_ms <= GOAL_MS => got.in_time += 1,
                            StageOutcome::Ready(_) => got.late += 1,
                            StageOutcome::Refused { .. } | StageOutcome::Moved { .. } => {
                                got.refused += 1;
                            }
                        }
                        releases.push_back((now_ms + READ_MS, at, key));
                    }
                }
            }
        }
        got.busy += started.elapsed();
    }
    got
}

/// Ends the calls whose time has come, and begins the next ones.
fn end_calls(
    now_ms: u64,
    servers: &mut BTreeMap<BackendName, Server>,
    batchings: &BTreeMap<PoolName, Batching>,
    schedulers: &mut [StageScheduler],
) {
    for (name, server) in servers {
        let is_done = |(_, _, ends_ms): &(usize, StageCall, Option<u64>)| {
            ends_ms.is_some_and(|ends_ms| ends_ms <= now_ms)
        };
        if server.calls.front().is_some_and(is_done)
            && let Some((at, call, _)) = server.calls.pop_front()
        {
            let made = call.items.iter().enumerate();
            let made = made
                .map(|(index, _)| ItemOutcome::Done(format!("{name}/{at}/{}/{index}", call.id.0)));
            let end = CallOutcome::Answered(made.collect());
            schedulers[at].on_call_ended(now_ms, call.id, &end);
        }
        if let Some((_, call, ends_ms)) = server.calls.front_mut() {
            let lasts_ms = batchings[&call.service].duration_ms(call.items.len()) as u64;
            ends_ms.get_or_insert(now_ms + lasts_ms);
        }
    }
}
