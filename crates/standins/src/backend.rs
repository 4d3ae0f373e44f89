//! A model engine, pool service or plain service over HTTP.

use std::{
    collections::{HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use savoryvane_core::{
    call::{CallId, RefusalReason, ServingState, StageCall, StageEvent},
    ids::{BackendName, ModelName},
    objects::{Fencing, StageKind},
};
use savoryvane_wire::backend::{Cancel, LoadReport, Order, Refusal};
use sha2::{Digest, Sha256};
use tokio::{
    sync::{oneshot, watch},
    time::{self, Instant},
};

use crate::{
    Result,
    backend_faults::BackendFaults,
    body::{self, Body, empty, json},
    cache::{CacheReporting, PrefixCache},
    clock::elapsed_us,
    history::History,
    models::Models,
    outbox::{Closed, Outbox},
    ran::{Ran, RanCall, RanState},
    server::{Reply, Server},
    slots::{Occupancy, Place, Slots},
    socket::{Exemption, SocketSwitches},
    weights::{WeightSource, WeightStore},
    work::{Step, first_u64, prefix_hash, stage_output, tokens_of},
};

/// Events that wait for a slow reader before the work waits too.
const STREAM_CAPACITY: usize = 64;

/// Time that a leaving server goes on refusing before it stops listening.
const LEAVING_LINGER: Duration = Duration::from_millis(200);

/// Time that a stopping server waits for its calls to end.
const DRAIN_GRACE: Duration = Duration::from_secs(10);

/// How often a stopping server looks whether its calls have ended.
const DRAIN_CHECK: Duration = Duration::from_millis(10);

/// Settings of a backend server.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Name that it reports.
    pub name: BackendName,
    /// Work that it does.
    pub kind: StageKind,
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Calls that it works on at the same time.
    pub slots: u32,
    /// Calls that may wait for a slot.
    pub queue_limit: usize,
    /// Seed of service times and of random faults.
    pub seed: u64,
    /// Mean time of a call before its first token or its answer, in µs.
    pub service_us: u64,
    /// Time between two tokens of a call that runs alone, in µs.
    pub token_us: u64,
    /// Growth of the time between tokens when all slots are busy, per mille.
    pub batch_slowdown_per_mille: u32,
    /// Age of the load that it reports, in ms.
    pub load_lag_ms: u64,
    /// Prefixes that its cache holds.
    pub cache_prefixes: usize,
    /// Age that a cache event has when it is first reported, in ms.
    pub cache_lag_ms: u64,
    /// Share of cache events that are never reported, per mille.
    pub cache_lost_per_mille: u32,
    /// Whether it checks fencing numbers of orders.
    pub fencing: Fencing,
    /// Models loaded at the start.
    pub models: Vec<ModelName>,
    /// Size of every model, in MB.
    pub model_mb: u64,
    /// Where models are loaded from.
    pub weights: WeightSource,
}

impl BackendSettings {
    /// Returns settings of a quick server for `kind`.
    pub fn new(name: impl Into<BackendName>, kind: StageKind) -> Self {
        Self {
            name: name.into(),
            kind,
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 8,
            queue_limit: 32,
            seed: 1,
            service_us: 2000,
            token_us: 500,
            batch_slowdown_per_mille: 500,
            load_lag_ms: 200,
            cache_prefixes: 64,
            cache_lag_ms: 500,
            cache_lost_per_mille: 20,
            fencing: Fencing::default(),
            models: Vec::new(),
            model_mb: 1000,
            weights: WeightSource::Local(Arc::new(WeightStore::new(0))),
        }
    }
}

/// A backend server as it runs in this process.
#[derive(Debug)]
pub struct BackendServer {
    server: Server,
    state: Arc<State>,
}

impl BackendServer {
    /// Starts a backend server.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn start(settings: BackendSettings) -> Result<Self> {
        let addr = settings.addr;
        let state = Arc::new(State::new(settings));
        let shared = Arc::clone(&state);
        let handler = move |request| Arc::clone(&shared).answer(request);
        let server = Server::start(addr, Arc::clone(&state.switches), handler).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.state.set_faults(faults);
    }

    /// Returns every call that ran, in the order in which they began.
    pub fn ran(&self) -> Vec<RanCall> {
        self.state.ran.all()
    }

    /// Leaves: refuses new work, finishes what it has and stops listening.
    pub async fn stop(self) {
        let mut faults = self.state.faults.borrow().clone();
        faults.leaving = true;
        faults.freeze = false;
        self.state.set_faults(faults);
        time::sleep(LEAVING_LINGER).await;
        let drained = async {
            while self.state.slots.occupancy() != Occupancy::default() {
                time::sleep(DRAIN_CHECK).await;
            }
        };
        // A call on a silent connection never ends by itself.
        let _ = time::timeout(DRAIN_GRACE, drained).await;
        self.server.stop().await;
    }
}

#[derive(Debug)]
struct State {
    settings: BackendSettings,
    switches: Arc<SocketSwitches>,
    faults: watch::Sender<BackendFaults>,
    slots: Slots,
    models: Arc<Models>,
    cache: PrefixCache,
    ran: Ran,
    open: Mutex<HashMap<CallId, Vec<oneshot::Sender<()>>>>,
    load: Mutex<History<Load>>,
}

#[derive(Clone, Debug)]
struct Load {
    occupancy: Occupancy,
    state: ServingState,
    models: Vec<ModelName>,
}

/// How a call that was worked on ended.
enum Ending {
    Done,
    Failed,
    Cancelled,
}

impl State {
    fn new(settings: BackendSettings) -> Self {
        let models = Models::new(
            settings.fencing,
            settings.model_mb,
            settings.weights.clone(),
            &settings.models,
        );
        let reporting = CacheReporting {
            lag_ms: settings.cache_lag_ms,
            lost_per_mille: settings.cache_lost_per_mille,
            seed: settings.seed,
        };
        let load = Load {
            occupancy: Occupancy::default(),
            state: ServingState::Serving,
            models: models.loaded(),
        };
        Self {
            switches: Arc::default(),
            faults: watch::Sender::new(BackendFaults::default()),
            slots: Slots::new(settings.slots, settings.queue_limit),
            models: Arc::new(models),
            cache: PrefixCache::new(settings.cache_prefixes, reporting),
            ran: Ran::default(),
            open: Mutex::default(),
            load: Mutex::new(History::new(settings.load_lag_ms, load)),
            settings,
        }
    }

    fn set_faults(&self, mut faults: BackendFaults) {
        if std::mem::take(&mut faults.silence_established) {
            self.switches.silence_established();
        }
        self.switches.set_max_write_bytes(faults.max_write_bytes);
        self.faults.send_replace(faults);
        self.note_load();
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let response = match (&method, path.as_str()) {
            (&Method::POST, "/v1/run") => self.answer_run(request).await,
            (&Method::POST, "/v1/cancel") => self.answer_cancel(request).await,
            (&Method::GET, "/v1/load") => json(StatusCode::OK, &self.load_report()),
            (&Method::GET, "/v1/cache-events") => self.answer_cache_events(&request),
            (&Method::POST, "/v1/orders") => self.answer_order(request).await,
            (&Method::GET, "/v1/ran") => json(StatusCode::OK, &self.ran.all()),
            (&Method::POST, "/fault") => self.answer_fault(request).await,
            _ => empty(StatusCode::NOT_FOUND),
        };
        Ok(response)
    }

    async fn answer_run(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Ok(call) = body::read_json::<StageCall, _>(request.into_body()).await else {
            return refuse(RefusalReason::BadCall);
        };
        let place = match self.admit(&call) {
            Ok(place) => place,
            Err(reason) => return refuse(reason),
        };
        let (chunks, body) = body::chunked(STREAM_CAPACITY);
        let (cancel, cancelled) = oneshot::channel();
        self.open().entry(call.id.clone()).or_default().push(cancel);
        let outbox = Outbox::new(
            chunks,
            self.faults.subscribe(),
            self.call_seed(&call.id),
            self.ran.last_of_another(&call.id),
        );
        tokio::spawn(self.serve(call, place, cancelled, outbox));
        Response::new(body)
    }

    fn admit(&self, call: &StageCall) -> std::result::Result<Place, RefusalReason> {
        let faults = self.faults.borrow().clone();
        if let Some(reason) = faults.refuse {
            return Err(reason);
        }
        if faults.leaving {
            return Err(RefusalReason::Leaving);
        }
        if call.kind != self.settings.kind {
            return Err(RefusalReason::BadCall);
        }
        if !self.models.serves(call.model.as_ref()) {
            return Err(RefusalReason::NoModel);
        }
        let place = self.slots.enter(call.priority);
        self.note_load();
        place.map_err(|_| RefusalReason::Full)
    }

    async fn serve(
        self: Arc<Self>,
        call: StageCall,
        mut place: Place,
        mut cancelled: oneshot::Receiver<()>,
        mut outbox: Outbox,
    ) {
        let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
        let slot = tokio::select! {
            biased;
            _ = &mut cancelled => None,
            () = outbox.closed() => None,
            () = time::sleep_until(deadline) => None,
            slot = place.slot() => Some(slot),
        };
        drop(place);
        if slot.is_some() {
            self.note_load();
            self.run(&call, &mut cancelled, &mut outbox).await;
        }
        drop(slot);
        drop(cancelled);
        self.forget_ended(&call.id);
        self.note_load();
    }

    /// Drops the cancel switches of ended calls; the same call may have been
    /// sent twice and still run once more.
    fn forget_ended(&self, id: &CallId) {
        let mut open = self.open();
        if let Entry::Occupied(mut entry) = open.entry(id.clone()) {
            entry.get_mut().retain(|cancel| !cancel.is_closed());
            if entry.get().is_empty() {
                entry.remove();
            }
        }
    }

    async fn run(
        &self,
        call: &StageCall,
        cancelled: &mut oneshot::Receiver<()>,
        outbox: &mut Outbox,
    ) {
        let index = self.ran.begin(RanCall {
            id: call.id.clone(),
            kind: call.kind,
            input: call.input.clone(),
            resume_from: call.resume_from,
            state: RanState::Running,
        });
        let ending = tokio::select! {
            biased;
            _ = cancelled => Ending::Cancelled,
            ending = self.work(call, outbox) => ending,
        };
        let state = match ending {
            Ending::Done => RanState::Done,
            Ending::Failed => RanState::Failed,
            Ending::Cancelled => RanState::Cancelled,
        };
        self.ran.end(index, state);
    }

    async fn work(&self, call: &StageCall, outbox: &mut Outbox) -> Ending {
        let started = Instant::now();
        let mut rng = Pcg64::seed_from_u64(self.call_seed(&call.id));
        let fails = rng.random_range(0..1000) < self.faults.borrow().fail_per_mille;
        let worked = tokio::select! {
            () = outbox.closed() => return Ending::Cancelled,
            () = time::sleep(self.service_time(call, &mut rng)) => {
                if fails { Ok(()) } else { self.send_tokens(call, outbox).await }
            }
        };
        if worked.is_err() {
            return Ending::Cancelled;
        }
        let busy_us = elapsed_us(started);
        let last = if fails {
            failure(call, busy_us)
        } else {
            completion(call, busy_us)
        };
        // The work is done, whether or not its answer still finds a reader.
        let _ = outbox.send(last).await;
        let _ = outbox.flush().await;
        if fails { Ending::Failed } else { Ending::Done }
    }

    async fn send_tokens(
        &self,
        call: &StageCall,
        outbox: &mut Outbox,
    ) -> std::result::Result<(), Closed> {
        if call.kind != StageKind::Generate {
            return Ok(());
        }
        let tokens = tokens_of(step(call), &call.input, &call.previous);
        for (index, text) in (0..).zip(tokens).skip(call.resume_from as usize) {
            tokio::select! {
                () = outbox.closed() => return Err(Closed),
                () = time::sleep(self.token_time()) => {}
            }
            let id = call.id.clone();
            outbox.send(StageEvent::Token { id, index, text }).await?;
        }
        Ok(())
    }

    fn service_time(&self, call: &StageCall, rng: &mut Pcg64) -> Duration {
        let mut mean_us = self.settings.service_us;
        if call.kind == StageKind::Generate && self.cache.touch(prefix_hash(&call.input)) {
            mean_us /= 2;
        }
        // Between half and one and a half of the mean.
        let drawn_us = mean_us * rng.random_range(500..1500) / 1000;
        self.slowed(Duration::from_micros(drawn_us))
    }

    fn token_time(&self) -> Duration {
        let running = u64::from(self.slots.occupancy().running);
        let slots = u64::from(self.settings.slots.max(1));
        let growth = u64::from(self.settings.batch_slowdown_per_mille) * running / slots;
        self.slowed(Duration::from_micros(
            self.settings.token_us * (1000 + growth) / 1000,
        ))
    }

    fn slowed(&self, time: Duration) -> Duration {
        time * self.faults.borrow().slow_per_mille / 1000
    }

    async fn answer_cancel(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(cancel) = body::read_json::<Cancel, _>(request.into_body()).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        for open in self.open().remove(&cancel.id).into_iter().flatten() {
            // The call may have ended just now.
            let _ = open.send(());
        }
        empty(StatusCode::NO_CONTENT)
    }

    async fn answer_order(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(order) = body::read_json::<Order, _>(request.into_body()).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let reply = self.models.order(&order);
        let status = if reply.applied {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        json(status, &reply)
    }

    async fn answer_fault(&self, request: Request<Incoming>) -> Response<Body> {
        if let Some(exemption) = request.extensions().get::<Exemption>() {
            exemption.grant();
        }
        body::take_json(request, |faults| self.set_faults(faults)).await
    }

    fn answer_cache_events(&self, request: &Request<Incoming>) -> Response<Body> {
        let query = request.uri().query().unwrap_or("from=0");
        let from = query.strip_prefix("from=").and_then(|n| n.parse().ok());
        match from {
            Some(from) => json(StatusCode::OK, &self.cache.events(from)),
            None => empty(StatusCode::BAD_REQUEST),
        }
    }

    fn load_report(&self) -> LoadReport {
        self.note_load();
        let mut history = self.load.lock().expect("no holder of the lock panics");
        let load = history.lagged();
        LoadReport {
            server: self.settings.name.clone(),
            state: load.state,
            running: load.occupancy.running,
            queued: load.occupancy.queued,
            slots: self.settings.slots,
            age_ms: self.settings.load_lag_ms,
            models: load.models.clone(),
        }
    }

    fn note_load(&self) {
        let state = if self.faults.borrow().leaving {
            ServingState::Leaving
        } else {
            ServingState::Serving
        };
        let load = Load {
            occupancy: self.slots.occupancy(),
            state,
            models: self.models.loaded(),
        };
        let mut history = self.load.lock().expect("no holder of the lock panics");
        history.set(load);
    }

    fn open(&self) -> MutexGuard<'_, HashMap<CallId, Vec<oneshot::Sender<()>>>> {
        self.open.lock().expect("no holder of the lock panics")
    }

    fn call_seed(&self, id: &CallId) -> u64 {
        let digest = Sha256::new()
            .chain_update(self.settings.seed.to_be_bytes())
            .chain_update(id.request.as_str())
            .chain_update(id.stage.as_str())
            .chain_update(id.attempt.to_be_bytes())
            .finalize();
        first_u64(&digest)
    }
}

fn step(call: &StageCall) -> Step {
    Step {
        kind: call.kind,
        max_tokens: call.max_tokens,
    }
}

fn failure(call: &StageCall, busy_us: u64) -> StageEvent {
    StageEvent::Error {
        id: call.id.clone(),
        message: "failed by a fault".to_owned(),
        busy_us,
    }
}

fn completion(call: &StageCall, busy_us: u64) -> StageEvent {
    let tokens = match call.kind {
        StageKind::Generate => tokens_of(step(call), &call.input, &call.previous).len(),
        _ => 0,
    };
    StageEvent::Done {
        id: call.id.clone(),
        output: stage_output(step(call), &call.input, &call.previous),
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        busy_us,
    }
}

fn refuse(reason: RefusalReason) -> Response<Body> {
    let status = match reason {
        RefusalReason::Full => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Leaving | RefusalReason::NoModel => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::BadCall => StatusCode::BAD_REQUEST,
    };
    json(status, &Refusal { reason })
}
