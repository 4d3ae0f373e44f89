//! Group commit of claim entries: one append in flight, a bounded number of
//! appends a second.

use std::collections::VecDeque;

use crate::claim::{Batch, ClaimId, Entry};

/// Bounds of a [`ClaimBatcher`].
#[derive(Clone, Copy, Debug)]
pub struct BatchLimits {
    /// Shortest time between the starts of two appends, in ms.
    pub interval_ms: u64,
    /// Time without a record after which an empty one is appended, in ms.
    pub heartbeat_interval_ms: u64,
    /// Most entries of one batch.
    pub max_entries: usize,
    /// Most bytes of one batch.
    pub max_bytes: usize,
    /// Most entries that wait.
    pub max_pending: usize,
}

/// Returns the time between appends that keeps `appenders` instances together
/// under `appends_per_s`, in ms.
pub fn interval_ms(appenders: u64, appends_per_s: u64) -> u64 {
    const MS_PER_S: u64 = 1000;
    (appenders.max(1) * MS_PER_S).div_ceil(appends_per_s.max(1))
}

/// How an append ended, as far as its sender can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The log answered with an offset.
    Appended,
    /// It was refused, or it may have taken effect and the answer is missing.
    /// Either way it is appended again: entries take effect once.
    NotConfirmed,
}

/// An entry that waits, and whether it was in an append before.
#[derive(Debug)]
struct Waiting {
    entry: Entry,
    tried: bool,
}

/// Entries on their way to the claim stream.
#[derive(Debug)]
pub struct ClaimBatcher {
    limits: BatchLimits,
    waiting: VecDeque<Waiting>,
    in_flight: Option<Batch>,
    next_at_ms: u64,
    failures: u32,
    recorded_at_ms: u64,
    has_begun: bool,
}

impl ClaimBatcher {
    /// Creates a batcher with nothing to append.
    pub fn new(limits: BatchLimits) -> Self {
        Self {
            limits,
            waiting: VecDeque::new(),
            in_flight: None,
            next_at_ms: 0,
            failures: 0,
            recorded_at_ms: 0,
            has_begun: false,
        }
    }

    /// Changes the shortest time between two appends, in ms.
    pub fn set_interval_ms(&mut self, interval_ms: u64) {
        self.limits.interval_ms = interval_ms;
    }

    /// Tells whether another claim can wait. Releases and completions of claims
    /// that were let in are never refused, and there are no more of them than
    /// of claims.
    pub fn has_room(&self) -> bool {
        self.waiting.len() < self.limits.max_pending
    }

    /// Adds an entry to one of the next batches.
    pub fn push(&mut self, entry: Entry) {
        let tried = false;
        self.waiting.push_back(Waiting { entry, tried });
    }

    /// Takes back a claim that is not being appended; tells whether it never
    /// was, so that it can't turn up in the log.
    pub fn withdraw(&mut self, id: ClaimId) -> bool {
        let is_meant = |entry: &Entry| matches!(entry, Entry::Claim { .. }) && entry.id() == id;
        let found = self
            .waiting
            .iter()
            .position(|waiting| is_meant(&waiting.entry));
        let withdrawn = found.and_then(|at| self.waiting.remove(at));
        withdrawn.is_some_and(|waiting| !waiting.tried)
    }

    /// Tells whether nothing waits and no append is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// Tells whether the log takes no appends, as far as the last ones show.
    pub fn is_log_unavailable(&self) -> bool {
        self.failures >= FAILURES_TO_AWAY
    }

    /// Returns when [`poll`](Self::poll) has something to append, in ms; `None`
    /// while an append is in flight.
    pub fn due_at_ms(&self) -> Option<u64> {
        if self.in_flight.is_some() {
            return None;
        }
        if !self.waiting.is_empty() || self.is_log_unavailable() || !self.has_begun {
            return Some(self.next_at_ms);
        }
        let mark_at_ms = self.recorded_at_ms + self.limits.heartbeat_interval_ms;
        Some(mark_at_ms.max(self.next_at_ms))
    }

    /// Takes the batch to append now, if there is one. At the beginning, with
    /// nothing to append for a while, and while the log is away, it is an empty
    /// one: it shows how far the log's clock is, and that the log is back.
    pub fn poll(&mut self, now_ms: u64) -> Option<&Batch> {
        if self.due_at_ms()? > now_ms {
            return None;
        }
        let wait_ms = if self.failures > 0 {
            self.limits.interval_ms.max(RETRY_MS)
        } else {
            self.limits.interval_ms
        };
        self.next_at_ms = now_ms + wait_ms;
        self.has_begun = true;
        let batch = self.take_batch();
        Some(self.in_flight.insert(batch))
    }

    fn take_batch(&mut self) -> Batch {
        let mut bytes = 0;
        let fits = |waiting: &&Waiting| {
            bytes += waiting.entry.max_encoded_bytes();
            bytes <= self.limits.max_bytes
        };
        let within = self.waiting.iter().take_while(fits).count();
        let count = within.clamp(1, self.limits.max_entries);
        let count = count.min(self.waiting.len());
        Batch {
            entries: self
                .waiting
                .drain(..count)
                .map(|waiting| waiting.entry)
                .collect(),
        }
    }

    /// Notes that a record was read at `now_ms`, whoever appended it.
    pub fn on_record(&mut self, now_ms: u64) {
        self.recorded_at_ms = now_ms;
    }

    /// Notes how the append in flight ended; of one that is not confirmed the
    /// entries that are still `wanted` are appended again.
    pub fn on_result(&mut self, result: AppendResult, wanted: impl Fn(&Entry) -> bool) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        if result == AppendResult::Appended {
            self.failures = 0;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        for entry in batch
            .entries
            .into_iter()
            .rev()
            .filter(|entry| wanted(entry))
        {
            let tried = true;
            self.waiting.push_front(Waiting { entry, tried });
        }
    }
}

/// Appends not confirmed in a row after which the log counts as away.
const FAILURES_TO_AWAY: u32 = 2;

/// Time between two appends while they are not confirmed, in ms.
const RETRY_MS: u64 = 100;
