//! Contention in the first seconds after all instances restart: several schedule, and
//! calls wait behind those of the others.

mod stages_world;

use savoryvane_core::{
    ids::BackendName,
    stages::{StageOutcome, Submission},
};
use stages_world::{World, batching, server, service, stage};

/// Factor by which calls take longer while another scheduler sends as many.
const CONTENTION_FACTOR: u64 = 3;
/// Duration of that contention, in ms.
const CONTENTION_MS: u64 = 1_500;
/// Time between two requests, in ms.
const REQUEST_INTERVAL_MS: u64 = 20;
const GOAL_MS: u64 = 1_000;

fn world() -> World {
    let services = vec![service("agenda", batching(28, 6.1, 3_600_000))];
    let zones = ["utrecht", "amersfoort", "gouda"];
    let servers = zones.iter().enumerate();
    let servers = servers.map(|(index, zone)| server(&format!("a{index}"), "agenda", zone));
    World::new(services, servers.collect())
}

/// Guards against classifying servers as slow, which excludes them for 3 s, because
/// their calls take two or three times as long under contention.
#[test]
fn servers_that_others_call_too_are_not_taken_for_slow() {
    let mut world = world();
    let names: Vec<_> = world
        .servers
        .iter()
        .map(|server| server.id.clone())
        .collect();
    world.slowdown_factors = names
        .iter()
        .map(|name| (name.clone(), CONTENTION_FACTOR))
        .collect();
    let mut submitted_ms = Vec::new();
    for number in 0..200 {
        if world.now_ms >= CONTENTION_MS {
            world.slowdown_factors.clear();
        }
        submitted_ms.push(world.now_ms);
        let stages = vec![stage("agenda", &[], 2, 1_000)];
        world.submit(World::submission(number, stages, GOAL_MS));
        let next_ms = world.now_ms + REQUEST_INTERVAL_MS;
        world.run(next_ms);
    }
    let end_ms = world.now_ms + 2_000;
    world.run(end_ms);
    let since_ms = CONTENTION_MS + 700;
    let after = submitted_ms
        .iter()
        .enumerate()
        .filter(|(_, at_ms)| **at_ms >= since_ms);
    let mut refused = 0;
    for (number, _) in after {
        let outcome = world.outcome(number as u64);
        refused += u32::from(!matches!(outcome, Some(StageOutcome::Ready(_))));
    }
    assert_eq!(
        refused, 0,
        "requests refused after the contention has ended"
    );
}

/// A slow server is still detected without contention.
#[test]
fn a_slow_server_is_avoided_without_contention() {
    let mut world = world();
    let slow_server = world.servers[0].id.clone();
    world.run(10);
    for number in 0..400 {
        if number == 150 {
            world.slowdown_factors.insert(slow_server.clone(), 6);
        }
        let stages = vec![stage("agenda", &[], 2, 1_000)];
        world.submit(World::submission(number, stages, GOAL_MS));
        let next_ms = world.now_ms + REQUEST_INTERVAL_MS;
        world.run(next_ms);
    }
    let since_ms = 5_500;
    let calls = world.calls.iter().filter(|(at_ms, _)| *at_ms >= since_ms);
    let (mut to_slow_server, mut all_calls) = (0, 0);
    for (_, call) in calls {
        to_slow_server += u32::from(call.server == slow_server);
        all_calls += 1;
    }
    assert!(
        to_slow_server * 10 <= all_calls,
        "{to_slow_server} of {all_calls} calls go to the slow server"
    );
}

/// Guards against classifying all servers as slow after the scheduler process has
/// stalled, which refused every request with stages for more than 10 s.
#[test]
fn a_scheduler_that_stood_still_blames_no_server() {
    let mut world = world();
    for number in 0..400 {
        if number == 150 {
            world.stall(900);
        }
        let stages = vec![stage("agenda", &[], 2, 1_000)];
        world.submit(World::submission(number, stages, GOAL_MS));
        let next_ms = world.now_ms + REQUEST_INTERVAL_MS;
        world.run(next_ms);
    }
    let end_ms = world.now_ms + 2_000;
    world.run(end_ms);
    let after = (180..400).map(|number| world.outcome(number));
    let refused = after.filter(|outcome| !matches!(outcome, Some(StageOutcome::Ready(_))));
    assert_eq!(refused.count(), 0);
}

/// Guards against excluding all servers of a service when an overloaded machine makes
/// every call take six times as long, which refused everything for 3 s.
#[test]
fn servers_that_are_all_slow_are_used_all_the_same() {
    let mut world = World::new(
        vec![service("archive", batching(10, 5.0, 100_000_000))],
        ["near", "far"]
            .map(|zone| server(zone, "archive", zone))
            .to_vec(),
    );
    world.slowdown_factors = ["near", "far"].map(|id| (BackendName::new(id), 6)).into();
    for number in 0..40 {
        let stages = vec![stage("archive", &[], 1, 8_000)];
        let submission = World::submission(number, stages, 20_000);
        world.submit(Submission {
            deadline_left_ms: 30_000,
            ..submission
        });
        let next_ms = world.now_ms + 250;
        world.run(next_ms);
    }
    for number in 0..40 {
        let outcome = world.outcome(number);
        let is_refused = matches!(outcome, Some(StageOutcome::Refused { .. }));
        assert!(!is_refused, "{number}: {outcome:?}");
    }
}

/// Guards against releasing inputs too early after a failover: calls wait behind those
/// of the previous scheduler, and their servers fetch the inputs only then. A third of
/// the pieces found their inputs missing.
#[test]
fn inputs_are_kept_while_calls_may_wait_behind_those_of_others() {
    let services = ["archive", "agenda"];
    let mut world = World::new(
        services
            .iter()
            .map(|name| service(name, batching(28, 6.1, 36_000_000)))
            .collect(),
        services
            .iter()
            .flat_map(|name| [0, 1].map(|n| server(&format!("{name}-{n}"), name, "utrecht")))
            .collect(),
    );
    for number in 0..60 {
        let stages = vec![
            stage("archive", &[], 1, 8_000),
            stage("agenda", &[0], 4, 8_000),
        ];
        world.submit(World::submission(number, stages, 4_000));
        // Each call waits at its server first.
        world.busy_until_ms = world.now_ms + 150;
        world.run(world.now_ms + REQUEST_INTERVAL_MS);
    }
    world.run(world.now_ms + 4_000);
    let ready = world
        .outcomes
        .iter()
        .filter(|(_, _, outcome)| matches!(outcome, StageOutcome::Ready(_)));
    assert_eq!(ready.count(), 60);
    let started_pieces: usize = world.calls.iter().map(|(_, call)| call.items.len()).sum();
    assert_eq!(started_pieces, 60 * 5, "no piece ran twice");
}
