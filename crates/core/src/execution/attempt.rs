//! Attempts at a stage: admitting the request, choosing servers, sending calls.

use std::sync::Arc;

use super::{Action, EventContext, Execution, State};
use crate::{
    call::{CallId, StageCall},
    cost::StageUsage,
    decision::{Decision, DecisionKind, DecisionReason},
    fleet::{AdmitQuery, Admitted, RouteQuery, Routed},
    forwarding::SoftwareBinding,
    ids::BackendName,
    objects::{Stage, StageKind},
};

const US_PER_MS: u64 = 1_000;

/// A call that may still receive a response.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u64,
    pub(crate) backend: BackendName,
    pub(crate) sent_at_ms: u64,
    /// Index of the first token requested from this call.
    pub(crate) first_index: u32,
    /// Index of the next token expected from this call.
    pub(crate) next_index: u32,
    pub(crate) is_silent: bool,
    /// Time of its last token, or of its sending, in ms.
    pub(crate) last_progress_ms: u64,
    /// Whether a token has been received.
    pub(crate) has_token: bool,
    pub(crate) is_overdue: bool,
}

impl Execution {
    pub(super) fn start(&mut self, context: &mut EventContext<'_>) {
        self.state = State::Running;
        if context.now_ms >= self.spec.deadline_at_ms {
            return self.give_up(DecisionReason::DeadlinePassed, context);
        }
        let admitted = self.admit(context);
        if let Admitted::No {
            reason,
            retry_after_ms,
        } = admitted
        {
            return self.refuse(reason, retry_after_ms, context);
        }
        self.begin_stage(context);
    }

    pub(super) fn admit(&self, context: &mut EventContext<'_>) -> Admitted {
        let time_left_ms = self.spec.deadline_at_ms.saturating_sub(context.now_ms);
        let query = AdmitQuery {
            workspace: &self.spec.workspace,
            pipeline: &self.spec.pipeline,
            objective: self.spec.objective,
            time_left_us: time_left_ms * US_PER_MS,
        };
        let admitted = context.fleet.admit(context.now_ms, &query);
        let reason = match admitted {
            Admitted::Yes => DecisionReason::Fits,
            Admitted::No { reason, .. } => reason,
        };
        context.push_action(self.log(DecisionKind::Admission, reason));
        admitted
    }

    pub(super) fn begin_stage(&mut self, context: &mut EventContext<'_>) {
        self.stage_started_ms = context.now_ms;
        self.stage_attempts = 0;
        self.refusals = 0;
        self.tried.clear();
        self.stream.clear();
        self.usage.push(StageUsage::new(self.stage().name.clone()));
        context.fleet.retry_budget.on_first_attempt();
        self.send(DecisionKind::Route, context);
    }

    /// Returns whether an untried backend server can take the call.
    pub(super) fn has_untried_backend(&self, context: &EventContext<'_>) -> bool {
        let stage = self.stage();
        context
            .fleet
            .has_untried(context.now_ms, &self.route_query(stage))
    }

    pub(super) fn route_query<'a>(&'a self, stage: &'a Stage) -> RouteQuery<'a> {
        RouteQuery {
            pool: &stage.pool,
            model: stage.model.as_ref(),
            tried: &self.tried,
            prefix: self.spec.prefix.filter(|_| stage.max_tokens > 0),
            idempotent: stage.idempotent,
            objective: self.spec.objective,
            // Backend servers of pipelines declare no version.
            software: &SoftwareBinding::Free,
        }
    }

    /// Chooses a backend server and sends the call of the stage to it.
    pub(super) fn send(&mut self, kind: DecisionKind, context: &mut EventContext<'_>) {
        let stage = self.stage();
        let routed = context
            .fleet
            .route(context.now_ms, &self.route_query(stage));
        let stage_kind = context.fleet.pool(&stage.pool).map(|known| known.pool.kind);
        let choice = routed.choice.clone();
        let reason = routed.reason;
        context.push_action(self.decision(kind, routed));
        match (choice, stage_kind) {
            (Some(backend), Some(stage_kind)) => self.send_to(backend, stage_kind, context),
            (None, _) | (_, None) if self.live.is_empty() => self.give_up(reason, context),
            (None, _) | (_, None) => {}
        }
    }

    pub(super) fn send_to(
        &mut self,
        backend: BackendName,
        kind: StageKind,
        context: &mut EventContext<'_>,
    ) {
        let number = self.next_attempt;
        self.next_attempt += 1;
        self.stage_attempts += 1;
        self.calls_sent += 1;
        if !self.stage().idempotent {
            self.possible_effects += 1;
        }
        context.fleet.on_call_sent(context.now_ms, &backend);
        self.live.push(Attempt {
            number,
            backend: backend.clone(),
            sent_at_ms: context.now_ms,
            first_index: self.stream.len(),
            next_index: self.stream.len(),
            is_silent: false,
            last_progress_ms: context.now_ms,
            has_token: false,
            is_overdue: false,
        });
        if !self.tried.contains(&backend) {
            self.tried.push(backend.clone());
        }
        context.push_action(Action::Send {
            backend,
            call: Box::new(self.call(number, kind, context.now_ms)),
            not_after_ms: self.latest_start_ms(self.stage_index, context),
        });
    }

    pub(super) fn call(&self, number: u64, kind: StageKind, now_ms: u64) -> StageCall {
        let stage = self.stage();
        StageCall {
            id: self.call_id(number),
            kind,
            model: stage.model.clone(),
            input: Arc::clone(&self.spec.input),
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

    pub(super) fn remove_live(&mut self, number: u64) -> Option<Attempt> {
        let index = self.live.iter().position(|live| live.number == number)?;
        Some(self.live.remove(index))
    }
}
