//! Which instance schedules: all agree, and return to the same one soon.

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

fn choice() -> SchedulerSelector {
    let mut choice = SchedulerSelector::default();
    choice.set_candidates(candidates(&NAMES));
    choice
}

#[test]
fn all_choose_the_same_whatever_order_they_learnt_the_names_in() {
    let mut other = SchedulerSelector::default();
    other.set_candidates(candidates(&["e", "c", "a", "d", "b"]));
    assert_eq!(choice().current(), other.current());
}

#[test]
fn strong_instances_go_first() {
    let mut choice = SchedulerSelector::default();
    let mut listed = candidates(&NAMES);
    for candidate in &mut listed[..4] {
        candidate.cores = 0.12;
    }
    listed[4].cores = 0.5;
    choice.set_candidates(listed);
    assert_eq!(choice.current(), Some(&InstanceName::new("e")));
}

#[test]
fn one_that_misses_a_question_is_kept_and_one_that_misses_two_is_not() {
    let mut choice = choice();
    let first = choice.current().cloned().unwrap();
    choice.on_no_response(0, &first);
    assert_eq!(choice.current(), Some(&first));
    choice.on_no_response(250, &first);
    assert_ne!(choice.current(), Some(&first));
    assert!(choice.is_unreachable(&first));
}

/// An instance that was not reached for a while is asked again at least once a
/// second, and is the one again as soon as it answers.
#[test]
fn one_that_was_away_is_asked_again_within_a_second() {
    let mut choice = choice();
    let first = choice.current().cloned().unwrap();
    let mut now_ms = 0;
    for _ in 0..40 {
        choice.on_unreachable(now_ms, &first);
        let asked_at = (now_ms..=now_ms + 1_000)
            .step_by(50)
            .find(|at_ms| choice.probe_targets(*at_ms).contains(&first));
        now_ms = asked_at.expect("it is asked again within a second");
    }
    choice.on_response(&first);
    assert_eq!(choice.current(), Some(&first));
}

/// After all were started again, the first one was asked after pauses that
/// doubled, and others scheduled meanwhile.
#[test]
fn while_all_start_the_first_is_asked_at_each_look() {
    let mut choice = choice();
    let first = choice.current().cloned().unwrap();
    for look in 0..8 {
        let now_ms = look * 250;
        assert!(choice.probe_targets(now_ms).contains(&first), "look {look}");
        choice.on_unreachable(now_ms, &first);
    }
}

#[test]
fn one_that_declines_is_passed_over_until_it_answers() {
    let mut choice = choice();
    let first = choice.current().cloned().unwrap();
    choice.on_declined(0, &first);
    assert_ne!(choice.current(), Some(&first));
    assert!(
        !choice.is_unreachable(&first),
        "what it has begun it finishes"
    );
    assert!(choice.probe_targets(1_000).contains(&first));
}

#[test]
fn what_is_known_of_an_instance_outlasts_a_new_list() {
    let mut choice = choice();
    let first = choice.current().cloned().unwrap();
    choice.on_unreachable(0, &first);
    choice.set_candidates(candidates(&["a", "b", "c", "d", "e", "f"]));
    assert!(choice.is_unreachable(&first));
}

/// The instance that schedules knows its successor, and so do all others: when it leaves,
/// what it hands over goes to the one that the others go to.
#[test]
fn the_next_one_is_asked_before_it_is_needed() {
    let mut choice = choice();
    let names = choice.probe_targets(0);
    for name in &names {
        choice.on_response(name);
    }
    let first = choice.current().cloned().unwrap();
    // The second one was away once, while the first one was there.
    let second = names[1].clone();
    choice.on_unreachable(100, &second);
    for now_ms in (250..3_000).step_by(250) {
        choice.on_probe_round(now_ms);
        for name in choice.probe_targets(now_ms) {
            choice.on_response(&name);
        }
    }
    choice.on_declined(3_000, &first);
    assert_eq!(choice.settled(3_000), Some(&second));
}

#[test]
fn the_next_one_is_not_asked_at_each_look() {
    let mut choice = choice();
    let mut asked = 0;
    for now_ms in (0..10_000).step_by(250) {
        choice.on_probe_round(now_ms);
        for name in choice.probe_targets(now_ms) {
            choice.on_response(&name);
            asked += 1;
        }
    }
    assert!((45..=55).contains(&asked), "{asked} questions in 40 looks");
}
