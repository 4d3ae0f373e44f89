//! Schedules the pieces of all requests over the servers of all services.

use std::collections::{BTreeMap, HashMap};

use super::{
    admission::{self, Refusals},
    batch::{self, Batch},
    kept::{Kept, KeptResults},
    request::{Piece, PieceAt, Request},
    server::Server,
    service::{StageService, Taken, Waiting},
    work::{
        CallId, CallItem, ItemInput, Refusal, RequestKey, ResultRef, StageAction, StageCall,
        StageOutcome, Submission,
    },
};
use crate::{
    forwarding::{RoutingConfig, ServerEntry, ServerState},
    ids::{BackendName, PoolName},
};

/// Times that pieces of one request are sent again before it is given up.
const MOST_REPEATS: u32 = 24;
/// Time of a call, as a multiple of what is usual, after which its pieces are
/// sent elsewhere: servers that turned slow take five times as long.
const OVERDUE: f64 = 2.0;
/// Time on top of that for the way and a call that is at work, in ms.
const OVERDUE_SPARE_MS: f64 = 150.0;
/// Time of a call after which its connection is given up, in ms.
const CALL_TIMEOUT_MS: u64 = 3_000;
/// Time between two looks at pieces that wait for a server in their zone while
/// others are idle, in ms.
const WAIT_STEP_MS: u64 = 20;
/// Time to come back after when a service has no server, in ms.
const NO_SERVER_RETRY_AFTER_MS: u64 = 500;
/// Time after which the results of a request that nobody releases are dropped
/// from the books, in ms; servers drop them by themselves.
const BOOK_SPARE_MS: u64 = 1_000;

/// How one piece of a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemEnd {
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
pub enum CallEnd {
    /// It was answered, piece by piece.
    Answered(Vec<ItemEnd>),
    /// The server did not take it.
    Full,
    /// Another run of a server has the address.
    Misdirected,
    /// No connection could be made.
    Unreachable,
    /// Its answer was lost or made no sense.
    Lost,
}

impl CallEnd {
    /// Returns the name used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
        }
    }
}

/// A call that has not ended.
#[derive(Debug)]
struct RunningCall {
    service: PoolName,
    server: BackendName,
    pieces: Vec<Waiting>,
    began_at_ms: u64,
    expected_ms: f64,
    /// Whether its pieces are sent elsewhere too.
    is_overdue: bool,
}

/// The scheduler of pieces of one instance.
#[derive(Debug, Default)]
pub struct StageScheduler {
    services: BTreeMap<PoolName, StageService>,
    requests: HashMap<RequestKey, Request>,
    calls: HashMap<CallId, RunningCall>,
    kept: KeptResults,
    last_call: u64,
    refusals: Refusals,
    actions: Vec<StageAction>,
}

impl StageScheduler {
    /// Takes over the configured services and the registered servers.
    pub fn configure<'a>(
        &mut self,
        config: &RoutingConfig,
        servers: impl IntoIterator<Item = &'a ServerEntry>,
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
            server.is_leaving = entry.state == ServerState::Leaving;
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

    /// Takes a request's stages, or refuses them where they would not be done in
    /// time; how they end is told by an action.
    pub fn submit(&mut self, now_ms: u64, submission: Submission) {
        let Some(taken) = admission::admit(now_ms, &submission, &self.services, &self.refusals)
        else {
            let outcome = self.refusal(now_ms, &submission, Refusal::TooBusy);
            let key = submission.key;
            self.actions.push(StageAction::Finish { key, outcome });
            return;
        };
        let key = submission.key.clone();
        let rest_ms = self.rest_ms(&submission);
        for stage in &submission.stages {
            if let Some(service) = self.services.get_mut(&stage.service) {
                service.committed.add(taken, stage.pieces as usize);
            }
        }
        let request = Request::new(now_ms, submission, rest_ms, taken);
        self.requests.insert(key.clone(), request);
        self.advance(now_ms, &key);
    }

    /// Returns the time that follows each stage until the answer begins.
    fn rest_ms(&self, submission: &Submission) -> Vec<u64> {
        let mut rest_ms = vec![submission.rest_ms; submission.stages.len()];
        for (index, stage) in submission.stages.iter().enumerate().rev() {
            if stage.pieces == 0 {
                continue;
            }
            let usual_ms = self
                .services
                .get(&stage.service)
                .map_or(0, |service| service.usual_ms as u64);
            let with_own_ms = rest_ms[index] + usual_ms;
            for needed in &stage.after {
                if let Some(rest) = rest_ms.get_mut(*needed) {
                    *rest = (*rest).max(with_own_ms);
                }
            }
        }
        rest_ms
    }

    /// Gives up a request whose caller has gone.
    pub fn cancel(&mut self, key: &RequestKey) {
        self.remove(key);
    }

    /// Notes that the results of a request are not needed any more.
    pub fn release(&mut self, key: &RequestKey) {
        self.remove(key);
    }

    /// Notes that a server has freed results, or drops them by itself soon.
    pub fn on_freed(&mut self, server: &BackendName, handles: &[String]) {
        let bytes = handles.iter().map(|handle| self.kept.remove(handle)).sum();
        self.give_room_back(server, bytes);
    }

    /// Notes that servers have dropped results whose time was over.
    fn drop_old_results(&mut self, now_ms: u64) {
        for dropped in self.kept.take_dropped(now_ms) {
            self.give_room_back(&dropped.server, dropped.bytes);
        }
    }

    fn give_room_back(&mut self, server: &BackendName, bytes: u64) {
        let mut services = self.services.values_mut();
        if let Some(server) = services.find_map(|service| service.servers.get_mut(server)) {
            server.room_used = server.room_used.saturating_sub(bytes);
        }
    }

    /// Notes the end of a call.
    pub fn on_call_ended(&mut self, now_ms: u64, id: CallId, end: &CallEnd) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(call.began_at_ms) as f64;
        if let Some(service) = self.services.get_mut(&call.service) {
            service.running = service.running.saturating_sub(call.pieces.len());
        }
        if let Some(server) = self.server_mut(&call) {
            server.calls = server.calls.saturating_sub(1);
            match end {
                CallEnd::Answered(_) => server.on_answer(now_ms, elapsed_ms, call.expected_ms),
                CallEnd::Full => server.on_full(now_ms),
                CallEnd::Misdirected => server.is_leaving = true,
                CallEnd::Unreachable | CallEnd::Lost => server.on_failure(now_ms),
            }
        }
        match end {
            CallEnd::Answered(items) => {
                for (index, waiting) in call.pieces.iter().enumerate() {
                    let item = items.get(index).unwrap_or(&ItemEnd::Failed);
                    self.on_item_ended(now_ms, id, &call, waiting, item);
                }
            }
            CallEnd::Full | CallEnd::Misdirected | CallEnd::Unreachable => {
                for waiting in &call.pieces {
                    self.release_room(&call, waiting);
                    self.wait_again(now_ms, id, waiting, false);
                }
            }
            CallEnd::Lost => {
                for waiting in &call.pieces {
                    self.release_room(&call, waiting);
                    self.wait_again(now_ms, id, waiting, true);
                }
            }
        }
    }

    /// Sends what can be sent, and returns what has to be done.
    pub fn poll(&mut self, now_ms: u64) -> Vec<StageAction> {
        self.drop_expired(now_ms);
        self.drop_old_results(now_ms);
        self.repeat_overdue(now_ms);
        let names: Vec<PoolName> = self.services.keys().cloned().collect();
        for name in names {
            let Some(service) = self.services.get(&name) else {
                continue;
            };
            for key in batch::late(now_ms, service, &self.requests) {
                self.give_up_goal(&key);
            }
            let Some(service) = self.services.get_mut(&name) else {
                continue;
            };
            for batch in batch::fill(now_ms, service, &mut self.requests) {
                self.start_call(now_ms, &name, batch);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which it has to be polled even if nothing happens.
    pub fn next_poll_ms(&self, now_ms: u64) -> Option<u64> {
        let waited_for = self
            .services
            .values()
            .filter(|service| !service.waiting.is_empty() && service.idle_servers(now_ms) > 0)
            .map(|_| now_ms + WAIT_STEP_MS);
        let paused = self
            .services
            .values()
            .filter(|service| !service.waiting.is_empty())
            .flat_map(|service| service.servers.values())
            .filter_map(|server| server.paused_until_ms(now_ms));
        let overdue = self
            .calls
            .values()
            .filter(|call| !call.is_overdue)
            .map(|call| call.overdue_at_ms());
        let deadlines = self.requests.values().map(|request| request.drop_at_ms());
        let due = paused.chain(overdue).chain(deadlines);
        due.chain(waited_for).min()
    }

    /// Returns what is waiting and at work: requests, pieces and calls.
    pub fn load(&self) -> (usize, usize, usize) {
        let waiting = self.services.values().map(|service| service.waiting.len());
        (self.requests.len(), waiting.sum(), self.calls.len())
    }

    /// Notes that a request can't make its goal.
    fn give_up_goal(&mut self, key: &RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.is_late = true;
        }
    }

    fn start_call(&mut self, now_ms: u64, name: &PoolName, batch: Batch) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        let items = batch.pieces.iter().filter_map(|waiting| {
            let request = self.requests.get_mut(&waiting.key)?;
            *request.piece_mut(waiting.at)? = Piece::Running(id);
            Some(call_item(now_ms, request, waiting.at))
        });
        let items: Vec<CallItem> = items.collect();
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let expected_ms = service.batching.duration_ms(items.len());
        let Some(server) = service.servers.get_mut(&batch.server) else {
            return;
        };
        server.calls += 1;
        service.running += items.len();
        self.actions.push(StageAction::Call(StageCall {
            id,
            service: name.clone(),
            server: batch.server.clone(),
            addr: server.addr,
            items,
            timeout_ms: CALL_TIMEOUT_MS,
        }));
        let call = RunningCall {
            service: name.clone(),
            server: batch.server,
            pieces: batch.pieces,
            began_at_ms: now_ms,
            expected_ms,
            is_overdue: false,
        };
        self.calls.insert(id, call);
    }

    fn on_item_ended(
        &mut self,
        now_ms: u64,
        id: CallId,
        call: &RunningCall,
        waiting: &Waiting,
        end: &ItemEnd,
    ) {
        let ItemEnd::Done(handle) = end else {
            self.release_room(call, waiting);
            match end {
                ItemEnd::Late => self.refuse(now_ms, &waiting.key, Refusal::TooLate),
                ItemEnd::InputGone => self.redo_inputs(now_ms, id, waiting),
                ItemEnd::NoRoom => {
                    if let Some(server) = self.server_mut(call) {
                        server.on_no_room(now_ms);
                    }
                    self.wait_again(now_ms, id, waiting, false);
                }
                ItemEnd::Failed | ItemEnd::Done(_) => self.wait_again(now_ms, id, waiting, true),
            }
            return;
        };
        self.keep(now_ms, call, handle, waiting.bytes);
        let zone = self.server_mut(call).map(|server| server.zone.clone());
        let is_wanted = self
            .requests
            .get(&waiting.key)
            .and_then(|request| request.piece(waiting.at))
            .is_some_and(|piece| matches!(piece, Piece::Running(_) | Piece::Waiting));
        let (Some(zone), true) = (zone, is_wanted) else {
            // Its request is gone or has this result from elsewhere.
            self.free(&call.service, &call.server, vec![handle.clone()]);
            return;
        };
        let mut taken = Taken::InTime;
        if let Some(request) = self.requests.get_mut(&waiting.key) {
            taken = request.taken;
            let bytes = request.submission.stages[waiting.at.stage].result_bytes;
            if let Some(piece) = request.piece_mut(waiting.at) {
                *piece = Piece::Done {
                    server: call.server.clone(),
                    result: ResultRef {
                        handle: handle.clone(),
                        zone,
                        bytes,
                    },
                };
            }
        }
        if let Some(service) = self.services.get_mut(&call.service) {
            service.committed.remove(taken, 1);
            service.on_piece_done(now_ms.saturating_sub(waiting.since_ms) as f64);
            service
                .waiting
                .retain(|other| other.key != waiting.key || other.at != waiting.at);
        }
        self.advance(now_ms, &waiting.key);
    }

    fn keep(&mut self, now_ms: u64, call: &RunningCall, handle: &str, bytes: u64) {
        let ttl_ms = self
            .services
            .get(&call.service)
            .map_or(0, |service| service.batching.result_ttl_ms);
        let kept = Kept {
            server: call.server.clone(),
            bytes,
            dropped_at_ms: now_ms + ttl_ms,
        };
        self.kept.insert(handle, kept);
    }

    /// Makes pieces wait whose results are there, frees what is used up and
    /// tells whoever submitted the request once all is done.
    fn advance(&mut self, now_ms: u64, key: &RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let unneeded = request.take_unneeded(false);
        for at in request.unblock() {
            let stage = &request.submission.stages[at.stage];
            if let Some(service) = self.services.get_mut(&stage.service) {
                service.waiting.push(Waiting {
                    key: key.clone(),
                    at,
                    since_ms: now_ms,
                    bytes: stage.result_bytes,
                });
            }
        }
        if request.is_done() && !request.is_finished {
            request.is_finished = true;
            self.actions.push(StageAction::Finish {
                key: key.clone(),
                outcome: StageOutcome::Ready(request.final_results()),
            });
        }
        self.free_results(unneeded);
    }

    /// Makes a piece wait for a server again; `may_have_run` tells whether a
    /// server may have produced it, so that this is a repeat.
    fn wait_again(&mut self, now_ms: u64, id: CallId, waiting: &Waiting, may_have_run: bool) {
        let Some(request) = self.requests.get_mut(&waiting.key) else {
            return;
        };
        if request.piece(waiting.at) != Some(&Piece::Running(id)) {
            return;
        }
        // Its inputs may have been lost while it was on its way.
        let has_inputs = request.has_inputs(waiting.at.stage);
        if let Some(piece) = request.piece_mut(waiting.at) {
            *piece = if has_inputs {
                Piece::Waiting
            } else {
                Piece::Blocked
            };
        }
        request.repeats += u32::from(may_have_run);
        if request.repeats > MOST_REPEATS {
            return self.refuse(now_ms, &waiting.key, Refusal::Failed);
        }
        let stage = &request.submission.stages[waiting.at.stage];
        if has_inputs && let Some(service) = self.services.get_mut(&stage.service) {
            service.waiting.push(waiting.clone());
        }
    }

    fn redo_inputs(&mut self, now_ms: u64, id: CallId, waiting: &Waiting) {
        let Some(request) = self.requests.get_mut(&waiting.key) else {
            return;
        };
        if request.piece(waiting.at) != Some(&Piece::Running(id)) {
            return;
        }
        request.repeats += 1;
        if request.repeats > MOST_REPEATS {
            return self.refuse(now_ms, &waiting.key, Refusal::Failed);
        }
        let services = &self.services;
        let is_known = |server: &BackendName| {
            let mut all = services.values();
            all.any(|service| service.servers.contains_key(server))
        };
        let before = request.unfinished_by_stage();
        if let Some(piece) = request.piece_mut(waiting.at) {
            *piece = Piece::Blocked;
        }
        request.redo_inputs(waiting.at.stage, is_known);
        let after = request.unfinished_by_stage();
        for (stage, (before, after)) in before.into_iter().zip(after).enumerate() {
            let name = &request.submission.stages[stage].service;
            if let Some(service) = self.services.get_mut(name) {
                let again = after.saturating_sub(before);
                service.committed.add(request.taken, again);
                service.waiting.retain(|other| {
                    other.key != waiting.key || request.piece(other.at) == Some(&Piece::Waiting)
                });
            }
        }
        self.advance(now_ms, &waiting.key);
    }

    /// Ends a request that can't be finished.
    fn refuse(&mut self, now_ms: u64, key: &RequestKey, reason: Refusal) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if !request.is_finished {
            let submission = request.submission.clone();
            let outcome = self.refusal(now_ms, &submission, reason);
            self.actions.push(StageAction::Finish {
                key: key.clone(),
                outcome,
            });
        }
        self.remove(key);
    }

    fn refusal(&mut self, now_ms: u64, submission: &Submission, reason: Refusal) -> StageOutcome {
        let forecast = admission::forecast_all(now_ms, submission, &self.services);
        let (reason, retry_after_ms) = if forecast.has_gap {
            (Refusal::NoServer, NO_SERVER_RETRY_AFTER_MS)
        } else {
            let refusals = &mut self.refusals;
            let after_ms = admission::retry_after_ms(now_ms, submission, forecast, refusals);
            (reason, after_ms)
        };
        StageOutcome::Refused {
            reason,
            retry_after_ms,
            forecast_ms: forecast.stages_ms,
        }
    }

    fn remove(&mut self, key: &RequestKey) {
        let Some(mut request) = self.requests.remove(key) else {
            return;
        };
        uncommit(&mut self.services, &request);
        for service in self.services.values_mut() {
            service.waiting.retain(|waiting| waiting.key != *key);
        }
        let unneeded = request.take_unneeded(true);
        self.free_results(unneeded);
    }

    /// Ends requests whose callers have given up or that can't be answered
    /// before they do.
    fn drop_expired(&mut self, now_ms: u64) {
        let expired: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| request.drop_at_ms() <= now_ms)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.refuse(now_ms, &key, Refusal::TooLate);
        }
    }

    /// Sends the pieces of calls elsewhere that take much longer than usual.
    fn repeat_overdue(&mut self, now_ms: u64) {
        let overdue: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| !call.is_overdue && call.overdue_at_ms() <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            call.is_overdue = true;
            let pieces = call.pieces.clone();
            let (service, server) = (call.service.clone(), call.server.clone());
            let elapsed_ms = now_ms.saturating_sub(call.began_at_ms) as f64;
            let expected_ms = call.expected_ms;
            if let Some(service) = self.services.get_mut(&service)
                && let Some(server) = service.servers.get_mut(&server)
            {
                server.on_answer(now_ms, elapsed_ms, expected_ms);
            }
            for waiting in &pieces {
                self.wait_again(now_ms, id, waiting, true);
            }
        }
    }

    fn server_mut(&mut self, call: &RunningCall) -> Option<&mut Server> {
        let service = self.services.get_mut(&call.service)?;
        service.servers.get_mut(&call.server)
    }

    fn release_room(&mut self, call: &RunningCall, waiting: &Waiting) {
        if let Some(server) = self.server_mut(call) {
            server.room_used = server.room_used.saturating_sub(waiting.bytes);
        }
    }

    fn free_results(&mut self, results: Vec<(BackendName, ResultRef)>) {
        let mut by_server: BTreeMap<BackendName, Vec<String>> = BTreeMap::new();
        for (name, result) in results {
            by_server.entry(name).or_default().push(result.handle);
        }
        for (name, handles) in by_server {
            let service = self
                .services
                .iter()
                .find(|(_, service)| service.servers.contains_key(&name))
                .map(|(service, _)| service.clone());
            match service {
                Some(service) => self.free(&service, &name, handles),
                // Its results are gone with it.
                None => {
                    for handle in &handles {
                        self.kept.remove(handle);
                    }
                }
            }
        }
    }

    fn free(&mut self, service: &PoolName, server: &BackendName, handles: Vec<String>) {
        let addr = self
            .services
            .get(service)
            .and_then(|service| service.servers.get(server))
            .map(|server| server.addr);
        if let Some(addr) = addr {
            self.actions.push(StageAction::Free {
                server: server.clone(),
                addr,
                handles,
            });
        }
    }
}

impl RunningCall {
    fn overdue_at_ms(&self) -> u64 {
        self.began_at_ms + (self.expected_ms * OVERDUE + OVERDUE_SPARE_MS) as u64
    }
}

impl Request {
    /// Returns the time at which it is of no use to go on, in ms.
    fn drop_at_ms(&self) -> u64 {
        if self.is_finished {
            self.deadline_at_ms + BOOK_SPARE_MS
        } else {
            self.deadline_at_ms
        }
    }
}

/// Takes the pieces of a request that are not done out of what is committed.
fn uncommit(services: &mut BTreeMap<PoolName, StageService>, request: &Request) {
    for (stage, unfinished) in request.unfinished_by_stage().into_iter().enumerate() {
        let name = &request.submission.stages[stage].service;
        if let Some(service) = services.get_mut(name) {
            service.committed.remove(request.taken, unfinished);
        }
    }
}

fn call_item(now_ms: u64, request: &Request, at: PieceAt) -> CallItem {
    let inputs = request.inputs(at.stage);
    let has_key = request.submission.stages[at.stage].after.is_empty();
    CallItem {
        request: request.submission.request.clone(),
        stage: at.stage,
        piece: at.piece,
        left_ms: request.deadline_at_ms.saturating_sub(now_ms),
        input: if has_key {
            ItemInput::Key(request.submission.piece_key.clone())
        } else {
            ItemInput::Results(inputs)
        },
    }
}
