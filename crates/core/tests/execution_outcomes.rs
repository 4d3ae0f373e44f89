//! Tests each way in which a request can end and the outcome reported for it.

mod common;

use common::{DEADLINE_MS, Driver, done, error, spec, stage, token};
use savoryvane_core::{
    call::RefusalReason,
    execution::{Action, DiscardReason, Event},
    outcome::Outcome,
    settings::PolicySettings,
};

fn outcome(driver: &Driver) -> Option<Outcome> {
    driver.completion().map(|completion| completion.outcome)
}

#[test]
fn a_request_runs_through_its_stages() {
    let mut driver = Driver::new(vec![stage("search", true), stage("pay", false)]);
    let (_, search) = driver.start();
    driver.on(10, done(&search.id, "found", 0));
    let (_, pay) = driver.last_send();
    assert_eq!(pay.previous, serde_json::json!("found"));
    driver.on(20, done(&pay.id, "paid", 0));
    let completion = driver.completion().expect("it ended");
    assert_eq!(completion.outcome, Outcome::Complete);
    assert_eq!(completion.output, Some(serde_json::json!("paid")));
    let calls: Vec<u32> = completion.stages.iter().map(|stage| stage.calls).collect();
    assert_eq!(calls, [1, 1]);
}

#[test]
fn a_lost_non_idempotent_call_is_unknown_at_once_and_not_repeated() {
    let mut driver = Driver::new(vec![stage("pay", false)]);
    let (_, call) = driver.start();
    driver.on(
        5,
        Event::Lost {
            attempt: call.id.attempt,
        },
    );
    assert_eq!(outcome(&driver), Some(Outcome::Unknown));
    assert_eq!(driver.sends().len(), 1);
}

#[test]
fn a_failed_non_idempotent_call_is_unknown_and_not_repeated() {
    let mut driver = Driver::new(vec![stage("pay", false)]);
    let (_, call) = driver.start();
    driver.on(5, error(&call.id));
    assert_eq!(outcome(&driver), Some(Outcome::Unknown));
    assert_eq!(driver.sends().len(), 1);
}

fn refused(attempt: u64, reason: RefusalReason) -> Event {
    Event::Refused {
        attempt,
        reason,
        retry_after_ms: None,
    }
}

#[test]
fn a_call_that_did_not_run_is_retried_even_if_not_idempotent() {
    let mut driver = Driver::new(vec![stage("pay", false)]);
    let (first, call) = driver.start();
    let attempt = call.id.attempt;
    driver.on(5, refused(attempt, RefusalReason::Full));
    let (second, call) = driver.last_send();
    assert_ne!(first, second);
    let attempt = call.id.attempt;
    driver.on(6, Event::NotSent { attempt });
    let (third, call) = driver.last_send();
    assert!(third != first && third != second);
    driver.on(7, done(&call.id, "paid", 0));
    assert_eq!(outcome(&driver), Some(Outcome::Complete));
}

#[test]
fn not_run_only_when_nothing_reached_a_socket() {
    let mut driver = Driver::new(vec![stage("pay", false)]);
    driver.start();
    while driver.completion().is_none() {
        let attempt = driver.last_send().1.id.attempt;
        driver.on(1, Event::NotSent { attempt });
    }
    assert_eq!(outcome(&driver), Some(Outcome::NotRun));

    let mut driver = Driver::new(vec![stage("pay", false)]);
    driver.start();
    while driver.completion().is_none() {
        let attempt = driver.last_send().1.id.attempt;
        driver.on(1, refused(attempt, RefusalReason::Full));
    }
    assert_eq!(outcome(&driver), Some(Outcome::Failed));
}

#[test]
fn not_started_when_an_earlier_attempt_may_have_run() {
    let mut spec = spec(vec![stage("pay", false)]);
    spec.earlier_may_have_run = true;
    let mut driver = Driver::with(spec, PolicySettings::default());
    driver.on(DEADLINE_MS, Event::Start);
    assert_eq!(outcome(&driver), Some(Outcome::NotStarted));
}

#[test]
fn a_passed_deadline_ends_the_request_with_the_correct_outcome() {
    for (idempotent, expected) in [(true, Outcome::Failed), (false, Outcome::Unknown)] {
        let mut driver = Driver::new(vec![stage("pay", idempotent)]);
        driver.start();
        driver.on(DEADLINE_MS, Event::Timer);
        assert_eq!(outcome(&driver), Some(expected));
        let cancels = driver
            .actions
            .iter()
            .filter(|action| matches!(action, Action::Cancel { .. }))
            .count();
        assert_eq!(cancels, usize::from(idempotent));
    }
}

#[test]
fn a_stream_cut_halfway_is_resumed_at_the_token_reached() {
    let mut driver = Driver::new(vec![stage("write", true)]);
    let (_, call) = driver.start();
    driver.on(5, token(&call.id, 0, "a"));
    driver.on(6, token(&call.id, 1, "b"));
    let attempt = call.id.attempt;
    driver.on(7, Event::Lost { attempt });
    let (_, resumed) = driver.last_send();
    assert_eq!(resumed.resume_from, 2);
    driver.on(8, token(&resumed.id, 2, "c"));
    driver.on(9, done(&resumed.id, "abc", 3));
    assert_eq!(outcome(&driver), Some(Outcome::Complete));
    assert_eq!(driver.emitted(), ["a", "b", "c"]);
}

#[test]
fn a_truncated_stream_is_never_reported_as_complete() {
    let mut driver = Driver::new(vec![stage("write", true)]);
    let (_, call) = driver.start();
    driver.on(5, token(&call.id, 0, "a"));
    driver.on(6, done(&call.id, "a", 3));
    assert_eq!(outcome(&driver), None);
    assert_eq!(driver.last_send().1.resume_from, 1);
}

#[test]
fn a_silent_idempotent_call_is_hedged_and_the_first_response_wins() {
    let mut driver = Driver::new(vec![stage("search", true)]);
    let (first, call) = driver.start();
    let attempt = call.id.attempt;
    driver.on(5, Event::Silent { attempt });
    let (second, hedge) = driver.last_send();
    assert_ne!(first, second);
    driver.on(9, done(&hedge.id, "found", 0));
    assert_eq!(outcome(&driver), Some(Outcome::Complete));
    let late = driver.on(10, done(&call.id, "late", 0));
    let reason = DiscardReason::Late;
    assert_eq!(
        late,
        [Action::Discard {
            id: call.id,
            reason
        }]
    );
}

#[test]
fn a_disconnected_caller_stops_only_requests_without_effects() {
    let mut driver = Driver::new(vec![stage("search", true), stage("pay", false)]);
    let (_, search) = driver.start();
    driver.on(10, done(&search.id, "found", 0));
    driver.on(11, Event::CallerGone);
    assert_eq!(outcome(&driver), None);

    let mut driver = Driver::new(vec![stage("search", true), stage("pay", false)]);
    driver.start();
    driver.on(5, Event::CallerGone);
    assert_eq!(outcome(&driver), Some(Outcome::Failed));
}
