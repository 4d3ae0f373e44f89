//! Puts sockets and timers round the state machine of one request.

use std::{collections::HashMap, sync::Arc};

use savoryvane_core::{
    call::CallId,
    decision::Decision,
    execution::{Action, Completion, DiscardReason, Event, Execution, ExecutionSpec},
    ids::BackendName,
    outcome::Outcome,
};
use savoryvane_wire::caller::Answer;
use slog::{info, warn};
use tokio::{
    sync::mpsc,
    task::AbortHandle,
    time::{self, Instant},
};

use crate::{
    calls::Destination,
    controller::Account,
    crashes::{self, LostCall},
    instance::{InFlight, Shared},
    run_right::RunRight,
};

/// Events of calls that wait for the state machine.
const EVENT_BUFFER: usize = 64;

/// What the caller of a request is told.
#[derive(Debug)]
pub(crate) enum Update {
    /// One token of the last stage.
    Token {
        /// Index of the token, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The final answer.
    Final(Box<Completion>),
    /// The final answer, given by another run or instead of one.
    Given(Box<Answer>),
}

/// Runs a request in a task of its own, and accounts for it at its end; `guard`
/// counts it as in flight. Tokens
/// are not held back for a slow caller: there are at most as many as the stage
/// may generate.
pub(crate) fn start(
    shared: &Arc<Shared>,
    spec: ExecutionSpec,
    account: Account,
    guard: InFlight,
) -> mpsc::UnboundedReceiver<Update> {
    let (updates, receiver) = mpsc::unbounded_channel();
    let running = run(shared, spec, account, None, updates);
    shared.tasks.spawn(async move {
        running.await;
        drop(guard);
    });
    receiver
}

/// Runs a request to its end; `right` is what it needs when it may not be run
/// twice.
pub(crate) fn run(
    shared: &Arc<Shared>,
    spec: ExecutionSpec,
    account: Account,
    right: Option<Arc<RunRight>>,
    updates: mpsc::UnboundedSender<Update>,
) -> impl Future<Output = ()> + Send + 'static {
    let (events, inbox) = mpsc::channel(EVENT_BUFFER);
    let execution = Execution::new(spec, shared.clock.now_ms());
    let runner = Runner {
        shared: Arc::clone(shared),
        execution,
        account,
        right,
        calls: HashMap::new(),
        events,
        updates,
        timer: None,
    };
    runner.run(inbox)
}

struct Runner {
    shared: Arc<Shared>,
    execution: Execution,
    account: Account,
    right: Option<Arc<RunRight>>,
    /// Calls by attempt.
    calls: HashMap<u64, RunningCall>,
    events: mpsc::Sender<Event>,
    updates: mpsc::UnboundedSender<Update>,
    timer: Option<Instant>,
}

struct RunningCall {
    backend: BackendName,
    task: AbortHandle,
    is_silent: bool,
}

impl Runner {
    async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        let mut is_caller_here = true;
        let start = self.quarantined().unwrap_or(Event::Start);
        self.take(start);
        while !self.execution.is_finished() {
            let timer = self.timer.unwrap_or_else(Instant::now);
            let event = tokio::select! {
                biased;
                () = self.updates.closed(), if is_caller_here => Event::CallerGone,
                Some(event) = inbox.recv() => event,
                () = time::sleep_until(timer), if self.timer.is_some() => Event::Timer,
            };
            let event = match event {
                Event::Lost { attempt } => self.on_lost(attempt).await,
                event => event,
            };
            match event {
                Event::CallerGone => is_caller_here = false,
                Event::Timer => self.timer = None,
                Event::Silent { attempt } => self.note_silent(attempt),
                _ => {}
            }
            self.take(event);
        }
    }

    /// Finds out whether the server of a call that was lost has ended, and turns the loss
    /// into the end of a request under which too many have.
    async fn on_lost(&self, attempt: u64) -> Event {
        if let Some(call) = self.calls.get(&attempt) {
            let lost = LostCall {
                request: self.account.request(),
                digest: self.account.digest(),
                backend: &call.backend,
            };
            crashes::on_lost(&self.shared, lost).await;
        }
        self.quarantined().unwrap_or(Event::Lost { attempt })
    }

    fn quarantined(&self) -> Option<Event> {
        let (request, digest) = (self.account.request(), self.account.digest());
        let retry_after_ms = crashes::quarantined(&self.shared, request, &digest)?;
        Some(Event::Quarantined { retry_after_ms })
    }

    fn take(&mut self, event: Event) {
        let actions = {
            let mut fleet = self.shared.fleet();
            // Read under the lock, so that the fleet's time never steps back.
            let now_ms = self.shared.clock.now_ms();
            self.execution.on_event(now_ms, event, &mut fleet)
        };
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send {
                backend,
                call,
                not_after_ms,
            } => {
                let attempt = call.id.attempt;
                let Some(addr) = self.addr(&backend) else {
                    return self.report(Event::NotSent { attempt });
                };
                let gate = match &self.right {
                    None => None,
                    Some(right) => match right.gate(&call.id.stage) {
                        None => return self.report(Event::NotSent { attempt }),
                        gate => gate,
                    },
                };
                if let Some(model) = &call.model {
                    self.shared.placement.note_call(model);
                }
                let server = backend.clone();
                let to = Destination {
                    backend,
                    addr,
                    gate,
                    not_after: self.shared.clock.instant(not_after_ms),
                };
                let (shared, events) = (Arc::clone(&self.shared), self.events.clone());
                let task = self
                    .shared
                    .tasks
                    .spawn(async move { shared.backends.run(to, call, events).await });
                let call = RunningCall {
                    backend: server,
                    task: task.abort_handle(),
                    is_silent: false,
                };
                self.calls.insert(attempt, call);
            }
            Action::Cancel { backend, call } => self.cancel(&backend, call),
            Action::EmitToken { index, text } => self.update(Update::Token { index, text }),
            Action::SetTimer { at_ms } => self.timer = Some(self.shared.clock.instant(at_ms)),
            Action::Log(decision) => self.log(&decision),
            Action::Discard { id, reason } => self.discard(&id, reason),
            Action::Finish(mut completion) => {
                if completion.outcome == Outcome::Complete {
                    crashes::on_answered(&self.shared, self.account.digest());
                }
                if let Some(right) = &self.right {
                    right.finish(self.account.request(), &mut completion);
                }
                self.account.record_completion(&completion);
                self.update(Update::Final(completion));
            }
        }
    }

    fn addr(&self, backend: &BackendName) -> Option<std::net::SocketAddr> {
        let state = self.shared.configuration.state();
        state.backend(backend.as_str()).map(|backend| backend.addr)
    }

    fn report(&self, event: Event) {
        // The inbox holds more than a request has calls.
        let _ = self.events.try_send(event);
    }

    fn update(&self, update: Update) {
        // Nobody listens when the caller has gone.
        let _ = self.updates.send(update);
    }

    fn note_silent(&mut self, attempt: u64) {
        if let Some(call) = self.calls.get_mut(&attempt) {
            call.is_silent = true;
        }
    }

    fn cancel(&mut self, backend: &BackendName, id: CallId) {
        let call = self.calls.remove(&id.attempt);
        if let Some(call) = &call {
            call.task.abort();
        }
        let Some(addr) = self.addr(backend) else {
            return;
        };
        if call.is_some_and(|call| call.is_silent) {
            self.shared.backends.forget(addr);
        }
        let shared = Arc::clone(&self.shared);
        self.shared
            .tasks
            .spawn(async move { shared.backends.cancel(addr, id).await });
    }

    fn discard(&mut self, id: &CallId, reason: DiscardReason) {
        metrics::counter!("savoryvane_discarded_answers_total", "reason" => reason.as_str())
            .increment(1);
        warn!(self.shared.log, "answer not used"; "request" => %id.request,
            "stage" => %id.stage, "attempt" => id.attempt, "reason" => reason.as_str());
        if reason != DiscardReason::Late
            && let Some(call) = self.calls.remove(&id.attempt)
        {
            call.task.abort();
        }
    }

    fn log(&self, decision: &Decision) {
        metrics::counter!("savoryvane_decisions_total",
            "kind" => decision.kind.as_str(), "reason" => decision.reason.as_str())
        .increment(1);
        let candidates: Vec<_> = decision
            .candidates
            .iter()
            .map(|candidate| format!("{}={}us", candidate.backend, candidate.score_us))
            .collect();
        info!(self.shared.log, "decision"; "kind" => decision.kind.as_str(),
            "request" => %decision.request,
            "stage" => decision.stage.as_ref().map(|stage| stage.to_string()),
            "attempt" => decision.attempt, "candidates" => candidates.join(","),
            "choice" => decision.choice.as_ref().map(|backend| backend.to_string()),
            "reason" => decision.reason.as_str());
    }
}
