//! Memory that is held for callers, of which many do not behave.

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use savoryvane_core::caller_memory::{
    CallerMemory, Charge, HolderId, HolderState, MemoryLimits, Multiplexing,
};

const LIMITS: MemoryLimits = MemoryLimits {
    max_bytes: 4_000_000,
    max_connections: 8,
    max_requests: 8,
};
/// Size of the largest legal body, in bytes.
const LARGE_BYTES: u64 = 1_000_000;
/// Size of an ordinary body, in bytes.
const ORDINARY_BYTES: u64 = 4_000;

/// Charges a request, and releases what is evicted for it as an instance does.
fn charge(memory: &mut CallerMemory, now_ms: u64, id: HolderId, bytes: u64) -> Charge {
    let mut evicted = Vec::new();
    loop {
        let charge = memory.charge(now_ms, id, bytes, &mut evicted);
        if charge != Charge::Wait || evicted.is_empty() {
            return charge;
        }
        for evicted in evicted.drain(..) {
            memory.release(evicted);
        }
    }
}

fn begin(memory: &mut CallerMemory, now_ms: u64) -> HolderId {
    let begun = memory.begin_request(now_ms, Multiplexing::None);
    begun.expect("there are few requests")
}

#[test]
fn an_ordinary_request_is_held_while_bodies_that_stop_midway_fill_the_memory() {
    let mut memory = CallerMemory::new(LIMITS);
    for now_ms in 0..6 {
        let id = begin(&mut memory, now_ms);
        charge(&mut memory, now_ms, id, LARGE_BYTES - 1);
    }
    let ordinary = begin(&mut memory, 1_000);

    assert_eq!(
        charge(&mut memory, 1_000, ordinary, ORDINARY_BYTES),
        Charge::Granted
    );
}

#[test]
fn a_large_body_without_delay_displaces_the_one_that_has_waited_longest() {
    let mut memory = CallerMemory::new(LIMITS);
    let stopped: Vec<HolderId> = (0..3)
        .map(|now_ms| {
            let id = begin(&mut memory, now_ms);
            assert_eq!(
                memory.charge(now_ms, id, LARGE_BYTES, &mut Vec::new()),
                Charge::Granted
            );
            id
        })
        .collect();
    let prompt = begin(&mut memory, 5_000);
    let mut evicted = Vec::new();

    let charged = memory.charge(5_000, prompt, LARGE_BYTES, &mut evicted);

    assert_eq!((charged, evicted), (Charge::Wait, vec![stopped[0]]));
    memory.release(stopped[0]);
    let charged = memory.charge(5_000, prompt, LARGE_BYTES, &mut Vec::new());
    assert_eq!(charged, Charge::Granted);
}

#[test]
fn a_body_that_arrives_slowly_is_evicted_before_one_that_does_not() {
    let mut memory = CallerMemory::new(LIMITS);
    let slow = begin(&mut memory, 0);
    for now_ms in 0..100 {
        charge(&mut memory, now_ms * 50, slow, LARGE_BYTES / 100);
    }
    let fast = begin(&mut memory, 4_900);
    charge(&mut memory, 4_900, fast, LARGE_BYTES);
    let next = begin(&mut memory, 5_000);
    let mut evicted = Vec::new();

    memory.charge(5_000, next, 2 * LARGE_BYTES, &mut evicted);

    assert_eq!(evicted, [slow]);
}

#[test]
fn requests_that_servers_may_have_are_not_evicted_and_leave_room_for_small_ones() {
    let mut memory = CallerMemory::new(LIMITS);
    for now_ms in 0..3 {
        let id = begin(&mut memory, now_ms);
        assert_eq!(
            charge(&mut memory, now_ms, id, LARGE_BYTES),
            Charge::Granted
        );
        memory.set_state(now_ms, id, HolderState::Serving);
    }
    let large = begin(&mut memory, 60_000);
    let ordinary = begin(&mut memory, 60_000);

    assert_eq!(
        charge(&mut memory, 60_000, large, LARGE_BYTES),
        Charge::Refused
    );
    assert_eq!(
        charge(&mut memory, 60_000, ordinary, ORDINARY_BYTES),
        Charge::Granted
    );
}

#[test]
fn a_caller_that_reads_nothing_is_evicted_after_a_second() {
    let mut memory = CallerMemory::new(LIMITS);
    let stalled = memory.connect(0, &mut Vec::new()).unwrap();
    memory.take(0, stalled, 3 * LARGE_BYTES, &mut Vec::new());
    memory.set_state(0, stalled, HolderState::Serving);
    memory.set_state(100, stalled, HolderState::Stalled);
    let request = begin(&mut memory, 200);
    let mut evicted = Vec::new();

    assert_eq!(
        memory.charge(1_000, request, LARGE_BYTES, &mut evicted),
        Charge::Refused
    );
    assert_eq!(evicted, []);
    let request = begin(&mut memory, 1_050);
    assert_eq!(
        memory.charge(1_100, request, LARGE_BYTES, &mut evicted),
        Charge::Wait
    );
    assert_eq!(evicted, [stalled]);
}

#[test]
fn a_connection_without_a_request_makes_room_before_one_that_is_kept() {
    let mut memory = CallerMemory::new(LIMITS);
    let connections: Vec<HolderId> = (0..8)
        .map(|now_ms| memory.connect(now_ms, &mut Vec::new()).unwrap())
        .collect();
    memory.set_state(
        10,
        connections[0],
        HolderState::Waiting { has_served: true },
    );
    memory.set_state(10, connections[1], HolderState::Serving);
    let mut evicted = Vec::new();

    assert_eq!(memory.connect(20_000, &mut evicted), None);

    assert_eq!(evicted, [connections[2]]);
    memory.release(connections[2]);
    assert!(memory.connect(20_000, &mut evicted).is_some());
}

#[test]
fn a_connection_with_a_request_since_its_eviction_is_kept_and_another_makes_room() {
    let mut memory = CallerMemory::new(LIMITS);
    let connections: Vec<HolderId> = (0..3)
        .map(|now_ms| {
            let id = memory.connect(now_ms, &mut Vec::new()).unwrap();
            memory.take(now_ms, id, LARGE_BYTES, &mut Vec::new());
            id
        })
        .collect();
    let request = begin(&mut memory, 1_000);
    let mut evicted = Vec::new();
    memory.charge(1_000, request, LARGE_BYTES, &mut evicted);
    assert_eq!(evicted, [connections[0]]);

    memory.set_state(1_000, connections[0], HolderState::Serving);
    memory.keep(connections[0]);
    let charged = memory.charge(1_000, request, LARGE_BYTES, &mut evicted);

    assert_eq!(charged, Charge::Wait);
    assert_eq!(evicted, [connections[0], connections[1]]);
}

#[test]
fn connections_with_requests_are_not_evicted_for_another() {
    let mut memory = CallerMemory::new(LIMITS);
    for now_ms in 0..8 {
        let id = memory.connect(now_ms, &mut Vec::new()).unwrap();
        memory.set_state(now_ms, id, HolderState::Serving);
    }
    let mut evicted = Vec::new();

    assert_eq!(memory.connect(20_000, &mut evicted), None);
    assert_eq!(evicted, []);
}

#[test]
fn a_request_whose_end_closes_no_connection_is_not_evicted_for_one() {
    let mut memory = CallerMemory::new(LIMITS);
    for now_ms in 0..LIMITS.max_connections as u64 {
        let id = memory.connect(now_ms, &mut Vec::new());
        let id = id.expect("there are few connections");
        memory.set_state(now_ms, id, HolderState::Serving);
    }
    let one_of_many = memory.begin_request(10, Multiplexing::Many);
    let only_one = memory.begin_request(20, Multiplexing::None);
    let mut evicted = Vec::new();

    assert_eq!(memory.connect(5_000, &mut evicted), None);
    assert_eq!(evicted, only_one.into_iter().collect::<Vec<_>>());
    assert!(one_of_many.is_some());
}

#[test]
fn connections_with_many_requests_leave_half_of_the_requests_to_others() {
    let mut memory = CallerMemory::new(LIMITS);
    let count = (0..8)
        .filter_map(|_| memory.begin_request(0, Multiplexing::Many))
        .count();

    assert_eq!(count, 4);
    assert!(memory.begin_request(0, Multiplexing::None).is_some());
}

/// A step of an instance with callers of any kind.
#[derive(Clone, Copy, Debug)]
enum Step {
    Connect,
    Begin(bool),
    Charge(usize, u64),
    Take(usize, u64),
    Uncharge(usize, u64),
    SetState(usize, u8),
    Keep(usize),
    Release(usize),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g);
        let bytes = u64::arbitrary(g) % (LARGE_BYTES + 1);
        match u8::arbitrary(g) % 11 {
            0 => Self::Connect,
            1 | 2 => Self::Begin(bool::arbitrary(g)),
            3..=5 => Self::Charge(index, bytes),
            6 => Self::Take(index, bytes / 20),
            7 => Self::Uncharge(index, bytes),
            8 => match bool::arbitrary(g) {
                true => Self::SetState(index, u8::arbitrary(g) % 5),
                false => Self::Wait(u64::arbitrary(g) % 3_000),
            },
            9 => Self::Keep(index),
            _ => Self::Release(index),
        }
    }
}

/// Runs `steps` and returns the account with the holders that have not been released.
fn run(steps: &[Step]) -> Result<(CallerMemory, BTreeMap<HolderId, u64>, u64), String> {
    let mut memory = CallerMemory::new(LIMITS);
    let mut held = BTreeMap::new();
    let mut now_ms = 0;
    let pick = |held: &BTreeMap<HolderId, u64>, index: usize| {
        let count = held.len().max(1);
        held.keys().nth(index % count).copied()
    };
    for step in steps {
        let mut evicted = Vec::new();
        match *step {
            Step::Connect => held.extend(memory.connect(now_ms, &mut evicted).map(|id| (id, 0))),
            Step::Begin(is_many) => {
                let multiplexing = match is_many {
                    true => Multiplexing::Many,
                    false => Multiplexing::None,
                };
                held.extend(memory.begin_request(now_ms, multiplexing).map(|id| (id, 0)));
            }
            Step::Charge(index, bytes) => {
                let Some(id) = pick(&held, index) else {
                    continue;
                };
                let before = memory.held_bytes();
                if memory.charge(now_ms, id, bytes, &mut evicted) == Charge::Granted {
                    *held.get_mut(&id).unwrap() += bytes;
                    if before + bytes > LIMITS.max_bytes {
                        return Err("the sum was passed".to_owned());
                    }
                }
            }
            Step::Take(index, bytes) => {
                let Some(id) = pick(&held, index) else {
                    continue;
                };
                memory.take(now_ms, id, bytes, &mut evicted);
                *held.get_mut(&id).unwrap() += bytes;
            }
            Step::Uncharge(index, bytes) => {
                let Some(id) = pick(&held, index) else {
                    continue;
                };
                let left = held.get_mut(&id).unwrap();
                let bytes = bytes.min(*left);
                memory.uncharge(id, bytes);
                *left -= bytes;
            }
            Step::SetState(index, state) => {
                let Some(id) = pick(&held, index) else {
                    continue;
                };
                let state = match state {
                    0 => HolderState::Waiting { has_served: false },
                    1 => HolderState::Waiting { has_served: true },
                    2 => HolderState::Receiving,
                    3 => HolderState::Serving,
                    _ => HolderState::Stalled,
                };
                memory.set_state(now_ms, id, state);
            }
            Step::Keep(index) => {
                let Some(id) = pick(&held, index) else {
                    continue;
                };
                memory.keep(id);
            }
            Step::Release(index) => {
                let Some(id) = pick(&held, index) else {
                    continue;
                };
                memory.release(id);
                held.remove(&id);
            }
            Step::Wait(wait_ms) => now_ms += wait_ms,
        }
        if let Some(unknown) = evicted.iter().find(|id| !held.contains_key(id)) {
            return Err(format!("{unknown:?} is not held"));
        }
        let sum: u64 = held.values().sum();
        if sum != memory.held_bytes() {
            return Err(format!("{sum} bytes held, {} charged", memory.held_bytes()));
        }
    }
    Ok((memory, held, now_ms))
}

#[test]
fn what_is_charged_is_what_is_held_and_stays_below_the_limit() {
    fn property(steps: Vec<Step>) -> Result<(), String> {
        let (mut memory, held, _) = run(&steps)?;
        held.keys().for_each(|id| memory.release(*id));
        match (memory.held_bytes(), memory.connections(), memory.requests()) {
            (0, 0, 0) => Ok(()),
            left => Err(format!("left after all were released: {left:?}")),
        }
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>) -> Result<(), String>);
}

#[test]
fn an_ordinary_request_is_held_whatever_a_crowd_without_served_requests_does() {
    fn property(steps: Vec<Step>) -> Result<(), String> {
        let is_served = |step: &Step| matches!(step, Step::SetState(_, 3..));
        let is_taken = |step: &Step| matches!(step, Step::Take(..));
        let steps: Vec<Step> = steps
            .into_iter()
            .filter(|step| !is_served(step) && !is_taken(step))
            .collect();
        let (mut memory, _, now_ms) = run(&steps)?;
        let Some(ordinary) = memory.begin_request(now_ms, Multiplexing::None) else {
            return Ok(());
        };
        match charge(&mut memory, now_ms, ordinary, ORDINARY_BYTES) {
            Charge::Granted => Ok(()),
            other => Err(format!("{other:?} with {} bytes held", memory.held_bytes())),
        }
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>) -> Result<(), String>);
}
