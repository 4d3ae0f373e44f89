//! Schedules the pieces of all requests on the servers of all services.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use super::{
    admission::{self, RefusalHistory},
    batch,
    calls::RunningCall,
    contention::Contention,
    fetched::PendingFetch,
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
    zone_reach::ZonesReach,
};

/// The outcome of one piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// It is completed; holds the handle of its result.
    Done(String),
    /// Its deadline had passed when the server started it.
    Late,
    /// One of its inputs is missing.
    InputGone,
    /// The server has no memory for its result.
    NoRoom,
    /// It failed.
    Failed,
}

impl ItemOutcome {
    /// Returns whether the piece has a result.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server responded; holds the outcome of each piece.
    Answered(Vec<ItemOutcome>),
    /// The server rejected the call as full.
    Full,
    /// The server backs off until the given time, in ms; it rejected the call, or the
    /// call was not sent.
    BackingOff(u64),
    /// The address now belongs to another run of a server.
    Misdirected,
    /// No connection could be made.
    Unreachable,
    /// The response was lost or invalid.
    Lost,
    /// The server has crashed under the call; holds the crash counts of its requests.
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

/// Schedules the pieces of one or more instances.
#[derive(Debug, Default)]
pub struct StageScheduler {
    pub(super) services: BTreeMap<PoolName, StageService>,
    pub(super) requests: HashMap<RequestKey, Request>,
    pub(super) calls: HashMap<CallId, RunningCall>,
    pub(super) results: ResultTable,
    /// Stages whose inputs are being fetched, by the time of their release.
    pub(super) pending_fetches: VecDeque<PendingFetch>,
    pub(super) last_call_number: u64,
    /// Number of the last request.
    last_request_number: u64,
    /// Time before which no request is dropped, in ms. It may be too early, as requests
    /// that have ended since still count.
    pub(super) earliest_drop_ms: Option<u64>,
    /// Whether other schedulers may be calling the servers.
    pub(super) contention: Contention,
    /// Whether requests are left to be handed over.
    pub(super) is_handing_over: bool,
    pub(super) refusals: RefusalHistory,
    /// The scheduler that requests are handed over to.
    pub(super) successor: Option<InstanceName>,
    /// Reachability of the zones of servers.
    pub(super) reach: ZonesReach,
    /// Time of the last response from each zone, in ms.
    pub(super) zone_responded_ms: BTreeMap<ZoneName, u64>,
    /// Requests that were or became suspects here; includes ended ones.
    pub(super) suspects: HashSet<RequestKey>,
    pub(super) actions: Vec<StageAction>,
}

impl StageScheduler {
    /// Applies the configured services, the registered servers and the evacuated
    /// availability zones. Servers in evacuated zones get no new calls, but their
    /// results are still used.
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
        let configured: BTreeMap<PoolName, _> =
            config.services.iter().filter_map(batched).collect();
        self.services
            .retain(|name, _| configured.contains_key(name));
        for (name, batching) in configured {
            let service = self
                .services
                .entry(name)
                .or_insert_with(|| StageService::new(batching));
            service.batching = batching;
        }
        let mut registered_by_service: BTreeMap<PoolName, Vec<BackendName>> = BTreeMap::new();
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
            registered_by_service
                .entry(entry.service.clone())
                .or_default()
                .push(entry.id.clone());
        }
        for (name, service) in &mut self.services {
            let registered = registered_by_service.remove(name).unwrap_or_default();
            service.servers.retain(|id, _| registered.contains(id));
        }
    }

    /// Applies the rate limits of servers, in calls a second. This scheduler uses
    /// `share` of each limit.
    pub fn set_limits(&mut self, limit_per_s: impl Fn(&BackendName) -> Option<f64>, share: f64) {
        for service in self.services.values_mut() {
            for (name, server) in &mut service.servers {
                let limit_per_s = limit_per_s(name).map(|limit| limit.max(MIN_LIMIT_PER_S));
                server.limit_per_s = limit_per_s.map(|limit| limit * share);
            }
        }
    }

    /// Admits the stages of a request, or refuses them if they would not be completed
    /// in time. The outcome is reported by an action.
    pub fn submit(&mut self, now_ms: u64, submission: Submission) {
        self.contention.on_submission(now_ms);
        if submission.ends > 0 {
            self.suspects.insert(submission.key.clone());
        }
        // Requests that another scheduler has started are always admitted.
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
        self.last_request_number += 1;
        let request = Request::new(
            now_ms,
            self.last_request_number,
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

    /// Removes a request whose caller has gone or uses another scheduler. Results that
    /// came with it may be in use there and are left to expire.
    pub fn cancel(&mut self, key: &RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.disown_inherited();
        }
        self.remove(key);
    }

    /// Frees the results of a request that are no longer needed.
    pub fn release(&mut self, key: &RequestKey) {
        self.remove(key);
    }

    /// Dispatches waiting pieces and returns the actions to carry out.
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

    /// Returns the time of the next poll that is due without any other event.
    pub fn next_poll_ms(&self, now_ms: u64) -> Option<u64> {
        let dispatch_retry = self
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
        let due = due.chain(dispatch_retry).chain(fetched);
        due.chain(self.results.next_expiry_ms()).min()
    }

    /// Returns the number of tracked requests, waiting pieces and running calls.
    pub fn load(&self) -> (usize, usize, usize) {
        let waiting = self.services.values().map(|service| service.queue.len());
        (self.requests.len(), waiting.sum(), self.calls.len())
    }
}
