//! Calls backend servers to run pieces of stages and to free results that are no longer
//! needed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode, response};
use savoryvane_core::{
    forwarding::{ConnectionHistory, NamedRequest, ServerEntry},
    ids::{BackendName, RequestId},
    poison::{LostServerStatus, RequestDigest, RequestSubjects},
    stages::{CallOutcome, ItemInput, ItemOutcome, StageCall},
};
use savoryvane_platform::{
    response::{self as server_response, ResponseHead},
    stages,
};
use slog::{Logger, info, warn};
use tokio::time::{self, Instant};

use super::{
    crashes::{CarriedRequest, CrashDetector, LostConnection},
    quarantine::Quarantine,
    routing_view::RoutingView,
    signals::{ResponseTo, Sendable},
};
use crate::{
    connections::{Answer, Connections, SendError},
    platform::request,
};

/// Largest response to a call, in bytes: room for some hundred results with their names.
const MAX_RESPONSE_BYTES: usize = 256 << 10;
/// Timeout of a call that frees results.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two attempts to connect to an unreachable server.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Attempts before pieces are sent to it again; by then, a server that is no longer
/// registered has been removed.
const MAX_PROBES: u32 = 15;

/// Client for the stage calls of this instance.
#[derive(Debug)]
pub(super) struct StageClient {
    view: Arc<RoutingView>,
    servers: Arc<Connections>,
    crash_detector: Arc<CrashDetector>,
    quarantine: Arc<Quarantine>,
    /// Number of the next call.
    next_call: AtomicU64,
    log: Logger,
}

/// Destination of a call, and what it is for.
#[derive(Clone, Copy, Debug)]
struct Destination<'a> {
    server: &'a BackendName,
    addr: SocketAddr,
    responds_to: ResponseTo<'a>,
}

impl StageClient {
    pub(super) fn new(
        view: Arc<RoutingView>,
        servers: Arc<Connections>,
        crash_detector: Arc<CrashDetector>,
        quarantine: Arc<Quarantine>,
        log: Logger,
    ) -> Self {
        Self {
            view,
            servers,
            crash_detector,
            quarantine,
            next_call: AtomicU64::new(rand::random()),
            log,
        }
    }

    /// Calls a server to run pieces, and returns the outcome.
    pub(super) async fn run(&self, call: &StageCall) -> CallOutcome {
        let began = Instant::now();
        let server = self.view.directory().entry(&call.server).cloned();
        let mut end = self.exchange(call).await;
        let elapsed_ms = began.elapsed().as_millis() as u64;
        if end == CallOutcome::Lost
            && let Some(server) = server
            && let Some(ends) = self.on_connection_lost(call, &server).await
        {
            end = CallOutcome::ServerEnded(ends);
        }
        metrics::counter!("savoryvane_stage_calls_ended_total", "end" => end.as_str()).increment(1);
        metrics::histogram!("savoryvane_stage_call_seconds").record(began.elapsed());
        self.log_call(call, &end, elapsed_ms);
        end
    }

    /// Finds out whether a server whose connection broke crashed under the requests of a
    /// call; if so, returns the crash count of each of them.
    async fn on_connection_lost(
        &self,
        call: &StageCall,
        server: &ServerEntry,
    ) -> Option<Vec<(RequestDigest, u32)>> {
        let requests = call.items.iter();
        let requests: BTreeMap<RequestDigest, RequestId> = requests
            .map(|item| (item.digest, item.request.clone()))
            .collect();
        let lost_requests = requests.iter().map(|(digest, id)| CarriedRequest {
            id: id.clone(),
            // Servers of stages get no prompts.
            subjects: RequestSubjects::new(*digest, []),
            isolated: Vec::new(),
            is_alive: false,
        });
        let lost = LostConnection {
            server: server.clone(),
            requests: lost_requests.collect(),
            other_requests: 0,
            has_ended_response: false,
        };
        let fate = self.crash_detector.on_connection_lost(lost).await;
        let digests = requests.into_keys();
        let ends = digests.map(|digest| (digest, self.quarantine.crash_count(&digest)));
        matches!(fate, LostServerStatus::Ended(_)).then(|| ends.collect())
    }

    fn log_call(&self, call: &StageCall, end: &CallOutcome, elapsed_ms: u64) {
        let CallOutcome::Answered(items) = end else {
            warn!(self.log, "stage call failed"; "call" => call.id.0,
                "service" => %call.service, "server" => %call.server,
                "pieces" => call.items.len(), "elapsed_ms" => elapsed_ms, "end" => end.as_str());
            return;
        };
        let count = |end: &ItemOutcome| items.iter().filter(|item| *item == end).count();
        let done = items
            .iter()
            .filter(|item| matches!(item, ItemOutcome::Done(_)));
        info!(self.log, "stage call completed"; "call" => call.id.0, "service" => %call.service,
            "server" => %call.server, "pieces" => items.len(), "done" => done.count(),
            "late" => count(&ItemOutcome::Late), "input_gone" => count(&ItemOutcome::InputGone),
            "no_room" => count(&ItemOutcome::NoRoom), "failed" => count(&ItemOutcome::Failed),
            "elapsed_ms" => elapsed_ms);
        let gone = items.iter().position(|end| *end == ItemOutcome::InputGone);
        if let Some(item) = gone.and_then(|index| call.items.get(index)) {
            let input = match &item.input {
                ItemInput::Results(handles) => handles.first().map(String::as_str),
                ItemInput::Key(_) => None,
            };
            info!(self.log, "inputs gone"; "call" => call.id.0, "request" => %item.request,
                "stage" => item.stage, "first_input" => input);
        }
    }

    async fn exchange(&self, call: &StageCall) -> CallOutcome {
        let body = match stages::encode_run(&call.items) {
            Ok(body) => body,
            Err(err) => {
                warn!(self.log, "stage call not encoded"; "error" => %err);
                return CallOutcome::Unreachable;
            }
        };
        // Signals may have arrived since the server was chosen.
        if let Some(end) = self.send_blocked(call) {
            return end;
        }
        let timeout = Duration::from_millis(call.timeout_ms);
        let to = Destination {
            server: &call.server,
            addr: call.addr,
            responds_to: ResponseTo::Call(call.id),
        };
        let answer = self.post(to, stages::RUN_PATH, body, timeout).await;
        let Answer {
            head,
            response,
            mut lease,
        } = match answer {
            Ok(answer) => answer,
            Err(SendError::NotSent(_)) => {
                return self.send_blocked(call).unwrap_or(CallOutcome::Unreachable);
            }
            Err(SendError::Sent(_)) => return CallOutcome::Lost,
        };
        let status = response.status();
        if head.is_misdirected {
            return CallOutcome::Misdirected;
        }
        if head.is_not_run {
            if head.id.is_some() {
                lease.release().await;
            }
            return self.send_blocked(call).unwrap_or(CallOutcome::Full);
        }
        match stages::decode_run(response.body()) {
            Ok(items) if status == StatusCode::OK && items.len() == call.items.len() => {
                let has_results = items.iter().any(ItemOutcome::is_done);
                if head.id.is_none() && has_results && lease.is_copy(response.body()) {
                    warn!(self.log, "second copy of an answer"; "call" => call.id.0,
                        "server" => %call.server);
                    return CallOutcome::Lost;
                }
                // An answer without results looks like those of other calls, so that a second
                // copy could be mistaken for the next one.
                if head.id.is_some() || has_results {
                    lease.release().await;
                }
                CallOutcome::Answered(items)
            }
            Ok(_) => CallOutcome::Lost,
            Err(err) => {
                warn!(self.log, "invalid response to stage call"; "call" => call.id.0,
                    "server" => %call.server, "status" => status.as_u16(), "error" => %err);
                CallOutcome::Lost
            }
        }
    }

    /// Returns the outcome of a call that may not be sent to its server now, `None` if it
    /// may.
    fn send_blocked(&self, call: &StageCall) -> Option<CallOutcome> {
        match self.view.sendable(&call.server) {
            Sendable::Yes => None,
            Sendable::Closed => Some(CallOutcome::Misdirected),
            Sendable::BackingOff(until_ms) => Some(CallOutcome::BackingOff(until_ms)),
        }
    }

    /// Returns an identifier that no other call of this instance has.
    fn next_id(&self) -> RequestId {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("{number:016x}"))
    }

    /// Sends a call, and applies the signals in the response to the server's state;
    /// returns the response and its decoded head.
    async fn post(
        &self,
        to: Destination<'_>,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Answer<ResponseHead>, SendError> {
        let id = self.next_id();
        let mut request = request(Method::POST, to.addr, path, body.into());
        request
            .headers_mut()
            .extend(stages::headers(to.server, &id));
        let sent_at_ms = self.view.now_ms();
        let on_head = |head: &response::Parts, _: ConnectionHistory| {
            let head = server_response::decode(head.status, &head.headers);
            if head.named_request(&id) == NamedRequest::Another {
                return Err("it responds to another call");
            }
            self.view
                .on_response_head(to.server, sent_at_ms, to.responds_to, &head);
            Ok(head)
        };
        self.servers
            .exchange_with(
                to.addr,
                request,
                timeout,
                MAX_RESPONSE_BYTES,
                || self.view.sendable(to.server) == Sendable::Yes,
                on_head,
            )
            .await
    }

    /// Asks a server to free results that are no longer needed. Returns `false` if the
    /// request could not be encoded, so that it was never sent.
    pub(super) async fn free(
        &self,
        server: &BackendName,
        addr: SocketAddr,
        handles: &[String],
    ) -> bool {
        let body = match stages::encode_free(handles) {
            Ok(body) => body,
            Err(err) => {
                warn!(self.log, "results not freed"; "error" => %err);
                return false;
            }
        };
        let is_limited = self.view.fleet().limits().limit_per_s(server).is_some();
        if self.view.sendable(server) != Sendable::Yes || is_limited {
            // The limited rate is left to pieces; servers drop unreleased results a
            // little later.
            return true;
        }
        let to = Destination {
            server,
            addr,
            responds_to: ResponseTo::Free,
        };
        match self.post(to, stages::FREE_PATH, body, FREE_TIMEOUT).await {
            // Results belong to a second copy of the answer to another call.
            Ok(answer) if stages::decode_run(answer.response.body()).is_ok() => {}
            Ok(answer) => answer.lease.release().await,
            // The server drops them itself a little later.
            Err(err) => {
                warn!(self.log, "results not freed"; "server" => %server,
                    "results" => handles.len(), "error" => %err);
            }
        }
        true
    }

    /// Tries to connect to an unreachable server until that succeeds; returns whether it
    /// did within `MAX_PROBES` attempts.
    pub(super) async fn wait_until_reachable(
        &self,
        server: &BackendName,
        addr: SocketAddr,
    ) -> bool {
        for _ in 0..MAX_PROBES {
            time::sleep(PROBE_INTERVAL).await;
            if self.servers.preconnect(addr).await {
                info!(self.log, "server reached again"; "server" => %server);
                return true;
            }
        }
        false
    }

    /// Closes the pooled connections to an address, which another run may have now.
    pub(super) fn close_connections(&self, addr: SocketAddr) {
        self.servers.close_idle(addr);
    }
}
