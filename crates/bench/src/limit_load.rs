//! Plays requests of many instances at servers that name a limit, and counts what the
//! servers and the callers get.
//!
//! Sessions have their home at a server; where that one may not be used, the request goes
//! to the next one that may. An instance learns of a limit by the answer to a request of
//! its own and, every half second, from the others on its side of a cut.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    forwarding::{
        GrantPurpose, GrantQuery, GrantState, LimitGrants, MAX_ARRIVAL_MS, MAX_GRANT_CANDIDATES,
        NamedLimit, ServerLimits,
    },
    ids::{BackendName, InstanceName, PoolName},
};

/// Span in which requests are counted, in ms.
const COUNTED_MS: u64 = 4_000;
/// Time from the first answer that names a limit until it has to be kept, in ms.
const SETTLES_MS: u64 = 3_000;
/// Time after which an instance that was told by an answer has to keep the limit, in ms.
const TOLD_MS: u64 = 500;
/// Time between two exchanges between instances, in ms.
const SHARED_EVERY_MS: u64 = 500;
/// Shortest and longest time until the head of an answer, in ms.
const ANSWERED_MS: std::ops::Range<u64> = 50..1_500;

/// How instances keep a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each keeps the whole limit by itself.
    Alone,
    /// Each has an equal part, and sends one request at a time of it.
    EqualPart,
    /// Some own the requests of a window, by a rendezvous hash.
    Owners,
    /// The instance that schedules gives out each request; one on each side of a cut.
    OnePlace,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct LimitLoad {
    /// Instances that are listed.
    pub instances: usize,
    /// The last of them that have left and are still listed.
    pub left: usize,
    /// Servers, and how many of them name a limit.
    pub servers: usize,
    /// Servers that name the limit.
    pub limited: usize,
    /// The limit, in requests a second.
    pub limit_per_s: f64,
    /// Requests a second for each server.
    pub per_server_s: f64,
    /// Time in which the limit is named, from the start, in ms.
    pub named_ms: u64,
    /// Time that is played, in ms.
    pub length_ms: u64,
    /// Time in which a third of the instances is cut off from the others, in ms.
    pub cut_ms: Option<(u64, u64)>,
    /// Time at which half of the instances start again and know nothing, in ms.
    pub restart_ms: Option<u64>,
    /// Seed of the play.
    pub seed: u64,
}

/// What came of a play.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Most requests in any counted span at a limited server, from instances that it had
    /// told.
    pub worst: usize,
    /// The same from all instances.
    pub worst_of_all: usize,
    /// Part of its limit that a limited server got while it named one.
    pub used: f64,
    /// Part of the requests that some server took at once.
    pub served: f64,
    /// Part of the requests for servers that had named a limit which went home again, from
    /// a second after the end of the limit on.
    pub home_again: f64,
    /// Messages between instances.
    pub messages: u64,
}

/// Returns the most requests that a server with a limit may get in a counted span.
pub fn allowed(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * COUNTED_MS as f64 / 1_000.0 + 5.0
}

struct Instance {
    limits: ServerLimits,
    grants: LimitGrants,
    /// When a server told it of its limit, in ms.
    told_ms: BTreeMap<usize, u64>,
    /// When it sent to a server, in ms.
    sent_ms: BTreeMap<usize, Vec<u64>>,
    told_revision: u64,
    known_revision: u64,
}

struct Answer {
    instance: usize,
    server: usize,
    sent_ms: u64,
    named: NamedLimit,
}

struct Play {
    load: LimitLoad,
    way: Way,
    names: Vec<InstanceName>,
    servers: Vec<BackendName>,
    instances: Vec<Instance>,
    /// Instance that schedules on each side of a cut.
    schedulers: [usize; 2],
    answers: BTreeMap<(u64, u64), Answer>,
    /// Arrivals at limited servers, and whether their instance had been told.
    arrivals: Vec<Vec<(u64, bool)>>,
    rng: Pcg64Mcg,
    messages: u64,
    sends: u64,
}

/// Plays a load in one way.
pub fn play(load: LimitLoad, way: Way) -> Outcome {
    let mut play = Play::new(load, way);
    let all_per_s = load.per_server_s * load.servers as f64;
    let requests = (all_per_s * load.length_ms as f64 / 1_000.0) as u64;
    let live = load.instances - load.left;
    let (mut served, mut returned, mut home_again) = (0u64, 0u64, 0u64);
    let mut next_shared_ms = SHARED_EVERY_MS;
    let mut restart_ms = load.restart_ms;
    for number in 0..requests {
        let now_ms = number * load.length_ms / requests;
        while next_shared_ms <= now_ms {
            play.take_answers(next_shared_ms);
            play.share(next_shared_ms);
            next_shared_ms += SHARED_EVERY_MS;
        }
        if restart_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            restart_ms = None;
            play.restart();
        }
        play.take_answers(now_ms);
        let instance = play.rng.random_range(0..live);
        let home = play.rng.random_range(0..load.servers);
        let chosen = play.choose(now_ms, instance, home);
        served += u64::from(chosen.is_some());
        if home < load.limited && now_ms >= load.named_ms + 1_000 {
            returned += 1;
            home_again += u64::from(chosen == Some(home));
        }
        if let Some(server) = chosen {
            play.send(now_ms, instance, server);
        }
    }
    let mut outcome = Outcome {
        served: served as f64 / requests.max(1) as f64,
        home_again: home_again as f64 / returned.max(1) as f64,
        messages: play.messages,
        ..Outcome::default()
    };
    let mut got = 0;
    for arrivals in &mut play.arrivals {
        arrivals.retain(|(at_ms, _)| (SETTLES_MS..load.named_ms).contains(at_ms));
        arrivals.sort_unstable();
        got += arrivals.len();
        outcome.worst = outcome.worst.max(worst_span(arrivals, true));
        outcome.worst_of_all = outcome.worst_of_all.max(worst_span(arrivals, false));
    }
    let named_s = (load.named_ms - SETTLES_MS) as f64 / 1_000.0;
    outcome.used = got as f64 / (load.limited as f64 * load.limit_per_s * named_s);
    outcome
}

/// Returns the most arrivals within a counted span.
fn worst_span(arrivals: &[(u64, bool)], only_told: bool) -> usize {
    let counted = arrivals
        .iter()
        .filter(|(_, is_told)| *is_told || !only_told);
    let times_ms: Vec<u64> = counted.map(|(at_ms, _)| *at_ms).collect();
    let mut first = 0;
    let mut worst = 0;
    for (last, at_ms) in times_ms.iter().enumerate() {
        while times_ms[first] + COUNTED_MS <= *at_ms {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    worst
}

impl Play {
    fn new(load: LimitLoad, way: Way) -> Self {
        let names: Vec<InstanceName> = (0..load.instances)
            .map(|number| InstanceName::new(format!("entry-{number}")))
            .collect();
        let servers = (0..load.servers).map(|number| BackendName::new(format!("i-{number}")));
        let instances = (0..load.instances).map(|number| instance(&names, number));
        Self {
            load,
            way,
            servers: servers.collect(),
            instances: instances.collect(),
            names,
            schedulers: [0, 0],
            answers: BTreeMap::new(),
            arrivals: vec![Vec::new(); load.limited],
            rng: Pcg64Mcg::seed_from_u64(load.seed),
            messages: 0,
            sends: 0,
        }
    }

    /// Returns the side of the cut on which an instance stands.
    fn side(&self, now_ms: u64, instance: usize) -> usize {
        let is_cut = self
            .load
            .cut_ms
            .is_some_and(|(from_ms, to_ms)| (from_ms..to_ms).contains(&now_ms));
        usize::from(is_cut && instance % 3 == 2)
    }

    fn restart(&mut self) {
        for number in (0..self.load.instances).step_by(2) {
            self.instances[number] = instance(&self.names, number);
        }
    }

    /// Chooses the server of a request: its home, or the next one in turn.
    fn choose(&mut self, now_ms: u64, instance: usize, home: usize) -> Option<usize> {
        let servers = self.load.servers;
        let turns = (0..servers).map(move |turn| (home + turn) % servers);
        let limits = &self.instances[instance].limits;
        let is_limited = |server: usize| limits.limit_per_s(&self.servers[server]).is_some();
        if self.way != Way::OnePlace {
            let mut turns = turns;
            return turns
                .find(|server| !is_limited(*server) || self.has_part(now_ms, instance, *server));
        }
        if !is_limited(home) {
            return Some(home);
        }
        let free = turns.clone().find(|server| !is_limited(*server));
        let wanted: Vec<usize> = match free {
            Some(_) => vec![home],
            None => turns.take(MAX_GRANT_CANDIDATES).collect(),
        };
        let open = wanted.into_iter();
        let open = open.filter(|server| limits.is_open(now_ms, &self.servers[*server]));
        let limit_per_s = self.load.limit_per_s;
        let asked: Vec<_> = open
            .map(|server| (self.servers[server].clone(), limit_per_s))
            .collect();
        if asked.is_empty() {
            return free;
        }
        match self.ask(now_ms, instance, asked) {
            Some(granted) => Some(granted),
            None => free,
        }
    }

    /// Asks the instance that schedules on this side for a grant.
    fn ask(
        &mut self,
        now_ms: u64,
        instance: usize,
        servers: Vec<(BackendName, f64)>,
    ) -> Option<usize> {
        self.messages += 2;
        let scheduler = self.schedulers[self.side(now_ms, instance)];
        let query = GrantQuery {
            service: PoolName::new("desk"),
            purpose: GrantPurpose::Send,
            servers,
            priority: 0,
        };
        let giver = &mut self.instances[scheduler];
        let limits = &giver.limits;
        let limit_per_s = |server: &_, reported_per_s| limits.limit_or(server, reported_per_s);
        match giver.grants.grant(now_ms, &query, limit_per_s) {
            GrantState::Granted(granted) => {
                self.servers.iter().position(|server| *server == granted)
            }
            GrantState::Closed { retry_in_ms, .. } => {
                let asker = &mut self.instances[instance].limits;
                for (server, _) in &query.servers {
                    asker.on_closed(now_ms, server, retry_in_ms);
                }
                None
            }
        }
    }

    /// Tells whether an instance has a part left of what a server takes.
    fn has_part(&self, now_ms: u64, instance: usize, server: usize) -> bool {
        let all = (self.load.limit_per_s * COUNTED_MS as f64 / 1_000.0) as usize;
        let window_ms = COUNTED_MS + MAX_ARRIVAL_MS;
        let (window_ms, most) = match self.way {
            Way::Alone | Way::OnePlace => (window_ms, all.max(1)),
            Way::EqualPart => {
                let turn_s = self.load.instances as f64 / self.load.limit_per_s;
                ((turn_s * 1_000.0) as u64, 1)
            }
            Way::Owners => (window_ms, self.part(instance, server, all.max(1))),
        };
        let sent_ms = self.instances[instance].sent_ms.get(&server);
        let recent = sent_ms.into_iter().flatten().rev();
        let recent = recent.take_while(|at_ms| **at_ms + window_ms > now_ms);
        recent.count() < most
    }

    /// Returns the requests of a window that an instance owns by a rendezvous hash.
    fn part(&self, instance: usize, server: usize, all: usize) -> usize {
        let rank = |number: usize| {
            let mut hasher = DefaultHasher::new();
            (number, server).hash(&mut hasher);
            hasher.finish()
        };
        let own = rank(instance);
        let instances = self.load.instances;
        let before = (0..instances).filter(|other| rank(*other) < own).count();
        all / instances + usize::from(before < all % instances)
    }

    fn send(&mut self, now_ms: u64, instance: usize, server: usize) {
        if server >= self.load.limited {
            return;
        }
        self.sends += 1;
        let at_ms = now_ms + self.rng.random_range(1..MAX_ARRIVAL_MS);
        let sender = &mut self.instances[instance];
        let told_ms = sender.told_ms.get(&server);
        let is_told = told_ms.is_some_and(|told_ms| told_ms + TOLD_MS <= at_ms);
        self.arrivals[server].push((at_ms, is_told));
        sender.sent_ms.entry(server).or_default().push(now_ms);
        let answered_ms = at_ms + self.rng.random_range(ANSWERED_MS);
        let named = match at_ms < self.load.named_ms {
            true => NamedLimit::PerSecond(self.load.limit_per_s),
            false => NamedLimit::None,
        };
        let answer = Answer {
            instance,
            server,
            sent_ms: now_ms,
            named,
        };
        self.answers.insert((answered_ms, self.sends), answer);
    }

    fn take_answers(&mut self, now_ms: u64) {
        while let Some(first) = self.answers.first_entry() {
            let (at_ms, _) = *first.key();
            if at_ms > now_ms {
                return;
            }
            let answer = first.remove();
            let receiver = &mut self.instances[answer.instance];
            let is_named = answer.named != NamedLimit::None;
            if is_named {
                receiver.told_ms.entry(answer.server).or_insert(at_ms);
            }
            let server = &self.servers[answer.server];
            receiver
                .limits
                .on_response(at_ms, answer.sent_ms, server, answer.named);
        }
    }

    /// Has the instances of each side exchange what they know with the first of them.
    fn share(&mut self, now_ms: u64) {
        let live = self.load.instances - self.load.left;
        let mut first: [Option<usize>; 2] = [None; 2];
        for number in 0..live {
            let side = self.side(now_ms, number);
            let Some(scheduler) = first[side] else {
                first[side] = Some(number);
                self.schedulers[side] = number;
                continue;
            };
            let name = &self.names[number];
            self.instances[scheduler].grants.on_seen(now_ms, name);
            let [taker, asker] = self
                .instances
                .get_disjoint_mut([scheduler, number])
                .expect("two instances");
            let told = asker
                .limits
                .local_reports_since(now_ms, asker.told_revision);
            let theirs = taker.limits.revision();
            if told.is_empty() && theirs == asker.known_revision {
                continue;
            }
            self.messages += 2;
            let known_revision = asker.known_revision.min(theirs);
            let news = taker.limits.reports_since(now_ms, known_revision);
            taker.limits.on_reports(now_ms, told);
            asker.told_revision = asker.limits.revision();
            asker.known_revision = taker.limits.revision();
            asker.limits.on_reports(now_ms, news);
        }
    }
}

/// Returns an instance that has just started.
fn instance(names: &[InstanceName], number: usize) -> Instance {
    let mut grants = LimitGrants::new(names[number].clone());
    grants.set_listed(0, names);
    Instance {
        limits: ServerLimits::default(),
        grants,
        told_ms: BTreeMap::new(),
        sent_ms: BTreeMap::new(),
        told_revision: 0,
        known_revision: 0,
    }
}
