//! Compares ways to inform other instances of the software version at which a stream began.

use savoryvane_bench::record_load::{Loss, Outcome, Way, play};

/// Sizes of fleets, with their numbers of availability zones.
const FLEETS: [(usize, usize); 4] = [(7, 4), (300, 5), (570, 3), (1_000, 5)];
const SEEDS: std::ops::Range<u64> = 1..4;

fn main() {
    println!("instances  loss  way              found of   %  B/s mean  most  queries  delay ms");
    for (instances, zones) in FLEETS {
        for loss in [Loss::Few, Loss::Zone, Loss::Most] {
            for way in [
                Way::AskedOfAll,
                Way::ToldToAll,
                Way::Keepers,
                Way::KeepersAwaited,
            ] {
                print_row(way, loss, instances, zones);
            }
        }
    }
}

fn print_row(way: Way, loss: Loss, instances: usize, zones: usize) {
    let outcomes: Vec<Outcome> = SEEDS
        .map(|seed| play(way, loss, instances, zones, seed))
        .collect();
    let count = outcomes.len() as f64;
    let mean = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / count;
    let known: usize = outcomes.iter().map(|outcome| outcome.known).sum();
    let taken_up: usize = outcomes.iter().map(|outcome| outcome.taken_up).sum();
    println!(
        "{instances:9}  {:4}  {:14}  {known:6} {taken_up:5} {:3.0}  {:8.0} {:5.0}  {:7}  {:8.1}",
        format!("{loss:?}"),
        format!("{way:?}"),
        100.0 * known as f64 / taken_up.max(1) as f64,
        mean(|outcome| outcome.mean_bytes_per_s),
        mean(|outcome| outcome.most_bytes_per_s),
        outcomes[0].queries,
        mean(|outcome| outcome.delay_ms),
    );
}
