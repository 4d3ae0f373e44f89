//! Servers of stages that reject calls and ask for backoff.

mod stages_world;

use savoryvane_core::{
    ids::BackendName,
    stages::{Refusal, StageOutcome},
};
use stages_world::{World, batching, server, service, stage};

/// End of the backoffs, in ms.
const BACKOFF_END_MS: u64 = 3_000;

/// Creates a world with the servers `names` of one service.
fn world(names: &[&str]) -> World {
    let services = vec![service("archive", batching(10, 5.0, 20_000_000))];
    let servers = names.iter().map(|name| server(name, "archive", "z"));
    World::new(services, servers.collect())
}

fn submit(world: &mut World, number: u64, goal_ms: u64) {
    let stages = vec![stage("archive", &[], 1, 1_000)];
    world.submit(World::submission(number, stages, goal_ms));
}

fn is_ready(world: &World, number: u64) -> bool {
    matches!(world.outcome(number), Some(StageOutcome::Ready(_)))
}

#[test]
fn a_server_that_backs_off_is_called_once_and_again_when_that_has_ended() {
    let mut world = world(&["a0", "a1"]);
    world
        .backoffs
        .insert(BackendName::new("a0"), BACKOFF_END_MS);
    for number in 0..60 {
        submit(&mut world, number, 600);
        let next_ms = world.now_ms + 100;
        world.run(next_ms);
    }
    let calls_of_first = world
        .calls
        .iter()
        .filter(|(_, call)| call.server.as_str() == "a0");
    let called_ms: Vec<u64> = calls_of_first.map(|(at_ms, _)| *at_ms).collect();
    let during_backoff = called_ms
        .iter()
        .filter(|at_ms| **at_ms < BACKOFF_END_MS)
        .count();
    assert_eq!(during_backoff, 1, "{called_ms:?}");
    assert!(called_ms.iter().any(|at_ms| *at_ms >= BACKOFF_END_MS));
    world.run(world.now_ms + 1_000);
    assert!((0..60).all(|number| is_ready(&world, number)));
}

#[test]
fn a_request_that_can_wait_for_the_end_of_a_backoff_is_taken() {
    let mut world = world(&["a0"]);
    world.backoffs.insert(BackendName::new("a0"), 300);
    for number in 0..5 {
        submit(&mut world, number, 2_000);
    }
    world.run(2_000);
    let outcomes: Vec<_> = (0..5).map(|number| world.outcome(number)).collect();
    assert!(
        (0..5).all(|number| is_ready(&world, number)),
        "{outcomes:?}"
    );
}

#[test]
fn a_request_that_cannot_wait_is_told_when_the_first_backoff_ends() {
    let mut world = world(&["a0", "a1"]);
    for (name, until_ms) in [("a0", BACKOFF_END_MS), ("a1", 2 * BACKOFF_END_MS)] {
        world.backoffs.insert(BackendName::new(name), until_ms);
    }
    submit(&mut world, 0, 600);
    for number in 1..20 {
        world.run(number * 100);
        submit(&mut world, number, 600);
        let Some(StageOutcome::Refused {
            reason,
            retry_after_ms,
            ..
        }) = world.outcome(number)
        else {
            panic!("request {number} was not refused at once");
        };
        assert_eq!(*reason, Refusal::TooBusy);
        let returns_ms = world.now_ms + retry_after_ms;
        assert!(
            (BACKOFF_END_MS..2 * BACKOFF_END_MS).contains(&returns_ms),
            "{returns_ms}"
        );
    }
}
