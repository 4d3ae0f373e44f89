//! A day on which some requests end each server that begins to run them, or some parts of prompts
//! each server that begins to answer them, among callers who did nothing, while a third of the
//! servers crash for another reason.
//!
//! Callers of poison requests come again at once at any instance, one of them with three
//! copies side by side. Requests with a poison part differ in all else, and share their other
//! parts with sound ones. Others come again when their server ended or they were refused.

mod sharing;

use std::collections::{BTreeMap, HashMap};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    ids::BackendName,
    poison::{RequestDigest, RequestSubjects},
};
use sharing::{Admitted, HeldPermit, LostRun, Sharing};

pub use sharing::Counting;

/// Length of the day, in ms.
const DAY_MS: u64 = 60_000;
/// Time at which callers of poison requests begin, in ms.
const POISON_FROM_MS: u64 = 5_000;
/// Time until such a caller comes again, in ms.
const COMES_AGAIN_MS: u64 = 700;
/// Time from the beginning of a run to the end of its server under it, in ms.
const ENDS_AFTER_MS: u64 = 60;
/// Longest time from the beginning of a run until its response begins, in ms.
const LONGEST_PREFILL_MS: u64 = 500;
/// Time after its beginning at which a response counts as alive, in ms.
const ALIVE_AFTER_MS: u64 = 300;
/// Number of servers that end under a poison part, and time after the last of them, in ms, by
/// which hardly any request with the part may run.
const SETTLED_ENDS: u32 = 5;
const SETTLED_AFTER_MS: u64 = 3_000;
/// First parts of prompts, as many as there are kinds of prompts.
const FIRST_PARTS: u64 = 20;
/// Second parts of prompts, as many as there are sessions.
const SESSIONS: u64 = 400;
/// Hash of the first poison part; the others follow.
const POISON_PART: u64 = 1 << 40;
/// Hash of the first part of a session; the others follow.
const SESSION_PART: u64 = 1 << 20;
/// Time until an instance knows that a server has ended, in ms.
const SEEN_AFTER_MS: u64 = 10;
/// Time until a server has started again, in ms.
const RESTART_MS: u64 = 3_000;
/// Time after which others come again whose server ended or who were refused, in ms.
const RETRY_MS: u64 = 300;
/// Attempts of other callers.
const ATTEMPTS: u32 = 4;
/// Requests of others for each server in a second.
const RATE_PER_SERVER: f64 = 5.0;
/// Longest run of one of them, in ms.
const LONGEST_RUN_MS: u64 = 2_400;
/// Time between two questions of an instance for what is new, in ms.
const ASKS_EVERY_MS: u64 = 500;
/// Times at which a third of the servers crash, in ms; at the first one requests end
/// servers too.
const CRASHES_AT_MS: [u64; 3] = [6_200, 14_000, 28_000];

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct PoisonDay {
    /// Entry instances.
    pub instances: usize,
    /// Backend servers.
    pub servers: usize,
    /// Callers of poison requests.
    pub poison: u64,
    /// Poison parts.
    pub parts: u64,
    /// Requests with each poison part in a second.
    pub part_requests_per_s: f64,
    /// Whether a third of the servers crash for another reason, three times.
    pub has_crashes: bool,
    /// What crashes are counted for.
    pub counting: Counting,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoisonFigures {
    /// Servers that ended under poison requests.
    pub ended: u32,
    /// The most that ended under one.
    pub most_ended: u32,
    /// The most that ended under one poison part.
    pub most_ended_by_part: u32,
    /// Requests of others.
    pub asked: u32,
    /// The most requests with one poison part that began to run later than
    /// `SETTLED_AFTER_MS` after the fifth server had ended under it.
    pub most_late_by_part: u32,
    /// Runs of others that were lost with a server that a poison request ended.
    pub lost: u32,
    /// Requests of others that were refused as if they ended servers.
    pub refused_wrongly: u32,
    /// Requests of others that were told to come back since a copy of them ran.
    pub refused_as_copy: u32,
    /// Bytes that an instance sent and got in a second, in the mean.
    pub bytes_per_s: f64,
    /// The same of the instance that schedules.
    pub scheduler_bytes_per_s: f64,
}

/// Who sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Poison { number: u64 },
    PoisonPart { part: u64, number: u64 },
    Other { number: u64, attempt: u32 },
}

impl Caller {
    fn subjects(self) -> RequestSubjects {
        let (number, poison_part, session) = match self {
            Self::Poison { number } => (u128::from(number) + 1, None, number),
            Self::PoisonPart { part, number } => {
                let digest = (u128::from(part) + 1) << 96 | u128::from(number);
                (digest, Some(POISON_PART + part), number)
            }
            Self::Other { number, .. } => ((u128::from(number) + 1) << 32, None, number),
        };
        let digest = RequestDigest(number.to_le_bytes());
        let session = session % SESSIONS;
        let shared = [session % FIRST_PARTS, SESSION_PART + session];
        RequestSubjects::new(digest, shared.into_iter().chain(poison_part))
    }
}

#[derive(Clone, Debug)]
struct Run {
    caller: Caller,
    instance: usize,
    held: Option<HeldPermit>,
    /// Whether the response has gone on after it had begun.
    is_alive: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrives(Caller),
    ComesAlive { server: usize, run: u64 },
    RunEnds { server: usize, run: u64 },
    Seen { run: Run, server: BackendName },
    Starts { server: usize },
    Crashes,
    Asks { instance: usize },
}

#[derive(Debug)]
struct Server {
    /// Number of its start.
    boot: u32,
    is_up: bool,
    runs: BTreeMap<u64, Run>,
}

struct World {
    day: PoisonDay,
    now_ms: u64,
    rng: Pcg64Mcg,
    events: BTreeMap<(u64, u64), Event>,
    last: u64,
    servers: Vec<Server>,
    sharing: Sharing,
    figures: PoisonFigures,
    ended: HashMap<u64, u32>,
    ended_by_part: HashMap<u64, u32>,
    /// Time of the fifth end under each poison part, in ms.
    settled_ms: HashMap<u64, u64>,
    late_by_part: HashMap<u64, u32>,
}

/// Plays a day; the same seed gives the same.
pub fn play(day: PoisonDay, seed: u64) -> PoisonFigures {
    let mut world = World::new(day, seed);
    world.schedule_day();
    while let Some(((at_ms, _), event)) = world.events.pop_first() {
        world.now_ms = at_ms;
        world.happen(event);
    }
    let seconds = DAY_MS as f64 / 1_000.0;
    let bytes = &world.sharing.bytes;
    let others = &bytes[1..];
    let all: u64 = others.iter().sum();
    world.figures.bytes_per_s = all as f64 / others.len().max(1) as f64 / seconds;
    world.figures.scheduler_bytes_per_s = bytes[0] as f64 / seconds;
    let most = |ended: &HashMap<u64, u32>| ended.values().copied().max().unwrap_or(0);
    world.figures.most_ended = most(&world.ended);
    world.figures.most_ended_by_part = most(&world.ended_by_part);
    world.figures.most_late_by_part = most(&world.late_by_part);
    world.figures
}

impl World {
    fn new(day: PoisonDay, seed: u64) -> Self {
        let server = || Server {
            boot: 0,
            is_up: true,
            runs: BTreeMap::new(),
        };
        Self {
            day,
            now_ms: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: BTreeMap::new(),
            last: 0,
            servers: (0..day.servers).map(|_| server()).collect(),
            sharing: Sharing::new(day.counting, day.instances),
            figures: PoisonFigures::default(),
            ended: HashMap::new(),
            ended_by_part: HashMap::new(),
            settled_ms: HashMap::new(),
            late_by_part: HashMap::new(),
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.last += 1;
        self.events.insert((at_ms, self.last), event);
    }

    fn schedule_day(&mut self) {
        let others = (self.day.servers as f64 * RATE_PER_SERVER * DAY_MS as f64 / 1_000.0) as u64;
        for number in 0..others {
            let at_ms = self.rng.random_range(0..DAY_MS);
            let attempt = 1;
            self.at(at_ms, Event::Arrives(Caller::Other { number, attempt }));
        }
        for number in 0..self.day.poison {
            let at_ms = POISON_FROM_MS + self.rng.random_range(0..COMES_AGAIN_MS);
            // The last one sends three copies side by side.
            let copies = if number + 1 == self.day.poison { 3 } else { 1 };
            for _ in 0..copies {
                self.at(at_ms, Event::Arrives(Caller::Poison { number }));
            }
        }
        let span_ms = DAY_MS - POISON_FROM_MS;
        let part_requests = self.day.part_requests_per_s * span_ms as f64 / 1_000.0;
        for part in 0..self.day.parts {
            for _ in 0..part_requests as u64 {
                let at_ms = self.rng.random_range(POISON_FROM_MS..DAY_MS);
                let number = self.rng.random();
                self.at(at_ms, Event::Arrives(Caller::PoisonPart { part, number }));
            }
        }
        for instance in 0..self.day.instances {
            let at_ms = self.rng.random_range(0..ASKS_EVERY_MS);
            self.at(at_ms, Event::Asks { instance });
        }
        if self.day.has_crashes {
            for at_ms in CRASHES_AT_MS {
                self.at(at_ms, Event::Crashes);
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrives(caller) => self.arrive(caller),
            Event::ComesAlive { server, run } => self.come_alive(server, run),
            Event::RunEnds { server, run } => self.end_run(server, run),
            Event::Seen { run, server } => self.see(&run, &server),
            Event::Starts { server } => {
                let server = &mut self.servers[server];
                server.boot += 1;
                server.is_up = true;
            }
            Event::Crashes => {
                for server in (0..self.servers.len()).step_by(3) {
                    self.end_server(server);
                }
            }
            Event::Asks { instance } => {
                self.sharing.tell(self.now_ms, instance, Vec::new());
                if self.now_ms < DAY_MS {
                    let next_ms = self.now_ms + ASKS_EVERY_MS;
                    self.at(next_ms, Event::Asks { instance });
                }
            }
        }
    }

    fn arrive(&mut self, caller: Caller) {
        if let Caller::Other { attempt: 1, .. } = caller {
            self.figures.asked += 1;
        }
        let instance = self.rng.random_range(0..self.day.instances);
        let subjects = caller.subjects();
        let admitted = self
            .sharing
            .admit(self.now_ms, instance, &subjects, LONGEST_RUN_MS);
        let held = match admitted {
            Admitted::Freely => None,
            Admitted::WithPermit(held) => Some(held),
            Admitted::CopyRuns | Admitted::Quarantined => {
                return self.refuse(caller, &admitted);
            }
        };
        let up = (0..self.servers.len()).filter(|server| self.servers[*server].is_up);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            self.sharing.give_back(held.as_ref());
            return self.come_again(caller);
        }
        let place = held.as_ref().and_then(|held| held.permit.place);
        let server = match place {
            None => up[self.rng.random_range(0..up.len())],
            Some(place) => self.apart(&up, place),
        };
        self.count_late(caller);
        let prefill_ms = self.rng.random_range(20..LONGEST_PREFILL_MS);
        let lasts_ms = match caller {
            Caller::Poison { .. } => ENDS_AFTER_MS,
            Caller::PoisonPart { .. } => prefill_ms,
            Caller::Other { .. } => prefill_ms + self.rng.random_range(100..LONGEST_RUN_MS),
        };
        let run = self.last;
        let alive_after_ms = prefill_ms + ALIVE_AFTER_MS;
        if alive_after_ms < lasts_ms {
            let at_ms = self.now_ms + alive_after_ms;
            self.at(at_ms, Event::ComesAlive { server, run });
        }
        let ends_ms = self.now_ms + lasts_ms;
        self.at(ends_ms, Event::RunEnds { server, run });
        let begun = Run {
            caller,
            instance,
            held,
            is_alive: false,
        };
        self.servers[server].runs.insert(run, begun);
    }

    fn count_late(&mut self, caller: Caller) {
        let Caller::PoisonPart { part, .. } = caller else {
            return;
        };
        let settled_ms = self.settled_ms.get(&part);
        if settled_ms.is_some_and(|settled_ms| self.now_ms > settled_ms + SETTLED_AFTER_MS) {
            *self.late_by_part.entry(part).or_default() += 1;
        }
    }

    /// Returns the server of a suspect, by its place in the order of their load.
    fn apart(&self, up: &[usize], place: u32) -> usize {
        let mut by_load = up.to_vec();
        by_load.sort_by_key(|server| self.servers[*server].runs.len());
        by_load[place as usize % by_load.len()]
    }

    fn refuse(&mut self, caller: Caller, admitted: &Admitted) {
        if let Caller::Other { .. } = caller {
            match admitted {
                Admitted::Quarantined => self.figures.refused_wrongly += 1,
                _ => self.figures.refused_as_copy += 1,
            }
        }
        self.come_again(caller);
    }

    fn come_again(&mut self, caller: Caller) {
        let next = match caller {
            Caller::Poison { .. } => (COMES_AGAIN_MS, caller),
            Caller::PoisonPart { .. } => return,
            Caller::Other { attempt, .. } if attempt >= ATTEMPTS => return,
            Caller::Other { number, attempt } => {
                let attempt = attempt + 1;
                (RETRY_MS, Caller::Other { number, attempt })
            }
        };
        let at_ms = self.now_ms + next.0;
        if at_ms < DAY_MS {
            self.at(at_ms, Event::Arrives(next.1));
        }
    }

    fn end_run(&mut self, server: usize, run: u64) {
        let Some(run) = self.servers[server].runs.remove(&run) else {
            return;
        };
        let ended = match run.caller {
            Caller::Poison { number } => Some(self.ended.entry(number)),
            Caller::PoisonPart { part, .. } => Some(self.ended_by_part.entry(part)),
            Caller::Other { .. } => None,
        };
        if let Some(ended) = ended {
            let ended = ended.or_default();
            *ended += 1;
            if let Caller::PoisonPart { part, .. } = run.caller
                && *ended == SETTLED_ENDS
            {
                self.settled_ms.insert(part, self.now_ms);
            }
            self.figures.ended += 1;
            let others = self.servers[server].runs.values();
            let others = others.filter(|run| matches!(run.caller, Caller::Other { .. }));
            self.figures.lost += others.count() as u32;
            self.servers[server].runs.insert(u64::MAX, run);
            return self.end_server(server);
        }
        self.sharing.give_back(run.held.as_ref());
        self.sharing
            .on_answered(self.now_ms, run.instance, &run.caller.subjects());
    }

    fn come_alive(&mut self, server: usize, run: u64) {
        let Some(run) = self.servers[server].runs.get_mut(&run) else {
            return;
        };
        run.is_alive = true;
        let subjects = run.caller.subjects();
        self.sharing
            .on_alive(self.now_ms, run.instance, &subjects, run.held.as_mut());
    }

    /// Ends a server with all that it runs.
    fn end_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if !std::mem::replace(&mut server.is_up, false) {
            return;
        }
        let name = BackendName::new(format!("i-{index:06x}{:04x}", server.boot));
        let lost: Vec<Run> = std::mem::take(&mut server.runs).into_values().collect();
        for run in lost {
            let server = name.clone();
            self.at(self.now_ms + SEEN_AFTER_MS, Event::Seen { run, server });
        }
        self.at(self.now_ms + RESTART_MS, Event::Starts { server: index });
    }

    fn see(&mut self, run: &Run, server: &BackendName) {
        let lost = LostRun {
            server,
            held: run.held.as_ref(),
            is_alive: run.is_alive,
        };
        self.sharing
            .on_end(self.now_ms, run.instance, &run.caller.subjects(), lost);
        self.sharing.give_back(run.held.as_ref());
        self.come_again(run.caller);
    }
}
