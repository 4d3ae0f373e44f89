//! Rules for forwarded requests: route lookup, repeats, the directory and returning callers.

use std::{cell::Cell, sync::Arc};

use savoryvane_core::{
    forwarding::{
        AttemptEnd, BudgetSettings, Cursor, Directory, DirectoryUpdate, FinalResponse, NextStep,
        Position, RepeatBudgets, RepeatPolicy, Route, RouteDeadlines, RouteKind, RouteTable,
        RoutingConfig, Scope, ServerEntry, ServerState, SyncPoint, Target, Unroutable,
        WorkspaceKeys, next_step,
    },
    ids::{BackendName, PoolName, WorkspaceName, ZoneName},
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        targets: vec![Target {
            service: PoolName::new("s"),
            weight: 1,
        }],
        max_servers: 2,
        timeout_ms: 1_000,
        goal_ms: 100,
        priority: 1,
        is_public: false,
        has_prompts: false,
        is_resumable: false,
        event_gap_ms: None,
        stages: Vec::new(),
    }
}

fn table() -> RouteTable {
    let mut open = route("open", "a.example", "/open/");
    open.is_public = true;
    RouteTable::new(Arc::new(RoutingConfig {
        version: 3,
        routes: vec![
            route("short", "a.example", "/p/"),
            route("long", "a.example", "/p/q/"),
            open,
        ],
        workspaces: Some(vec![WorkspaceKeys {
            name: WorkspaceName::new("w"),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: Some(0),
        }]),
        ..RoutingConfig::default()
    }))
}

#[test]
fn the_longest_prefix_of_the_host_takes_a_request() {
    let table = table();
    let name = |host: &str, path: &str| {
        let found = table.find(host, path, Some("k2"));
        found.map(|matched| matched.route.name.clone())
    };
    assert_eq!(name("a.example", "/p/q/x").as_deref(), Ok("long"));
    assert_eq!(name("A.Example:8080", "/p/x").as_deref(), Ok("short"));
    assert_eq!(name("a.example", "/p"), Err(Unroutable::NoRoute));
    assert_eq!(name("b.example", "/p/x"), Err(Unroutable::NoRoute));
}

#[test]
fn a_key_names_its_workspace_and_rank() {
    let table = table();
    let matched = table.find("a.example", "/p/x", Some("k1")).unwrap();
    assert_eq!(matched.workspace, Some(WorkspaceName::new("w")));
    assert_eq!(matched.priority, 0, "the workspace's rank takes precedence");
    for key in [None, Some("k3"), Some("")] {
        let found = table.find("a.example", "/p/x", key).map(drop);
        assert_eq!(found, Err(Unroutable::UnknownKey));
        assert!(table.find("a.example", "/open/x", key).is_ok());
    }
}

#[test]
fn once_the_last_key_of_the_last_workspace_is_revoked_no_request_is_admitted() {
    let mut config = (**table().config()).clone();
    config.workspaces.as_mut().expect("workspaces")[0]
        .keys
        .clear();
    check_admits_none(config);
}

/// Guards against admitting every request once the operator has removed the last workspace.
#[test]
fn once_the_last_workspace_is_removed_no_request_is_admitted() {
    let mut config = (**table().config()).clone();
    config.workspaces = Some(Vec::new());
    check_admits_none(config);
}

fn check_admits_none(config: RoutingConfig) {
    let table = RouteTable::new(Arc::new(config));
    for key in [None, Some("k1"), Some("k3"), Some("")] {
        let found = table.find("a.example", "/p/x", key).map(drop);
        assert_eq!(found, Err(Unroutable::UnknownKey), "{key:?}");
        assert!(table.find("a.example", "/open/x", key).is_ok());
    }
}

#[test]
fn without_workspaces_no_request_needs_a_key() {
    let mut config = (**table().config()).clone();
    config.workspaces = None;
    let table = RouteTable::new(Arc::new(config));
    assert!(table.find("a.example", "/p/x", None).is_ok());
}

/// For every end of an attempt and both repeat policies: a request that may have run and may not be
/// repeated is never sent again, and its caller never gets the response that it did not run.
#[test]
fn what_may_have_run_is_neither_repeated_nor_denied() {
    let ends = [
        AttemptEnd::NotSent,
        AttemptEnd::Misdirected,
        AttemptEnd::InputsGone,
        AttemptEnd::NotRun,
        AttemptEnd::Failed,
        AttemptEnd::Lost,
        AttemptEnd::Silent,
    ];
    for end in ends {
        for policy in [RepeatPolicy::Allowed, RepeatPolicy::Never] {
            for had_run in [false, true] {
                for can_repeat in [false, true] {
                    for has_budget in [false, true] {
                        let ran = matches!(
                            end,
                            AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Silent
                        );
                        let may_have_run = had_run || ran;
                        let step = next_step(end, policy, may_have_run, can_repeat, || has_budget);
                        let case = (end, policy, may_have_run, can_repeat, has_budget, step);
                        if may_have_run && policy == RepeatPolicy::Never {
                            assert_ne!(step, NextStep::SendAgain, "{case:?}");
                        }
                        if may_have_run {
                            assert_ne!(step, NextStep::Give(FinalResponse::Refusal), "{case:?}");
                        }
                        if !can_repeat {
                            assert_ne!(step, NextStep::SendAgain, "{case:?}");
                        }
                        let is_prepaid = matches!(end, AttemptEnd::NotSent | AttemptEnd::Silent);
                        if !has_budget && !is_prepaid {
                            assert_ne!(step, NextStep::SendAgain, "{case:?}");
                        }
                    }
                }
            }
        }
    }
}

#[test]
fn an_attempt_that_was_not_sent_costs_nothing() {
    let spent = Cell::new(0);
    let spend = || {
        spent.set(spent.get() + 1);
        true
    };
    let step = next_step(AttemptEnd::NotSent, RepeatPolicy::Never, false, true, spend);
    assert_eq!((step, spent.get()), (NextStep::SendAgain, 0));
    assert!(!AttemptEnd::NotSent.counts() && !AttemptEnd::Misdirected.counts());
    assert!(AttemptEnd::NotRun.counts() && AttemptEnd::Lost.counts());
}

/// Time at which budgets are used, in ms.
const NOW_MS: u64 = 50_000;

/// In any window, all instances together stay within the ratio and the slack without coordination.
#[test]
fn all_instances_together_stay_within_the_budget() {
    let settings = BudgetSettings {
        ratio: 0.2,
        slack: 58.0,
        instances: 16,
        window_ms: 10_000,
    };
    let service = PoolName::new("s");
    let mut repeats = 0;
    let mut requests = 0;
    for instance in 0..16 {
        let mut budgets = RepeatBudgets::new(settings);
        for _ in 0..(instance * 10) {
            budgets.on_request(NOW_MS, &service);
            requests += 1;
            while budgets.try_spend(NOW_MS, &service) {
                repeats += 1;
            }
        }
    }
    let max = 0.2 * f64::from(requests) + 58.0;
    assert!(f64::from(repeats) <= max, "{repeats} of {max}");
    assert!(repeats > 100, "the budget can be used: {repeats}");
    let mut other = RepeatBudgets::new(settings);
    assert!(
        other.try_spend(NOW_MS, &PoolName::new("t")),
        "each service has its own budget"
    );
}

/// If there are more instances than configured, each takes a smaller share of the slack, even if
/// its budget is already full.
#[test]
fn many_instances_take_small_shares_of_the_slack() {
    let settings = BudgetSettings {
        ratio: 0.2,
        slack: 176.0,
        instances: 16,
        window_ms: 10_000,
    };
    let service = PoolName::new("s");
    let mut repeats = 0;
    for rank in 0..75 {
        let mut budgets = RepeatBudgets::new(settings);
        budgets.on_request(NOW_MS, &service);
        budgets.on_listed(75, rank);
        while budgets.try_spend(NOW_MS, &service) {
            repeats += 1;
        }
    }
    assert!(f64::from(repeats) <= 176.0 + 0.2 * 75.0, "{repeats}");
    let mut few = RepeatBudgets::new(settings);
    few.on_listed(3, 0);
    let spent = (0..100).filter(|_| few.try_spend(NOW_MS, &service)).count();
    assert_eq!(
        spent, 11,
        "the share never exceeds that for the configured instances"
    );
}

/// A thousand instances have one repeat each in a window, and have it again in the next: 139 of
/// 305 requests that servers failed were repeated when a share was used up for good.
#[test]
fn the_slack_of_a_thousand_instances_returns_with_each_window() {
    let settings = BudgetSettings {
        ratio: 0.2,
        slack: 1_040.0,
        instances: 16,
        window_ms: 10_000,
    };
    let service = PoolName::new("s");
    let mut all: Vec<RepeatBudgets> = (0..985)
        .map(|rank| {
            let mut budgets = RepeatBudgets::new(settings);
            budgets.on_listed(985, rank);
            budgets
        })
        .collect();
    for window in 0..3 {
        let now_ms = NOW_MS + window * 10_001;
        let mut repeats = 0;
        for budgets in &mut all {
            while budgets.try_spend(now_ms, &service) {
                repeats += 1;
            }
        }
        assert_eq!(repeats, 1_040);
    }
}

quickcheck::quickcheck! {
    /// Whenever requests and failures come, no window has more repeats than the bound allows.
    fn no_window_has_more_repeats_than_allowed(events: Vec<(u16, bool)>, slack: u8) -> bool {
        let settings = BudgetSettings {
            ratio: 0.2,
            slack: f64::from(slack),
            instances: 1,
            window_ms: 10_000,
        };
        let service = PoolName::new("s");
        let mut budgets = RepeatBudgets::new(settings);
        let mut now_ms = NOW_MS;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (pause_ms, fails) in events {
            now_ms += u64::from(pause_ms) % 3_000;
            budgets.on_request(now_ms, &service);
            requests.push(now_ms);
            while fails && budgets.try_spend(now_ms, &service) {
                repeats.push(now_ms);
            }
        }
        repeats.iter().all(|end_ms| {
            let in_window = |at_ms: &&u64| **at_ms + 10_000 > *end_ms && **at_ms <= *end_ms;
            let requests = requests.iter().filter(in_window).count() as f64;
            let repeats = repeats.iter().filter(in_window).count() as f64;
            repeats <= 0.2 * requests + f64::from(slack)
        })
    }
}

fn entry(id: &str, state: ServerState) -> ServerEntry {
    ServerEntry {
        id: BackendName::new(id),
        registered_as: BackendName::new(id),
        started_ms: None,
        position: Position::default(),
        service: PoolName::new("s"),
        software: None,
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 4,
        state,
        cold_left_ms: 0,
    }
}

fn state_of(directory: &Directory, id: &str) -> Option<ServerState> {
    directory
        .entry(&BackendName::new(id))
        .map(|entry| entry.state)
}

/// Cursor after the first record of the register.
const KNOWN_UP_TO: Cursor = Cursor {
    era: 0,
    before: 0,
    offset: 1,
};

/// Applies one record of the register.
fn apply(directory: &mut Directory, id: &BackendName, entry: Option<ServerEntry>) -> bool {
    let update = DirectoryUpdate::Changes(vec![(id.clone(), entry)]);
    directory.update_to(update, KNOWN_UP_TO)
}

#[test]
fn an_old_record_does_not_make_a_server_that_has_left_available() {
    let mut directory = Directory::default();
    let id = BackendName::new("i-1");
    apply(&mut directory, &id, Some(entry("i-1", ServerState::Ready)));
    directory.on_leaving(&id);
    apply(&mut directory, &id, Some(entry("i-1", ServerState::Ready)));
    assert_eq!(state_of(&directory, "i-1"), Some(ServerState::Leaving));
    apply(&mut directory, &id, None);
    assert_eq!(state_of(&directory, "i-1"), None);
    let listing = DirectoryUpdate::Whole(vec![entry("i-1", ServerState::Ready)]);
    directory.update_to(listing, KNOWN_UP_TO);
    assert_eq!(
        state_of(&directory, "i-1"),
        None,
        "the entry is older than the removal"
    );
    let later = ServerEntry {
        position: KNOWN_UP_TO.position(),
        ..entry("i-1", ServerState::Ready)
    };
    let known_up_to = Cursor {
        offset: KNOWN_UP_TO.offset + 1,
        ..KNOWN_UP_TO
    };
    directory.update_to(DirectoryUpdate::Whole(vec![later]), known_up_to);
    assert_eq!(state_of(&directory, "i-1"), Some(ServerState::Leaving));
}

#[test]
fn a_server_that_says_that_it_leaves_while_it_is_not_registered_stays_leaving() {
    let mut directory = Directory::default();
    assert!(!directory.on_leaving(&BackendName::new("i-1")));
    let listing = DirectoryUpdate::Whole(vec![entry("i-1", ServerState::Ready)]);
    directory.update_to(listing, KNOWN_UP_TO);
    assert_eq!(state_of(&directory, "i-1"), Some(ServerState::Leaving));
}

#[test]
fn a_registered_server_that_leaves_is_remembered_however_many_leave_after_it() {
    let mut directory = Directory::default();
    let id = BackendName::new("i-1");
    apply(&mut directory, &id, Some(entry("i-1", ServerState::Ready)));
    assert!(directory.on_leaving(&id));
    for number in 0..5_000 {
        directory.on_leaving(&BackendName::new(format!("i-gone-{number}")));
    }
    let later = ServerEntry {
        position: KNOWN_UP_TO.position(),
        ..entry("i-1", ServerState::Ready)
    };
    apply(&mut directory, &id, Some(later));
    assert_eq!(state_of(&directory, "i-1"), Some(ServerState::Leaving));
}

#[test]
fn an_update_since_an_earlier_revision_has_only_the_changes() {
    let mut directory = Directory::default();
    for id in ["i-1", "i-2", "i-3"] {
        apply(
            &mut directory,
            &BackendName::new(id),
            Some(entry(id, ServerState::Ready)),
        );
    }
    let mut other = Directory::default();
    let whole = directory
        .update_for(SyncPoint::Cursor(Cursor::default()), Scope::ALL)
        .expect("a complete directory");
    assert!(matches!(&whole, DirectoryUpdate::Whole(all) if all.len() == 3));
    other.update_to(whole, directory.cursor());
    let known = directory.revision();
    apply(&mut directory, &BackendName::new("i-2"), None);
    directory.on_leaving(&BackendName::new("i-3"));
    let update = directory
        .update_for(SyncPoint::Revision(known), Scope::ALL)
        .expect("a complete directory");
    assert!(matches!(&update, DirectoryUpdate::Changes(changes) if changes.len() == 2));
    other.update_to(update, directory.cursor());
    assert_eq!(state_of(&other, "i-2"), None);
    assert_eq!(state_of(&other, "i-3"), Some(ServerState::Leaving));
    let same = directory
        .update_for(SyncPoint::Revision(directory.revision()), Scope::ALL)
        .expect("a complete directory");
    assert_eq!(same, DirectoryUpdate::Changes(Vec::new()));
}

/// A server that writes the same entry again causes no update of other instances.
#[test]
fn a_record_without_new_content_changes_nothing() {
    let mut directory = Directory::default();
    let id = BackendName::new("i-1");
    assert!(apply(
        &mut directory,
        &id,
        Some(entry("i-1", ServerState::Ready))
    ));
    let revision = directory.revision();
    assert!(!apply(
        &mut directory,
        &id,
        Some(entry("i-1", ServerState::Ready))
    ));
    assert_eq!(directory.revision(), revision);
}

#[test]
fn a_deadline_shorter_than_usual_has_a_shortfall() {
    let mut deadlines = RouteDeadlines::default();
    assert_eq!(deadlines.shortfall_ms(0, "r", 6_000), 0);
    assert_eq!(deadlines.shortfall_ms(100, "r", 4_200), 1_800);
    assert_eq!(deadlines.shortfall_ms(100, "other", 4_200), 0);
    assert_eq!(
        deadlines.shortfall_ms(11_000, "r", 4_200),
        1_800,
        "the previous window counts"
    );
    assert_eq!(
        deadlines.shortfall_ms(40_000, "r", 4_200),
        0,
        "the usual deadline is shorter now"
    );
}
