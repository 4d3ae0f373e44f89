//! Plays the bursts of the users' days through the scheduler and checks what
//! callers get: who is taken is in time, and who is not is told at once.

mod stages_world;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::stages::{StageOutcome, StageWork, Submission};
use stages_world::{World, batching, server, service, stage};

/// Kinds of requests of the deployment of the sign makers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A long draft: some large pieces of the archive, due in 1 s.
    Dossier,
    /// A quotation: three stages, due in 1.8 s; the most urgent.
    Offerte,
    /// A description: the same three stages; the least urgent.
    Letter,
}

impl Kind {
    /// Requests a second without a burst.
    fn rate(self) -> f64 {
        match self {
            Self::Dossier => 19.5,
            Self::Offerte => 20.9,
            Self::Letter => 10.3,
        }
    }

    fn goal_ms(self) -> u64 {
        match self {
            Self::Dossier => 1_000,
            Self::Offerte | Self::Letter => 1_800,
        }
    }

    fn worth(self) -> f64 {
        match self {
            Self::Dossier => 3.2,
            Self::Offerte => 2.0,
            Self::Letter => 0.83,
        }
    }

    fn stages(self, rng: &mut Pcg64Mcg) -> Vec<StageWork> {
        if self == Self::Dossier {
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

/// Five servers of each of three services in three zones.
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

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    asked: u32,
    in_time: u32,
    late: u32,
    refused_at_once: u32,
    refused_later: u32,
}

/// Plays 14 s in which `burst` comes `times` as often from 4 s to 10 s on.
fn play(seed: u64, burst: Kind, times: f64) -> Vec<(Kind, Got)> {
    let kinds = [Kind::Dossier, Kind::Offerte, Kind::Letter];
    let mut world = deployment();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut asked: Vec<(Kind, u64)> = Vec::new();
    while world.now_ms < 14_000 {
        for kind in kinds {
            let is_burst = kind == burst && (4_000..10_000).contains(&world.now_ms);
            let rate = kind.rate() * if is_burst { times } else { 1.0 };
            if rng.random_range(0.0..1.0) < rate / 1_000.0 {
                let number = asked.len() as u64;
                asked.push((kind, world.now_ms));
                let stages = kind.stages(&mut rng);
                world.submit(Submission {
                    priority: match kind {
                        Kind::Offerte => 0,
                        Kind::Dossier => 1,
                        Kind::Letter => 2,
                    },
                    ..World::submission(number, stages, kind.goal_ms())
                });
            }
        }
        release_read(&mut world);
        let next_ms = world.now_ms + 1;
        world.run(next_ms);
    }
    for _ in 0..6_000 {
        release_read(&mut world);
        let next_ms = world.now_ms + 1;
        world.run(next_ms);
    }
    let mut got: Vec<(Kind, Got)> = kinds.iter().map(|kind| (*kind, Got::default())).collect();
    for (number, (kind, at_ms)) in asked.into_iter().enumerate() {
        let key = World::key(number as u64);
        let ended = world.outcomes.iter().find(|(_, other, _)| *other == key);
        let (ended_ms, _, outcome) = ended.expect("every request ends");
        let (_, of_kind) = got.iter_mut().find(|(other, _)| *other == kind).unwrap();
        of_kind.asked += 1;
        let took_ms = ended_ms - at_ms + 100;
        match outcome {
            StageOutcome::Ready(_) if took_ms <= kind.goal_ms() => of_kind.in_time += 1,
            StageOutcome::Ready(_) => of_kind.late += 1,
            StageOutcome::Refused { .. } if took_ms <= 101 => of_kind.refused_at_once += 1,
            StageOutcome::Refused { .. } => of_kind.refused_later += 1,
            StageOutcome::Moved { .. } => panic!("nothing is handed over"),
        }
    }
    assert_eq!(world.faults, Vec::<String>::new());
    got
}

/// Frees the results of requests that ended 100 ms ago: their engine has read
/// them by then.
fn release_read(world: &mut World) {
    let now_ms = world.now_ms;
    let read = world.outcomes.iter().rev().take(200);
    let read: Vec<u64> = read
        .filter(|(at_ms, _, _)| at_ms + 100 == now_ms)
        .map(|(_, key, _)| key.number)
        .collect();
    for number in read {
        world.release(number);
    }
}

fn worth_share(got: &[(Kind, Got)]) -> f64 {
    let owed: f64 = got
        .iter()
        .map(|(k, g)| k.worth() * f64::from(g.asked))
        .sum();
    let earned = got
        .iter()
        .map(|(kind, got)| kind.worth() * (f64::from(got.in_time) + 0.15 * f64::from(got.late)));
    earned.sum::<f64>() / owed
}

#[test]
fn on_a_calm_day_nearly_all_are_in_time() {
    for seed in 0..3 {
        let got = play(seed, Kind::Dossier, 1.0);
        assert!(
            worth_share(&got) >= 0.95,
            "{:.3} {got:?}",
            worth_share(&got)
        );
    }
}

/// 2.3 times as many quotations are a little more than full batches carry.
#[test]
fn in_a_burst_of_quotations_those_that_are_taken_are_in_time() {
    for seed in 0..3 {
        let got = play(seed, Kind::Offerte, 2.3);
        assert!(
            worth_share(&got) >= 0.85,
            "{:.3} {got:?}",
            worth_share(&got)
        );
        for (kind, got) in &got {
            let taken = got.in_time + got.late;
            assert!(got.late * 6 <= taken, "{kind:?} {got:?}");
            assert_eq!(got.refused_later, 0, "{kind:?} {got:?}");
        }
    }
}

/// The less urgent give way: of the quotations a larger part is in time.
#[test]
fn in_a_heavy_burst_the_more_urgent_are_served_more_often() {
    for seed in 0..3 {
        let got = play(seed, Kind::Offerte, 3.2);
        let share = |kind: Kind| {
            let (_, got) = got.iter().find(|(other, _)| *other == kind).unwrap();
            f64::from(got.in_time) / f64::from(got.asked)
        };
        assert!(share(Kind::Offerte) >= share(Kind::Letter), "{got:?}");
        assert!(share(Kind::Letter) >= 0.25, "nobody starves: {got:?}");
        assert!(worth_share(&got) >= 0.7, "{:.3} {got:?}", worth_share(&got));
    }
}

/// As soon as a burst is over, new requests are in time again.
#[test]
fn a_burst_leaves_nothing_behind() {
    let got = play(7, Kind::Dossier, 2.4);
    assert!(
        worth_share(&got) >= 0.85,
        "{:.3} {got:?}",
        worth_share(&got)
    );
    let refused: u32 = got.iter().map(|(_, got)| got.refused_later).sum();
    assert_eq!(refused, 0, "{got:?}");
}
