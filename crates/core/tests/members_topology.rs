//! Neighbours, homes and ranks are identical on every instance, bounded, and stable
//! when an instance leaves.

use std::collections::BTreeSet;

use savoryvane_core::{
    ids::InstanceName,
    topology::{Duty, RINGS, Shard, highest_ranked, neighbours, ranked},
};

fn names(count: usize) -> Vec<InstanceName> {
    (0..count)
        .map(|i| InstanceName::new(format!("entry-{i}")))
        .collect()
}

fn edges(members: &[InstanceName]) -> BTreeSet<(InstanceName, InstanceName)> {
    let edges_of = |member: &InstanceName| -> Vec<_> {
        neighbours(member, members.iter())
            .into_iter()
            .map(|other| (member.clone(), other.clone()))
            .collect()
    };
    members.iter().flat_map(edges_of).collect()
}

fn rounds_to_reach_all(members: &[InstanceName]) -> usize {
    let mut reached: BTreeSet<&InstanceName> = members.iter().take(1).collect();
    let mut rounds = 0;
    while reached.len() < members.len() {
        let newly_reached: Vec<_> = reached
            .iter()
            .flat_map(|member| neighbours(member, members.iter()))
            .collect();
        reached.extend(newly_reached);
        rounds += 1;
        assert!(rounds < 20, "not connected");
    }
    rounds
}

#[test]
fn neighbours_are_bounded_symmetric_and_connected() {
    for count in [1, 2, 3, 9, 95, 570] {
        let members = names(count);
        let edges = edges(&members);
        assert!(edges.len() <= count * 2 * RINGS as usize);
        for (a, b) in &edges {
            assert!(edges.contains(&(b.clone(), a.clone())));
        }
        assert!(rounds_to_reach_all(&members) <= 6);
    }
}

#[test]
fn one_that_leaves_moves_only_what_touched_it() {
    let members = names(95);
    for removed in [0, 17, 94] {
        let remaining: Vec<_> = members
            .iter()
            .filter(|m| **m != members[removed])
            .cloned()
            .collect();
        let (before, after) = (edges(&members), edges(&remaining));
        let is_unrelated = |edge: &&(InstanceName, InstanceName)| {
            edge.0 != members[removed] && edge.1 != members[removed]
        };
        assert_eq!(before.difference(&after).filter(is_unrelated).count(), 0);
        assert!(after.difference(&before).count() <= 2 * RINGS as usize);
        for shard in Shard::all() {
            let home = highest_ranked(Duty::Home(shard), members.iter());
            if home != Some(&members[removed]) {
                assert_eq!(highest_ranked(Duty::Home(shard), remaining.iter()), home);
            }
        }
    }
}

#[test]
fn homes_and_ranks_depend_on_the_set_and_not_on_its_order() {
    let members = names(30);
    let reversed: Vec<_> = members.iter().rev().cloned().collect();
    for shard in Shard::all() {
        let duty = Duty::Home(shard);
        assert_eq!(ranked(duty, members.iter()), ranked(duty, reversed.iter()));
        assert_eq!(
            highest_ranked(duty, members.iter()),
            ranked(duty, members.iter()).first().copied()
        );
    }
}

#[test]
fn homes_are_spread_over_a_zone_of_95() {
    let members = names(95);
    let homes: BTreeSet<_> = Shard::all()
        .filter_map(|shard| highest_ranked(Duty::Home(shard), members.iter()))
        .collect();
    assert!(homes.len() >= 12, "{} homes", homes.len());
}
