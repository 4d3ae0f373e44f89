//! Simulates bursts as on the recorded days, and checks that admitted requests are in
//! time and that the others are refused at once.

mod stages_world;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::stages::{StageOutcome, StageWork, Submission};
use stages_world::{World, batching, server, service, stage};

/// Kinds of requests of the sign makers' deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A long draft: some large pieces of the archive service, with a goal of 1 s.
    Draft,
    /// A quotation: three stages, with a goal of 1.8 s; the most urgent.
    Quotation,
    /// A description: the same three stages; the least urgent.
    Description,
}

impl Kind {
    /// Returns the requests a second outside bursts.
    fn rate_per_s(self) -> f64 {
        match self {
            Self::Draft => 19.5,
            Self::Quotation => 20.9,
            Self::Description => 10.3,
        }
    }

    fn goal_ms(self) -> u64 {
        match self {
            Self::Draft => 1_000,
            Self::Quotation | Self::Description => 1_800,
        }
    }

    fn value(self) -> f64 {
        match self {
            Self::Draft => 3.2,
            Self::Quotation => 2.0,
            Self::Description => 0.83,
        }
    }

    fn stages(self, rng: &mut Pcg64Mcg) -> Vec<StageWork> {
        if self == Self::Draft {
            let pieces = if rng.random_range(0..10) < 7 { 3 } else { 0 };
            return vec![stage("archive", &[], pieces, 1_500_000)];
        }
        let invoices = rng.random_range(6..=14);
        vec![
            stage("archive", &[], 1, 8_000),
            stage("agenda", &[0], 6, 60_000),
            stage("invoices", &[1], invoices, 6_000),
        ]
    }
}

/// Creates five servers of each of three services in three zones.
fn deployment() -> World {
    let services = [
        service("archive", batching(10, 12.0, 22_000_000)),
        service("agenda", batching(28, 6.1, 3_600_000)),
        service("invoices", batching(46, 3.7, 600_000)),
    ];
    let zones = ["utrecht", "utrecht", "amersfoort", "amersfoort", "gouda"];
    let servers = ["archive", "agenda", "invoices"].iter().flat_map(|name| {
        let ids = zones.iter().enumerate();
        ids.map(move |(index, zone)| server(&format!("{name}-{index}"), name, zone))
    });
    World::new(services.to_vec(), servers.collect())
}

/// Outcomes of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    requests: u32,
    in_time: u32,
    late: u32,
    refused_at_once: u32,
    refused_later: u32,
}

/// Simulates 14 s, with `factor` times as many requests of kind `burst` from 4 s to 10
/// s.
fn simulate(seed: u64, burst: Kind, factor: f64) -> Vec<(Kind, Outcomes)> {
    let kinds = [Kind::Draft, Kind::Quotation, Kind::Description];
    let mut world = deployment();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut requests: Vec<(Kind, u64)> = Vec::new();
    while world.now_ms < 14_000 {
        for kind in kinds {
            let is_burst = kind == burst && (4_000..10_000).contains(&world.now_ms);
            let rate_per_s = kind.rate_per_s() * if is_burst { factor } else { 1.0 };
            if rng.random_range(0.0..1.0) < rate_per_s / 1_000.0 {
                let number = requests.len() as u64;
                requests.push((kind, world.now_ms));
                let stages = kind.stages(&mut rng);
                world.submit(Submission {
                    priority: match kind {
                        Kind::Quotation => 0,
                        Kind::Draft => 1,
                        Kind::Description => 2,
                    },
                    ..World::submission(number, stages, kind.goal_ms())
                });
            }
        }
        release_fetched(&mut world);
        let next_ms = world.now_ms + 1;
        world.run(next_ms);
    }
    for _ in 0..6_000 {
        release_fetched(&mut world);
        let next_ms = world.now_ms + 1;
        world.run(next_ms);
    }
    let mut outcomes: Vec<(Kind, Outcomes)> = kinds
        .iter()
        .map(|kind| (*kind, Outcomes::default()))
        .collect();
    for (number, (kind, at_ms)) in requests.into_iter().enumerate() {
        let key = World::key(number as u64);
        let ended = world.outcomes.iter().find(|(_, other, _)| *other == key);
        let (ended_ms, _, outcome) = ended.expect("every request ends");
        let (_, kind_outcomes) = outcomes
            .iter_mut()
            .find(|(other, _)| *other == kind)
            .unwrap();
        kind_outcomes.requests += 1;
        let response_ms = ended_ms - at_ms + 100;
        match outcome {
            StageOutcome::Ready(_) if response_ms <= kind.goal_ms() => kind_outcomes.in_time += 1,
            StageOutcome::Ready(_) => kind_outcomes.late += 1,
            StageOutcome::Refused { .. } if response_ms <= 101 => {
                kind_outcomes.refused_at_once += 1
            }
            StageOutcome::Refused { .. } => kind_outcomes.refused_later += 1,
            StageOutcome::Moved { .. } => panic!("nothing is handed over"),
        }
    }
    assert_eq!(world.violations, Vec::<String>::new());
    outcomes
}

/// Releases the results of requests that ended 100 ms ago, when their engine has read
/// them.
fn release_fetched(world: &mut World) {
    let now_ms = world.now_ms;
    let fetched = world.outcomes.iter().rev().take(200);
    let fetched: Vec<u64> = fetched
        .filter(|(at_ms, _, _)| at_ms + 100 == now_ms)
        .map(|(_, key, _)| key.number)
        .collect();
    for number in fetched {
        world.release(number);
    }
}

fn value_share(outcomes: &[(Kind, Outcomes)]) -> f64 {
    let total_value: f64 = outcomes
        .iter()
        .map(|(kind, outcomes)| kind.value() * f64::from(outcomes.requests))
        .sum();
    let earned_value = outcomes.iter().map(|(kind, outcomes)| {
        kind.value() * (f64::from(outcomes.in_time) + 0.15 * f64::from(outcomes.late))
    });
    earned_value.sum::<f64>() / total_value
}

#[test]
fn on_a_calm_day_nearly_all_are_in_time() {
    for seed in 0..3 {
        let outcomes = simulate(seed, Kind::Draft, 1.0);
        assert!(
            value_share(&outcomes) >= 0.95,
            "{:.3} {outcomes:?}",
            value_share(&outcomes)
        );
    }
}

/// 2.3 times as many quotations slightly exceed the capacity with full batches.
#[test]
fn in_a_burst_of_quotations_those_that_are_taken_are_in_time() {
    for seed in 0..3 {
        let outcomes = simulate(seed, Kind::Quotation, 2.3);
        assert!(
            value_share(&outcomes) >= 0.85,
            "{:.3} {outcomes:?}",
            value_share(&outcomes)
        );
        for (kind, outcomes) in &outcomes {
            let admitted = outcomes.in_time + outcomes.late;
            assert!(outcomes.late * 6 <= admitted, "{kind:?} {outcomes:?}");
            assert_eq!(outcomes.refused_later, 0, "{kind:?} {outcomes:?}");
        }
    }
}

/// Less urgent requests are refused first, so a larger share of the quotations is in
/// time.
#[test]
fn in_a_heavy_burst_the_more_urgent_are_served_more_often() {
    for seed in 0..3 {
        let outcomes = simulate(seed, Kind::Quotation, 3.2);
        let share = |kind: Kind| {
            let (_, outcomes) = outcomes.iter().find(|(other, _)| *other == kind).unwrap();
            f64::from(outcomes.in_time) / f64::from(outcomes.requests)
        };
        assert!(
            share(Kind::Quotation) >= share(Kind::Description),
            "{outcomes:?}"
        );
        assert!(
            share(Kind::Description) >= 0.25,
            "the lowest rank is not starved: {outcomes:?}"
        );
        assert!(
            value_share(&outcomes) >= 0.7,
            "{:.3} {outcomes:?}",
            value_share(&outcomes)
        );
    }
}

/// New requests are in time again as soon as a burst is over.
#[test]
fn a_burst_leaves_nothing_behind() {
    let outcomes = simulate(7, Kind::Draft, 2.4);
    assert!(
        value_share(&outcomes) >= 0.85,
        "{:.3} {outcomes:?}",
        value_share(&outcomes)
    );
    let refused: u32 = outcomes
        .iter()
        .map(|(_, outcomes)| outcomes.refused_later)
        .sum();
    assert_eq!(refused, 0, "{outcomes:?}");
}
