//! An availability zone with many servers of each service is cut off.
//!
//! Load: a cell with 15 servers of a service in each of 5 zones, of which a tenth is busy.

mod stages_world;

use savoryvane_core::{ids::ZoneName, stages::StageOutcome};
use stages_world::{World, batching, server, service, stage};

const ZONES: u64 = 5;
const SERVERS_PER_ZONE: u64 = 15;
const CUT_ZONE: &str = "z4";
const REQUESTS_PER_S: u64 = 30;
const GOAL_MS: u64 = 1_900;

fn world() -> World {
    let services = ["archive", "calendar", "invoices"];
    let mut servers = Vec::new();
    for name in services {
        for number in 0..ZONES * SERVERS_PER_ZONE {
            let zone = format!("z{}", number % ZONES);
            servers.push(server(&format!("{name}-{number}"), name, &zone));
        }
    }
    let services = services.map(|name| service(name, batching(14, 12.0, 32_000_000)));
    let mut world = World::new(services.into(), servers);
    world.run_until_uncontended();
    world
}

/// Submits requests of three stages until `until_ms`; returns the number of the last one.
fn submit_until(world: &mut World, from: u64, until_ms: u64, requests_per_s: u64) -> u64 {
    let mut number = from;
    while world.now_ms < until_ms {
        number += 1;
        let stages = vec![
            stage("archive", &[], 1, 8_000),
            stage("calendar", &[0], 2, 60_000),
            stage("invoices", &[1], 2, 6_000),
        ];
        world.submit(World::submission(number, stages, GOAL_MS));
        world.run(world.now_ms + 1_000 / requests_per_s);
    }
    number
}

/// Returns how many of the requests `from` to `to` ended with results within their goal.
fn in_time(world: &World, from: u64, to: u64, submitted_ms: impl Fn(u64) -> u64) -> u64 {
    let count = (from..=to).filter(|number| {
        let key = World::key(*number);
        world.outcomes.iter().any(|(at_ms, other, outcome)| {
            *other == key
                && matches!(outcome, StageOutcome::Ready(_))
                && *at_ms <= submitted_ms(*number) + GOAL_MS
        })
    });
    count.count() as u64
}

/// Cuts off `zones` under `requests_per_s`, and checks requests from two seconds later on.
fn check_cut(zones: &[&str], requests_per_s: u64) {
    let mut world = world();
    let start_ms = world.now_ms;
    let before = submit_until(&mut world, 0, start_ms + 2_000, requests_per_s);
    let cut = world.servers.iter();
    let cut = cut.filter(|entry| zones.contains(&entry.zone.as_str()));
    let cut: Vec<_> = cut.map(|entry| entry.id.clone()).collect();
    world.cut_off.extend(cut.iter().cloned());
    let cut_ms = world.now_ms;
    let during = submit_until(&mut world, before, cut_ms + 2_000, requests_per_s);
    let calls_before = world.calls.len();
    let later_ms = world.now_ms;
    let last = submit_until(&mut world, during, later_ms + 4_000, requests_per_s);
    world.run(world.now_ms + 4_000);
    let step_ms = 1_000 / requests_per_s;
    let submitted_ms = |number: u64| later_ms + (number - during - 1) * step_ms;
    let served = in_time(&world, during + 1, last, submitted_ms);
    let sent = last - during;
    assert!(served * 100 >= sent * 90, "{served} of {sent} in time");
    let calls = &world.calls[calls_before..];
    let to_cut = calls.iter().filter(|(_, call)| cut.contains(&call.server));
    let (to_cut, all) = (to_cut.count(), calls.len());
    assert!(
        to_cut * 5 <= all,
        "{to_cut} of {all} calls to servers that are cut off"
    );
}

#[test]
fn a_zone_that_is_cut_off_delays_requests_for_two_seconds_only() {
    check_cut(&["z4"], REQUESTS_PER_S);
}

/// As a scheduler in a zone that is cut off sees it.
#[test]
fn all_other_zones_cut_off_delay_requests_for_two_seconds_only() {
    check_cut(&["z0", "z1", "z2", "z3"], REQUESTS_PER_S / ZONES);
}

/// Two servers that crash in a zone whose others respond say nothing about the zone.
#[test]
fn a_zone_in_which_servers_crash_stays_in_use() {
    let mut world = world();
    let start_ms = world.now_ms;
    let before = submit_until(&mut world, 0, start_ms + 1_000, REQUESTS_PER_S);
    let crashed = world.servers.iter();
    let crashed = crashed.filter(|entry| entry.zone == ZoneName::new(CUT_ZONE));
    let crashed: Vec<_> = crashed.map(|entry| entry.id.clone()).take(4).collect();
    world.unreachable.extend(crashed);
    let now_ms = world.now_ms;
    submit_until(&mut world, before, now_ms + 1_000, REQUESTS_PER_S);
    assert!(world.scheduler.avoided_zones(world.now_ms).is_empty());
}

#[test]
fn a_zone_that_is_back_is_used_again() {
    let mut world = world();
    let cut = world.servers.iter();
    let cut = cut.filter(|entry| entry.zone == ZoneName::new(CUT_ZONE));
    let cut: Vec<_> = cut.map(|entry| entry.id.clone()).collect();
    world.cut_off.extend(cut.iter().cloned());
    let mut number = 0;
    while world.scheduler.avoided_zones(world.now_ms).is_empty() {
        let until_ms = world.now_ms + 100;
        number = submit_until(&mut world, number, until_ms, REQUESTS_PER_S);
        assert!(number < 10 * REQUESTS_PER_S, "the zone is never avoided");
    }
    world.cut_off.clear();
    let now_ms = world.now_ms;
    submit_until(&mut world, number, now_ms + 6_000, REQUESTS_PER_S);
    assert!(world.scheduler.avoided_zones(world.now_ms).is_empty());
    let calls = world.calls.iter().rev().take(100);
    let to_zone = calls.filter(|(_, call)| cut.contains(&call.server)).count();
    assert!(to_zone > 0, "the zone gets calls again");
}
