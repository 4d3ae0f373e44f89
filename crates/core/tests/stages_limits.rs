//! Servers of stages that set a rate limit, in calls a second.

mod stages_world;

use std::collections::BTreeMap;

use savoryvane_core::{ids::BackendName, stages::StageOutcome};
use stages_world::{World, batching, server, service, stage};

const GOAL_MS: u64 = 600;
/// Time between two requests, in ms.
const REQUEST_INTERVAL_MS: u64 = 100;
const DURATION_MS: u64 = 40_000;

/// Sends one-piece requests at a constant rate to two servers of one service that set
/// the same limit. Returns the number of completed requests and the call times of each
/// server, in ms.
fn run_limited(limit_per_s: f64) -> (usize, BTreeMap<BackendName, Vec<u64>>) {
    let services = vec![service("archive", batching(10, 5.0, 20_000_000))];
    let servers = vec![server("a0", "archive", "z"), server("a1", "archive", "z")];
    let mut world = World::new(services, servers);
    world.scheduler.set_limits(|_| Some(limit_per_s), 1.0);
    let requests = DURATION_MS / REQUEST_INTERVAL_MS;
    for number in 0..requests {
        let stages = vec![stage("archive", &[], 1, 1_000)];
        world.submit(World::submission(number, stages, GOAL_MS));
        let next_ms = world.now_ms + REQUEST_INTERVAL_MS;
        world.run(next_ms);
    }
    let mut called_ms: BTreeMap<BackendName, Vec<u64>> = BTreeMap::new();
    for (at_ms, call) in &world.calls {
        called_ms
            .entry(call.server.clone())
            .or_default()
            .push(*at_ms);
    }
    let completed = (0..requests)
        .filter(|number| matches!(world.outcome(*number), Some(StageOutcome::Ready(_))));
    (completed.count(), called_ms)
}

/// A raised limit is only seen in the response to a call, so even servers with very low
/// limits have to be called.
#[test]
fn servers_that_take_nearly_nothing_are_called_all_the_same() {
    for limit_per_s in [0.0, 0.1, 0.5, 2.0] {
        let (_, called_ms) = run_limited(limit_per_s);
        for server in ["a0", "a1"] {
            let calls = called_ms.get(&BackendName::new(server)).map_or(0, Vec::len);
            let expected_calls = limit_per_s.max(0.2) * DURATION_MS as f64 / 1_000.0;
            assert!(
                calls as f64 >= 0.5 * expected_calls,
                "{limit_per_s} a second: {calls} at {server}"
            );
        }
    }
}

#[test]
fn calls_are_as_far_apart_as_the_limit_says() {
    for limit_per_s in [0.5, 1.0, 2.0] {
        let (completed, called_ms) = run_limited(limit_per_s);
        let calls = called_ms.values().map(Vec::len).sum::<usize>();
        assert!(completed >= calls, "{completed} completed by {calls} calls");
        for times_ms in called_ms.values() {
            for pair in times_ms.windows(2) {
                let gap_ms = (pair[1] - pair[0]) as f64;
                assert!(gap_ms >= 1_000.0 / limit_per_s, "{limit_per_s}: {gap_ms}");
            }
        }
    }
}

/// A scheduler that has just started has no responses from other instances yet, and
/// uses a small share of a limit.
#[test]
fn a_pause_is_as_long_as_the_part_that_is_used_now_says() {
    for (limit_per_s, pause_ms) in [(Some(1.0), 1_000), (None, 0)] {
        let services = vec![service("archive", batching(10, 5.0, 20_000_000))];
        let mut world = World::new(services, vec![server("a0", "archive", "z")]);
        world.scheduler.set_limits(|_| Some(1.0), 0.01);
        let mut changed_ms = None;
        for number in 0..20 {
            if world.now_ms >= 400 && changed_ms.is_none() {
                changed_ms = Some(world.now_ms);
                world.scheduler.set_limits(|_| limit_per_s, 1.0);
            }
            let stages = vec![stage("archive", &[], 1, 1_000)];
            world.submit(World::submission(number, stages, GOAL_MS));
            let next_ms = world.now_ms + REQUEST_INTERVAL_MS;
            world.run(next_ms);
        }
        let first_ms = world.calls[0].0;
        let allowed_ms = (first_ms + pause_ms).max(changed_ms.unwrap_or_default());
        let second_ms = world.calls.get(1).map(|call| call.0);
        let is_prompt =
            second_ms.is_some_and(|at_ms| at_ms <= allowed_ms + 2 * REQUEST_INTERVAL_MS);
        assert!(is_prompt, "{second_ms:?}, allowed from {allowed_ms}");
    }
}
