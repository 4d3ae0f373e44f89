//! Following the configuration stream under failures of the log, peers and links.

mod config_fixtures;

use config_fixtures::{
    put_pool,
    world::{Faults, Node, World},
};
use quickcheck::{Gen, QuickCheck};
use savoryvane_core::{
    config::{Action, ConfigRecord, Event, Follower, FollowerSettings, Snapshot, Source, State},
    ids::Offset,
};

const HOUR_MS: u64 = 3_600_000;
const PROPAGATION_LIMIT_MS: u64 = 4_000;

/// Starts `nodes` followers and lets them reach the head of a log with `changes`
/// changes.
fn world(nodes: usize, changes: u64, seed: u64) -> World {
    let mut world = World::new(nodes, HOUR_MS, seed);
    for _ in 0..changes {
        append_change(&mut world);
    }
    world.run_for(3_000);
    for node in 0..nodes {
        assert_eq!(world.next_of(node), changes);
    }
    world
}

/// Appends a change and returns the offset that follows it.
fn append_change(world: &mut World) -> u64 {
    let base = world.log.records.len() as u64;
    world.append(put_pool(base, &format!("pool-{}", base % 7), base));
    base + 1
}

/// Applies all records ever appended, including those that the log has trimmed.
fn replay_all(world: &World) -> State {
    replay_to(world, Offset(world.log.records.len() as u64))
}

fn replay_to(world: &World, next: Offset) -> State {
    let mut state = State::new();
    for (_, record) in &world.log.records[..next.0 as usize] {
        state.apply(state.next(), record);
    }
    state
}

fn every_node(_: &Node) -> bool {
    true
}

#[test]
fn in_force_on_9_and_95_instances_within_4_s() {
    for nodes in [9, 95] {
        let mut world = world(nodes, 3, 1);
        let next = append_change(&mut world);
        let took_ms = world.run_until_in_force(next, PROPAGATION_LIMIT_MS, every_node);
        println!("{nodes} instances, nothing failing: {took_ms:?} ms");
        assert!(took_ms.is_some());
    }
}

#[test]
fn in_force_within_4_s_while_both_tailers_are_frozen() {
    for nodes in [9, 95] {
        let mut slowest_ms = 0;
        for seed in 0..10 {
            let mut world = world(nodes, 3, seed);
            world.set_frozen(0, true);
            world.set_frozen(1, true);
            world.run_for(seed * 97);
            let next = append_change(&mut world);
            let took_ms =
                world.run_until_in_force(next, PROPAGATION_LIMIT_MS, |node| !node.is_frozen());
            slowest_ms = slowest_ms.max(took_ms.expect("within the limit"));
        }
        println!("{nodes} instances, both tailers frozen: {slowest_ms} ms");
    }
}

#[test]
fn in_force_within_4_s_on_a_slow_log() {
    for nodes in [9, 95] {
        let mut slowest_ms = 0;
        for seed in 0..10 {
            let mut world = world(nodes, 3, seed);
            world.log.faults.slow_ms = 900;
            world.run_for(5_000 + seed * 97);
            let next = append_change(&mut world);
            let took_ms = world.run_until_in_force(next, PROPAGATION_LIMIT_MS, every_node);
            slowest_ms = slowest_ms.max(took_ms.expect("within the limit"));
        }
        println!("{nodes} instances, log slower by 900 ms: {slowest_ms} ms");
    }
}

#[test]
fn relays_keep_most_instances_off_the_log() {
    let mut world = world(95, 3, 3);
    world.log.reads = 0;
    world.run_for(60_000);
    let polls = world.log.reads;
    assert!(polls <= 2 * 130, "{polls} polls in 60 s by 2 tailers");
    let next = append_change(&mut world);
    world.log.reads = 0;
    assert!(
        world
            .run_until_in_force(next, PROPAGATION_LIMIT_MS, every_node)
            .is_some()
    );
    world.run_for(1_000);
    let polls = world.log.reads;
    assert!(polls <= 10, "{polls} polls in 1 s after a change");
}

#[test]
fn a_delivery_gap_is_read_again_and_never_applied_across() {
    let mut world = world(9, 3, 4);
    world.log.faults.missing = Some(3);
    append_change(&mut world);
    let next = append_change(&mut world);
    world.run_for(3_000);
    assert!((0..9).all(|node| world.next_of(node) == 3));
    assert!(world.nodes[0].follower.ignored().gaps > 0);
    world.log.faults.missing = None;
    assert!(
        world
            .run_until_in_force(next, PROPAGATION_LIMIT_MS, every_node)
            .is_some()
    );
    let expected = replay_all(&world);
    assert!(world.nodes.iter().all(|x| *x.follower.state() == expected));
}

#[test]
fn records_held_back_by_the_log_come_from_a_peer_that_has_them() {
    let mut world = world(9, 3, 5);
    world.nodes[8].is_cut = true;
    let next = append_change(&mut world);
    world.run_for(1_000);
    world.log.faults.hidden_from = Some(3);
    world.nodes[8].is_cut = false;
    assert!(
        world
            .run_until_in_force(next, PROPAGATION_LIMIT_MS, every_node)
            .is_some()
    );
    assert_eq!(world.snapshots, 0, "records are enough");
}

#[test]
fn an_instance_trimmed_past_its_offset_starts_over_from_a_checkpoint() {
    let mut world = world(9, 3, 6);
    world.nodes[8].is_cut = true;
    for _ in 0..5 {
        append_change(&mut world);
    }
    world.run_for(1_000);
    let parts = world.nodes[0].follower.state().checkpoint();
    for part in parts {
        world.append(ConfigRecord::Checkpoint(part));
    }
    world.log.first = 6;
    let next = append_change(&mut world);
    world.run_for(1_000);
    for node in 0..8 {
        // Peers do not respond, so only the log is available.
        world.set_frozen(node, true);
    }
    world.nodes[8].is_cut = false;
    let took_ms = world.run_until_in_force(next, PROPAGATION_LIMIT_MS, |node| !node.is_frozen());
    assert!(took_ms.is_some());
    let adopted = Action::Adopted {
        source: Source::Checkpoint,
        next: Offset(8),
    };
    assert!(world.nodes[8].actions.contains(&adopted));
    assert_eq!(*world.nodes[8].follower.state(), replay_all(&world));
}

#[test]
fn a_log_that_dropped_every_record_leaves_the_state_and_gets_a_checkpoint() {
    let mut world = world(9, 3, 7);
    world.log.first = 3;
    world.run_for(90_000);
    let checkpoints = world.log.records[3..].iter();
    let covers = checkpoints.filter_map(|(_, record)| match record {
        ConfigRecord::Checkpoint(part) => Some(part.covers),
        ConfigRecord::Change(_) => None,
    });
    assert_eq!(covers.collect::<Vec<_>>(), [Offset(3)]);
    let new = world.add_node();
    world.run_for(2_000);
    assert_eq!(*world.nodes[new].follower.state(), replay_all(&world));
}

#[test]
fn a_new_instance_starts_from_a_peer_while_the_log_is_down() {
    let mut world = world(9, 5, 8);
    world.log.faults.outage = true;
    world.run_for(10_000);
    let new = world.add_node();
    world.run_for(1_000);
    let progress = world.progress(new);
    assert!(progress.has_started);
    assert_eq!(world.next_of(new), 5);
    assert!(progress.age_ms.unwrap() >= 10_000, "{progress:?}");
    world.log.faults.outage = false;
    let next = append_change(&mut world);
    assert!(
        world
            .run_until_in_force(next, PROPAGATION_LIMIT_MS, every_node)
            .is_some()
    );
}

#[test]
fn an_instance_that_was_cut_off_keeps_its_state_says_its_age_and_catches_up() {
    let mut world = world(9, 3, 9);
    world.nodes[4].is_cut = true;
    let next = append_change(&mut world);
    world.run_for(20_000);
    assert_eq!(world.next_of(4), 3);
    let progress = world.progress(4);
    assert!(progress.age_ms.unwrap() >= 19_000, "{progress:?}");
    assert!(world.progress(5).age_ms.unwrap() < 1_000);
    world.nodes[4].is_cut = false;
    assert!(
        world
            .run_until_in_force(next, PROPAGATION_LIMIT_MS, every_node)
            .is_some()
    );
}

#[test]
fn an_instance_that_reaches_peers_but_not_the_log_follows_within_4_s() {
    let mut world = world(9, 3, 10);
    for node in 0..8 {
        world.nodes[node].is_off_log = true;
    }
    world.run_for(3_000);
    let next = append_change(&mut world);
    assert!(
        world
            .run_until_in_force(next, PROPAGATION_LIMIT_MS, every_node)
            .is_some()
    );
}

#[test]
fn an_old_peer_never_takes_anyone_back() {
    let mut world = world(9, 3, 11);
    world.nodes[8].is_cut = true;
    for _ in 0..4 {
        append_change(&mut world);
    }
    world.run_for(2_000);
    let old = Snapshot {
        state: world.nodes[8].follower.state().clone(),
        age_ms: Some(0),
    };
    for node in &mut world.nodes[..8] {
        let snapshot_event = Event::Snapshot(Some(Box::new(old.clone())));
        node.follower.on_event(world.now_ms, snapshot_event);
        assert_eq!(node.follower.state().next(), Offset(7));
        assert_eq!(node.follower.ignored().snapshots, 1);
    }
}

#[test]
fn a_new_instance_that_reads_the_log_does_not_start_with_an_old_state() {
    let mut world = world(9, 3, 11);
    let old = Snapshot {
        state: world.nodes[8].follower.state().clone(),
        age_ms: Some(0),
    };
    let mut new = Follower::new(FollowerSettings {
        retention_ms: HOUR_MS,
        seed: 1,
    });
    append_change(&mut world);
    let read = Event::Read {
        first: Offset(0),
        next: Offset(4),
        records: Vec::new(),
    };
    new.on_event(1_000, read);
    let snapshot_event = Event::Snapshot(Some(Box::new(old)));
    new.on_event(1_500, snapshot_event.clone());
    assert!(!new.progress(1_500).has_started);
    // Once the log is silent as well, the old state is adopted.
    new.on_event(5_000, snapshot_event);
    let progress = new.progress(5_000);
    assert!(progress.has_started);
    assert_eq!((progress.next, progress.known_next), (Offset(3), Offset(4)));
}

#[test]
fn checkpoints_keep_the_configuration_past_the_retention() {
    let mut world = World::new(9, 60_000, 12);
    for _ in 0..5 {
        append_change(&mut world);
    }
    let mut written = 0;
    for round in 0..20 {
        world.run_for(30_000);
        written = world.log.records.len() - 5;
        // Instances are replaced until none is left that applied the changes.
        world.set_frozen(round, true);
        let new = world.add_node();
        world.run_for(3_000);
        assert_eq!(*world.nodes[new].follower.state(), replay_all(&world));
    }
    assert!(world.log.first > 5, "the changes themselves have expired");
    println!("{written} checkpoints in 660 s at a retention of 60 s");
    assert!(written <= 66, "{written} checkpoints");
}

#[test]
fn a_new_instance_renews_a_checkpoint_by_the_age_that_it_has() {
    let mut world = World::new(1, 60_000, 13);
    append_change(&mut world);
    world.run_for(25_000);
    assert_eq!(world.log.records.len(), 2, "a checkpoint at about 20 s");
    world.set_frozen(0, true);
    world.run_for(10_000);
    world.add_node();
    world.run_for(8_000);
    assert_eq!(world.log.records.len(), 3, "and at about 40 s");
}

fn converges_after_faults(seed: u64, steps: Vec<(u8, u8)>) -> bool {
    let mut world = World::new(5, 20_000, seed);
    for (step, node) in steps {
        let node = usize::from(node) % world.nodes.len();
        match step % 11 {
            0..3 => drop(append_change(&mut world)),
            3 => world.log.faults.outage ^= true,
            4 => world.log.faults.slow_ms = u64::from(step) * 5,
            5 => world.log.faults.hidden_from = Some(world.log.records.len() as u64),
            6 => world.log.faults = Faults::default(),
            7 => world.nodes[node].is_cut ^= true,
            8 => world.set_frozen(node, !world.nodes[node].is_frozen()),
            9 => world.nodes[node].is_off_log ^= true,
            _ => world.run_for(u64::from(step) * 10),
        }
        world.run_for(u64::from(step));
    }
    world.log.faults = Faults::default();
    for node in 0..world.nodes.len() {
        world.set_frozen(node, false);
        world.nodes[node].is_cut = false;
        world.nodes[node].is_off_log = false;
    }
    let next = append_change(&mut world);
    let in_force = world
        .run_until_in_force(next, PROPAGATION_LIMIT_MS, every_node)
        .is_some();
    let has_expected_state = |node: &Node| {
        let state = node.follower.state();
        *state == replay_to(&world, state.next())
    };
    in_force && world.nodes.iter().all(has_expected_state)
}

#[test]
fn any_interleaving_of_failures_ends_in_the_same_state() {
    let property = converges_after_faults as fn(u64, Vec<(u8, u8)>) -> bool;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(300)
        .quickcheck(property);
}
