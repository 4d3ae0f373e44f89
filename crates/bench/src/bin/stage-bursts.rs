//! Plays the bursts of the users' days through the scheduler of stages, and
//! prints what callers of each kind get.

use savoryvane_bench::stage_load::{
    self, Day, Got, KindLoad, PORTAL, SIGNS, SIGNS_GROWN, SiteLoad,
};

/// Days that are played of each deployment.
const SEEDS: u64 = 3;

fn main() {
    let days = [
        ("bursts", stage_load::day_of_bursts()),
        ("slow reads", stage_load::day_of_slow_reads()),
    ];
    for (name, day) in &days {
        println!("{name}");
        play(day);
    }
}

fn play(day: &Day) {
    println!("site         kind      asked  in time %  late %  refused again %  share");
    for site in [&SIGNS, &SIGNS_GROWN, &PORTAL] {
        let mut all = vec![Got::default(); site.kinds.len()];
        for seed in 0..SEEDS {
            let got = stage_load::play(site, day, seed);
            for (sum, got) in all.iter_mut().zip(got) {
                sum.asked += got.asked;
                sum.in_time += got.in_time;
                sum.late += got.late;
                sum.refused_again += got.refused_again;
                sum.refused_later += got.refused_later;
            }
        }
        for (kind, got) in site.kinds.iter().zip(&all) {
            print(site, kind, got);
        }
        let share = stage_load::share_of_all(site, &all);
        println!("{:<12} all {share:53.3}", site.name);
    }
}

fn print(site: &SiteLoad, kind: &KindLoad, got: &Got) {
    let percent = |count: u32| 100.0 * f64::from(count) / f64::from(got.asked);
    println!(
        "{:<12} {:<8} {:6}  {:9.1}  {:6.1}  {:15.1}  {:.3}",
        site.name,
        kind.name,
        got.asked,
        percent(got.in_time),
        percent(got.late),
        percent(got.refused_again),
        got.share(kind),
    );
}
