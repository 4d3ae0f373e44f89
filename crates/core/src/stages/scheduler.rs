//! Schedules the pieces of all requests over the servers of all services.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use super::{
    admission::{self, RefusalHistory},
    batch,
    calls::RunningCall,
    contention::Contention,
    early_release::PendingFetch,
    request::Request,
    results::ResultTable,
    server::Server,
    service::{AdmissionClass, DISPATCH_RETRY_MS, StageService},
    types::{CallId, Refusal, RequestKey, StageAction, Submission},
};
use crate::{
    forwarding::{MIN_LIMIT_PER_S, RoutingConfig, ServerEntry, ServerState},
    ids::{BackendName, InstanceName, PoolName, ZoneName},
    poison::RequestDigest,
};

/// How one piece of a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// Its result is kept under this name.
    Done(String),
    /// Its time had passed when its turn came.
    Late,
    /// A result that it needs is gone.
    InputGone,
    /// The server has no memory for its result.
    NoRoom,
    /// It failed.
    Failed,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was answered, piece by piece.
    Answered(Vec<ItemOutcome>),
    /// The server did not take it.
    Full,
    /// The server backs off until a time, in ms; it rejected the call, or was not sent it.
    BackingOff(u64),
    /// Another run of a server has the address.
    Misdirected,
    /// No connection could be made.
    Unreachable,
    /// Its answer was lost or made no sense.
    Lost,
    /// The server has ended under it; so many have now under its requests.
    ServerEnded(Vec<(RequestDigest, u32)>),
}

impl CallOutcome {
    /// Returns the name used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Full => "full",
            Self::BackingOff(_) => "backing_off",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::ServerEnded(_) => "server_ended",
        }
    }
}

/// The scheduler of pieces of one instance.
#[derive(Debug, Default)]
pub struct StageScheduler {
    pub(super) services: BTreeMap<PoolName, StageService>,
    pub(super) requests: HashMap<RequestKey, Request>,
    pub(super) calls: HashMap<CallId, RunningCall>,
    pub(super) results: ResultTable,
    /// Results that are being fetched, in the order of their time.
    pub(super) pending_fetches: VecDeque<PendingFetch>,
    pub(super) last_call: u64,
    /// Number of the last request.
    last_request: u64,
    /// Time before which no request is dropped, in ms; those that have ended
    /// since may be the reason.
    pub(super) earliest_drop_ms: Option<u64>,
    /// Whether other schedulers may call the servers too.
    pub(super) contention: Contention,
    /// Whether requests are left that are to be handed over.
    pub(super) is_handing_over: bool,
    pub(super) refusals: RefusalHistory,
    /// The scheduler that goes on with what is handed over.
    pub(super) successor: Option<InstanceName>,
    /// Requests that came as suspects or became so here, also some that have ended.
    pub(super) suspects: HashSet<RequestKey>,
    pub(super) actions: Vec<StageAction>,
}

impl StageScheduler {
    /// Takes over the configured services, the registered servers and the availability
    /// zones that are evacuated: their servers get nothing new, and their results are
    /// used.
    pub fn configure<'a>(
        &mut self,
        config: &RoutingConfig,
        servers: impl IntoIterator<Item = &'a ServerEntry>,
        evacuated: &BTreeSet<ZoneName>,
    ) {
        let batched = |service: &crate::forwarding::Service| {
            let batching = service.batching?;
            Some((service.name.clone(), batching))
        };
        let wanted: BTreeMap<PoolName, _> = config.services.iter().filter_map(batched).collect();
        self.services.retain(|name, _| wanted.contains_key(name));
        for (name, batching) in wanted {
            let service = self
                .services
                .entry(name)
                .or_insert_with(|| StageService::new(batching));
            service.batching = batching;
        }
        let mut known: BTreeMap<PoolName, Vec<BackendName>> = BTreeMap::new();
        for entry in servers {
            let Some(service) = self.services.get_mut(&entry.service) else {
                continue;
            };
            let server = service
                .servers
                .entry(entry.id.clone())
                .or_insert_with(|| Server::new(entry.zone.clone(), entry.addr));
            server.is_excluded =
                entry.state == ServerState::Leaving || evacuated.contains(&entry.zone);
            known
                .entry(entry.service.clone())
                .or_default()
                .push(entry.id.clone());
        }
        for (name, service) in &mut self.services {
            let registered = known.remove(name).unwrap_or_default();
            service.servers.retain(|id, _| registered.contains(id));
        }
    }

    /// Takes over how many calls a second servers take that name a limit, of which this
    /// scheduler uses `share`.
    pub fn set_limits(&mut self, limit_per_s: impl Fn(&BackendName) -> Option<f64>, share: f64) {
        for service in self.services.values_mut() {
            for (name, server) in &mut service.servers {
                let limit_per_s = limit_per_s(name).map(|limit| limit.max(MIN_LIMIT_PER_S));
                server.limit_per_s = limit_per_s.map(|limit| limit * share);
            }
        }
    }

    /// Takes a request's stages, or refuses them where they would not be done in
    /// time; how they end is told by an action.
    pub fn submit(&mut self, now_ms: u64, submission: Submission) {
        self.contention.on_submission(now_ms);
        if submission.ends > 0 {
            self.suspects.insert(submission.key.clone());
        }
        // What another scheduler has begun is finished.
        let is_begun = !submission.done.is_empty();
        let admitted = admission::admit(now_ms, &submission, &self.services, &self.refusals);
        let Some(admission_class) = admitted.or(is_begun.then_some(AdmissionClass::InTime)) else {
            let outcome = self.refusal(now_ms, &submission, Refusal::TooBusy);
            let key = submission.key;
            self.actions.push(StageAction::Finish { key, outcome });
            return;
        };
        let key = submission.key.clone();
        let rest_ms = self.rest_ms(&submission);
        self.record_inherited_results(now_ms, &submission);
        self.last_request += 1;
        let request = Request::new(
            now_ms,
            self.last_request,
            submission,
            rest_ms,
            admission_class,
        );
        let drop_at_ms = request.drop_at_ms();
        let earliest_ms = self.earliest_drop_ms.unwrap_or(drop_at_ms);
        self.earliest_drop_ms = Some(earliest_ms.min(drop_at_ms));
        for (stage, unfinished) in request.unfinished_by_stage().into_iter().enumerate() {
            let name = &request.submission.stages[stage].service;
            if let Some(service) = self.services.get_mut(name) {
                service.committed.add(admission_class, unfinished);
            }
        }
        self.requests.insert(key.clone(), request);
        self.advance(now_ms, &key);
    }

    /// Gives up a request whose caller has gone, or has found another scheduler: what
    /// it brought with it may be in use there, and is left to expire.
    pub fn cancel(&mut self, key: &RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.disown_inherited();
        }
        self.remove(key);
    }

    /// Notes that the results of a request are not needed any more.
    pub fn release(&mut self, key: &RequestKey) {
        self.remove(key);
    }

    /// Sends what can be sent, and returns what has to be done.
    pub fn poll(&mut self, now_ms: u64) -> Vec<StageAction> {
        self.drop_expired(now_ms);
        self.expire_results(now_ms);
        self.hand_over_idle();
        self.repeat_overdue(now_ms);
        self.release_fetched_inputs(now_ms);
        let names: Vec<PoolName> = self.services.keys().cloned().collect();
        for name in names {
            let Some(service) = self.services.get(&name) else {
                continue;
            };
            if !service.can_dispatch(now_ms) {
                continue;
            }
            for key in batch::requests_missing_goal(now_ms, service, &self.requests) {
                self.mark_late(&key);
            }
            let isolation = self.isolation();
            let Some(service) = self.services.get_mut(&name) else {
                continue;
            };
            let batches = batch::assign_batches(now_ms, service, &mut self.requests, isolation);
            for batch in batches {
                self.start_call(now_ms, &name, batch);
            }
            if let Some(service) = self.services.get_mut(&name) {
                service.record_dispatch(now_ms);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which it has to be polled even if nothing happens.
    pub fn next_poll_ms(&self, now_ms: u64) -> Option<u64> {
        let waited_for = self
            .services
            .values()
            .filter(|service| !service.queue.is_empty() && service.idle_servers(now_ms) > 0)
            .map(|_| now_ms + DISPATCH_RETRY_MS);
        let paused = self
            .services
            .values()
            .filter(|service| !service.queue.is_empty())
            .flat_map(|service| service.servers.values())
            .filter_map(|server| server.paused_until_ms(now_ms));
        let overdue = self
            .calls
            .values()
            .filter(|call| !call.is_overdue)
            .map(|call| call.overdue_at_ms());
        let fetched = self.pending_fetches.front().map(|next| next.done_at_ms);
        let due = paused.chain(overdue).chain(self.earliest_drop_ms);
        let due = due.chain(waited_for).chain(fetched);
        due.chain(self.results.next_expiry_ms()).min()
    }

    /// Returns what is waiting and at work: requests, pieces and calls.
    pub fn load(&self) -> (usize, usize, usize) {
        let waiting = self.services.values().map(|service| service.queue.len());
        (self.requests.len(), waiting.sum(), self.calls.len())
    }
}
