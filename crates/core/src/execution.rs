//! The state machine of one request, from its arrival to its final response.
//!
//! The surrounding process passes in events and carries out the returned
//! actions. A call counts as handed to a socket from its [`Action::Send`] until
//! an [`Event::NotSent`] revokes it, so that an outcome never understates what
//! may have run.

use std::sync::Arc;

use serde_json::Value;

use crate::{
    call::{CallId, RefusalReason, StageCall, StageEvent},
    cost::StageUsage,
    decision::Decision,
    fleet::Fleet,
    ids::{BackendName, RequestId, WorkspaceName},
    objects::{Objective, Pipeline, Stage},
    outcome::Outcome,
};

mod accounting;
mod attempt;
mod finish;
mod overdue;
mod reason;
mod response;
mod retry;
mod stream;

use attempt::Attempt;
pub use reason::Reason;
use stream::TokenStream;

/// The parameters of a request at arrival.
#[derive(Clone, Debug)]
pub struct ExecutionSpec {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Pipeline to run, as configured when the request arrived.
    pub pipeline: Arc<Pipeline>,
    /// Input from the caller.
    pub input: Arc<Value>,
    /// Deadline for the complete response, in ms.
    pub deadline_at_ms: u64,
    /// Number preceding that of the first attempt. Attempt numbers are unique
    /// within the request across every instance that works on it.
    pub attempt_base: u64,
    /// Objective that the operator prioritises.
    pub objective: Objective,
    /// Priority of its calls; higher values go first.
    pub priority: u8,
    /// Whether an earlier attempt under the same idempotency key may have run.
    pub earlier_may_have_run: bool,
    /// Hash of the prompt prefix shared with other requests, if any.
    pub prefix: Option<u64>,
}

/// An input event of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Starts the request.
    Start,
    /// No part of the call was or will be handed to a socket.
    NotSent {
        /// Number of the attempt.
        attempt: u64,
    },
    /// The backend server refused the call; it has not run.
    Refused {
        /// Number of the attempt.
        attempt: u64,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Backoff that the server requests from this instance, in ms.
        retry_after_ms: Option<u64>,
    },
    /// The backend server sent a token, a result or an error.
    Answered(StageEvent),
    /// The connection broke after the call had been handed to it.
    Lost {
        /// Number of the attempt.
        attempt: u64,
    },
    /// The connection has been silent for a while, or silent again; the call
    /// may still be running.
    Silent {
        /// Number of the attempt.
        attempt: u64,
    },
    /// The connection is known to be dead, as are others to the same backend
    /// server, while new connections work; the call may have run.
    Severed {
        /// Number of the attempt.
        attempt: u64,
    },
    /// The requested timer is due.
    Timer,
    /// Too many backend servers crashed while running the request, under this
    /// identifier or others.
    Quarantined {
        /// Time until the request may be tried again, in ms.
        retry_after_ms: u64,
    },
    /// The caller has closed its connection.
    CallerGone,
}

/// An output action of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a call, or reports [`Event::NotSent`].
    Send {
        /// Backend server to send it to.
        backend: BackendName,
        /// The call.
        call: Box<StageCall>,
        /// Time after which it must not be handed to a socket, in ms.
        not_after_ms: u64,
    },
    /// Cancels a call; its further events are ignored.
    Cancel {
        /// Backend server that runs it.
        backend: BackendName,
        /// The call.
        call: CallId,
    },
    /// Passes a token of the last stage to the caller.
    EmitToken {
        /// Index of the token, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Requests [`Event::Timer`] at a time; replaces any earlier timer.
    SetTimer {
        /// Time, in ms.
        at_ms: u64,
    },
    /// Logs a decision.
    Log(Box<Decision>),
    /// Counts a discarded response.
    Discard {
        /// Identifiers carried by the response.
        id: CallId,
        /// Reason for discarding it.
        reason: DiscardReason,
    },
    /// Responds to the caller; only `Cancel` and `Discard` may follow.
    Finish(Box<Completion>),
}

/// The reason why a response of a backend server was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DiscardReason {
    /// Its call had already ended or been cancelled.
    Late,
    /// Its call was never made; the connection should be closed.
    Foreign,
    /// Its tokens contradict the stream; the connection should be closed.
    Broken,
}

impl DiscardReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Foreign => "foreign",
            Self::Broken => "broken",
        }
    }
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason, for every outcome except `complete`.
    pub reason: Option<Reason>,
    /// Output of the last stage, if the outcome is `complete`.
    pub output: Option<Value>,
    /// Time after which to retry, in ms.
    pub retry_after_ms: Option<u64>,
    /// Time and cost by stage.
    pub stages: Vec<StageUsage>,
}

/// The state machine of one request.
#[derive(Debug)]
pub struct Execution {
    spec: ExecutionSpec,
    stage_index: usize,
    stage_started_ms: u64,
    /// Calls of the current stage that may still receive a response.
    live: Vec<Attempt>,
    /// Backend servers that calls of the current stage were sent to.
    tried: Vec<BackendName>,
    /// Attempts made at the current stage.
    stage_attempts: u32,
    /// Attempts at the current stage that were refused.
    refusals: u32,
    next_attempt: u64,
    stream: TokenStream,
    previous: Value,
    usage: Vec<StageUsage>,
    /// Calls that were or may have been handed to a socket.
    calls_sent: u32,
    /// Non-idempotent calls among them, except those known not to have run.
    possible_effects: u32,
    timer_at_ms: Option<u64>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    New,
    Running,
    Finished,
}

impl Execution {
    /// Creates the state of a request that arrived at `now_ms`.
    pub fn new(spec: ExecutionSpec, now_ms: u64) -> Self {
        Self {
            next_attempt: spec.attempt_base + 1,
            spec,
            stage_index: 0,
            stage_started_ms: now_ms,
            live: Vec::new(),
            tried: Vec::new(),
            stage_attempts: 0,
            refusals: 0,
            stream: TokenStream::default(),
            previous: Value::Null,
            usage: Vec::new(),
            calls_sent: 0,
            possible_effects: 0,
            timer_at_ms: None,
            state: State::New,
        }
    }

    /// Returns whether the final response has been given.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Returns whether a non-idempotent call may have run or may still run.
    /// While this is false, a claim of the request's key can be released.
    pub fn may_have_taken_effect(&self) -> bool {
        self.possible_effects > 0
    }

    /// Handles an event at `now_ms` and returns the resulting actions in order.
    pub fn on_event(&mut self, now_ms: u64, event: Event, fleet: &mut Fleet) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.state == State::Finished {
            self.discard_late(&event, &mut actions);
            return actions;
        }
        let mut context = EventContext {
            now_ms,
            fleet,
            actions: &mut actions,
        };
        self.handle_event(event, &mut context);
        if self.state == State::Running {
            self.check_deadline(&mut context);
        }
        actions
    }

    fn handle_event(&mut self, event: Event, context: &mut EventContext<'_>) {
        match event {
            Event::Start if self.state == State::New => self.start(context),
            Event::Start => {}
            Event::Timer => self.timer_at_ms = None,
            Event::NotSent { attempt } => self.on_not_sent(attempt, context),
            Event::Refused {
                attempt,
                reason,
                retry_after_ms,
            } => self.on_refused(attempt, reason, retry_after_ms, context),
            Event::Answered(response) => self.on_response(response, context),
            Event::Lost { attempt } => self.on_lost(attempt, context),
            Event::Silent { attempt } => self.on_silent(attempt, context),
            Event::Severed { attempt } => self.on_severed(attempt, context),
            Event::Quarantined { retry_after_ms } => self.on_quarantined(retry_after_ms, context),
            Event::CallerGone => self.on_caller_gone(context),
        }
    }

    fn stage(&self) -> &Stage {
        &self.spec.pipeline.stages[self.stage_index]
    }

    fn is_last_stage(&self) -> bool {
        self.stage_index + 1 == self.spec.pipeline.stages.len()
    }

    fn discard_late(&self, event: &Event, actions: &mut Vec<Action>) {
        if let Event::Answered(response) = event {
            actions.push(self.discard(response.id()));
        }
    }

    fn discard(&self, id: &CallId) -> Action {
        let is_known = id.request == self.spec.request
            && id.attempt > self.spec.attempt_base
            && id.attempt < self.next_attempt
            && self
                .spec
                .pipeline
                .stages
                .iter()
                .any(|stage| stage.name == id.stage);
        let reason = if is_known {
            DiscardReason::Late
        } else {
            DiscardReason::Foreign
        };
        Action::Discard {
            id: id.clone(),
            reason,
        }
    }
}

/// The context of one call of [`Execution::on_event`].
struct EventContext<'a> {
    now_ms: u64,
    fleet: &'a mut Fleet,
    actions: &'a mut Vec<Action>,
}

impl EventContext<'_> {
    fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }
}
