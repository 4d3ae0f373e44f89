//! Pieces that end each server that begins them, in calls together with those of other
//! requests.

mod stages_world;

use savoryvane_core::{
    poison::RequestDigest,
    stages::{Refusal, StageOutcome, Submission},
};
use stages_world::{World, batching, server, service, stage};

/// Servers that may end under one request.
const MOST_ENDS: usize = 3;
/// Time that callers wait, in ms.
const DEADLINE_MS: u64 = 20_000;
/// Time within which their stages have to be done, in ms.
const GOAL_MS: u64 = 10_000;

fn digest(number: u64) -> RequestDigest {
    RequestDigest(u128::from(number + 1).to_le_bytes())
}

/// Five servers of one service that take `batch_pieces` a call.
fn world(batch_pieces: usize, piece_ms: f64) -> World {
    let services = vec![service(
        "agenda",
        batching(batch_pieces, piece_ms, 3_600_000),
    )];
    let zones = ["utrecht", "amersfoort", "gouda"];
    let names = (0..5).map(|index| server(&format!("a{index}"), "agenda", zones[index % 3]));
    World::new(services, names.collect())
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

/// The most servers that end under one request, and how many others are refused, where
/// it fills calls together with `others`.
fn play(batch_pieces: usize, piece_ms: f64, others: u64, pieces: u32) {
    let mut world = world(batch_pieces, piece_ms);
    let poison = others / 2;
    world.poison.insert(digest(poison));
    for number in 0..=others {
        world.submit(submission(number, pieces));
    }
    world.run(12_000);
    assert!(world.ended.len() <= MOST_ENDS, "{:?}", world.ended);
    assert!(
        is_quarantined(&world, poison),
        "{:?}",
        world.outcome(poison)
    );
    for number in (0..=others).filter(|number| *number != poison) {
        let outcome = world.outcome(number);
        assert!(is_ready(&world, number), "{number}: {outcome:?}");
    }
    assert_eq!(world.faults, Vec::<String>::new());
}

#[test]
fn one_of_a_full_call_is_found_and_no_other_is_refused() {
    play(28, 6.1, 27, 1);
}

#[test]
fn one_of_a_large_call_is_found_and_no_other_is_refused() {
    play(82, 2.1, 81, 1);
}

#[test]
fn one_with_many_pieces_ends_no_more_servers() {
    play(28, 6.1, 20, 6);
}

/// Two in the same call blame each other and all the others twice.
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
        world.ended.len() <= poison.len() * MOST_ENDS,
        "{:?}",
        world.ended
    );
    for number in 0..28 {
        let is_poison = poison.contains(&number);
        assert_eq!(is_quarantined(&world, number), is_poison, "{number}");
        assert_eq!(is_ready(&world, number), !is_poison, "{number}");
    }
}

/// A third of the servers crash with what they run, three times in a row, as after a bad
/// update of their machines: nothing that was there is refused for it.
#[test]
fn crashes_for_other_reasons_blame_nobody() {
    let mut refused = 0;
    let mut asked = 0;
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
        assert!(world.ended.len() >= 6, "{:?}", world.ended);
        asked += number;
        refused += (0..number).filter(|n| is_quarantined(&world, *n)).count();
    }
    assert!(asked >= 10_000);
    assert_eq!(refused, 0, "of {asked}");
}

/// A request that is known as a suspect when it comes goes with other suspects alone.
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
