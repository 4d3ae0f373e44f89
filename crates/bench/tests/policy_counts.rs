//! Regression check on counts that repeat exactly: one seeded run of each of a
//! few scenarios, and the bounds of the whole bench for those.

use savoryvane_bench::{
    deployment::Deployment, figures::Figures, policy::Policy, report::report, scenario::Scenario,
    world::run,
};

const SEED: u64 = 1;

/// Counts of a run that are compared as they are.
#[derive(Debug, PartialEq, Eq)]
struct Counts {
    requests: u64,
    attained: u64,
    refused: u64,
    calls: u64,
}

fn counts(figures: &Figures) -> Counts {
    Counts {
        requests: figures.by_workspace.iter().map(|share| share.all).sum(),
        attained: figures.by_workspace.iter().map(|share| share.hits).sum(),
        refused: figures.refused.hits,
        calls: figures.calls,
    }
}

#[test]
fn a_seeded_run_repeats_exactly() {
    let deployment = Deployment::taalghar();
    let scenario = Scenario::FailingServer;
    let first = run(&deployment, scenario, Policy::Current, SEED);
    let second = run(&deployment, scenario, Policy::Current, SEED);
    assert_eq!(counts(&first), counts(&second));
    assert_eq!(first.costs, second.costs);
}

fn assert_bounds(deployment: &Deployment, scenarios: &[Scenario]) {
    for line in report(deployment, scenarios, Policy::Current, SEED) {
        assert!(line.passes(), "{line}");
    }
}

#[test]
fn the_bounds_of_a_flood_and_a_slow_server_hold_for_uithangbord() {
    let deployment = Deployment::uithangbord();
    assert_bounds(&deployment, &[Scenario::Flood, Scenario::SlowServer]);
}

#[test]
fn the_bounds_of_a_burst_hold_for_taalghar() {
    assert_bounds(&Deployment::taalghar(), &[Scenario::Burst]);
}

#[test]
fn the_baseline_breaks_the_bounds() {
    let deployment = Deployment::taalghar();
    let lines = report(&deployment, &[Scenario::Flood], Policy::Baseline, SEED);
    assert!(lines.iter().any(|line| !line.passes()));
}
