//! Tests placement: configured replicas, demand, the budget of the weight
//! store, absence of flapping, and the last replica of a model in use.

mod placement_world;

use placement_world::{Objects, World, model, pipeline};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    objects::Fencing,
    placement::{EngineReport, MoveKind, PlacementReason, PlacementSettings, preview},
};

const MINUTE_MS: u64 = 60_000;

fn seeded(tests: u64) -> QuickCheck {
    let rng = Gen::from_size_and_seed(40, 0x5eed);
    QuickCheck::new().rng(rng).tests(tests).max_tests(tests)
}

fn no_demand(_: u64) -> Vec<(&'static str, f64)> {
    Vec::new()
}

#[test]
fn configured_replicas_are_loaded_within_the_budget() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let models = [
            ("chat", 4_000, 3),
            ("draft", 2_000, 2),
            ("letters", 1_000, 0),
        ];
        let objects = Objects::new(fencing, 6, &models);
        let mut world = World::new(objects, PlacementSettings::default());
        world.run(MINUTE_MS, no_demand);
        // A model that a pipeline uses has a replica even if none is
        // configured.
        let replicas = ["chat", "draft", "letters"].map(|name| world.engines.replicas(name));
        assert_eq!(replicas, [3, 2, 1]);
        assert_eq!(world.engines.max_concurrent_loads, 2);
        let moves = world.moves(0);
        world.run(10 * MINUTE_MS, no_demand);
        assert_eq!(world.moves(0), moves, "no moves remain");
    }
}

#[test]
fn replicas_lost_with_an_engine_are_loaded_again() {
    let objects = Objects::new(Fencing::Checked, 3, &[("chat", 1_000, 2)]);
    let mut world = World::new(objects, PlacementSettings::default());
    world.run(MINUTE_MS, no_demand);
    let holder = |world: &World| {
        let chat = "chat".into();
        let mut engines = world.engines.engines.iter();
        engines.position(|x| x.serves(&chat)).unwrap()
    };
    let first = holder(&world);
    world.engines.engines[first].models.clear();
    world.run(MINUTE_MS, no_demand);
    assert_eq!(world.engines.replicas("chat"), 2);
    let second = holder(&world);
    world.engines.engines[second].is_leaving = true;
    world.run(MINUTE_MS, no_demand);
    assert_eq!(world.engines.replicas("chat"), 2);
    let third = holder(&world);
    world.engines.engines[third].is_dead = true;
    world.engines.engines[second].is_leaving = false;
    world.run(MINUTE_MS, no_demand);
    assert_eq!(world.engines.replicas("chat"), 2);
}

#[test]
fn lost_orders_are_repeated_and_a_stuck_engine_is_passed_over() {
    for (lost_orders, lost_responses) in [(3, 0), (0, 3), (2, 2)] {
        let objects = Objects::new(Fencing::Ignored, 1, &[("chat", 1_000, 1)]);
        let mut world = World::new(objects, PlacementSettings::default());
        world.engines.lost_orders = lost_orders;
        world.engines.lost_responses = lost_responses;
        world.run(MINUTE_MS, no_demand);
        assert_eq!(world.engines.replicas("chat"), 1);
    }
    let objects = Objects::new(Fencing::Ignored, 2, &[("chat", 1_000, 1)]);
    for stuck in 0..2 {
        let mut world = World::new(objects.clone(), PlacementSettings::default());
        world.engines.engines[stuck].is_stuck = true;
        world.run(MINUTE_MS, no_demand);
        assert_eq!(world.engines.replicas("chat"), 1, "engine-{stuck} is stuck");
    }
}

#[test]
fn an_engine_without_responses_is_not_ordered_each_second() {
    let objects = Objects::new(Fencing::Ignored, 1, &[("chat", 1_000, 1)]);
    let mut world = World::new(objects, PlacementSettings::default());
    world.engines.lost_orders = u32::MAX;
    world.run(MINUTE_MS, no_demand);
    let loads = world.kinds(MoveKind::Load).len();
    assert!((5..=12).contains(&loads), "{loads} loads ordered");
}

#[test]
fn engines_follow_shifting_demand() {
    let objects = Objects::new(
        Fencing::Checked,
        6,
        &[("chat", 2_000, 1), ("draft", 2_000, 1)],
    );
    let settings = PlacementSettings {
        models_per_engine: 1,
        ..PlacementSettings::default()
    };
    let mut world = World::new(objects, settings);
    world.run(10 * MINUTE_MS, |_| vec![("chat", 28.0), ("draft", 3.0)]);
    assert_eq!(world.engines.replicas("chat"), 5);
    assert_eq!(world.engines.replicas("draft"), 1);
    world.run(30 * MINUTE_MS, |_| vec![("chat", 3.0), ("draft", 28.0)]);
    assert!(world.engines.replicas("draft") >= 4);
    assert!(world.engines.replicas("chat") >= 1);
    assert_eq!(world.faults, Vec::<String>::new());
}

/// A move starts only after demand has been high for as long as the load takes.
#[test]
fn a_short_burst_moves_nothing_and_a_costly_move_waits_longer() {
    for (size_mb, burst_ms, moves) in [(1_000, 12_000, 0), (90_000, 60_000, 0)] {
        let objects = Objects::new(Fencing::Checked, 4, &[("chat", size_mb, 1)]);
        let mut world = World::new(objects, PlacementSettings::default());
        world.run(4 * MINUTE_MS, |_| vec![("chat", 2.0)]);
        let before = world.moves(0);
        let end_ms = world.now_ms + burst_ms;
        world.run(10 * MINUTE_MS, |now_ms| match now_ms < end_ms {
            true => vec![("chat", 12.0)],
            false => vec![("chat", 2.0)],
        });
        assert_eq!(world.moves(0) - before, moves, "{size_mb} MB");
    }
}

#[test]
fn noisy_demand_does_not_flap() {
    fn property(seed: u64) -> Result<(), String> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let names = ["chat", "draft", "letters"];
        let means = names.map(|_| rng.random_range(1.0..16.0));
        let sizes = names.map(|_| rng.random_range(500..8_000));
        let models: Vec<_> = names
            .iter()
            .zip(sizes)
            .map(|(x, size)| (*x, size, 1))
            .collect();
        let objects = Objects::new(Fencing::Checked, 6, &models);
        let mut world = World::new(objects, PlacementSettings::default());
        let mut noisy_demand = |_| {
            let pairs = names.iter().zip(means);
            pairs
                .map(|(name, mean)| (*name, mean * rng.random_range(0.2..1.8)))
                .collect()
        };
        world.run(20 * MINUTE_MS, &mut noisy_demand);
        let settled_ms = world.now_ms;
        world.run(60 * MINUTE_MS, &mut noisy_demand);
        // A replica may still be added, but none is unloaded.
        let late_decisions = world
            .decisions
            .iter()
            .filter(|(at_ms, _)| *at_ms >= settled_ms);
        let unloads = late_decisions
            .filter(|(_, x)| x.kind == MoveKind::Unload)
            .count();
        match (unloads, world.moves(settled_ms)) {
            (0, 0..=4) => Ok(()),
            (_, moves) => Err(format!(
                "{moves} moves in an hour of demand {means:?}, {unloads} of them unloads"
            )),
        }
    }
    seeded(24).quickcheck(property as fn(_) -> _);
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Run { s: u64 },
    Demand { model: usize, slots: u32 },
    Kill { engine: usize },
    Revive { engine: usize },
    Leave { engine: usize },
    Replicas { model: usize, min_replicas: u32 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let (engine, model) = (usize::arbitrary(g) % 4, usize::arbitrary(g) % 3);
        match u8::arbitrary(g) % 9 {
            0..=2 => Self::Run {
                s: u64::from(u8::arbitrary(g)) + 1,
            },
            3..=4 => Self::Demand {
                model,
                slots: u32::arbitrary(g) % 20,
            },
            5 => Self::Kill { engine },
            6 => Self::Revive { engine },
            7 => Self::Leave { engine },
            _ => Self::Replicas {
                model,
                min_replicas: u32::arbitrary(g) % 4,
            },
        }
    }
}

#[test]
fn the_last_replica_in_use_stays_and_configured_ones_come_back() {
    const NAMES: [&str; 3] = ["chat", "draft", "letters"];
    fn property(ops: Vec<Op>) -> Result<(), String> {
        let models = NAMES.map(|name| (name, 2_000, 1));
        let settings = PlacementSettings {
            models_per_engine: 2,
            hold_down_ms: 30_000,
            ..PlacementSettings::default()
        };
        let mut world = World::new(Objects::new(Fencing::Ignored, 4, &models), settings);
        let mut demand = NAMES.map(|name| (name, 2.0));
        for op in ops {
            match op {
                Op::Run { s } => world.run(s * 1_000, |_| demand.to_vec()),
                Op::Demand { model, slots } => demand[model].1 = f64::from(slots),
                Op::Kill { engine } => {
                    world.engines.engines[engine].is_dead = true;
                    // Its replicas count until the loss is detected.
                    world.run(30_000, |_| demand.to_vec());
                    world.faults.clear();
                }
                Op::Revive { engine } => world.engines.engines[engine].revive(),
                Op::Leave { engine } => {
                    world.engines.engines[engine].is_leaving = true;
                    world.run(2_000, |_| demand.to_vec());
                    world.faults.clear();
                }
                Op::Replicas {
                    model,
                    min_replicas,
                } => world.objects.models[model].min_replicas = min_replicas,
            }
        }
        for engine in &mut world.engines.engines {
            engine.revive();
        }
        world.run(5 * MINUTE_MS, |_| demand.to_vec());
        let min_replicas = world
            .objects
            .models
            .iter()
            .map(|x| x.min_replicas.max(1) as usize);
        let min_replicas: Vec<_> = min_replicas.collect();
        let found = NAMES.map(|name| world.engines.replicas(name));
        let is_met = found
            .iter()
            .zip(&min_replicas)
            .all(|(found, min_replicas)| found >= min_replicas);
        let can_be_met = min_replicas.iter().sum::<usize>() <= 8;
        let fault = world.faults.first().cloned();
        match (fault, is_met || !can_be_met) {
            (None, true) => Ok(()),
            (fault, _) => Err(format!("{fault:?}, {found:?} of {min_replicas:?}")),
        }
    }
    seeded(120).quickcheck(property as fn(_) -> _);
}

#[test]
fn a_removed_model_is_unloaded_and_an_unplaceable_one_is_reported_once() {
    let objects = Objects::new(
        Fencing::Checked,
        2,
        &[("chat", 1_000, 2), ("draft", 1_000, 1)],
    );
    let settings = PlacementSettings {
        models_per_engine: 1,
        ..PlacementSettings::default()
    };
    let mut world = World::new(objects, settings);
    world.run(MINUTE_MS, no_demand);
    let unplaced = world.kinds(MoveKind::Unplaced);
    assert_eq!(unplaced.len(), 1, "{unplaced:?}");
    world.objects.models.retain(|x| x.name.as_str() != "chat");
    world
        .objects
        .pipelines
        .retain(|x| x.name.as_str() != "chat");
    world.run(5 * MINUTE_MS, no_demand);
    assert_eq!(world.engines.replicas("chat"), 0);
    assert_eq!(world.engines.replicas("draft"), 1);
}

#[test]
fn a_model_that_was_never_configured_is_not_unloaded() {
    let objects = Objects::new(Fencing::Checked, 2, &[("chat", 1_000, 1)]);
    let mut world = World::new(objects, PlacementSettings::default());
    for engine in &mut world.engines.engines {
        engine.models.insert("by-hand".into());
    }
    world.run(10 * MINUTE_MS, no_demand);
    assert_eq!(world.engines.replicas("chat"), 1);
    assert_eq!(world.engines.replicas("by-hand"), 2);
}

#[test]
fn the_preview_lists_the_moves_that_then_happen() {
    let before = Objects::new(Fencing::Checked, 4, &[("chat", 2_000, 2), ("old", 500, 1)]);
    let mut world = World::new(before.clone(), PlacementSettings::default());
    world.run(MINUTE_MS, no_demand);
    let mut after = before.clone();
    after.models.retain(|x| x.name.as_str() != "old");
    after.pipelines.retain(|x| x.name.as_str() != "old");
    let draft = model("draft", "llm", 3_000, 2);
    after.pipelines.push(pipeline(&draft));
    after.models.push(draft);
    after.models[0].min_replicas = 3;

    let reports: Vec<_> = world
        .engines
        .reports(world.now_ms)
        .iter()
        .map(|report| EngineReport {
            backend: report.server.clone(),
            load: report.running,
            models: report.models.clone(),
        })
        .collect();
    let settings = PlacementSettings::default();
    let no_moves = preview(&before.layout(), &before.layout(), &reports, &settings);
    assert_eq!(no_moves, []);
    let planned = preview(&before.layout(), &after.layout(), &reports, &settings);

    world.decisions.clear();
    world.objects = after;
    world.run(10 * MINUTE_MS, no_demand);
    let mut done: Vec<_> = world
        .decisions
        .iter()
        .map(|(_, x)| (x.kind, x.model.clone()))
        .collect();
    let mut previewed: Vec<_> = planned.iter().map(|x| (x.kind, x.model.clone())).collect();
    done.sort();
    previewed.sort();
    assert_eq!(previewed, done);
    assert_eq!(previewed.len(), 4, "{planned:?}");
    let text = planned
        .iter()
        .map(|x| x.to_string())
        .collect::<Vec<_>>()
        .join("\n");
    assert!(text.contains("load draft on engine-"), "{text}");
    assert!(text.contains("3000 ms of the weight store"), "{text}");
}

#[test]
fn each_order_has_a_decision_with_reason_and_cost() {
    let objects = Objects::new(Fencing::Checked, 2, &[("chat", 2_000, 2)]);
    let mut world = World::new(objects, PlacementSettings::default());
    world.engines.engines[1].models.insert("chat".into());
    world.run(MINUTE_MS, no_demand);
    let fences = world.kinds(MoveKind::Fence);
    assert_eq!(fences.len(), 1);
    assert_eq!(fences[0].backend, Some("engine-1".into()));
    let loads = world.kinds(MoveKind::Load);
    assert_eq!(loads.len(), 1);
    assert_eq!(loads[0].reason, PlacementReason::TooFew);
    assert_eq!(
        (loads[0].held, loads[0].wanted, loads[0].cost_ms),
        (1, 2, 2_000)
    );
}
