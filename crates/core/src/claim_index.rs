//! What the claim stream says about each key, decided from records read back
//! in order.
//!
//! A key is remembered until no entry has named it for the window, by the log's
//! clock. Every entry counts for that, also one that changes nothing: so when a
//! key is forgotten depends only on which records there are, and an index that
//! began reading later forgets it at the same record as one that read them all.

use std::collections::{HashMap, VecDeque};

use crate::{
    claim::{Batch, ClaimId, Completion, Entry, Fingerprint, KeyHash, Position},
    ids::{InstanceName, Offset},
};

/// Bounds of a [`ClaimIndex`].
#[derive(Clone, Copy, Debug)]
pub struct IndexLimits {
    /// Time that a key is remembered after its last entry, in ms.
    pub window_ms: u64,
    /// Most keys held; one more and the index starts again, incomplete.
    pub max_keys: usize,
    /// Most bytes of answers held; the oldest are dropped first.
    pub max_answer_bytes: usize,
}

/// A record of the claim stream as it was read back.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRecord<'a> {
    /// Offset of the record.
    pub offset: Offset,
    /// Time of the append by the log's clock, in ms.
    pub appended_at_ms: u64,
    /// Its batch; `None` when the payload couldn't be understood.
    pub batch: Option<&'a Batch>,
}

/// The claim that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The claim.
    pub id: ClaimId,
    /// Instance of its claimant.
    pub instance: InstanceName,
    /// What its request asks for.
    pub fingerprint: Fingerprint,
    /// Where it stands.
    pub position: Position,
    /// Time of its append by the log's clock, in ms.
    pub claimed_at_ms: u64,
}

/// What is known of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing<'a> {
    /// No claim holds it.
    Free,
    /// A claim holds it, and its run has not been recorded as ended.
    Claimed(&'a Holder),
    /// The run of the claim that holds it has ended.
    Done(&'a Holder, &'a Completion),
}

/// What the index says of one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It holds the key, and nothing that could change that is missing.
    Won {
        /// Whether no call at all was sent under the key before.
        untouched: bool,
    },
    /// It holds the key as far as the records that were read go, but earlier
    /// ones that matter may be missing.
    Undecidable,
    /// It does not hold the key.
    NotHeld,
}

/// Since when an index has read every record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Coverage {
    /// It has read none.
    Nothing,
    /// From the stream's beginning.
    Whole,
    /// From this time of the log's clock on, in ms.
    Since(u64),
}

#[derive(Debug)]
enum KeyState {
    Free,
    Claimed(Holder),
    Done(Holder, Completion),
}

impl KeyState {
    fn holder(&self) -> Option<&Holder> {
        match self {
            Self::Free => None,
            Self::Claimed(holder) | Self::Done(holder, _) => Some(holder),
        }
    }
}

#[derive(Debug)]
struct KeyEntry {
    first_ms: u64,
    last_ms: u64,
    state: KeyState,
    /// Claims that were released: a copy of one that is appended later must
    /// not hold the key again.
    released: Vec<ClaimId>,
    ran: bool,
}

impl KeyEntry {
    fn new(now_ms: u64) -> Self {
        Self {
            first_ms: now_ms,
            last_ms: now_ms,
            state: KeyState::Free,
            released: Vec::new(),
            ran: false,
        }
    }

    fn apply(&mut self, entry: &Entry, position: Position, now_ms: u64) {
        match entry {
            Entry::Claim {
                id,
                fingerprint,
                instance,
                ..
            } => self.claim(Holder {
                id: *id,
                instance: instance.clone(),
                fingerprint: *fingerprint,
                position,
                claimed_at_ms: now_ms,
            }),
            Entry::Release { id, ran, .. } => self.release(*id, *ran),
            Entry::Done { id, completion, .. } => self.done(*id, completion),
        }
    }

    fn claim(&mut self, holder: Holder) {
        if matches!(self.state, KeyState::Free) && !self.released.contains(&holder.id) {
            self.state = KeyState::Claimed(holder);
        }
    }

    fn release(&mut self, id: ClaimId, ran: bool) {
        if matches!(&self.state, KeyState::Claimed(holder) if holder.id == id) {
            self.state = KeyState::Free;
            self.released.push(id);
            self.ran |= ran;
        }
    }

    fn done(&mut self, id: ClaimId, completion: &Completion) {
        if let KeyState::Claimed(holder) = &self.state
            && holder.id == id
        {
            self.state = KeyState::Done(holder.clone(), completion.clone());
        }
    }

    fn answer_bytes(&self) -> usize {
        match &self.state {
            KeyState::Done(_, completion) => completion.answer.as_ref().map_or(0, Vec::len),
            KeyState::Free | KeyState::Claimed(_) => 0,
        }
    }

    fn drop_answer(&mut self) {
        if let KeyState::Done(_, completion) = &mut self.state {
            completion.answer = None;
        }
    }
}

/// Keys and their claims, by the order of the claim stream.
#[derive(Debug)]
pub struct ClaimIndex {
    limits: IndexLimits,
    next: Option<Offset>,
    coverage: Coverage,
    time_ms: u64,
    keys: HashMap<KeyHash, KeyEntry>,
    /// A key for each of its entries, in log order.
    expiries: VecDeque<(u64, KeyHash)>,
    answers: VecDeque<KeyHash>,
    answer_bytes: usize,
}

impl ClaimIndex {
    /// Creates an index that has read nothing.
    pub fn new(limits: IndexLimits) -> Self {
        Self {
            limits,
            next: None,
            coverage: Coverage::Nothing,
            time_ms: 0,
            keys: HashMap::new(),
            expiries: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next.unwrap_or_default()
    }

    /// Returns the latest time of the log's clock that was read, in ms.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Returns the time that a key is remembered, in ms.
    pub fn window_ms(&self) -> u64 {
        self.limits.window_ms
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Tells whether a claim appended now could be decided.
    pub fn is_complete(&self) -> bool {
        self.covers(self.time_ms)
    }

    /// Applies one record and returns the keys that it names.
    ///
    /// Records before [`next`](Self::next) were applied already and are
    /// skipped. A record beyond it means that some were missed, and one that
    /// can't be understood counts as missed: the index starts again from there.
    pub fn apply(&mut self, record: &ClaimRecord<'_>) -> Vec<KeyHash> {
        if record.offset < self.next() {
            return Vec::new();
        }
        let now_ms = self.time_ms.max(record.appended_at_ms);
        self.note_coverage(record, now_ms);
        self.time_ms = now_ms;
        self.next = Some(record.offset.next());
        let Some(batch) = record.batch else {
            return Vec::new();
        };
        for (index, entry) in (0..).zip(&batch.entries) {
            let position = Position {
                offset: record.offset,
                index,
            };
            self.apply_entry(entry, position);
        }
        self.expire();
        self.bound();
        batch.entries.iter().map(Entry::key).collect()
    }

    fn note_coverage(&mut self, record: &ClaimRecord<'_>, now_ms: u64) {
        let follows = self.next == Some(record.offset);
        if record.batch.is_none() || !(follows || record.offset == Offset(0)) {
            self.restart(now_ms);
        } else if !follows {
            self.coverage = Coverage::Whole;
        }
    }

    /// Forgets everything: what a record that was missed changed is not known.
    fn restart(&mut self, now_ms: u64) {
        self.coverage = Coverage::Since(now_ms);
        self.keys.clear();
        self.expiries.clear();
        self.answers.clear();
        self.answer_bytes = 0;
    }

    fn apply_entry(&mut self, entry: &Entry, position: Position) {
        let now_ms = self.time_ms;
        let key = entry.key();
        let known = self
            .keys
            .entry(key)
            .or_insert_with(|| KeyEntry::new(now_ms));
        if is_past(known.last_ms, self.limits.window_ms, now_ms) {
            self.answer_bytes -= known.answer_bytes();
            *known = KeyEntry::new(now_ms);
        }
        known.last_ms = now_ms;
        let before = known.answer_bytes();
        known.apply(entry, position, now_ms);
        let added = known.answer_bytes() - before;
        if added > 0 {
            self.answer_bytes += added;
            self.answers.push_back(key);
        }
        self.expiries.push_back((now_ms, key));
    }

    fn expire(&mut self) {
        let window_ms = self.limits.window_ms;
        while let Some(&(named_ms, key)) = self.expiries.front()
            && is_past(named_ms, window_ms, self.time_ms)
        {
            self.expiries.pop_front();
            let is_over = self
                .keys
                .get(&key)
                .is_some_and(|known| is_past(known.last_ms, window_ms, self.time_ms));
            if is_over && let Some(known) = self.keys.remove(&key) {
                self.answer_bytes -= known.answer_bytes();
            }
        }
    }

    fn bound(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes
            && let Some(key) = self.answers.pop_front()
        {
            if let Some(known) = self.keys.get_mut(&key) {
                self.answer_bytes -= known.answer_bytes();
                known.drop_answer();
            }
        }
        let max_expiries = self.limits.max_keys.saturating_mul(EXPIRIES_PER_KEY);
        if self.keys.len() > self.limits.max_keys || self.expiries.len() > max_expiries {
            self.restart(self.time_ms);
        }
    }

    /// Returns what is known of `key`.
    pub fn standing(&self, key: &KeyHash) -> Standing<'_> {
        match self.keys.get(key).map(|known| &known.state) {
            None | Some(KeyState::Free) => Standing::Free,
            Some(KeyState::Claimed(holder)) => Standing::Claimed(holder),
            Some(KeyState::Done(holder, completion)) => Standing::Done(holder, completion),
        }
    }

    /// Returns what is known of the claim `id` of `key`.
    pub fn verdict(&self, key: &KeyHash, id: ClaimId) -> Verdict {
        let Some(known) = self.keys.get(key) else {
            return Verdict::NotHeld;
        };
        match known.state.holder() {
            Some(holder) if holder.id == id => {
                if !self.covers(holder.claimed_at_ms) {
                    return Verdict::Undecidable;
                }
                Verdict::Won {
                    untouched: !known.ran && self.covers(known.first_ms),
                }
            }
            _ => Verdict::NotHeld,
        }
    }

    /// Tells whether every record was read that a claim at `at_ms` depends on.
    fn covers(&self, at_ms: u64) -> bool {
        match self.coverage {
            Coverage::Nothing => false,
            Coverage::Whole => true,
            Coverage::Since(since_ms) => is_past(since_ms, self.limits.window_ms, at_ms),
        }
    }
}

/// Entries that a key has on average before the index counts as too large.
const EXPIRIES_PER_KEY: usize = 8;

fn is_past(from_ms: u64, window_ms: u64, now_ms: u64) -> bool {
    from_ms.saturating_add(window_ms) < now_ms
}
