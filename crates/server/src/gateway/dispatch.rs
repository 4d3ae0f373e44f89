//! Puts sockets and timers round the scheduler of stages: calls backend servers
//! with pieces, and tells whoever submitted a request how its stages ended.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, StatusCode};
use savoryvane_core::{
    forwarding::ServerEntry,
    ids::{BackendName, InstanceName, RequestId},
    poison::{Fate, RequestDigest, Standing},
    stages::{
        CallEnd, ItemEnd, ItemInput, Refusal, RequestKey, StageAction, StageCall, StageOutcome,
        StageScheduler, Submission,
    },
};
use savoryvane_platform::{answer, stages};
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, oneshot},
    time::{self, Instant},
};

use super::{
    ends::{LostServer, ServerEnds},
    knowledge::Knowledge,
    quarantine::Quarantine,
};
use crate::{
    clock::Clock,
    connections::{Connections, SendError},
    lock::lock,
    platform::request,
};

/// Largest answer to a call, in bytes: some hundred results with their names.
const MAX_ANSWER_BYTES: usize = 256 << 10;
/// Time for a call that frees results to be answered.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which results are gathered before a server is told to free them.
const FREE_DELAY: Duration = Duration::from_millis(20);
/// Time between two attempts to connect to a server that could not be reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Attempts before pieces are tried again, by which time one that is not
/// registered any more is gone.
const PROBES: u32 = 15;
/// Longest time between two looks at the scheduler.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// The scheduler of stages of this instance.
#[derive(Debug)]
pub(super) struct Dispatch {
    log: Logger,
    clock: Clock,
    knowledge: Arc<Knowledge>,
    servers: Arc<Connections>,
    ends: Arc<ServerEnds>,
    quarantine: Arc<Quarantine>,
    scheduler: Mutex<StageScheduler>,
    waiters: Mutex<HashMap<RequestKey, oneshot::Sender<StageOutcome>>>,
    unneeded: Mutex<HashMap<BackendName, (SocketAddr, Vec<String>)>>,
    /// Told when the scheduler has to be looked at earlier.
    changed: Notify,
}

/// Gives up the stages of a request when it is dropped before their end.
struct Submitted<'a> {
    dispatch: &'a Dispatch,
    key: &'a RequestKey,
    has_ended: bool,
}

impl Drop for Submitted<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.dispatch.cancel(self.key);
        }
    }
}

impl Dispatch {
    pub(super) fn new(
        clock: Clock,
        knowledge: Arc<Knowledge>,
        servers: Arc<Connections>,
        ends: Arc<ServerEnds>,
        quarantine: Arc<Quarantine>,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            log,
            clock,
            knowledge,
            servers,
            ends,
            quarantine,
            scheduler: Mutex::default(),
            waiters: Mutex::default(),
            unneeded: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Runs the stages of a request; dropping the future gives them up.
    pub(super) async fn run(self: &Arc<Self>, mut submission: Submission) -> StageOutcome {
        // Whoever submits it may know less of it, as after a partition.
        if let Standing::Quarantined { .. } = self.quarantine.standing(&submission.digest) {
            return StageOutcome::ends_servers();
        }
        let ends = self.quarantine.ends(&submission.digest);
        submission.ends = submission.ends.max(ends);
        let began = Instant::now();
        let (key, request) = (submission.key.clone(), submission.request.clone());
        let (sender, receiver) = oneshot::channel();
        self.waiters().insert(key.clone(), sender);
        let mut submitted = Submitted {
            dispatch: self,
            key: &key,
            has_ended: false,
        };
        self.scheduler().submit(self.clock.now_ms(), submission);
        self.carry_out();
        let outcome = receiver.await;
        submitted.has_ended = true;
        let outcome = outcome.unwrap_or(StageOutcome::Refused {
            reason: Refusal::Failed,
            retry_after_ms: 0,
            forecast_ms: 0,
        });
        self.log_outcome(&key, &request, &outcome, began);
        outcome
    }

    fn log_outcome(
        &self,
        key: &RequestKey,
        request: &RequestId,
        outcome: &StageOutcome,
        began: Instant,
    ) {
        let (requests, waiting, calls) = self.scheduler().load();
        let (ended, retry_after_ms, forecast_ms) = match outcome {
            StageOutcome::Ready(_) => ("ready", None, None),
            StageOutcome::Moved { .. } => ("moved", None, None),
            StageOutcome::Refused {
                reason,
                retry_after_ms,
                forecast_ms,
            } => (reason.as_str(), Some(*retry_after_ms), Some(*forecast_ms)),
        };
        info!(self.log, "stages ended"; "request" => %request, "from" => %key.instance,
            "end" => ended, "retry_after_ms" => retry_after_ms, "forecast_ms" => forecast_ms,
            "requests" => requests, "pieces_waiting" => waiting, "calls" => calls,
            "elapsed_ms" => began.elapsed().as_millis() as u64);
    }

    /// Notes that the results of a request are not needed any more.
    pub(super) fn release(self: &Arc<Self>, key: &RequestKey) {
        self.scheduler().release(key);
        self.carry_out();
    }

    /// Hands what is not finished over to the instance that schedules now.
    pub(super) fn hand_over(self: &Arc<Self>, to: Option<&InstanceName>) {
        let (requests, waiting, calls) = self.scheduler().load();
        if requests == 0 {
            return;
        }
        info!(self.log, "stages handed over"; "to" => to.map(ToString::to_string),
            "requests" => requests, "pieces_waiting" => waiting, "calls" => calls);
        self.scheduler().hand_over(self.clock.now_ms(), to);
        self.carry_out();
    }

    fn cancel(&self, key: &RequestKey) {
        self.waiters().remove(key);
        self.scheduler().cancel(key);
        self.changed.notify_one();
    }

    /// Carries out what the scheduler asks for.
    fn carry_out(self: &Arc<Self>) {
        let actions = self.scheduler().poll(self.clock.now_ms());
        for action in actions {
            match action {
                StageAction::Call(call) => {
                    let dispatch = Arc::clone(self);
                    tokio::spawn(async move { dispatch.call(call).await });
                }
                StageAction::Free {
                    server,
                    addr,
                    handles,
                } => self.free_soon(server, addr, handles),
                StageAction::Probe { server, addr } => {
                    let dispatch = Arc::clone(self);
                    tokio::spawn(async move { dispatch.probe(&server, addr).await });
                }
                StageAction::Finish { key, outcome } => {
                    let waiter = self.waiters().remove(&key);
                    // Whoever waited may have gone at this moment.
                    let _ = waiter.map(|waiter| waiter.send(outcome));
                }
            }
        }
        self.changed.notify_one();
    }

    /// Tries to connect to a server that could not be reached, so that no piece
    /// has to find out when it is back.
    async fn probe(self: Arc<Self>, server: &BackendName, addr: SocketAddr) {
        for _ in 0..PROBES {
            time::sleep(PROBE_INTERVAL).await;
            if self.servers.warm(addr).await {
                info!(self.log, "server reached again"; "server" => %server);
                self.scheduler().on_reachable(server);
                return self.carry_out();
            }
        }
    }

    async fn call(self: Arc<Self>, call: StageCall) {
        let began = Instant::now();
        let server = self.knowledge.directory().entry(&call.server).cloned();
        let mut end = self.exchange(&call).await;
        let elapsed_ms = began.elapsed().as_millis() as u64;
        if end == CallEnd::Lost
            && let Some(server) = server
            && let Some(ends) = self.on_lost(&call, &server).await
        {
            end = CallEnd::ServerEnded(ends);
        }
        metrics::counter!("savoryvane_stage_calls_ended_total", "end" => end.as_str()).increment(1);
        metrics::histogram!("savoryvane_stage_call_seconds").record(began.elapsed());
        self.log_call(&call, &end, elapsed_ms);
        if end == CallEnd::Misdirected {
            self.knowledge.on_leaving(&call.server);
        }
        self.scheduler()
            .on_call_ended(self.clock.now_ms(), call.id, &end);
        self.carry_out();
    }

    /// Finds out whether a server that broke off has ended under the requests of a call;
    /// returns how many have under each of them.
    async fn on_lost(
        &self,
        call: &StageCall,
        server: &ServerEntry,
    ) -> Option<Vec<(RequestDigest, u32)>> {
        let requests = call.items.iter();
        let requests: BTreeMap<RequestDigest, RequestId> = requests
            .map(|item| (item.digest, item.request.clone()))
            .collect();
        let called = requests.iter().map(|(digest, id)| (id.clone(), *digest));
        let lost = LostServer {
            server: server.clone(),
            requests: called.collect(),
            others: 0,
        };
        let fate = self.ends.on_lost(lost).await;
        let digests = requests.into_keys();
        let ends = digests.map(|digest| (digest, self.quarantine.ends(&digest)));
        matches!(fate, Fate::Ended(_)).then(|| ends.collect())
    }

    fn log_call(&self, call: &StageCall, end: &CallEnd, elapsed_ms: u64) {
        let CallEnd::Answered(items) = end else {
            warn!(self.log, "pieces not called"; "call" => call.id.0,
                "service" => %call.service, "server" => %call.server,
                "pieces" => call.items.len(), "elapsed_ms" => elapsed_ms, "end" => end.as_str());
            return;
        };
        let count = |end: &ItemEnd| items.iter().filter(|item| *item == end).count();
        let done = items.iter().filter(|item| matches!(item, ItemEnd::Done(_)));
        info!(self.log, "pieces called"; "call" => call.id.0, "service" => %call.service,
            "server" => %call.server, "pieces" => items.len(), "done" => done.count(),
            "late" => count(&ItemEnd::Late), "input_gone" => count(&ItemEnd::InputGone),
            "no_room" => count(&ItemEnd::NoRoom), "failed" => count(&ItemEnd::Failed),
            "elapsed_ms" => elapsed_ms);
        let gone = items.iter().position(|end| *end == ItemEnd::InputGone);
        if let Some(item) = gone.and_then(|index| call.items.get(index)) {
            let input = match &item.input {
                ItemInput::Results(handles) => handles.first().map(String::as_str),
                ItemInput::Key(_) => None,
            };
            info!(self.log, "inputs gone"; "call" => call.id.0, "request" => %item.request,
                "stage" => item.stage, "first_input" => input);
        }
    }

    async fn exchange(&self, call: &StageCall) -> CallEnd {
        let body = match stages::encode_run(&call.items) {
            Ok(body) => body,
            Err(err) => {
                warn!(self.log, "pieces not encoded"; "error" => %err);
                return CallEnd::Unreachable;
            }
        };
        let timeout = Duration::from_millis(call.timeout_ms);
        let answer = self
            .post(&call.server, call.addr, stages::RUN_PATH, body, timeout)
            .await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(SendError::NotSent(_)) => return CallEnd::Unreachable,
            Err(SendError::Sent(_)) => return CallEnd::Lost,
        };
        let status = answer.status();
        if stages::is_misdirected(status) {
            return CallEnd::Misdirected;
        }
        if answer::decode(status, answer.headers()).is_not_run {
            return CallEnd::Full;
        }
        match stages::decode_run(answer.body()) {
            Ok(items) if status == StatusCode::OK && items.len() == call.items.len() => {
                CallEnd::Answered(items)
            }
            Ok(_) => CallEnd::Lost,
            Err(err) => {
                warn!(self.log, "answer to pieces not understood"; "call" => call.id.0,
                    "server" => %call.server, "status" => status.as_u16(), "error" => %err);
                CallEnd::Lost
            }
        }
    }

    async fn post(
        &self,
        server: &BackendName,
        addr: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<http::Response<Bytes>, SendError> {
        let mut request = request(Method::POST, addr, path, body.into());
        request.headers_mut().extend(stages::headers(server));
        self.servers
            .exchange(addr, request, timeout, MAX_ANSWER_BYTES)
            .await
    }

    /// Tells a server soon that results are not needed any more, together with
    /// those that come until then.
    fn free_soon(self: &Arc<Self>, server: BackendName, addr: SocketAddr, handles: Vec<String>) {
        {
            let mut unneeded = lock(&self.unneeded);
            if let Some((_, gathered)) = unneeded.get_mut(&server) {
                gathered.extend(handles);
                return;
            }
            unneeded.insert(server.clone(), (addr, handles));
        }
        let dispatch = Arc::clone(self);
        tokio::spawn(async move {
            time::sleep(FREE_DELAY).await;
            dispatch.free(&server).await;
        });
    }

    async fn free(self: &Arc<Self>, server: &BackendName) {
        let gathered = {
            let mut unneeded = lock(&self.unneeded);
            unneeded.remove(server)
        };
        let Some((addr, handles)) = gathered else {
            return;
        };
        let body = match stages::encode_free(&handles) {
            Ok(body) => body,
            Err(err) => {
                warn!(self.log, "results not freed"; "error" => %err);
                return;
            }
        };
        let freed = self
            .post(server, addr, stages::FREE_PATH, body, FREE_TIMEOUT)
            .await;
        if let Err(err) = freed {
            // The server drops them by itself a little later.
            warn!(self.log, "results not freed"; "server" => %server, "results" => handles.len(),
                "error" => %err);
        }
        self.scheduler().on_freed(server, &handles);
        self.carry_out();
    }

    fn scheduler(&self) -> MutexGuard<'_, StageScheduler> {
        lock(&self.scheduler)
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<RequestKey, oneshot::Sender<StageOutcome>>> {
        lock(&self.waiters)
    }
}

/// Looks at the scheduler whenever its time has come.
pub(super) async fn run(dispatch: Arc<Dispatch>) {
    loop {
        let now_ms = dispatch.clock.now_ms();
        let due = dispatch.scheduler().next_poll_ms(now_ms);
        let latest = Instant::now() + LONGEST_SLEEP;
        let wake = due.map_or(latest, |due_ms| dispatch.clock.instant(due_ms).min(latest));
        tokio::select! {
            () = time::sleep_until(wake) => dispatch.carry_out(),
            () = dispatch.changed.notified() => {}
        }
    }
}

/// Keeps the scheduler's view of servers up to date, and closes the connections that
/// are kept to runs that are gone: another one may have their address.
pub(super) async fn configure(dispatch: Arc<Dispatch>) {
    let mut addrs: HashMap<BackendName, SocketAddr> = HashMap::new();
    loop {
        if let Some(table) = dispatch.knowledge.table() {
            let directory = dispatch.knowledge.directory();
            dispatch
                .scheduler()
                .configure(table.config(), directory.entries());
            let current = directory.entries();
            let current = current.map(|entry| (entry.id.clone(), entry.addr));
            let before = std::mem::replace(&mut addrs, current.collect());
            drop(directory);
            for (run, addr) in before {
                if addrs.get(&run) != Some(&addr) {
                    dispatch.servers.forget(addr);
                }
            }
        }
        dispatch.carry_out();
        dispatch.knowledge.changed().await;
    }
}
