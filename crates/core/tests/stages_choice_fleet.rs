//! Hundreds of instances that start together agree on who schedules.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    ids::InstanceName,
    stages::{Candidate, SchedulerSelector},
};

/// Time between two looks of one that does not know who schedules, in ms.
const LOOK_MS: u64 = 50;
/// The same of one that does, in ms.
const SETTLED_LOOK_MS: u64 = 250;
/// Time from its start until an instance knows the list, in ms.
const LIST_MS: u64 = 60;

struct Node {
    name: InstanceName,
    /// Time from which it can be reached, in ms; none when it is gone for good.
    up_at_ms: Option<u64>,
    choice: SchedulerSelector,
    look_at_ms: u64,
}

struct World {
    nodes: Vec<Node>,
}

impl World {
    /// Starts `count` instances within 300 ms of each other, but for `gone` that stay
    /// away and `late` that come up in the two seconds after.
    fn new(seed: u64, count: usize, gone: usize, late: usize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let names: Vec<InstanceName> = (0..count)
            .map(|n| InstanceName::new(format!("entry-{seed}-{n}")))
            .collect();
        let candidates: Vec<Candidate> = names
            .iter()
            .map(|name| Candidate {
                instance: name.clone(),
                cores: 0.25,
            })
            .collect();
        let nodes = names.into_iter().enumerate().map(|(index, name)| {
            let up_at_ms = rng.random_range(0..300);
            let mut choice = SchedulerSelector::default();
            choice.set_candidates(candidates.clone());
            Node {
                name,
                up_at_ms: match index {
                    index if index < gone => None,
                    index if index < gone + late => Some(up_at_ms + rng.random_range(0..2_000)),
                    _ => Some(up_at_ms),
                },
                choice,
                look_at_ms: 0,
            }
        });
        Self {
            nodes: nodes.collect(),
        }
    }

    fn is_up(&self, now_ms: u64, name: &InstanceName) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.any(|node| node.name == *name && node.up_at_ms.is_some_and(|at| at <= now_ms))
    }

    /// Has every instance look that is due, and returns who schedules by any of them.
    fn step(&mut self, now_ms: u64) -> BTreeSet<InstanceName> {
        let mut chosen = BTreeSet::new();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let knows = node.up_at_ms.is_some_and(|at| at + LIST_MS <= now_ms);
            if !knows {
                continue;
            }
            if node.look_at_ms <= now_ms {
                self.nodes[index].choice.on_probe_round(now_ms);
                let asked = self.nodes[index].choice.probe_targets(now_ms);
                for name in asked {
                    let is_up = self.is_up(now_ms, &name);
                    let choice = &mut self.nodes[index].choice;
                    match is_up {
                        true => choice.on_response(&name),
                        false => choice.on_unreachable(now_ms, &name),
                    }
                }
                let node = &mut self.nodes[index];
                let interval_ms = match node.choice.settled(now_ms) {
                    Some(_) => SETTLED_LOOK_MS,
                    None => LOOK_MS,
                };
                node.look_at_ms = now_ms + interval_ms;
            }
            chosen.extend(self.nodes[index].choice.settled(now_ms).cloned());
        }
        chosen
    }
}

/// 300 instances that come back within 300 ms of each other: at no moment two of them
/// schedule, and all know the one within half a second of their start.
#[test]
fn all_that_start_together_find_the_same_one() {
    for seed in 1..=5 {
        let mut world = World::new(seed, 300, 0, 0);
        let mut all = BTreeSet::new();
        for now_ms in (0..2_000).step_by(10) {
            let chosen = world.step(now_ms);
            assert!(chosen.len() <= 1, "seed {seed}, {now_ms} ms: {chosen:?}");
            all.extend(chosen);
        }
        assert_eq!(all.len(), 1, "seed {seed}");
        for node in &world.nodes {
            assert!(node.choice.settled(900).is_some(), "seed {seed}");
        }
    }
}

/// A tenth is gone for good and a tenth comes up later: few schedule beside each other
/// meanwhile, none for itself only, and all agree soon after the last one is up.
#[test]
fn few_schedule_while_some_come_up_later() {
    for seed in 1..=5 {
        let mut world = World::new(seed, 300, 30, 30);
        for now_ms in (0..5_000).step_by(10) {
            let chosen = world.step(now_ms);
            assert!(
                chosen.len() <= 6,
                "seed {seed}, {now_ms} ms: {}",
                chosen.len()
            );
            if now_ms >= 3_000 {
                assert_eq!(chosen.len(), 1, "seed {seed}, {now_ms} ms");
            }
        }
    }
}
