//! Calls that did not answer: whether and how the stage is repeated.

use super::{Attempt, Execution, Reason, Turn};
use crate::{
    call::RefusalReason,
    decision::{DecisionKind, DecisionReason},
    fleet::{CallEnd, Fault},
};

/// Times that a stage is resumed beside its attempts, at most: each has given
/// this part of its tokens.
const MOST_RESUMES: u32 = 8;

/// Whether a repeat counts against the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Charge {
    /// The earlier call was not worked on, or this one goes on where it ended, so
    /// that no work is done again.
    Free,
    /// The earlier call reached a backend server.
    Retry,
}

impl Execution {
    pub(super) fn on_not_sent(&mut self, number: u64, turn: &mut Turn<'_>) {
        let Some(attempt) = self.take_live(number) else {
            return;
        };
        self.handed_over -= 1;
        self.take_back_effect();
        // Past its time the call was not sent for a reason of this instance.
        let end = if turn.now_ms >= self.latest_ms(self.stage_index, turn) {
            CallEnd::Abandoned
        } else {
            CallEnd::Failed(Fault::Unreachable)
        };
        turn.fleet.on_call_ended(turn.now_ms, &attempt.backend, end);
        let why = Reason::GivenUp(DecisionReason::NoBackend);
        if self.can_go_elsewhere(turn) {
            self.stage_attempts -= 1;
        }
        self.try_again(why, Charge::Free, turn);
    }

    pub(super) fn on_refused(
        &mut self,
        number: u64,
        reason: RefusalReason,
        retry_after_ms: Option<u64>,
        turn: &mut Turn<'_>,
    ) {
        let Some(attempt) = self.take_live(number) else {
            return;
        };
        if let Some(backoff_ms) = retry_after_ms {
            let backoffs = turn.fleet.backoffs();
            backoffs.on_request(turn.now_ms, &attempt.backend, backoff_ms);
        }
        self.take_back_effect();
        self.usage_mut().calls += 1;
        turn.fleet
            .on_call_ended(turn.now_ms, &attempt.backend, CallEnd::Refused(reason));
        let stage = self.stage().name.clone();
        let why = Reason::Refused { stage, reason };
        match reason {
            RefusalReason::BadCall => self.fail(why, turn),
            RefusalReason::Full | RefusalReason::Leaving | RefusalReason::NoModel => {
                self.after_refusal(why, turn);
            }
        }
    }

    /// Moves on to a backend server that has not been tried, which adds no load.
    /// When all that were tried have refused, it would be no use to ask again.
    fn after_refusal(&mut self, why: Reason, turn: &mut Turn<'_>) {
        self.refusals += 1;
        if !self.live.is_empty() {
            return;
        }
        if self.can_go_elsewhere(turn) {
            self.try_again(why, Charge::Free, turn);
        } else if self.refusals < self.stage_attempts {
            self.try_again(why, Charge::Retry, turn);
        } else {
            self.fail(why, turn);
        }
    }

    /// Notes that a call of this stage has certainly not run.
    pub(super) fn take_back_effect(&mut self) {
        if !self.stage().idempotent {
            self.maybe_effective -= 1;
        }
    }

    pub(super) fn on_lost(&mut self, number: u64, turn: &mut Turn<'_>) {
        let Some(attempt) = self.take_live(number) else {
            return;
        };
        let fault = match attempt.has_begun {
            true => Fault::Failing,
            false => Fault::Silent,
        };
        self.book_wasted(&attempt, None, CallEnd::Failed(fault), turn);
        let stage = self.stage().name.clone();
        let why = Reason::Lost { stage };
        if self.stage().idempotent && self.is_worth_resuming(&attempt) {
            self.stage_attempts -= 1;
            return self.try_again(why, Charge::Free, turn);
        }
        self.after_failure(why, turn);
    }

    /// Tells whether a call that was cut off has brought the stage so far that
    /// to go on from there is no repeat. There can only be a few such calls.
    fn is_worth_resuming(&self, attempt: &Attempt) -> bool {
        let gained = attempt.next_index - attempt.first_index;
        gained >= (self.stage().max_tokens / MOST_RESUMES).max(1)
    }

    /// A stage that may not be repeated ends here: its call may have run.
    pub(super) fn after_failure(&mut self, why: Reason, turn: &mut Turn<'_>) {
        if self.stage().idempotent {
            self.try_again(why, Charge::Retry, turn);
        } else {
            self.fail(why, turn);
        }
    }

    pub(super) fn on_silent(&mut self, number: u64, turn: &mut Turn<'_>) {
        let is_idempotent = self.stage().idempotent;
        let Some(attempt) = self.live.iter_mut().find(|live| live.number == number) else {
            return;
        };
        // It is told again while it lasts, when a retry may have been earned.
        if !std::mem::replace(&mut attempt.is_silent, true) {
            turn.fleet
                .on_bad_answer(turn.now_ms, &attempt.backend, Fault::Silent);
        }
        if !is_idempotent {
            return;
        }
        let is_alone = self.live.iter().all(|live| live.is_silent);
        if is_alone && self.may_repeat(Charge::Retry, turn).is_ok() {
            self.send(DecisionKind::Retry, turn);
        }
    }

    /// Repeats the stage at once. The backend server is well and the repeat is
    /// no sign of load, so neither is charged; a call that may not be repeated
    /// is waited for, in case that its answer comes after all.
    pub(super) fn on_severed(&mut self, number: u64, turn: &mut Turn<'_>) {
        let is_idempotent = self.stage().idempotent;
        let Some(attempt) = self.live.iter_mut().find(|live| live.number == number) else {
            return;
        };
        attempt.is_silent = true;
        let is_alone = self.live.iter().all(|live| live.is_silent);
        if is_idempotent && is_alone && self.may_repeat(Charge::Free, turn).is_ok() {
            self.send(DecisionKind::Retry, turn);
        }
    }

    /// Repeats the stage elsewhere unless another call of it is still running.
    pub(super) fn try_again(&mut self, why: Reason, charge: Charge, turn: &mut Turn<'_>) {
        if !self.live.is_empty() {
            return;
        }
        match self.may_repeat(charge, turn) {
            Ok(()) => self.send(DecisionKind::Retry, turn),
            Err(limit) => {
                turn.act(self.log(DecisionKind::GiveUp, limit));
                self.fail(why, turn);
            }
        }
    }

    pub(super) fn may_repeat(
        &self,
        charge: Charge,
        turn: &mut Turn<'_>,
    ) -> Result<(), DecisionReason> {
        if turn.now_ms >= self.latest_ms(self.stage_index, turn) {
            Err(DecisionReason::CannotFinish)
        } else if self.stage_attempts >= turn.fleet.settings.max_attempts {
            Err(DecisionReason::AttemptsSpent)
        } else if charge == Charge::Retry && !turn.fleet.retry_budget.try_spend() {
            Err(DecisionReason::RetryBudgetSpent)
        } else {
            Ok(())
        }
    }
}
