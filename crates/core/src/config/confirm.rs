//! Confirming a plan: appended, then decided from the record read back.

use crate::{
    change::Change,
    config::{HistoryEntry, InvalidReason, State, Verdict, change_id, plan::to_json},
    ids::Offset,
    objects::ObjectKey,
};

/// Time for an appended change to be read back before it is appended again,
/// which is harmless, in ms.
pub const READ_BACK_MS: u64 = 1_500;
/// Pause after a refused append, in ms.
const APPEND_RETRY_MS: u64 = 200;

/// What came of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The log answered with an offset.
    Appended,
    /// The log was not reached or refused; nothing took effect.
    Refused,
    /// The answer was lost; it may have taken effect.
    Unanswered,
}

/// How a confirm ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// The change is in force from `offset` on.
    InForce {
        /// Offset of its record.
        offset: Offset,
    },
    /// Another change came first.
    Conflict {
        /// Offset of its record.
        offset: Offset,
        /// The first objects that were changed in between.
        touched: Vec<ObjectKey>,
    },
    /// The change or its result is not valid.
    Invalid {
        /// The first reasons.
        reasons: Vec<InvalidReason>,
    },
    /// The plan is too old.
    TooOld,
    /// The log could not be reached; the change was not appended.
    NotAppended,
    /// The change may be on the log, but was not read back in time. Confirming
    /// the same plan again is harmless and tells.
    Undecided,
}

/// What a confirm waits for or wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfirmStep {
    /// Append the change and report the result by [`Confirm::on_append`].
    Append,
    /// Ask again by [`Confirm::poll`] when the state has advanced, at this
    /// time at the latest.
    WaitUntil(u64),
    /// It is over.
    Done(ConfirmOutcome),
}

/// Carries one confirm to its end.
#[derive(Clone, Debug)]
pub struct Confirm {
    change: Change,
    deadline_ms: u64,
    is_appending: bool,
    append_at_ms: u64,
    may_be_appended: bool,
}

impl Confirm {
    /// Starts confirming `change`, to be over at `deadline_ms`.
    pub fn new(change: Change, deadline_ms: u64) -> Self {
        Self {
            change,
            deadline_ms,
            is_appending: false,
            append_at_ms: 0,
            may_be_appended: false,
        }
    }

    /// Returns the change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Notes what came of the append.
    pub fn on_append(&mut self, now_ms: u64, result: AppendResult) {
        self.is_appending = false;
        let pause_ms = match result {
            AppendResult::Appended | AppendResult::Unanswered => {
                self.may_be_appended = true;
                READ_BACK_MS
            }
            AppendResult::Refused => APPEND_RETRY_MS,
        };
        self.append_at_ms = now_ms + pause_ms;
    }

    /// Decides by `state` what comes next.
    pub fn poll(&mut self, now_ms: u64, state: &State) -> ConfirmStep {
        if let Some(reason) = unfit(&self.change) {
            let reasons = vec![reason];
            return ConfirmStep::Done(ConfirmOutcome::Invalid { reasons });
        }
        if let Some(entry) = state.decision(&self.change.id) {
            return ConfirmStep::Done(outcome(entry));
        }
        if now_ms >= self.deadline_ms {
            return ConfirmStep::Done(self.give_up());
        }
        if self.is_appending {
            return ConfirmStep::WaitUntil(self.deadline_ms);
        }
        if now_ms >= self.append_at_ms {
            self.is_appending = true;
            return ConfirmStep::Append;
        }
        ConfirmStep::WaitUntil(self.append_at_ms.min(self.deadline_ms))
    }

    fn give_up(&self) -> ConfirmOutcome {
        if self.may_be_appended || self.is_appending {
            ConfirmOutcome::Undecided
        } else {
            ConfirmOutcome::NotAppended
        }
    }
}

fn unfit(change: &Change) -> Option<InvalidReason> {
    let id = change_id(change.base, &change.operator, &change.ops);
    if id != change.id {
        return Some(InvalidReason::IdMismatch);
    }
    (to_json(change).len() > super::MAX_CHANGE_BYTES).then_some(InvalidReason::TooLarge)
}

fn outcome(entry: &HistoryEntry) -> ConfirmOutcome {
    let offset = entry.offset;
    match entry.verdict.clone() {
        Verdict::InForce => ConfirmOutcome::InForce { offset },
        Verdict::Conflict { touched } => ConfirmOutcome::Conflict { offset, touched },
        Verdict::Invalid { reasons } => ConfirmOutcome::Invalid { reasons },
        Verdict::TooOld => ConfirmOutcome::TooOld,
    }
}
