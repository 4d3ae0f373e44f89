//! Selection of the scheduler: all instances agree, and soon return to the same one.

use savoryvane_core::{
    ids::InstanceName,
    stages::{Candidate, SchedulerSelector},
};

fn candidates(names: &[&str]) -> Vec<Candidate> {
    names
        .iter()
        .map(|name| Candidate {
            instance: InstanceName::new(name),
            cores: 0.25,
        })
        .collect()
}

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn selector() -> SchedulerSelector {
    let mut selector = SchedulerSelector::default();
    selector.set_candidates(candidates(&NAMES));
    selector
}

#[test]
fn selection_is_independent_of_the_list_order() {
    let mut other = SchedulerSelector::default();
    other.set_candidates(candidates(&["e", "c", "a", "d", "b"]));
    assert_eq!(selector().current(), other.current());
}

#[test]
fn instances_with_more_cores_are_listed_first() {
    let mut selector = SchedulerSelector::default();
    let mut listed = candidates(&NAMES);
    for candidate in &mut listed[..4] {
        candidate.cores = 0.12;
    }
    listed[4].cores = 0.5;
    selector.set_candidates(listed);
    assert_eq!(selector.current(), Some(&InstanceName::new("e")));
}

#[test]
fn two_missed_probes_make_a_candidate_unreachable() {
    let mut selector = selector();
    let first = selector.current().cloned().unwrap();
    selector.on_no_response(0, &first);
    assert_eq!(selector.current(), Some(&first));
    selector.on_no_response(250, &first);
    assert_ne!(selector.current(), Some(&first));
    assert!(selector.is_unreachable(&first));
}

/// An unreachable candidate is probed at least once a second, and selected again as
/// soon as it responds.
#[test]
fn one_that_was_away_is_asked_again_within_a_second() {
    let mut selector = selector();
    let first = selector.current().cloned().unwrap();
    let mut now_ms = 0;
    for _ in 0..40 {
        selector.on_unreachable(now_ms, &first);
        let probed_at_ms = (now_ms..=now_ms + 1_000)
            .step_by(50)
            .find(|at_ms| selector.probe_targets(*at_ms).contains(&first));
        now_ms = probed_at_ms.expect("it is probed within a second");
    }
    selector.on_response(&first);
    assert_eq!(selector.current(), Some(&first));
}

/// Guards against probing the first candidate at doubling intervals after all instances
/// have restarted, during which others scheduled.
#[test]
fn while_all_start_the_first_is_asked_at_each_look() {
    let mut selector = selector();
    let first = selector.current().cloned().unwrap();
    for round in 0..8 {
        let now_ms = round * 250;
        assert!(
            selector.probe_targets(now_ms).contains(&first),
            "round {round}"
        );
        selector.on_unreachable(now_ms, &first);
    }
}

#[test]
fn a_declining_candidate_is_skipped_but_still_probed() {
    let mut selector = selector();
    let first = selector.current().cloned().unwrap();
    selector.on_declined(0, &first);
    assert_ne!(selector.current(), Some(&first));
    assert!(
        !selector.is_unreachable(&first),
        "it finishes the requests it has admitted"
    );
    assert!(selector.probe_targets(1_000).contains(&first));
}

#[test]
fn candidate_state_survives_a_new_list() {
    let mut selector = selector();
    let first = selector.current().cloned().unwrap();
    selector.on_unreachable(0, &first);
    selector.set_candidates(candidates(&["a", "b", "c", "d", "e", "f"]));
    assert!(selector.is_unreachable(&first));
}

/// All instances know the successor of the scheduler. When that one leaves, the
/// requests that it hands over go where the others send theirs.
#[test]
fn the_next_one_is_asked_before_it_is_needed() {
    let mut selector = selector();
    let names = selector.probe_targets(0);
    for name in &names {
        selector.on_response(name);
    }
    let first = selector.current().cloned().unwrap();
    // The second candidate is unreachable once, while the first one responds.
    let second = names[1].clone();
    selector.on_unreachable(100, &second);
    for now_ms in (250..3_000).step_by(250) {
        selector.on_probe_round(now_ms);
        for name in selector.probe_targets(now_ms) {
            selector.on_response(&name);
        }
    }
    selector.on_declined(3_000, &first);
    assert_eq!(selector.settled(3_000), Some(&second));
}

#[test]
fn the_successor_is_not_probed_in_every_round() {
    let mut selector = selector();
    let mut probes = 0;
    for now_ms in (0..10_000).step_by(250) {
        selector.on_probe_round(now_ms);
        for name in selector.probe_targets(now_ms) {
            selector.on_response(&name);
            probes += 1;
        }
    }
    assert!((45..=55).contains(&probes), "{probes} probes in 40 rounds");
}
