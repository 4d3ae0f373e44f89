//! Retention of stage results until an engine has fetched them.

use savoryvane_core::{forwarding::FetchTimes, ids::PoolName};

#[test]
fn results_are_kept_longer_where_an_engine_missed_them() {
    let (slow, other) = (PoolName::new("slow"), PoolName::new("other"));
    let mut times = FetchTimes::default();
    let first_ms = times.release_after_ms(&slow);
    assert!((20..=100).contains(&first_ms), "{first_ms}");
    for _ in 0..3 {
        times.on_missed(&slow);
    }
    assert!(times.release_after_ms(&slow) >= 4 * first_ms);
    assert_eq!(times.release_after_ms(&other), first_ms);
}

#[test]
fn retention_is_bounded_and_shrinks_again() {
    let service = PoolName::new("engines");
    let mut times = FetchTimes::default();
    let first_ms = times.release_after_ms(&service);
    for _ in 0..100 {
        times.on_missed(&service);
    }
    assert_eq!(times.release_after_ms(&service), 2_000);
    for _ in 0..2_000 {
        times.on_fetched(&service);
    }
    assert_eq!(times.release_after_ms(&service), first_ms);
}

/// For an engine that takes 300 ms to fetch, few results are released too early: the retention
/// settles where about a hundred responses balance one miss.
#[test]
fn the_time_settles_above_what_engines_need() {
    let service = PoolName::new("engines");
    let mut times = FetchTimes::default();
    let mut missed = 0;
    for _ in 0..1_000 {
        if times.release_after_ms(&service) < 300 {
            times.on_missed(&service);
            missed += 1;
        } else {
            times.on_fetched(&service);
        }
    }
    assert!(missed <= 20, "{missed} of 1,000 were missed");
}
