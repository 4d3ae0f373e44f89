//! Faults of the log that the worlds of claims and of the placer share.

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    Appended,
    AnswerLost,
    NeverArrived,
    ArrivesLater,
    DoneTwice,
}
