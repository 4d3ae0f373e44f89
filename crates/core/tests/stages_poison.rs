//! Pieces that crash each server that starts them, in calls shared with other requests.

mod stages_world;

use savoryvane_core::{
    poison::RequestDigest,
    stages::{Refusal, StageOutcome, Submission},
};
use stages_world::{World, batching, server, service, stage};

/// Maximum number of servers that may crash under one request.
const MAX_CRASHES: usize = 3;
/// Time that callers wait, in ms.
const DEADLINE_MS: u64 = 20_000;
/// Time within which the stages have to be completed, in ms.
const GOAL_MS: u64 = 10_000;

fn digest(number: u64) -> RequestDigest {
    RequestDigest(u128::from(number + 1).to_le_bytes())
}

/// Creates five servers of one service that accept `batch_pieces` a call.
fn world(batch_pieces: usize, piece_ms: f64) -> World {
    let services = vec![service(
        "agenda",
        batching(batch_pieces, piece_ms, 3_600_000),
    )];
    let zones = ["utrecht", "amersfoort", "gouda"];
    let servers = (0..5).map(|index| server(&format!("a{index}"), "agenda", zones[index % 3]));
    World::new(services, servers.collect())
}

fn submission(number: u64, pieces: u32) -> Submission {
    Submission {
        deadline_left_ms: DEADLINE_MS,
        digest: digest(number),
        ..World::submission(number, vec![stage("agenda", &[], pieces, 1_000)], GOAL_MS)
    }
}

fn is_ready(world: &World, number: u64) -> bool {
    matches!(world.outcome(number), Some(StageOutcome::Ready(_)))
}

fn is_quarantined(world: &World, number: u64) -> bool {
    matches!(
        world.outcome(number),
        Some(StageOutcome::Refused {
            reason: Refusal::EndsServers,
            ..
        })
    )
}

/// Runs one poisonous request among `others`, and checks that it is quarantined after
/// at most `MAX_CRASHES` crashes and that no other request is refused.
fn run_poison_among(batch_pieces: usize, piece_ms: f64, others: u64, pieces: u32) {
    let mut world = world(batch_pieces, piece_ms);
    let poison = others / 2;
    world.poison.insert(digest(poison));
    for number in 0..=others {
        world.submit(submission(number, pieces));
    }
    world.run(12_000);
    assert!(
        world.crashed_servers.len() <= MAX_CRASHES,
        "{:?}",
        world.crashed_servers
    );
    assert!(
        is_quarantined(&world, poison),
        "{:?}",
        world.outcome(poison)
    );
    for number in (0..=others).filter(|number| *number != poison) {
        let outcome = world.outcome(number);
        assert!(is_ready(&world, number), "{number}: {outcome:?}");
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn one_of_a_full_call_is_found_and_no_other_is_refused() {
    run_poison_among(28, 6.1, 27, 1);
}

#[test]
fn one_of_a_large_call_is_found_and_no_other_is_refused() {
    run_poison_among(82, 2.1, 81, 1);
}

#[test]
fn one_with_many_pieces_ends_no_more_servers() {
    run_poison_among(28, 6.1, 20, 6);
}

/// Two poisonous requests in one call implicate each other and all the others twice.
#[test]
fn two_of_one_call_end_three_servers_each_at_most() {
    let mut world = world(28, 6.1);
    let poison = [4, 5];
    for number in poison {
        world.poison.insert(digest(number));
    }
    for number in 0..28 {
        world.submit(submission(number, 1));
    }
    world.run(15_000);
    assert!(
        world.crashed_servers.len() <= poison.len() * MAX_CRASHES,
        "{:?}",
        world.crashed_servers
    );
    for number in 0..28 {
        let is_poison = poison.contains(&number);
        assert_eq!(is_quarantined(&world, number), is_poison, "{number}");
        assert_eq!(is_ready(&world, number), !is_poison, "{number}");
    }
}

/// A third of the servers crash with their calls three times in a row, as after a
/// faulty machine update: no request is refused for it.
#[test]
fn crashes_for_other_reasons_blame_nobody() {
    let mut refused = 0;
    let mut submitted = 0;
    for seed in 0..20 {
        let mut world = world(28, 6.1);
        let mut number = 0;
        for step in 0..600 {
            if step % 150 == 20 + seed {
                let running = world.servers.iter().take(2).map(|server| server.id.clone());
                world.crashing = running.collect();
            }
            world.submit(submission(number, 2));
            number += 1;
            let next_ms = world.now_ms + 20;
            world.run(next_ms);
        }
        let end_ms = world.now_ms + 12_000;
        world.run(end_ms);
        assert!(
            world.crashed_servers.len() >= 6,
            "{:?}",
            world.crashed_servers
        );
        submitted += number;
        refused += (0..number).filter(|n| is_quarantined(&world, *n)).count();
    }
    assert!(submitted >= 10_000);
    assert_eq!(refused, 0, "of {submitted} requests");
}

/// A request that is submitted as a suspect with two crashes is called alone.
#[test]
fn a_suspect_goes_apart_from_the_others() {
    let mut world = world(28, 6.1);
    for number in 0..20 {
        let ends = if number < 2 { 2 } else { 0 };
        world.submit(Submission {
            ends,
            ..submission(number, 1)
        });
    }
    world.run(3_000);
    for number in 0..20 {
        assert!(is_ready(&world, number));
    }
    let mut calls = world.calls.iter().map(|(_, call)| call);
    assert!(calls.all(|call| {
        let suspects = call
            .items
            .iter()
            .filter(|item| item.digest == digest(0) || item.digest == digest(1));
        let suspects = suspects.count();
        suspects == 0 || call.items.len() == 1
    }));
}
