//! Confirmation of plans under races, lost responses and an unavailable log.

mod config_fixtures;

use config_fixtures::{operator, pool, put_pool, world::World};
use savoryvane_core::{
    change::{Change, Intent},
    config::{
        AppendResult, ConfigRecord, Confirm, ConfirmOutcome, ConfirmStep, InvalidReason,
        READ_BACK_MS,
    },
    ids::Offset,
};

const DEADLINE_MS: u64 = 10_000;

fn world() -> World {
    let mut world = World::new(9, 3_600_000, 1);
    world.append(put_pool(0, "llm", 1));
    world.run_for(3_000);
    world
}

/// Plans a price change of the pool `llm` on `node`.
fn plan(world: &World, node: usize, price: u64) -> Change {
    let intent = Intent {
        pools: vec![pool("llm", price)],
        ..Intent::default()
    };
    let state = world.nodes[node].follower.state();
    state.plan(&intent, &operator()).unwrap().change
}

fn confirm(world: &World, change: Change) -> Confirm {
    Confirm::new(change, world.now_ms + DEADLINE_MS)
}

fn poll(world: &World, node: usize, confirm: &mut Confirm) -> ConfirmStep {
    confirm.poll(world.now_ms, world.nodes[node].follower.state())
}

/// Appends the change to the log. The caller passes on the result.
fn append(world: &mut World, node: usize, confirm: &mut Confirm) {
    assert_eq!(poll(world, node, confirm), ConfirmStep::Append);
    world.append(ConfigRecord::Change(confirm.change().clone()));
}

fn run_to_end(world: &mut World, node: usize, confirm: &mut Confirm) -> ConfirmOutcome {
    for _ in 0..2 * DEADLINE_MS {
        match poll(world, node, confirm) {
            ConfirmStep::Done(outcome) => return outcome,
            ConfirmStep::Append => panic!("appended again"),
            ConfirmStep::WaitUntil(_) => world.run_for(1),
        }
    }
    panic!("the confirmation did not end")
}

#[test]
fn two_operators_at_the_same_moment_get_one_winner_and_one_conflict() {
    let mut world = world();
    let mut first = confirm(&world, plan(&world, 3, 20));
    let mut second = confirm(&world, plan(&world, 7, 30));
    append(&mut world, 7, &mut second);
    append(&mut world, 3, &mut first);
    first.on_append(world.now_ms, AppendResult::Appended);
    second.on_append(world.now_ms, AppendResult::Appended);
    let offset = Offset(1);
    let in_force = ConfirmOutcome::InForce { offset };
    assert_eq!(run_to_end(&mut world, 7, &mut second), in_force);
    let rejected = run_to_end(&mut world, 3, &mut first);
    assert!(
        matches!(rejected, ConfirmOutcome::Conflict { .. }),
        "{rejected:?}"
    );
    world.run_for(2_000);
    for node in &world.nodes {
        let state = node.follower.state();
        assert_eq!(state.pool("llm").unwrap().price_micros_per_s, 30);
        assert!(
            state
                .history()
                .eq(world.nodes[0].follower.state().history())
        );
    }
}

#[test]
fn a_lost_answer_of_the_append_leaves_no_doubt() {
    let mut world = world();
    let mut confirm = confirm(&world, plan(&world, 0, 20));
    append(&mut world, 0, &mut confirm);
    confirm.on_append(world.now_ms, AppendResult::Unanswered);
    let offset = Offset(1);
    let in_force = ConfirmOutcome::InForce { offset };
    assert_eq!(run_to_end(&mut world, 0, &mut confirm), in_force);
}

#[test]
fn an_append_whose_record_is_not_read_back_is_repeated_without_harm() {
    let mut world = world();
    world.log.faults.hidden_from = Some(1);
    let mut confirm = confirm(&world, plan(&world, 0, 20));
    append(&mut world, 0, &mut confirm);
    confirm.on_append(world.now_ms, AppendResult::Unanswered);
    world.run_for(READ_BACK_MS);
    append(&mut world, 0, &mut confirm);
    confirm.on_append(world.now_ms, AppendResult::Appended);
    // Another operator changes the same object between the two records.
    let intervening = put_pool(1, "llm", 30);
    world.log.records.insert(2, (world.now_ms, intervening));
    world.log.faults.hidden_from = None;
    let offset = Offset(1);
    let in_force = ConfirmOutcome::InForce { offset };
    assert_eq!(run_to_end(&mut world, 0, &mut confirm), in_force);
    world.run_for(2_000);
    assert_eq!(world.next_of(0), 4);
    assert_eq!(world.nodes[0].follower.state().history().len(), 3);
}

#[test]
fn a_confirm_that_never_reached_the_log_says_so() {
    let mut world = world();
    let mut confirm = confirm(&world, plan(&world, 0, 20));
    let ended = loop {
        match poll(&world, 0, &mut confirm) {
            ConfirmStep::Append => confirm.on_append(world.now_ms, AppendResult::Refused),
            ConfirmStep::WaitUntil(at_ms) => world.run_for(at_ms - world.now_ms),
            ConfirmStep::Done(outcome) => break outcome,
        }
    };
    assert_eq!(ended, ConfirmOutcome::NotAppended);
}

#[test]
fn an_undecided_confirm_is_told_by_confirming_again() {
    let mut world = world();
    world.log.faults.hidden_from = Some(1);
    let change = plan(&world, 0, 20);
    let mut first = Confirm::new(change.clone(), world.now_ms + READ_BACK_MS);
    append(&mut world, 0, &mut first);
    first.on_append(world.now_ms, AppendResult::Unanswered);
    let undecided = ConfirmOutcome::Undecided;
    assert_eq!(run_to_end(&mut world, 0, &mut first), undecided);
    world.log.faults.hidden_from = None;
    world.run_for(2_000);
    // Any other instance returns the same outcome.
    let mut again = confirm(&world, change);
    let offset = Offset(1);
    let in_force = ConfirmOutcome::InForce { offset };
    assert_eq!(run_to_end(&mut world, 5, &mut again), in_force);
}

#[test]
fn an_altered_plan_is_refused_before_it_is_appended() {
    let mut world = world();
    let mut altered = plan(&world, 0, 20);
    altered.operator = "someone-else".into();
    let mut confirm = confirm(&world, altered);
    let reasons = vec![InvalidReason::IdMismatch];
    let invalid = ConfirmOutcome::Invalid { reasons };
    assert_eq!(run_to_end(&mut world, 0, &mut confirm), invalid);
}
