//! Requests that rate-limited servers get from many instances together, and the requests that are
//! served.

use quickcheck::quickcheck;
use savoryvane_bench::limit_load::{LimitLoad, Way, allowed, play};
use savoryvane_core::{
    forwarding::{
        GrantPurpose, GrantQuery, GrantState, LimitGrants, LimitReport, NamedLimit, ServerLimits,
    },
    ids::{BackendName, InstanceName, PoolName},
};

fn server() -> BackendName {
    BackendName::new("i-1")
}

fn names(count: usize) -> Vec<InstanceName> {
    let names = (0..count).map(|number| InstanceName::new(format!("entry-{number}")));
    names.collect()
}

/// Returns a load of twice the limit per server, where a sixth of the servers are limited.
fn base_load(instances: usize, servers: usize, limit_per_s: f64) -> LimitLoad {
    LimitLoad {
        instances,
        left: 0,
        servers,
        limited: servers / 6,
        limit_per_s,
        per_server_s: 2.0 * limit_per_s,
        named_ms: 25_000,
        length_ms: 35_000,
        cut_ms: None,
        restart_ms: None,
        seed: 11,
    }
}

/// With 9, 78 and 570 instances, no limited server gets more than its limit, nearly all of the
/// limit is used, all callers are served, and sessions return to their servers soon after the
/// limit has ended.
#[test]
fn limited_servers_get_what_they_take_and_no_more() {
    for (instances, servers) in [(9, 18), (78, 60), (570, 60)] {
        for limit_per_s in [0.5, 1.0, 4.0] {
            let outcome = play(base_load(instances, servers, limit_per_s), Way::OnePlace);
            let case = format!("{instances} instances, {limit_per_s} a second: {outcome:?}");
            assert!(outcome.worst as f64 <= allowed(limit_per_s), "{case}");
            assert!(outcome.used > 0.8, "{case}");
            assert!(outcome.served > 0.999, "{case}");
            assert!(outcome.home_again > 0.9, "{case}");
        }
    }
}

/// A third of the instances is partitioned, half of them restart, or a third has left.
#[test]
fn limits_hold_beside_partitions_starts_and_losses() {
    for (instances, servers) in [(9, 18), (78, 60)] {
        for limit_per_s in [0.5, 1.0, 4.0, 20.0] {
            let load = base_load(instances, servers, limit_per_s);
            let variants = [
                LimitLoad {
                    cut_ms: Some((6_000, 20_000)),
                    ..load
                },
                LimitLoad {
                    restart_ms: Some(12_000),
                    ..load
                },
                LimitLoad {
                    left: instances / 3,
                    ..load
                },
            ];
            for load in variants {
                let outcome = play(load, Way::OnePlace);
                let case = format!("{load:?}: {outcome:?}");
                assert!(outcome.worst as f64 <= allowed(limit_per_s), "{case}");
                assert!(outcome.served > 0.999, "{case}");
            }
        }
    }
}

/// If all servers of a service have limits of half the load, half of the callers are served.
#[test]
fn where_all_servers_name_limits_callers_get_all_that_is_left() {
    for (instances, servers) in [(9, 18), (78, 60)] {
        let load = LimitLoad {
            limited: servers,
            named_ms: 35_000,
            ..base_load(instances, servers, 1.0)
        };
        let outcome = play(load, Way::OnePlace);
        let case = format!("{instances} instances: {outcome:?}");
        assert!(outcome.worst as f64 <= allowed(1.0), "{case}");
        assert!(outcome.served > 0.49, "{case}");
    }
}

#[test]
fn a_limit_ends_only_by_an_answer_to_a_later_request() {
    let mut limits = ServerLimits::default();
    limits.on_response(100, 50, &server(), NamedLimit::PerSecond(2.0));
    // Sent before the limit was announced; its response arrived afterwards.
    assert_eq!(
        limits.on_response(200, 90, &server(), NamedLimit::None),
        None
    );
    assert_eq!(limits.limit_per_s(&server()), Some(2.0));
    let ended = limits.on_response(300, 150, &server(), NamedLimit::None);
    assert_eq!(ended.unwrap().after, None);
    assert_eq!(limits.limit_per_s(&server()), None);
}

#[test]
fn a_limit_falls_at_once_and_rises_only_by_an_answer_to_a_later_request() {
    let mut limits = ServerLimits::default();
    limits.on_response(100, 50, &server(), NamedLimit::PerSecond(2.0));
    limits.on_response(110, 60, &server(), NamedLimit::PerSecond(1.0));
    limits.on_response(120, 70, &server(), NamedLimit::PerSecond(5.0));
    assert_eq!(limits.limit_per_s(&server()), Some(1.0));
    limits.on_response(300, 150, &server(), NamedLimit::PerSecond(5.0));
    assert_eq!(limits.limit_per_s(&server()), Some(5.0));
}

#[test]
fn a_limit_that_can_not_be_read_changes_nothing() {
    let mut limits = ServerLimits::default();
    limits.on_response(100, 50, &server(), NamedLimit::PerSecond(2.0));
    limits.on_response(200, 150, &server(), NamedLimit::Unreadable);
    assert_eq!(limits.limit_per_s(&server()), Some(2.0));
}

#[test]
fn a_failure_without_a_limit_does_not_end_one() {
    assert!(!NamedLimit::None.is_meaningful(false));
    assert!(NamedLimit::None.is_meaningful(true));
    assert!(NamedLimit::PerSecond(1.0).is_meaningful(false));
}

/// A restarted server is another run with another name.
#[test]
fn a_server_that_is_gone_takes_its_limit_with_it() {
    let mut limits = ServerLimits::default();
    limits.on_response(100, 50, &server(), NamedLimit::PerSecond(2.0));
    limits.retain(|_| false);
    assert_eq!((limits.count(), limits.limit_per_s(&server())), (0, None));
}

#[test]
fn what_others_tell_counts_as_far_as_it_is_newer() {
    let mut limits = ServerLimits::default();
    limits.on_response(10_000, 9_000, &server(), NamedLimit::PerSecond(2.0));
    let report = |limit_per_s, age_ms| LimitReport {
        server: server(),
        limit_per_s,
        age_ms,
    };
    assert!(
        limits
            .on_reports(10_100, vec![report(None, 500)])
            .is_empty()
    );
    assert_eq!(limits.limit_per_s(&server()), Some(2.0));
    assert_eq!(limits.on_reports(10_600, vec![report(None, 500)]).len(), 1);
    assert_eq!(limits.limit_per_s(&server()), None);
    assert!(limits.local_reports_since(10_600, 0).is_empty());
}

/// An announcement without a change is not reported again.
#[test]
fn a_limit_that_is_named_again_and_again_is_told_once() {
    let mut limits = ServerLimits::default();
    for now_ms in 1..100 {
        limits.on_response(
            now_ms * 100,
            now_ms * 100 - 50,
            &server(),
            NamedLimit::PerSecond(2.0),
        );
    }
    assert_eq!(limits.revision(), 1);
    assert_eq!(limits.reports_since(10_000, 0).len(), 1);
    assert!(limits.reports_since(10_000, 1).is_empty());
}

fn query(purpose: GrantPurpose, priority: u8) -> GrantQuery {
    GrantQuery {
        service: PoolName::new("desk"),
        purpose,
        servers: vec![(server(), 2.0)],
        priority,
    }
}

fn is_granted(state: &GrantState) -> bool {
    matches!(state, GrantState::Granted(_))
}

fn as_reported(_: &BackendName, reported_per_s: f64) -> Option<f64> {
    Some(reported_per_s)
}

/// A new scheduler does not grant again what its predecessor has just granted.
#[test]
fn an_instance_that_begins_to_schedule_gives_nothing_at_first() {
    let mut grants = LimitGrants::new(InstanceName::new("entry-0"));
    let query = query(GrantPurpose::Send, 0);
    assert!(!is_granted(&grants.grant(1_000, &query, as_reported)));
    assert!(!is_granted(&grants.grant(1_400, &query, as_reported)));
    assert!(is_granted(&grants.grant(1_500, &query, as_reported)));
}

#[test]
fn an_instance_gives_the_part_of_those_that_it_hears() {
    let mut grants = LimitGrants::new(InstanceName::new("entry-0"));
    grants.set_listed(0, &names(10));
    assert_eq!(grants.share(0), 0.1);
    for instance in &names(5) {
        grants.on_seen(1_000, instance);
    }
    assert_eq!(grants.share(1_500), 0.5);
    assert_eq!(grants.share(3_000), 0.1);
    // The others have not been seen for a minute and count as gone.
    grants.on_seen(70_000, &names(5)[1]);
    assert_eq!(grants.share(70_000), 1.0);
}

/// The share is small only until queries of the other instances arrive.
#[test]
fn a_grant_that_a_small_part_has_none_of_is_asked_for_again_soon() {
    let mut grants = LimitGrants::new(InstanceName::new("entry-0"));
    grants.set_listed(0, &names(300));
    let state = grants.grant(0, &query(GrantPurpose::Send, 0), as_reported);
    let GrantState::Closed { retry_in_ms, .. } = state else {
        panic!("a grant");
    };
    assert!(retry_in_ms <= 1_000, "{retry_in_ms}");
}

#[test]
fn a_server_whose_limit_has_ended_needs_no_grant() {
    let mut grants = LimitGrants::new(InstanceName::new("entry-0"));
    let query = query(GrantPurpose::Send, 0);
    assert!(is_granted(&grants.grant(0, &query, |_, _| None)));
}

#[test]
fn a_server_that_takes_nothing_is_tried_at_times() {
    let mut grants = LimitGrants::new(InstanceName::new("entry-0"));
    let mut query = query(GrantPurpose::Send, 0);
    query.servers = vec![(server(), 0.0)];
    let states = (0..60).map(|second| grants.grant(second * 1_000, &query, as_reported));
    let granted = states.filter(is_granted).count();
    assert!((12..=16).contains(&granted), "{granted} in a minute");
}

/// Callers retry at the rate at which servers accept requests, not all at once.
#[test]
fn refused_callers_are_told_times_one_after_the_other() {
    let mut grants = LimitGrants::new(InstanceName::new("entry-0"));
    let query = query(GrantPurpose::ReturnTime, 0);
    let times = (0..4).map(|_| match grants.grant(1_000, &query, as_reported) {
        GrantState::Closed { retry_after_ms, .. } => retry_after_ms,
        GrantState::Granted(_) => 0,
    });
    let times: Vec<u64> = times.collect();
    assert_eq!(times, [500, 1_000, 1_500, 2_000]);
    let later = (0..100)
        .map(|_| grants.grant(1_000, &query, as_reported))
        .last();
    let Some(GrantState::Closed { retry_after_ms, .. }) = later else {
        panic!("a grant");
    };
    assert_eq!(retry_after_ms, 10_000);
}

/// Sends twice as many requests as can be admitted, half of them urgent.
#[test]
fn the_most_urgent_requests_are_admitted_first() {
    let mut grants = LimitGrants::new(InstanceName::new("entry-0"));
    let mut admitted = [0, 0];
    for number in 0..400u64 {
        let priority = (number % 2) as u8;
        let state = grants.grant(
            number * 250,
            &query(GrantPurpose::Admission, priority),
            as_reported,
        );
        admitted[usize::from(priority)] += usize::from(is_granted(&state));
    }
    assert!(admitted[0] >= 190, "{admitted:?}");
}

/// Less urgent requests get the whole limit if there are no urgent ones.
#[test]
fn requests_of_one_rank_are_admitted_at_the_rate_of_the_limit() {
    let mut grants = LimitGrants::new(InstanceName::new("entry-0"));
    let query = query(GrantPurpose::Admission, 5);
    let states = (0..400u64).map(|number| grants.grant(number * 250, &query, as_reported));
    let admitted = states.filter(is_granted).count();
    assert!((195..=203).contains(&admitted), "{admitted}");
}

quickcheck! {
    /// For any sequence of queries and limits, the grants of any four seconds are within what the
    /// highest limit allows.
    fn no_four_seconds_are_given_more_than_the_limit_allows(
        steps: Vec<(u16, u8)>,
        is_partitioned: bool
    ) -> bool {
        let mut schedulers = [LimitGrants::new(names(2)[0].clone()), LimitGrants::new(names(2)[1].clone())];
        for scheduler in &mut schedulers {
            scheduler.set_listed(0, &names(2));
        }
        let mut now_ms = 0;
        let mut granted_ms = Vec::new();
        let mut highest = 0.0f64;
        for (pause_ms, limit) in steps {
            now_ms += u64::from(pause_ms % 700);
            let limit_per_s = f64::from(limit) / 16.0;
            highest = highest.max(limit_per_s).max(0.1);
            let mut request = query(GrantPurpose::Send, 0);
            request.servers = vec![(server(), limit_per_s)];
            // During a partition there are two schedulers; otherwise there is one.
            let scheduler = match is_partitioned {
                true => &mut schedulers[usize::from(limit % 2)],
                false => {
                    schedulers[0].on_seen(now_ms, &names(2)[1]);
                    &mut schedulers[0]
                }
            };
            if is_granted(&scheduler.grant(now_ms, &request, as_reported)) {
                granted_ms.push(now_ms);
            }
        }
        granted_ms.iter().all(|from_ms| {
            let within = granted_ms.iter().filter(|at| (*from_ms..from_ms + 4_000).contains(at));
            within.count() as f64 <= allowed(highest)
        })
    }
}
