//! Chooses the instance that schedules the pieces of this one.
//!
//! Every instance goes through the same list and takes the first one that it
//! reaches. The list is ordered by a hash of the names, which restarts do not
//! change, so that all agree as soon as they know the same names. Two schedulers
//! that share the servers for a while send smaller calls and meet full queues, which
//! is no harm where it is two of them.
//!
//! The load that it answers beside that: hundreds of instances come back within the
//! same second after a loss of power, with their callers waiting. Each that schedules
//! for itself until it has found the first one takes servers from all others for as
//! long as its requests last; with 295 instances that was six seconds. So one that
//! has only just begun to look takes nobody before that one has answered, and gives
//! those before it the time to start.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::InstanceName;

/// Time for which an instance that was not reached is passed over, in ms: one
/// look. After all were restarted at once, those that waited 4 s before they
/// asked again scheduled beside the others, and each call took twice its time.
const INITIAL_PAUSE_MS: u64 = 250;
/// Time after the first failure in which instances are asked again at each look, in
/// ms: where all start at once, those that are not up yet will be soon, and until
/// then up to 31 instances scheduled beside each other.
const STARTING_MS: u64 = 3_000;
/// Time for which an instance is passed over in that time, in ms: less than the
/// time between two looks.
const STARTING_PAUSE_MS: u64 = 100;
/// Time from the first look in which those before the one that is reached may still
/// come up, in ms: instances that start together are up within 300 ms of each other.
const DISCOVERY_MS: u64 = 500;
/// Instances that are asked at the same time while none has answered: those that were
/// taken away for good stay listed and do not answer.
const MAX_PARALLEL_PROBES: usize = 3;
/// Time between two questions to the next one behind the one that schedules, in ms: all
/// agree on it at once when that one leaves or is lost.
const SUCCESSOR_PROBE_INTERVAL_MS: u64 = 1_000;
/// Doublings of that time while it stays away.
const MAX_PAUSE_DOUBLINGS: u32 = 2;
/// Questions without an answer after which an instance counts as not reached.
const MAX_MISSES: u32 = 2;
/// Classes of processors: instances with half of the strongest one's share or
/// more come first.
const STRONG_CORES_SHARE: f64 = 0.5;

/// An instance that can schedule, as the store lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub instance: InstanceName,
    /// Part of a core that it has.
    pub cores: f64,
}

/// How far an instance is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateState {
    /// It has not answered yet, and left this many questions unanswered.
    Unknown(u32),
    /// It answers.
    Responding,
    /// It left this many questions unanswered.
    Missed(u32),
    /// It is passed over.
    Unreachable {
        /// Failures in a row.
        failures: u32,
        /// Time of the next question, in ms.
        probe_at_ms: u64,
    },
    /// It says that it does not schedule for others.
    Declining {
        /// Time of the next question, in ms.
        probe_at_ms: u64,
    },
}

/// The list of candidates, and who is reached.
#[derive(Debug, Default)]
pub struct SchedulerSelector {
    candidates: Vec<(Candidate, CandidateState)>,
    /// Time of the first failure of any of them, in ms.
    first_failure_ms: Option<u64>,
    /// Time of the first look, in ms.
    first_round_ms: Option<u64>,
    /// Time of the last look at which the successor was asked too, in ms.
    last_successor_probe_ms: Option<u64>,
    /// Whether the successor is asked at this look.
    probes_successor: bool,
}

impl Default for CandidateState {
    fn default() -> Self {
        Self::Unknown(0)
    }
}

impl SchedulerSelector {
    /// Takes over the list of instances; what is known of those that stay is
    /// kept.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        let strongest = candidates
            .iter()
            .fold(0.0, |most: f64, c| most.max(c.cores));
        let mut earlier = std::mem::take(&mut self.candidates);
        let mut known = |candidate: &Candidate| {
            let same = |(old, _): &(Candidate, CandidateState)| old.instance == candidate.instance;
            let index = earlier.iter().position(same)?;
            Some(earlier.swap_remove(index).1)
        };
        let mut listed: Vec<(Candidate, CandidateState)> = candidates
            .into_iter()
            .map(|candidate| {
                let state = known(&candidate).unwrap_or_default();
                (candidate, state)
            })
            .collect();
        listed.sort_by_key(|(candidate, _)| {
            let is_weak = candidate.cores < strongest * STRONG_CORES_SHARE;
            (is_weak, xxh3_64(candidate.instance.as_str().as_bytes()))
        });
        self.candidates = listed;
    }

    /// Returns the instance to schedule at as far as is known: the first that is
    /// not known to be away.
    pub fn current(&self) -> Option<&InstanceName> {
        let (candidate, _) = &self.candidates[self.first_reachable()?];
        Some(&candidate.instance)
    }

    /// Returns the instance that schedules: the first that has answered, once those
    /// before it have had the time to start.
    pub fn settled(&self, now_ms: u64) -> Option<&InstanceName> {
        let has_answered = |state: &CandidateState| {
            matches!(
                state,
                CandidateState::Responding | CandidateState::Missed(_)
            )
        };
        let mut candidates = self.candidates.iter();
        let first = candidates.position(|(_, state)| has_answered(state))?;
        let mut earlier = self.candidates[..first].iter();
        let may_come_up = earlier.any(|(_, state)| {
            matches!(
                state,
                CandidateState::Unknown(_) | CandidateState::Unreachable { .. }
            )
        });
        let is_settled = !may_come_up || !self.is_discovering(now_ms);
        is_settled.then_some(&self.candidates[first].0.instance)
    }

    fn first_reachable(&self) -> Option<usize> {
        self.candidates.iter().position(|(_, state)| {
            !matches!(
                state,
                CandidateState::Unreachable { .. } | CandidateState::Declining { .. }
            )
        })
    }

    /// Tells whether this instance has only just begun to look.
    fn is_discovering(&self, now_ms: u64) -> bool {
        self.first_round_ms
            .is_none_or(|first_ms| now_ms < first_ms + DISCOVERY_MS)
    }

    /// Notes a look for the one that schedules; the first counts once there are
    /// candidates.
    pub fn on_probe_round(&mut self, now_ms: u64) {
        if !self.candidates.is_empty() {
            self.first_round_ms.get_or_insert(now_ms);
        }
        let last_ms = self.last_successor_probe_ms;
        self.probes_successor =
            last_ms.is_none_or(|last_ms| now_ms >= last_ms + SUCCESSOR_PROBE_INTERVAL_MS);
        if self.probes_successor {
            self.last_successor_probe_ms = Some(now_ms);
        }
    }

    /// Returns the instances to ask whether they are there: the current one, those
    /// before it whose time has come, and the next ones while none has answered.
    pub fn probe_targets(&self, now_ms: u64) -> Vec<InstanceName> {
        let mut targets = Vec::new();
        let mut unknown_count = 0;
        let mut has_current = false;
        for (candidate, state) in &self.candidates {
            let is_due = match state {
                CandidateState::Responding | CandidateState::Missed(_) => true,
                CandidateState::Unknown(_) => {
                    unknown_count += 1;
                    unknown_count <= MAX_PARALLEL_PROBES || has_current
                }
                CandidateState::Unreachable { probe_at_ms, .. }
                | CandidateState::Declining { probe_at_ms } => *probe_at_ms <= now_ms,
            };
            if !is_due {
                continue;
            }
            targets.push(candidate.instance.clone());
            if has_current {
                break;
            }
            if matches!(
                state,
                CandidateState::Responding | CandidateState::Missed(_)
            ) {
                if !self.probes_successor {
                    break;
                }
                has_current = true;
            }
        }
        targets
    }

    /// Tells whether an instance is not reached.
    pub fn is_unreachable(&self, instance: &InstanceName) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|(c, state)| {
            c.instance == *instance && matches!(state, CandidateState::Unreachable { .. })
        })
    }

    /// Notes that an instance answered that it schedules for others.
    pub fn on_response(&mut self, instance: &InstanceName) {
        self.set(instance, |_| CandidateState::Responding);
    }

    /// Notes that an instance does not schedule for others now.
    pub fn on_declined(&mut self, now_ms: u64, instance: &InstanceName) {
        let probe_at_ms = now_ms + INITIAL_PAUSE_MS;
        self.set(instance, |_| CandidateState::Declining { probe_at_ms });
    }

    /// Notes that an instance left a question unanswered.
    pub fn on_no_response(&mut self, now_ms: u64, instance: &InstanceName) {
        let is_starting = self.is_starting(now_ms);
        self.set(instance, |state| match state {
            CandidateState::Unknown(misses) if misses + 1 < MAX_MISSES => {
                CandidateState::Unknown(misses + 1)
            }
            CandidateState::Responding => CandidateState::Missed(1),
            CandidateState::Missed(misses) if misses + 1 < MAX_MISSES => {
                CandidateState::Missed(misses + 1)
            }
            other => after_failure(now_ms, other, is_starting),
        });
    }

    /// Notes that an instance could not be reached at all.
    pub fn on_unreachable(&mut self, now_ms: u64, instance: &InstanceName) {
        let is_starting = self.is_starting(now_ms);
        self.set(instance, |state| after_failure(now_ms, state, is_starting));
    }

    /// Tells whether this instance has only just begun to look for one.
    fn is_starting(&mut self, now_ms: u64) -> bool {
        let first_failure_ms = *self.first_failure_ms.get_or_insert(now_ms);
        now_ms < first_failure_ms + STARTING_MS
    }

    fn set(
        &mut self,
        instance: &InstanceName,
        change: impl FnOnce(CandidateState) -> CandidateState,
    ) {
        let mut candidates = self.candidates.iter_mut();
        if let Some((_, state)) = candidates.find(|(c, _)| c.instance == *instance) {
            *state = change(*state);
        }
    }
}

fn after_failure(now_ms: u64, state: CandidateState, is_starting: bool) -> CandidateState {
    let failures = match state {
        CandidateState::Unreachable { failures, .. } if !is_starting => failures + 1,
        _ => 0,
    };
    let pause_ms = match is_starting {
        true => STARTING_PAUSE_MS,
        false => INITIAL_PAUSE_MS << failures.min(MAX_PAUSE_DOUBLINGS),
    };
    CandidateState::Unreachable {
        failures,
        probe_at_ms: now_ms + pause_ms,
    }
}
