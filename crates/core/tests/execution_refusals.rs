//! Tests refusals by backend servers: they use no retry budget, a refusing
//! server is avoided, and a request fails at once when all servers refuse.

mod common;

use common::{DEADLINE_MS, done, fleet, spec, stage};
use savoryvane_core::{
    call::{RefusalReason, StageCall},
    execution::{Action, Completion, Event, Execution, ExecutionSpec},
    fleet::Fleet,
    ids::BackendName,
    outcome::Outcome,
    settings::PolicySettings,
};

/// The result of a request whose calls are refused by some servers and
/// completed at once by the others.
struct RunResult {
    tried: Vec<BackendName>,
    completion: Completion,
}

fn sent(actions: &[Action]) -> Option<(BackendName, StageCall)> {
    actions.iter().find_map(|action| match action {
        Action::Send { backend, call, .. } => Some((backend.clone(), (**call).clone())),
        _ => None,
    })
}

fn run(
    fleet: &mut Fleet,
    now_ms: u64,
    pool: &str,
    refusing: &[&str],
    refusal_reason: RefusalReason,
) -> RunResult {
    run_with_backoff(fleet, now_ms, pool, refusing, (refusal_reason, None))
}

/// Runs one request; refusing servers request the given backoff in ms, if any.
fn run_with_backoff(
    fleet: &mut Fleet,
    now_ms: u64,
    pool: &str,
    refusing: &[&str],
    (refusal_reason, retry_after_ms): (RefusalReason, Option<u64>),
) -> RunResult {
    let spec = ExecutionSpec {
        deadline_at_ms: now_ms + DEADLINE_MS,
        ..spec(vec![stage(pool, pool != "pay")])
    };
    let mut execution = Execution::new(spec, now_ms);
    let mut actions = execution.on_event(now_ms, Event::Start, fleet);
    let mut tried = Vec::new();
    while let Some((backend, call)) = sent(&actions) {
        let attempt = call.id.attempt;
        let event = match refusing.contains(&backend.as_str()) {
            true => Event::Refused {
                attempt,
                reason: refusal_reason,
                retry_after_ms,
            },
            false => done(&call.id, "found", 0),
        };
        tried.push(backend);
        actions = execution.on_event(now_ms, event, fleet);
    }
    let finish = actions.into_iter().find_map(|action| match action {
        Action::Finish(completion) => Some(*completion),
        _ => None,
    });
    RunResult {
        tried,
        completion: finish.expect("it ends with its last event"),
    }
}

#[test]
fn a_server_that_requests_backoff_gets_no_call_until_it_has_ended() {
    const BACKOFF_MS: u64 = 3_000;
    let mut fleet = fleet(PolicySettings::default());
    let refusal = (RefusalReason::Full, Some(BACKOFF_MS));
    let mut tried_ms = Vec::new();
    for now_ms in (0..10_000).step_by(5) {
        let result = run_with_backoff(&mut fleet, now_ms, "search", &["search-0"], refusal);
        assert_eq!(result.completion.outcome, Outcome::Complete);
        let was_tried = result
            .tried
            .iter()
            .any(|tried| tried.as_str() == "search-0");
        tried_ms.extend(was_tried.then_some(now_ms));
    }
    assert!(tried_ms.len() > 1, "it is tried again");
    for pair in tried_ms.windows(2) {
        assert!(pair[1] >= pair[0] + BACKOFF_MS, "{tried_ms:?}");
    }
}

#[test]
fn a_refusal_costs_no_request_while_another_server_is_free() {
    for refusal_reason in [
        RefusalReason::Full,
        RefusalReason::NoModel,
        RefusalReason::Leaving,
    ] {
        for pool in ["search", "pay"] {
            let refusing = [format!("{pool}-0"), format!("{pool}-1")];
            let refusing: Vec<&str> = refusing.iter().map(String::as_str).collect();
            let mut fleet = fleet(PolicySettings::default());
            for now_ms in (0..10_000).step_by(5) {
                let result = run(&mut fleet, now_ms, pool, &refusing, refusal_reason);
                assert_eq!(
                    result.completion.outcome,
                    Outcome::Complete,
                    "{now_ms} {refusal_reason:?}"
                );
            }
        }
    }
}

#[test]
fn a_server_that_refuses_is_asked_less_and_less_until_it_answers() {
    let mut fleet = fleet(PolicySettings::default());
    let mut refused_at_ms = Vec::new();
    for now_ms in 0..10_000 {
        let result = run(
            &mut fleet,
            now_ms,
            "search",
            &["search-0"],
            RefusalReason::Full,
        );
        if result.tried.iter().any(|name| name.as_str() == "search-0") {
            refused_at_ms.push(now_ms);
        }
    }
    // The avoidance time doubles from 50 ms up to 3.2 s.
    assert!((7..=9).contains(&refused_at_ms.len()), "{refused_at_ms:?}");
    let call_count = (10_000..14_000)
        .filter(|now_ms| {
            let result = run(&mut fleet, *now_ms, "search", &[], RefusalReason::Full);
            result.tried[0].as_str() == "search-0"
        })
        .count();
    assert!(call_count >= 200, "{call_count} after it takes calls again");
}

#[test]
fn when_all_servers_refuse_each_is_tried_once_and_the_request_fails_at_once() {
    let mut fleet = fleet(PolicySettings::default());
    let all = ["search-0", "search-1", "search-2"];
    for now_ms in (0..2_000).step_by(25) {
        let result = run(&mut fleet, now_ms, "search", &all, RefusalReason::Full);
        let mut tried = result.tried.clone();
        tried.sort();
        tried.dedup();
        assert_eq!(tried.len(), result.tried.len(), "none is tried twice");
        assert_eq!(result.completion.outcome, Outcome::Failed);
        assert!(
            result
                .completion
                .retry_after_ms
                .is_some_and(|ms| ms >= 1_000)
        );
    }
}
