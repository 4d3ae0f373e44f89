//! Tests calls on dead connections and pools without a healthy backend server.

mod common;

use std::collections::HashSet;

use common::{Driver, done, fleet, spec, stage};
use savoryvane_core::{
    call::{LoadReport, ServingState},
    execution::{Event, Execution},
    fleet::Fleet,
    ids::BackendName,
    outcome::Outcome,
    settings::PolicySettings,
};

fn without_retries() -> PolicySettings {
    PolicySettings {
        retry_percent: 0,
        retry_burst: 0,
        ..PolicySettings::default()
    }
}

fn server_names(fleet: &Fleet) -> HashSet<BackendName> {
    fleet.statuses(0).map(|status| status.name).collect()
}

fn outcome(driver: &Driver) -> Option<Outcome> {
    driver.completion().map(|completion| completion.outcome)
}

#[test]
fn a_severed_call_is_retried_at_once_without_charging_the_budget() {
    let mut driver = Driver::with(spec(vec![stage("search", true)]), without_retries());
    let (first, call) = driver.start();
    let attempt = call.id.attempt;

    driver.on(5, Event::Severed { attempt });

    let (second, repeat) = driver.last_send();
    assert_ne!(first, second);
    driver.on(9, done(&repeat.id, "found", 0));
    assert_eq!(outcome(&driver), Some(Outcome::Complete));
}

#[test]
fn a_severed_non_idempotent_call_is_waited_for() {
    let mut driver = Driver::new(vec![stage("pay", false)]);
    let (_, call) = driver.start();
    let attempt = call.id.attempt;

    driver.on(5, Event::Severed { attempt });

    assert_eq!(driver.sends().len(), 1);
    assert_eq!(outcome(&driver), None);
    driver.on(9, done(&call.id, "paid", 0));
    assert_eq!(outcome(&driver), Some(Outcome::Complete));
}

#[test]
fn listed_leaving_servers_get_no_calls_whatever_they_report() {
    let mut fleet = fleet(PolicySettings::default());
    let all = server_names(&fleet);
    fleet.on_listed_leaving(&all);
    for server in &all {
        let report = LoadReport {
            server: server.clone(),
            state: ServingState::Serving,
            running: 0,
            queued: 0,
            slots: 4,
            age_ms: 0,
            models: Vec::new(),
        };
        fleet.on_load_report(1, &report);
    }
    assert!(all.iter().all(|name| !fleet.takes_new_work(2, name)));

    fleet.on_listed_leaving(&HashSet::new());

    assert!(all.iter().all(|name| fleet.takes_new_work(3, name)));
}

#[test]
fn the_last_server_of_a_pool_gets_calls_although_it_failed() {
    let settings = PolicySettings {
        max_attempts: 1,
        ..PolicySettings::default()
    };
    let mut driver = Driver::with(spec(vec![stage("search", true)]), settings);
    let others: HashSet<BackendName> = ["search-1".into(), "search-2".into()].into();
    driver.fleet.on_listed_leaving(&others);
    for now_ms in [1, 2, 3] {
        driver.execution = Execution::new(spec(vec![stage("search", true)]), now_ms);
        driver.on(now_ms, Event::Start);
        let attempt = driver.last_send().1.id.attempt;
        driver.on(now_ms, Event::Lost { attempt });
    }
    let last = BackendName::new("search-0");
    assert!(!driver.fleet.takes_new_work(4, &last), "it was ejected");

    driver.execution = Execution::new(spec(vec![stage("search", true)]), 4);
    driver.actions.clear();
    driver.on(4, Event::Start);
    let (chosen, call) = driver.last_send();

    assert_eq!(chosen, last);
    driver.on(9, done(&call.id, "found", 0));
    assert_eq!(outcome(&driver), Some(Outcome::Complete));
}

#[test]
fn timestamps_out_of_order_do_not_break_execution() {
    let mut driver = Driver::with(spec(vec![stage("search", true)]), without_retries());
    for now_ms in [5, 3, 4, 2] {
        driver.execution = Execution::new(spec(vec![stage("search", true)]), now_ms);
        driver.actions.clear();
        driver.on(now_ms, Event::Start);
        let attempt = driver.last_send().1.id.attempt;
        driver.on(now_ms, Event::Lost { attempt });
        assert_eq!(outcome(&driver), Some(Outcome::Failed));
    }
}
