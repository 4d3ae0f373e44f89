//! What callers get in the bursts of the users' days, by counts that repeat
//! exactly.

use savoryvane_bench::stage_load::{self, Got, SIGNS_GROWN, share_of_all};

const DOSSIER: usize = 0;
const OFFERTE: usize = 1;
const LETTER: usize = 2;

fn played() -> Vec<Got> {
    stage_load::play(&SIGNS_GROWN, &stage_load::day_of_bursts(), 1)
}

/// Returns the part of a kind's callers who were refused, came back when they
/// were told to and were refused again.
fn refused_again(got: &Got) -> f64 {
    f64::from(got.refused_again) / f64::from(got.asked)
}

/// Callers of letters, who wait 20 s, were told to come back within the burst in
/// which they were refused: 26 in 100 were refused again.
#[test]
fn who_can_wait_comes_back_when_the_burst_is_over() {
    let got = played();
    assert!(refused_again(&got[LETTER]) <= 0.24, "{got:?}");
    assert!(refused_again(&got[OFFERTE]) <= 0.10, "{got:?}");
}

#[test]
fn bursts_cost_little_more_than_what_full_calls_can_not_carry() {
    let got = played();
    let share = |kind: usize| got[kind].share(&SIGNS_GROWN.kinds[kind]);
    assert!(share_of_all(&SIGNS_GROWN, &got) >= 0.92, "{got:?}");
    assert!(share(DOSSIER) >= 0.97, "{got:?}");
    assert!(share(OFFERTE) >= 0.89, "{got:?}");
    assert!(share(LETTER) >= 0.58, "{got:?}");
}

#[test]
fn who_is_refused_is_told_at_once() {
    for got in played() {
        assert!(got.refused_later * 100 <= got.asked, "{got:?}");
    }
}
