//! Claims of one instance: appends claims, decides attempts from the claim index
//! and permits each non-idempotent call at most once.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

pub use crate::claim_decision::{
    Attempt, AttemptDecision, ClaimReason, ClaimRequest, Decision, Ending, FirstRun, Permit,
    StartedAttempt,
};
use crate::{
    claim::{Batch, ClaimId, Completion, Entry, KeyHash},
    claim_batcher::{AppendResult, BatchLimits, ClaimBatcher},
    claim_index::{ClaimIndex, ClaimRecord, ClaimStatus, IndexLimits, KeyStatus},
    ids::{Incarnation, InstanceName},
    outcome::Outcome,
    progress::{CallKind, Progress, Retraction},
};

/// Bounds of a [`Claimant`].
#[derive(Clone, Copy, Debug)]
pub struct ClaimLimits {
    /// Limits of the claim index.
    pub index: IndexLimits,
    /// Limits of the batcher.
    pub batch: BatchLimits,
    /// Maximum number of abandoned claims that are tracked.
    pub max_abandoned: usize,
}

/// A claim that holds its key.
#[derive(Clone, Copy, Debug)]
struct WonClaim {
    id: ClaimId,
    claimed_at_ms: u64,
    no_prior_calls: bool,
    progress: Progress,
}

impl WonClaim {
    /// Returns the outcome of a run that sent no non-idempotent call. A claim that
    /// is too old may have lost its key, so another attempt may have run since.
    fn unsent_outcome(&self, is_too_old: bool) -> Outcome {
        if self.progress.ran() {
            Outcome::Failed
        } else if self.no_prior_calls && !is_too_old {
            Outcome::NotRun
        } else {
            Outcome::NotStarted
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Pending { id: ClaimId, claimed_at_ms: u64 },
    Joined { holder: ClaimId },
    Won(WonClaim),
}

#[derive(Debug)]
struct AttemptState {
    request: ClaimRequest,
    phase: Phase,
}

/// State machine for the claims of one instance.
///
/// A claim that is abandoned before it was read back may still win its key. No
/// calls are sent under it, and it is released once it is seen to hold the key,
/// so it blocks retries of the caller only for the delay of the log.
#[derive(Debug)]
pub struct Claimant {
    instance: InstanceName,
    incarnation: Incarnation,
    limits: ClaimLimits,
    index: ClaimIndex,
    batcher: ClaimBatcher,
    attempts: BTreeMap<Attempt, AttemptState>,
    abandoned: HashMap<ClaimId, KeyHash>,
    abandoned_evictions: VecDeque<(u64, ClaimId)>,
    last_number: u64,
}

impl Claimant {
    /// Creates the claimant of one incarnation of an instance.
    pub fn new(instance: InstanceName, incarnation: Incarnation, limits: ClaimLimits) -> Self {
        Self {
            instance,
            incarnation,
            limits,
            index: ClaimIndex::new(limits.index),
            batcher: ClaimBatcher::new(limits.batch),
            attempts: BTreeMap::new(),
            abandoned: HashMap::new(),
            abandoned_evictions: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Returns the incarnation that makes the claims.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the claim index.
    pub fn index(&self) -> &ClaimIndex {
        &self.index
    }

    /// Returns the batcher.
    pub fn batcher(&self) -> &ClaimBatcher {
        &self.batcher
    }

    /// Sets the minimum time between two appends, in ms.
    pub fn set_interval_ms(&mut self, interval_ms: u64) {
        self.batcher.set_interval_ms(interval_ms);
    }

    /// Starts an attempt, with a decision if the index already allows one.
    pub fn begin(&mut self, now_ms: u64, request: ClaimRequest) -> StartedAttempt {
        let attempt = Attempt(self.allocate_number());
        let decision = match self.look_up(&request) {
            Some(decision) => Some(decision),
            None => self.submit_claim(now_ms, attempt, request),
        };
        if let Some(Decision::Join(first)) = &decision {
            let phase = Phase::Joined { holder: first.id };
            self.attempts
                .insert(attempt, AttemptState { request, phase });
        }
        StartedAttempt { attempt, decision }
    }

    /// Returns the decision that follows from the holder of the key, if any.
    fn look_up(&self, request: &ClaimRequest) -> Option<Decision> {
        match self.index.key_status(&request.key) {
            KeyStatus::Free => None,
            KeyStatus::Claimed(holder) | KeyStatus::Done(holder, _)
                if holder.fingerprint != request.fingerprint =>
            {
                Some(Decision::Misuse)
            }
            KeyStatus::Claimed(holder) => Some(Decision::Join(FirstRun::of(holder))),
            // The holder's instance may still have the response body that was too
            // large for the log.
            KeyStatus::Done(holder, completion) if completion.is_answer_omitted() => {
                Some(Decision::Join(FirstRun::of(holder)))
            }
            KeyStatus::Done(_, completion) => Some(Decision::Recorded(completion.clone())),
        }
    }

    /// Queues a claim for the key, or ends the attempt if that is not possible.
    fn submit_claim(
        &mut self,
        now_ms: u64,
        attempt: Attempt,
        request: ClaimRequest,
    ) -> Option<Decision> {
        if let Some(reason) = self.claim_obstacle(now_ms, &request) {
            self.attempts.remove(&attempt);
            return Some(Decision::Ended(Ending {
                outcome: Outcome::NotStarted,
                reason,
            }));
        }
        let id = ClaimId {
            incarnation: self.incarnation,
            seq: self.allocate_number(),
        };
        self.batcher.push(Entry::Claim {
            key: request.key,
            id,
            fingerprint: request.fingerprint,
            instance: self.instance.clone(),
        });
        let phase = Phase::Pending {
            id,
            claimed_at_ms: now_ms,
        };
        self.attempts
            .insert(attempt, AttemptState { request, phase });
        None
    }

    fn claim_obstacle(&self, now_ms: u64, request: &ClaimRequest) -> Option<ClaimReason> {
        if now_ms >= request.deadline_ms {
            Some(ClaimReason::Deadline)
        } else if !self.index.is_complete() {
            Some(ClaimReason::IndexIncomplete)
        } else if self.batcher.is_log_unavailable() {
            Some(ClaimReason::LogUnavailable)
        } else if !self.batcher.has_capacity() {
            Some(ClaimReason::Busy)
        } else {
            None
        }
    }

    fn allocate_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the time of the next append or deadline, in ms.
    pub fn due_at_ms(&self) -> Option<u64> {
        let undecided = |state: &&AttemptState| !matches!(state.phase, Phase::Won(_));
        let undecided_attempts = self.attempts.values().filter(undecided);
        let earliest_deadline_ms = undecided_attempts
            .map(|state| state.request.deadline_ms)
            .min();
        earliest_deadline_ms
            .into_iter()
            .chain(self.batcher.due_at_ms())
            .min()
    }

    /// Returns the batch to append now, if one is due.
    pub fn poll_append(&mut self, now_ms: u64) -> Option<&Batch> {
        self.batcher.poll(now_ms)
    }

    /// Handles the result of the append in flight. No attempt is decided by it.
    pub fn on_append_result(&mut self, result: AppendResult) {
        let pending_claims: HashSet<ClaimId> = self
            .attempts
            .values()
            .filter_map(|state| match state.phase {
                Phase::Pending { id, .. } => Some(id),
                Phase::Joined { .. } | Phase::Won(_) => None,
            })
            .collect();
        self.batcher.on_result(result, |entry| match entry {
            Entry::Claim { id, .. } => pending_claims.contains(id),
            Entry::Release { .. } | Entry::Done { .. } => true,
        });
    }

    /// Applies a record that was read from the log and returns the decisions that
    /// follow from it.
    pub fn on_record(&mut self, now_ms: u64, record: &ClaimRecord<'_>) -> Vec<AttemptDecision> {
        self.batcher.on_record(now_ms);
        let keys: HashSet<KeyHash> = self.index.apply(record).into_iter().collect();
        if !self.index.is_complete() {
            return self.end_undecided(now_ms);
        }
        self.release_abandoned(record);
        let affected: Vec<Attempt> = self
            .attempts
            .iter()
            .filter(|(_, state)| keys.contains(&state.request.key))
            .map(|(attempt, _)| *attempt)
            .collect();
        affected
            .into_iter()
            .filter_map(|attempt| self.decide(now_ms, attempt))
            .collect()
    }

    /// Ends the undecided attempts, which depend on missing records.
    fn end_undecided(&mut self, now_ms: u64) -> Vec<AttemptDecision> {
        let undecided: Vec<Attempt> = self
            .attempts
            .iter()
            .filter(|(_, state)| !matches!(state.phase, Phase::Won(_)))
            .map(|(attempt, _)| *attempt)
            .collect();
        undecided
            .into_iter()
            .filter_map(|attempt| self.end_waiting(now_ms, attempt, ClaimReason::IndexIncomplete))
            .collect()
    }

    /// Releases abandoned claims of this instance that hold their key.
    fn release_abandoned(&mut self, record: &ClaimRecord<'_>) {
        let entries = record.batch.map_or(&[][..], |batch| &batch.entries);
        for entry in entries {
            let (key, id) = (entry.key(), entry.id());
            let is_abandoned = self.abandoned.contains_key(&id);
            if is_abandoned && matches!(self.index.claim_status(&key, id), ClaimStatus::Won { .. })
            {
                let ran = false;
                self.batcher.push(Entry::Release { key, id, ran });
            }
        }
    }

    /// Decides one attempt from the current state of the index.
    fn decide(&mut self, now_ms: u64, attempt: Attempt) -> Option<AttemptDecision> {
        let state = self.attempts.get(&attempt)?;
        let request = state.request;
        let decision = match state.phase {
            Phase::Won(_) => None,
            Phase::Pending { id, claimed_at_ms } => match self.index.claim_status(&request.key, id)
            {
                ClaimStatus::Won { no_prior_calls } => {
                    return self.accept_claim(now_ms, attempt, id, claimed_at_ms, no_prior_calls);
                }
                ClaimStatus::Undecidable => {
                    return self.end_waiting(now_ms, attempt, ClaimReason::IndexIncomplete);
                }
                ClaimStatus::NotHeld => {
                    let winner_decision = self.look_up(&request);
                    if winner_decision.is_some() {
                        self.withdraw(now_ms, id, request.key);
                    }
                    winner_decision
                }
            },
            Phase::Joined { holder } => match self.look_up(&request) {
                None => self.submit_claim(now_ms, attempt, request),
                Some(Decision::Join(first)) if first.id == holder => None,
                changed => changed,
            },
        }?;
        self.update_phase(attempt, &decision);
        Some(AttemptDecision { attempt, decision })
    }

    fn accept_claim(
        &mut self,
        now_ms: u64,
        attempt: Attempt,
        id: ClaimId,
        claimed_at_ms: u64,
        no_prior_calls: bool,
    ) -> Option<AttemptDecision> {
        let claim = WonClaim {
            id,
            claimed_at_ms,
            no_prior_calls,
            progress: Progress::default(),
        };
        let state = self.attempts.get_mut(&attempt)?;
        state.phase = Phase::Won(claim);
        let decision = match self.check_time(now_ms, attempt, &claim) {
            Some(reason) => Decision::Ended(self.give_up(now_ms, attempt, reason)?),
            None => Decision::Won,
        };
        Some(AttemptDecision { attempt, decision })
    }

    /// Updates the phase of an attempt. All decisions other than
    /// [`Decision::Join`] and [`Decision::Won`] remove it.
    fn update_phase(&mut self, attempt: Attempt, decision: &Decision) {
        match decision {
            Decision::Join(first) => {
                if let Some(state) = self.attempts.get_mut(&attempt) {
                    state.phase = Phase::Joined { holder: first.id };
                }
            }
            Decision::Won => {}
            Decision::Recorded(_) | Decision::Misuse | Decision::Ended(_) => {
                self.attempts.remove(&attempt);
            }
        }
    }

    /// Removes a claim from the queue, or marks it as abandoned if it may be in
    /// the log.
    fn withdraw(&mut self, now_ms: u64, id: ClaimId, key: KeyHash) {
        if !self.batcher.withdraw(id) {
            self.abandon(now_ms, id, key);
        }
    }

    fn abandon(&mut self, now_ms: u64, id: ClaimId, key: KeyHash) {
        let evict_at_ms = now_ms + 2 * self.index.window_ms();
        if self.abandoned.insert(id, key).is_none() {
            self.abandoned_evictions.push_back((evict_at_ms, id));
        }
    }

    /// Ends the attempts whose deadline has passed.
    pub fn on_tick(&mut self, now_ms: u64) -> Vec<AttemptDecision> {
        self.evict_abandoned(now_ms);
        let expired: Vec<Attempt> = self
            .attempts
            .iter()
            .filter(|(_, state)| now_ms >= state.request.deadline_ms)
            .map(|(attempt, _)| *attempt)
            .collect();
        expired
            .into_iter()
            .filter_map(|attempt| self.end_waiting(now_ms, attempt, ClaimReason::Deadline))
            .collect()
    }

    fn evict_abandoned(&mut self, now_ms: u64) {
        while let Some(&(evict_at_ms, id)) = self.abandoned_evictions.front()
            && (evict_at_ms <= now_ms || self.abandoned.len() > self.limits.max_abandoned)
        {
            self.abandoned_evictions.pop_front();
            self.abandoned.remove(&id);
        }
    }

    /// Ends an attempt that does not hold its key.
    fn end_waiting(
        &mut self,
        now_ms: u64,
        attempt: Attempt,
        reason: ClaimReason,
    ) -> Option<AttemptDecision> {
        let state = self.attempts.get(&attempt)?;
        if matches!(state.phase, Phase::Won(_)) {
            return None;
        }
        let decision = Decision::Ended(self.give_up(now_ms, attempt, reason)?);
        Some(AttemptDecision { attempt, decision })
    }

    /// Ends an attempt that waits for an unreachable holder. The result of the
    /// first run is unknown unless the log has it.
    pub fn on_holder_unreachable(&mut self, now_ms: u64, attempt: Attempt) -> Option<Decision> {
        if let Some(recorded) = self.recorded(attempt) {
            return Some(recorded);
        }
        let state = self.attempts.get(&attempt)?;
        if !matches!(state.phase, Phase::Joined { .. }) {
            return None;
        }
        let ending = self.give_up(now_ms, attempt, ClaimReason::HolderUnreachable)?;
        Some(Decision::Ended(ending))
    }

    /// Ends an attempt that waits for the first run if the log has the result of
    /// that run.
    pub fn recorded(&mut self, attempt: Attempt) -> Option<Decision> {
        let state = self.attempts.get(&attempt)?;
        let Phase::Joined { .. } = state.phase else {
            return None;
        };
        let KeyStatus::Done(_, completion) = self.index.key_status(&state.request.key) else {
            return None;
        };
        let completion = completion.clone();
        self.attempts.remove(&attempt);
        Some(Decision::Recorded(completion))
    }

    /// Returns whether a call of the stage with index `stage` may be written to a
    /// socket now. It must be called directly before the write. A permitted call
    /// counts as sent, and a non-idempotent call is permitted once.
    pub fn permit(&mut self, now_ms: u64, attempt: Attempt, stage: u32, kind: CallKind) -> Permit {
        let Some(Phase::Won(mut claim)) = self.attempts.get(&attempt).map(|state| state.phase)
        else {
            return Permit::Refused(ClaimReason::NotHolder);
        };
        if let Some(reason) = self.check_time(now_ms, attempt, &claim) {
            return Permit::Refused(reason);
        }
        if !claim.progress.send(stage, kind) {
            return Permit::Refused(ClaimReason::AlreadySent);
        }
        self.set_claim(attempt, claim);
        Permit::Send
    }

    fn check_time(&self, now_ms: u64, attempt: Attempt, claim: &WonClaim) -> Option<ClaimReason> {
        let state = self.attempts.get(&attempt)?;
        if self.is_too_old(now_ms, claim) {
            Some(ClaimReason::ClaimTooOld)
        } else if now_ms >= state.request.deadline_ms {
            Some(ClaimReason::Deadline)
        } else {
            None
        }
    }

    fn is_too_old(&self, now_ms: u64, claim: &WonClaim) -> bool {
        now_ms.saturating_sub(claim.claimed_at_ms) >= self.index.window_ms() / 2
    }

    /// Revokes the last permit, whose call certainly has not run.
    pub fn retract(&mut self, attempt: Attempt, cause: Retraction) {
        if let Some(Phase::Won(mut claim)) = self.attempts.get(&attempt).map(|state| state.phase) {
            claim.progress.retract(cause);
            self.set_claim(attempt, claim);
        }
    }

    fn set_claim(&mut self, attempt: Attempt, claim: WonClaim) {
        if let Some(state) = self.attempts.get_mut(&attempt) {
            state.phase = Phase::Won(claim);
        }
    }

    /// Ends a run and returns the outcome to report to the caller. A run that may
    /// have taken effect is never reported as not run.
    pub fn finish(
        &mut self,
        now_ms: u64,
        attempt: Attempt,
        outcome: Outcome,
        answer: &[u8],
    ) -> Outcome {
        let Some(Phase::Won(claim)) = self.attempts.get(&attempt).map(|state| state.phase) else {
            return outcome;
        };
        if !claim.progress.may_have_run() && outcome != Outcome::Complete {
            let ending = self.give_up(now_ms, attempt, ClaimReason::NothingSent);
            return ending.map_or(outcome, |ending| ending.outcome);
        }
        let reported = claim.progress.reported_outcome(outcome);
        if let Some(state) = self.attempts.remove(&attempt) {
            self.batcher.push(Entry::Done {
                key: state.request.key,
                id: claim.id,
                completion: Completion::new(reported, answer),
            });
        }
        reported
    }

    /// Ends an attempt without a response, in any phase. Returns `None` if it has
    /// already ended.
    pub fn give_up(
        &mut self,
        now_ms: u64,
        attempt: Attempt,
        reason: ClaimReason,
    ) -> Option<Ending> {
        let state = self.attempts.remove(&attempt)?;
        let key = state.request.key;
        let outcome = match state.phase {
            Phase::Pending { id, .. } => {
                self.withdraw(now_ms, id, key);
                Outcome::NotStarted
            }
            Phase::Joined { .. } => Outcome::Unknown,
            Phase::Won(claim) if !claim.progress.may_have_run() => {
                self.release(key, &claim);
                let is_too_old = self.is_too_old(now_ms, &claim);
                claim.unsent_outcome(is_too_old)
            }
            Phase::Won(claim) => {
                self.batcher.push(Entry::Done {
                    key,
                    id: claim.id,
                    completion: Completion::new(Outcome::Unknown, &[]),
                });
                Outcome::Unknown
            }
        };
        Some(Ending { outcome, reason })
    }

    fn release(&mut self, key: KeyHash, claim: &WonClaim) {
        self.batcher.push(Entry::Release {
            key,
            id: claim.id,
            ran: claim.progress.ran(),
        });
    }
}
