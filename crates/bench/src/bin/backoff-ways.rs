//! Weighs whose requests the backoff of a server keeps from it, side by side. Prints a line
//! for each load and way.

use savoryvane_bench::backoff_load::{BackoffLoad, Outcome, Shedding, Way, play};

const WAYS: [Way; 4] = [Way::Ignored, Way::Asked, Way::Shared, Way::PassedOver];
const SEEDS: u64 = 3;

fn main() {
    println!(
        "| instances | servers | rejecting | what | backoff | way | served | rejected sends a \
         second and server | sent again | capacity used |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (instances, servers) in [(9, 18), (78, 60), (570, 200)] {
        for kind in [Shedding::Everything, Shedding::Excess] {
            for shedding in [servers / 6, servers] {
                for backoff_ms in [1_000, 3_000] {
                    for way in WAYS {
                        let load = BackoffLoad {
                            instances,
                            servers,
                            shedding,
                            kind,
                            backoff_ms,
                            length_ms: 20_000,
                            seed: 0,
                        };
                        weigh(load, way);
                    }
                }
            }
        }
    }
}

fn weigh(load: BackoffLoad, way: Way) {
    let outcomes = (0..SEEDS).map(|seed| play(BackoffLoad { seed, ..load }, way));
    let outcomes: Vec<Outcome> = outcomes.collect();
    let mean = |part: fn(&Outcome) -> f64| {
        let sum: f64 = outcomes.iter().map(part).sum();
        sum / outcomes.len() as f64
    };
    let used = match load.kind {
        Shedding::Everything => "-".to_owned(),
        Shedding::Excess => format!("{:.2}", mean(|outcome| outcome.used)),
    };
    println!(
        "| {} | {} | {} | {:?} | {} s | {way:?} | {:.3} | {:.2} | {:.3} | {used} |",
        load.instances,
        load.servers,
        load.shedding,
        load.kind,
        load.backoff_ms / 1_000,
        mean(|outcome| outcome.served),
        mean(|outcome| outcome.rejected_per_s),
        mean(|outcome| outcome.repeated),
    );
}
