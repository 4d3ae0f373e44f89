//! Servers that fail when they have to reject too many requests in a second.

use std::collections::VecDeque;

use quickcheck::quickcheck;
use savoryvane_core::{
    forwarding::{BrittleServers, Brittleness},
    ids::BackendName,
};

fn server() -> BackendName {
    BackendName::new("i-1")
}

fn brittle(instances: usize, rejections_per_s: f64) -> BrittleServers {
    let mut servers = BrittleServers::default();
    servers.set_instances(instances);
    servers.on_response(
        0,
        &server(),
        Brittleness::RejectionsPerS(rejections_per_s),
        true,
    );
    servers
}

#[test]
fn accepted_requests_are_not_held_up() {
    let mut servers = brittle(4, 16.0);
    for now_ms in 0..1_000 {
        assert!(servers.allows(now_ms, &server()));
        servers.on_sent(&server());
        servers.on_settled(&server());
    }
}

#[test]
fn requests_in_doubt_are_bounded_by_what_may_be_rejected() {
    let mut servers = brittle(4, 16.0);
    let mut sent = 0;
    while servers.allows(0, &server()) {
        servers.on_sent(&server());
        sent += 1;
    }
    assert_eq!(sent, 2);
    servers.on_settled(&server());
    assert!(servers.allows(0, &server()));
}

#[test]
fn only_a_success_ends_what_a_server_said() {
    let mut servers = brittle(1, 4.0);
    servers.on_response(1, &server(), Brittleness::None, false);
    servers.on_response(1, &server(), Brittleness::Unreadable, true);
    assert_eq!(servers.count(), 1);
    servers.on_response(1, &server(), Brittleness::None, true);
    assert_eq!(servers.count(), 0);
}

#[test]
fn a_server_that_is_not_brittle_is_not_bounded() {
    let servers = BrittleServers::default();
    assert!(servers.allows(0, &server()));
}

quickcheck! {
    /// However room comes and goes, no second has more rejections than the server withstands,
    /// as long as that is twice the number of instances at least.
    fn no_second_has_more_rejections_than_a_server_withstands(
        steps: Vec<(u8, u8, bool)>, instances: u8, slack: u8
    ) -> bool {
        let count = usize::from(instances % 8) + 1;
        let bound = 2 * count + usize::from(slack % 40);
        let mut instances = vec![brittle(count, bound as f64); count];
        let mut rejections: VecDeque<u64> = VecDeque::new();
        let mut now_ms = 0;
        for (gap_ms, number, is_rejected) in steps.iter().cycle().take(steps.len() * 20) {
            now_ms += u64::from(gap_ms % 16);
            let instance = &mut instances[usize::from(*number) % count];
            if !instance.allows(now_ms, &server()) {
                continue;
            }
            instance.on_sent(&server());
            if !is_rejected {
                instance.on_settled(&server());
                continue;
            }
            instance.on_rejected(now_ms, &server());
            rejections.push_back(now_ms);
            while rejections.front().is_some_and(|at_ms| at_ms + 1_000 <= now_ms) {
                rejections.pop_front();
            }
            if rejections.len() > bound {
                return false;
            }
        }
        true
    }
}
