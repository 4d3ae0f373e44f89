//! The attempts at a stage: sending, events and repeats.

use serde_json::Value;

use super::{Action, DiscardReason, Execution, Reason, State, Turn, stream::TokenPlace};
use crate::{
    call::{CallId, RefusalReason, StageCall, StageEvent},
    cost::{StageUsage, cost_micros},
    decision::{Decision, DecisionKind, DecisionReason},
    fleet::{AdmitQuery, Admitted, CallEnd, Fault, Progress, RouteQuery, Routed},
    ids::BackendName,
    objects::{Stage, StageKind},
};

const US_PER_MS: u64 = 1_000;

/// A call that may still answer.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u64,
    pub(crate) backend: BackendName,
    pub(crate) sent_at_ms: u64,
    /// Index of the token that this call gives next.
    pub(crate) next_index: u32,
    pub(crate) is_silent: bool,
    /// Time of its last sign of life, or of its sending, in ms.
    pub(crate) progress_at_ms: u64,
    /// Whether a token of it has come.
    pub(crate) has_begun: bool,
    pub(crate) is_overdue: bool,
}

/// Whether a repeat counts against the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Charge {
    /// The earlier call reached nobody, so that this one adds no load.
    Free,
    /// The earlier call reached a backend server.
    Retry,
}

impl Execution {
    pub(super) fn start(&mut self, turn: &mut Turn<'_>) {
        self.state = State::Running;
        if turn.now_ms >= self.spec.deadline_at_ms {
            return self.give_up(DecisionReason::DeadlinePassed, turn);
        }
        let admitted = self.admit(turn);
        if let Admitted::No {
            reason,
            retry_after_ms,
        } = admitted
        {
            return self.refuse(reason, retry_after_ms, turn);
        }
        self.begin_stage(turn);
    }

    fn admit(&self, turn: &mut Turn<'_>) -> Admitted {
        let time_left_ms = self.spec.deadline_at_ms.saturating_sub(turn.now_ms);
        let query = AdmitQuery {
            workspace: &self.spec.workspace,
            pipeline: &self.spec.pipeline,
            objective: self.spec.objective,
            time_left_us: time_left_ms * US_PER_MS,
        };
        let admitted = turn.fleet.admit(turn.now_ms, &query);
        let reason = match admitted {
            Admitted::Yes => DecisionReason::Fits,
            Admitted::No { reason, .. } => reason,
        };
        turn.act(self.log(DecisionKind::Admission, reason));
        admitted
    }

    pub(super) fn begin_stage(&mut self, turn: &mut Turn<'_>) {
        self.stage_started_ms = turn.now_ms;
        self.stage_attempts = 0;
        self.refusals = 0;
        self.tried.clear();
        self.stream.clear();
        self.usage.push(StageUsage::new(self.stage().name.clone()));
        turn.fleet.retry_budget.on_first_attempt();
        self.send(DecisionKind::Route, turn);
    }

    /// Tells whether a backend server that has not been tried would take it.
    pub(super) fn can_go_elsewhere(&self, turn: &Turn<'_>) -> bool {
        let stage = self.stage();
        turn.fleet
            .has_untried(turn.now_ms, &self.route_query(stage))
    }

    fn route_query<'a>(&'a self, stage: &'a Stage) -> RouteQuery<'a> {
        RouteQuery {
            pool: &stage.pool,
            model: stage.model.as_ref(),
            tried: &self.tried,
            prefix: self.spec.prefix.filter(|_| stage.max_tokens > 0),
            idempotent: stage.idempotent,
            objective: self.spec.objective,
        }
    }

    /// Chooses a backend server and sends the stage's call there.
    pub(super) fn send(&mut self, kind: DecisionKind, turn: &mut Turn<'_>) {
        let stage = self.stage();
        let routed = turn.fleet.route(turn.now_ms, &self.route_query(stage));
        let stage_kind = turn.fleet.pool(&stage.pool).map(|known| known.pool.kind);
        let choice = routed.choice.clone();
        let reason = routed.reason;
        turn.act(self.decision(kind, routed));
        match (choice, stage_kind) {
            (Some(backend), Some(stage_kind)) => self.send_to(backend, stage_kind, turn),
            (None, _) | (_, None) if self.live.is_empty() => self.give_up(reason, turn),
            (None, _) | (_, None) => {}
        }
    }

    fn send_to(&mut self, backend: BackendName, kind: StageKind, turn: &mut Turn<'_>) {
        let number = self.next_attempt;
        self.next_attempt += 1;
        self.stage_attempts += 1;
        self.handed_over += 1;
        if !self.stage().idempotent {
            self.maybe_effective += 1;
        }
        turn.fleet.on_call_sent(turn.now_ms, &backend);
        self.live.push(Attempt {
            number,
            backend: backend.clone(),
            sent_at_ms: turn.now_ms,
            next_index: self.stream.len(),
            is_silent: false,
            progress_at_ms: turn.now_ms,
            has_begun: false,
            is_overdue: false,
        });
        if !self.tried.contains(&backend) {
            self.tried.push(backend.clone());
        }
        turn.act(Action::Send {
            backend,
            call: Box::new(self.call(number, kind, turn.now_ms)),
            not_after_ms: self.latest_ms(self.stage_index, turn),
        });
    }

    fn call(&self, number: u64, kind: StageKind, now_ms: u64) -> StageCall {
        let stage = self.stage();
        StageCall {
            id: self.call_id(number),
            kind,
            model: stage.model.clone(),
            input: self.spec.input.clone(),
            previous: self.previous.clone(),
            max_tokens: stage.max_tokens,
            resume_from: self.stream.len(),
            priority: self.spec.priority,
            deadline_ms: self.spec.deadline_at_ms.saturating_sub(now_ms),
        }
    }

    pub(super) fn call_id(&self, number: u64) -> CallId {
        CallId {
            request: self.spec.request.clone(),
            stage: self.stage().name.clone(),
            attempt: number,
        }
    }

    fn decision(&self, kind: DecisionKind, routed: Routed) -> Action {
        Action::Log(Box::new(Decision {
            kind,
            request: self.spec.request.clone(),
            stage: Some(self.stage().name.clone()),
            attempt: Some(self.next_attempt),
            candidates: routed.candidates,
            choice: routed.choice,
            reason: routed.reason,
        }))
    }

    pub(super) fn take_live(&mut self, number: u64) -> Option<Attempt> {
        let index = self.live.iter().position(|live| live.number == number)?;
        Some(self.live.remove(index))
    }

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

    pub(super) fn on_refused(&mut self, number: u64, reason: RefusalReason, turn: &mut Turn<'_>) {
        let Some(attempt) = self.take_live(number) else {
            return;
        };
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
    fn take_back_effect(&mut self) {
        if !self.stage().idempotent {
            self.maybe_effective -= 1;
        }
    }

    pub(super) fn on_lost(&mut self, number: u64, turn: &mut Turn<'_>) {
        let Some(attempt) = self.take_live(number) else {
            return;
        };
        self.book_wasted(&attempt, None, CallEnd::Failed(Fault::Silent), turn);
        let stage = self.stage().name.clone();
        self.after_failure(Reason::Lost { stage }, turn);
    }

    /// A stage that may not be repeated ends here: its call may have run.
    fn after_failure(&mut self, why: Reason, turn: &mut Turn<'_>) {
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
    fn try_again(&mut self, why: Reason, charge: Charge, turn: &mut Turn<'_>) {
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

    pub(super) fn on_answer(&mut self, answer: StageEvent, turn: &mut Turn<'_>) {
        let id = answer.id();
        let is_wanted = id.request == self.spec.request
            && id.stage == self.stage().name
            && self.live.iter().any(|live| live.number == id.attempt);
        if !is_wanted {
            turn.act(self.discard(id));
            return;
        }
        match answer {
            StageEvent::Token { id, index, text } => self.on_token(id, index, text, turn),
            StageEvent::Done {
                id,
                output,
                tokens,
                busy_us,
            } => self.on_done(id, output, tokens, busy_us, turn),
            StageEvent::Error {
                id,
                message,
                busy_us,
            } => self.on_error(id.attempt, message, busy_us, turn),
        }
    }

    fn on_token(&mut self, id: CallId, index: u32, text: String, turn: &mut Turn<'_>) {
        let Some(live) = self.live.iter_mut().find(|live| live.number == id.attempt) else {
            return;
        };
        live.is_silent = false;
        let elapsed_us = elapsed_us(live.progress_at_ms, turn.now_ms);
        let progress = live.progress();
        live.progress_at_ms = turn.now_ms;
        live.has_begun = true;
        let pool = &self.spec.pipeline.stages[self.stage_index].pool;
        turn.fleet.on_progress(pool, progress, elapsed_us);
        if index < live.next_index {
            // A repeat of what this call has already given.
            if self.stream.place(index, &text) == TokenPlace::Broken {
                self.break_off(id, turn);
            }
            return;
        }
        if index > live.next_index {
            return self.break_off(id, turn);
        }
        live.next_index += 1;
        match self.stream.place(index, &text) {
            TokenPlace::New if self.is_last_stage() => {
                turn.act(Action::EmitToken { index, text });
            }
            TokenPlace::New | TokenPlace::Known => {}
            TokenPlace::Broken => self.break_off(id, turn),
        }
    }

    /// Gives up a call whose tokens cannot be trusted.
    fn break_off(&mut self, id: CallId, turn: &mut Turn<'_>) {
        let Some(attempt) = self.take_live(id.attempt) else {
            return;
        };
        self.book_wasted(&attempt, None, CallEnd::Failed(Fault::Failing), turn);
        if self.stage().idempotent {
            turn.act(Action::Cancel {
                backend: attempt.backend,
                call: id.clone(),
            });
        }
        turn.act(Action::Discard {
            id,
            reason: DiscardReason::Broken,
        });
        let stage = self.stage().name.clone();
        self.after_failure(Reason::Cut { stage }, turn);
    }

    fn on_done(
        &mut self,
        id: CallId,
        output: Value,
        tokens: u32,
        busy_us: u64,
        turn: &mut Turn<'_>,
    ) {
        let Some(attempt) = self.take_live(id.attempt) else {
            return;
        };
        let is_whole = tokens == attempt.next_index && tokens == self.stream.len();
        if !is_whole {
            self.book_wasted(
                &attempt,
                Some(busy_us),
                CallEnd::Failed(Fault::Failing),
                turn,
            );
            turn.act(Action::Discard {
                id,
                reason: DiscardReason::Broken,
            });
            let stage = self.stage().name.clone();
            return self.after_failure(Reason::Cut { stage }, turn);
        }
        self.book_used(&attempt, busy_us, turn);
        self.abandon_live(turn);
        self.end_stage(output, turn);
    }

    fn on_error(&mut self, number: u64, message: String, busy_us: u64, turn: &mut Turn<'_>) {
        let Some(attempt) = self.take_live(number) else {
            return;
        };
        self.book_wasted(
            &attempt,
            Some(busy_us),
            CallEnd::Failed(Fault::Failing),
            turn,
        );
        let stage = self.stage().name.clone();
        self.after_failure(Reason::Failed { stage, message }, turn);
    }

    fn end_stage(&mut self, output: Value, turn: &mut Turn<'_>) {
        self.usage_mut().elapsed_us = self.stage_elapsed_us(turn.now_ms);
        if self.is_last_stage() {
            return self.complete(output, turn);
        }
        self.previous = output;
        self.stage_index += 1;
        if turn.now_ms >= self.latest_ms(self.stage_index, turn) {
            return self.give_up(DecisionReason::CannotFinish, turn);
        }
        self.begin_stage(turn);
    }

    /// Gives up every call that is still running. One that may not be repeated
    /// is left to run: what it does is done once, and is known as such.
    pub(super) fn abandon_live(&mut self, turn: &mut Turn<'_>) {
        for attempt in std::mem::take(&mut self.live) {
            self.book_wasted(&attempt, None, CallEnd::Abandoned, turn);
            if self.stage().idempotent {
                turn.act(Action::Cancel {
                    call: self.call_id(attempt.number),
                    backend: attempt.backend,
                });
            }
        }
    }

    fn book_used(&mut self, attempt: &Attempt, busy_us: u64, turn: &mut Turn<'_>) {
        let call_us = elapsed_us(attempt.sent_at_ms, turn.now_ms);
        let stage = self.stage();
        if !attempt.has_begun {
            turn.fleet
                .on_progress(&stage.pool, Progress::Waiting, call_us);
        }
        if let Some(prefix) = self.route_query(stage).prefix {
            turn.fleet.on_cache_event(&attempt.backend, prefix, true);
        }
        let end = CallEnd::Done {
            elapsed_us: call_us,
            busy_us,
            was_overdue: attempt.is_overdue,
        };
        turn.fleet.on_call_ended(turn.now_ms, &attempt.backend, end);
        self.book(busy_us, false, turn);
    }

    /// Books a call whose answer is not used. A call that did not say how long
    /// it was busy counts as busy since it was sent.
    pub(super) fn book_wasted(
        &mut self,
        attempt: &Attempt,
        busy_us: Option<u64>,
        end: CallEnd,
        turn: &mut Turn<'_>,
    ) {
        turn.fleet.on_call_ended(turn.now_ms, &attempt.backend, end);
        let busy_us = busy_us.unwrap_or_else(|| elapsed_us(attempt.sent_at_ms, turn.now_ms));
        self.book(busy_us, true, turn);
    }

    fn book(&mut self, busy_us: u64, is_wasted: bool, turn: &Turn<'_>) {
        let price = turn
            .fleet
            .pool(&self.stage().pool)
            .map_or(0, |known| known.pool.price_micros_per_s);
        let cost = cost_micros(busy_us, price);
        let usage = self.usage_mut();
        usage.calls += 1;
        usage.busy_us += busy_us;
        usage.cost_micros += cost;
        if is_wasted {
            usage.wasted_micros += cost;
        }
    }

    /// Returns the account of the current stage.
    ///
    /// # Panics
    ///
    /// Panics when no stage has begun, which no caller allows.
    pub(super) fn usage_mut(&mut self) -> &mut StageUsage {
        self.usage.last_mut().expect("a stage has begun")
    }

    pub(super) fn stage_elapsed_us(&self, now_ms: u64) -> u64 {
        elapsed_us(self.stage_started_ms, now_ms)
    }
}

fn elapsed_us(from_ms: u64, to_ms: u64) -> u64 {
    to_ms.saturating_sub(from_ms) * US_PER_MS
}
