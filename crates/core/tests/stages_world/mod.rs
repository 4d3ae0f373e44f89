//! Backend servers that take pieces, driven on a simulated clock.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    forwarding::{Batching, Position, RoutingConfig, ServerEntry, ServerState, Service},
    ids::{BackendName, Incarnation, InstanceName, PoolName, RequestId, ZoneName},
    poison::{CrashReport, CrashTracker, Evidence, QuarantineSettings, RequestDigest},
    stages::{
        CallItem, CallOutcome, ItemInput, ItemOutcome, RequestKey, StageAction, StageCall,
        StageOutcome, StageScheduler, StageWork, Submission,
    },
};

/// A result that a server keeps, and what it was made of.
#[derive(Clone, Debug)]
pub struct Kept {
    pub server: BackendName,
    pub request: String,
    pub stage: usize,
    pub piece: u32,
    pub bytes: u64,
    /// When its server drops it, in ms.
    pub expires_at_ms: u64,
}

/// A call that is at work.
#[derive(Clone, Debug)]
struct AtWork {
    call: StageCall,
    /// When it has fetched what its pieces need.
    fetches_at_ms: u64,
    /// Whether what each piece needs was there then.
    had_inputs: Vec<bool>,
    ends_at_ms: u64,
    /// Whether there was room for the result of each piece when its turn came.
    had_room: Vec<bool>,
}

/// Time from the beginning of a call until its server has fetched what the pieces
/// need, in ms: half of what the scheduler counts on.
const FETCH_MS: u64 = 20;

/// Time from the beginning of a call to the end of a server under it, in ms.
const ENDS_AFTER_MS: u64 = 50;
/// Time until it has started again, in ms.
const RESTART_MS: u64 = 2_000;

/// Time after its call for which a server keeps a result, in ms.
const RESULT_TTL_MS: u64 = 4_000;

/// A scheduler with its servers.
pub struct World {
    pub now_ms: u64,
    pub scheduler: StageScheduler,
    pub config: RoutingConfig,
    pub servers: Vec<ServerEntry>,
    pub results: BTreeMap<String, Kept>,
    pub outcomes: Vec<(u64, RequestKey, StageOutcome)>,
    /// Every call that was made.
    pub calls: Vec<(u64, StageCall)>,
    /// What was wrong with a call, by the rules that servers go by.
    pub faults: Vec<String>,
    /// Pieces for whose results a server had no memory.
    pub no_room: usize,
    /// Servers that take calls and never answer.
    pub silent: BTreeSet<BackendName>,
    /// Servers whose calls take this many times as long.
    pub slow: BTreeMap<BackendName, u64>,
    /// Time until which every server works on calls of another scheduler, in ms: calls
    /// wait there until then.
    pub busy_until_ms: u64,
    /// Servers that reject calls and ask for backoff, and until when, in ms.
    pub backoffs: BTreeMap<BackendName, u64>,
    /// Out of a hundred calls, those that end in each of some bad ways.
    pub bad_percent: u32,
    pub rng: Pcg64Mcg,
    /// Time between a request to free results and their end, in ms.
    pub free_lag_ms: u64,
    submissions: BTreeMap<String, Submission>,
    at_work: Vec<AtWork>,
    freeing: Vec<(u64, BackendName, Vec<String>)>,
    /// Servers that are probed, and when.
    probing: Vec<(u64, BackendName)>,
    /// Servers to which no connection can be made.
    pub cut_off: BTreeSet<BackendName>,
    /// Requests that end each server that begins to run them.
    pub poison: BTreeSet<RequestDigest>,
    /// Which servers ended under which requests.
    pub book: CrashTracker,
    /// Servers that have ended, and when.
    pub ended: Vec<(u64, BackendName)>,
    /// Servers that end with the calls that they have, for a reason of their own.
    pub crashing: BTreeSet<BackendName>,
    /// Servers that start, and when.
    starting: Vec<(u64, ServerEntry)>,
    next_handle: u64,
    /// Availability zones that are evacuated.
    pub evacuated: BTreeSet<ZoneName>,
}

pub fn service(name: &str, batching: Batching) -> Service {
    Service {
        name: PoolName::new(name),
        max_connections: 100,
        batching: Some(batching),
        engine: None,
        cold_start: None,
    }
}

pub fn batching(batch_pieces: usize, piece_ms: f64, room_bytes: u64) -> Batching {
    Batching {
        slots: 1,
        queue: 2,
        batch_pieces,
        call_ms: 200.0,
        piece_ms,
        room_bytes,
        result_ttl_ms: RESULT_TTL_MS,
    }
}

pub fn server(id: &str, service: &str, zone: &str) -> ServerEntry {
    ServerEntry {
        id: BackendName::new(id),
        registered_as: BackendName::new(id),
        started_ms: None,
        position: Position::default(),
        service: PoolName::new(service),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneName::new(zone),
        slots: 1,
        state: ServerState::Ready,
        cold_left_ms: 0,
    }
}

pub fn stage(service: &str, after: &[usize], pieces: u32, result_bytes: u64) -> StageWork {
    StageWork {
        service: PoolName::new(service),
        after: after.to_vec(),
        pieces,
        result_bytes,
    }
}

impl World {
    pub fn new(services: Vec<Service>, servers: Vec<ServerEntry>) -> Self {
        let config = RoutingConfig {
            version: 1,
            services,
            ..RoutingConfig::default()
        };
        let mut world = Self {
            now_ms: 0,
            scheduler: StageScheduler::default(),
            config,
            servers,
            results: BTreeMap::new(),
            outcomes: Vec::new(),
            calls: Vec::new(),
            faults: Vec::new(),
            no_room: 0,
            silent: BTreeSet::new(),
            slow: BTreeMap::new(),
            busy_until_ms: 0,
            backoffs: BTreeMap::new(),
            bad_percent: 0,
            rng: Pcg64Mcg::seed_from_u64(1),
            free_lag_ms: 3,
            submissions: BTreeMap::new(),
            at_work: Vec::new(),
            freeing: Vec::new(),
            probing: Vec::new(),
            cut_off: BTreeSet::new(),
            poison: BTreeSet::new(),
            book: CrashTracker::new(QuarantineSettings::default()),
            ended: Vec::new(),
            crashing: BTreeSet::new(),
            starting: Vec::new(),
            next_handle: 0,
            evacuated: BTreeSet::new(),
        };
        world.configure();
        world
    }

    pub fn configure(&mut self) {
        self.scheduler
            .configure(&self.config, &self.servers, &self.evacuated);
    }

    pub fn key(number: u64) -> RequestKey {
        RequestKey {
            instance: InstanceName::new("one"),
            incarnation: Incarnation(1),
            number,
        }
    }

    pub fn submission(number: u64, stages: Vec<StageWork>, goal_ms: u64) -> Submission {
        Submission {
            key: Self::key(number),
            request: RequestId::new(format!("r{number}")),
            stages,
            piece_key: format!("k{number}"),
            goal_left_ms: goal_ms,
            deadline_left_ms: 6_000,
            missing_ms: 0,
            rest_ms: 100,
            priority: 0,
            home_zone: None,
            done: Vec::new(),
            digest: Default::default(),
            ends: 0,
        }
    }

    pub fn submit(&mut self, submission: Submission) {
        let request = submission.request.to_string();
        self.submissions.insert(request, submission.clone());
        self.scheduler.submit(self.now_ms, submission);
        self.carry_out();
    }

    pub fn release(&mut self, number: u64) {
        self.scheduler.release(&Self::key(number));
        self.carry_out();
    }

    /// Lets the scheduler work until it can be sure that no other one does: a piece of
    /// the first stage each half second.
    pub fn schedule_for_a_while(&mut self) {
        let service = self.config.services[0].name.to_string();
        for number in 1_000..1_006 {
            let stages = vec![stage(&service, &[], 1, 8_000)];
            self.submit(Self::submission(number, stages, 1_000));
            self.run(self.now_ms + 500);
            self.release(number);
        }
        self.run(self.now_ms + 100);
    }

    /// Forgets every result of a server, as it does when it is restarted.
    pub fn lose_results(&mut self, server: &str) {
        self.results
            .retain(|_, kept| kept.server.as_str() != server);
    }

    pub fn outcome(&self, number: u64) -> Option<&StageOutcome> {
        let key = Self::key(number);
        let found = self.outcomes.iter().find(|(_, other, _)| *other == key);
        found.map(|(_, _, outcome)| outcome)
    }

    /// Lets time pass in which the scheduler does not run; its servers do.
    pub fn stand_still(&mut self, for_ms: u64) {
        self.now_ms += for_ms;
    }

    /// Runs until `until_ms`.
    pub fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            let set_before = self.scheduler.next_poll_ms(self.now_ms);
            self.now_ms += 1;
            let now_ms = self.now_ms;
            self.results.retain(|_, kept| kept.expires_at_ms > now_ms);
            self.fetch();
            self.end_calls();
            self.end_frees();
            self.end_probes();
            self.start_servers();
            let due = self.scheduler.next_poll_ms(self.now_ms);
            let due = due.into_iter().chain(set_before).min();
            if due.is_some_and(|due_ms| due_ms <= self.now_ms) {
                self.carry_out();
            }
        }
    }

    /// Lets servers fetch what the pieces of their calls need.
    fn fetch(&mut self) {
        for work in &mut self.at_work {
            if work.had_inputs.is_empty() && work.fetches_at_ms <= self.now_ms {
                let items = work.call.items.iter();
                let had_inputs = items.map(|item| match &item.input {
                    ItemInput::Key(_) => true,
                    ItemInput::Results(handles) => {
                        let mut handles = handles.iter();
                        handles.all(|handle| self.results.contains_key(handle))
                    }
                });
                work.had_inputs = had_inputs.collect();
            }
        }
    }

    fn end_calls(&mut self) {
        let now_ms = self.now_ms;
        let (ended, at_work): (Vec<AtWork>, Vec<AtWork>) = std::mem::take(&mut self.at_work)
            .into_iter()
            .partition(|call| call.ends_at_ms <= now_ms);
        self.at_work = at_work;
        for work in ended {
            let AtWork {
                call,
                had_inputs,
                had_room,
                ..
            } = work;
            if self.crashing.contains(&call.server) || self.is_poisoned(&call) {
                self.end_server(&call);
            } else if self.silent.contains(&call.server) {
                let end = CallOutcome::Lost;
                self.scheduler.on_call_ended(now_ms, call.id, &end);
            } else if self.is_bad() {
                let end = match self.rng.random_range(0..4) {
                    0 => CallOutcome::Full,
                    1 => CallOutcome::Unreachable,
                    2 => CallOutcome::Answered(vec![ItemOutcome::Failed; call.items.len()]),
                    _ => CallOutcome::Lost,
                };
                self.scheduler.on_call_ended(now_ms, call.id, &end);
            } else {
                let had = had_inputs.into_iter().zip(had_room);
                let items = call.items.iter().zip(had);
                let ends = items.map(|(item, (had_inputs, had_room))| {
                    if had_inputs {
                        self.make(&call, item, had_room)
                    } else {
                        ItemOutcome::InputGone
                    }
                });
                let ends: Vec<ItemOutcome> = ends.collect();
                let end = CallOutcome::Answered(ends);
                self.scheduler.on_call_ended(now_ms, call.id, &end);
            }
            self.carry_out();
        }
    }

    fn is_poisoned(&self, call: &StageCall) -> bool {
        let mut items = call.items.iter();
        items.any(|item| self.poison.contains(&item.digest))
    }

    /// Ends the server of a call under its requests; it starts again as another run.
    fn end_server(&mut self, call: &StageCall) {
        let now_ms = self.now_ms;
        self.ended.push((now_ms, call.server.clone()));
        self.crashing.remove(&call.server);
        self.lose_results(call.server.as_str());
        let digests: BTreeSet<RequestDigest> = call.items.iter().map(|item| item.digest).collect();
        for digest in &digests {
            let record = CrashReport {
                digest: *digest,
                server: call.server.clone(),
                evidence: Evidence::Refused,
                age_ms: 0,
                is_withdrawn: false,
            };
            self.book.on_end(now_ms, record);
        }
        if let Some(index) = self.servers.iter().position(|s| s.id == call.server) {
            let run = format!("{}+", call.server);
            let next = server(
                &run,
                call.service.as_str(),
                self.servers[index].zone.as_str(),
            );
            self.starting.push((now_ms + RESTART_MS, next));
            self.cut_off.insert(call.server.clone());
        }
        let ends = digests
            .iter()
            .map(|digest| (*digest, self.book.ends(now_ms, digest)));
        let end = CallOutcome::ServerEnded(ends.collect());
        self.scheduler.on_call_ended(now_ms, call.id, &end);
    }

    fn start_servers(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.starting)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.starting = later;
        for (_, next) in due {
            let before = next.id.as_str().trim_end_matches('+');
            let is_before = |entry: &ServerEntry| entry.id.as_str().trim_end_matches('+') == before;
            self.servers.retain(|entry| !is_before(entry));
            self.servers.push(next);
            self.configure();
        }
    }

    fn end_probes(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.probing)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.probing = later;
        for (_, server) in due {
            if self.cut_off.contains(&server) {
                self.probing.push((now_ms + 300, server));
            } else {
                self.scheduler.on_reachable(&server);
                self.carry_out();
            }
        }
    }

    fn is_bad(&mut self) -> bool {
        self.rng.random_range(0..100) < self.bad_percent
    }

    fn end_frees(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.freeing)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.freeing = later;
        for (_, server, handles) in due {
            for handle in &handles {
                self.results.remove(handle);
            }
            self.scheduler.on_freed(&server, &handles);
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        for action in self.scheduler.poll(self.now_ms) {
            match action {
                StageAction::Call(call) => self.take_call(call),
                StageAction::Free {
                    server, handles, ..
                } => {
                    let at_ms = self.now_ms + self.free_lag_ms;
                    self.freeing.push((at_ms, server, handles));
                }
                StageAction::Probe { server, .. } => {
                    let at_ms = self.now_ms + 300;
                    self.probing.push((at_ms, server));
                }
                StageAction::Finish { key, outcome } => {
                    self.outcomes.push((self.now_ms, key, outcome));
                }
            }
        }
    }

    fn take_call(&mut self, call: StageCall) {
        if self.cut_off.contains(&call.server) {
            let end = CallOutcome::Unreachable;
            self.scheduler.on_call_ended(self.now_ms, call.id, &end);
            return self.carry_out();
        }
        self.calls.push((self.now_ms, call.clone()));
        let backoff = self.backoffs.get(&call.server);
        if let Some(until_ms) = backoff.filter(|until_ms| **until_ms > self.now_ms) {
            let end = CallOutcome::BackingOff(*until_ms);
            self.scheduler.on_call_ended(self.now_ms, call.id, &end);
            return self.carry_out();
        }
        let batching = self
            .config
            .services
            .iter()
            .find(|service| service.name == call.service)
            .and_then(|service| service.batching)
            .expect("the service is configured");
        if call.items.len() > batching.batch_pieces {
            self.faults.push("more pieces than a call takes".to_owned());
        }
        let busy = self.at_work.iter().filter(|w| w.call.server == call.server);
        if busy.count() > 0 && !self.silent.contains(&call.server) {
            self.faults
                .push(format!("{} has a call already", call.server));
        }
        for item in &call.items {
            self.check_inputs(item);
        }
        let times = self.slow.get(&call.server).copied().unwrap_or(1);
        let lasts_ms = if self.is_poisoned(&call) {
            ENDS_AFTER_MS
        } else if self.silent.contains(&call.server) {
            call.timeout_ms
        } else {
            batching.duration_ms(call.items.len()) as u64 * times
        };
        let begins_ms = self.now_ms.max(self.busy_until_ms);
        let had_room = self.reserve(&call, batching.room_bytes);
        self.no_room += had_room.iter().filter(|had_room| !**had_room).count();
        self.at_work.push(AtWork {
            fetches_at_ms: begins_ms + FETCH_MS,
            had_inputs: Vec::new(),
            ends_at_ms: begins_ms + lasts_ms,
            call,
            had_room,
        });
    }

    /// Takes memory for the results of a call, as far as there is some.
    fn reserve(&self, call: &StageCall, room_bytes: u64) -> Vec<bool> {
        let kept = self.results.values();
        let mut used: u64 = kept
            .filter(|kept| kept.server == call.server)
            .map(|kept| kept.bytes)
            .sum();
        let items = call.items.iter().map(|item| {
            let bytes = self.submissions[item.request.as_str()].stages[item.stage].result_bytes;
            let has_room = used + bytes <= room_bytes;
            used += if has_room { bytes } else { 0 };
            has_room
        });
        items.collect()
    }

    /// Notes a piece that is not given all results of the stages before it, or
    /// those of another request.
    fn check_inputs(&mut self, item: &CallItem) {
        let submission = &self.submissions[item.request.as_str()];
        let after = &submission.stages[item.stage].after;
        match &item.input {
            ItemInput::Key(key) => {
                if *key != submission.piece_key || !after.is_empty() {
                    self.faults.push(format!("wrong key for {item:?}"));
                }
            }
            ItemInput::Results(handles) => {
                let wanted: u32 = after
                    .iter()
                    .map(|needed| submission.stages[*needed].pieces)
                    .sum();
                if handles.len() != wanted as usize {
                    let given = handles.len();
                    self.faults
                        .push(format!("{given} of {wanted} results for {item:?}"));
                }
            }
        }
    }

    fn make(&mut self, call: &StageCall, item: &CallItem, had_room: bool) -> ItemOutcome {
        let submission = &self.submissions[item.request.as_str()];
        let bytes = submission.stages[item.stage].result_bytes;
        if !had_room {
            return ItemOutcome::NoRoom;
        }
        self.next_handle += 1;
        let handle = format!("h{}", self.next_handle);
        let kept = Kept {
            server: call.server.clone(),
            request: item.request.to_string(),
            stage: item.stage,
            piece: item.piece,
            bytes,
            expires_at_ms: self.now_ms + RESULT_TTL_MS,
        };
        self.results.insert(handle.clone(), kept);
        ItemOutcome::Done(handle)
    }
}
