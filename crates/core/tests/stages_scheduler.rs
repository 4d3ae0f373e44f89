//! Scheduling of stages: pieces share calls, and no piece runs with incomplete inputs,
//! whatever fails.

mod stages_world;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    ids::{BackendName, InstanceName, RequestId},
    stages::{CallOutcome, DonePiece, ItemOutcome, Refusal, StageOutcome, StageScheduler},
};
use stages_world::{World, batching, server, service, stage};

const MEMORY_BYTES: u64 = 100_000_000;

/// Creates three services with one server in each of two zones.
fn three_services() -> World {
    let services = ["a", "b", "c"];
    let zones = ["near", "far"];
    World::new(
        services
            .iter()
            .map(|name| service(name, batching(10, 5.0, MEMORY_BYTES)))
            .collect(),
        services
            .iter()
            .flat_map(|name| zones.map(|zone| server(&format!("{name}-{zone}"), name, zone)))
            .collect(),
    )
}

fn three_stages() -> Vec<savoryvane_core::stages::StageWork> {
    vec![
        stage("a", &[], 1, 8_000),
        stage("b", &[0], 4, 60_000),
        stage("c", &[1], 6, 6_000),
    ]
}

fn result_count(world: &World, number: u64) -> usize {
    match world.outcome(number) {
        Some(StageOutcome::Ready(results)) => results.len(),
        other => panic!("not ready: {other:?}"),
    }
}

#[test]
fn stages_run_in_order_and_pass_on_their_results() {
    let mut world = three_services();
    world.submit(World::submission(1, three_stages(), 2_000));
    world.run(1_000);
    assert_eq!(result_count(&world, 1), 6);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.calls.len(), 3, "one call per stage");
}

#[test]
fn pieces_of_waiting_requests_share_calls() {
    let mut world = three_services();
    for number in 1..=6 {
        world.submit(World::submission(number, three_stages(), 3_000));
    }
    world.run(2_500);
    for number in 1..=6 {
        assert_eq!(result_count(&world, number), 6);
    }
    let first_stage = world
        .calls
        .iter()
        .filter(|(_, call)| call.service.as_str() == "a");
    assert!(
        first_stage.count() <= 3,
        "the last four requests share one call"
    );
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn skipped_stages_do_not_block_later_ones() {
    let mut world = three_services();
    let stages = vec![
        stage("a", &[], 0, 1_500_000),
        stage("a", &[], 1, 8_000),
        stage("b", &[1], 2, 60_000),
    ];
    world.submit(World::submission(1, stages, 2_000));
    world.run(1_000);
    assert_eq!(result_count(&world, 1), 2);
}

/// The results of the first stage are freed as soon as the second is completed. If the
/// results of the second are lost then, both have to be produced again, and the third
/// waits for all of them.
#[test]
fn lost_results_are_made_again_with_all_that_they_need() {
    for lost_at_ms in (200..900).step_by(10) {
        for lost in ["a-near", "a-far", "b-near", "b-far"] {
            let mut world = three_services();
            for number in 1..=4 {
                world.submit(World::submission(number, three_stages(), 5_000));
            }
            world.run(lost_at_ms);
            world.lose_results(lost);
            world.run(5_000);
            assert_eq!(
                world.violations,
                Vec::<String>::new(),
                "{lost} lost its results at {lost_at_ms} ms"
            );
            for number in 1..=4 {
                assert_eq!(result_count(&world, number), 6, "{lost} at {lost_at_ms} ms");
            }
        }
    }
}

/// Results use memory until their server has freed them, not until it is requested to.
#[test]
fn a_server_is_not_given_more_results_than_it_has_room_for() {
    let mut world = World::new(
        vec![service("a", batching(10, 17.0, 22_000_000))],
        vec![server("a-1", "a", "near"), server("a-2", "a", "near")],
    );
    world.free_delay_ms = 60;
    for number in 1..=40 {
        let stages = vec![stage("a", &[], 3, 1_500_000)];
        let mut submission = World::submission(number, stages, 6_000);
        submission.deadline_left_ms = 8_000;
        world.submit(submission);
    }
    for step in 1..=400 {
        world.run(step * 20);
        let done: Vec<u64> = world
            .outcomes
            .iter()
            .map(|(_, key, _)| key.number)
            .collect();
        for number in done {
            world.release(number);
        }
    }
    assert!(world.calls.len() >= 12);
    assert_eq!(
        world.out_of_memory_pieces, 0,
        "pieces without memory for their results"
    );
}

#[test]
fn pieces_of_an_unresponsive_server_are_repeated_elsewhere() {
    let mut world = three_services();
    world.silent.insert(BackendName::new("a-far"));
    world.silent.insert(BackendName::new("b-near"));
    for number in 1..=3 {
        world.submit(World::submission(number, three_stages(), 5_000));
    }
    world.run(4_000);
    for number in 1..=3 {
        assert_eq!(result_count(&world, number), 6);
    }
}

#[test]
fn requests_that_would_be_late_are_refused_at_once() {
    let mut world = three_services();
    for number in 1..=60 {
        world.submit(World::submission(number, three_stages(), 1_800));
    }
    let refused: Vec<_> = world
        .outcomes
        .iter()
        .filter_map(|(at_ms, _, outcome)| match outcome {
            StageOutcome::Refused {
                reason,
                retry_after_ms,
                ..
            } => Some((*at_ms, *reason, *retry_after_ms)),
            StageOutcome::Ready(_) | StageOutcome::Moved { .. } => None,
        })
        .collect();
    assert!(refused.len() > 20, "{} were refused", refused.len());
    for (at_ms, reason, retry_after_ms) in refused {
        assert_eq!((at_ms, reason), (0, Refusal::TooBusy));
        assert!(retry_after_ms > 0);
    }
    world.run(6_000);
    let late = world
        .outcomes
        .iter()
        .filter(|(at_ms, _, outcome)| matches!(outcome, StageOutcome::Ready(_)) && *at_ms > 1_800);
    assert_eq!(late.count(), 0, "no admitted request is late");
}

#[test]
fn a_cancelled_request_leaves_no_state_behind() {
    let mut world = three_services();
    for number in 1..=5 {
        world.submit(World::submission(number, three_stages(), 3_000));
    }
    world.run(300);
    for number in 1..=5 {
        world.scheduler.cancel(&World::key(number));
    }
    world.run(2_000);
    assert_eq!(world.scheduler.load(), (0, 0, 0));
    assert!(world.results.is_empty(), "{:?}", world.results);
}

/// Calls fail in various ways while servers lose their results: every request ends, and
/// no piece runs with incomplete inputs.
#[test]
fn whatever_fails_no_piece_is_made_of_half_of_its_inputs() {
    for seed in 0..60 {
        let mut world = three_services();
        world.rng = Pcg64Mcg::seed_from_u64(seed);
        world.failure_percent = 20;
        for number in 1..=8 {
            world.submit(World::submission(number, three_stages(), 5_000));
        }
        let servers = ["a-near", "a-far", "b-near", "b-far", "c-near", "c-far"];
        while world.now_ms < 7_000 {
            let until_ms = world.now_ms + world.rng.random_range(20..300);
            world.run(until_ms);
            let server = servers[world.rng.random_range(0..servers.len())];
            world.lose_results(server);
        }
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.outcomes.len(), 8, "seed {seed}");
    }
}

/// Servers that were unreachable get pieces soon after they are reachable again.
#[test]
fn servers_that_were_cut_off_get_pieces_soon_after_they_are_back() {
    let mut world = three_services();
    for name in ["a-far", "b-far", "c-far"] {
        world.unreachable.insert(BackendName::new(name));
    }
    let mut number = 0;
    let mut submit_load = |world: &mut World, until_ms: u64| {
        while world.now_ms < until_ms {
            number += 1;
            let mut submission = World::submission(number, three_stages(), 3_000);
            submission.home_zone = None;
            world.submit(submission);
            let next_ms = world.now_ms + 60;
            world.run(next_ms);
        }
    };
    submit_load(&mut world, 6_000);
    assert!(
        world
            .calls
            .iter()
            .all(|(_, call)| call.server.as_str().ends_with("near"))
    );
    world.unreachable.clear();
    let recovered_at_ms = world.now_ms;
    submit_load(&mut world, recovered_at_ms + 1_000);
    let mut calls_after_recovery = world
        .calls
        .iter()
        .filter(|(_, call)| call.server.as_str() == "a-far");
    let first_ms = calls_after_recovery
        .next()
        .expect("it gets calls again within a second")
        .0;
    assert!(
        first_ms - recovered_at_ms <= 600,
        "after {} ms",
        first_ms - recovered_at_ms
    );
}

/// A scheduler that is replaced starts no more calls. Its successor continues with the
/// completed pieces and repeats none.
#[test]
fn what_is_handed_over_goes_on_where_it_was() {
    for handover_at_ms in (10..900).step_by(70) {
        let mut world = three_services();
        for number in 1..=4 {
            world.submit(World::submission(number, three_stages(), 5_000));
        }
        world.run(handover_at_ms);
        let now_ms = world.now_ms;
        let next = InstanceName::new("next");
        world.scheduler.hand_over(now_ms, Some(&next));
        let calls_at_handover = world.calls.len();
        world.run(handover_at_ms + 400);
        assert_eq!(world.calls.len(), calls_at_handover, "no call is started");
        let moved: Vec<(u64, Vec<DonePiece>)> = world
            .outcomes
            .iter()
            .filter_map(|(_, key, outcome)| match outcome {
                StageOutcome::Moved { done, to } => {
                    assert_eq!(to, &Some(InstanceName::new("next")));
                    Some((key.number, done.clone()))
                }
                _ => None,
            })
            .collect();
        world.scheduler = StageScheduler::default();
        world.configure();
        for (number, done) in &moved {
            let mut submission = World::submission(number + 10, three_stages(), 4_000);
            submission.request = RequestId::new(format!("r{number}"));
            submission.piece_key = format!("k{number}");
            submission.done = done.clone();
            world.submit(submission);
        }
        world.run(handover_at_ms + 3_000);
        assert_eq!(world.violations, Vec::<String>::new());
        let ready = world.outcomes.iter().filter(
            |(_, _, outcome)| matches!(outcome, StageOutcome::Ready(results) if results.len() == 6),
        );
        assert_eq!(ready.count(), 4, "handed over at {handover_at_ms} ms");
        let started_pieces: usize = world.calls.iter().map(|(_, call)| call.items.len()).sum();
        assert_eq!(started_pieces, 4 * 11, "handed over at {handover_at_ms} ms");
    }
}

/// Guards against calls whose keys take all memory of an instance: callers choose the length of
/// their keys, and a call names the key of each of its pieces.
#[test]
fn a_call_names_a_bounded_number_of_bytes() {
    const MAX_NAMED_BYTES: usize = 256 << 10;
    for (key_bytes, requests) in [(12, 4), (15_000, 4), (60_000, 2), (300_000, 1)] {
        let mut world = World::new(
            vec![service("a", batching(94, 5.0, MEMORY_BYTES))],
            vec![server("a-1", "a", "near"), server("a-2", "a", "far")],
        );
        for number in 0..requests {
            let mut submission = World::submission(number, vec![stage("a", &[], 20, 8_000)], 5_000);
            submission.piece_key = "k".repeat(key_bytes);
            world.submit(submission);
        }
        world.run(5_500);
        let started: usize = world.calls.iter().map(|(_, call)| call.items.len()).sum();
        assert!(started > 0, "keys of {key_bytes} bytes");
        for (_, call) in &world.calls {
            let is_bounded = call.items.len() * key_bytes <= MAX_NAMED_BYTES;
            let pieces = call.items.len();
            assert!(
                is_bounded || pieces == 1,
                "{pieces} keys of {key_bytes} bytes"
            );
        }
        let is_batched = world.calls.iter().any(|(_, call)| call.items.len() >= 20);
        assert_eq!(is_batched, key_bytes == 12, "keys of {key_bytes} bytes");
    }
}

/// Guards against calls whose handles take all memory: servers choose the length of their handles,
/// and a call names all inputs of each of its pieces.
#[test]
fn a_result_with_an_endless_handle_is_not_taken() {
    let mut world = three_services();
    world.submit(World::submission(1, three_stages(), 5_000));
    let long = "h".repeat(100_000);
    let mut answered = 0;
    for until_ms in (5..5_000).step_by(5) {
        while let Some((_, call)) = world.calls.get(answered) {
            answered += 1;
            let outcome = ItemOutcome::Done(long.clone());
            let end = CallOutcome::Answered(vec![outcome; call.items.len()]);
            let id = call.id;
            world.scheduler.on_call_ended(world.now_ms, id, &end);
        }
        world.run(until_ms);
    }
    let services = world.calls.iter().map(|(_, call)| call.service.as_str());
    assert!(
        services.clone().all(|service| service == "a"),
        "no next stage"
    );
    assert!(services.count() > 1, "the piece was sent again");
    let outcome = world.outcome(1);
    assert!(
        matches!(outcome, Some(StageOutcome::Refused { .. })),
        "{outcome:?}"
    );
}

/// A submitter that loses its scheduler goes to another one with the pieces completed
/// before. The first one must not free these results.
#[test]
fn what_was_brought_outlasts_a_scheduler_that_is_given_up() {
    let mut world = three_services();
    world.submit(World::submission(1, three_stages(), 5_000));
    world.run(300);
    let next = InstanceName::new("next");
    world.scheduler.hand_over(300, Some(&next));
    world.run(700);
    let Some(StageOutcome::Moved { done, .. }) = world.outcome(1).cloned() else {
        panic!("not moved: {:?}", world.outcome(1));
    };
    assert!(!done.is_empty());
    let mut submission = World::submission(2, three_stages(), 4_000);
    submission.request = RequestId::new("r1");
    submission.piece_key = "k1".to_owned();
    submission.done = done;
    for number in [2, 3] {
        world.scheduler = StageScheduler::default();
        world.configure();
        submission.key = World::key(number);
        world.submit(submission.clone());
        if number == 2 {
            world.run(world.now_ms + 20);
            world.scheduler.cancel(&World::key(2));
        }
        world.run(world.now_ms + 2_000);
    }
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(result_count(&world, 3), 6);
    let first_stage = world.calls.iter().filter(|(_, call)| {
        let mut items = call.items.iter();
        items.any(|item| item.stage == 0)
    });
    assert_eq!(first_stage.count(), 1, "no completed piece ran again");
}

/// Guards against a piece that stays running forever and a caller without response: a
/// server that is removed from the register during a call completes it, but its result
/// is lost.
#[test]
fn what_a_server_made_that_has_left_is_made_again() {
    let mut world = three_services();
    world.submit(World::submission(1, vec![stage("a", &[], 1, 8_000)], 2_000));
    let running_on = world.calls[0].1.server.clone();
    world.servers.retain(|server| server.id != running_on);
    world.configure();
    world.run(1_500);
    assert!(
        matches!(world.outcome(1), Some(StageOutcome::Ready(_))),
        "{:?}",
        world.outcome(1)
    );
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Declared sizes are approximate, and the relative error of a sum decreases with the
/// number of results. With a fixed share of 85 percent the numbers would be 10, 17, 40
/// and 85; paired days of three deployments gained 0.0023 of the total request value
/// (standard error 0.0026).
#[test]
fn the_memory_reserve_shrinks_relative_to_the_number_of_results() {
    for (fitting, expected_pieces) in [(12, 10), (21, 18), (48, 44), (100, 95)] {
        let mut world = World::new(
            vec![service("a", batching(200, 1.0, fitting * 1_000_000))],
            vec![server("a-1", "a", "near")],
        );
        world.submit(World::submission(
            0,
            vec![stage("a", &[], 1, 1_000_000)],
            9_000,
        ));
        for number in 1..=fitting {
            let stages = vec![stage("a", &[], 1, 1_000_000)];
            world.submit(World::submission(number, stages, 9_000));
        }
        world.run(3_000);
        let second = world.calls.get(1).map(|(_, call)| call.items.len());
        assert_eq!(
            second,
            Some(expected_pieces - 1),
            "second call, with memory for {fitting} results"
        );
        assert_eq!(world.out_of_memory_pieces, 0);
    }
}

/// Released results make room for the next ones. A scheduler that has just started
/// keeps them, as calls of another one may be queued ahead of its own.
#[test]
fn results_are_let_go_while_those_that_fetched_them_are_at_work() {
    let mut world = three_services();
    world.run_until_uncontended();
    world.submit(World::submission(1, three_stages(), 5_000));
    let is_at = |world: &World, stage: usize| {
        world
            .calls
            .iter()
            .any(|(_, call)| call.items[0].stage == stage)
    };
    assert!(world.results.is_empty());
    while !is_at(&world, 1) {
        let next_ms = world.now_ms + 1;
        world.run(next_ms);
    }
    let began_ms = world.now_ms;
    assert!(!world.results.is_empty());
    world.run(began_ms + 60);
    assert!(
        world.results.is_empty(),
        "the call takes 200 ms, and fetches its inputs within 60 ms"
    );
    world.run(began_ms + 3_000);
    assert!(matches!(world.outcome(1), Some(StageOutcome::Ready(_))));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn what_was_let_go_is_made_again_when_those_that_fetched_it_fail() {
    let mut world = three_services();
    let second_stage_servers: Vec<BackendName> = world
        .servers
        .iter()
        .filter(|entry| entry.service.as_str() == "b")
        .map(|entry| entry.id.clone())
        .collect();
    // All servers but one accept calls and never respond.
    world
        .silent
        .extend(second_stage_servers.into_iter().skip(1));
    for number in 0..6 {
        let submission = World::submission(number, three_stages(), 5_000);
        world.submit(savoryvane_core::stages::Submission {
            deadline_left_ms: 20_000,
            ..submission
        });
    }
    world.run(20_000);
    for number in 0..6 {
        let outcome = world.outcome(number);
        assert!(
            matches!(outcome, Some(StageOutcome::Ready(_))),
            "{number}: {outcome:?}"
        );
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against sending whole calls of pieces whose inputs expired while servers were
/// unreachable.
#[test]
fn a_late_request_is_given_up_when_its_results_expire() {
    let mut world = three_services();
    world
        .unreachable
        .extend(["b-near", "b-far"].map(BackendName::new));
    for number in 0..6 {
        let submission = World::submission(number, three_stages(), 2_000);
        world.submit(savoryvane_core::stages::Submission {
            deadline_left_ms: 20_000,
            ..submission
        });
    }
    world.run(6_000);
    for number in 0..6 {
        let Some(StageOutcome::Refused {
            reason,
            retry_after_ms,
            ..
        }) = world.outcome(number)
        else {
            panic!("{number}: {:?}", world.outcome(number));
        };
        assert_eq!(*reason, Refusal::NoServer, "no server is reachable");
        assert!(*retry_after_ms > 0);
    }
    world.unreachable.clear();
    let calls = world.calls.len();
    world.run(9_000);
    assert_eq!(
        world.calls.len(),
        calls,
        "no call is sent for expired inputs"
    );
}
