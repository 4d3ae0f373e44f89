//! One instance's part in claiming keys: it asks, decides from the index, and
//! hands out each non-idempotent call at most once.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

pub use crate::claim_decision::{
    Attempt, Begun, ClaimReason, ClaimRequest, Decision, Ending, FirstRun, Permit, Step,
};
use crate::{
    claim::{Batch, ClaimId, Completion, Entry, KeyHash},
    claim_batcher::{AppendResult, BatchLimits, ClaimBatcher},
    claim_index::{ClaimIndex, ClaimRecord, IndexLimits, Standing, Verdict},
    ids::{Incarnation, InstanceName},
    outcome::Outcome,
    progress::{CallKind, Progress, Retraction},
};

/// Bounds of a [`Claimant`].
#[derive(Clone, Copy, Debug)]
pub struct ClaimLimits {
    /// Bounds of its index.
    pub index: IndexLimits,
    /// Bounds of its appends.
    pub batch: BatchLimits,
    /// Most claims remembered that were given up.
    pub max_abandoned: usize,
}

/// A claim that was won.
#[derive(Clone, Copy, Debug)]
struct Hold {
    id: ClaimId,
    asked_ms: u64,
    untouched: bool,
    progress: Progress,
}

impl Hold {
    /// A claim that is too old may hold its key no longer, so that another
    /// attempt may have run since.
    fn unsent_outcome(&self, is_too_old: bool) -> Outcome {
        if self.progress.ran() {
            Outcome::Failed
        } else if self.untouched && !is_too_old {
            Outcome::NotRun
        } else {
            Outcome::NotStarted
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Waiting { id: ClaimId, asked_ms: u64 },
    Watching { holder: ClaimId },
    Won(Hold),
}

#[derive(Debug)]
struct Request {
    ask: ClaimRequest,
    phase: Phase,
}

/// The claims of one instance.
///
/// A claim that is given up before it was read back may still win. It is
/// remembered, never sent on, and released when it is seen to hold its key, so
/// that it blocks the caller's repeats only for as long as the log is behind.
#[derive(Debug)]
pub struct Claimant {
    instance: InstanceName,
    incarnation: Incarnation,
    limits: ClaimLimits,
    index: ClaimIndex,
    batcher: ClaimBatcher,
    requests: BTreeMap<Attempt, Request>,
    abandoned: HashMap<ClaimId, KeyHash>,
    abandoned_order: VecDeque<(u64, ClaimId)>,
    next_number: u64,
}

impl Claimant {
    /// Creates the claimant of one run of an instance.
    pub fn new(instance: InstanceName, incarnation: Incarnation, limits: ClaimLimits) -> Self {
        Self {
            instance,
            incarnation,
            limits,
            index: ClaimIndex::new(limits.index),
            batcher: ClaimBatcher::new(limits.batch),
            requests: BTreeMap::new(),
            abandoned: HashMap::new(),
            abandoned_order: VecDeque::new(),
            next_number: 0,
        }
    }

    /// Returns the incarnation whose claims these are.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Borrows the index.
    pub fn index(&self) -> &ClaimIndex {
        &self.index
    }

    /// Borrows the batcher.
    pub fn batcher(&self) -> &ClaimBatcher {
        &self.batcher
    }

    /// Changes the shortest time between two appends, in ms.
    pub fn set_interval_ms(&mut self, interval_ms: u64) {
        self.batcher.set_interval_ms(interval_ms);
    }

    /// Begins an attempt; what is known already is decided at once.
    pub fn begin(&mut self, now_ms: u64, ask: ClaimRequest) -> Begun {
        let attempt = Attempt(self.take_number());
        let decision = match self.look_up(&ask) {
            Some(decision) => Some(decision),
            None => self.ask(now_ms, attempt, ask),
        };
        if let Some(Decision::Join(first)) = &decision {
            let phase = Phase::Watching { holder: first.id };
            self.requests.insert(attempt, Request { ask, phase });
        }
        Begun { attempt, decision }
    }

    /// Decides from what holds the key, if anything does.
    fn look_up(&self, ask: &ClaimRequest) -> Option<Decision> {
        match self.index.standing(&ask.key) {
            Standing::Free => None,
            Standing::Claimed(holder) | Standing::Done(holder, _)
                if holder.fingerprint != ask.fingerprint =>
            {
                Some(Decision::Misuse)
            }
            Standing::Claimed(holder) => Some(Decision::Join(FirstRun::of(holder))),
            // Its instance may still have what was too large for the log.
            Standing::Done(holder, completion) if completion.is_answer_missing() => {
                Some(Decision::Join(FirstRun::of(holder)))
            }
            Standing::Done(_, completion) => Some(Decision::Recorded(completion.clone())),
        }
    }

    /// Asks for the key with a claim of its own.
    fn ask(&mut self, now_ms: u64, attempt: Attempt, ask: ClaimRequest) -> Option<Decision> {
        if let Some(reason) = self.obstacle(now_ms, &ask) {
            self.requests.remove(&attempt);
            return Some(Decision::Ended(Ending {
                outcome: Outcome::NotStarted,
                reason,
            }));
        }
        let id = ClaimId {
            incarnation: self.incarnation,
            seq: self.take_number(),
        };
        self.batcher.push(Entry::Claim {
            key: ask.key,
            id,
            fingerprint: ask.fingerprint,
            instance: self.instance.clone(),
        });
        let phase = Phase::Waiting {
            id,
            asked_ms: now_ms,
        };
        self.requests.insert(attempt, Request { ask, phase });
        None
    }

    fn obstacle(&self, now_ms: u64, ask: &ClaimRequest) -> Option<ClaimReason> {
        if now_ms >= ask.deadline_ms {
            Some(ClaimReason::Deadline)
        } else if !self.index.is_complete() {
            Some(ClaimReason::IndexIncomplete)
        } else if self.batcher.is_log_away() {
            Some(ClaimReason::LogAway)
        } else if !self.batcher.has_room() {
            Some(ClaimReason::Busy)
        } else {
            None
        }
    }

    fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Returns when the next append or deadline is due, in ms.
    pub fn due_at_ms(&self) -> Option<u64> {
        let undecided = |request: &&Request| !matches!(request.phase, Phase::Won(_));
        let deadlines = self.requests.values().filter(undecided);
        let first = deadlines.map(|request| request.ask.deadline_ms).min();
        first.into_iter().chain(self.batcher.due_at_ms()).min()
    }

    /// Takes the batch to append now, if there is one.
    pub fn poll_append(&mut self, now_ms: u64) -> Option<&Batch> {
        self.batcher.poll(now_ms)
    }

    /// Notes how the append in flight ended. Nothing is decided from it.
    pub fn on_append_result(&mut self, result: AppendResult) {
        let waiting: HashSet<ClaimId> = self
            .requests
            .values()
            .filter_map(|request| match request.phase {
                Phase::Waiting { id, .. } => Some(id),
                Phase::Watching { .. } | Phase::Won(_) => None,
            })
            .collect();
        self.batcher.on_result(result, |entry| match entry {
            Entry::Claim { id, .. } => waiting.contains(id),
            Entry::Release { .. } | Entry::Done { .. } => true,
        });
    }

    /// Applies a record that was read back and decides what follows from it.
    pub fn on_record(&mut self, now_ms: u64, record: &ClaimRecord<'_>) -> Vec<Step> {
        self.batcher.on_record(now_ms);
        let keys: HashSet<KeyHash> = self.index.apply(record).into_iter().collect();
        if !self.index.is_complete() {
            return self.end_undecided(now_ms);
        }
        self.release_abandoned(record);
        let touched: Vec<Attempt> = self
            .requests
            .iter()
            .filter(|(_, request)| keys.contains(&request.ask.key))
            .map(|(attempt, _)| *attempt)
            .collect();
        touched
            .into_iter()
            .filter_map(|attempt| self.settle(now_ms, attempt))
            .collect()
    }

    /// Ends what depends on records that were missed.
    fn end_undecided(&mut self, now_ms: u64) -> Vec<Step> {
        let undecided: Vec<Attempt> = self
            .requests
            .iter()
            .filter(|(_, request)| !matches!(request.phase, Phase::Won(_)))
            .map(|(attempt, _)| *attempt)
            .collect();
        undecided
            .into_iter()
            .filter_map(|attempt| self.end_waiting(now_ms, attempt, ClaimReason::IndexIncomplete))
            .collect()
    }

    /// Releases claims of ours that hold their key although they were given up.
    fn release_abandoned(&mut self, record: &ClaimRecord<'_>) {
        let entries = record.batch.map_or(&[][..], |batch| &batch.entries);
        for entry in entries {
            let (key, id) = (entry.key(), entry.id());
            let is_abandoned = self.abandoned.contains_key(&id);
            if is_abandoned && matches!(self.index.verdict(&key, id), Verdict::Won { .. }) {
                let ran = false;
                self.batcher.push(Entry::Release { key, id, ran });
            }
        }
    }

    /// Decides one attempt from what the index says now.
    fn settle(&mut self, now_ms: u64, attempt: Attempt) -> Option<Step> {
        let request = self.requests.get(&attempt)?;
        let ask = request.ask;
        let decision = match request.phase {
            Phase::Won(_) => None,
            Phase::Waiting { id, asked_ms } => match self.index.verdict(&ask.key, id) {
                Verdict::Won { untouched } => {
                    return self.win(now_ms, attempt, id, asked_ms, untouched);
                }
                Verdict::Undecidable => {
                    return self.end_waiting(now_ms, attempt, ClaimReason::IndexIncomplete);
                }
                Verdict::NotHeld => {
                    let lost = self.look_up(&ask);
                    if lost.is_some() {
                        self.withdraw(now_ms, id, ask.key);
                    }
                    lost
                }
            },
            Phase::Watching { holder } => match self.look_up(&ask) {
                None => self.ask(now_ms, attempt, ask),
                Some(Decision::Join(first)) if first.id == holder => None,
                changed => changed,
            },
        }?;
        self.note(attempt, &decision);
        Some(Step { attempt, decision })
    }

    fn win(
        &mut self,
        now_ms: u64,
        attempt: Attempt,
        id: ClaimId,
        asked_ms: u64,
        untouched: bool,
    ) -> Option<Step> {
        let hold = Hold {
            id,
            asked_ms,
            untouched,
            progress: Progress::default(),
        };
        let request = self.requests.get_mut(&attempt)?;
        request.phase = Phase::Won(hold);
        let decision = match self.check_time(now_ms, attempt, &hold) {
            Some(reason) => Decision::Ended(self.give_up(now_ms, attempt, reason)?),
            None => Decision::Won,
        };
        Some(Step { attempt, decision })
    }

    /// Keeps watching after [`Decision::Join`]; every other decision is final.
    fn note(&mut self, attempt: Attempt, decision: &Decision) {
        match decision {
            Decision::Join(first) => {
                if let Some(request) = self.requests.get_mut(&attempt) {
                    request.phase = Phase::Watching { holder: first.id };
                }
            }
            Decision::Won => {}
            Decision::Recorded(_) | Decision::Misuse | Decision::Ended(_) => {
                self.requests.remove(&attempt);
            }
        }
    }

    /// Takes a claim back, or remembers it when it may be on its way.
    fn withdraw(&mut self, now_ms: u64, id: ClaimId, key: KeyHash) {
        if !self.batcher.withdraw(id) {
            self.abandon(now_ms, id, key);
        }
    }

    fn abandon(&mut self, now_ms: u64, id: ClaimId, key: KeyHash) {
        let forget_at_ms = now_ms + 2 * self.index.window_ms();
        if self.abandoned.insert(id, key).is_none() {
            self.abandoned_order.push_back((forget_at_ms, id));
        }
    }

    /// Ends what is past its deadline.
    pub fn on_tick(&mut self, now_ms: u64) -> Vec<Step> {
        self.forget_abandoned(now_ms);
        let late: Vec<Attempt> = self
            .requests
            .iter()
            .filter(|(_, request)| now_ms >= request.ask.deadline_ms)
            .map(|(attempt, _)| *attempt)
            .collect();
        late.into_iter()
            .filter_map(|attempt| self.end_waiting(now_ms, attempt, ClaimReason::Deadline))
            .collect()
    }

    fn forget_abandoned(&mut self, now_ms: u64) {
        while let Some(&(forget_at_ms, id)) = self.abandoned_order.front()
            && (forget_at_ms <= now_ms || self.abandoned.len() > self.limits.max_abandoned)
        {
            self.abandoned_order.pop_front();
            self.abandoned.remove(&id);
        }
    }

    /// Ends an attempt that holds nothing.
    fn end_waiting(&mut self, now_ms: u64, attempt: Attempt, reason: ClaimReason) -> Option<Step> {
        let request = self.requests.get(&attempt)?;
        if matches!(request.phase, Phase::Won(_)) {
            return None;
        }
        let decision = Decision::Ended(self.give_up(now_ms, attempt, reason)?);
        Some(Step { attempt, decision })
    }

    /// Ends an attempt whose holder gives no answer: what became of the first
    /// run is not known, unless the log has it.
    pub fn on_holder_gone(&mut self, now_ms: u64, attempt: Attempt) -> Option<Decision> {
        if let Some(recorded) = self.recorded(attempt) {
            return Some(recorded);
        }
        let request = self.requests.get(&attempt)?;
        if !matches!(request.phase, Phase::Watching { .. }) {
            return None;
        }
        let ending = self.give_up(now_ms, attempt, ClaimReason::HolderGone)?;
        Some(Decision::Ended(ending))
    }

    /// Ends an attempt that waits for a run which has ended, as far as the log
    /// has its answer.
    pub fn recorded(&mut self, attempt: Attempt) -> Option<Decision> {
        let request = self.requests.get(&attempt)?;
        let Phase::Watching { .. } = request.phase else {
            return None;
        };
        let Standing::Done(_, completion) = self.index.standing(&request.ask.key) else {
            return None;
        };
        let completion = completion.clone();
        self.requests.remove(&attempt);
        Some(Decision::Recorded(completion))
    }

    /// Asks whether a call of the stage with index `stage` may be handed to a
    /// socket now. It has to be asked directly before the write, and the call
    /// counts as sent from here on; a non-idempotent one may be sent once.
    pub fn permit(&mut self, now_ms: u64, attempt: Attempt, stage: u32, kind: CallKind) -> Permit {
        let Some(Phase::Won(mut hold)) = self.requests.get(&attempt).map(|known| known.phase)
        else {
            return Permit::Refused(ClaimReason::NotHolder);
        };
        if let Some(reason) = self.check_time(now_ms, attempt, &hold) {
            return Permit::Refused(reason);
        }
        if !hold.progress.send(stage, kind) {
            return Permit::Refused(ClaimReason::AlreadySent);
        }
        self.set_hold(attempt, hold);
        Permit::Send
    }

    fn check_time(&self, now_ms: u64, attempt: Attempt, hold: &Hold) -> Option<ClaimReason> {
        let request = self.requests.get(&attempt)?;
        if self.is_too_old(now_ms, hold) {
            Some(ClaimReason::ClaimTooOld)
        } else if now_ms >= request.ask.deadline_ms {
            Some(ClaimReason::Deadline)
        } else {
            None
        }
    }

    fn is_too_old(&self, now_ms: u64, hold: &Hold) -> bool {
        now_ms.saturating_sub(hold.asked_ms) >= self.index.window_ms() / 2
    }

    /// Takes back the last permit, of a call that certainly has not run.
    pub fn retract(&mut self, attempt: Attempt, cause: Retraction) {
        if let Some(Phase::Won(mut hold)) = self.requests.get(&attempt).map(|known| known.phase) {
            hold.progress.retract(cause);
            self.set_hold(attempt, hold);
        }
    }

    fn set_hold(&mut self, attempt: Attempt, hold: Hold) {
        if let Some(request) = self.requests.get_mut(&attempt) {
            request.phase = Phase::Won(hold);
        }
    }

    /// Ends a run with its answer and returns the outcome to tell. A run that
    /// may have taken effect is never told otherwise.
    pub fn finish(
        &mut self,
        now_ms: u64,
        attempt: Attempt,
        outcome: Outcome,
        answer: &[u8],
    ) -> Outcome {
        let Some(Phase::Won(hold)) = self.requests.get(&attempt).map(|known| known.phase) else {
            return outcome;
        };
        if !hold.progress.may_have_run() && outcome != Outcome::Complete {
            let ending = self.give_up(now_ms, attempt, ClaimReason::NothingSent);
            return ending.map_or(outcome, |ending| ending.outcome);
        }
        let told = hold.progress.reported_outcome(outcome);
        if let Some(request) = self.requests.remove(&attempt) {
            self.batcher.push(Entry::Done {
                key: request.ask.key,
                id: hold.id,
                completion: Completion::new(told, answer),
            });
        }
        told
    }

    /// Ends an attempt without an answer, at whatever point it is; `None` when
    /// it has ended before.
    pub fn give_up(
        &mut self,
        now_ms: u64,
        attempt: Attempt,
        reason: ClaimReason,
    ) -> Option<Ending> {
        let request = self.requests.remove(&attempt)?;
        let key = request.ask.key;
        let outcome = match request.phase {
            Phase::Waiting { id, .. } => {
                self.withdraw(now_ms, id, key);
                Outcome::NotStarted
            }
            Phase::Watching { .. } => Outcome::Unknown,
            Phase::Won(hold) if !hold.progress.may_have_run() => {
                self.release(key, &hold);
                let is_too_old = self.is_too_old(now_ms, &hold);
                hold.unsent_outcome(is_too_old)
            }
            Phase::Won(hold) => {
                self.batcher.push(Entry::Done {
                    key,
                    id: hold.id,
                    completion: Completion::new(Outcome::Unknown, &[]),
                });
                Outcome::Unknown
            }
        };
        Some(Ending { outcome, reason })
    }

    fn release(&mut self, key: KeyHash, hold: &Hold) {
        self.batcher.push(Entry::Release {
            key,
            id: hold.id,
            ran: hold.progress.ran(),
        });
    }
}
