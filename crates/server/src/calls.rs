//! Client of the backend servers: sends calls and reads the events of their
//! responses.

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
    answer::{Ending, ResponseReader, max_lines},
    severed::SeveredWatchers,
};
use crate::{
    connections::{ConnectionSettings, Connections, Exchange, SendError},
    gate::Gate,
    platform::request,
    probing,
    settings::Backends,
};

/// Maximum size of the body of a refusal or load report.
const MAX_CONTROL_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of the body of a cache events response.
const MAX_EVENTS_BODY_BYTES: usize = 1024 * 1024;
/// Maximum size of a response with its framing: as large as a stored answer may be.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// Time for a load request to be answered before it is repeated over another
/// connection, and for the first connection to respond once that one has.
const CANARY_TIMEOUT: Duration = Duration::from_millis(300);

/// Client of the backend servers.
#[derive(Debug)]
pub(crate) struct BackendClient {
    log: Logger,
    settings: Backends,
    /// Connections that carry calls.
    connections: Arc<Connections>,
    /// One connection to each backend server for load requests. If it stops
    /// responding, the other connections to that server have failed as well.
    canaries: Arc<Connections>,
    severed: SeveredWatchers,
}

/// Target of a call, and the conditions under which it may be sent.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    /// Backend server.
    pub(crate) backend: BackendName,
    /// Its address.
    pub(crate) addr: SocketAddr,
    /// Time after which the call must not be written to a socket.
    pub(crate) not_after: Instant,
    /// Gate in front of the first byte, for a run that must not happen twice.
    pub(crate) gate: Option<Arc<Gate>>,
}

impl BackendClient {
    /// Creates a client without connections.
    pub(crate) fn new(settings: Backends, log: Logger) -> Self {
        let call_settings = ConnectionSettings {
            connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
            max_idle: usize::try_from(settings.idle_connections).unwrap_or(usize::MAX),
            idle_timeout: Duration::from_millis(settings.idle_timeout_ms),
            max_response_bytes: MAX_RESPONSE_BYTES,
        };
        let canary_settings = ConnectionSettings {
            max_idle: 1,
            ..call_settings
        };
        Self {
            log,
            settings,
            connections: Connections::new(call_settings),
            canaries: Connections::new(canary_settings),
            severed: SeveredWatchers::default(),
        }
    }

    /// Sends `call` and reports its events to `events`.
    pub(crate) async fn run(
        &self,
        destination: Destination,
        call: Box<StageCall>,
        events: mpsc::Sender<Event>,
    ) {
        let mut reader = ResponseReader {
            log: &self.log,
            silence: Duration::from_millis(self.settings.silence_ms),
            max_line_bytes: usize::try_from(self.settings.line_bytes).unwrap_or(usize::MAX),
            lines_left: max_lines(&call),
            backend: &destination.backend,
            id: &call.id,
            events: &events,
            severed: self.severed.watch(destination.addr),
            last_frame_at: None,
        };
        let last_event = self.exchange(&destination, &call, &mut reader).await;
        if let Some(event) = last_event {
            // The receiver is dropped when the request has ended.
            let _ = events.send(event).await;
        }
    }

    /// Sends one request to a backend server to cancel a call. The server also
    /// notices that the connection of the call is closed.
    pub(crate) async fn cancel(&self, addr: SocketAddr, id: CallId) {
        let body = serde_json::to_vec(&Cancel { id }).unwrap_or_default();
        let request = request(Method::POST, addr, "/v1/cancel", Bytes::from(body));
        let sending = async {
            if let Ok(Exchange {
                response, lease, ..
            }) = self.send(addr, request).await
            {
                let body = Limited::new(response.into_body(), MAX_CONTROL_BODY_BYTES);
                if body.collect().await.is_ok() {
                    lease.release().await;
                }
            }
        };
        let _ = time::timeout(self.control_timeout(), sending).await;
    }

    /// Reads the load of the backend server at `addr`. Detects at the same time
    /// whether existing connections to it no longer respond while new ones work.
    pub(crate) async fn load(&self, addr: SocketAddr) -> Option<LoadReport> {
        let started_at = Instant::now();
        self.canaries.take_over(addr, &self.connections);
        let canary = self.request_load(addr);
        tokio::pin!(canary);
        if let Ok(report) = time::timeout(CANARY_TIMEOUT, canary.as_mut()).await {
            return report;
        }
        let fresh = time::timeout(CANARY_TIMEOUT, self.request_load(addr));
        let report = tokio::select! {
            report = canary.as_mut() => return report,
            report = fresh => report.ok()??,
        };
        // A server that is merely slow would have answered the first request first.
        if time::timeout(CANARY_TIMEOUT, canary).await.is_err() {
            warn!(self.log, "connections no longer respond"; "backend" => %report.server);
            metrics::counter!("savoryvane_severed_total").increment(1);
            self.connections.close_idle(addr);
            self.severed.notify(addr, started_at);
        }
        Some(report)
    }

    async fn request_load(&self, addr: SocketAddr) -> Option<LoadReport> {
        let request = request(Method::GET, addr, "/v1/load", Bytes::new());
        let not_after = Instant::now() + self.control_timeout();
        let exchange = self.canaries.send(addr, request, not_after).await.ok()?;
        read_json(exchange, MAX_CONTROL_BODY_BYTES).await
    }

    /// Probes whether the backend server at `addr` still listens and, if it does not,
    /// whether one of its neighbours does.
    pub(crate) async fn probe(
        &self,
        addr: SocketAddr,
        neighbours: impl FnOnce() -> Vec<SocketAddr>,
    ) -> (Probe, Probe) {
        probing::probe(&self.connections, addr, neighbours).await
    }

    /// Reads the cache events of the engine at `addr`, starting at sequence number `from`.
    pub(crate) async fn cache_events(&self, addr: SocketAddr, from: u64) -> Option<CacheEvents> {
        let path = format!("/v1/cache-events?from={from}");
        let request = request(Method::GET, addr, &path, Bytes::new());
        let fetch = async {
            let exchange = self.send(addr, request).await.ok()?;
            read_json(exchange, MAX_EVENTS_BODY_BYTES).await
        };
        time::timeout(self.control_timeout(), fetch).await.ok()?
    }

    /// Closes all idle connections to a server that stopped responding on one.
    pub(crate) fn close_idle(&self, addr: SocketAddr) {
        self.connections.close_idle(addr);
    }

    /// Closes connections that have been idle for longer than the idle timeout.
    pub(crate) fn prune(&self) {
        self.connections.prune();
        self.canaries.prune();
    }

    async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let not_after = Instant::now() + self.control_timeout();
        self.connections.send(addr, request, not_after).await
    }

    fn control_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.connect_timeout_ms + self.settings.silence_ms)
    }

    /// Returns the last event of the call, unless the response contained it.
    async fn exchange(
        &self,
        destination: &Destination,
        call: &StageCall,
        reader: &mut ResponseReader<'_>,
    ) -> Option<Event> {
        let attempt = call.id.attempt;
        let body = match serde_json::to_vec(call) {
            Ok(body) if Instant::now() < destination.not_after => body,
            Ok(_) | Err(_) => return Some(Event::NotSent { attempt }),
        };
        let request = request(Method::POST, destination.addr, "/v1/run", Bytes::from(body));
        let sending = self.connections.send_gated(
            destination.addr,
            request,
            destination.not_after,
            destination.gate.as_ref(),
        );
        let exchange = match reader.watch(sending).await {
            Ok(exchange) => exchange,
            Err(SendError::NotSent(reason)) => {
                warn!(self.log, "call not sent"; "request" => %call.id.request,
                    "stage" => %call.id.stage, "attempt" => attempt,
                    "backend" => %destination.backend, "error" => reason);
                return Some(Event::NotSent { attempt });
            }
            Err(SendError::Sent(reason)) => {
                reader.log_lost(&reason);
                return Some(Event::Lost { attempt });
            }
        };
        let Exchange {
            response, lease, ..
        } = exchange;
        let status = response.status();
        if status != StatusCode::OK {
            let event = refusal(attempt, response.into_body()).await;
            if let (Event::Refused { .. }, Some(gate)) = (&event, &destination.gate) {
                gate.on_refused();
            }
            return Some(event);
        }
        match reader.read(response.into_body()).await {
            Ending::Complete => {
                lease.release().await;
                None
            }
            Ending::NotReusable => None,
            Ending::Lost(reason) => {
                reader.log_lost(&reason);
                Some(Event::Lost { attempt })
            }
        }
    }
}

/// Reads a refusal from the body of a response. A status alone is not a refusal:
/// an intermediary may return the same status after the call has run.
async fn refusal(attempt: u64, body: Incoming) -> Event {
    let body = Limited::new(body, MAX_CONTROL_BODY_BYTES).collect().await;
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

/// Reads a complete JSON response and returns its connection to the pool.
async fn read_json<T: DeserializeOwned>(exchange: Exchange, max_bytes: usize) -> Option<T> {
    let Exchange {
        response, lease, ..
    } = exchange;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), max_bytes);
    let body = body.collect().await.ok()?.to_bytes();
    lease.release().await;
    serde_json::from_slice(&body).ok()
}
