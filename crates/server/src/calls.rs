//! Carries one call to a backend server and reads the events of its answer.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use savoryvane_core::{
    call::{CallId, StageCall, StageEvent},
    execution::Event,
    ids::BackendName,
};
use savoryvane_wire::backend::{Cancel, LoadReport, Refusal};
use slog::{Logger, warn};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};

use crate::{
    connections::{ConnectionSettings, Connections, Exchange, SendError},
    gate::Gate,
    platform::request,
    settings::Backends,
};

/// Largest body of a refusal or report, in bytes.
const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;
/// Time for a read of the load to be answered before another connection is
/// asked, and for the first one to answer after that one has.
const CANARY_TIMEOUT: Duration = Duration::from_millis(300);
/// Lines of an answer besides those with tokens.
const SPARE_LINES: u32 = 16;
/// Lines of an answer to a call that names no most tokens.
const DEFAULT_MAX_LINES: u32 = 100_000;
/// Time for an answer to end after its last event, for its connection to be
/// used again.
const END_TIMEOUT: Duration = Duration::from_millis(250);

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
        let Exchange { response, lease } = exchange;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_SMALL_BODY_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        lease.keep().await;
        serde_json::from_slice(&body).ok()
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
        Some(Refusal { reason }) => Event::Refused { attempt, reason },
        None => Event::Lost { attempt },
    }
}

fn max_lines(call: &StageCall) -> u32 {
    match call.max_tokens {
        0 => DEFAULT_MAX_LINES,
        max_tokens => max_tokens.saturating_add(SPARE_LINES),
    }
}

/// Tells calls in flight when connections to their backend server are found to
/// have gone silent.
#[derive(Debug, Default)]
struct Severed(Mutex<HashMap<SocketAddr, watch::Sender<Option<Instant>>>>);

impl Severed {
    /// Watches for the times from which on connections to `addr` were silent.
    fn watch(&self, addr: SocketAddr) -> watch::Receiver<Option<Instant>> {
        let mut watched = self.lock();
        watched.retain(|_, sender| sender.receiver_count() > 0);
        let sender = watched.entry(addr).or_default();
        sender.subscribe()
    }

    fn tell(&self, addr: SocketAddr, at: Instant) {
        if let Some(sender) = self.lock().get(&addr) {
            sender.send_replace(Some(at));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, watch::Sender<Option<Instant>>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How an answer ended.
enum Ending {
    /// With its last event and nothing after it.
    Whole,
    /// With its last event, but its connection is of no further use.
    Untidy,
    /// Without its last event.
    Lost(String),
}

/// Reads the events of one answer and watches that they keep coming.
struct AnswerReader<'a> {
    log: &'a Logger,
    silence: Duration,
    max_line_bytes: usize,
    lines_left: u32,
    backend: &'a BackendName,
    id: &'a CallId,
    events: &'a mpsc::Sender<Event>,
    /// When it was last found out that connections to the server were silent.
    severed: watch::Receiver<Option<Instant>>,
    /// When the last bytes came.
    last_frame: Option<Instant>,
}

impl AnswerReader<'_> {
    /// Waits for `progress`, and reports each time that it does not come for
    /// long and once when it is known that it will not come.
    async fn watch<T>(&mut self, progress: impl Future<Output = T>) -> T {
        tokio::pin!(progress);
        let mut silence = time::interval_at(Instant::now() + self.silence, self.silence);
        let mut is_severed = false;
        let attempt = self.id.attempt;
        loop {
            tokio::select! {
                biased;
                value = progress.as_mut() => {
                    self.last_frame = Some(Instant::now());
                    return value;
                }
                Ok(()) = self.severed.changed(), if !is_severed => {
                    if self.is_severed() {
                        is_severed = true;
                        let _ = self.events.send(Event::Severed { attempt }).await;
                    }
                }
                _ = silence.tick() => {
                    metrics::counter!("savoryvane_silent_connections_total").increment(1);
                    let _ = self.events.send(Event::Silent { attempt }).await;
                }
            }
        }
    }

    /// Tells whether nothing has come since the server's connections were first
    /// found silent.
    fn is_severed(&mut self) -> bool {
        let severed_at = *self.severed.borrow_and_update();
        severed_at.is_some_and(|at| self.last_frame.is_none_or(|last| last < at))
    }

    async fn read(&mut self, mut body: Incoming) -> Ending {
        let mut buffer = BytesMut::new();
        loop {
            let frame = match self.watch(body.frame()).await {
                Some(Ok(frame)) => frame,
                Some(Err(err)) => return Ending::Lost(err.to_string()),
                None => return Ending::Lost("answer ended before its last event".to_owned()),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end);
                buffer.advance(1);
                match self.take_line(&line).await {
                    Line::More => {}
                    Line::Last if buffer.is_empty() => return tidy_end(body).await,
                    Line::Last => return Ending::Untidy,
                    Line::Bad(reason) => return Ending::Lost(reason),
                }
            }
            if buffer.len() > self.max_line_bytes {
                return Ending::Lost(self.bad("oversized", "line is too long"));
            }
        }
    }

    async fn take_line(&mut self, line: &[u8]) -> Line {
        if line.len() > self.max_line_bytes {
            return Line::Bad(self.bad("oversized", "line is too long"));
        }
        if self.lines_left == 0 {
            return Line::Bad(self.bad("oversized", "answer has too many lines"));
        }
        self.lines_left -= 1;
        let Ok(event) = serde_json::from_slice::<StageEvent>(line) else {
            return Line::Bad(self.bad("malformed", "line is not an event"));
        };
        if event.id() != self.id {
            return Line::Bad(self.bad("foreign", "event of another call"));
        }
        let is_last = !matches!(event, StageEvent::Token { .. });
        // A call that may not be repeated is read to its end even when its
        // request has ended and nobody listens.
        let _ = self.events.send(Event::Answered(event)).await;
        if is_last { Line::Last } else { Line::More }
    }

    /// Counts and logs an answer that is not used any further.
    fn bad(&self, kind: &'static str, reason: &str) -> String {
        metrics::counter!("savoryvane_bad_answers_total", "kind" => kind).increment(1);
        reason.to_owned()
    }

    fn note_lost(&self, reason: &str) {
        warn!(self.log, "answer lost, connection closed"; "request" => %self.id.request,
            "stage" => %self.id.stage, "attempt" => self.id.attempt,
            "backend" => %self.backend, "error" => reason);
    }
}

/// What one line was.
enum Line {
    /// An event that is not the last.
    More,
    /// The last event.
    Last,
    /// Nothing that can be used.
    Bad(String),
}

async fn tidy_end(mut body: Incoming) -> Ending {
    match time::timeout(END_TIMEOUT, body.frame()).await {
        Ok(None) => Ending::Whole,
        Ok(Some(_)) | Err(_) => Ending::Untidy,
    }
}
