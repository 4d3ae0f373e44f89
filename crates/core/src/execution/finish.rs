//! The end of a request: which outcome is true, and when to come back.

use serde_json::Value;

use super::{Action, Completion, Execution, Reason, State, Turn};
use crate::{
    decision::{Decision, DecisionKind, DecisionReason},
    outcome::Outcome,
    settings::Budgets,
};

impl Execution {
    /// Gives up a request whose time has run out, and keeps the timer set.
    pub(super) fn check_time(&mut self, turn: &mut Turn<'_>) {
        if turn.now_ms >= self.spec.deadline_at_ms {
            return self.give_up(DecisionReason::DeadlinePassed, turn);
        }
        let hopeless_at_ms = self.latest_ms(self.stage_index + 1, turn);
        if turn.now_ms >= hopeless_at_ms {
            return self.give_up(DecisionReason::CannotFinish, turn);
        }
        self.check_overdue(turn);
        if self.state != State::Running {
            return;
        }
        let at_ms = self
            .next_due_ms(turn)
            .map_or(hopeless_at_ms, |due_ms| due_ms.min(hopeless_at_ms));
        // A timer that comes too early only looks again.
        if self.timer_at_ms.is_none_or(|set_ms| at_ms < set_ms) {
            self.timer_at_ms = Some(at_ms);
            turn.act(Action::SetTimer { at_ms });
        }
    }

    /// Returns the latest time at which a stage can begin and the request still
    /// be answered; the deadline for the stage after the last.
    pub(super) fn latest_ms(&self, stage_index: usize, turn: &Turn<'_>) -> u64 {
        let later = match turn.fleet.settings.budgets {
            Budgets::WholeOnly => &[],
            Budgets::ByStage => &self.spec.pipeline.stages[stage_index..],
        };
        let needed_ms = turn.fleet.fastest_ms(later);
        self.spec.deadline_at_ms.saturating_sub(needed_ms)
    }

    /// The caller has gone. What may take effect runs on, so that a repeat
    /// under the same key gets its answer.
    pub(super) fn on_caller_gone(&mut self, turn: &mut Turn<'_>) {
        if self.state == State::New {
            self.state = State::Running;
        }
        if !self.may_have_taken_effect() {
            self.give_up(DecisionReason::CallerGone, turn);
        }
    }

    /// Ends a request that is quarantined, before or after something of it was sent. It has
    /// run under other identifiers, so that it is never told as not run.
    pub(super) fn on_quarantined(&mut self, retry_after_ms: u64, turn: &mut Turn<'_>) {
        self.spec.earlier_may_have_run = true;
        turn.act(self.log(DecisionKind::GiveUp, DecisionReason::EndsServers));
        self.abandon_live(turn);
        self.refuse(DecisionReason::EndsServers, retry_after_ms, turn);
    }

    pub(super) fn give_up(&mut self, reason: DecisionReason, turn: &mut Turn<'_>) {
        turn.act(self.log(DecisionKind::GiveUp, reason));
        self.fail(Reason::GivenUp(reason), turn);
    }

    /// Logs a decision that chooses no backend server.
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

    /// Refuses the request before anything of it was sent.
    pub(super) fn refuse(
        &mut self,
        reason: DecisionReason,
        retry_after_ms: u64,
        turn: &mut Turn<'_>,
    ) {
        let completion = Completion {
            outcome: self.failed_outcome(),
            reason: Some(Reason::GivenUp(reason)),
            output: None,
            retry_after_ms: Some(retry_after_ms),
            stages: Vec::new(),
        };
        self.finish(completion, turn);
    }

    /// Ends the request without an answer, now.
    pub(super) fn fail(&mut self, reason: Reason, turn: &mut Turn<'_>) {
        let outcome = self.failed_outcome();
        let wait_us = match reason {
            Reason::Refused { .. } => turn.fleet.pool_wait_us(turn.now_ms, &self.stage().pool),
            _ => 0,
        };
        let retry_after_ms = outcome
            .is_safe_to_repeat()
            .then(|| turn.fleet.retry_after_ms(turn.now_ms, wait_us));
        self.abandon_live(turn);
        if !self.usage.is_empty() {
            self.usage_mut().elapsed_us = self.stage_elapsed_us(turn.now_ms);
        }
        let completion = Completion {
            outcome,
            reason: Some(reason),
            output: None,
            retry_after_ms,
            stages: Vec::new(),
        };
        self.finish(completion, turn);
    }

    pub(super) fn complete(&mut self, output: Value, turn: &mut Turn<'_>) {
        let completion = Completion {
            outcome: Outcome::Complete,
            reason: None,
            output: Some(output),
            retry_after_ms: None,
            stages: Vec::new(),
        };
        self.finish(completion, turn);
    }

    fn finish(&mut self, mut completion: Completion, turn: &mut Turn<'_>) {
        self.state = State::Finished;
        let is_wasted = completion.outcome != Outcome::Complete;
        for usage in &self.usage {
            turn.fleet.costs.book(
                &self.spec.workspace,
                &self.spec.pipeline.name,
                usage,
                is_wasted,
            );
        }
        completion.stages = std::mem::take(&mut self.usage);
        turn.act(Action::Finish(Box::new(completion)));
    }

    /// Says what is true of a request that ends without an answer.
    fn failed_outcome(&self) -> Outcome {
        if self.maybe_effective > 0 {
            Outcome::Unknown
        } else if self.handed_over > 0 {
            Outcome::Failed
        } else if self.spec.earlier_may_have_run {
            Outcome::NotStarted
        } else {
            Outcome::NotRun
        }
    }
}
