//! A day on which some requests end each server that begins to run them, among callers
//! who did nothing, while a third of the servers crash for another reason.
//!
//! Callers of poison requests come again at once at any instance, one of them with three
//! copies side by side. Others come again once, when their server ended.

mod sharing;

use std::collections::{BTreeMap, HashMap};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    ids::BackendName,
    poison::{Permit, RequestDigest},
};
use sharing::{Admitted, Sharing};

pub use sharing::Counting;

/// Length of the day, in ms.
const DAY_MS: u64 = 60_000;
/// Time at which callers of poison requests begin, in ms.
const POISON_FROM_MS: u64 = 5_000;
/// Time until such a caller comes again, in ms.
const COMES_AGAIN_MS: u64 = 700;
/// Time from the beginning of a run to the end of its server under it, in ms.
const ENDS_AFTER_MS: u64 = 60;
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
    /// Whether a third of the servers crash for another reason, three times.
    pub has_crashes: bool,
    /// Whether ends are counted by request.
    pub counting: Counting,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoisonFigures {
    /// Servers that ended under poison requests.
    pub ended: u32,
    /// The most that ended under one.
    pub most_ended: u32,
    /// Requests of others.
    pub asked: u32,
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
    Other { number: u64, attempt: u32 },
}

impl Caller {
    fn digest(self) -> RequestDigest {
        let number = match self {
            Self::Poison { number } => u128::from(number) + 1,
            Self::Other { number, .. } => (u128::from(number) + 1) << 32,
        };
        RequestDigest(number.to_le_bytes())
    }
}

#[derive(Clone, Debug)]
struct Run {
    caller: Caller,
    instance: usize,
    permit: Option<Permit>,
}

#[derive(Clone, Debug)]
enum Event {
    Arrives(Caller),
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
    world.figures.most_ended = world.ended.values().copied().max().unwrap_or(0);
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
        let digest = caller.digest();
        let admitted = self
            .sharing
            .admit(self.now_ms, instance, digest, LONGEST_RUN_MS);
        let permit = match admitted {
            Admitted::Freely => None,
            Admitted::WithPermit(permit) => Some(permit),
            Admitted::CopyRuns | Admitted::Quarantined => {
                return self.refuse(caller, admitted);
            }
        };
        let up = (0..self.servers.len()).filter(|server| self.servers[*server].is_up);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            self.sharing.give_back(&digest, permit);
            return self.come_again(caller);
        }
        let server = match permit.and_then(|permit| permit.place) {
            None => up[self.rng.random_range(0..up.len())],
            Some(place) => self.apart(&up, place),
        };
        let lasts_ms = match caller {
            Caller::Poison { .. } => ENDS_AFTER_MS,
            Caller::Other { .. } => self.rng.random_range(200..LONGEST_RUN_MS),
        };
        let ends_ms = self.now_ms + lasts_ms;
        let run = self.last;
        self.at(ends_ms, Event::RunEnds { server, run });
        let begun = Run {
            caller,
            instance,
            permit,
        };
        self.servers[server].runs.insert(run, begun);
    }

    /// Returns the server of a suspect, by its place in the order of their load.
    fn apart(&self, up: &[usize], place: u32) -> usize {
        let mut by_load = up.to_vec();
        by_load.sort_by_key(|server| self.servers[*server].runs.len());
        by_load[place as usize % by_load.len()]
    }

    fn refuse(&mut self, caller: Caller, admitted: Admitted) {
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
        let digest = run.caller.digest();
        if let Caller::Poison { number } = run.caller {
            *self.ended.entry(number).or_default() += 1;
            self.figures.ended += 1;
            let others = self.servers[server].runs.values();
            let others = others.filter(|run| matches!(run.caller, Caller::Other { .. }));
            self.figures.lost += others.count() as u32;
            self.servers[server].runs.insert(u64::MAX, run);
            return self.end_server(server);
        }
        self.sharing.give_back(&digest, run.permit);
        self.sharing.on_answered(self.now_ms, run.instance, digest);
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
        let digest = run.caller.digest();
        self.sharing
            .on_end(self.now_ms, run.instance, digest, server);
        self.sharing.give_back(&digest, run.permit);
        self.come_again(run.caller);
    }
}
