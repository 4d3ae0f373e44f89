//! The platform log over HTTP, with its limits and fault switches.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use savoryvane_core::ids::Offset;
use savoryvane_wire::platform::{Appended, LogRecord, Records, Trimmed};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::{
    Error, Result,
    append_limit::AppendLimit,
    body::{self, Body, empty, json},
    clock::{elapsed_ms, unix_now_ms},
    log::{BeforeFirst, Delivery, Kept, Retention, Slice, Streams},
    log_settings::{LogFaults, LogSettings},
    server::{HangUp, Reply, Server},
};

/// Records of one read when the reader names no limit.
const DEFAULT_LIMIT: usize = 256;

/// Longest wait of a read, in ms.
const MAX_WAIT_MS: u64 = 60_000;

/// How often a waiting read looks for delayed records.
const DELAYED_CHECK: Duration = Duration::from_millis(10);

/// The log as it runs in this process.
#[derive(Debug)]
pub struct LogServer {
    server: Server,
    state: Arc<State>,
}

impl LogServer {
    /// Starts a log.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn start(settings: LogSettings) -> Result<Self> {
        let addr = settings.addr;
        let state = Arc::new(State::new(settings));
        let shared = Arc::clone(&state);
        let handler = move |request| Arc::clone(&shared).answer(request);
        let server = Server::start(addr, Arc::default(), handler).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the payloads that a stream keeps, oldest first.
    pub fn payloads(&self, stream: &str) -> Vec<Vec<u8>> {
        self.state.payloads(stream)
    }

    /// Stops listening and ends open exchanges.
    pub async fn stop(self) {
        self.state.set_faults(LogFaults::default());
        self.state.stopping.send_replace(true);
        self.server.stop().await;
    }
}

#[derive(Debug)]
struct State {
    settings: LogSettings,
    started: Instant,
    started_at_ms: u64,
    memory: Mutex<Memory>,
    faults: watch::Sender<LogFaults>,
    appended: watch::Sender<u64>,
    stopping: watch::Sender<bool>,
}

#[derive(Debug)]
struct Memory {
    streams: Streams,
    appends: AppendLimit,
    paused_since_ms: Option<u64>,
}

#[derive(Debug)]
struct ReadQuery {
    from: u64,
    limit: usize,
    wait_ms: u64,
}

impl State {
    fn new(settings: LogSettings) -> Self {
        let retention = Retention {
            age_ms: settings.retention_ms,
            records: settings.retention_records,
        };
        Self {
            started: Instant::now(),
            started_at_ms: unix_now_ms(),
            memory: Mutex::new(Memory {
                streams: Streams::new(retention),
                appends: AppendLimit::new(settings.appends_per_s),
                paused_since_ms: None,
            }),
            faults: watch::Sender::new(LogFaults::default()),
            appended: watch::Sender::new(0),
            stopping: watch::Sender::new(false),
            settings,
        }
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().expect("no holder of the lock panics")
    }

    fn now_ms(&self) -> u64 {
        self.started_at_ms + elapsed_ms(self.started)
    }

    fn set_faults(&self, mut faults: LogFaults) {
        {
            let now_ms = self.now_ms();
            let mut memory = self.memory();
            if std::mem::take(&mut faults.trim) {
                memory.streams.trim_all();
            }
            memory.paused_since_ms = match (faults.pause_delivery, memory.paused_since_ms) {
                (false, _) => None,
                (true, since) => since.or(Some(now_ms)),
            };
        }
        self.faults.send_replace(faults);
        self.appended.send_modify(|count| *count += 1);
    }

    fn payloads(&self, stream: &str) -> Vec<Vec<u8>> {
        let now_ms = self.now_ms();
        let mut memory = self.memory();
        let read = |memory: &mut Memory, from| {
            memory
                .streams
                .read(stream, from, usize::MAX, now_ms, Delivery::default())
        };
        let slice = read(&mut memory, 0).or_else(|trimmed| read(&mut memory, trimmed.first));
        slice.map_or_else(
            |_| Vec::new(),
            |slice| slice.records.iter().map(|r| r.payload.to_vec()).collect(),
        )
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        if request.uri().path() == "/fault" {
            return Ok(body::take_json(request, |faults| self.set_faults(faults)).await);
        }
        if let Some(refused) = self.suffer().await {
            return Ok(refused);
        }
        let path = request.uri().path().to_owned();
        let stream = path
            .strip_prefix("/v1/streams/")
            .and_then(|rest| rest.strip_suffix("/records"))
            .filter(|stream| !stream.is_empty() && !stream.contains('/'));
        match (stream, request.method()) {
            (Some(stream), &Method::POST) => self.append(stream, request).await,
            (Some(stream), &Method::GET) => Ok(self.read(stream, &request).await),
            (Some(_), _) => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
            (None, _) => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn suffer(&self) -> Option<Response<Body>> {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = faults.wait_for(|faults| !faults.hang).await;
        let slow_ms = faults.borrow().slow_ms;
        if slow_ms > 0 {
            time::sleep(Duration::from_millis(slow_ms)).await;
        }
        let outage = faults.borrow().outage;
        outage.then(|| empty(StatusCode::SERVICE_UNAVAILABLE))
    }

    async fn append(&self, stream: &str, request: Request<Incoming>) -> Reply {
        let payload = match body::read(request.into_body(), self.settings.max_payload_bytes).await {
            Ok(payload) => payload,
            Err(Error::TooLarge(_)) => return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE)),
            Err(_) => return Err(HangUp),
        };
        let now_ms = self.now_ms();
        let offset = {
            let mut memory = self.memory();
            if !memory.appends.admit(now_ms) {
                return Ok(empty(StatusCode::TOO_MANY_REQUESTS));
            }
            memory.streams.append(stream, now_ms, payload)
        };
        self.appended.send_modify(|count| *count += 1);
        if self.faults.borrow().lose_append_answers {
            return Err(HangUp);
        }
        let appended = Appended {
            offset: Offset(offset),
        };
        Ok(json(StatusCode::OK, &appended))
    }

    async fn read(&self, stream: &str, request: &Request<Incoming>) -> Response<Body> {
        let Some(query) = ReadQuery::parse(request.uri().query().unwrap_or_default()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let until = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        let mut appended = self.appended.subscribe();
        let mut stopping = self.stopping.subscribe();
        loop {
            appended.mark_unchanged();
            if self.faults.borrow().outage {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            match self.read_now(stream, &query) {
                Err(BeforeFirst { first }) => {
                    let trimmed = Trimmed {
                        first: Offset(first),
                    };
                    return json(StatusCode::GONE, &trimmed);
                }
                Ok(slice) if !slice.records.is_empty() || Instant::now() >= until => {
                    return json(StatusCode::OK, &to_records(slice));
                }
                Ok(slice) => tokio::select! {
                    _ = appended.changed() => {}
                    () = time::sleep_until(self.next_check(until)) => {}
                    () = until_stop(&mut stopping) => {
                        return json(StatusCode::OK, &to_records(slice));
                    }
                },
            }
        }
    }

    fn next_check(&self, until: Instant) -> Instant {
        match self.faults.borrow().delivery_delay_ms {
            0 => until,
            _ => until.min(Instant::now() + DELAYED_CHECK),
        }
    }

    fn read_now(&self, stream: &str, query: &ReadQuery) -> std::result::Result<Slice, BeforeFirst> {
        let delay_ms = self.faults.borrow().delivery_delay_ms;
        let now_ms = self.now_ms();
        let mut memory = self.memory();
        let delivery = Delivery {
            delay_ms,
            paused_since_ms: memory.paused_since_ms,
        };
        memory
            .streams
            .read(stream, query.from, query.limit, now_ms, delivery)
    }
}

impl ReadQuery {
    fn parse(query: &str) -> Option<Self> {
        let mut parsed = Self {
            from: 0,
            limit: DEFAULT_LIMIT,
            wait_ms: 0,
        };
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=')?;
            match name {
                "from" => parsed.from = value.parse().ok()?,
                "limit" => parsed.limit = value.parse().ok()?,
                "wait_ms" => parsed.wait_ms = value.parse().ok()?,
                _ => return None,
            }
        }
        Some(parsed)
    }
}

fn to_records(slice: Slice) -> Records {
    Records {
        first: Offset(slice.first),
        next: Offset(slice.next),
        records: slice.records.iter().map(to_record).collect(),
    }
}

fn to_record(kept: &Kept) -> LogRecord {
    LogRecord {
        offset: Offset(kept.offset),
        appended_at_ms: kept.appended_at_ms,
        payload: STANDARD.encode(&kept.payload),
    }
}

async fn until_stop(stopping: &mut watch::Receiver<bool>) {
    // The sender lives as long as the reads that wait.
    let _ = stopping.wait_for(|stop| *stop).await;
}
