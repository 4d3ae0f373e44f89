//! How far the calls of a run went that may not be run again.

use crate::outcome::Outcome;

/// Whether a call may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It may.
    Idempotent,
    /// It may not.
    NonIdempotent,
}

/// Why a call that had a permit certainly has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retraction {
    /// Not one byte of it was written.
    NotWritten,
    /// The backend server refused it.
    Refused,
}

/// Calls that were handed to a socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    ran: bool,
    sent_stage: Option<u32>,
    sent_before: Option<u32>,
}

impl Progress {
    /// Marks a call as sent; `false` when it may not be. Stages go up, so the
    /// last one tells for all.
    pub(crate) fn send(&mut self, stage: u32, kind: CallKind) -> bool {
        match kind {
            CallKind::Idempotent => self.ran = true,
            CallKind::NonIdempotent if self.sent_stage.is_some_and(|sent| stage <= sent) => {
                return false;
            }
            CallKind::NonIdempotent => {
                self.sent_before = self.sent_stage;
                self.sent_stage = Some(stage);
            }
        }
        true
    }

    /// Takes back the last non-idempotent call.
    pub(crate) fn retract(&mut self, cause: Retraction) {
        self.sent_stage = self.sent_before;
        self.ran |= cause == Retraction::Refused;
    }

    /// Tells whether any call was handed to a socket.
    pub(crate) fn ran(&self) -> bool {
        self.ran || self.may_have_run()
    }

    /// Tells whether a non-idempotent call was handed to a socket and may have
    /// run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent_stage.is_some()
    }

    /// Returns what to tell of a run that may have taken effect: that it is
    /// complete, or that it is unknown.
    pub(crate) fn told(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Complete => Outcome::Complete,
            Outcome::NotRun | Outcome::NotStarted | Outcome::Failed | Outcome::Unknown => {
                Outcome::Unknown
            }
        }
    }
}
