//! Paths of an instance to backend servers, and the instances that it connects through.

use std::{collections::BTreeMap, net::SocketAddr};

use quickcheck::quickcheck;
use savoryvane_core::{
    forwarding::{ConnectPlan, PathChange, RelayCandidate, Relays, ServerPaths},
    ids::{InstanceName, ZoneName},
};

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn is_direct_first(paths: &ServerPaths, now_ms: u64, server: u16) -> bool {
    matches!(
        paths.plan(now_ms, addr(server)),
        ConnectPlan::DirectFirst { .. }
    )
}

#[test]
fn a_server_that_only_others_reach_is_connected_to_through_them() {
    let mut paths = ServerPaths::default();
    assert!(is_direct_first(&paths, 0, 1));
    let change = paths.on_relayed(0, addr(1));
    assert_eq!(change.servers, [addr(1)]);
    assert!(!change.is_newly_cut_off);
    assert!(matches!(
        paths.plan(10, addr(1)),
        ConnectPlan::RelayedFirst { .. }
    ));
    assert!(is_direct_first(&paths, 10, 2));
    assert_eq!(paths.on_relayed(20, addr(1)), PathChange::default());
}

#[test]
fn an_instance_that_reaches_no_server_loses_no_time_on_its_own_connections() {
    let mut paths = ServerPaths::default();
    paths.on_relayed(0, addr(1));
    assert!(paths.on_relayed(0, addr(2)).is_newly_cut_off);
    let plan = ConnectPlan::DirectFirst { join_after_ms: 0 };
    assert_eq!(paths.plan(0, addr(3)), plan);
    paths.on_direct(addr(4));
    assert!(!paths.is_cut_off());
}

#[test]
fn one_direct_connection_to_a_relayed_server_brings_all_back() {
    let mut paths = ServerPaths::default();
    for server in 1..=3 {
        paths.on_relayed(0, addr(server));
    }
    assert_eq!(paths.next_retry(100, 7), Some(addr(2)));
    assert_eq!(paths.on_direct(addr(2)).servers.len(), 3);
    assert!((1..=3).all(|server| is_direct_first(&paths, 200, server)));
    assert_eq!(paths.next_retry(200, 0), None);
}

#[test]
fn a_server_that_is_down_is_not_asked_for_through_others_each_time() {
    let mut paths = ServerPaths::default();
    paths.on_failed(0, addr(1));
    assert_eq!(paths.plan(500, addr(1)), ConnectPlan::DirectOnly);
    assert!(is_direct_first(&paths, 2_000, 1));
    assert!(is_direct_first(&paths, 500, 2));
}

#[test]
fn a_server_that_is_probed_all_the_time_is_tried_through_others_again() {
    let mut paths = ServerPaths::default();
    for now_ms in (0..1_000).step_by(250) {
        paths.on_failed(now_ms, addr(1));
    }
    assert!(is_direct_first(&paths, 1_000, 1));
}

#[test]
fn a_path_through_others_that_is_not_used_is_forgotten() {
    let mut paths = ServerPaths::default();
    paths.on_relayed(0, addr(1));
    assert!(is_direct_first(&paths, 60_000, 1));
    assert_eq!(paths.next_retry(60_000, 0), None);
    assert_eq!(paths.relayed_count(), 0);
}

fn candidates(zones: &[u8]) -> Vec<RelayCandidate> {
    let named = zones.iter().enumerate();
    let candidate = |(number, zone): (usize, &u8)| RelayCandidate {
        instance: InstanceName::new(format!("entry-{number}")),
        zone: zone_name(*zone),
    };
    named.map(candidate).collect()
}

fn zone_name(number: u8) -> ZoneName {
    ZoneName::new(format!("zone-{}", number % 5))
}

fn order(relays: &Relays, zones: &[u8], server_zone: u8) -> Vec<InstanceName> {
    let me = InstanceName::new("entry-0");
    let own_zone = zone_name(zones.first().copied().unwrap_or(0));
    let server_zone = zone_name(server_zone);
    relays.order(0, &me, &own_zone, Some(&server_zone), candidates(zones))
}

quickcheck! {
    fn an_instance_never_connects_through_itself_or_one_that_has_just_failed(
        zones: Vec<u8>, server_zone: u8, failed: u8
    ) -> bool {
        let mut relays = Relays::default();
        let failed = InstanceName::new(format!("entry-{failed}"));
        relays.on_failed(0, &failed);
        let order = order(&relays, &zones, server_zone);
        !order.contains(&InstanceName::new("entry-0")) && !order.contains(&failed)
    }

    fn the_instances_tried_are_spread_over_availability_zones(
        zones: Vec<u8>, server_zone: u8
    ) -> bool {
        let order = order(&Relays::default(), &zones, server_zone);
        let by_name: BTreeMap<InstanceName, ZoneName> = candidates(&zones)
            .into_iter()
            .map(|candidate| (candidate.instance, candidate.zone))
            .collect();
        let mut others: Vec<&ZoneName> = by_name
            .iter()
            .filter(|(name, _)| name.as_str() != "entry-0")
            .map(|(_, zone)| zone)
            .collect();
        others.sort();
        others.dedup();
        let first: Vec<&ZoneName> = order.iter().take(others.len()).map(|name| &by_name[name]).collect();
        let mut distinct = first.clone();
        distinct.sort();
        distinct.dedup();
        // Each zone has its turn before one is tried for the second time.
        order.len() <= 4 && distinct.len() == first.len()
    }

    fn an_instance_in_the_zone_of_the_server_comes_first(zones: Vec<u8>, server_zone: u8) -> bool {
        let order = order(&Relays::default(), &zones, server_zone);
        let in_zone = |name: &InstanceName| {
            let all = candidates(&zones);
            all.iter().any(|c| c.instance == *name && c.zone == zone_name(server_zone))
        };
        let has_one = zones.iter().skip(1).any(|zone| zone_name(*zone) == zone_name(server_zone));
        !has_one || order.first().is_some_and(in_zone)
    }
}

#[test]
fn instances_that_are_cut_off_use_different_others() {
    let zones = [1_u8; 40];
    let mut used = BTreeMap::new();
    for me in 0..20 {
        let me = InstanceName::new(format!("entry-{me}"));
        let zone = zone_name(1);
        let others = candidates(&zones).split_off(20);
        let order = Relays::default().order(0, &me, &zone, Some(&zone), others);
        *used.entry(order[0].clone()).or_insert(0) += 1;
    }
    assert!(used.values().all(|count| *count <= 5), "{used:?}");
}

#[test]
fn an_instance_that_fails_to_connect_others_is_tried_again_later() {
    let mut relays = Relays::default();
    let peer = InstanceName::new("entry-1");
    relays.on_failed(0, &peer);
    assert!(order(&relays, &[0, 0], 0).is_empty());
    relays.on_connected(&peer);
    assert_eq!(order(&relays, &[0, 0], 0), [peer]);
}
