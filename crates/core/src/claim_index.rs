//! State of each key, computed from the records of the claim stream in order.
//!
//! A key is evicted once no entry has named it for the window, by the log's
//! clock. Entries that change nothing count as well. The time of eviction
//! therefore depends only on the records, and an index that started to read
//! later evicts a key at the same record as one that read all of them.

use std::collections::{HashMap, VecDeque};

use crate::{
    claim::{Batch, ClaimId, Completion, Entry, Fingerprint, KeyHash, Position},
    ids::{InstanceName, Offset},
};

/// Bounds of a [`ClaimIndex`].
#[derive(Clone, Copy, Debug)]
pub struct IndexLimits {
    /// Time for which a key is retained after its last entry, in ms.
    pub window_ms: u64,
    /// Maximum number of keys. An index that exceeds it is cleared and is
    /// incomplete.
    pub max_keys: usize,
    /// Maximum total size of response bodies, in bytes. The oldest are evicted
    /// first.
    pub max_answer_bytes: usize,
}

/// A record of the claim stream as read from the log.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRecord<'a> {
    /// Offset of the record.
    pub offset: Offset,
    /// Time of the append by the log's clock, in ms.
    pub appended_at_ms: u64,
    /// Decoded batch; `None` when the payload could not be decoded.
    pub batch: Option<&'a Batch>,
}

/// The claim that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// ID of the claim.
    pub id: ClaimId,
    /// Instance that made the claim.
    pub instance: InstanceName,
    /// Fingerprint of its request.
    pub fingerprint: Fingerprint,
    /// Position in the claim stream.
    pub position: Position,
    /// Time of its append by the log's clock, in ms.
    pub claimed_at_ms: u64,
}

/// Status of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStatus<'a> {
    /// No claim holds it.
    Free,
    /// A claim holds it, and no result of its run is recorded.
    Claimed(&'a Holder),
    /// The run of the claim that holds it has a recorded result.
    Done(&'a Holder, &'a Completion),
}

/// Status of one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// It holds the key, and all records that could change that were read.
    Won {
        /// Whether it is certain that no call was sent under the key before.
        no_prior_calls: bool,
    },
    /// It holds the key according to the records that were read, but relevant
    /// earlier records may be missing.
    Undecidable,
    /// It does not hold the key.
    NotHeld,
}

/// Range of the stream from which an index has read every record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Coverage {
    /// No record was read.
    Nothing,
    /// All records from the beginning of the stream.
    Complete,
    /// All records from this time of the log's clock, in ms.
    From(u64),
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
    first_entry_ms: u64,
    last_entry_ms: u64,
    state: KeyState,
    /// Released claims. A duplicate append of one of them must not acquire the
    /// key again.
    released: Vec<ClaimId>,
    ran: bool,
}

impl KeyEntry {
    fn new(now_ms: u64) -> Self {
        Self {
            first_entry_ms: now_ms,
            last_entry_ms: now_ms,
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

/// Index of keys and their claims, built by applying the claim stream in order.
#[derive(Debug)]
pub struct ClaimIndex {
    limits: IndexLimits,
    next: Option<Offset>,
    coverage: Coverage,
    time_ms: u64,
    keys: HashMap<KeyHash, KeyEntry>,
    /// Time and key of each entry, in log order.
    entry_times: VecDeque<(u64, KeyHash)>,
    answer_order: VecDeque<KeyHash>,
    answer_bytes: usize,
}

impl ClaimIndex {
    /// Creates an empty index.
    pub fn new(limits: IndexLimits) -> Self {
        Self {
            limits,
            next: None,
            coverage: Coverage::Nothing,
            time_ms: 0,
            keys: HashMap::new(),
            entry_times: VecDeque::new(),
            answer_order: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next.unwrap_or_default()
    }

    /// Returns the latest time of the log's clock in the applied records, in ms.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Returns the time for which a key is retained, in ms.
    pub fn window_ms(&self) -> u64 {
        self.limits.window_ms
    }

    /// Returns the number of keys in the index.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the index has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns whether a claim appended now could be decided.
    pub fn is_complete(&self) -> bool {
        self.covers(self.time_ms)
    }

    /// Applies one record and returns the keys that it names.
    ///
    /// Skips records before [`next`](Self::next), which were already applied. A
    /// record after it means that records are missing, and a record that could
    /// not be decoded counts as missing. In both cases the index is cleared and
    /// restarts at this record.
    pub fn apply(&mut self, record: &ClaimRecord<'_>) -> Vec<KeyHash> {
        if record.offset < self.next() {
            return Vec::new();
        }
        let now_ms = self.time_ms.max(record.appended_at_ms);
        self.update_coverage(record, now_ms);
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
        self.enforce_limits();
        batch.entries.iter().map(Entry::key).collect()
    }

    fn update_coverage(&mut self, record: &ClaimRecord<'_>, now_ms: u64) {
        let follows = self.next == Some(record.offset);
        if record.batch.is_none() || !(follows || record.offset == Offset(0)) {
            self.reset(now_ms);
        } else if !follows {
            self.coverage = Coverage::Complete;
        }
    }

    /// Clears the index, because the effect of a missing record is not known.
    fn reset(&mut self, now_ms: u64) {
        self.coverage = Coverage::From(now_ms);
        self.keys.clear();
        self.entry_times.clear();
        self.answer_order.clear();
        self.answer_bytes = 0;
    }

    fn apply_entry(&mut self, entry: &Entry, position: Position) {
        let now_ms = self.time_ms;
        let key = entry.key();
        let key_entry = self
            .keys
            .entry(key)
            .or_insert_with(|| KeyEntry::new(now_ms));
        if is_expired(key_entry.last_entry_ms, self.limits.window_ms, now_ms) {
            self.answer_bytes -= key_entry.answer_bytes();
            *key_entry = KeyEntry::new(now_ms);
        }
        key_entry.last_entry_ms = now_ms;
        let old_bytes = key_entry.answer_bytes();
        key_entry.apply(entry, position, now_ms);
        let added_bytes = key_entry.answer_bytes() - old_bytes;
        if added_bytes > 0 {
            self.answer_bytes += added_bytes;
            self.answer_order.push_back(key);
        }
        self.entry_times.push_back((now_ms, key));
    }

    fn expire(&mut self) {
        let window_ms = self.limits.window_ms;
        while let Some(&(entry_ms, key)) = self.entry_times.front()
            && is_expired(entry_ms, window_ms, self.time_ms)
        {
            self.entry_times.pop_front();
            let key_expired = self.keys.get(&key).is_some_and(|key_entry| {
                is_expired(key_entry.last_entry_ms, window_ms, self.time_ms)
            });
            if key_expired && let Some(key_entry) = self.keys.remove(&key) {
                self.answer_bytes -= key_entry.answer_bytes();
            }
        }
    }

    fn enforce_limits(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes
            && let Some(key) = self.answer_order.pop_front()
        {
            if let Some(key_entry) = self.keys.get_mut(&key) {
                self.answer_bytes -= key_entry.answer_bytes();
                key_entry.drop_answer();
            }
        }
        let max_entries = self.limits.max_keys.saturating_mul(MAX_ENTRIES_PER_KEY);
        if self.keys.len() > self.limits.max_keys || self.entry_times.len() > max_entries {
            self.reset(self.time_ms);
        }
    }

    /// Returns the status of `key`.
    pub fn key_status(&self, key: &KeyHash) -> KeyStatus<'_> {
        match self.keys.get(key).map(|key_entry| &key_entry.state) {
            None | Some(KeyState::Free) => KeyStatus::Free,
            Some(KeyState::Claimed(holder)) => KeyStatus::Claimed(holder),
            Some(KeyState::Done(holder, completion)) => KeyStatus::Done(holder, completion),
        }
    }

    /// Returns the status of the claim `id` of `key`.
    pub fn claim_status(&self, key: &KeyHash, id: ClaimId) -> ClaimStatus {
        let Some(key_entry) = self.keys.get(key) else {
            return ClaimStatus::NotHeld;
        };
        match key_entry.state.holder() {
            Some(holder) if holder.id == id => {
                if !self.covers(holder.claimed_at_ms) {
                    return ClaimStatus::Undecidable;
                }
                ClaimStatus::Won {
                    no_prior_calls: !key_entry.ran && self.covers(key_entry.first_entry_ms),
                }
            }
            _ => ClaimStatus::NotHeld,
        }
    }

    /// Returns whether all records that a claim at `at_ms` depends on were read.
    fn covers(&self, at_ms: u64) -> bool {
        match self.coverage {
            Coverage::Nothing => false,
            Coverage::Complete => true,
            Coverage::From(start_ms) => is_expired(start_ms, self.limits.window_ms, at_ms),
        }
    }
}

/// Average number of entries for each key above which the index counts as too
/// large.
const MAX_ENTRIES_PER_KEY: usize = 8;

fn is_expired(start_ms: u64, window_ms: u64, now_ms: u64) -> bool {
    start_ms.saturating_add(window_ms) < now_ms
}
