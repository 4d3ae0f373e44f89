//! Simulates backend servers that process pieces, with a scheduler on a virtual clock.

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

/// A result stored by a server, and the piece that it belongs to.
#[derive(Clone, Debug)]
pub struct StoredResult {
    pub server: BackendName,
    pub request: String,
    pub stage: usize,
    pub piece: u32,
    pub bytes: u64,
    /// Time at which its server expires it, in ms.
    pub expires_at_ms: u64,
}

/// A call that has not ended.
#[derive(Clone, Debug)]
struct RunningCall {
    call: StageCall,
    /// Time at which its server has fetched the inputs, in ms.
    fetches_at_ms: u64,
    /// Whether the inputs of each piece were available then.
    had_inputs: Vec<bool>,
    ends_at_ms: u64,
    /// Whether there was memory for the result of each piece.
    had_memory: Vec<bool>,
}

/// Time from the start of a call until its server has fetched the inputs, in ms: half
/// of what the scheduler assumes.
const FETCH_MS: u64 = 20;

/// Time from the start of a call until it crashes its server, in ms.
const CRASH_AFTER_MS: u64 = 50;
/// Time until a crashed server has restarted, in ms.
const RESTART_MS: u64 = 2_000;

/// Time to live of a result, in ms.
const RESULT_TTL_MS: u64 = 4_000;

/// A scheduler and its simulated servers.
pub struct World {
    pub now_ms: u64,
    pub scheduler: StageScheduler,
    pub config: RoutingConfig,
    pub servers: Vec<ServerEntry>,
    pub results: BTreeMap<String, StoredResult>,
    pub outcomes: Vec<(u64, RequestKey, StageOutcome)>,
    /// All calls that were sent, with their times in ms.
    pub calls: Vec<(u64, StageCall)>,
    /// Violations of the rules for calls.
    pub violations: Vec<String>,
    /// Number of pieces for whose results a server had no memory.
    pub out_of_memory_pieces: usize,
    /// Servers that accept calls and never respond.
    pub silent: BTreeSet<BackendName>,
    /// Servers that never respond, and that no connection can be made to.
    pub cut_off: BTreeSet<BackendName>,
    /// Factors by which the calls of servers take longer.
    pub slowdown_factors: BTreeMap<BackendName, u64>,
    /// Time until which every server is busy with calls of another scheduler, in ms.
    /// Calls wait there until then.
    pub busy_until_ms: u64,
    /// Servers that reject calls and ask for backoff, with its end in ms.
    pub backoffs: BTreeMap<BackendName, u64>,
    /// Percentage of calls that fail in one of several ways.
    pub failure_percent: u32,
    pub rng: Pcg64Mcg,
    /// Time until a server has freed results on request, in ms.
    pub free_delay_ms: u64,
    submissions: BTreeMap<String, Submission>,
    running_calls: Vec<RunningCall>,
    pending_frees: Vec<(u64, BackendName, Vec<String>)>,
    /// Servers that are probed, with the time of the next attempt in ms.
    pending_probes: Vec<(u64, BackendName)>,
    /// Servers that refuse connections.
    pub unreachable: BTreeSet<BackendName>,
    /// Requests that crash each server that starts to process them.
    pub poison: BTreeSet<RequestDigest>,
    /// Counts the servers that crashed under each request.
    pub crash_tracker: CrashTracker,
    /// Servers that have crashed, with the time in ms.
    pub crashed_servers: Vec<(u64, BackendName)>,
    /// Servers that crash with their running calls for an unrelated reason.
    pub crashing: BTreeSet<BackendName>,
    /// Servers that are restarting, with the time at which they are up in ms.
    pending_starts: Vec<(u64, ServerEntry)>,
    next_handle: u64,
    /// Evacuated availability zones.
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
        software: None,
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
            violations: Vec::new(),
            out_of_memory_pieces: 0,
            silent: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            slowdown_factors: BTreeMap::new(),
            busy_until_ms: 0,
            backoffs: BTreeMap::new(),
            failure_percent: 0,
            rng: Pcg64Mcg::seed_from_u64(1),
            free_delay_ms: 3,
            submissions: BTreeMap::new(),
            running_calls: Vec::new(),
            pending_frees: Vec::new(),
            pending_probes: Vec::new(),
            unreachable: BTreeSet::new(),
            poison: BTreeSet::new(),
            crash_tracker: CrashTracker::new(QuarantineSettings::default()),
            crashed_servers: Vec::new(),
            crashing: BTreeSet::new(),
            pending_starts: Vec::new(),
            next_handle: 0,
            evacuated: BTreeSet::new(),
        };
        world.configure();
        world
    }

    fn is_silent(&self, server: &BackendName) -> bool {
        self.silent.contains(server) || self.cut_off.contains(server)
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
        self.perform_actions();
    }

    pub fn release(&mut self, number: u64) {
        self.scheduler.release(&Self::key(number));
        self.perform_actions();
    }

    /// Keeps the scheduler busy until it no longer suspects contention, with one piece
    /// of the first service each half second.
    pub fn run_until_uncontended(&mut self) {
        let service = self.config.services[0].name.to_string();
        for number in 1_000..1_006 {
            let stages = vec![stage(&service, &[], 1, 8_000)];
            self.submit(Self::submission(number, stages, 1_000));
            self.run(self.now_ms + 500);
            self.release(number);
        }
        self.run(self.now_ms + 100);
    }

    /// Drops all results of a server, as its restart does.
    pub fn lose_results(&mut self, server: &str) {
        self.results
            .retain(|_, result| result.server.as_str() != server);
    }

    pub fn outcome(&self, number: u64) -> Option<&StageOutcome> {
        let key = Self::key(number);
        let found = self.outcomes.iter().find(|(_, other, _)| *other == key);
        found.map(|(_, _, outcome)| outcome)
    }

    /// Advances the clock without running the scheduler, while its servers go on.
    pub fn stall(&mut self, for_ms: u64) {
        self.now_ms += for_ms;
    }

    /// Runs the simulation until `until_ms`.
    pub fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            let previous_poll_ms = self.scheduler.next_poll_ms(self.now_ms);
            self.now_ms += 1;
            let now_ms = self.now_ms;
            self.results
                .retain(|_, result| result.expires_at_ms > now_ms);
            self.fetch();
            self.finish_calls();
            self.finish_frees();
            self.finish_probes();
            self.start_servers();
            let due = self.scheduler.next_poll_ms(self.now_ms);
            let due = due.into_iter().chain(previous_poll_ms).min();
            if due.is_some_and(|due_ms| due_ms <= self.now_ms) {
                self.perform_actions();
            }
        }
    }

    /// Fetches the inputs of calls that are due.
    fn fetch(&mut self) {
        for running_call in &mut self.running_calls {
            if running_call.had_inputs.is_empty() && running_call.fetches_at_ms <= self.now_ms {
                let items = running_call.call.items.iter();
                let had_inputs = items.map(|item| match &item.input {
                    ItemInput::Key(_) => true,
                    ItemInput::Results(handles) => {
                        let mut handles = handles.iter();
                        handles.all(|handle| self.results.contains_key(handle))
                    }
                });
                running_call.had_inputs = had_inputs.collect();
            }
        }
    }

    fn finish_calls(&mut self) {
        let now_ms = self.now_ms;
        let (ended, running_calls): (Vec<RunningCall>, Vec<RunningCall>) =
            std::mem::take(&mut self.running_calls)
                .into_iter()
                .partition(|call| call.ends_at_ms <= now_ms);
        self.running_calls = running_calls;
        for running_call in ended {
            let RunningCall {
                call,
                had_inputs,
                had_memory,
                ..
            } = running_call;
            if self.crashing.contains(&call.server) || self.is_poisoned(&call) {
                self.crash_server(&call);
            } else if self.is_silent(&call.server) {
                let end = CallOutcome::Lost;
                self.scheduler.on_call_ended(now_ms, call.id, &end);
            } else if self.should_fail() {
                let end = match self.rng.random_range(0..4) {
                    0 => CallOutcome::Full,
                    1 => CallOutcome::Unreachable,
                    2 => CallOutcome::Answered(vec![ItemOutcome::Failed; call.items.len()]),
                    _ => CallOutcome::Lost,
                };
                self.scheduler.on_call_ended(now_ms, call.id, &end);
            } else {
                let had = had_inputs.into_iter().zip(had_memory);
                let items = call.items.iter().zip(had);
                let ends = items.map(|(item, (had_inputs, had_memory))| {
                    if had_inputs {
                        self.produce_result(&call, item, had_memory)
                    } else {
                        ItemOutcome::InputGone
                    }
                });
                let ends: Vec<ItemOutcome> = ends.collect();
                let end = CallOutcome::Answered(ends);
                self.scheduler.on_call_ended(now_ms, call.id, &end);
            }
            self.perform_actions();
        }
    }

    fn is_poisoned(&self, call: &StageCall) -> bool {
        let mut items = call.items.iter();
        items.any(|item| self.poison.contains(&item.digest))
    }

    /// Crashes the server of a call; it restarts as another run.
    fn crash_server(&mut self, call: &StageCall) {
        let now_ms = self.now_ms;
        self.crashed_servers.push((now_ms, call.server.clone()));
        self.crashing.remove(&call.server);
        self.lose_results(call.server.as_str());
        let digests: BTreeSet<RequestDigest> = call.items.iter().map(|item| item.digest).collect();
        for digest in &digests {
            let record = CrashReport {
                subject: (*digest).into(),
                server: call.server.clone(),
                evidence: Evidence::Refused,
                age_ms: 0,
                is_withdrawn: false,
                is_isolated: false,
            };
            self.crash_tracker.on_crash(now_ms, record);
        }
        if let Some(index) = self.servers.iter().position(|s| s.id == call.server) {
            let run = format!("{}+", call.server);
            let next = server(
                &run,
                call.service.as_str(),
                self.servers[index].zone.as_str(),
            );
            self.pending_starts.push((now_ms + RESTART_MS, next));
            self.unreachable.insert(call.server.clone());
        }
        let ends = digests
            .iter()
            .map(|digest| (*digest, self.crash_tracker.ends(now_ms, &(*digest).into())));
        let end = CallOutcome::ServerEnded(ends.collect());
        self.scheduler.on_call_ended(now_ms, call.id, &end);
    }

    fn start_servers(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_starts)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.pending_starts = later;
        for (_, next) in due {
            let previous = next.id.as_str().trim_end_matches('+');
            let is_previous =
                |entry: &ServerEntry| entry.id.as_str().trim_end_matches('+') == previous;
            self.servers.retain(|entry| !is_previous(entry));
            self.servers.push(next);
            self.configure();
        }
    }

    fn finish_probes(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_probes)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.pending_probes = later;
        for (_, server) in due {
            if self.unreachable.contains(&server) || self.cut_off.contains(&server) {
                self.pending_probes.push((now_ms + 300, server));
            } else {
                self.scheduler.on_reachable(now_ms, &server);
                self.perform_actions();
            }
        }
    }

    fn should_fail(&mut self) -> bool {
        self.rng.random_range(0..100) < self.failure_percent
    }

    fn finish_frees(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_frees)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.pending_frees = later;
        for (_, server, handles) in due {
            for handle in &handles {
                self.results.remove(handle);
            }
            self.scheduler.on_freed(&server, &handles);
            self.perform_actions();
        }
    }

    fn perform_actions(&mut self) {
        for action in self.scheduler.poll(self.now_ms) {
            match action {
                StageAction::Call(call) => self.accept_call(call),
                StageAction::Free {
                    server, handles, ..
                } => {
                    let at_ms = self.now_ms + self.free_delay_ms;
                    self.pending_frees.push((at_ms, server, handles));
                }
                StageAction::Probe { server, .. } => {
                    let at_ms = self.now_ms + 300;
                    self.pending_probes.push((at_ms, server));
                }
                StageAction::Finish { key, outcome } => {
                    self.outcomes.push((self.now_ms, key, outcome));
                }
            }
        }
    }

    fn accept_call(&mut self, call: StageCall) {
        if self.unreachable.contains(&call.server) {
            let end = CallOutcome::Unreachable;
            self.scheduler.on_call_ended(self.now_ms, call.id, &end);
            return self.perform_actions();
        }
        self.calls.push((self.now_ms, call.clone()));
        let backoff = self.backoffs.get(&call.server);
        if let Some(until_ms) = backoff.filter(|until_ms| **until_ms > self.now_ms) {
            let end = CallOutcome::BackingOff(*until_ms);
            self.scheduler.on_call_ended(self.now_ms, call.id, &end);
            return self.perform_actions();
        }
        let batching = self
            .config
            .services
            .iter()
            .find(|service| service.name == call.service)
            .and_then(|service| service.batching)
            .expect("the service is configured");
        if call.items.len() > batching.batch_pieces {
            self.violations
                .push("more pieces than a call takes".to_owned());
        }
        let calls_at_server = self
            .running_calls
            .iter()
            .filter(|running_call| running_call.call.server == call.server);
        if calls_at_server.count() > 0 && !self.is_silent(&call.server) {
            self.violations
                .push(format!("{} has a call already", call.server));
        }
        for item in &call.items {
            self.check_inputs(item);
        }
        let slowdown_factor = self
            .slowdown_factors
            .get(&call.server)
            .copied()
            .unwrap_or(1);
        let lasts_ms = if self.is_poisoned(&call) {
            CRASH_AFTER_MS
        } else if self.is_silent(&call.server) {
            call.timeout_ms
        } else {
            batching.duration_ms(call.items.len()) as u64 * slowdown_factor
        };
        let begins_ms = self.now_ms.max(self.busy_until_ms);
        let had_memory = self.reserve(&call, batching.room_bytes);
        self.out_of_memory_pieces += had_memory.iter().filter(|had_memory| !**had_memory).count();
        self.running_calls.push(RunningCall {
            fetches_at_ms: begins_ms + FETCH_MS,
            had_inputs: Vec::new(),
            ends_at_ms: begins_ms + lasts_ms,
            call,
            had_memory,
        });
    }

    /// Reserves memory for the results of a call, as far as there is some.
    fn reserve(&self, call: &StageCall, room_bytes: u64) -> Vec<bool> {
        let result = self.results.values();
        let mut used: u64 = result
            .filter(|result| result.server == call.server)
            .map(|result| result.bytes)
            .sum();
        let items = call.items.iter().map(|item| {
            let bytes = self.submissions[item.request.as_str()].stages[item.stage].result_bytes;
            let has_memory = used + bytes <= room_bytes;
            used += if has_memory { bytes } else { 0 };
            has_memory
        });
        items.collect()
    }

    /// Records a violation if a piece gets the wrong key or not as many results as the
    /// stages before it have pieces.
    fn check_inputs(&mut self, item: &CallItem) {
        let submission = &self.submissions[item.request.as_str()];
        let after = &submission.stages[item.stage].after;
        match &item.input {
            ItemInput::Key(key) => {
                if *key != submission.piece_key || !after.is_empty() {
                    self.violations.push(format!("wrong key for {item:?}"));
                }
            }
            ItemInput::Results(handles) => {
                let expected: u32 = after
                    .iter()
                    .map(|needed| submission.stages[*needed].pieces)
                    .sum();
                if handles.len() != expected as usize {
                    let given = handles.len();
                    self.violations
                        .push(format!("{given} of {expected} results for {item:?}"));
                }
            }
        }
    }

    fn produce_result(
        &mut self,
        call: &StageCall,
        item: &CallItem,
        had_memory: bool,
    ) -> ItemOutcome {
        let submission = &self.submissions[item.request.as_str()];
        let bytes = submission.stages[item.stage].result_bytes;
        if !had_memory {
            return ItemOutcome::NoRoom;
        }
        self.next_handle += 1;
        let handle = format!("h{}", self.next_handle);
        let result = StoredResult {
            server: call.server.clone(),
            request: item.request.to_string(),
            stage: item.stage,
            piece: item.piece,
            bytes,
            expires_at_ms: self.now_ms + RESULT_TTL_MS,
        };
        self.results.insert(handle.clone(), result);
        ItemOutcome::Done(handle)
    }
}
