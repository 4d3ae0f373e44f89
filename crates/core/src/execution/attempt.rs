//! The attempts at a stage: taking the request, choosing servers, sending calls.

use super::{Action, Execution, State, Turn};
use crate::{
    call::{CallId, StageCall},
    cost::StageUsage,
    decision::{Decision, DecisionKind, DecisionReason},
    fleet::{AdmitQuery, Admitted, RouteQuery, Routed},
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
    /// Index of the token that this call was to give first.
    pub(crate) first_index: u32,
    /// Index of the token that this call gives next.
    pub(crate) next_index: u32,
    pub(crate) is_silent: bool,
    /// Time of its last sign of life, or of its sending, in ms.
    pub(crate) progress_at_ms: u64,
    /// Whether a token of it has come.
    pub(crate) has_begun: bool,
    pub(crate) is_overdue: bool,
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

    pub(super) fn admit(&self, turn: &mut Turn<'_>) -> Admitted {
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

    pub(super) fn route_query<'a>(&'a self, stage: &'a Stage) -> RouteQuery<'a> {
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

    pub(super) fn send_to(&mut self, backend: BackendName, kind: StageKind, turn: &mut Turn<'_>) {
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
            first_index: self.stream.len(),
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

    pub(super) fn call(&self, number: u64, kind: StageKind, now_ms: u64) -> StageCall {
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

    pub(super) fn decision(&self, kind: DecisionKind, routed: Routed) -> Action {
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
}
