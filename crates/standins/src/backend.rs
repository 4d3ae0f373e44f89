//! A model engine, pool service or plain service over HTTP.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use savoryvane_core::{
    call::{CallId, RefusalReason, ServingState, StageCall},
    ids::ModelName,
};
use savoryvane_wire::backend::{Cancel, LoadReport, Order, Refusal};
use tokio::{
    sync::{oneshot, watch},
    task::AbortHandle,
    time,
};

use crate::{
    Result,
    backend_faults::BackendFaults,
    backend_settings::BackendSettings,
    body::{self, Body, empty, json},
    cache::{CacheReporting, PrefixCache},
    history::History,
    models::Models,
    outbox::Outbox,
    ran::{Ran, RanCall},
    server::{Reply, Server},
    slots::{Occupancy, Place, Slots},
    socket::{Exemption, SocketSwitches},
};

/// Events that wait for a slow reader before the work waits too.
const STREAM_CAPACITY: usize = 64;

/// Time that a leaving server goes on refusing before it stops listening.
const LEAVING_LINGER: Duration = Duration::from_millis(200);

/// Time that a stopping server waits for its calls to end.
const DRAIN_GRACE: Duration = Duration::from_secs(10);

/// How often a stopping server looks whether its calls have ended.
const DRAIN_CHECK: Duration = Duration::from_millis(10);

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
        // Set once, here.
        let _ = state.process.set(server.abort_handle());
        Ok(Self { server, state })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Tells whether it has ended under a call.
    pub fn has_ended(&self) -> bool {
        self.state.has_ended.load(Ordering::Relaxed)
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

/// What the exchanges and the jobs of one server share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: BackendSettings,
    switches: Arc<SocketSwitches>,
    pub(crate) faults: watch::Sender<BackendFaults>,
    pub(crate) slots: Slots,
    models: Arc<Models>,
    pub(crate) cache: PrefixCache,
    pub(crate) ran: Ran,
    /// Ends the server with all that it runs.
    process: OnceLock<AbortHandle>,
    has_ended: AtomicBool,
    open: Mutex<HashMap<CallId, Vec<oneshot::Sender<()>>>>,
    load: Mutex<History<Load>>,
}

#[derive(Clone, Debug)]
struct Load {
    occupancy: Occupancy,
    state: ServingState,
    models: Vec<ModelName>,
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
            process: OnceLock::new(),
            has_ended: AtomicBool::new(false),
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
            return refuse(RefusalReason::BadCall, None);
        };
        if self.ends_under(&call) {
            // The connection is gone before an answer to it is.
            std::future::pending::<()>().await;
        }
        let place = match self.admit(&call) {
            Ok(place) => place,
            Err(reason) => {
                let retry_after_ms = self.faults.borrow().retry_after_ms;
                return refuse(reason, retry_after_ms);
            }
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

    /// Ends the server if it can't bear a call.
    fn ends_under(&self, call: &StageCall) -> bool {
        let marker = self.faults.borrow().ends_under.clone();
        let is_meant = marker.is_some_and(|marker| call.input.to_string().contains(&marker));
        if is_meant && let Some(process) = self.process.get() {
            self.has_ended.store(true, Ordering::Relaxed);
            process.abort();
        }
        is_meant
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

    /// Notes the load as it is now, for reports that lag.
    pub(crate) fn note_load(&self) {
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

    /// Locks the cancel switches of open calls.
    pub(crate) fn open(&self) -> MutexGuard<'_, HashMap<CallId, Vec<oneshot::Sender<()>>>> {
        self.open.lock().expect("no holder of the lock panics")
    }
}

fn refuse(reason: RefusalReason, retry_after_ms: Option<u64>) -> Response<Body> {
    let status = match reason {
        RefusalReason::Full => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Leaving | RefusalReason::NoModel => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::BadCall => StatusCode::BAD_REQUEST,
    };
    let refusal = Refusal {
        reason,
        retry_after_ms,
    };
    json(status, &refusal)
}
