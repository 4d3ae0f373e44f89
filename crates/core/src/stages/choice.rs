//! Selects the instance that schedules the pieces of this one.
//!
//! Every instance uses the first reachable entry of the same list. The list is ordered
//! by a hash of the instance names, which restarts do not change, so instances that
//! know the same names agree. Two schedulers that share the servers for a while send
//! smaller calls and find queues full, which does no lasting harm.
//!
//! Many schedulers do: after a power loss, hundreds of instances restart within the
//! same second while their callers wait. An instance that schedules for itself until it
//! finds the selected one keeps servers busy for as long as its requests last; with 295
//! instances that took six seconds. A starting instance therefore uses no scheduler
//! before one has responded, and gives candidates further ahead in the list time to
//! start.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::InstanceName;

/// Initial time for which an unreachable candidate is not probed, in ms: one probe
/// interval. With 4 s, instances that were restarted together scheduled side by side
/// and each call took twice as long.
const INITIAL_PAUSE_MS: u64 = 250;
/// Time after the first failure during which candidates are probed in every round, in
/// ms. Where all instances start at once, the missing ones will be up soon; until then
/// up to 31 instances scheduled side by side.
const STARTING_MS: u64 = 3_000;
/// Time for which an unreachable candidate is not probed during that phase, in ms: less
/// than the time between two rounds.
const STARTING_PAUSE_MS: u64 = 100;
/// Time from the first round during which candidates ahead of the responding one may
/// still start, in ms: instances that are restarted together are up within 300 ms of
/// each other.
const DISCOVERY_MS: u64 = 500;
/// Candidates probed in parallel while none has responded. Permanently removed
/// instances stay listed and do not respond.
const MAX_PARALLEL_PROBES: usize = 3;
/// Time between two probes of the successor, in ms. All instances then agree on it at
/// once when the scheduler leaves or is lost.
const SUCCESSOR_PROBE_INTERVAL_MS: u64 = 1_000;
/// Maximum number of doublings of the pause of an unreachable candidate.
const MAX_PAUSE_DOUBLINGS: u32 = 2;
/// Consecutive probes without response after which a candidate counts as unreachable.
const MAX_MISSES: u32 = 2;
/// Share of the strongest candidate's cores from which a candidate belongs to the class
/// that is listed first.
const STRONG_CORES_SHARE: f64 = 0.5;

/// An instance that can be the scheduler, as listed in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: InstanceName,
    /// CPU cores available to it; may be a fraction.
    pub cores: f64,
}

/// What is known about a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateState {
    /// It has not responded yet; holds the number of missed probes.
    Unknown(u32),
    /// It responds.
    Responding,
    /// It has responded before; holds the number of probes missed since.
    Missed(u32),
    /// It counts as unreachable and is skipped.
    Unreachable {
        /// Consecutive failures.
        failures: u32,
        /// Time of the next probe, in ms.
        probe_at_ms: u64,
    },
    /// It declines to schedule for others.
    Declining {
        /// Time of the next probe, in ms.
        probe_at_ms: u64,
    },
}

/// Selects the scheduler among the candidates.
#[derive(Debug, Default)]
pub struct SchedulerSelector {
    candidates: Vec<(Candidate, CandidateState)>,
    /// Time of the first failure of any candidate, in ms.
    first_failure_ms: Option<u64>,
    /// Time of the first probe round, in ms.
    first_round_ms: Option<u64>,
    /// Time of the last round that included the successor, in ms.
    last_successor_probe_ms: Option<u64>,
    /// Whether this round includes the successor.
    probes_successor: bool,
}

impl Default for CandidateState {
    fn default() -> Self {
        Self::Unknown(0)
    }
}

impl SchedulerSelector {
    /// Replaces the list of candidates, keeping the state of those that remain.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        let strongest = candidates.iter().fold(0.0, |max_cores: f64, candidate| {
            max_cores.max(candidate.cores)
        });
        let previous = std::mem::take(&mut self.candidates).into_iter();
        let mut previous: HashMap<InstanceName, CandidateState> = previous
            .map(|(candidate, state)| (candidate.instance, state))
            .collect();
        let mut listed: Vec<(Candidate, CandidateState)> = candidates
            .into_iter()
            .map(|candidate| {
                let state = previous.remove(&candidate.instance).unwrap_or_default();
                (candidate, state)
            })
            .collect();
        listed.sort_by_key(|(candidate, _)| {
            let is_weak = candidate.cores < strongest * STRONG_CORES_SHARE;
            (is_weak, xxh3_64(candidate.instance.as_str().as_bytes()))
        });
        self.candidates = listed;
    }

    /// Returns the scheduler to use by what is known: the first candidate that is
    /// neither unreachable nor declining.
    pub fn current(&self) -> Option<&InstanceName> {
        let (candidate, _) = &self.candidates[self.first_reachable()?];
        Some(&candidate.instance)
    }

    /// Returns the selected scheduler: the first candidate that has responded, once
    /// those ahead of it have had time to start.
    pub fn settled(&self, now_ms: u64) -> Option<&InstanceName> {
        let has_answered = |state: &CandidateState| {
            matches!(
                state,
                CandidateState::Responding | CandidateState::Missed(_)
            )
        };
        let mut candidates = self.candidates.iter();
        let first = candidates.position(|(_, state)| has_answered(state))?;
        let mut candidates_ahead = self.candidates[..first].iter();
        let may_come_up = candidates_ahead.any(|(_, state)| {
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

    /// Returns whether this instance started probing less than `DISCOVERY_MS` ago.
    fn is_discovering(&self, now_ms: u64) -> bool {
        self.first_round_ms
            .is_none_or(|first_ms| now_ms < first_ms + DISCOVERY_MS)
    }

    /// Starts a probe round. Rounds count from the first one with candidates.
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

    /// Returns the candidates to probe: the current one, those ahead of it that are
    /// due, and further ones while none has responded.
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

    /// Returns whether an instance counts as unreachable.
    pub fn is_unreachable(&self, instance: &InstanceName) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|(candidate, state)| {
            candidate.instance == *instance && matches!(state, CandidateState::Unreachable { .. })
        })
    }

    /// Handles the response of an instance that schedules for others.
    pub fn on_response(&mut self, instance: &InstanceName) {
        self.set(instance, |_| CandidateState::Responding);
    }

    /// Handles the response of an instance that does not schedule for others now.
    pub fn on_declined(&mut self, now_ms: u64, instance: &InstanceName) {
        let probe_at_ms = now_ms + INITIAL_PAUSE_MS;
        self.set(instance, |_| CandidateState::Declining { probe_at_ms });
    }

    /// Handles a probe without response.
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

    /// Handles a failed connection to an instance.
    pub fn on_unreachable(&mut self, now_ms: u64, instance: &InstanceName) {
        let is_starting = self.is_starting(now_ms);
        self.set(instance, |state| after_failure(now_ms, state, is_starting));
    }

    /// Returns whether the first failure was less than `STARTING_MS` ago.
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
        if let Some((_, state)) = candidates.find(|(candidate, _)| candidate.instance == *instance)
        {
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
