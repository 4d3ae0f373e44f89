//! A fake backend server: a queue with seeded service times.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::call::{CallId, LoadReport, RefusalReason, ServingState, StageEvent};
use serde_json::Value;

use crate::deployment::{ServerSpec, Work};

/// Calls that may wait for each slot before a server refuses more.
const QUEUE_PER_SLOT: usize = 16;
/// Time in which a failing server answers, in µs.
const FAIL_AFTER_US: u64 = 1_000;

/// A call at a server.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the job, unique in a run.
    pub key: u64,
    /// Instance that sent it, as an index.
    pub instance: usize,
    /// Request that it serves, as an index.
    pub request: usize,
    /// Identifiers of the call.
    pub id: CallId,
    /// Priority of the call.
    pub priority: u8,
    /// First token that is wanted.
    pub resume_from: u32,
    /// Shared prefix of the prompt, if any.
    pub prefix: Option<u64>,
    /// Seed of its service time.
    pub seed: u64,
}

/// A job that has a slot.
#[derive(Clone, Debug)]
struct Running {
    job: Job,
    started_us: u64,
    next_token: u32,
    end_token: u32,
}

/// What a server does.
#[derive(Clone, Debug)]
pub enum Output {
    /// It refuses a call.
    Refuse {
        /// The call.
        job: Job,
        /// Why.
        reason: RefusalReason,
    },
    /// It sends an event of an answer.
    Answer {
        /// Instance that gets it.
        instance: usize,
        /// Request that it is for.
        request: usize,
        /// The event.
        event: StageEvent,
    },
    /// It goes on with a job later.
    StepAt {
        /// When, in µs.
        at_us: u64,
        /// The job.
        key: u64,
    },
    /// Its prefix cache changed.
    Cache {
        /// The prefix.
        prefix: u64,
        /// Whether it is cached now.
        cached: bool,
    },
    /// A job has used a slot.
    Spent {
        /// Request that it was for.
        request: usize,
        /// Attempt that it was.
        attempt: u64,
        /// For how long, in µs.
        busy_us: u64,
    },
}

/// The state of a server.
#[derive(Debug)]
pub struct FakeServer {
    /// What it is.
    pub spec: ServerSpec,
    /// Factor on its service times.
    pub slowness: f64,
    /// Whether it fails each call at once.
    pub is_failing: bool,
    waiting: VecDeque<Job>,
    running: Vec<Running>,
    cache: VecDeque<u64>,
}

impl FakeServer {
    /// Creates an idle server.
    pub fn new(spec: ServerSpec) -> Self {
        Self {
            spec,
            slowness: 1.0,
            is_failing: false,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
        }
    }

    /// Takes in a call.
    pub fn on_call(&mut self, now_us: u64, job: Job) -> Vec<Output> {
        if self.is_failing {
            return vec![
                Output::Spent {
                    request: job.request,
                    attempt: job.id.attempt,
                    busy_us: FAIL_AFTER_US,
                },
                Output::Answer {
                    instance: job.instance,
                    request: job.request,
                    event: StageEvent::Error {
                        id: job.id,
                        message: "failing".into(),
                        busy_us: FAIL_AFTER_US,
                    },
                },
            ];
        }
        let queue_limit = self.spec.backend.slots as usize * QUEUE_PER_SLOT;
        if self.waiting.len() >= queue_limit {
            let reason = RefusalReason::Full;
            return vec![Output::Refuse { job, reason }];
        }
        let position = self
            .waiting
            .iter()
            .position(|other| other.priority < job.priority)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(position, job);
        let mut outputs = Vec::new();
        self.fill_slots(now_us, &mut outputs);
        outputs
    }

    /// Gives up the calls that `is_given_up` picks.
    pub fn cancel(&mut self, now_us: u64, is_given_up: impl Fn(&Job) -> bool) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.waiting.retain(|job| !is_given_up(job));
        self.running.retain(|running| {
            let keep = !is_given_up(&running.job);
            if !keep {
                outputs.push(spent(now_us, running));
            }
            keep
        });
        self.fill_slots(now_us, &mut outputs);
        outputs
    }

    /// Goes on with a job.
    pub fn step(&mut self, now_us: u64, key: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        let Some(index) = self
            .running
            .iter()
            .position(|running| running.job.key == key)
        else {
            return outputs;
        };
        if self.running[index].next_token < self.running[index].end_token {
            let token_us = self.token_us();
            let running = &mut self.running[index];
            outputs.push(token(running));
            running.next_token += 1;
            if running.next_token < running.end_token {
                let at_us = now_us + token_us;
                outputs.push(Output::StepAt { at_us, key });
                return outputs;
            }
        }
        let running = self.running.swap_remove(index);
        outputs.push(spent(now_us, &running));
        outputs.push(done(now_us, &running));
        self.fill_slots(now_us, &mut outputs);
        outputs
    }

    /// Reports its load.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            server: self.spec.backend.name.clone(),
            state: ServingState::Serving,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: self.spec.backend.slots,
            age_ms: 0,
            models: Vec::new(),
        }
    }

    fn fill_slots(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        while self.running.len() < self.spec.backend.slots as usize {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            self.begin(now_us, job, outputs);
        }
    }

    fn begin(&mut self, now_us: u64, job: Job, outputs: &mut Vec<Output>) {
        let mut rng = Pcg64Mcg::seed_from_u64(job.seed);
        let (first_us, end_token) = match self.spec.work {
            Work::Plain { median_us, sigma } => {
                let factor = (normal(&mut rng) * sigma).exp();
                (median_us as f64 * factor, 0)
            }
            Work::Engine {
                prefill_us,
                cached_prefill_us,
                token_us,
                min_tokens,
                max_tokens,
                cache_entries,
            } => {
                let end_token = rng.random_range(min_tokens..=max_tokens);
                let is_cached = self.touch_cache(job.prefix, cache_entries, outputs);
                let prefill_us = if is_cached {
                    cached_prefill_us
                } else {
                    prefill_us
                };
                ((prefill_us + token_us) as f64, end_token)
            }
        };
        let at_us = now_us + (first_us * self.slowness) as u64;
        outputs.push(Output::StepAt {
            at_us,
            key: job.key,
        });
        self.running.push(Running {
            started_us: now_us,
            next_token: job.resume_from,
            end_token: end_token.max(job.resume_from),
            job,
        });
    }

    fn touch_cache(
        &mut self,
        prefix: Option<u64>,
        entries: usize,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(prefix) = prefix else {
            return false;
        };
        let was_cached = self.cache.contains(&prefix);
        self.cache.retain(|cached| *cached != prefix);
        self.cache.push_back(prefix);
        if !was_cached {
            let cached = true;
            outputs.push(Output::Cache { prefix, cached });
        }
        if self.cache.len() > entries
            && let Some(prefix) = self.cache.pop_front()
        {
            let cached = false;
            outputs.push(Output::Cache { prefix, cached });
        }
        was_cached
    }

    fn token_us(&self) -> u64 {
        match self.spec.work {
            Work::Plain { .. } => 0,
            Work::Engine { token_us, .. } => (token_us as f64 * self.slowness) as u64,
        }
    }
}

fn spent(now_us: u64, running: &Running) -> Output {
    Output::Spent {
        request: running.job.request,
        attempt: running.job.id.attempt,
        busy_us: now_us - running.started_us,
    }
}

fn token(running: &Running) -> Output {
    Output::Answer {
        instance: running.job.instance,
        request: running.job.request,
        event: StageEvent::Token {
            id: running.job.id.clone(),
            index: running.next_token,
            text: "t".into(),
        },
    }
}

fn done(now_us: u64, running: &Running) -> Output {
    Output::Answer {
        instance: running.job.instance,
        request: running.job.request,
        event: StageEvent::Done {
            id: running.job.id.clone(),
            output: Value::Null,
            tokens: running.end_token,
            busy_us: now_us - running.started_us,
        },
    }
}

/// Draws from the standard normal distribution (Box and Muller).
fn normal(rng: &mut Pcg64Mcg) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
