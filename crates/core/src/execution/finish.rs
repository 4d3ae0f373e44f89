//! Ends a request: determines its outcome and when to retry.

use serde_json::Value;

use super::{Action, Completion, EventContext, Execution, Reason, State};
use crate::{
    decision::{Decision, DecisionKind, DecisionReason},
    outcome::Outcome,
    settings::Budgets,
};

impl Execution {
    /// Gives up a request that cannot meet its deadline any more, and keeps the
    /// timer up to date.
    pub(super) fn check_deadline(&mut self, context: &mut EventContext<'_>) {
        if context.now_ms >= self.spec.deadline_at_ms {
            return self.give_up(DecisionReason::DeadlinePassed, context);
        }
        let give_up_at_ms = self.latest_start_ms(self.stage_index + 1, context);
        if context.now_ms >= give_up_at_ms {
            return self.give_up(DecisionReason::CannotFinish, context);
        }
        self.check_overdue(context);
        if self.state != State::Running {
            return;
        }
        let at_ms = self
            .next_due_ms(context)
            .map_or(give_up_at_ms, |due_ms| due_ms.min(give_up_at_ms));
        // A timer that fires too early only causes another check.
        if self.timer_at_ms.is_none_or(|set_ms| at_ms < set_ms) {
            self.timer_at_ms = Some(at_ms);
            context.push_action(Action::SetTimer { at_ms });
        }
    }

    /// Returns the latest time at which a stage can begin for the request to
    /// meet its deadline; the deadline itself for the index after the last
    /// stage.
    pub(super) fn latest_start_ms(&self, stage_index: usize, context: &EventContext<'_>) -> u64 {
        let remaining_stages = match context.fleet.settings.budgets {
            Budgets::AtDeadline => &[],
            Budgets::ByStage => &self.spec.pipeline.stages[stage_index..],
        };
        let needed_ms = context.fleet.fastest_ms(remaining_stages);
        self.spec.deadline_at_ms.saturating_sub(needed_ms)
    }

    /// Handles the disconnect of the caller. A request that may have taken
    /// effect continues, so that a repeat under the same key gets its response.
    pub(super) fn on_caller_gone(&mut self, context: &mut EventContext<'_>) {
        if self.state == State::New {
            self.state = State::Running;
        }
        if !self.may_have_taken_effect() {
            self.give_up(DecisionReason::CallerGone, context);
        }
    }

    /// Ends a quarantined request, before or after part of it was sent. The
    /// request has run under other identifiers, so its outcome is never
    /// `not_run`.
    pub(super) fn on_quarantined(&mut self, retry_after_ms: u64, context: &mut EventContext<'_>) {
        self.spec.earlier_may_have_run = true;
        context.push_action(self.log(DecisionKind::GiveUp, DecisionReason::EndsServers));
        self.abandon_live(context);
        self.refuse(DecisionReason::EndsServers, retry_after_ms, context);
    }

    pub(super) fn give_up(&mut self, reason: DecisionReason, context: &mut EventContext<'_>) {
        context.push_action(self.log(DecisionKind::GiveUp, reason));
        self.fail(Reason::GivenUp(reason), context);
    }

    /// Creates a log action for a decision that chooses no backend server.
    pub(super) fn log(&self, kind: DecisionKind, reason: DecisionReason) -> Action {
        Action::Log(Box::new(Decision {
            kind,
            request: self.spec.request.clone(),
            stage: Some(self.stage().name.clone()),
            attempt: None,
            candidates: Vec::new(),
            choice: None,
            reason,
        }))
    }

    /// Ends the request with a given reason and retry time.
    pub(super) fn refuse(
        &mut self,
        reason: DecisionReason,
        retry_after_ms: u64,
        context: &mut EventContext<'_>,
    ) {
        let completion = Completion {
            outcome: self.failed_outcome(),
            reason: Some(Reason::GivenUp(reason)),
            output: None,
            retry_after_ms: Some(retry_after_ms),
            stages: Vec::new(),
        };
        self.finish(completion, context);
    }

    /// Ends the request without a response.
    pub(super) fn fail(&mut self, reason: Reason, context: &mut EventContext<'_>) {
        let outcome = self.failed_outcome();
        let wait_us = match reason {
            Reason::Refused { .. } => context
                .fleet
                .pool_wait_us(context.now_ms, &self.stage().pool),
            _ => 0,
        };
        let retry_after_ms = outcome
            .is_safe_to_repeat()
            .then(|| context.fleet.retry_after_ms(context.now_ms, wait_us));
        self.abandon_live(context);
        if !self.usage.is_empty() {
            self.usage_mut().elapsed_us = self.stage_elapsed_us(context.now_ms);
        }
        let completion = Completion {
            outcome,
            reason: Some(reason),
            output: None,
            retry_after_ms,
            stages: Vec::new(),
        };
        self.finish(completion, context);
    }

    pub(super) fn complete(&mut self, output: Value, context: &mut EventContext<'_>) {
        let completion = Completion {
            outcome: Outcome::Complete,
            reason: None,
            output: Some(output),
            retry_after_ms: None,
            stages: Vec::new(),
        };
        self.finish(completion, context);
    }

    fn finish(&mut self, mut completion: Completion, context: &mut EventContext<'_>) {
        self.state = State::Finished;
        let is_wasted = completion.outcome != Outcome::Complete;
        for usage in &self.usage {
            context.fleet.costs.record(
                &self.spec.workspace,
                &self.spec.pipeline.name,
                usage,
                is_wasted,
            );
        }
        completion.stages = std::mem::take(&mut self.usage);
        context.push_action(Action::Finish(Box::new(completion)));
    }

    /// Returns the outcome of a request that ends without a response.
    fn failed_outcome(&self) -> Outcome {
        if self.possible_effects > 0 {
            Outcome::Unknown
        } else if self.calls_sent > 0 {
            Outcome::Failed
        } else if self.spec.earlier_may_have_run {
            Outcome::NotStarted
        } else {
            Outcome::NotRun
        }
    }
}
