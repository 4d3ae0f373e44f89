//! Outcomes of log appends, shared by the simulations of claims and of the placer.

/// Outcome of a simulated append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    Appended,
    AnswerLost,
    NeverArrived,
    ArrivesLater,
    DoneTwice,
}
