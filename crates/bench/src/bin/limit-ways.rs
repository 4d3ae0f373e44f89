//! Weighs ways in which instances can keep the limit of a server together, side by side.
//! Prints a line for each load and way.

use savoryvane_bench::limit_load::{LimitLoad, Way, allowed, play};

const WAYS: [Way; 4] = [Way::Alone, Way::EqualPart, Way::Owners, Way::OnePlace];
const SEEDS: u64 = 3;

/// What happens beside the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Nothing,
    /// A third is cut off for 20 s.
    Cut,
    /// Half start again.
    Restart,
    /// A third has left and is still listed.
    Left,
    /// All servers name the limit.
    AllLimited,
}

const EVENTS: [Event; 5] = [
    Event::Nothing,
    Event::Cut,
    Event::Restart,
    Event::Left,
    Event::AllLimited,
];

fn main() {
    println!(
        "| instances | limit a second | beside | way | worst 4 s (allowed) | of all | part of the \
         limit used | served at once | home after the end | messages |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (instances, servers) in [(9, 18), (78, 60), (570, 200)] {
        for limit_per_s in [0.5, 1.0, 4.0] {
            for event in EVENTS {
                for way in WAYS {
                    weigh(instances, servers, limit_per_s, event, way);
                }
            }
        }
    }
}

fn weigh(instances: usize, servers: usize, limit_per_s: f64, event: Event, way: Way) {
    let limited = match event {
        Event::AllLimited => servers,
        _ => servers / 6,
    };
    let outcomes: Vec<_> = (0..SEEDS)
        .map(|seed| {
            let load = LimitLoad {
                instances,
                left: if event == Event::Left {
                    instances / 3
                } else {
                    0
                },
                servers,
                limited,
                limit_per_s,
                per_server_s: 2.0 * limit_per_s,
                named_ms: 40_000,
                length_ms: 60_000,
                cut_ms: (event == Event::Cut).then_some((10_000, 30_000)),
                restart_ms: (event == Event::Restart).then_some(20_000),
                seed,
            };
            play(load, way)
        })
        .collect();
    let mean = |value: fn(&savoryvane_bench::limit_load::Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
    };
    let worst = outcomes.iter().map(|outcome| outcome.worst).max();
    let worst_of_all = outcomes.iter().map(|outcome| outcome.worst_of_all).max();
    println!(
        "| {instances} | {limit_per_s} | {event:?} | {way:?} | {} ({:.0}) | {} | {:.2} | {:.3} | \
         {:.2} | {:.0} |",
        worst.unwrap_or_default(),
        allowed(limit_per_s),
        worst_of_all.unwrap_or_default(),
        mean(|outcome| outcome.used),
        mean(|outcome| outcome.served),
        mean(|outcome| outcome.home_again),
        mean(|outcome| outcome.messages as f64),
    );
}
