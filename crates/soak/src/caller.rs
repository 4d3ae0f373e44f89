//! Callers who ask one instance after the other, over connections that they keep
//! until they are closed.

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
    client::{self, Answer, Connection, NoAnswer},
    config::{HOST, KEY, Kind, LEAVING, POISON_PATH, TIMEOUT_MS},
    deployment::Deployment,
    ledger::Asked,
    sabotage::Sabotage,
};

/// Time that callers wait, in ms; the route's timeout is shorter.
const DEADLINE_MS: u64 = TIMEOUT_MS + 1_000;
/// Time between an answer and the next request of a caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Time until a caller comes again with the same request.
const COMES_AGAIN_MS: std::ops::Range<u64> = 30..300;
/// Out of a hundred requests, those that go over a new connection.
const NEW_CONNECTION_PERCENT: u32 = 15;
/// Time between two looks whether instances take requests.
const READY_INTERVAL: Duration = Duration::from_millis(200);
/// One in so many answers is tampered with by a sabotage.
const SABOTAGED: u64 = 40;

/// What all callers share.
#[derive(Debug)]
pub(crate) struct Callers {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) sabotage: Option<Sabotage>,
    next: AtomicU64,
    is_over: AtomicBool,
}

impl Callers {
    pub(crate) fn new(deployment: Arc<Deployment>, sabotage: Option<Sabotage>) -> Arc<Self> {
        Arc::new(Self {
            deployment,
            sabotage,
            next: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
        })
    }

    /// Lets every caller end after its answer.
    pub(crate) fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Asks until it is stopped; `seed` drives its choices.
    pub(crate) async fn ask_on(self: Arc<Self>, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut kept: HashMap<usize, Connection> = HashMap::new();
        while !self.is_over() {
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
            time::sleep(pause).await;
            let kind = self.draw_kind(&mut rng);
            let is_new = rng.random_range(0..100) < NEW_CONNECTION_PERCENT;
            // An open connection stays with its instance, ready or not.
            let instance = match kept.keys().min().copied() {
                Some(instance) if !is_new => instance,
                _ => {
                    let Some(instance) = self.deployment.draw_ready(&mut rng) else {
                        continue;
                    };
                    kept.clear();
                    instance
                }
            };
            let asked = self.ask(instance, kind, &mut kept).await;
            if asked.got.is_err() {
                kept.remove(&instance);
            }
            self.deployment.ledger.add(asked);
        }
    }

    /// Asks for the same kind again and again, at any instance.
    pub(crate) async fn come_again(self: Arc<Self>, kind: Kind, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        while !self.is_over() {
            time::sleep(Duration::from_millis(rng.random_range(COMES_AGAIN_MS))).await;
            if let Some(instance) = self.deployment.draw_ready(&mut rng) {
                let asked = self.ask(instance, kind, &mut HashMap::new()).await;
                self.deployment.ledger.add(asked);
            }
        }
    }

    fn draw_kind(&self, rng: &mut Pcg64Mcg) -> Kind {
        let added = self.deployment.added();
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

    /// Asks once, over the connection that is kept or a new one.
    pub(crate) async fn ask(
        &self,
        instance: usize,
        kind: Kind,
        kept: &mut HashMap<usize, Connection>,
    ) -> Asked {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
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
        let boot = self.deployment.boot(instance);
        let sent_at = Instant::now();
        let deadline = sent_at + Duration::from_millis(DEADLINE_MS);
        let request = build(&id, kind, &path, &body);
        let mut got = self.send(instance, request, kept, deadline).await;
        if self.sabotage == Some(Sabotage::Twice)
            && kind == Kind::Booking
            && number.is_multiple_of(SABOTAGED)
        {
            let again = build(&id, kind, &path, &body);
            got = self
                .send(instance, again, &mut HashMap::new(), deadline)
                .await;
        }
        if let Ok(answer) = &mut got {
            self.tamper(number, kind, answer);
        }
        Asked {
            id,
            kind,
            path,
            body,
            instance,
            boot,
            sent_at,
            ended_at: Instant::now(),
            got,
        }
    }

    async fn send(
        &self,
        instance: usize,
        request: Request<Full<Bytes>>,
        kept: &mut HashMap<usize, Connection>,
        deadline: Instant,
    ) -> Result<Answer, NoAnswer> {
        let is_open = kept.get(&instance).is_some_and(|kept| kept.is_ready());
        if !is_open {
            let addr = self.deployment.addresses[instance].caller;
            kept.insert(instance, client::connect(addr).await?);
        }
        let Some(connection) = kept.get_mut(&instance) else {
            return Err(NoAnswer::NotSent);
        };
        client::exchange(connection, request, deadline).await
    }

    /// Does to an answer what a faulty instance would do.
    fn tamper(&self, number: u64, kind: Kind, answer: &mut Answer) {
        match self.sabotage {
            Some(Sabotage::FalseRefusal) if matches!(answer.status.as_u16(), 502 | 504) => {
                answer.status = http::StatusCode::SERVICE_UNAVAILABLE;
            }
            Some(Sabotage::CutShort) if kind.is_stream() && number.is_multiple_of(SABOTAGED) => {
                answer.body.truncate(answer.body.len() / 2);
            }
            Some(Sabotage::Mixed) if number.is_multiple_of(SABOTAGED) => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let other = number.saturating_sub(1);
                let mixed = text.replace(&format!("r{number}"), &format!("r{other}"));
                answer.body = mixed.into_bytes();
            }
            Some(Sabotage::UnseenLeaving) if number.is_multiple_of(SABOTAGED) => {
                let says_so = http::HeaderValue::from_static("1");
                answer.headers.insert(LEAVING, says_so);
            }
            Some(Sabotage::Regress)
                if matches!(kind, Kind::Added(_)) && number.is_multiple_of(2) =>
            {
                answer.status = http::StatusCode::NOT_FOUND;
            }
            _ => {}
        }
    }
}

fn build(id: &str, kind: Kind, path: &str, body: &str) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(kind.method())
        .uri(path)
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-ms", DEADLINE_MS.to_string())
        .header("x-api-key", KEY)
        .header(ECHO_HEADER, id);
    if kind == Kind::Staged {
        request = request.header("pieces", "1,3").header("piece-key", id);
    }
    request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap_or_default()
}

/// Looks again and again which instances say that they take requests, as the
/// platform does.
pub(crate) async fn watch_ready(deployment: Arc<Deployment>) {
    loop {
        for (index, addresses) in deployment.addresses.iter().enumerate() {
            let asked = Request::get("/savoryvane/readyz").header("host", "platform");
            let asked = asked.body(Full::default()).unwrap_or_default();
            let deadline = Instant::now() + READY_INTERVAL;
            let answer = match time::timeout_at(deadline, client::connect(addresses.ready)).await {
                Ok(Ok(mut connection)) => client::exchange(&mut connection, asked, deadline).await,
                _ => Err(NoAnswer::NotSent),
            };
            let is_ready = answer.is_ok_and(|answer| answer.status.is_success());
            deployment.set_ready(index, is_ready);
        }
        time::sleep(READY_INTERVAL).await;
    }
}
