//! Tests streams that are cut off repeatedly: they are resumed at the next
//! token as long as they make progress, and their servers stay in use.

mod common;

use common::{DEADLINE_MS, Driver, done, fleet, spec, stage, token};
use savoryvane_core::{
    execution::{Action, Event, Execution, ExecutionSpec},
    fleet::{BackendState, Fleet},
    outcome::Outcome,
    settings::PolicySettings,
};

const TOKENS: u32 = 16;

/// Runs one request whose calls are each cut off after `tokens_per_call`
/// tokens. Returns its outcome and its number of calls.
fn run(fleet: &mut Fleet, now_ms: u64, tokens_per_call: u32) -> (Outcome, u32) {
    let spec = ExecutionSpec {
        deadline_at_ms: now_ms + DEADLINE_MS,
        ..spec(vec![stage("write", true)])
    };
    let mut execution = Execution::new(spec, now_ms);
    let mut actions = execution.on_event(now_ms, Event::Start, fleet);
    let mut calls = 0;
    loop {
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { call, .. } => Some((**call).clone()),
            _ => None,
        });
        let finished = actions.iter().find_map(|action| match action {
            Action::Finish(completion) => Some(completion.outcome),
            _ => None,
        });
        if let Some(outcome) = finished {
            return (outcome, calls);
        }
        let call = sent.expect("a call is sent or the request has ended");
        calls += 1;
        let end_index = (call.resume_from + tokens_per_call).min(TOKENS);
        for index in call.resume_from..end_index {
            execution.on_event(now_ms, token(&call.id, index, "a"), fleet);
        }
        let event = match end_index == TOKENS {
            true => done(&call.id, "whole", TOKENS),
            false => Event::Lost {
                attempt: call.id.attempt,
            },
        };
        actions = execution.on_event(now_ms, event, fleet);
    }
}

#[test]
fn streams_that_all_servers_cut_off_are_resumed_until_they_are_whole() {
    let mut fleet = fleet(PolicySettings::default());
    for now_ms in (0..3_000).step_by(25) {
        let (outcome, calls) = run(&mut fleet, now_ms, 5);
        assert_eq!(outcome, Outcome::Complete, "at {now_ms} ms");
        assert_eq!(calls, 4);
    }
}

#[test]
fn calls_with_little_progress_count_as_attempts() {
    let mut fleet = fleet(PolicySettings::default());
    for now_ms in (0..3_000).step_by(25) {
        let (outcome, calls) = run(&mut fleet, now_ms, 1);
        assert_eq!(outcome, Outcome::Failed);
        assert!(calls <= PolicySettings::default().max_attempts);
    }
}

#[test]
fn servers_that_cut_streams_off_are_ejected_up_to_the_cap_only() {
    let mut driver = Driver::new(vec![stage("write", true)]);
    for now_ms in 0..100 {
        run(&mut driver.fleet, now_ms, 1);
    }
    let ejected = driver
        .fleet
        .statuses(99)
        .filter(|status| status.state == BackendState::Ejected)
        .count();
    assert_eq!(ejected, 1);
}
