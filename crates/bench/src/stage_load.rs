//! Plays bursts of callers through the scheduler of stages, with servers that
//! take one call at a time, and counts what callers get.
//!
//! Callers who are refused come back once when they were told to, as the users'
//! clients do, with what is left of their time.

mod sites;

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    forwarding::{Batching, Position, RoutingConfig, ServerEntry, ServerState, Service},
    ids::{BackendName, Incarnation, InstanceName, PoolName, RequestId, ZoneName},
    stages::{
        CallOutcome, ItemOutcome, RequestKey, StageAction, StageCall, StageOutcome, StageScheduler,
        StageWork, Submission,
    },
};

pub use sites::{PORTAL, SIGNS, SIGNS_GROWN, day_of_bursts, day_of_slow_reads};

/// Longest part of the time they have left for which callers stay away.
const MOST_WAITED: u64 = 3;
/// Time after the last request until all have ended, in ms.
const CLOSING_MS: u64 = 22_000;

/// Servers of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Its name.
    pub name: &'static str,
    /// Number of its servers.
    pub servers: usize,
    /// Most pieces of a call.
    pub batch_pieces: usize,
    /// Time that each piece adds to a call, in ms.
    pub piece_ms: f64,
    /// Memory for results at each server, in MB.
    pub room_mb: f64,
}

/// One stage of a kind of request.
#[derive(Clone, Copy, Debug)]
pub struct StageLoad {
    /// Index of its service.
    pub service: usize,
    /// Index of the stage whose results it needs.
    pub after: Option<usize>,
    /// Fewest and most pieces.
    pub pieces: (u32, u32),
    /// Share of the requests that have it, in per cent.
    pub share_percent: u32,
    /// Size of a result, in bytes.
    pub result_bytes: u64,
    /// Time of its pieces, as a part of what is usual for the service.
    pub piece_factor: f64,
}

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct KindLoad {
    /// Its name.
    pub name: &'static str,
    /// Requests a second without a burst.
    pub rate_per_s: f64,
    /// Time to the first event within which it has its full worth, in ms.
    pub goal_ms: u64,
    /// Time that its callers wait, in ms.
    pub deadline_ms: u64,
    /// Credit of one that is in time.
    pub worth: f64,
    /// Credit of one that is late.
    pub late_worth: f64,
    /// Its rank, 0 being the most urgent.
    pub priority: u8,
    /// Time that it needs after its stages, in ms.
    pub rest_ms: u64,
    /// Its stages.
    pub stages: &'static [StageLoad],
}

/// A deployment of the users.
#[derive(Clone, Copy, Debug)]
pub struct SiteLoad {
    /// Its name.
    pub name: &'static str,
    /// Services of its stages.
    pub services: &'static [ServiceLoad],
    /// What its callers ask for.
    pub kinds: &'static [KindLoad],
}

/// Some seconds in which more callers come.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// When it begins, in ms.
    pub at_ms: u64,
    /// How long it lasts, in ms.
    pub for_ms: u64,
    /// Index of the kind that comes more often; all kinds if there is none.
    pub kind: Option<usize>,
    /// How much more often.
    pub times: f64,
}

/// Some seconds in which engines read the results of stages late, as when many
/// of them are cut off.
#[derive(Clone, Copy, Debug)]
pub struct SlowReads {
    /// When they begin, in ms.
    pub at_ms: u64,
    /// How long they last, in ms.
    pub for_ms: u64,
    /// Time from the end of a request's stages until its results are read, in ms.
    pub read_ms: u64,
}

/// What happens while a deployment is played.
#[derive(Clone, Debug, Default)]
pub struct Day {
    /// Time in which callers come, in ms.
    pub length_ms: u64,
    /// More callers for some seconds.
    pub bursts: Vec<Burst>,
    /// Time between the end of a request's stages and the release of their
    /// results, in ms.
    pub read_ms: u64,
    /// Results that are read late.
    pub slow_reads: Option<SlowReads>,
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Got {
    /// Callers who asked.
    pub asked: u32,
    /// Those who had an answer in time.
    pub in_time: u32,
    /// Those who had one later.
    pub late: u32,
    /// Those who were refused, came back and were refused again.
    pub refused_again: u32,
    /// Refusals that came later than at once.
    pub refused_later: u32,
}

impl Got {
    /// Returns the part of the credit owed that was earned.
    pub fn share(&self, kind: &KindLoad) -> f64 {
        let earned = kind.worth * f64::from(self.in_time) + kind.late_worth * f64::from(self.late);
        earned / (kind.worth * f64::from(self.asked)).max(f64::MIN_POSITIVE)
    }
}

/// Returns the part of the credit owed that was earned by all kinds together.
pub fn share_of_all(site: &SiteLoad, got: &[Got]) -> f64 {
    let owed = |(kind, got): (&KindLoad, &Got)| kind.worth * f64::from(got.asked);
    let owed: f64 = site.kinds.iter().zip(got).map(owed).sum();
    let earned = |(kind, got): (&KindLoad, &Got)| {
        kind.worth * f64::from(got.in_time) + kind.late_worth * f64::from(got.late)
    };
    site.kinds.iter().zip(got).map(earned).sum::<f64>() / owed
}

/// One caller and its request.
struct Caller {
    kind: usize,
    asked_ms: u64,
    stages: Vec<StageWork>,
    has_returned: bool,
}

/// The scheduler, its servers and its callers.
struct World<'a> {
    site: &'a SiteLoad,
    day: &'a Day,
    now_ms: u64,
    rng: Pcg64Mcg,
    scheduler: StageScheduler,
    at_work: BTreeMap<BackendName, (StageCall, u64)>,
    callers: Vec<Caller>,
    /// Callers by the number of their last submission.
    submissions: Vec<usize>,
    submitted_ms: Vec<u64>,
    returning: BTreeMap<u64, Vec<usize>>,
    releases: BTreeMap<u64, Vec<RequestKey>>,
    got: Vec<Got>,
}

/// Plays a day, and returns what callers of each kind got.
pub fn play(site: &SiteLoad, day: &Day, seed: u64) -> Vec<Got> {
    let mut world = World::new(site, day, seed);
    for now_ms in 0..day.length_ms + CLOSING_MS {
        world.now_ms = now_ms;
        if now_ms < day.length_ms {
            world.ask();
        }
        world.come_back();
        world.release();
        world.end_calls();
        let due = world.scheduler.next_poll_ms(now_ms);
        if due.is_some_and(|due_ms| due_ms <= now_ms) {
            world.carry_out();
        }
    }
    world.got
}

impl<'a> World<'a> {
    fn new(site: &'a SiteLoad, day: &'a Day, seed: u64) -> Self {
        let mut scheduler = StageScheduler::default();
        scheduler.configure(&site.config(), &site.servers(), &BTreeSet::new());
        Self {
            site,
            day,
            now_ms: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            scheduler,
            at_work: BTreeMap::new(),
            callers: Vec::new(),
            submissions: Vec::new(),
            submitted_ms: Vec::new(),
            returning: BTreeMap::new(),
            releases: BTreeMap::new(),
            got: vec![Got::default(); site.kinds.len()],
        }
    }

    /// Lets new callers ask.
    fn ask(&mut self) {
        for (index, kind) in self.site.kinds.iter().enumerate() {
            let is_now = |burst: &&Burst| {
                (burst.at_ms..burst.at_ms + burst.for_ms).contains(&self.now_ms)
                    && burst.kind.is_none_or(|kind| kind == index)
            };
            let times: f64 = self
                .day
                .bursts
                .iter()
                .filter(is_now)
                .map(|b| b.times)
                .product();
            // A draw for each ms, since fewer than one comes in most.
            let mut expected = kind.rate_per_s * times / 1_000.0;
            while self.rng.random_range(0.0..1.0) < expected {
                let stages = kind.draw(self.site, &mut self.rng);
                self.got[index].asked += 1;
                self.callers.push(Caller {
                    kind: index,
                    asked_ms: self.now_ms,
                    stages,
                    has_returned: false,
                });
                self.submit(self.callers.len() - 1);
                expected -= 1.0;
            }
        }
    }

    fn submit(&mut self, index: usize) {
        let caller = &self.callers[index];
        let kind = &self.site.kinds[caller.kind];
        let waited_ms = self.now_ms - caller.asked_ms;
        let number = self.submissions.len() as u64;
        let submission = Submission {
            key: RequestKey {
                instance: InstanceName::new("one"),
                incarnation: Incarnation(1),
                number,
            },
            request: RequestId::new(format!("r{number}")),
            stages: caller.stages.clone(),
            piece_key: "k".to_owned(),
            goal_left_ms: kind.goal_ms,
            deadline_left_ms: kind.deadline_ms - waited_ms,
            missing_ms: waited_ms,
            rest_ms: kind.rest_ms,
            priority: kind.priority,
            home_zone: None,
            done: Vec::new(),
            digest: Default::default(),
            ends: 0,
        };
        self.submissions.push(index);
        self.submitted_ms.push(self.now_ms);
        self.scheduler.submit(self.now_ms, submission);
        self.carry_out();
    }

    fn come_back(&mut self) {
        while let Some(due) = self.returning.first_entry()
            && *due.key() <= self.now_ms
        {
            for index in due.remove() {
                self.submit(index);
            }
        }
    }

    fn release(&mut self) {
        while let Some(due) = self.releases.first_entry()
            && *due.key() <= self.now_ms
        {
            for key in due.remove() {
                self.scheduler.release(&key);
                self.carry_out();
            }
        }
    }

    fn end_calls(&mut self) {
        let is_due = |ends_ms: &u64| *ends_ms <= self.now_ms;
        let due = self
            .at_work
            .iter()
            .filter(|(_, (_, ends_ms))| is_due(ends_ms));
        let due: Vec<BackendName> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            let Some((call, _)) = self.at_work.remove(&name) else {
                continue;
            };
            let made = (0..call.items.len())
                .map(|index| ItemOutcome::Done(format!("{name}/{}/{index}", call.id.0)));
            let end = CallOutcome::Answered(made.collect());
            self.scheduler.on_call_ended(self.now_ms, call.id, &end);
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        for action in self.scheduler.poll(self.now_ms) {
            match action {
                StageAction::Call(call) => self.take(call),
                StageAction::Free {
                    server, handles, ..
                } => self.scheduler.on_freed(&server, &handles),
                StageAction::Probe { .. } => {}
                StageAction::Finish { key, outcome } => self.finish(key, &outcome),
            }
        }
    }

    /// Lets a server begin a call.
    fn take(&mut self, call: StageCall) {
        let services = self.site.services;
        let service = services
            .iter()
            .find(|service| service.name == call.service.as_str());
        let Some(service) = service else {
            return;
        };
        let pieces_ms = call.items.iter().map(|item| {
            let number: usize = item.request.as_str()[1..].parse().unwrap_or_default();
            let kind = self.callers[self.submissions[number]].kind;
            service.piece_ms * self.site.kinds[kind].stages[item.stage].piece_factor
        });
        let lasts_ms = service.batching().duration_ms(0) + pieces_ms.sum::<f64>();
        let ends_ms = self.now_ms + lasts_ms as u64;
        self.at_work.insert(call.server.clone(), (call, ends_ms));
    }

    fn finish(&mut self, key: RequestKey, outcome: &StageOutcome) {
        let index = self.submissions[key.number as usize];
        let submitted_ms = self.submitted_ms[key.number as usize];
        let caller = &mut self.callers[index];
        let kind = &self.site.kinds[caller.kind];
        let got = &mut self.got[caller.kind];
        match outcome {
            StageOutcome::Ready(_) => {
                let took_ms = self.now_ms - caller.asked_ms + kind.rest_ms;
                if took_ms <= kind.goal_ms {
                    got.in_time += 1;
                } else {
                    got.late += 1;
                }
                let is_slow = |slow: &SlowReads| {
                    (slow.at_ms..slow.at_ms + slow.for_ms).contains(&self.now_ms)
                };
                let slow = self.day.slow_reads.filter(is_slow);
                let read_ms = slow.map_or(self.day.read_ms, |slow| slow.read_ms);
                let read = self.releases.entry(self.now_ms + read_ms).or_default();
                read.push(key);
            }
            StageOutcome::Refused { retry_after_ms, .. } => {
                got.refused_later += u32::from(self.now_ms > submitted_ms);
                let left_ms = (caller.asked_ms + kind.deadline_ms).saturating_sub(self.now_ms);
                if caller.has_returned || left_ms == 0 {
                    got.refused_again += 1;
                    return;
                }
                caller.has_returned = true;
                let waits_ms = (*retry_after_ms).min(left_ms / MOST_WAITED).max(1);
                let back = self.returning.entry(self.now_ms + waits_ms).or_default();
                back.push(index);
            }
            StageOutcome::Moved { .. } => {}
        }
    }
}

impl KindLoad {
    /// Draws the stages of one request.
    fn draw(&self, site: &SiteLoad, rng: &mut Pcg64Mcg) -> Vec<StageWork> {
        let stages = self.stages.iter().map(|stage| {
            let is_there = rng.random_range(0..100) < stage.share_percent;
            let (fewest, most) = stage.pieces;
            StageWork {
                service: PoolName::new(site.services[stage.service].name),
                after: stage.after.into_iter().collect(),
                pieces: if is_there {
                    rng.random_range(fewest..=most)
                } else {
                    0
                },
                result_bytes: stage.result_bytes,
            }
        });
        stages.collect()
    }
}

impl ServiceLoad {
    fn batching(&self) -> Batching {
        Batching {
            slots: 1,
            queue: 2,
            batch_pieces: self.batch_pieces,
            call_ms: 200.0,
            piece_ms: self.piece_ms,
            room_bytes: (self.room_mb * 1e6) as u64,
            result_ttl_ms: 4_000,
        }
    }
}

impl SiteLoad {
    fn config(&self) -> RoutingConfig {
        let services = self.services.iter().map(|service| Service {
            name: PoolName::new(service.name),
            max_connections: 100,
            batching: Some(service.batching()),
            engine: None,
            cold_start: None,
        });
        RoutingConfig {
            version: 1,
            services: services.collect(),
            ..RoutingConfig::default()
        }
    }

    fn servers(&self) -> Vec<ServerEntry> {
        let zones = ["utrecht", "amersfoort", "gouda"];
        let entries = self.services.iter().flat_map(|service| {
            (0..service.servers).map(move |index| ServerEntry {
                id: BackendName::new(format!("{}-{index}", service.name)),
                registered_as: BackendName::new(format!("{}-{index}", service.name)),
                started_ms: None,
                position: Position::default(),
                software: None,
                service: PoolName::new(service.name),
                addr: ([127, 0, 0, 1], 1).into(),
                zone: ZoneName::new(zones[index % zones.len()]),
                slots: 1,
                state: ServerState::Ready,
                cold_left_ms: 0,
            })
        });
        entries.collect()
    }
}
