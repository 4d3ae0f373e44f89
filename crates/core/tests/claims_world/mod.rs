//! A few instances over one log that loses answers, delays appends and trims.

#[path = "../fate/mod.rs"]
mod fate;

use std::collections::HashMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use savoryvane_core::{
    claim::{Batch, Fingerprint, KeyHash},
    claim_batcher::{AppendResult, BatchLimits},
    claim_index::{ClaimRecord, IndexLimits},
    claimant::{
        Attempt, AttemptDecision, ClaimLimits, ClaimRequest, Claimant, Decision, Permit,
        StartedAttempt,
    },
    ids::{Incarnation, InstanceName, Offset},
    outcome::Outcome,
    progress::{CallKind, Retraction},
};

pub use fate::Fate;

pub const WINDOW_MS: u64 = 10_000;
pub const INSTANCES: usize = 3;
const SEED: u64 = 0x5eed;
const GEN_SIZE: usize = 160;
const PASSES_MS: [u64; 6] = [1, 10, 100, 1_000, 4_000, 9_000];
const STAGES: u32 = 2;

pub fn seeded(tests: u64) -> QuickCheck {
    let rng = Gen::from_size_and_seed(GEN_SIZE, SEED);
    QuickCheck::new().rng(rng).tests(tests).max_tests(tests)
}

pub fn limits() -> ClaimLimits {
    ClaimLimits {
        index: IndexLimits {
            window_ms: WINDOW_MS,
            max_keys: 100,
            max_answer_bytes: 4096,
        },
        batch: BatchLimits {
            interval_ms: 0,
            heartbeat_interval_ms: WINDOW_MS,
            max_entries: 3,
            max_bytes: 4096,
            max_pending: 16,
        },
        max_abandoned: 64,
    }
}

/// One thing that happens; small numbers choose among what there is.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    Begin {
        at: usize,
        key: u8,
        allowed_ms: u64,
    },
    Append {
        at: usize,
        fate: Fate,
    },
    Arrive {
        which: usize,
    },
    Read {
        at: usize,
        most: usize,
    },
    Tick {
        at: usize,
    },
    Pass {
        ms: u64,
    },
    Send {
        at: usize,
        which: usize,
        stage: u32,
    },
    RunIdempotent {
        at: usize,
        which: usize,
    },
    Retract {
        at: usize,
        which: usize,
        cause: Retraction,
    },
    Finish {
        at: usize,
        which: usize,
        outcome: Outcome,
    },
    HolderUnreachable {
        at: usize,
        which: usize,
    },
    Kill {
        at: usize,
    },
    Trim {
        keep: usize,
    },
    Garble,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = usize::arbitrary(g) % INSTANCES;
        let which = usize::arbitrary(g) % 2;
        let fates = [
            Fate::Appended,
            Fate::Appended,
            Fate::Appended,
            Fate::AnswerLost,
            Fate::NeverArrived,
            Fate::ArrivesLater,
            Fate::DoneTwice,
        ];
        let fate = *g.choose(&fates).expect("fates");
        let causes = [Retraction::NotWritten, Retraction::Refused];
        match u32::arbitrary(g) % 200 {
            0..30 => Self::Begin {
                at,
                key: u8::from(u8::arbitrary(g) % 8 == 0),
                allowed_ms: 500 + u64::arbitrary(g) % 8_000,
            },
            30..70 => Self::Append { at, fate },
            70..78 => Self::Arrive { which },
            78..120 => Self::Read {
                at,
                most: 1 + usize::arbitrary(g) % 6,
            },
            120..126 => Self::Tick { at },
            126..140 => Self::Pass {
                ms: *g.choose(&PASSES_MS).expect("times"),
            },
            140..160 => Self::Send {
                at,
                which,
                stage: u32::arbitrary(g) % STAGES,
            },
            160..166 => Self::RunIdempotent { at, which },
            166..174 => Self::Retract {
                at,
                which,
                cause: *g.choose(&causes).expect("causes"),
            },
            174..190 => Self::Finish {
                at,
                which,
                outcome: *g.choose(&Outcome::ALL).expect("outcomes"),
            },
            190..194 => Self::HolderUnreachable { at, which },
            194..197 => Self::Kill { at },
            197..199 => Self::Trim {
                keep: usize::arbitrary(g) % 8,
            },
            _ => Self::Garble,
        }
    }
}

struct Stored {
    appended_at_ms: u64,
    batch: Option<Batch>,
}

struct Instance {
    claimant: Claimant,
    won: Vec<(Attempt, u8)>,
    pending: HashMap<Attempt, u8>,
}

/// A call that was handed out.
#[derive(Clone, Copy, Debug)]
struct Sent {
    key: u8,
    stage: u32,
    at_ms: u64,
    by: (u64, Attempt),
}

/// What an attempt has handed out so far.
#[derive(Clone, Copy, Debug, Default)]
struct Trace {
    sent: bool,
    retractable: bool,
}

pub struct World {
    pub now_ms: u64,
    log: Vec<Stored>,
    first: usize,
    late: Vec<Batch>,
    instances: Vec<Instance>,
    incarnations: u64,
    sent: Vec<Sent>,
    ran: Vec<(u8, u64)>,
    traces: HashMap<(u64, Attempt), Trace>,
    pub told: Vec<(u8, Decision)>,
    pub faults: Vec<String>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now_ms: 1_000_000,
            log: Vec::new(),
            first: 0,
            late: Vec::new(),
            instances: Vec::new(),
            incarnations: 0,
            sent: Vec::new(),
            ran: Vec::new(),
            traces: HashMap::new(),
            told: Vec::new(),
            faults: Vec::new(),
        };
        world.store(Some(Batch::default()));
        for _ in 0..INSTANCES {
            let instance = world.start();
            world.instances.push(instance);
        }
        for at in 0..INSTANCES {
            world.read(at, usize::MAX);
        }
        world
    }

    fn start(&mut self) -> Instance {
        self.incarnations += 1;
        Instance {
            claimant: Claimant::new(
                InstanceName::from("entry"),
                Incarnation(self.incarnations),
                limits(),
            ),
            won: Vec::new(),
            pending: HashMap::new(),
        }
    }

    /// Clocks of instances differ from each other and from the log's.
    fn clock(&self, at: usize) -> u64 {
        self.now_ms - 900_000 + 7_777 * at as u64
    }

    fn store(&mut self, batch: Option<Batch>) {
        let appended_at_ms = self.now_ms;
        self.log.push(Stored {
            appended_at_ms,
            batch,
        });
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Begin {
                at,
                key,
                allowed_ms,
            } => self.begin(at, key, allowed_ms),
            Op::Append { at, fate } => self.append(at, fate),
            Op::Arrive { which } => {
                if which < self.late.len() {
                    let batch = self.late.remove(which);
                    self.store(Some(batch));
                }
            }
            Op::Read { at, most } => self.read(at, most),
            Op::Tick { at } => {
                let now = self.clock(at);
                let steps = self.instances[at].claimant.on_tick(now);
                self.take(at, steps);
            }
            Op::Pass { ms } => self.now_ms += ms,
            Op::Send { at, which, stage } => self.send(at, which, stage),
            Op::RunIdempotent { at, which } => self.run_idempotent(at, which),
            Op::Retract { at, which, cause } => self.retract(at, which, cause),
            Op::Finish { at, which, outcome } => self.finish(at, which, outcome),
            Op::HolderUnreachable { at, which } => self.holder_gone(at, which),
            Op::Kill { at } => self.instances[at] = self.start(),
            Op::Trim { keep } => self.first = self.first.max(self.log.len().saturating_sub(keep)),
            Op::Garble => self.store(None),
        }
    }

    pub fn begin(&mut self, at: usize, key: u8, allowed_ms: u64) {
        let now = self.clock(at);
        let ask = ClaimRequest {
            key: KeyHash([key; 16]),
            fingerprint: Fingerprint([key; 16]),
            deadline_ms: now + allowed_ms,
        };
        let instance = &mut self.instances[at];
        let StartedAttempt { attempt, decision } = instance.claimant.begin(now, ask);
        instance.pending.insert(attempt, key);
        if let Some(decision) = decision {
            self.take(at, vec![AttemptDecision { attempt, decision }]);
        }
    }

    pub fn append(&mut self, at: usize, fate: Fate) {
        let now = self.clock(at);
        let claimant = &mut self.instances[at].claimant;
        let Some(batch) = claimant.poll_append(now).cloned() else {
            return;
        };
        let result = match fate {
            Fate::Appended => AppendResult::Appended,
            _ => AppendResult::NotConfirmed,
        };
        claimant.on_append_result(result);
        match fate {
            Fate::Appended | Fate::AnswerLost => self.store(Some(batch)),
            Fate::NeverArrived => {}
            Fate::ArrivesLater => self.late.push(batch),
            Fate::DoneTwice => {
                self.late.push(batch.clone());
                self.store(Some(batch));
            }
        }
    }

    pub fn read(&mut self, at: usize, most: usize) {
        let now = self.clock(at);
        for _ in 0..most {
            let claimant = &mut self.instances[at].claimant;
            let next = claimant.index().next().0 as usize;
            let from = next.max(self.first);
            let Some(stored) = self.log.get(from) else {
                return;
            };
            let record = ClaimRecord {
                offset: Offset(from as u64),
                appended_at_ms: stored.appended_at_ms,
                batch: stored.batch.as_ref(),
            };
            let steps = claimant.on_record(now, &record);
            self.take(at, steps);
        }
    }

    fn take(&mut self, at: usize, steps: Vec<AttemptDecision>) {
        for AttemptDecision { attempt, decision } in steps {
            let instance = &mut self.instances[at];
            let Some(&key) = instance.pending.get(&attempt) else {
                self.faults
                    .push(format!("{attempt:?} decided twice: {decision:?}"));
                continue;
            };
            match &decision {
                Decision::Join(_) => {}
                Decision::Won => {
                    instance.pending.remove(&attempt);
                    instance.won.push((attempt, key));
                }
                Decision::Ended(ending) => {
                    instance.pending.remove(&attempt);
                    self.check_told(key, ending.outcome, None);
                }
                Decision::Recorded(_) | Decision::Misuse => {
                    instance.pending.remove(&attempt);
                }
            }
            self.told.push((key, decision));
        }
    }

    fn chosen(&self, at: usize, which: usize) -> Option<(Attempt, u8)> {
        self.instances[at].won.get(which).copied()
    }

    fn id(&self, at: usize, attempt: Attempt) -> (u64, Attempt) {
        let first_of_run = &self.instances[at].claimant;
        (first_of_run.incarnation().0, attempt)
    }

    pub fn send(&mut self, at: usize, which: usize, stage: u32) {
        let Some((attempt, key)) = self.chosen(at, which) else {
            return;
        };
        let now = self.clock(at);
        let claimant = &mut self.instances[at].claimant;
        if claimant.permit(now, attempt, stage, CallKind::NonIdempotent) != Permit::Send {
            return;
        }
        let by = self.id(at, attempt);
        let half = WINDOW_MS / 2;
        let earlier = self.sent.iter().find(|sent| {
            sent.key == key
                && (sent.by != by || sent.stage == stage)
                && sent.at_ms + half > self.now_ms
        });
        if let Some(earlier) = earlier {
            let at_ms = self.now_ms;
            self.faults
                .push(format!("{by:?} sent {stage} at {at_ms} after {earlier:?}"));
        }
        self.sent.push(Sent {
            key,
            stage,
            at_ms: self.now_ms,
            by,
        });
        self.ran.push((key, self.now_ms));
        let trace = self.traces.entry(by).or_default();
        *trace = Trace {
            sent: true,
            retractable: true,
        };
    }

    fn run_idempotent(&mut self, at: usize, which: usize) {
        if let Some((attempt, key)) = self.chosen(at, which) {
            let now = self.clock(at);
            let claimant = &mut self.instances[at].claimant;
            if claimant.permit(now, attempt, 0, CallKind::Idempotent) == Permit::Send {
                self.ran.push((key, self.now_ms));
            }
        }
    }

    fn retract(&mut self, at: usize, which: usize, cause: Retraction) {
        let Some((attempt, _)) = self.chosen(at, which) else {
            return;
        };
        let by = self.id(at, attempt);
        let Some(trace) = self.traces.get_mut(&by).filter(|trace| trace.retractable) else {
            return;
        };
        trace.retractable = false;
        self.instances[at].claimant.retract(attempt, cause);
        let last = self.sent.iter().rposition(|sent| sent.by == by);
        if let Some(last) = last {
            let sent = self.sent.remove(last);
            if cause == Retraction::NotWritten {
                self.ran.retain(|ran| *ran != (sent.key, sent.at_ms));
            }
        }
        let still_sent = self.sent.iter().any(|sent| sent.by == by);
        self.traces.entry(by).or_default().sent = still_sent;
    }

    fn finish(&mut self, at: usize, which: usize, outcome: Outcome) {
        if let Some((attempt, key)) = self.chosen(at, which) {
            let now = self.clock(at);
            let by = self.id(at, attempt);
            let sent = self.traces.get(&by).is_some_and(|trace| trace.sent);
            let instance = &mut self.instances[at];
            let told = instance.claimant.finish(now, attempt, outcome, b"answer");
            instance.won.remove(which);
            self.check_told(key, told, Some(sent));
        }
    }

    fn holder_gone(&mut self, at: usize, which: usize) {
        let now = self.clock(at);
        let instance = &mut self.instances[at];
        let mut pending: Vec<Attempt> = instance.pending.keys().copied().collect();
        pending.sort();
        if let Some(&attempt) = pending.get(which)
            && let Some(decision) = instance.claimant.on_holder_unreachable(now, attempt)
        {
            self.take(at, vec![AttemptDecision { attempt, decision }]);
        }
    }

    /// "Not run" is told only while nothing had run under the key, and nothing
    /// that was sent is told as safe to repeat.
    fn check_told(&mut self, key: u8, outcome: Outcome, sent: Option<bool>) {
        let half = WINDOW_MS / 2;
        let now_ms = self.now_ms;
        let has_run = |ran: &(u8, u64)| ran.0 == key && ran.1 + half > now_ms;
        if outcome == Outcome::NotRun && self.ran.iter().any(has_run) {
            self.faults.push(format!("key {key} told not run, but ran"));
        }
        if sent == Some(true) && outcome != Outcome::Complete && outcome != Outcome::Unknown {
            self.faults
                .push(format!("key {key} sent but told {outcome}"));
        }
    }

    /// Lets every append arrive and every instance read to the end.
    pub fn calm(&mut self) {
        for _ in 0..100 {
            for batch in std::mem::take(&mut self.late) {
                self.store(Some(batch));
            }
            for at in 0..INSTANCES {
                self.now_ms += 200;
                self.append(at, Fate::Appended);
                self.read(at, usize::MAX);
            }
        }
    }
}
