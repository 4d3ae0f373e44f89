//! Carries one call to a backend server and reads the events of its answer.

mod answer;
mod severed;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use savoryvane_core::{
    call::{CallId, StageCall},
    execution::Event,
    ids::BackendName,
    poison::Probe,
};
use savoryvane_wire::backend::{CacheEvents, Cancel, LoadReport, Refusal};
use serde::de::DeserializeOwned;
use slog::{Logger, warn};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use self::{
    answer::{AnswerReader, Ending, max_lines},
    severed::Severed,
};
use crate::{
    connections::{ConnectionSettings, Connections, Exchange, SendError},
    gate::Gate,
    platform::request,
    probing,
    settings::Backends,
};

/// Largest body of a refusal or report, in bytes.
const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;
/// Largest body of cache events, in bytes.
const MAX_EVENTS_BODY_BYTES: usize = 1024 * 1024;
/// Time for a read of the load to be answered before another connection is
/// asked, and for the first one to answer after that one has.
const CANARY_TIMEOUT: Duration = Duration::from_millis(300);

/// Client of the backend servers.
#[derive(Debug)]
pub(crate) struct BackendClient {
    log: Logger,
    settings: Backends,
    /// Connections that carry calls.
    connections: Arc<Connections>,
    /// One connection to each backend server that carries reads of its load; if
    /// it goes silent, so have the others.
    canaries: Arc<Connections>,
    severed: Severed,
}

/// Where a call goes and until when it may be handed over.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    /// Backend server.
    pub(crate) backend: BackendName,
    /// Its address.
    pub(crate) addr: SocketAddr,
    /// Time after which the call must not be handed to a socket.
    pub(crate) not_after: Instant,
    /// What the first byte has to pass, of a run that may not be run twice.
    pub(crate) gate: Option<Arc<Gate>>,
}

impl BackendClient {
    /// Creates a client without connections.
    pub(crate) fn new(settings: Backends, log: Logger) -> Self {
        let for_calls = ConnectionSettings {
            connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
            max_idle: usize::try_from(settings.idle_connections).unwrap_or(usize::MAX),
            idle_timeout: Duration::from_millis(settings.idle_timeout_ms),
        };
        let for_canaries = ConnectionSettings {
            max_idle: 1,
            ..for_calls
        };
        Self {
            log,
            settings,
            connections: Connections::new(for_calls),
            canaries: Connections::new(for_canaries),
            severed: Severed::default(),
        }
    }

    /// Sends `call` and reports everything that becomes of it to `events`.
    pub(crate) async fn run(
        &self,
        to: Destination,
        call: Box<StageCall>,
        events: mpsc::Sender<Event>,
    ) {
        let mut answer = AnswerReader {
            log: &self.log,
            silence: Duration::from_millis(self.settings.silence_ms),
            max_line_bytes: usize::try_from(self.settings.line_bytes).unwrap_or(usize::MAX),
            lines_left: max_lines(&call),
            backend: &to.backend,
            id: &call.id,
            events: &events,
            severed: self.severed.watch(to.addr),
            last_frame: None,
        };
        let last = self.exchange(&to, &call, &mut answer).await;
        if let Some(event) = last {
            // Nobody waits for it when the request has ended.
            let _ = events.send(event).await;
        }
    }

    /// Asks a backend server to give up a call; it is told once, and closing
    /// the connection tells it as well.
    pub(crate) async fn cancel(&self, addr: SocketAddr, id: CallId) {
        let body = serde_json::to_vec(&Cancel { id }).unwrap_or_default();
        let request = request(Method::POST, addr, "/v1/cancel", Bytes::from(body));
        let sending = async {
            if let Ok(Exchange { response, lease }) = self.send(addr, request).await {
                let body = Limited::new(response.into_body(), MAX_SMALL_BODY_BYTES);
                if body.collect().await.is_ok() {
                    lease.keep().await;
                }
            }
        };
        let _ = time::timeout(self.small_timeout(), sending).await;
    }

    /// Reads the load of the backend server at `addr`, and finds out on the way
    /// whether the connections to it have gone silent while new ones work.
    pub(crate) async fn load(&self, addr: SocketAddr) -> Option<LoadReport> {
        let began = Instant::now();
        self.canaries.take_over(addr, &self.connections);
        let canary = self.ask_load(addr);
        tokio::pin!(canary);
        if let Ok(report) = time::timeout(CANARY_TIMEOUT, canary.as_mut()).await {
            return report;
        }
        let fresh = time::timeout(CANARY_TIMEOUT, self.ask_load(addr));
        let report = tokio::select! {
            report = canary.as_mut() => return report,
            report = fresh => report.ok()??,
        };
        // A server that is slow would have answered the first question first.
        if time::timeout(CANARY_TIMEOUT, canary).await.is_err() {
            warn!(self.log, "connections have gone silent"; "backend" => %report.server);
            metrics::counter!("savoryvane_severed_total").increment(1);
            self.connections.forget(addr);
            self.severed.tell(addr, began);
        }
        Some(report)
    }

    async fn ask_load(&self, addr: SocketAddr) -> Option<LoadReport> {
        let request = request(Method::GET, addr, "/v1/load", Bytes::new());
        let not_after = Instant::now() + self.small_timeout();
        let exchange = self.canaries.send(addr, request, not_after).await.ok()?;
        read_json(exchange, MAX_SMALL_BODY_BYTES).await
    }

    /// Tries whether the backend server at `addr` still listens; where it does not, one of
    /// its neighbours should.
    pub(crate) async fn probe(
        &self,
        addr: SocketAddr,
        neighbours: impl FnOnce() -> Vec<SocketAddr>,
    ) -> (Probe, Probe) {
        probing::probe(&self.connections, addr, neighbours).await
    }

    /// Reads the cache events of the engine at `addr` from a sequence number on.
    pub(crate) async fn cache_events(&self, addr: SocketAddr, from: u64) -> Option<CacheEvents> {
        let path = format!("/v1/cache-events?from={from}");
        let request = request(Method::GET, addr, &path, Bytes::new());
        let asking = async {
            let exchange = self.send(addr, request).await.ok()?;
            read_json(exchange, MAX_EVENTS_BODY_BYTES).await
        };
        time::timeout(self.small_timeout(), asking).await.ok()?
    }

    /// Forgets idle connections to a server that went silent on one.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        self.connections.forget(addr);
    }

    /// Closes connections that have been idle for long.
    pub(crate) fn prune(&self) {
        self.connections.prune();
        self.canaries.prune();
    }

    async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let not_after = Instant::now() + self.small_timeout();
        self.connections.send(addr, request, not_after).await
    }

    fn small_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.connect_timeout_ms + self.settings.silence_ms)
    }

    /// Returns the last event of the call, unless the answer had it.
    async fn exchange(
        &self,
        to: &Destination,
        call: &StageCall,
        answer: &mut AnswerReader<'_>,
    ) -> Option<Event> {
        let attempt = call.id.attempt;
        let body = match serde_json::to_vec(call) {
            Ok(body) if Instant::now() < to.not_after => body,
            Ok(_) | Err(_) => return Some(Event::NotSent { attempt }),
        };
        let request = request(Method::POST, to.addr, "/v1/run", Bytes::from(body));
        let sending = self
            .connections
            .send_gated(to.addr, request, to.not_after, to.gate.as_ref());
        let exchange = match answer.watch(sending).await {
            Ok(exchange) => exchange,
            Err(SendError::NotSent(reason)) => {
                warn!(self.log, "call not sent"; "request" => %call.id.request,
                    "stage" => %call.id.stage, "attempt" => attempt,
                    "backend" => %to.backend, "error" => reason);
                return Some(Event::NotSent { attempt });
            }
            Err(SendError::Sent(reason)) => {
                answer.note_lost(&reason);
                return Some(Event::Lost { attempt });
            }
        };
        let Exchange { response, lease } = exchange;
        let status = response.status();
        if status != StatusCode::OK {
            let event = refusal(attempt, response.into_body()).await;
            if let (Event::Refused { .. }, Some(gate)) = (&event, &to.gate) {
                gate.on_refused();
            }
            return Some(event);
        }
        match answer.read(response.into_body()).await {
            Ending::Whole => {
                lease.keep().await;
                None
            }
            Ending::Untidy => None,
            Ending::Lost(reason) => {
                answer.note_lost(&reason);
                Some(Event::Lost { attempt })
            }
        }
    }
}

/// A refusal counts as one only when it says so itself: what stands between
/// may answer with the same status after the call has run.
async fn refusal(attempt: u64, body: Incoming) -> Event {
    let body = Limited::new(body, MAX_SMALL_BODY_BYTES).collect().await;
    let refusal = body
        .ok()
        .and_then(|body| serde_json::from_slice::<Refusal>(&body.to_bytes()).ok());
    match refusal {
        Some(refusal) => Event::Refused {
            attempt,
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after_ms,
        },
        None => Event::Lost { attempt },
    }
}

/// Reads a whole answer in JSON and gives its connection back.
async fn read_json<T: DeserializeOwned>(exchange: Exchange, max_bytes: usize) -> Option<T> {
    let Exchange { response, lease } = exchange;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), max_bytes);
    let body = body.collect().await.ok()?.to_bytes();
    lease.keep().await;
    serde_json::from_slice(&body).ok()
}
