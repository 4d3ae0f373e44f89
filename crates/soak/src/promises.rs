//! Checks the promises against what callers and servers observed.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use savoryvane_platform_standin::{CRASH_PART, PARTIAL_EVENT, ReceivedRequest};
use tokio::time::Instant;

use crate::{
    config::{
        API_KEY, EVENTS_PER_STREAM, Kind, MAX_DESCRIPTORS, MEMORY_MB, POISON_PATH, PRESS_SERVICE,
        RETRY_RATIO, RETRY_SLACK, SERVICES, TIMEOUT_MS, WORKSPACE,
    },
    crowd::CrowdCounts,
    deployment::Deployment,
    ledger::{RequestRecord, first_version},
    run::CALM_LIMIT_REQUESTS_PER_S,
    signals::SignalCheck,
};

/// Window of the retry budget.
const RETRY_BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Minimum time between a response and a request that counts as sent after it.
const ORDER_MARGIN: Duration = Duration::from_millis(250);
/// Time beyond a route's timeout within which a caller must have a response, as a margin for a
/// busy machine.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(900);
/// Window in which the requests to a server with a limit are counted, and the requests that it
/// may receive in the window beyond 1.5 times its limit, by the platform's bound.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_SLACK: f64 = 5.0;
/// Crashes under a prompt part, and the time after the last of them, by which all instances know of
/// it; and the requests with it that may still be sent, as the platform's rules state them.
const CRASHES_UNTIL_SETTLED: usize = 5;
const SETTLING_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_REQUESTS_PER_PART: usize = 3;
/// Number of servers that may crash under one request.
const MAX_CRASHES_PER_REQUEST: usize = 3;
/// Bytes in one MB.
const BYTES_PER_MB: u64 = 1_000_000;
/// Minimum percentage of requests that are served in the calm phase.
const CALM_SERVED_PERCENT: usize = 95;
/// Minimum percentage of a crowd's requests that are served at the first attempt that is read, by
/// the platform's rules.
const CROWD_SERVED_PERCENT: usize = 75;

/// Minimum number of streams that are taken up in the calm phase.
const MIN_CALM_TAKE_UPS: usize = 12;
/// Minimum percentage of streams that go on of those that are taken up in the calm phase.
const CALM_TAKE_UP_PERCENT: usize = 95;

/// Streams that callers took up in the calm phase.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TakenUp {
    pub(crate) total: usize,
    pub(crate) gone_on: usize,
}

/// The calm phase at the end of a seed: planned operations and their results.
#[derive(Debug)]
pub(crate) struct CalmPhase {
    pub(crate) started_at: Instant,
    /// Instances that were ready at the start of the phase.
    pub(crate) ready_instances: Vec<usize>,
    /// Configuration version that was published.
    pub(crate) version: u64,
    /// Instances that did not serve the route of that version in time, with the status of their
    /// responses.
    pub(crate) stale_instances: Vec<(usize, Option<u16>)>,
    /// Server that was registered as draining.
    pub(crate) leaving_server: usize,
    /// Time from which the leaving server must receive no requests.
    pub(crate) drained_from: Instant,
    /// Server that announces a limit.
    pub(crate) limited_server: usize,
    pub(crate) taken_up: TakenUp,
    /// What became of the requests of a crowd at one instance.
    pub(crate) crowd: CrowdCounts,
    /// Instance that was stopped as planned.
    pub(crate) stopped_instance: usize,
    pub(crate) stopped_at: Instant,
    pub(crate) stop_completed_at: Instant,
}

/// Requests of callers and executions on servers, indexed by request ID.
struct Observations<'a> {
    deployment: &'a Deployment,
    records: &'a [RequestRecord],
    by_id: HashMap<&'a str, &'a RequestRecord>,
    /// Executed requests with the services of their servers.
    executions: Vec<(&'static str, ReceivedRequest)>,
    runs: HashMap<String, usize>,
}

/// Checks all promises and returns a description of each violation.
pub(crate) fn check(deployment: &Deployment, calm: &CalmPhase) -> Vec<String> {
    let records = deployment.ledger.lock();
    let mut executions = Vec::new();
    for server in &deployment.servers {
        executions.extend(
            server
                .standin
                .executed()
                .into_iter()
                .map(|s| (server.service, s)),
        );
    }
    executions.extend(
        deployment
            .press_servers
            .executed()
            .into_iter()
            .map(|seen| (PRESS_SERVICE, seen)),
    );
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (_, seen) in &executions {
        *runs.entry(id_of(seen).to_owned()).or_default() += 1;
    }
    let observations = Observations {
        deployment,
        records: &records,
        by_id: records
            .iter()
            .map(|record| (record.id.as_str(), record))
            .collect(),
        executions,
        runs,
    };
    let mut violations = Vec::new();
    observations.at_most_once(&mut violations);
    observations.refused_requests_never_ran(&mut violations);
    observations.responses_are_complete_and_own(&mut violations);
    observations.only_caller_requests_ran(&mut violations);
    observations.inputs_belong_to_request(&mut violations);
    observations.routes_never_regress(&mut violations);
    observations.retries_stay_within_budget(&mut violations);
    observations.crashes_are_bounded(calm, &mut violations);
    let signals = SignalCheck {
        deployment,
        records: &records,
        by_id: &observations.by_id,
    };
    signals.leaving_is_respected(&mut violations);
    signals.backoff_is_respected(&mut violations);
    observations.streams_keep_their_version(&mut violations);
    observations.taken_up_streams_go_on(calm, &mut violations);
    observations.check_calm_phase(calm, &mut violations);
    violations
}

pub(crate) fn id_of(seen: &ReceivedRequest) -> &str {
    seen.header("request-id").unwrap_or_default()
}

impl Observations<'_> {
    fn execution_count(&self, id: &str) -> usize {
        self.runs.get(id).copied().unwrap_or(0)
    }

    fn at_most_once(&self, violations: &mut Vec<String>) {
        for record in self
            .records
            .iter()
            .filter(|record| !record.kind.is_repeatable())
        {
            let runs = self.execution_count(&record.id);
            if runs > 1 {
                violations.push(format!(
                    "{} ({:?}) ran {runs} times",
                    record.id, record.kind
                ));
            }
        }
    }

    fn refused_requests_never_ran(&self, violations: &mut Vec<String>) {
        for record in self.records.iter().filter(|record| record.is_refused()) {
            let runs = self.execution_count(&record.id);
            if runs > 0 {
                let (id, kind, status) = (&record.id, record.kind, record.status());
                violations.push(format!(
                    "{id} ({kind:?}) was refused with {status:?} and ran {runs} times"
                ));
            }
        }
    }

    fn responses_are_complete_and_own(&self, violations: &mut Vec<String>) {
        for record in self.records {
            let Ok(response) = &record.outcome else {
                continue;
            };
            if !response.status.is_success() {
                continue;
            }
            let signature = response.header("server-seal").unwrap_or_default();
            let body = String::from_utf8_lossy(&response.body);
            let server = signature.strip_prefix("seal.").unwrap_or_default();
            let expected = expected_body(record, server, first_version(&body));
            let is_expected = if response.is_complete {
                body == expected
            } else {
                expected.starts_with(strip_torn_event(record.kind, &body))
            };
            if signature.is_empty() || !is_expected {
                let (id, kind, complete) = (&record.id, record.kind, response.is_complete);
                violations.push(format!(
                    "{id} ({kind:?}) received {body:?}, complete: {complete}, signed {signature:?}"
                ));
            }
        }
    }

    /// Checks that no stream has events of two software versions over its caller's attempts.
    fn streams_keep_their_version(&self, violations: &mut Vec<String>) {
        for record in self.records {
            let (Some(part), Ok(response)) = (&record.resumes, &record.outcome) else {
                continue;
            };
            let body = String::from_utf8_lossy(&response.body);
            let version = first_version(&body);
            if response.status.is_success() && !version.is_empty() && version != part.version {
                violations.push(format!(
                    "{} joined events of {version} to the stream that {} began at {}",
                    record.id, part.first_request, part.version
                ));
            }
        }
    }

    fn taken_up_streams_go_on(&self, calm: &CalmPhase, violations: &mut Vec<String>) {
        let TakenUp { total, gone_on } = calm.taken_up;
        if total < MIN_CALM_TAKE_UPS {
            violations.push(format!("only {total} streams could be taken up"));
        }
        if gone_on * 100 < total * CALM_TAKE_UP_PERCENT {
            violations.push(format!(
                "only {gone_on} of {total} streams went on that were taken up"
            ));
        }
    }

    fn only_caller_requests_ran(&self, violations: &mut Vec<String>) {
        for (service, seen) in &self.executions {
            let id = id_of(seen);
            let Some(record) = self.by_id.get(id) else {
                violations.push(format!(
                    "a server of {service} ran {id:?}, which no caller sent"
                ));
                continue;
            };
            let is_same = seen.method.as_str() == record.kind.method()
                && seen.path == record.path
                && seen.body == record.body.as_bytes();
            let is_workspace = seen.header("tenant") == Some(WORKSPACE);
            let has_key = seen.headers.values().any(|value| value == API_KEY);
            if !is_same || !is_workspace || has_key {
                violations.push(format!("{id} was modified in transit: {seen:?}"));
            }
        }
    }

    /// Checks that a request receives all stage results that were made for it, and no others.
    fn inputs_belong_to_request(&self, violations: &mut Vec<String>) {
        let servers = self.deployment.servers.iter();
        let made = servers.flat_map(|server| server.standin.stage_results());
        let made: HashMap<String, _> = made.map(|made| (made.handle.clone(), made)).collect();
        for (_, seen) in &self.executions {
            let id = id_of(seen);
            let is_staged = self
                .by_id
                .get(id)
                .is_some_and(|record| record.kind == Kind::Staged);
            if !is_staged {
                continue;
            }
            let inputs = seen.header("inputs").unwrap_or_default();
            let inputs: Vec<_> = inputs.split(',').map(|name| made.get(name)).collect();
            let pieces: HashSet<u64> = inputs.iter().flatten().map(|made| made.piece).collect();
            let is_own = inputs
                .iter()
                .all(|input| input.is_some_and(|made| made.request == id && made.stage == 1));
            if !is_own || inputs.len() != 3 || pieces.len() != 3 {
                violations.push(format!("{id} received the inputs {inputs:?}"));
            }
        }
    }

    /// Checks that an instance that has served a route does not lose it within the same run.
    fn routes_never_regress(&self, violations: &mut Vec<String>) {
        let mut known: HashMap<(usize, u32, u64), Instant> = HashMap::new();
        for record in self.records {
            let Kind::Added(version) = record.kind else {
                continue;
            };
            if record.is_served() {
                let key = (record.instance, record.start_number, version);
                let first = known.entry(key).or_insert(record.ended_at);
                *first = (*first).min(record.ended_at);
            }
        }
        for record in self
            .records
            .iter()
            .filter(|record| record.status() == Some(404))
        {
            let Kind::Added(version) = record.kind else {
                let (id, kind) = (&record.id, record.kind);
                violations.push(format!("{id} ({kind:?}) received 404"));
                continue;
            };
            let key = (record.instance, record.start_number, version);
            if known
                .get(&key)
                .is_some_and(|at| *at + ORDER_MARGIN < record.sent_at)
            {
                let (id, instance) = (&record.id, record.instance);
                violations.push(format!(
                    "{id}: instance {instance} lost the route of version {version}"
                ));
            }
        }
    }

    fn retries_stay_within_budget(&self, violations: &mut Vec<String>) {
        for (service, _) in SERVICES {
            let mut executions: Vec<&ReceivedRequest> = self
                .executions
                .iter()
                .filter(|(name, _)| *name == service)
                .map(|(_, seen)| seen)
                .collect();
            executions.sort_by_key(|seen| seen.received_at);
            let mut seen_ids = HashSet::new();
            let retries: Vec<Instant> = executions
                .iter()
                .filter(|seen| !seen_ids.insert(id_of(seen)))
                .map(|seen| seen.received_at)
                .collect();
            for end in &retries {
                let from = *end - RETRY_BUDGET_WINDOW;
                let count = retries
                    .iter()
                    .filter(|at| **at > from && *at <= end)
                    .count();
                let request_count = self.request_count_around(service, *end);
                let max_allowed = RETRY_RATIO * request_count as f64 + f64::from(RETRY_SLACK);
                if count as f64 > max_allowed {
                    violations.push(format!(
                        "{service}: {count} retries for {request_count} requests"
                    ));
                    break;
                }
            }
        }
    }

    /// Returns the number of requests to a service in the window that ends at `end`, or in the
    /// window that ends half or one window earlier, whichever is largest.
    fn request_count_around(&self, service: &str, end: Instant) -> usize {
        let is_for = |record: &&RequestRecord| match record.kind {
            Kind::Lookup | Kind::Booking | Kind::Added(_) => service == "desk",
            Kind::Draft | Kind::Quote | Kind::Staged => service == "engine",
            Kind::Print | Kind::Poison | Kind::PoisonPart => service == PRESS_SERVICE,
        };
        let shifts = [Duration::ZERO, RETRY_BUDGET_WINDOW / 2, RETRY_BUDGET_WINDOW];
        let counts = shifts.map(|shift| {
            let end = end - shift;
            let from = end - RETRY_BUDGET_WINDOW;
            let window = self.records.iter().filter(is_for);
            window
                .filter(|record| record.sent_at > from && record.sent_at <= end)
                .count()
        });
        counts.into_iter().max().unwrap_or(0)
    }

    /// Checks that hardly any request with a prompt part that crashes servers is sent in the calm
    /// phase once the part has crashed five servers and all instances have had time to know.
    fn crashes_by_part_are_bounded(&self, calm: &CalmPhase, violations: &mut Vec<String>) {
        let mut received: Vec<Instant> = self
            .executions
            .iter()
            .filter(|(service, seen)| *service == PRESS_SERVICE && has_crash_part(seen))
            .map(|(_, seen)| seen.received_at)
            .collect();
        received.sort_unstable();
        let Some(fifth) = received.get(CRASHES_UNTIL_SETTLED - 1) else {
            return;
        };
        let settled_at = (*fifth + SETTLING_TIME).max(calm.started_at);
        let late = received.iter().filter(|at| **at > settled_at).count();
        if late > MAX_LATE_REQUESTS_PER_PART {
            violations.push(format!(
                "{late} requests with a prompt part that crashes servers were sent in the calm phase"
            ));
        }
    }

    /// Checks that a poison request crashes at most three servers once all instances are connected
    /// again, and that no other request is refused as a poison request.
    fn crashes_are_bounded(&self, calm: &CalmPhase, violations: &mut Vec<String>) {
        let ended = self.executions.iter().filter(|(service, seen)| {
            *service == PRESS_SERVICE
                && seen.path == POISON_PATH
                && seen.received_at >= calm.started_at
        });
        let ended = ended.count();
        if ended > MAX_CRASHES_PER_REQUEST {
            violations.push(format!(
                "{ended} servers crashed under one request in the calm phase"
            ));
        }
        let others = self
            .records
            .iter()
            .filter(|record| !record.kind.is_poison());
        let wrongly_refused = others.filter(|record| {
            let response = record.outcome.as_ref().ok();
            response.is_some_and(|response| {
                response.body.starts_with(b"ends_servers")
                    || response.body.starts_with(b"part_ends_servers")
            })
        });
        violations.extend(
            wrongly_refused
                .map(|record| format!("{} was refused as if it crashed servers", record.id)),
        );
    }

    /// Checks the promises that hold in the absence of faults.
    fn check_calm_phase(&self, calm: &CalmPhase, violations: &mut Vec<String>) {
        let instances = self.deployment.addresses.len();
        if calm.ready_instances.len() < instances {
            violations.push(format!(
                "only {:?} of {instances} are ready again",
                calm.ready_instances
            ));
        }
        for (instance, status) in &calm.stale_instances {
            let version = calm.version;
            violations.push(format!(
                "version {version} is not in force at instance {instance}: {status:?}"
            ));
        }
        self.crowd_is_served(calm, violations);
        self.usage_is_bounded(violations);
        self.crashes_by_part_are_bounded(calm, violations);
        self.leaving_server_is_drained(calm, violations);
        self.limit_is_respected(calm, violations);
        self.planned_stop_cuts_nothing(calm, violations);
        let calm_records: Vec<&RequestRecord> = self
            .records
            .iter()
            .filter(|record| record.sent_at >= calm.started_at && !record.kind.is_poison())
            .collect();
        let served = calm_records
            .iter()
            .filter(|record| record.is_served())
            .count();
        if served * 100 < calm_records.len() * CALM_SERVED_PERCENT {
            violations.push(format!(
                "only {served} of {} served in the calm phase",
                calm_records.len()
            ));
        }
        for record in calm_records {
            let elapsed = record.ended_at - record.sent_at;
            if elapsed > Duration::from_millis(TIMEOUT_MS) + TIMEOUT_MARGIN {
                violations.push(format!("{} had no response for {elapsed:?}", record.id));
            }
        }
    }

    /// Checks that the requests of a crowd are served at the first attempt that is read.
    fn crowd_is_served(&self, calm: &CalmPhase, violations: &mut Vec<String>) {
        let CrowdCounts {
            sent,
            served,
            unread,
        } = calm.crowd;
        if served * 100 < sent * CROWD_SERVED_PERCENT {
            violations.push(format!(
                "only {served} of {sent} requests of a crowd were served, {unread} at another instance"
            ));
        }
    }

    /// Checks that each process has stayed within the memory and the descriptors of its machine.
    fn usage_is_bounded(&self, violations: &mut Vec<String>) {
        let (memory_bytes, descriptors) = self.deployment.max_usage();
        if memory_bytes > MEMORY_MB * BYTES_PER_MB || descriptors > MAX_DESCRIPTORS {
            violations.push(format!(
                "a process took {memory_bytes} bytes of memory, one {descriptors} descriptors"
            ));
        }
    }

    fn leaving_server_is_drained(&self, calm: &CalmPhase, violations: &mut Vec<String>) {
        let server = &self.deployment.servers[calm.leaving_server];
        let executions = server.standin.executed();
        let late = executions
            .iter()
            .filter(|seen| seen.received_at > calm.drained_from);
        for seen in late {
            let id = id_of(seen);
            violations.push(format!(
                "{} received {id} although it is leaving",
                server.run_id()
            ));
        }
    }

    /// Checks that a server with a limit receives no more requests than it allows, until an
    /// instance is stopped.
    fn limit_is_respected(&self, calm: &CalmPhase, violations: &mut Vec<String>) {
        let server = &self.deployment.servers[calm.limited_server];
        let executions = server
            .standin
            .executed()
            .into_iter()
            .map(|seen| seen.received_at);
        let executions: Vec<Instant> = executions
            .filter(|at| (calm.started_at..calm.stopped_at).contains(at))
            .collect();
        let within = |first: &Instant| {
            let span = *first..*first + LIMIT_WINDOW;
            executions.iter().filter(|at| span.contains(at)).count()
        };
        let worst = executions.iter().map(within).max().unwrap_or_default();
        let max_allowed =
            1.5 * CALM_LIMIT_REQUESTS_PER_S * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        if worst as f64 > max_allowed {
            let id = server.run_id();
            violations.push(format!(
                "{id} received {worst} requests in 4 s, more than its limit allows"
            ));
        }
    }

    /// Checks that a planned stop interrupts no request that has reached a server.
    fn planned_stop_cuts_nothing(&self, calm: &CalmPhase, violations: &mut Vec<String>) {
        let callers_records = self
            .records
            .iter()
            .filter(|record| !record.kind.is_poison());
        for record in callers_records.filter(|record| record.instance == calm.stopped_instance) {
            let is_during =
                record.ended_at >= calm.stopped_at && record.sent_at <= calm.stop_completed_at;
            let is_cut = match &record.outcome {
                Ok(response) => !response.is_complete,
                Err(_) => true,
            };
            if is_during && is_cut && self.execution_count(&record.id) > 0 {
                violations.push(format!("{} was interrupted by a planned stop", record.id));
            }
        }
    }
}

/// Returns whether the prompt of a request shares the part that crashes servers.
fn has_crash_part(seen: &ReceivedRequest) -> bool {
    let parts = seen.header("prefix-hash").unwrap_or_default();
    parts.contains(&format!(",{CRASH_PART}:"))
}

/// Returns a truncated body without the partial event that its server may have sent last.
/// Partial events of resumable streams are never forwarded, so those bodies stay unchanged.
fn strip_torn_event(kind: Kind, body: &str) -> &str {
    match kind {
        Kind::Draft | Kind::Staged | Kind::Print => {
            body.strip_suffix(PARTIAL_EVENT).unwrap_or(body)
        }
        _ => body,
    }
}

/// Returns the body of a complete response of `server` to a request, if `version` wrote its first
/// event.
fn expected_body(record: &RequestRecord, server: &str, version: &str) -> String {
    let id = &record.id;
    if !record.kind.is_stream() {
        return format!("answer of {server} to {id}");
    }
    let by = match version {
        "" => String::new(),
        version => format!(" by {version}"),
    };
    let first = record
        .resumes
        .as_ref()
        .map_or(0, |part| part.last_event + 1);
    let events = first..EVENTS_PER_STREAM;
    events
        .map(|number| format!("id: {number}\ndata: token {number}{by} to {id}\n\n"))
        .collect()
}
