//! Tracks which calls of a run were sent, to prevent non-idempotent calls from
//! running twice.

use crate::outcome::Outcome;

/// Whether a call may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The call may be sent again.
    Idempotent,
    /// The call must not be sent again.
    NonIdempotent,
}

/// The reason why a call that had a permit certainly has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retraction {
    /// No byte of it was written.
    NotWritten,
    /// The backend server refused it.
    Refused,
}

/// The calls of a run that were handed to a socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    ran: bool,
    last_sent_stage: Option<u32>,
    previous_sent_stage: Option<u32>,
}

impl Progress {
    /// Marks a call as sent and returns whether it may be. Stages are sent in
    /// ascending order, so the last one is sufficient.
    pub(crate) fn send(&mut self, stage: u32, kind: CallKind) -> bool {
        match kind {
            CallKind::Idempotent => self.ran = true,
            CallKind::NonIdempotent if self.last_sent_stage.is_some_and(|sent| stage <= sent) => {
                return false;
            }
            CallKind::NonIdempotent => {
                self.previous_sent_stage = self.last_sent_stage;
                self.last_sent_stage = Some(stage);
            }
        }
        true
    }

    /// Retracts the last non-idempotent call.
    pub(crate) fn retract(&mut self, cause: Retraction) {
        self.last_sent_stage = self.previous_sent_stage;
        self.ran |= cause == Retraction::Refused;
    }

    /// Returns whether any call was handed to a socket.
    pub(crate) fn ran(&self) -> bool {
        self.ran || self.may_have_run()
    }

    /// Returns whether a non-idempotent call was handed to a socket and may
    /// have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.last_sent_stage.is_some()
    }

    /// Returns the outcome to report for a run that may have taken effect:
    /// complete or unknown.
    pub(crate) fn reported_outcome(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Complete => Outcome::Complete,
            Outcome::NotRun | Outcome::NotStarted | Outcome::Failed | Outcome::Unknown => {
                Outcome::Unknown
            }
        }
    }
}
