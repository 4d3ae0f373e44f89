//! The state machine of one request, from its arrival to its final answer.
//!
//! The process around it hands in what happened and carries out the returned
//! actions. A call counts as handed to a socket from the moment it is asked for
//! with [`Action::Send`] until [`Event::NotSent`] takes that back, so that an
//! outcome never claims less than may have run.

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

mod answer;
mod attempt;
mod booking;
mod finish;
mod overdue;
mod reason;
mod repeat;
mod stream;

use attempt::Attempt;
pub use reason::Reason;
use stream::TokenStream;

/// What is known of a request when it is taken.
#[derive(Clone, Debug)]
pub struct ExecutionSpec {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace that it belongs to.
    pub workspace: WorkspaceName,
    /// Pipeline that it runs through, as configured when it was taken.
    pub pipeline: Arc<Pipeline>,
    /// Input of the caller.
    pub input: Value,
    /// Time by which the whole answer is due, in ms.
    pub deadline_at_ms: u64,
    /// Number before that of its first attempt; attempt numbers are unique
    /// within the request across every instance that works on it.
    pub attempt_base: u64,
    /// What its operator weighs more heavily.
    pub objective: Objective,
    /// Priority of its calls; a higher one goes first.
    pub priority: u8,
    /// Whether an earlier attempt under the same idempotency key may have run.
    pub earlier_may_have_run: bool,
    /// Hash of the prompt prefix that it shares with others, if it has one.
    pub prefix: Option<u64>,
}

/// What happened to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It may begin.
    Start,
    /// Nothing of the call was handed to a socket, and nothing will be.
    NotSent {
        /// Attempt that it was.
        attempt: u64,
    },
    /// The backend server refused the call; it has not run.
    Refused {
        /// Attempt that it was.
        attempt: u64,
        /// Why.
        reason: RefusalReason,
        /// Time for which the server wants no calls from this instance, in ms.
        retry_after_ms: Option<u64>,
    },
    /// The backend server answered.
    Answered(StageEvent),
    /// The connection broke after the call had been handed to it.
    Lost {
        /// Attempt that it was.
        attempt: u64,
    },
    /// The connection has been quiet for a while, or for another one; the call
    /// may still be running.
    Silent {
        /// Attempt that it was.
        attempt: u64,
    },
    /// The connection is known to be dead, as others to the same backend server
    /// are, while new ones work; the call may have run.
    Severed {
        /// Attempt that it was.
        attempt: u64,
    },
    /// A timer that was asked for is due.
    Timer,
    /// Too many backend servers have ended under the request, under this identifier or
    /// others.
    Quarantined {
        /// Time until it is tried again, in ms.
        retry_after_ms: u64,
    },
    /// The caller has closed its connection.
    CallerGone,
}

/// What has to be done for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a call, or reports it [`Event::NotSent`].
    Send {
        /// Backend server that gets it.
        backend: BackendName,
        /// The call.
        call: Box<StageCall>,
        /// Time after which it must not be handed to a socket, in ms.
        not_after_ms: u64,
    },
    /// Gives up a call; its events are not wanted.
    Cancel {
        /// Backend server that has it.
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
    /// Asks for [`Event::Timer`] at a time; replaces any earlier timer.
    SetTimer {
        /// Time, in ms.
        at_ms: u64,
    },
    /// Reports a decision.
    Log(Box<Decision>),
    /// Counts an answer that was not used.
    Discard {
        /// Identifiers that it carried.
        id: CallId,
        /// Why it was not used.
        reason: DiscardReason,
    },
    /// Answers the caller; nothing but `Cancel` and `Discard` follows.
    Finish(Box<Completion>),
}

/// Why an answer of a backend server was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DiscardReason {
    /// Its call had ended or was given up.
    Late,
    /// No such call was ever made; its connection should be closed.
    Foreign,
    /// Its tokens were not those of the stream; its connection should be closed.
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

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// How it ended.
    pub outcome: Outcome,
    /// Why, for every outcome but `complete`.
    pub reason: Option<Reason>,
    /// Output of the last stage, for `complete`.
    pub output: Option<Value>,
    /// When to come back, in ms.
    pub retry_after_ms: Option<u64>,
    /// Time and cost by stage.
    pub stages: Vec<StageUsage>,
}

/// The state of one request.
#[derive(Debug)]
pub struct Execution {
    spec: ExecutionSpec,
    stage_index: usize,
    stage_started_ms: u64,
    /// Calls of the stage that may still answer.
    live: Vec<Attempt>,
    /// Backend servers that the stage has been sent to.
    tried: Vec<BackendName>,
    /// Attempts made at the stage.
    stage_attempts: u32,
    /// Those of them that were refused.
    refusals: u32,
    next_attempt: u64,
    stream: TokenStream,
    previous: Value,
    usage: Vec<StageUsage>,
    /// Calls that were or may have been handed to a socket.
    handed_over: u32,
    /// Non-idempotent calls among them, but for those known not to have run.
    maybe_effective: u32,
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
            handed_over: 0,
            maybe_effective: 0,
            timer_at_ms: None,
            state: State::New,
        }
    }

    /// Tells whether the final answer has been given.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Tells whether a non-idempotent call may have run or may still run. Until
    /// then a claim of the request's key can be released.
    pub fn may_have_taken_effect(&self) -> bool {
        self.maybe_effective > 0
    }

    /// Takes in what happened at `now_ms` and returns what has to be done, in
    /// order.
    pub fn on_event(&mut self, now_ms: u64, event: Event, fleet: &mut Fleet) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.state == State::Finished {
            self.discard_late(&event, &mut actions);
            return actions;
        }
        let mut turn = Turn {
            now_ms,
            fleet,
            actions: &mut actions,
        };
        self.take(event, &mut turn);
        if self.state == State::Running {
            self.check_time(&mut turn);
        }
        actions
    }

    fn take(&mut self, event: Event, turn: &mut Turn<'_>) {
        match event {
            Event::Start if self.state == State::New => self.start(turn),
            Event::Start => {}
            Event::Timer => self.timer_at_ms = None,
            Event::NotSent { attempt } => self.on_not_sent(attempt, turn),
            Event::Refused {
                attempt,
                reason,
                retry_after_ms,
            } => self.on_refused(attempt, reason, retry_after_ms, turn),
            Event::Answered(answer) => self.on_answer(answer, turn),
            Event::Lost { attempt } => self.on_lost(attempt, turn),
            Event::Silent { attempt } => self.on_silent(attempt, turn),
            Event::Severed { attempt } => self.on_severed(attempt, turn),
            Event::Quarantined { retry_after_ms } => self.on_quarantined(retry_after_ms, turn),
            Event::CallerGone => self.on_caller_gone(turn),
        }
    }

    fn stage(&self) -> &Stage {
        &self.spec.pipeline.stages[self.stage_index]
    }

    fn is_last_stage(&self) -> bool {
        self.stage_index + 1 == self.spec.pipeline.stages.len()
    }

    fn discard_late(&self, event: &Event, actions: &mut Vec<Action>) {
        if let Event::Answered(answer) = event {
            actions.push(self.discard(answer.id()));
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

/// One call of [`Execution::on_event`].
struct Turn<'a> {
    now_ms: u64,
    fleet: &'a mut Fleet,
    actions: &'a mut Vec<Action>,
}

impl Turn<'_> {
    fn act(&mut self, action: Action) {
        self.actions.push(action);
    }
}
