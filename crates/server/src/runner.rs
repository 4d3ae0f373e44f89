//! Drives the state machine of one request with sockets and timers.

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

/// Maximum number of call events that wait for the state machine.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Update about a request for its caller.
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
    /// The final answer from another run, or one that replaces a run.
    Given(Box<Answer>),
}

/// Spawns a task that runs a request and accounts for it when it ends; `guard`
/// counts it as in flight. A slow caller applies no backpressure to tokens: their
/// number is bounded by what the stage may generate.
pub(crate) fn start(
    shared: &Arc<Shared>,
    spec: ExecutionSpec,
    account: Account,
    guard: InFlight,
) -> mpsc::UnboundedReceiver<Update> {
    let (updates, receiver) = mpsc::unbounded_channel();
    let run = run(shared, spec, account, None, updates);
    shared.tasks.spawn(async move {
        run.await;
        drop(guard);
    });
    receiver
}

/// Runs a request to its end. A non-idempotent request needs a `right`.
pub(crate) fn run(
    shared: &Arc<Shared>,
    spec: ExecutionSpec,
    account: Account,
    right: Option<Arc<RunRight>>,
    updates: mpsc::UnboundedSender<Update>,
) -> impl Future<Output = ()> + Send + 'static {
    let (events, inbox) = mpsc::channel(EVENT_QUEUE_CAPACITY);
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
        let mut is_caller_connected = true;
        let first_event = self.quarantine_event().unwrap_or(Event::Start);
        self.process(first_event);
        while !self.execution.is_finished() {
            let timer = self.timer.unwrap_or_else(Instant::now);
            let event = tokio::select! {
                biased;
                () = self.updates.closed(), if is_caller_connected => Event::CallerGone,
                Some(event) = inbox.recv() => event,
                () = time::sleep_until(timer), if self.timer.is_some() => Event::Timer,
            };
            let event = match event {
                Event::Lost { attempt } => self.on_lost(attempt).await,
                event => event,
            };
            match event {
                Event::CallerGone => is_caller_connected = false,
                Event::Timer => self.timer = None,
                Event::Silent { attempt } => self.mark_silent(attempt),
                _ => {}
            }
            self.process(event);
        }
    }

    /// Checks whether the server of a lost call has crashed. Returns a quarantine
    /// event if the request is quarantined, else the loss.
    async fn on_lost(&self, attempt: u64) -> Event {
        if let Some(call) = self.calls.get(&attempt) {
            let lost = LostCall {
                request: self.account.request(),
                digest: self.account.digest(),
                backend: &call.backend,
            };
            crashes::on_lost(&self.shared, lost).await;
        }
        self.quarantine_event().unwrap_or(Event::Lost { attempt })
    }

    fn quarantine_event(&self) -> Option<Event> {
        let (request, digest) = (self.account.request(), self.account.digest());
        let retry_after_ms = crashes::check_quarantine(&self.shared, request, &digest)?;
        Some(Event::Quarantined { retry_after_ms })
    }

    fn process(&mut self, event: Event) {
        let actions = {
            let mut fleet = self.shared.fleet();
            // Reads the clock under the lock, so that the fleet's time never goes back.
            let now_ms = self.shared.clock.now_ms();
            self.execution.on_event(now_ms, event, &mut fleet)
        };
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send {
                backend,
                call,
                not_after_ms,
            } => {
                let attempt = call.id.attempt;
                let Some(addr) = self.backend_addr(&backend) else {
                    return self.enqueue(Event::NotSent { attempt });
                };
                let gate = match &self.right {
                    None => None,
                    Some(right) => match right.gate(&call.id.stage) {
                        None => return self.enqueue(Event::NotSent { attempt }),
                        gate => gate,
                    },
                };
                if let Some(model) = &call.model {
                    self.shared.placement.count_call(model);
                }
                let server = backend.clone();
                let destination = Destination {
                    backend,
                    addr,
                    gate,
                    not_after: self.shared.clock.instant(not_after_ms),
                };
                let (shared, events) = (Arc::clone(&self.shared), self.events.clone());
                let task = self
                    .shared
                    .tasks
                    .spawn(async move { shared.backends.run(destination, call, events).await });
                let call = RunningCall {
                    backend: server,
                    task: task.abort_handle(),
                    is_silent: false,
                };
                self.calls.insert(attempt, call);
            }
            Action::Cancel { backend, call } => self.cancel(&backend, call),
            Action::EmitToken { index, text } => self.send_update(Update::Token { index, text }),
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
                self.send_update(Update::Final(completion));
            }
        }
    }

    fn backend_addr(&self, backend: &BackendName) -> Option<std::net::SocketAddr> {
        let state = self.shared.configuration.state();
        state.backend(backend.as_str()).map(|backend| backend.addr)
    }

    fn enqueue(&self, event: Event) {
        // The capacity of the inbox exceeds the number of calls of a request.
        let _ = self.events.try_send(event);
    }

    fn send_update(&self, update: Update) {
        // The receiver is dropped when the caller has disconnected.
        let _ = self.updates.send(update);
    }

    fn mark_silent(&mut self, attempt: u64) {
        if let Some(call) = self.calls.get_mut(&attempt) {
            call.is_silent = true;
        }
    }

    fn cancel(&mut self, backend: &BackendName, id: CallId) {
        let call = self.calls.remove(&id.attempt);
        if let Some(call) = &call {
            call.task.abort();
        }
        let Some(addr) = self.backend_addr(backend) else {
            return;
        };
        if call.is_some_and(|call| call.is_silent) {
            self.shared.backends.close_idle(addr);
        }
        let shared = Arc::clone(&self.shared);
        self.shared
            .tasks
            .spawn(async move { shared.backends.cancel(addr, id).await });
    }

    fn discard(&mut self, id: &CallId, reason: DiscardReason) {
        metrics::counter!("savoryvane_discarded_answers_total", "reason" => reason.as_str())
            .increment(1);
        warn!(self.shared.log, "answer discarded"; "request" => %id.request,
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
