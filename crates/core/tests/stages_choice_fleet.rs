//! Hundreds of instances that start together select the same scheduler.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    ids::InstanceName,
    stages::{Candidate, SchedulerSelector},
};

/// Time between two probe rounds while no scheduler is selected, in ms.
const PROBE_INTERVAL_MS: u64 = 50;
/// Time between two probe rounds once one is selected, in ms.
const SETTLED_PROBE_INTERVAL_MS: u64 = 250;
/// Time from its start until an instance has the list of candidates, in ms.
const LIST_DELAY_MS: u64 = 60;

struct Node {
    name: InstanceName,
    /// Time from which it is reachable, in ms; `None` if it is permanently removed.
    up_at_ms: Option<u64>,
    selector: SchedulerSelector,
    next_probe_ms: u64,
}

struct World {
    nodes: Vec<Node>,
}

impl World {
    /// Starts `count` instances within 300 ms of each other, except for `removed` that
    /// never start and `late_starters` that start up to two seconds later.
    fn new(seed: u64, count: usize, removed: usize, late_starters: usize) -> Self {
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
            let mut selector = SchedulerSelector::default();
            selector.set_candidates(candidates.clone());
            Node {
                name,
                up_at_ms: match index {
                    index if index < removed => None,
                    index if index < removed + late_starters => {
                        Some(up_at_ms + rng.random_range(0..2_000))
                    }
                    _ => Some(up_at_ms),
                },
                selector,
                next_probe_ms: 0,
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

    /// Runs the probe rounds that are due, and returns all selected schedulers.
    fn step(&mut self, now_ms: u64) -> BTreeSet<InstanceName> {
        let mut selected = BTreeSet::new();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let has_list = node.up_at_ms.is_some_and(|at| at + LIST_DELAY_MS <= now_ms);
            if !has_list {
                continue;
            }
            if node.next_probe_ms <= now_ms {
                self.nodes[index].selector.on_probe_round(now_ms);
                let targets = self.nodes[index].selector.probe_targets(now_ms);
                for name in targets {
                    let is_up = self.is_up(now_ms, &name);
                    let selector = &mut self.nodes[index].selector;
                    match is_up {
                        true => selector.on_response(&name),
                        false => selector.on_unreachable(now_ms, &name),
                    }
                }
                let node = &mut self.nodes[index];
                let interval_ms = match node.selector.settled(now_ms) {
                    Some(_) => SETTLED_PROBE_INTERVAL_MS,
                    None => PROBE_INTERVAL_MS,
                };
                node.next_probe_ms = now_ms + interval_ms;
            }
            selected.extend(self.nodes[index].selector.settled(now_ms).cloned());
        }
        selected
    }
}

/// Of 300 instances that start within 300 ms of each other, no two are selected at any
/// time, and all instances know the scheduler within half a second of their start.
#[test]
fn all_that_start_together_find_the_same_one() {
    for seed in 1..=5 {
        let mut world = World::new(seed, 300, 0, 0);
        let mut all = BTreeSet::new();
        for now_ms in (0..2_000).step_by(10) {
            let selected = world.step(now_ms);
            assert!(
                selected.len() <= 1,
                "seed {seed}, {now_ms} ms: {selected:?}"
            );
            all.extend(selected);
        }
        assert_eq!(all.len(), 1, "seed {seed}");
        for node in &world.nodes {
            assert!(node.selector.settled(900).is_some(), "seed {seed}");
        }
    }
}

/// A tenth of the instances are permanently removed and a tenth start late: few
/// schedulers are selected meanwhile, and a single one soon after the last start.
#[test]
fn few_schedule_while_some_come_up_later() {
    for seed in 1..=5 {
        let mut world = World::new(seed, 300, 30, 30);
        for now_ms in (0..5_000).step_by(10) {
            let selected = world.step(now_ms);
            assert!(
                selected.len() <= 6,
                "seed {seed}, {now_ms} ms: {}",
                selected.len()
            );
            if now_ms >= 3_000 {
                assert_eq!(selected.len(), 1, "seed {seed}, {now_ms} ms");
            }
        }
    }
}
