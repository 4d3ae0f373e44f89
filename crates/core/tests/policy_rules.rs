//! Tests policy rules that hold under any load: which servers get calls, which
//! calls are retried and which requests are refused.

mod common;

use common::{DEADLINE_MS, backend, done, error, fleet, pool, spec, stage};
use savoryvane_core::{
    call::{LoadReport, ServingState, StageCall},
    execution::{Action, Completion, Event, Execution, ExecutionSpec},
    fleet::{BackendState, Fleet},
    ids::BackendName,
    objects::{Backend, Objective, StageKind, Workspace},
    outcome::Outcome,
    settings::PolicySettings,
};

/// Calls after which a pool has enough samples for timeouts.
const WARM_UP: u64 = 40;

fn start(fleet: &mut Fleet, spec: ExecutionSpec, now_ms: u64) -> (Execution, Vec<Action>) {
    let mut execution = Execution::new(spec, now_ms);
    let actions = execution.on_event(now_ms, Event::Start, fleet);
    (execution, actions)
}

fn spec_at(now_ms: u64, pool: &str, idempotent: bool) -> ExecutionSpec {
    ExecutionSpec {
        deadline_at_ms: now_ms + DEADLINE_MS,
        ..spec(vec![stage(pool, idempotent)])
    }
}

fn sent(actions: &[Action]) -> Option<(BackendName, StageCall)> {
    actions.iter().find_map(|action| match action {
        Action::Send { backend, call, .. } => Some((backend.clone(), (**call).clone())),
        _ => None,
    })
}

fn finished(actions: &[Action]) -> Option<Completion> {
    actions.iter().find_map(|action| match action {
        Action::Finish(completion) => Some((**completion).clone()),
        _ => None,
    })
}

/// Runs requests whose calls take 10 ms, so that the pool has enough samples
/// for timeouts. Returns the time after them.
fn warm_up(fleet: &mut Fleet, pool: &str) -> u64 {
    for number in 0..WARM_UP {
        let now_ms = number * 20;
        let (mut execution, actions) = start(fleet, spec_at(now_ms, pool, true), now_ms);
        let (_, call) = sent(&actions).expect("it is sent");
        execution.on_event(now_ms + 10, done(&call.id, "x", 0), fleet);
    }
    WARM_UP * 20
}

#[test]
fn a_leaving_server_gets_no_new_calls() {
    let mut fleet = fleet(PolicySettings::default());
    fleet.on_leaving(&"pay-0".into());
    fleet.on_leaving(&"pay-1".into());
    for now_ms in 0..50 {
        let (_, actions) = start(&mut fleet, spec_at(now_ms, "pay", false), now_ms);
        assert_eq!(sent(&actions).expect("it is sent").0.as_str(), "pay-2");
    }
    fleet.on_leaving(&"pay-2".into());
    let (_, actions) = start(&mut fleet, spec_at(50, "pay", false), 50);
    let completion = finished(&actions).expect("it is refused at once");
    assert_eq!(completion.outcome, Outcome::NotRun);
    assert!(completion.retry_after_ms.is_some());
}

#[test]
fn a_failing_server_is_ejected_and_retried_later() {
    let mut fleet = fleet(PolicySettings::default());
    let mut failures = Vec::new();
    for now_ms in 0..3_000 {
        let (mut execution, actions) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
        let (mut name, mut call) = sent(&actions).expect("it is sent");
        while name.as_str() == "search-0" {
            failures.push(now_ms);
            let actions = execution.on_event(now_ms, error(&call.id), &mut fleet);
            (name, call) = sent(&actions).expect("it is retried on another server");
        }
        execution.on_event(now_ms, done(&call.id, "x", 0), &mut fleet);
    }
    assert!((3..=4).contains(&failures.len()), "{failures:?}");
    assert!(failures[2] >= failures[1] + 1_000, "{failures:?}");
}

#[test]
fn at_most_a_third_of_a_pool_is_ejected_for_failing() {
    let mut fleet = fleet(PolicySettings::default());
    for now_ms in 0..200 {
        let (mut execution, actions) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
        let (_, call) = sent(&actions).expect("a server is always available");
        execution.on_event(now_ms, error(&call.id), &mut fleet);
        execution.on_event(now_ms, Event::CallerGone, &mut fleet);
    }
    let ejected = fleet
        .statuses(199)
        .filter(|status| status.state == BackendState::Ejected)
        .count();
    assert_eq!(ejected, 1);
}

#[test]
fn retries_stay_within_their_budget() {
    let mut fleet = fleet(PolicySettings::default());
    let (mut first_attempts, mut all) = (0, 0);
    for now_ms in 0..2_000 {
        let (mut execution, actions) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
        first_attempts += 1;
        let mut next_call = sent(&actions);
        while let Some((_, call)) = next_call {
            all += 1;
            next_call = sent(&execution.on_event(now_ms, error(&call.id), &mut fleet));
        }
    }
    assert!(all > first_attempts, "some are retried");
    assert!(
        all - first_attempts <= first_attempts / 10 + 10,
        "{} of {first_attempts}",
        all - first_attempts
    );
}

#[test]
fn an_overdue_call_is_hedged_only_if_it_is_idempotent() {
    for idempotent in [true, false] {
        let mut fleet = fleet(PolicySettings::default());
        let now_ms = warm_up(&mut fleet, "pay");
        let spec = spec_at(now_ms, "pay", idempotent);
        let (mut execution, _) = start(&mut fleet, spec, now_ms);
        let actions = execution.on_event(now_ms + 500, Event::Timer, &mut fleet);
        assert_eq!(sent(&actions).is_some(), idempotent);
    }
}

#[test]
fn an_overdue_call_is_cancelled_if_cost_is_prioritised() {
    for (objective, cancels) in [(Objective::Attainment, 0), (Objective::Cost, 1)] {
        let mut fleet = fleet(PolicySettings::default());
        let now_ms = warm_up(&mut fleet, "search");
        let spec = ExecutionSpec {
            objective,
            ..spec_at(now_ms, "search", true)
        };
        let (mut execution, _) = start(&mut fleet, spec, now_ms);
        let actions = execution.on_event(now_ms + 500, Event::Timer, &mut fleet);
        assert!(sent(&actions).is_some());
        let cancel_count = actions
            .iter()
            .filter(|action| matches!(action, Action::Cancel { .. }))
            .count();
        assert_eq!(cancel_count, cancels);
    }
}

/// Reports four running and `queued` queued calls at each server of a pool.
fn report(fleet: &mut Fleet, now_ms: u64, pool: &str, queued: u32) {
    for number in 0..3 {
        let report = LoadReport {
            server: format!("{pool}-{number}").as_str().into(),
            state: ServingState::Serving,
            running: 4,
            queued,
            slots: 4,
            age_ms: 0,
            models: Vec::new(),
        };
        fleet.on_load_report(now_ms, &report);
    }
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut fleet = fleet(PolicySettings::default());
    let now_ms = warm_up(&mut fleet, "search");
    // Calls with a reported busy time of 1 ms: 20,000 of them are 5 s of work.
    report(&mut fleet, now_ms, "search", 20_000);
    let (_, actions) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
    let completion = finished(&actions).expect("it is refused at once");
    assert_eq!(completion.outcome, Outcome::NotRun);
    assert!(completion.retry_after_ms.is_some_and(|ms| ms >= 1_000));
}

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: name.into(),
        credential_sha256: String::new(),
        pipelines: vec!["quote".into()],
        weight: 1,
        quota_per_s: 1_000_000,
        objective: Objective::Attainment,
        attainment_per_mille: 950,
    }
}

#[test]
fn under_load_a_workspace_beyond_its_share_is_refused_first() {
    let mut fleet = fleet(PolicySettings::default());
    fleet.configure_workspaces(&[workspace("atelier"), workspace("flood")]);
    let flood_at = |now_ms| ExecutionSpec {
        workspace: "flood".into(),
        ..spec_at(now_ms, "search", true)
    };
    let now_ms = warm_up(&mut fleet, "search");
    for _ in 0..400 {
        let (mut execution, actions) = start(&mut fleet, flood_at(now_ms), now_ms);
        let (_, call) = sent(&actions).expect("without load all are admitted");
        execution.on_event(now_ms, done(&call.id, "x", 0), &mut fleet);
    }
    // A wait of about one second, well within the slack of 4 s.
    report(&mut fleet, now_ms, "search", 4_000);
    let (_, refused) = start(&mut fleet, flood_at(now_ms), now_ms);
    assert!(sent(&refused).is_none());
    let (_, admitted) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
    assert!(sent(&admitted).is_some());
}

/// Quotas are enforced by the limiter, which the instances share. A second
/// check in the fleet refused bursts that the limiter allows.
#[test]
fn the_fleet_does_not_enforce_quotas() {
    let mut fleet = fleet(PolicySettings::default());
    let small = Workspace {
        quota_per_s: 1,
        ..workspace("atelier")
    };
    fleet.configure_workspaces(&[small]);
    let now_ms = warm_up(&mut fleet, "search");
    for _ in 0..20 {
        let (mut execution, actions) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
        let (_, call) = sent(&actions).expect("it is admitted");
        execution.on_event(now_ms, done(&call.id, "x", 0), &mut fleet);
    }
}

#[test]
fn a_cached_prefix_counts_less_than_load() {
    let mut fleet = fleet(PolicySettings::default());
    let now_ms = warm_up(&mut fleet, "write");
    fleet.on_cache_event(&"write-1".into(), 7, true);
    let with_prefix = || ExecutionSpec {
        prefix: Some(7),
        ..spec_at(now_ms, "write", true)
    };
    let (_, first_actions) = start(&mut fleet, with_prefix(), now_ms);
    assert_eq!(
        sent(&first_actions).expect("it is sent").0.as_str(),
        "write-1"
    );
    let mut other_server_count = 0;
    for _ in 0..20 {
        let (_, actions) = start(&mut fleet, with_prefix(), now_ms);
        let (name, _) = sent(&actions).expect("it is sent");
        other_server_count += u32::from(name.as_str() != "write-1");
    }
    assert!(other_server_count >= 10, "{other_server_count} of 20");
}

#[test]
fn an_instance_uses_a_bounded_subset_of_a_large_pool() {
    let settings = PolicySettings::default();
    let subset_size = settings.subset_size;
    let backends: Vec<Backend> = (0..283)
        .map(|number| backend(&format!("lm-{number}"), "lm", "here"))
        .collect();
    let pools = [pool("lm", StageKind::Generate)];
    let mut used = std::collections::BTreeSet::new();
    for instance in 0..95 {
        let name = format!("entry-{instance}");
        let mut fleet = Fleet::new(name.as_str().into(), "here".into(), settings.clone(), 1);
        fleet.configure(&pools, &backends);
        let members: Vec<BackendName> = fleet.members().cloned().collect();
        assert_eq!(members.len(), subset_size);
        used.extend(members);
    }
    assert!(used.len() >= 275, "{} of 283 are used", used.len());
}
