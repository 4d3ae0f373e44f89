//! Detects and hedges calls that make no progress for longer than usual.

use super::{Action, EventContext, Execution, attempt::Attempt, retry::Charge};
use crate::{
    decision::DecisionKind,
    fleet::{CallEnd, Fault, ResponsePhase},
    objects::Objective,
    settings::Hedging,
};

impl Execution {
    /// Marks the calls that have become overdue, and repeats each on another
    /// backend server if allowed.
    pub(super) fn check_overdue(&mut self, context: &mut EventContext<'_>) {
        let due_attempts: Vec<u64> = self
            .live
            .iter()
            .filter(|live| {
                self.due_at_ms(live, context)
                    .is_some_and(|at| at <= context.now_ms)
            })
            .map(|live| live.number)
            .collect();
        for number in due_attempts {
            self.on_overdue(number, context);
        }
    }

    /// Returns the earliest time at which a call becomes overdue.
    pub(super) fn next_due_ms(&self, context: &EventContext<'_>) -> Option<u64> {
        self.live
            .iter()
            .filter_map(|live| self.due_at_ms(live, context))
            .min()
    }

    fn due_at_ms(&self, attempt: &Attempt, context: &EventContext<'_>) -> Option<u64> {
        if attempt.is_overdue {
            return None;
        }
        let timeout_ms = context
            .fleet
            .timeout_ms(&self.stage().pool, attempt.phase())?;
        Some(attempt.last_progress_ms + timeout_ms)
    }

    fn on_overdue(&mut self, number: u64, context: &mut EventContext<'_>) {
        let is_pool_degraded = context.fleet.is_pool_degraded(&self.stage().pool);
        let Some(attempt) = self.live.iter_mut().find(|live| live.number == number) else {
            return;
        };
        attempt.is_overdue = true;
        if is_pool_degraded {
            return;
        }
        context
            .fleet
            .on_fault(context.now_ms, &attempt.backend, Fault::Failing);
        let all_overdue = self.live.iter().all(|live| live.is_overdue);
        let may_hedge = context.fleet.settings.hedging == Hedging::Overdue
            && self.stage().idempotent
            && all_overdue
            && self.has_untried_backend(context)
            && self.authorize_retry(Charge::Retry, context).is_ok();
        if !may_hedge {
            return;
        }
        if self.spec.objective == Objective::Cost {
            self.cancel_attempt(number, context);
        }
        self.send(DecisionKind::Hedge, context);
    }

    /// Cancels one call so that its work is not paid for twice.
    fn cancel_attempt(&mut self, number: u64, context: &mut EventContext<'_>) {
        let Some(attempt) = self.remove_live(number) else {
            return;
        };
        self.record_wasted(&attempt, None, CallEnd::Abandoned, context);
        context.push_action(Action::Cancel {
            call: self.call_id(number),
            backend: attempt.backend,
        });
    }
}

impl Attempt {
    pub(super) fn phase(&self) -> ResponsePhase {
        if self.has_token {
            ResponsePhase::Streaming
        } else {
            ResponsePhase::Waiting
        }
    }
}
