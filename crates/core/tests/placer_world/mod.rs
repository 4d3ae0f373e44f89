//! A simulation of a few candidates over one log that loses responses and
//! delays appends, with drifting clocks and instances that freeze.
#![allow(dead_code)] // each test file uses only some of the helpers

#[path = "../append_outcome/mod.rs"]
mod append_outcome;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use savoryvane_core::{
    ids::{Incarnation, Offset},
    objects::Fencing,
    placer::{Action, ElectionRole, Event, Placer, PlacerRecord, PlacerSettings, Received},
};

pub use append_outcome::AppendOutcome;

pub const INSTANCES: usize = 3;
const SEED: u64 = 0x5eed;
const GEN_SIZE: usize = 120;
const STEP_MS: u64 = 200;
const DELAYS_MS: [u64; 6] = [100, 400, 2_000, 5_000, 12_000, 40_000];
/// Excess rate of the clock of each instance, in thousandths.
const CLOCK_DRIFTS_PER_MILLE: [u64; INSTANCES] = [0, 5, 10];

pub fn seeded(tests: u64) -> QuickCheck {
    let rng = Gen::from_size_and_seed(GEN_SIZE, SEED);
    QuickCheck::new().rng(rng).tests(tests).max_tests(tests)
}

#[derive(Clone, Copy, Debug)]
pub enum Op {
    Pass {
        ms: u64,
    },
    Append {
        instance: usize,
        fate: AppendOutcome,
    },
    Arrive,
    Read {
        instance: usize,
        max_records: usize,
    },
    ReadFails {
        instance: usize,
    },
    Freeze {
        instance: usize,
    },
    Thaw {
        instance: usize,
    },
    Run {
        ms: u64,
    },
    Restart {
        instance: usize,
    },
    Leave {
        instance: usize,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = usize::arbitrary(g) % INSTANCES;
        let ms = *g.choose(&DELAYS_MS).unwrap();
        let fates = [
            AppendOutcome::Appended,
            AppendOutcome::AnswerLost,
            AppendOutcome::NeverArrived,
            AppendOutcome::ArrivesLater,
            AppendOutcome::DoneTwice,
        ];
        let fate = *g.choose(&fates).unwrap();
        let max_records = usize::arbitrary(g) % 4;
        match u8::arbitrary(g) % 20 {
            0..=1 => Self::Pass { ms },
            2..=4 => Self::Append { instance, fate },
            5 => Self::Arrive,
            6..=8 => Self::Read {
                instance,
                max_records,
            },
            9 => Self::ReadFails { instance },
            10..=11 => Self::Freeze { instance },
            12..=13 => Self::Thaw { instance },
            14 => Self::Restart { instance },
            15 => Self::Leave { instance },
            _ => Self::Run { ms },
        }
    }
}

pub struct Node {
    pub placer: Placer,
    pub incarnation: Incarnation,
    pub is_frozen: bool,
    pub read: Option<Offset>,
    pub append: Option<PlacerRecord>,
    /// Last time at which engines that ignore fencing numbers could be given
    /// orders, in ms.
    pub last_allowed_ms: Option<u64>,
}

pub struct World {
    pub now_ms: u64,
    pub settings: PlacerSettings,
    pub log: Vec<PlacerRecord>,
    pub delayed_appends: Vec<PlacerRecord>,
    pub nodes: Vec<Node>,
    pub faults: Vec<String>,
    runs: u64,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now_ms: 1_000,
            settings: PlacerSettings::default(),
            log: Vec::new(),
            delayed_appends: Vec::new(),
            nodes: Vec::new(),
            faults: Vec::new(),
            runs: 0,
        };
        for instance in 0..INSTANCES {
            let node = world.new_node(instance);
            world.nodes.push(node);
        }
        for instance in 0..INSTANCES {
            world.become_candidate(instance);
        }
        world
    }

    fn new_node(&mut self, instance: usize) -> Node {
        self.runs += 1;
        let incarnation = Incarnation(self.runs);
        let name = format!("entry-{instance}");
        Node {
            placer: Placer::new(name.as_str().into(), incarnation, self.settings, self.runs),
            incarnation,
            is_frozen: false,
            read: None,
            append: None,
            last_allowed_ms: None,
        }
    }

    fn become_candidate(&mut self, instance: usize) {
        let rank = instance as u64;
        self.event(
            instance,
            Event::RoleChanged(ElectionRole::Candidate { rank }),
        );
    }

    pub fn local_ms(&self, instance: usize) -> u64 {
        self.now_ms * (1_000 + CLOCK_DRIFTS_PER_MILLE[instance]) / 1_000
    }

    pub fn event(&mut self, instance: usize, event: Event) {
        let now_ms = self.local_ms(instance);
        let node = &mut self.nodes[instance];
        if node.is_frozen {
            return;
        }
        for action in node.placer.on_event(now_ms, event) {
            match action {
                Action::Read { from, .. } => node.read = Some(from),
                Action::Append(record) => node.append = Some(record),
                Action::Changed(_) => {}
            }
        }
        self.check();
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Pass { ms } => self.pass(ms),
            Op::Append { instance, fate } => self.append(instance, fate),
            Op::Arrive => {
                if let Some(record) = self.delayed_appends.pop() {
                    self.log.push(record);
                }
            }
            Op::Read {
                instance,
                max_records,
            } => self.read(instance, max_records),
            Op::ReadFails { instance } => {
                if !self.nodes[instance].is_frozen && self.nodes[instance].read.take().is_some() {
                    self.event(instance, Event::ReadFailed);
                }
            }
            Op::Freeze { instance } => self.nodes[instance].is_frozen = true,
            Op::Thaw { instance } => self.nodes[instance].is_frozen = false,
            Op::Run { ms } => self.run(ms),
            Op::Restart { instance } => {
                self.nodes[instance] = self.new_node(instance);
                self.become_candidate(instance);
            }
            Op::Leave { instance } => self.event(instance, Event::Leave),
        }
        self.check();
    }

    /// Advances time without any responses.
    pub fn pass(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + STEP_MS);
            self.check();
        }
    }

    /// Advances time with a working log.
    pub fn run(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for instance in 0..INSTANCES {
                self.append(instance, AppendOutcome::Appended);
                self.read(instance, usize::MAX);
                self.event(instance, Event::Tick);
            }
            self.check();
        }
    }

    pub fn append(&mut self, instance: usize, fate: AppendOutcome) {
        if self.nodes[instance].is_frozen {
            return;
        }
        let Some(record) = self.nodes[instance].append.take() else {
            return;
        };
        match fate {
            AppendOutcome::Appended | AppendOutcome::AnswerLost => self.log.push(record),
            AppendOutcome::NeverArrived => {}
            AppendOutcome::ArrivesLater => self.delayed_appends.push(record),
            AppendOutcome::DoneTwice => {
                self.log.push(record.clone());
                self.log.push(record);
            }
        }
        self.event(instance, Event::AppendEnded);
    }

    pub fn read(&mut self, instance: usize, max_records: usize) {
        if self.nodes[instance].is_frozen {
            return;
        }
        let Some(from) = self.nodes[instance].read.take() else {
            return;
        };
        let next = Offset(self.log.len() as u64);
        let records = (0u64..)
            .zip(&self.log)
            .skip(from.0 as usize)
            .take(max_records);
        let records = records.map(|(offset, record)| Received {
            offset: Offset(offset),
            record: Some(record.clone()),
        });
        let records = records.collect();
        self.event(instance, Event::Read { next, records });
    }

    /// Checks that no two instances can give orders to engines that ignore
    /// fencing numbers within the duration of one order, and that no two hold
    /// the same fencing number.
    fn check(&mut self) {
        let now_ms = self.now_ms;
        let permits: Vec<_> = (0..INSTANCES)
            .map(|instance| self.nodes[instance].placer.permit(self.local_ms(instance)))
            .collect();
        for (instance, permit) in permits.iter().enumerate() {
            let Some(permit) = permit else { continue };
            let claim_record = self.log.get(permit.fence as usize);
            let is_own = claim_record.is_some_and(|record| {
                matches!(record, PlacerRecord::Claim { .. })
                    && record.incarnation() == self.nodes[instance].incarnation
            });
            if !is_own {
                self.faults
                    .push(format!("{instance} holds {permit:?} without its claim"));
            }
            if !permit.allows(self.local_ms(instance), Fencing::Ignored) {
                continue;
            }
            for other in (0..INSTANCES).filter(|other| *other != instance) {
                let busy_until_ms = self.nodes[other]
                    .last_allowed_ms
                    .map(|last_ms| last_ms + self.settings.order_timeout_ms);
                if busy_until_ms.is_some_and(|until_ms| until_ms > now_ms) {
                    self.faults.push(format!(
                        "{instance} and {other} can give orders at {now_ms} ms"
                    ));
                }
            }
            self.nodes[instance].last_allowed_ms = Some(now_ms);
        }
    }

    /// Ends all faults and lets the candidates settle.
    pub fn settle(&mut self) {
        self.log.append(&mut self.delayed_appends);
        for instance in 0..INSTANCES {
            self.nodes[instance].is_frozen = false;
        }
        self.run(4 * self.settings.silence_ms());
    }

    pub fn placers(&self) -> Vec<usize> {
        let is_placer = |instance: &usize| {
            self.nodes[*instance]
                .placer
                .permit(self.local_ms(*instance))
                .is_some()
        };
        (0..INSTANCES).filter(is_placer).collect()
    }
}
