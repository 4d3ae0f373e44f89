//! Confirmation of a plan. The change is appended and then decided from the record
//! that is read back.

use crate::{
    change::Change,
    config::{HistoryEntry, InvalidReason, State, Verdict, change_id, plan::to_json},
    ids::Offset,
    objects::ObjectKey,
};

/// Time to wait for an appended change to be read back before it is appended again,
/// in ms. Repeated appends are harmless.
pub const READ_BACK_MS: u64 = 1_500;
/// Pause after a refused append, in ms.
const APPEND_RETRY_MS: u64 = 200;

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The log returned an offset.
    Appended,
    /// The log was unreachable or refused the append, which had no effect.
    Refused,
    /// The response was lost, and the append may have taken effect.
    Unanswered,
}

/// Outcome of a confirmation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// The change is in force from `offset` on.
    InForce {
        /// Offset of its record.
        offset: Offset,
    },
    /// A conflicting change was applied first.
    Conflict {
        /// Offset of the rejected record.
        offset: Offset,
        /// The first objects that were changed in between, limited in number.
        touched: Vec<ObjectKey>,
    },
    /// The change or its result is not valid.
    Invalid {
        /// The first reasons, limited in number.
        reasons: Vec<InvalidReason>,
    },
    /// The plan is too old.
    TooOld,
    /// The log could not be reached, and the change was not appended.
    NotAppended,
    /// The change may be on the log, but was not read back in time. Confirming the
    /// same plan again is harmless and returns its outcome.
    Undecided,
}

/// Next step of a confirmation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfirmStep {
    /// Append the change and pass the result to [`Confirm::on_append`].
    Append,
    /// Call [`Confirm::poll`] again when the state has advanced, but no later than
    /// this time, in ms.
    WaitUntil(u64),
    /// The confirmation has ended.
    Done(ConfirmOutcome),
}

/// State machine of one confirmation.
#[derive(Clone, Debug)]
pub struct Confirm {
    change: Change,
    deadline_ms: u64,
    is_appending: bool,
    next_append_at_ms: u64,
    may_be_appended: bool,
}

impl Confirm {
    /// Starts the confirmation of `change`, which ends at `deadline_ms` at the latest.
    pub fn new(change: Change, deadline_ms: u64) -> Self {
        Self {
            change,
            deadline_ms,
            is_appending: false,
            next_append_at_ms: 0,
            may_be_appended: false,
        }
    }

    /// Returns the change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Handles the result of the append.
    pub fn on_append(&mut self, now_ms: u64, result: AppendResult) {
        self.is_appending = false;
        let pause_ms = match result {
            AppendResult::Appended | AppendResult::Unanswered => {
                self.may_be_appended = true;
                READ_BACK_MS
            }
            AppendResult::Refused => APPEND_RETRY_MS,
        };
        self.next_append_at_ms = now_ms + pause_ms;
    }

    /// Returns the next step according to `state`.
    pub fn poll(&mut self, now_ms: u64, state: &State) -> ConfirmStep {
        if let Some(reason) = find_defect(&self.change) {
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
        if now_ms >= self.next_append_at_ms {
            self.is_appending = true;
            return ConfirmStep::Append;
        }
        ConfirmStep::WaitUntil(self.next_append_at_ms.min(self.deadline_ms))
    }

    fn give_up(&self) -> ConfirmOutcome {
        if self.may_be_appended || self.is_appending {
            ConfirmOutcome::Undecided
        } else {
            ConfirmOutcome::NotAppended
        }
    }
}

fn find_defect(change: &Change) -> Option<InvalidReason> {
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
