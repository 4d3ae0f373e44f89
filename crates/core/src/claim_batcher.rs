//! Group commit of claim entries, with one append in flight at a time and a
//! bounded append rate.

use std::collections::VecDeque;

use crate::claim::{Batch, ClaimId, Entry};

/// Bounds of a [`ClaimBatcher`].
#[derive(Clone, Copy, Debug)]
pub struct BatchLimits {
    /// Minimum time between the starts of two appends, in ms.
    pub interval_ms: u64,
    /// Time without a record after which an empty batch is appended, in ms.
    pub heartbeat_interval_ms: u64,
    /// Maximum number of entries in a batch.
    pub max_entries: usize,
    /// Maximum size of a batch, in bytes.
    pub max_bytes: usize,
    /// Maximum number of entries that wait to be appended.
    pub max_pending: usize,
}

/// Returns the append interval at which `appenders` instances together stay
/// within `appends_per_s`, in ms.
pub fn interval_ms(appenders: u64, appends_per_s: u64) -> u64 {
    const MS_PER_S: u64 = 1000;
    (appenders.max(1) * MS_PER_S).div_ceil(appends_per_s.max(1))
}

/// Result of an append as seen by its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The log returned an offset.
    Appended,
    /// The append was refused, or its response was lost and it may have taken
    /// effect. It is retried in both cases, because entries take effect once.
    NotConfirmed,
}

/// An entry that waits to be appended.
#[derive(Debug)]
struct PendingEntry {
    entry: Entry,
    /// Whether an earlier append contained the entry.
    was_attempted: bool,
}

/// Queue of entries to append to the claim stream.
#[derive(Debug)]
pub struct ClaimBatcher {
    limits: BatchLimits,
    pending: VecDeque<PendingEntry>,
    in_flight: Option<Batch>,
    next_append_at_ms: u64,
    failures: u32,
    last_record_at_ms: u64,
    has_appended: bool,
}

impl ClaimBatcher {
    /// Creates an empty batcher.
    pub fn new(limits: BatchLimits) -> Self {
        Self {
            limits,
            pending: VecDeque::new(),
            in_flight: None,
            next_append_at_ms: 0,
            failures: 0,
            last_record_at_ms: 0,
            has_appended: false,
        }
    }

    /// Sets the minimum time between two appends, in ms.
    pub fn set_interval_ms(&mut self, interval_ms: u64) {
        self.limits.interval_ms = interval_ms;
    }

    /// Returns whether another claim can be queued. Releases and completions of
    /// accepted claims are always queued; there is at most one for each claim.
    pub fn has_capacity(&self) -> bool {
        self.pending.len() < self.limits.max_pending
    }

    /// Adds an entry to one of the next batches.
    pub fn push(&mut self, entry: Entry) {
        let was_attempted = false;
        self.pending.push_back(PendingEntry {
            entry,
            was_attempted,
        });
    }

    /// Removes a claim that is not in the append in flight. Returns whether the
    /// claim was never in an append and so cannot appear in the log.
    pub fn withdraw(&mut self, id: ClaimId) -> bool {
        let is_claim = |entry: &Entry| matches!(entry, Entry::Claim { .. }) && entry.id() == id;
        let index = self
            .pending
            .iter()
            .position(|pending| is_claim(&pending.entry));
        let withdrawn = index.and_then(|index| self.pending.remove(index));
        withdrawn.is_some_and(|pending| !pending.was_attempted)
    }

    /// Returns whether the queue is empty and no append is in flight.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Returns whether the log counts as unavailable because recent appends were
    /// not confirmed.
    pub fn is_log_unavailable(&self) -> bool {
        self.failures >= UNAVAILABLE_AFTER_FAILURES
    }

    /// Returns the time at which [`poll`](Self::poll) has a batch to append, in
    /// ms; `None` while an append is in flight.
    pub fn due_at_ms(&self) -> Option<u64> {
        if self.in_flight.is_some() {
            return None;
        }
        if !self.pending.is_empty() || self.is_log_unavailable() || !self.has_appended {
            return Some(self.next_append_at_ms);
        }
        let heartbeat_at_ms = self.last_record_at_ms + self.limits.heartbeat_interval_ms;
        Some(heartbeat_at_ms.max(self.next_append_at_ms))
    }

    /// Returns the batch to append now, if one is due. An empty batch is due at
    /// the start, after a time without records, and while the log is unavailable.
    /// It advances the log's clock for readers and detects that the log is
    /// available again.
    pub fn poll(&mut self, now_ms: u64) -> Option<&Batch> {
        if self.due_at_ms()? > now_ms {
            return None;
        }
        let wait_ms = if self.failures > 0 {
            self.limits.interval_ms.max(RETRY_MS)
        } else {
            self.limits.interval_ms
        };
        self.next_append_at_ms = now_ms + wait_ms;
        self.has_appended = true;
        let batch = self.take_batch();
        Some(self.in_flight.insert(batch))
    }

    fn take_batch(&mut self) -> Batch {
        let mut bytes = 0;
        let fits = |pending: &&PendingEntry| {
            bytes += pending.entry.max_encoded_bytes();
            bytes <= self.limits.max_bytes
        };
        let fitting = self.pending.iter().take_while(fits).count();
        let count = fitting.clamp(1, self.limits.max_entries);
        let count = count.min(self.pending.len());
        Batch {
            entries: self
                .pending
                .drain(..count)
                .map(|pending| pending.entry)
                .collect(),
        }
    }

    /// Notes that a record, appended by any instance, was read at `now_ms`.
    pub fn on_record(&mut self, now_ms: u64) {
        self.last_record_at_ms = now_ms;
    }

    /// Handles the result of the append in flight. The entries of an unconfirmed
    /// append for which `should_retry` is true are queued again.
    pub fn on_result(&mut self, result: AppendResult, should_retry: impl Fn(&Entry) -> bool) {
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
            .filter(|entry| should_retry(entry))
        {
            let was_attempted = true;
            self.pending.push_front(PendingEntry {
                entry,
                was_attempted,
            });
        }
    }
}

/// Consecutive unconfirmed appends after which the log counts as unavailable.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// Minimum time between two appends while they are not confirmed, in ms.
const RETRY_MS: u64 = 100;
