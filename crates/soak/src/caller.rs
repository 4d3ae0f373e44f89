//! Callers, which send requests sequentially over persistent connections to instances.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_platform_standin::{CRASH_TRIGGER, ECHO_HEADER};
use tokio::time::{self, Instant};

use crate::{
    client::{self, Connection, NoResponse, Response},
    config::{API_KEY, HOST, Kind, LEAVING_HEADER, POISON_PATH, TIMEOUT_MS, WORKSPACE},
    deployment::Deployment,
    ledger::{ReceivedPart, RequestRecord},
    sabotage::Sabotage,
};

/// Time that callers wait for a response, longer than the timeout of the routes.
const CALLER_TIMEOUT_MS: u64 = TIMEOUT_MS + 1_000;
/// Pause between a response and the next request of a caller.
const THINK_TIME_MS: std::ops::Range<u64> = 5..60;
/// Pause before a caller sends a request of the same kind again.
const RESEND_DELAY_MS: std::ops::Range<u64> = 30..300;
/// Percentage of requests that use a new connection.
const NEW_CONNECTION_PERCENT: u32 = 15;
/// Most times that a caller takes a stream up.
const MAX_TAKE_UPS: usize = 2;
/// Size of a header of the requests of a crowd: together they exceed what the link of an instance
/// carries by its settings.
const CROWD_FILLER_BYTES: usize = 3_000;
/// Interval between two readiness checks, and the timeout of each check.
const READY_INTERVAL: Duration = Duration::from_millis(200);
/// A sabotage tampers with one request or response out of this many.
const TAMPER_PERIOD: u64 = 40;

/// State that all callers share.
#[derive(Debug)]
pub(crate) struct Callers {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) sabotage: Option<Sabotage>,
    next_id: AtomicU64,
    is_stopped: AtomicBool,
}

impl Callers {
    pub(crate) fn new(deployment: Arc<Deployment>, sabotage: Option<Sabotage>) -> Arc<Self> {
        Arc::new(Self {
            deployment,
            sabotage,
            next_id: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
        })
    }

    /// Stops every caller after its current request.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Sends requests of random kinds until the callers are stopped.
    pub(crate) async fn send_until_stopped(self: Arc<Self>, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut connections: HashMap<usize, Connection> = HashMap::new();
        while !self.is_stopped() {
            let pause = Duration::from_millis(rng.random_range(THINK_TIME_MS));
            time::sleep(pause).await;
            let kind = self.draw_kind(&mut rng);
            let is_new = rng.random_range(0..100) < NEW_CONNECTION_PERCENT;
            // An open connection is reused even if its instance is no longer ready.
            let instance = match connections.keys().min().copied() {
                Some(instance) if !is_new => instance,
                _ => {
                    let Some(instance) = self.deployment.draw_ready(&mut rng) else {
                        continue;
                    };
                    connections.clear();
                    instance
                }
            };
            let record = self.send_recorded(instance, kind, &mut connections).await;
            if record.outcome.is_err() {
                connections.remove(&instance);
            }
            if kind == Kind::Quote && !record.is_served() {
                connections.remove(&instance);
                self.take_up(&record, &mut rng).await;
            }
            self.deployment.ledger.add(record);
        }
    }

    /// Takes the stream of `broken` up at other instances as long as it breaks off and some
    /// events have been received, a few times at most.
    async fn take_up(&self, broken: &RequestRecord, rng: &mut Pcg64Mcg) {
        let mut part = broken.received_part();
        for _ in 0..MAX_TAKE_UPS {
            let (Some(received), Some(instance)) = (part, self.deployment.draw_ready(rng)) else {
                return;
            };
            let attempt = self.take_up_at(instance, broken, received).await;
            let is_served = attempt.is_served();
            part = attempt.received_part();
            self.deployment.ledger.add(attempt);
            if is_served {
                return;
            }
        }
    }

    /// Takes the stream of `broken` up at `instance` after what has been received of it.
    pub(crate) async fn take_up_at(
        &self,
        instance: usize,
        broken: &RequestRecord,
        received: ReceivedPart,
    ) -> RequestRecord {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let start_number = self.deployment.start_number(instance);
        let sent_at = Instant::now();
        let deadline = sent_at + Duration::from_millis(CALLER_TIMEOUT_MS);
        let mut request = build_request(&id, broken.kind, &broken.path, &broken.body);
        let named = match self.sabotage {
            Some(Sabotage::ForgottenStreams) => "unknown",
            _ => &received.first_request,
        };
        insert_header(&mut request, "resumes", named);
        let last_event = received.last_event.to_string();
        insert_header(&mut request, "last-event-id", &last_event);
        let connected = match self.sabotage {
            Some(Sabotage::Joined) => {
                request.headers_mut().remove("x-api-key");
                insert_header(&mut request, "tenant", WORKSPACE);
                client::connect(self.deployment.engine_of_another(&received.version)).await
            }
            _ => client::connect(self.deployment.addresses[instance].caller).await,
        };
        let outcome = match connected {
            Ok(mut connection) => client::exchange(&mut connection, request, deadline).await,
            Err(err) => Err(err),
        };
        RequestRecord {
            id,
            kind: broken.kind,
            path: broken.path.clone(),
            body: broken.body.clone(),
            resumes: Some(received),
            instance,
            start_number,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        }
    }

    /// Sends a request of a crowd to `instance` over a new connection, and returns its record.
    pub(crate) async fn send_in_crowd(&self, instance: usize) -> RequestRecord {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let path = format!("/{}/{id}", Kind::Lookup.prefix());
        let start_number = self.deployment.start_number(instance);
        let sent_at = Instant::now();
        let deadline = sent_at + Duration::from_millis(CALLER_TIMEOUT_MS);
        let mut request = build_request(&id, Kind::Lookup, &path, "");
        insert_header(&mut request, "x-filler", &"x".repeat(CROWD_FILLER_BYTES));
        let outcome = self
            .send(instance, request, &mut HashMap::new(), deadline)
            .await;
        RequestRecord {
            id,
            kind: Kind::Lookup,
            path,
            body: String::new(),
            resumes: None,
            instance,
            start_number,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        }
    }

    /// Begins a stream at `instance`, and closes the connection after two events.
    pub(crate) async fn begin_stream(&self, instance: usize) -> RequestRecord {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let path = format!("/{}/{id}", Kind::Quote.prefix());
        let body = format!("body of {id}");
        let start_number = self.deployment.start_number(instance);
        let sent_at = Instant::now();
        let deadline = sent_at + Duration::from_millis(CALLER_TIMEOUT_MS);
        let request = build_request(&id, Kind::Quote, &path, &body);
        let has_two_events =
            |body: &[u8]| body.windows(2).filter(|pair| *pair == b"\n\n").count() >= 2;
        let outcome = match client::connect(self.deployment.addresses[instance].caller).await {
            Ok(mut connection) => {
                client::exchange_until(&mut connection, request, deadline, has_two_events).await
            }
            Err(err) => Err(err),
        };
        RequestRecord {
            id,
            kind: Kind::Quote,
            path,
            body,
            resumes: None,
            instance,
            start_number,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        }
    }

    /// Sends requests of one kind to random instances until the callers are stopped.
    pub(crate) async fn resend_until_stopped(self: Arc<Self>, kind: Kind, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        while !self.is_stopped() {
            time::sleep(Duration::from_millis(rng.random_range(RESEND_DELAY_MS))).await;
            if let Some(instance) = self.deployment.draw_ready(&mut rng) {
                let record = self
                    .send_recorded(instance, kind, &mut HashMap::new())
                    .await;
                self.deployment.ledger.add(record);
            }
        }
    }

    fn draw_kind(&self, rng: &mut Pcg64Mcg) -> Kind {
        let added = self.deployment.added_versions();
        match rng.random_range(0..12) {
            0..3 => Kind::Lookup,
            3..6 => Kind::Booking,
            6..8 => Kind::Draft,
            8 => Kind::Quote,
            9 | 10 => Kind::Staged,
            _ if added.is_empty() => Kind::Lookup,
            _ => Kind::Added(added[rng.random_range(0..added.len())]),
        }
    }

    /// Sends one request over an open or a new connection, and returns its record.
    pub(crate) async fn send_recorded(
        &self,
        instance: usize,
        kind: Kind,
        connections: &mut HashMap<usize, Connection>,
    ) -> RequestRecord {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let path = match kind {
            Kind::Poison => POISON_PATH.to_owned(),
            _ => format!("/{}/{id}", kind.prefix()),
        };
        let body = match kind {
            Kind::Poison => CRASH_TRIGGER.to_owned(),
            _ if kind.method() == "GET" => String::new(),
            _ => format!("body of {id}"),
        };
        let start_number = self.deployment.start_number(instance);
        let sent_at = Instant::now();
        let deadline = sent_at + Duration::from_millis(CALLER_TIMEOUT_MS);
        let request = build_request(&id, kind, &path, &body);
        let mut outcome = self.send(instance, request, connections, deadline).await;
        if self.sabotage == Some(Sabotage::Twice)
            && kind == Kind::Booking
            && number.is_multiple_of(TAMPER_PERIOD)
        {
            let duplicate = build_request(&id, kind, &path, &body);
            outcome = self
                .send(instance, duplicate, &mut HashMap::new(), deadline)
                .await;
        }
        if let Ok(response) = &mut outcome {
            self.tamper(number, kind, response);
        }
        RequestRecord {
            id,
            kind,
            path,
            body,
            resumes: None,
            instance,
            start_number,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        }
    }

    async fn send(
        &self,
        instance: usize,
        request: Request<Full<Bytes>>,
        connections: &mut HashMap<usize, Connection>,
        deadline: Instant,
    ) -> Result<Response, NoResponse> {
        let is_open = connections
            .get(&instance)
            .is_some_and(|connection| connection.is_ready());
        if !is_open {
            let addr = self.deployment.addresses[instance].caller;
            connections.insert(instance, client::connect(addr).await?);
        }
        let Some(connection) = connections.get_mut(&instance) else {
            return Err(NoResponse::NotSent);
        };
        client::exchange(connection, request, deadline).await
    }

    /// Alters a response as a faulty instance would, if the sabotage requires it.
    fn tamper(&self, number: u64, kind: Kind, response: &mut Response) {
        match self.sabotage {
            Some(Sabotage::FalseRefusal) if matches!(response.status.as_u16(), 502 | 504) => {
                response.status = http::StatusCode::SERVICE_UNAVAILABLE;
            }
            Some(Sabotage::CutShort)
                if kind.is_stream() && number.is_multiple_of(TAMPER_PERIOD) =>
            {
                response.body.truncate(response.body.len() / 2);
            }
            Some(Sabotage::Mixed) if number.is_multiple_of(TAMPER_PERIOD) => {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                let other = number.saturating_sub(1);
                let mixed = text.replace(&format!("r{number}"), &format!("r{other}"));
                response.body = mixed.into_bytes();
            }
            Some(Sabotage::UnseenLeaving) if number.is_multiple_of(TAMPER_PERIOD) => {
                let value = http::HeaderValue::from_static("1");
                response.headers.insert(LEAVING_HEADER, value);
            }
            Some(Sabotage::Regress)
                if matches!(kind, Kind::Added(_)) && number.is_multiple_of(2) =>
            {
                response.status = http::StatusCode::NOT_FOUND;
            }
            _ => {}
        }
    }
}

fn insert_header(request: &mut Request<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        request.headers_mut().insert(name, value);
    }
}

fn build_request(id: &str, kind: Kind, path: &str, body: &str) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(kind.method())
        .uri(path)
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-ms", CALLER_TIMEOUT_MS.to_string())
        .header("x-api-key", API_KEY)
        .header(ECHO_HEADER, id);
    let number = id.trim_start_matches('r').parse().unwrap_or_default();
    if let Some(parts) = kind.prompt_parts(number) {
        request = request
            .header("token-count", "500,10")
            .header("prefix-hash", parts);
    }
    if kind == Kind::Staged {
        request = request.header("pieces", "1,3").header("piece-key", id);
    }
    request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap_or_default()
}

/// Polls the readiness of all instances, as the platform does.
pub(crate) async fn poll_readiness(deployment: Arc<Deployment>) {
    loop {
        for (index, addresses) in deployment.addresses.iter().enumerate() {
            let request = Request::get("/savoryvane/readyz").header("host", "platform");
            let request = request.body(Full::default()).unwrap_or_default();
            let deadline = Instant::now() + READY_INTERVAL;
            let response = match time::timeout_at(deadline, client::connect(addresses.ready)).await
            {
                Ok(Ok(mut connection)) => {
                    client::exchange(&mut connection, request, deadline).await
                }
                _ => Err(NoResponse::NotSent),
            };
            let is_ready = response.is_ok_and(|response| response.status.is_success());
            deployment.set_ready(index, is_ready);
        }
        time::sleep(READY_INTERVAL).await;
    }
}
