//! Log faults shared by the simulations of claims and of the placer.

/// Outcome of a simulated append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Appended,
    AnswerLost,
    NeverArrived,
    ArrivesLater,
    DoneTwice,
}
