//! Plays bursts of callers who come back through the scheduler of stages, and
//! checks what callers get.

use savoryvane_bench::stage_load::{self, Burst, Day, Got, PORTAL, SiteLoad};

/// Days that are played of each case.
const SEEDS: u64 = 4;

/// Returns the part of the credit owed that callers of all kinds got.
fn share(site: &SiteLoad, day: &Day) -> f64 {
    let mut all = vec![Got::default(); site.kinds.len()];
    for seed in 0..SEEDS {
        for (sum, got) in all.iter_mut().zip(stage_load::play(site, day, seed)) {
            sum.asked += got.asked;
            sum.in_time += got.in_time;
            sum.late += got.late;
        }
    }
    stage_load::share_of_all(site, &all)
}

/// `times` as many requests of one kind for 6 s.
fn burst(kind: usize, times: f64, read_ms: u64) -> Day {
    Day {
        length_ms: 16_000,
        bursts: vec![Burst {
            at_ms: 4_000,
            for_ms: 6_000,
            kind: Some(kind),
            times,
        }],
        read_ms,
        slow_reads: None,
    }
}

/// Results that are kept until the engine has read the prompt, 350 ms, hold the
/// memory that the next ones need; engines have fetched them after 60 ms.
#[test]
fn results_that_are_let_go_early_leave_room_in_a_burst() {
    let kept = share(&PORTAL, &burst(0, 2.8, 350));
    let let_go = share(&PORTAL, &burst(0, 2.8, 60));
    assert!(
        let_go >= kept + 0.04 && let_go >= 0.98,
        "let go {let_go:.3}, kept {kept:.3}"
    );
}

/// Explanations need 6 and 10 pieces of the later services. Inputs that are kept
/// until the pieces are made hold the memory of the service before: 0.968 then.
#[test]
fn inputs_that_are_let_go_when_fetched_leave_room_in_a_burst() {
    let share = share(&PORTAL, &burst(1, 2.8, 60));
    assert!(share >= 0.98, "{share:.3}");
}
