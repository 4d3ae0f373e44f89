//! Rules of the policy that hold whatever the load: who gets no calls, what is
//! repeated, and who is refused.

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

/// Calls after which the usual times of a pool are known.
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

/// Runs requests whose calls take 10 ms, so that the pool's times are known.
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
fn a_leaving_server_gets_nothing_new() {
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
fn a_failing_server_is_left_alone_and_tried_again_later() {
    let mut fleet = fleet(PolicySettings::default());
    let mut failures = Vec::new();
    for now_ms in 0..3_000 {
        let (mut execution, actions) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
        let (mut name, mut call) = sent(&actions).expect("it is sent");
        while name.as_str() == "search-0" {
            failures.push(now_ms);
            let actions = execution.on_event(now_ms, error(&call.id), &mut fleet);
            (name, call) = sent(&actions).expect("it goes elsewhere");
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
        let (_, call) = sent(&actions).expect("there is always somewhere to go");
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
fn repeats_stay_within_their_share() {
    let mut fleet = fleet(PolicySettings::default());
    let (mut first, mut all) = (0, 0);
    for now_ms in 0..2_000 {
        let (mut execution, actions) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
        first += 1;
        let mut next = sent(&actions);
        while let Some((_, call)) = next {
            all += 1;
            next = sent(&execution.on_event(now_ms, error(&call.id), &mut fleet));
        }
    }
    assert!(all > first, "some are repeated");
    assert!(all - first <= first / 10 + 10, "{} of {first}", all - first);
}

#[test]
fn an_overdue_call_is_raced_only_if_it_may_be_repeated() {
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
fn where_cost_weighs_more_an_overdue_call_is_given_up() {
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
        let given_up = actions
            .iter()
            .filter(|action| matches!(action, Action::Cancel { .. }))
            .count();
        assert_eq!(given_up, cancels);
    }
}

/// Reports so many calls at each server of a pool.
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
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let mut fleet = fleet(PolicySettings::default());
    let now_ms = warm_up(&mut fleet, "search");
    // Calls of 1 ms (as reported busy): 20,000 of them are 5 s of work.
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
fn under_pressure_a_workspace_beyond_its_share_is_refused_first() {
    let mut fleet = fleet(PolicySettings::default());
    fleet.configure_workspaces(&[workspace("atelier"), workspace("flood")]);
    let flood_at = |now_ms| ExecutionSpec {
        workspace: "flood".into(),
        ..spec_at(now_ms, "search", true)
    };
    let now_ms = warm_up(&mut fleet, "search");
    for _ in 0..400 {
        let (mut execution, actions) = start(&mut fleet, flood_at(now_ms), now_ms);
        let (_, call) = sent(&actions).expect("without pressure all are taken");
        execution.on_event(now_ms, done(&call.id, "x", 0), &mut fleet);
    }
    // A wait of about a second: well within the slack of 4 s.
    report(&mut fleet, now_ms, "search", 4_000);
    let (_, refused) = start(&mut fleet, flood_at(now_ms), now_ms);
    assert!(sent(&refused).is_none());
    let (_, taken) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
    assert!(sent(&taken).is_some());
}

/// The limiter, which the instances share, is the one that counts quotas: a
/// second count here refused bursts that it allows.
#[test]
fn the_fleet_refuses_nobody_for_a_quota() {
    let mut fleet = fleet(PolicySettings::default());
    let small = Workspace {
        quota_per_s: 1,
        ..workspace("atelier")
    };
    fleet.configure_workspaces(&[small]);
    let now_ms = warm_up(&mut fleet, "search");
    for _ in 0..20 {
        let (mut execution, actions) = start(&mut fleet, spec_at(now_ms, "search", true), now_ms);
        let (_, call) = sent(&actions).expect("it is taken");
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
    let (_, first) = start(&mut fleet, with_prefix(), now_ms);
    assert_eq!(sent(&first).expect("it is sent").0.as_str(), "write-1");
    let mut elsewhere = 0;
    for _ in 0..20 {
        let (_, actions) = start(&mut fleet, with_prefix(), now_ms);
        let (name, _) = sent(&actions).expect("it is sent");
        elsewhere += u32::from(name.as_str() != "write-1");
    }
    assert!(elsewhere >= 10, "{elsewhere} of 20");
}

#[test]
fn an_instance_uses_a_bounded_part_of_a_large_pool() {
    let settings = PolicySettings::default();
    let most = settings.subset_size;
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
        assert_eq!(members.len(), most);
        used.extend(members);
    }
    assert!(used.len() >= 275, "{} of 283 are used", used.len());
}
