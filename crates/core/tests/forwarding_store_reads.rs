//! Selection of the instances that read the store, and their retries after failures.

use savoryvane_core::{
    forwarding::{
        ListingBudget, PropagationBounds, RoutingConfig, StoreRetry, StoreRole, WorkspaceKeys,
        is_relayed_to_peers, reserves,
    },
    ids::{InstanceName, WorkspaceName, ZoneName},
};

const IN_FORCE: PropagationBounds = PropagationBounds {
    configuration_ms: 4_000,
    leaving_ms: 2_000,
};

fn fleet(instances: usize, zones: usize) -> Vec<(InstanceName, ZoneName)> {
    let fleet = (0..instances).map(|n| {
        let zone = ZoneName::new(format!("z{}", n % zones));
        (InstanceName::new(format!("entry-{n}")), zone)
    });
    fleet.collect()
}

fn reserves_of(fleet: &[(InstanceName, ZoneName)]) -> Vec<InstanceName> {
    reserves(fleet.iter().map(|(instance, zone)| (instance, zone)))
}

#[test]
fn each_zone_has_two_reserves_whatever_its_size() {
    assert_eq!(reserves_of(&fleet(295, 5)).len(), 10);
    assert_eq!(reserves_of(&fleet(9, 3)).len(), 6);
    assert_eq!(reserves_of(&fleet(3, 3)).len(), 3);
    let mut reversed = fleet(295, 5);
    reversed.reverse();
    let (mut one, mut other) = (reserves_of(&fleet(295, 5)), reserves_of(&reversed));
    one.sort();
    other.sort();
    assert_eq!(one, other, "the order of the list does not matter");
}

/// A reserve reads the store and is queried before the followers read it; followers read it
/// before the shorter bound has passed.
#[test]
fn a_reserve_reads_before_the_others() {
    let reserves = [InstanceName::new("r")];
    let scheduler = InstanceName::new("s");
    let of = |name: &str| StoreRole::of(&InstanceName::new(name), Some(&scheduler), &reserves);
    let from_ms = |name: &str, has_store| of(name).store_read_age_ms(IN_FORCE, has_store);
    for has_store in [true, false] {
        assert_eq!(from_ms("s", has_store), 0);
        assert!(from_ms("r", has_store) + 300 <= from_ms("f", has_store));
        assert!(from_ms("f", has_store) + 300 <= IN_FORCE.shortest_ms());
    }
    let substitute_ms = from_ms("r", false);
    assert_eq!(
        substitute_ms, 0,
        "a reserve reads for a scheduler that does not reach the store"
    );
}

/// A scheduler that does not reach the store queries the reserves at once for the updates that it
/// sends to the others.
#[test]
fn a_scheduler_without_the_store_does_not_wait_until_its_knowledge_is_old() {
    let from_ms = |role: StoreRole, has_store| role.reserve_query_age_ms(IN_FORCE, has_store);
    assert_eq!(from_ms(StoreRole::Scheduler, false), 0);
    for role in [
        StoreRole::Scheduler,
        StoreRole::Reserve,
        StoreRole::Follower,
    ] {
        let waits_ms = from_ms(role, true);
        assert!((1_000..IN_FORCE.shortest_ms()).contains(&waits_ms));
    }
    for role in [StoreRole::Reserve, StoreRole::Follower] {
        assert_eq!(from_ms(role, false), from_ms(role, true));
    }
}

/// The age of updates is the interval between two reads of the scheduler, 0.8 s, plus that between
/// two queries to it, 0.25 s. Without faults, nine instances made 664 calls to the store in a day
/// when reserves read from an age of 1.0 s, and 199 with the current threshold.
#[test]
fn a_reserve_does_not_read_the_store_without_faults() {
    let shortest = PropagationBounds {
        configuration_ms: 2_000,
        leaving_ms: 2_000,
    };
    assert!(StoreRole::Reserve.store_read_age_ms(shortest, true) >= 800 + 250 + 100);
}

/// Calls of a fleet during an outage of the store of 8 s, with three topics per instance. With
/// independent retries for each topic it was 33 calls per instance.
#[test]
fn an_outage_costs_few_calls_an_instance() {
    let fleet = fleet(295, 5);
    let reserves = reserves_of(&fleet);
    let mut calls = 0;
    for (index, (instance, _)) in fleet.iter().enumerate() {
        let role = StoreRole::of(instance, Some(&fleet[0].0), &reserves);
        let jitter = index as f64 / fleet.len() as f64;
        let mut retry = StoreRetry::default();
        for now_ms in (0..8_000).step_by(10) {
            for _topic in 0..3 {
                if retry.begin(now_ms, role).is_none() {
                    calls += 1;
                    retry.on_failed(now_ms, jitter);
                }
            }
        }
    }
    assert!(calls <= 4 * fleet.len(), "{calls} calls");
}

#[test]
fn one_call_at_a_time_tries_a_store_that_failed() {
    let role = StoreRole::Scheduler;
    let mut retry = StoreRetry::default();
    assert_eq!(retry.begin(0, role), None);
    retry.on_failed(0, 0.5);
    assert!(retry.begin(10, role).is_some(), "it is not retried at once");
    assert_eq!(retry.begin(200, role), None);
    assert!(
        retry.begin(200, role).is_some(),
        "another call waits for the retry"
    );
    retry.on_answered();
    assert_eq!(retry.begin(210, role), None);
}

/// Guards against an instance that is left alone after an outage and acts on old keys and servers:
/// the pause of a follower went on after it had become the scheduler.
#[test]
fn an_instance_that_becomes_the_scheduler_retries_like_one() {
    for jitter in [0.0, 0.5, 1.0] {
        let mut retry = StoreRetry::default();
        retry.on_failed(0, jitter);
        let mut failed_at_ms = 0;
        for now_ms in (0..8_000).step_by(10) {
            if retry.begin(now_ms, StoreRole::Follower).is_none() {
                failed_at_ms = now_ms;
                retry.on_failed(now_ms, jitter);
            }
        }
        assert!(failed_at_ms > 0, "it was tried again");
        let taken_over_ms = failed_at_ms + 1_000;
        let wait_ms = retry.begin(taken_over_ms, StoreRole::Scheduler);
        assert!(wait_ms.unwrap_or(0) <= 200, "{wait_ms:?} ms");
    }
}

/// The same for an instance that becomes a reserve, and the other way round.
#[test]
fn the_pause_after_a_failed_call_follows_the_role() {
    let mut retry = StoreRetry::default();
    retry.on_failed(0, 1.0);
    let as_follower_ms = retry.begin(10, StoreRole::Follower);
    assert!(as_follower_ms > Some(1_000), "{as_follower_ms:?} ms");
    let as_reserve_ms = retry.begin(10, StoreRole::Reserve);
    assert!(as_reserve_ms <= Some(150), "{as_reserve_ms:?} ms");
    assert_eq!(retry.begin(10, StoreRole::Follower), as_follower_ms);
}

/// The scheduler notices within about a second that the store has recovered.
#[test]
fn a_scheduler_notices_a_recovered_store_within_about_a_second() {
    let mut retry = StoreRetry::default();
    retry.on_failed(0, 1.0);
    let mut last_ms = 0;
    for now_ms in (0..60_000).step_by(10) {
        if retry.begin(now_ms, StoreRole::Scheduler).is_none() {
            assert!(now_ms - last_ms <= 1_200, "{last_ms} to {now_ms}");
            last_ms = now_ms;
            retry.on_failed(now_ms, 1.0);
        }
    }
}

/// A configuration with 1,550 routes was 0.3 MB, and the link of the scheduler, which sent it to
/// 294 others, was saturated for seconds.
#[test]
fn a_large_configuration_is_left_to_the_store() {
    let config = |workspaces: usize| RoutingConfig {
        workspaces: Some(
            (0..workspaces)
                .map(|n| WorkspaceKeys {
                    name: WorkspaceName::new(format!("w{n}")),
                    keys: vec![format!("key-of-some-length-{n}"), format!("b{n}")],
                    priority: None,
                })
                .collect(),
        ),
        ..RoutingConfig::default()
    };
    let relays =
        |workspaces, receivers, link| is_relayed_to_peers(&config(workspaces), receivers, link);
    assert!(relays(40, 300, 25_000_000));
    assert!(!relays(13_000, 9, 125_000_000));
    // A cell of 62 instances: a strong machine sends what a small one does not.
    assert!(relays(1_000, 62, 125_000_000));
    assert!(!relays(1_000, 62, 2_500_000));
}

/// 300 instances that start without the store query the same instance every 250 ms. It sends the
/// listing to some of them and the others retry, so that its link is not saturated.
#[test]
fn starting_instances_get_listings_one_after_the_other() {
    for (servers, in_first_s) in [(294, 41..=49), (3_002, 3..=5)] {
        let mut budget = ListingBudget::new(2_500_000);
        let mut listings = 0;
        for now_ms in (0..5_000).step_by(250) {
            if now_ms == 1_000 {
                assert!(in_first_s.contains(&listings), "{listings}");
            }
            for _instance in 0..300 {
                listings += usize::from(budget.try_take(now_ms, servers));
            }
        }
        let bytes = listings * servers * 140;
        assert!(bytes <= 6_500_000, "{bytes} bytes in 5 s");
    }
}
