//! Simulation of several instances over one log that loses responses, delays
//! appends and trims records.

#[path = "../append_outcome/mod.rs"]
mod append_outcome;

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

pub use append_outcome::AppendOutcome;

pub const WINDOW_MS: u64 = 10_000;
pub const INSTANCES: usize = 3;
const SEED: u64 = 0x5eed;
const GEN_SIZE: usize = 160;
const TIME_STEPS_MS: [u64; 6] = [1, 10, 100, 1_000, 4_000, 9_000];
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

/// A simulated operation. Small numbers select among the existing items.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    Begin {
        node: usize,
        key: u8,
        allowed_ms: u64,
    },
    Append {
        node: usize,
        fate: AppendOutcome,
    },
    DeliverLate {
        index: usize,
    },
    Read {
        node: usize,
        max_records: usize,
    },
    Tick {
        node: usize,
    },
    AdvanceTime {
        ms: u64,
    },
    Send {
        node: usize,
        index: usize,
        stage: u32,
    },
    RunIdempotent {
        node: usize,
        index: usize,
    },
    Retract {
        node: usize,
        index: usize,
        cause: Retraction,
    },
    Finish {
        node: usize,
        index: usize,
        outcome: Outcome,
    },
    HolderUnreachable {
        node: usize,
        index: usize,
    },
    Kill {
        node: usize,
    },
    Trim {
        retained: usize,
    },
    AppendUnreadable,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % INSTANCES;
        let index = usize::arbitrary(g) % 2;
        let fates = [
            AppendOutcome::Appended,
            AppendOutcome::Appended,
            AppendOutcome::Appended,
            AppendOutcome::AnswerLost,
            AppendOutcome::NeverArrived,
            AppendOutcome::ArrivesLater,
            AppendOutcome::DoneTwice,
        ];
        let fate = *g.choose(&fates).expect("fates");
        let causes = [Retraction::NotWritten, Retraction::Refused];
        match u32::arbitrary(g) % 200 {
            0..30 => Self::Begin {
                node,
                key: u8::from(u8::arbitrary(g) % 8 == 0),
                allowed_ms: 500 + u64::arbitrary(g) % 8_000,
            },
            30..70 => Self::Append { node, fate },
            70..78 => Self::DeliverLate { index },
            78..120 => Self::Read {
                node,
                max_records: 1 + usize::arbitrary(g) % 6,
            },
            120..126 => Self::Tick { node },
            126..140 => Self::AdvanceTime {
                ms: *g.choose(&TIME_STEPS_MS).expect("times"),
            },
            140..160 => Self::Send {
                node,
                index,
                stage: u32::arbitrary(g) % STAGES,
            },
            160..166 => Self::RunIdempotent { node, index },
            166..174 => Self::Retract {
                node,
                index,
                cause: *g.choose(&causes).expect("causes"),
            },
            174..190 => Self::Finish {
                node,
                index,
                outcome: *g.choose(&Outcome::ALL).expect("outcomes"),
            },
            190..194 => Self::HolderUnreachable { node, index },
            194..197 => Self::Kill { node },
            197..199 => Self::Trim {
                retained: usize::arbitrary(g) % 8,
            },
            _ => Self::AppendUnreadable,
        }
    }
}

struct LogRecord {
    appended_at_ms: u64,
    batch: Option<Batch>,
}

struct Instance {
    claimant: Claimant,
    won: Vec<(Attempt, u8)>,
    pending: HashMap<Attempt, u8>,
}

/// A non-idempotent call that was permitted.
#[derive(Clone, Copy, Debug)]
struct SentCall {
    key: u8,
    stage: u32,
    at_ms: u64,
    run: (u64, Attempt),
}

/// State of the non-idempotent calls of an attempt.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptTrace {
    sent: bool,
    retractable: bool,
}

pub struct World {
    pub now_ms: u64,
    log: Vec<LogRecord>,
    first_retained: usize,
    delayed: Vec<Batch>,
    instances: Vec<Instance>,
    incarnations: u64,
    sent: Vec<SentCall>,
    ran: Vec<(u8, u64)>,
    traces: HashMap<(u64, Attempt), AttemptTrace>,
    pub decisions: Vec<(u8, Decision)>,
    pub violations: Vec<String>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now_ms: 1_000_000,
            log: Vec::new(),
            first_retained: 0,
            delayed: Vec::new(),
            instances: Vec::new(),
            incarnations: 0,
            sent: Vec::new(),
            ran: Vec::new(),
            traces: HashMap::new(),
            decisions: Vec::new(),
            violations: Vec::new(),
        };
        world.store_record(Some(Batch::default()));
        for _ in 0..INSTANCES {
            let instance = world.start();
            world.instances.push(instance);
        }
        for node in 0..INSTANCES {
            world.read(node, usize::MAX);
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

    /// Returns the clock of an instance, which differs from the clocks of the
    /// other instances and of the log.
    fn clock(&self, node: usize) -> u64 {
        self.now_ms - 900_000 + 7_777 * node as u64
    }

    fn store_record(&mut self, batch: Option<Batch>) {
        let appended_at_ms = self.now_ms;
        self.log.push(LogRecord {
            appended_at_ms,
            batch,
        });
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Begin {
                node,
                key,
                allowed_ms,
            } => self.begin(node, key, allowed_ms),
            Op::Append { node, fate } => self.append(node, fate),
            Op::DeliverLate { index } => {
                if index < self.delayed.len() {
                    let batch = self.delayed.remove(index);
                    self.store_record(Some(batch));
                }
            }
            Op::Read { node, max_records } => self.read(node, max_records),
            Op::Tick { node } => {
                let now = self.clock(node);
                let decided = self.instances[node].claimant.on_tick(now);
                self.apply_decisions(node, decided);
            }
            Op::AdvanceTime { ms } => self.now_ms += ms,
            Op::Send { node, index, stage } => self.send(node, index, stage),
            Op::RunIdempotent { node, index } => self.run_idempotent(node, index),
            Op::Retract { node, index, cause } => self.retract(node, index, cause),
            Op::Finish {
                node,
                index,
                outcome,
            } => self.finish(node, index, outcome),
            Op::HolderUnreachable { node, index } => self.holder_unreachable(node, index),
            Op::Kill { node } => self.instances[node] = self.start(),
            Op::Trim { retained } => {
                self.first_retained = self
                    .first_retained
                    .max(self.log.len().saturating_sub(retained))
            }
            Op::AppendUnreadable => self.store_record(None),
        }
    }

    pub fn begin(&mut self, node: usize, key: u8, allowed_ms: u64) {
        let now = self.clock(node);
        let request = ClaimRequest {
            key: KeyHash([key; 16]),
            fingerprint: Fingerprint([key; 16]),
            deadline_ms: now + allowed_ms,
        };
        let instance = &mut self.instances[node];
        let StartedAttempt { attempt, decision } = instance.claimant.begin(now, request);
        instance.pending.insert(attempt, key);
        if let Some(decision) = decision {
            self.apply_decisions(node, vec![AttemptDecision { attempt, decision }]);
        }
    }

    pub fn append(&mut self, node: usize, fate: AppendOutcome) {
        let now = self.clock(node);
        let claimant = &mut self.instances[node].claimant;
        let Some(batch) = claimant.poll_append(now).cloned() else {
            return;
        };
        let result = match fate {
            AppendOutcome::Appended => AppendResult::Appended,
            _ => AppendResult::NotConfirmed,
        };
        claimant.on_append_result(result);
        match fate {
            AppendOutcome::Appended | AppendOutcome::AnswerLost => self.store_record(Some(batch)),
            AppendOutcome::NeverArrived => {}
            AppendOutcome::ArrivesLater => self.delayed.push(batch),
            AppendOutcome::DoneTwice => {
                self.delayed.push(batch.clone());
                self.store_record(Some(batch));
            }
        }
    }

    pub fn read(&mut self, node: usize, max_records: usize) {
        let now = self.clock(node);
        for _ in 0..max_records {
            let claimant = &mut self.instances[node].claimant;
            let next = claimant.index().next().0 as usize;
            let from = next.max(self.first_retained);
            let Some(log_record) = self.log.get(from) else {
                return;
            };
            let record = ClaimRecord {
                offset: Offset(from as u64),
                appended_at_ms: log_record.appended_at_ms,
                batch: log_record.batch.as_ref(),
            };
            let decided = claimant.on_record(now, &record);
            self.apply_decisions(node, decided);
        }
    }

    fn apply_decisions(&mut self, node: usize, decided: Vec<AttemptDecision>) {
        for AttemptDecision { attempt, decision } in decided {
            let instance = &mut self.instances[node];
            let Some(&key) = instance.pending.get(&attempt) else {
                self.violations
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
                    self.check_outcome(key, ending.outcome, None);
                }
                Decision::Recorded(_) | Decision::Misuse => {
                    instance.pending.remove(&attempt);
                }
            }
            self.decisions.push((key, decision));
        }
    }

    fn won_attempt(&self, node: usize, index: usize) -> Option<(Attempt, u8)> {
        self.instances[node].won.get(index).copied()
    }

    fn run_id(&self, node: usize, attempt: Attempt) -> (u64, Attempt) {
        let claimant = &self.instances[node].claimant;
        (claimant.incarnation().0, attempt)
    }

    pub fn send(&mut self, node: usize, index: usize, stage: u32) {
        let Some((attempt, key)) = self.won_attempt(node, index) else {
            return;
        };
        let now = self.clock(node);
        let claimant = &mut self.instances[node].claimant;
        if claimant.permit(now, attempt, stage, CallKind::NonIdempotent) != Permit::Send {
            return;
        }
        let run = self.run_id(node, attempt);
        let half_window_ms = WINDOW_MS / 2;
        let conflicting = self.sent.iter().find(|sent| {
            sent.key == key
                && (sent.run != run || sent.stage == stage)
                && sent.at_ms + half_window_ms > self.now_ms
        });
        if let Some(conflicting) = conflicting {
            let at_ms = self.now_ms;
            self.violations.push(format!(
                "{run:?} sent {stage} at {at_ms} after {conflicting:?}"
            ));
        }
        self.sent.push(SentCall {
            key,
            stage,
            at_ms: self.now_ms,
            run,
        });
        self.ran.push((key, self.now_ms));
        let trace = self.traces.entry(run).or_default();
        *trace = AttemptTrace {
            sent: true,
            retractable: true,
        };
    }

    fn run_idempotent(&mut self, node: usize, index: usize) {
        if let Some((attempt, key)) = self.won_attempt(node, index) {
            let now = self.clock(node);
            let claimant = &mut self.instances[node].claimant;
            if claimant.permit(now, attempt, 0, CallKind::Idempotent) == Permit::Send {
                self.ran.push((key, self.now_ms));
            }
        }
    }

    fn retract(&mut self, node: usize, index: usize, cause: Retraction) {
        let Some((attempt, _)) = self.won_attempt(node, index) else {
            return;
        };
        let run = self.run_id(node, attempt);
        let Some(trace) = self.traces.get_mut(&run).filter(|trace| trace.retractable) else {
            return;
        };
        trace.retractable = false;
        self.instances[node].claimant.retract(attempt, cause);
        let last = self.sent.iter().rposition(|sent| sent.run == run);
        if let Some(last) = last {
            let sent = self.sent.remove(last);
            if cause == Retraction::NotWritten {
                self.ran.retain(|ran| *ran != (sent.key, sent.at_ms));
            }
        }
        let still_sent = self.sent.iter().any(|sent| sent.run == run);
        self.traces.entry(run).or_default().sent = still_sent;
    }

    fn finish(&mut self, node: usize, index: usize, outcome: Outcome) {
        if let Some((attempt, key)) = self.won_attempt(node, index) {
            let now = self.clock(node);
            let run = self.run_id(node, attempt);
            let sent = self.traces.get(&run).is_some_and(|trace| trace.sent);
            let instance = &mut self.instances[node];
            let reported = instance.claimant.finish(now, attempt, outcome, b"answer");
            instance.won.remove(index);
            self.check_outcome(key, reported, Some(sent));
        }
    }

    fn holder_unreachable(&mut self, node: usize, index: usize) {
        let now = self.clock(node);
        let instance = &mut self.instances[node];
        let mut pending: Vec<Attempt> = instance.pending.keys().copied().collect();
        pending.sort();
        if let Some(&attempt) = pending.get(index)
            && let Some(decision) = instance.claimant.on_holder_unreachable(now, attempt)
        {
            self.apply_decisions(node, vec![AttemptDecision { attempt, decision }]);
        }
    }

    /// Checks that "not run" is reported only while nothing has run under the key,
    /// and that a run that sent a call is never reported as safe to retry.
    fn check_outcome(&mut self, key: u8, outcome: Outcome, sent: Option<bool>) {
        let half_window_ms = WINDOW_MS / 2;
        let now_ms = self.now_ms;
        let has_run = |ran: &(u8, u64)| ran.0 == key && ran.1 + half_window_ms > now_ms;
        if outcome == Outcome::NotRun && self.ran.iter().any(has_run) {
            self.violations
                .push(format!("key {key} reported not run, but ran"));
        }
        if sent == Some(true) && outcome != Outcome::Complete && outcome != Outcome::Unknown {
            self.violations
                .push(format!("key {key} sent but reported {outcome}"));
        }
    }

    /// Delivers every append and lets every instance read to the end.
    pub fn settle(&mut self) {
        for _ in 0..100 {
            for batch in std::mem::take(&mut self.delayed) {
                self.store_record(Some(batch));
            }
            for node in 0..INSTANCES {
                self.now_ms += 200;
                self.append(node, AppendOutcome::Appended);
                self.read(node, usize::MAX);
            }
        }
    }
}
