//! Checks what was promised against what callers and servers saw.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use savoryvane_platform_standin::{PARTIAL_EVENT, ReceivedRequest};
use tokio::time::Instant;

use crate::{
    config::{
        EVENTS, KEY, Kind, POISON_PATH, PRESS, REPEAT_RATIO, REPEAT_SLACK, SERVICES, TIMEOUT_MS,
        WORKSPACE,
    },
    deployment::Deployment,
    ledger::Asked,
    run::CALM_LIMIT_PER_S,
    signals::SignalCheck,
};

/// Window of the budget of repeats.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Time after an answer until a request counts as asked after it.
const AFTER: Duration = Duration::from_millis(250);
/// Time beyond a route's timeout by which a caller has an answer, on a busy
/// machine.
const TIMEOUT_SPARE: Duration = Duration::from_millis(900);
/// Span in which a server with a limit is looked at, and the requests that it may get in
/// it beyond one and a half times its limit, by the platform's bound.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_SLACK: f64 = 5.0;
/// Servers that may end under one request.
const MOST_ENDS: usize = 3;
/// Part of the requests that are served once all is calm, in per cent.
const CALM_SERVED_PERCENT: usize = 95;

/// The calm end of a seed, and what was done in it.
#[derive(Debug)]
pub(crate) struct Calm {
    pub(crate) began_at: Instant,
    /// Instances that took requests then.
    pub(crate) ready: Vec<usize>,
    /// Version that was put in force.
    pub(crate) version: u64,
    /// Instances that did not serve its route in time, and what they said.
    pub(crate) behind: Vec<(usize, Option<u16>)>,
    /// Server that said that it leaves.
    pub(crate) leaving: usize,
    /// Time from which it gets nothing.
    pub(crate) left_alone_from: Instant,
    /// Server that names a limit.
    pub(crate) limited: usize,
    /// Instance that was stopped.
    pub(crate) stopped: usize,
    pub(crate) stopped_at: Instant,
    pub(crate) stop_ended_at: Instant,
}

/// Everything that was seen, by request.
struct Books<'a> {
    deployment: &'a Deployment,
    asked: &'a [Asked],
    by_id: HashMap<&'a str, &'a Asked>,
    /// What servers ran: service and request.
    ran: Vec<(&'static str, ReceivedRequest)>,
    runs: HashMap<String, usize>,
}

/// Returns the promises that were broken, in words.
pub(crate) fn check(deployment: &Deployment, calm: &Calm) -> Vec<String> {
    let asked = deployment.ledger.lock();
    let mut ran = Vec::new();
    for server in &deployment.servers {
        ran.extend(
            server
                .standin
                .executed()
                .into_iter()
                .map(|s| (server.service, s)),
        );
    }
    ran.extend(
        deployment
            .presses
            .executed()
            .into_iter()
            .map(|seen| (PRESS, seen)),
    );
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (_, seen) in &ran {
        *runs.entry(id_of(seen).to_owned()).or_default() += 1;
    }
    let books = Books {
        deployment,
        asked: &asked,
        by_id: asked.iter().map(|a| (a.id.as_str(), a)).collect(),
        ran,
        runs,
    };
    let mut broken = Vec::new();
    books.at_most_once(&mut broken);
    books.not_run_is_true(&mut broken);
    books.whole_and_own_answers(&mut broken);
    books.only_what_was_asked(&mut broken);
    books.inputs_of_the_same_request(&mut broken);
    books.never_back(&mut broken);
    books.repeats_within_budget(&mut broken);
    books.ends_are_counted(calm, &mut broken);
    let signals = SignalCheck {
        deployment,
        asked: &asked,
        by_id: &books.by_id,
    };
    signals.leaving_is_kept(&mut broken);
    signals.backoff_is_kept(&mut broken);
    books.calm(calm, &mut broken);
    broken
}

pub(crate) fn id_of(seen: &ReceivedRequest) -> &str {
    seen.header("request-id").unwrap_or_default()
}

impl Books<'_> {
    fn runs_of(&self, id: &str) -> usize {
        self.runs.get(id).copied().unwrap_or(0)
    }

    fn at_most_once(&self, broken: &mut Vec<String>) {
        for asked in self.asked.iter().filter(|a| !a.kind.is_repeatable()) {
            let runs = self.runs_of(&asked.id);
            if runs > 1 {
                broken.push(format!("{} ({:?}) ran {runs} times", asked.id, asked.kind));
            }
        }
    }

    fn not_run_is_true(&self, broken: &mut Vec<String>) {
        for asked in self.asked.iter().filter(|a| a.is_refused()) {
            let runs = self.runs_of(&asked.id);
            if runs > 0 {
                let (id, kind, status) = (&asked.id, asked.kind, asked.status());
                broken.push(format!(
                    "{id} ({kind:?}) was told {status:?} and ran {runs} times"
                ));
            }
        }
    }

    fn whole_and_own_answers(&self, broken: &mut Vec<String>) {
        for asked in self.asked {
            let Ok(answer) = &asked.got else {
                continue;
            };
            if !answer.status.is_success() {
                continue;
            }
            let seal = answer.header("server-seal").unwrap_or_default();
            let expected = expected(asked, seal.strip_prefix("seal.").unwrap_or_default());
            let body = String::from_utf8_lossy(&answer.body);
            let is_right = if answer.is_whole {
                body == expected
            } else {
                expected.starts_with(without_torn(asked.kind, &body))
            };
            if seal.is_empty() || !is_right {
                let (id, kind, whole) = (&asked.id, asked.kind, answer.is_whole);
                broken.push(format!(
                    "{id} ({kind:?}) got {body:?}, whole: {whole}, signed {seal:?}"
                ));
            }
        }
    }

    fn only_what_was_asked(&self, broken: &mut Vec<String>) {
        for (service, seen) in &self.ran {
            let id = id_of(seen);
            let Some(asked) = self.by_id.get(id) else {
                broken.push(format!(
                    "a server of {service} ran {id:?}, which nobody asked"
                ));
                continue;
            };
            let is_same = seen.method.as_str() == asked.kind.method()
                && seen.path == asked.path
                && seen.body == asked.body.as_bytes();
            let is_workspace = seen.header("tenant") == Some(WORKSPACE);
            let has_key = seen.headers.values().any(|value| value == KEY);
            if !is_same || !is_workspace || has_key {
                broken.push(format!("{id} was changed on its way: {seen:?}"));
            }
        }
    }

    /// Results of stages go to the request that they were made for, all of them.
    fn inputs_of_the_same_request(&self, broken: &mut Vec<String>) {
        let servers = self.deployment.servers.iter();
        let made = servers.flat_map(|server| server.standin.stage_results());
        let made: HashMap<String, _> = made.map(|made| (made.handle.clone(), made)).collect();
        for (_, seen) in &self.ran {
            let id = id_of(seen);
            let is_staged = self.by_id.get(id).is_some_and(|a| a.kind == Kind::Staged);
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
                broken.push(format!("{id} was given the inputs {inputs:?}"));
            }
        }
    }

    /// An instance that has served a route in one run does not forget it.
    fn never_back(&self, broken: &mut Vec<String>) {
        let mut known: HashMap<(usize, u32, u64), Instant> = HashMap::new();
        for asked in self.asked {
            let Kind::Added(version) = asked.kind else {
                continue;
            };
            if asked.is_served() {
                let key = (asked.instance, asked.boot, version);
                let first = known.entry(key).or_insert(asked.ended_at);
                *first = (*first).min(asked.ended_at);
            }
        }
        for asked in self.asked.iter().filter(|a| a.status() == Some(404)) {
            let Kind::Added(version) = asked.kind else {
                let (id, kind) = (&asked.id, asked.kind);
                broken.push(format!("{id} ({kind:?}) got 404"));
                continue;
            };
            let key = (asked.instance, asked.boot, version);
            if known
                .get(&key)
                .is_some_and(|at| *at + AFTER < asked.sent_at)
            {
                let (id, instance) = (&asked.id, asked.instance);
                broken.push(format!(
                    "{id}: instance {instance} forgot the route of version {version}"
                ));
            }
        }
    }

    fn repeats_within_budget(&self, broken: &mut Vec<String>) {
        for (service, _) in SERVICES {
            let mut ran: Vec<&ReceivedRequest> = self
                .ran
                .iter()
                .filter(|(name, _)| *name == service)
                .map(|(_, seen)| seen)
                .collect();
            ran.sort_by_key(|seen| seen.received_at);
            let mut seen_ids = HashSet::new();
            let repeats: Vec<Instant> = ran
                .iter()
                .filter(|seen| !seen_ids.insert(id_of(seen)))
                .map(|seen| seen.received_at)
                .collect();
            for end in &repeats {
                let from = *end - BUDGET_WINDOW;
                let count = repeats
                    .iter()
                    .filter(|at| **at > from && *at <= end)
                    .count();
                let asked = self.asked_around(service, *end);
                let most = REPEAT_RATIO * asked as f64 + f64::from(REPEAT_SLACK);
                if count as f64 > most {
                    broken.push(format!("{service}: {count} repeats for {asked} requests"));
                    break;
                }
            }
        }
    }

    /// Returns the requests for a service in a window that ends at `end`, or in
    /// one half or a whole window before, whichever has most.
    fn asked_around(&self, service: &str, end: Instant) -> usize {
        let is_for = |asked: &&Asked| match asked.kind {
            Kind::Lookup | Kind::Booking | Kind::Added(_) => service == "desk",
            Kind::Draft | Kind::Quote | Kind::Staged => service == "engine",
            Kind::Print | Kind::Poison => service == PRESS,
        };
        let shifts = [Duration::ZERO, BUDGET_WINDOW / 2, BUDGET_WINDOW];
        let counts = shifts.map(|shift| {
            let end = end - shift;
            let from = end - BUDGET_WINDOW;
            let window = self.asked.iter().filter(is_for);
            window
                .filter(|a| a.sent_at > from && a.sent_at <= end)
                .count()
        });
        counts.into_iter().max().unwrap_or(0)
    }

    /// A request that ends servers is sent to three at most once all are in touch; nobody
    /// else is refused for that.
    fn ends_are_counted(&self, calm: &Calm, broken: &mut Vec<String>) {
        let ended = self.ran.iter().filter(|(service, seen)| {
            *service == PRESS && seen.path == POISON_PATH && seen.received_at >= calm.began_at
        });
        let ended = ended.count();
        if ended > MOST_ENDS {
            broken.push(format!("{ended} servers ended under one request once calm"));
        }
        let others = self.asked.iter().filter(|a| a.kind != Kind::Poison);
        let wrongly = others.filter(|a| {
            let answer = a.got.as_ref().ok();
            answer.is_some_and(|answer| answer.body.starts_with(b"ends_servers"))
        });
        broken.extend(wrongly.map(|a| format!("{} was refused as if it ended servers", a.id)));
    }

    /// What holds while nothing is wrong.
    fn calm(&self, calm: &Calm, broken: &mut Vec<String>) {
        let instances = self.deployment.addresses.len();
        if calm.ready.len() < instances {
            broken.push(format!(
                "only {:?} of {instances} are ready again",
                calm.ready
            ));
        }
        for (instance, status) in &calm.behind {
            let version = calm.version;
            broken.push(format!(
                "version {version} is not in force at instance {instance}: {status:?}"
            ));
        }
        self.left_alone(calm, broken);
        self.within_limit(calm, broken);
        self.nothing_cut(calm, broken);
        let since: Vec<&Asked> = self
            .asked
            .iter()
            .filter(|asked| asked.sent_at >= calm.began_at && asked.kind != Kind::Poison)
            .collect();
        let served = since.iter().filter(|asked| asked.is_served()).count();
        if served * 100 < since.len() * CALM_SERVED_PERCENT {
            broken.push(format!("only {served} of {} served once calm", since.len()));
        }
        for asked in since {
            let took = asked.ended_at - asked.sent_at;
            if took > Duration::from_millis(TIMEOUT_MS) + TIMEOUT_SPARE {
                broken.push(format!("{} had no answer for {took:?}", asked.id));
            }
        }
    }

    fn left_alone(&self, calm: &Calm, broken: &mut Vec<String>) {
        let server = &self.deployment.servers[calm.leaving];
        let ran = server.standin.executed();
        let late = ran
            .iter()
            .filter(|seen| seen.received_at > calm.left_alone_from);
        for seen in late {
            let id = id_of(seen);
            broken.push(format!("{} got {id} although it is leaving", server.id()));
        }
    }

    /// A server that names a limit gets no more, until an instance is stopped.
    fn within_limit(&self, calm: &Calm, broken: &mut Vec<String>) {
        let server = &self.deployment.servers[calm.limited];
        let ran = server
            .standin
            .executed()
            .into_iter()
            .map(|seen| seen.received_at);
        let ran: Vec<Instant> = ran
            .filter(|at| (calm.began_at..calm.stopped_at).contains(at))
            .collect();
        let within = |first: &Instant| {
            let span = *first..*first + LIMIT_WINDOW;
            ran.iter().filter(|at| span.contains(at)).count()
        };
        let worst = ran.iter().map(within).max().unwrap_or_default();
        let most = 1.5 * CALM_LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        if worst as f64 > most {
            let id = server.id();
            broken.push(format!("{id} got {worst} in 4 s although it names a limit"));
        }
    }

    /// A planned stop cuts nothing that has reached a server.
    fn nothing_cut(&self, calm: &Calm, broken: &mut Vec<String>) {
        let taken = self.asked.iter().filter(|a| a.kind != Kind::Poison);
        for asked in taken.filter(|a| a.instance == calm.stopped) {
            let is_during =
                asked.ended_at >= calm.stopped_at && asked.sent_at <= calm.stop_ended_at;
            let is_cut = match &asked.got {
                Ok(answer) => !answer.is_whole,
                Err(_) => true,
            };
            if is_during && is_cut && self.runs_of(&asked.id) > 0 {
                broken.push(format!("{} was cut by a planned stop", asked.id));
            }
        }
    }
}

/// Returns a body that broke off without the torn event that its server may have
/// sent last; of a stream that may be resumed no torn event is passed on.
fn without_torn(kind: Kind, body: &str) -> &str {
    match kind {
        Kind::Draft | Kind::Staged | Kind::Print => {
            body.strip_suffix(PARTIAL_EVENT).unwrap_or(body)
        }
        _ => body,
    }
}

/// Returns the whole answer of `server` to a request.
fn expected(asked: &Asked, server: &str) -> String {
    let id = &asked.id;
    if !asked.kind.is_stream() {
        return format!("answer of {server} to {id}");
    }
    let events = 0..EVENTS;
    events
        .map(|number| format!("id: {number}\ndata: token {number} to {id}\n\n"))
        .collect()
}
