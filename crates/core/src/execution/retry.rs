//! Handles calls without a result: whether and how the stage is retried.

use super::{Attempt, EventContext, Execution, Reason};
use crate::{
    call::RefusalReason,
    decision::{DecisionKind, DecisionReason},
    fleet::{CallEnd, Fault},
};

/// Maximum resumes of a stage that do not count as attempts: each resumed call
/// must have yielded at least `max_tokens` divided by this number.
const MAX_FREE_RESUMES: u32 = 8;

/// Whether a retry counts against the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Charge {
    /// The earlier call was not processed, or this one resumes where it ended,
    /// so no work is repeated.
    Free,
    /// The earlier call reached a backend server.
    Retry,
}

impl Execution {
    pub(super) fn on_not_sent(&mut self, number: u64, context: &mut EventContext<'_>) {
        let Some(attempt) = self.remove_live(number) else {
            return;
        };
        self.calls_sent -= 1;
        self.uncount_possible_effect();
        // A call that was not sent in time is not a fault of the backend
        // server.
        let end = if context.now_ms >= self.latest_start_ms(self.stage_index, context) {
            CallEnd::Abandoned
        } else {
            CallEnd::Failed(Fault::Unreachable)
        };
        context
            .fleet
            .on_call_ended(context.now_ms, &attempt.backend, end);
        let failure = Reason::GivenUp(DecisionReason::NoBackend);
        if self.has_untried_backend(context) {
            self.stage_attempts -= 1;
        }
        self.retry(failure, Charge::Free, context);
    }

    pub(super) fn on_refused(
        &mut self,
        number: u64,
        reason: RefusalReason,
        retry_after_ms: Option<u64>,
        context: &mut EventContext<'_>,
    ) {
        let Some(attempt) = self.remove_live(number) else {
            return;
        };
        if let Some(backoff_ms) = retry_after_ms {
            let backoffs = context.fleet.backoffs();
            backoffs.on_request(context.now_ms, &attempt.backend, backoff_ms);
        }
        self.uncount_possible_effect();
        self.usage_mut().calls += 1;
        context
            .fleet
            .on_call_ended(context.now_ms, &attempt.backend, CallEnd::Refused(reason));
        let stage = self.stage().name.clone();
        let failure = Reason::Refused { stage, reason };
        match reason {
            RefusalReason::BadCall => self.fail(failure, context),
            RefusalReason::Full | RefusalReason::Leaving | RefusalReason::NoModel => {
                self.retry_after_refusal(failure, context);
            }
        }
    }

    /// Retries on an untried backend server, which adds no load. If all tried
    /// servers have refused, asking them again is pointless and the request
    /// fails.
    fn retry_after_refusal(&mut self, failure: Reason, context: &mut EventContext<'_>) {
        self.refusals += 1;
        if !self.live.is_empty() {
            return;
        }
        if self.has_untried_backend(context) {
            self.retry(failure, Charge::Free, context);
        } else if self.refusals < self.stage_attempts {
            self.retry(failure, Charge::Retry, context);
        } else {
            self.fail(failure, context);
        }
    }

    /// Uncounts a call of this stage that certainly has not run.
    pub(super) fn uncount_possible_effect(&mut self) {
        if !self.stage().idempotent {
            self.possible_effects -= 1;
        }
    }

    pub(super) fn on_lost(&mut self, number: u64, context: &mut EventContext<'_>) {
        let Some(attempt) = self.remove_live(number) else {
            return;
        };
        let fault = match attempt.has_token {
            true => Fault::Failing,
            false => Fault::Silent,
        };
        self.record_wasted(&attempt, None, CallEnd::Failed(fault), context);
        let stage = self.stage().name.clone();
        let failure = Reason::Lost { stage };
        if self.stage().idempotent && self.is_worth_resuming(&attempt) {
            self.stage_attempts -= 1;
            return self.retry(failure, Charge::Free, context);
        }
        self.retry_or_fail(failure, context);
    }

    /// Returns whether a call that was cut off made enough progress for
    /// resuming it not to count as an attempt. This bounds the number of such
    /// resumes.
    fn is_worth_resuming(&self, attempt: &Attempt) -> bool {
        let token_count = attempt.next_index - attempt.first_index;
        token_count >= (self.stage().max_tokens / MAX_FREE_RESUMES).max(1)
    }

    /// Retries an idempotent stage; fails the request otherwise, as its call
    /// may have run.
    pub(super) fn retry_or_fail(&mut self, failure: Reason, context: &mut EventContext<'_>) {
        if self.stage().idempotent {
            self.retry(failure, Charge::Retry, context);
        } else {
            self.fail(failure, context);
        }
    }

    pub(super) fn on_silent(&mut self, number: u64, context: &mut EventContext<'_>) {
        let is_idempotent = self.stage().idempotent;
        let Some(attempt) = self.live.iter_mut().find(|live| live.number == number) else {
            return;
        };
        // The event recurs while the silence lasts, as a retry may become
        // affordable meanwhile.
        if !std::mem::replace(&mut attempt.is_silent, true) {
            context
                .fleet
                .on_fault(context.now_ms, &attempt.backend, Fault::Silent);
        }
        if !is_idempotent {
            return;
        }
        let all_silent = self.live.iter().all(|live| live.is_silent);
        if all_silent && self.authorize_retry(Charge::Retry, context).is_ok() {
            self.send(DecisionKind::Retry, context);
        }
    }

    /// Retries the stage at once. The backend server is healthy and the retry
    /// is no sign of load, so neither is charged. A non-idempotent call is not
    /// retried but waited for, as its response may still arrive.
    pub(super) fn on_severed(&mut self, number: u64, context: &mut EventContext<'_>) {
        let is_idempotent = self.stage().idempotent;
        let Some(attempt) = self.live.iter_mut().find(|live| live.number == number) else {
            return;
        };
        attempt.is_silent = true;
        let all_silent = self.live.iter().all(|live| live.is_silent);
        if is_idempotent && all_silent && self.authorize_retry(Charge::Free, context).is_ok() {
            self.send(DecisionKind::Retry, context);
        }
    }

    /// Retries the stage unless another call of it is still running.
    pub(super) fn retry(
        &mut self,
        failure: Reason,
        charge: Charge,
        context: &mut EventContext<'_>,
    ) {
        if !self.live.is_empty() {
            return;
        }
        match self.authorize_retry(charge, context) {
            Ok(()) => self.send(DecisionKind::Retry, context),
            Err(denial) => {
                context.push_action(self.log(DecisionKind::GiveUp, denial));
                self.fail(failure, context);
            }
        }
    }

    pub(super) fn authorize_retry(
        &self,
        charge: Charge,
        context: &mut EventContext<'_>,
    ) -> Result<(), DecisionReason> {
        if context.now_ms >= self.latest_start_ms(self.stage_index, context) {
            Err(DecisionReason::CannotFinish)
        } else if self.stage_attempts >= context.fleet.settings.max_attempts {
            Err(DecisionReason::AttemptsSpent)
        } else if charge == Charge::Retry && !context.fleet.retry_budget.try_spend() {
            Err(DecisionReason::RetryBudgetSpent)
        } else {
            Ok(())
        }
    }
}
