//! Reads and appends the claim stream of the platform's log, and delivers the
//! decisions of the claimant to the attempts that wait for them.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use rand::random_range;
use savoryvane_core::{
    claim_batcher::{AppendResult, BatchLimits, interval_ms},
    claim_index::{ClaimRecord, IndexLimits},
    claimant::{
        Attempt, AttemptDecision, ClaimLimits, ClaimReason, ClaimRequest, Claimant, Decision,
        Ending, Permit, StartedAttempt,
    },
    ids::{Incarnation, Offset},
    outcome::Outcome,
    progress::{CallKind, Retraction},
};
use savoryvane_wire::{
    claims,
    platform::{CLAIM_STREAM, LogRecord},
};
use slog::{Logger, debug, warn};
use tokio::{
    sync::{Notify, mpsc},
    time::{self, Instant},
};

use crate::{instance::Shared, lock::lock, platform::PlatformError, settings::Settings};

/// Time between retries while the log is unavailable.
const RETRY_MS: u64 = 100;
/// Consecutive reads with a gap after which the missing records are skipped.
const MAX_GAP_READS: u32 = 20;
/// Maximum number of keys in the claim index.
const MAX_KEYS: usize = 2_000_000;
/// Maximum total size of recorded answers in the claim index.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Maximum size of one batch.
const MAX_BATCH_BYTES: usize = 60_000;
/// Maximum number of entries that wait to be appended.
const MAX_PENDING_ENTRIES: usize = 4_096;
/// Maximum number of abandoned claims that are tracked.
const MAX_ABANDONED: usize = 65_536;
/// Heartbeat records that an idle instance appends in one claim window.
const HEARTBEATS_PER_WINDOW: u64 = 4;
/// Maximum wait for pending entries to be appended on shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct State {
    claimant: Claimant,
    attempts: HashMap<Attempt, mpsc::UnboundedSender<Decision>>,
}

impl State {
    fn dispatch(&mut self, decisions: Vec<AttemptDecision>) {
        for AttemptDecision { attempt, decision } in decisions {
            if let Some(sender) = self.attempts.get(&attempt) {
                // The receiver is dropped when the request has ended.
                let _ = sender.send(decision);
            }
        }
    }
}

/// A started attempt with the stream of its decisions.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    /// The attempt.
    pub(crate) attempt: Attempt,
    /// Decisions about the attempt; the first one may already be queued.
    pub(crate) decisions: mpsc::UnboundedReceiver<Decision>,
}

/// Claimant of this instance with the subscribers of its decisions.
#[derive(Debug)]
pub(crate) struct Claims {
    state: Mutex<State>,
    changed: Notify,
    log: Logger,
}

impl Claims {
    /// Creates the claims of one incarnation of an instance.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, log: Logger) -> Self {
        let window_ms = settings.claims.window_ms;
        let heartbeat_ms = (window_ms / HEARTBEATS_PER_WINDOW).max(1);
        let limits = ClaimLimits {
            index: IndexLimits {
                window_ms,
                max_keys: MAX_KEYS,
                max_answer_bytes: MAX_ANSWER_BYTES,
            },
            batch: BatchLimits {
                interval_ms: interval_ms(1, settings.claims.appends_per_s),
                // Jitter keeps instances from appending at the same time.
                heartbeat_interval_ms: random_range(heartbeat_ms / 2..=heartbeat_ms),
                max_entries: claims::MAX_ENTRIES,
                max_bytes: MAX_BATCH_BYTES,
                max_pending: MAX_PENDING_ENTRIES,
            },
            max_abandoned: MAX_ABANDONED,
        };
        let claimant = Claimant::new(settings.instance.clone(), incarnation, limits);
        Self {
            state: Mutex::new(State {
                claimant,
                attempts: HashMap::new(),
            }),
            changed: Notify::new(),
            log,
        }
    }

    /// Starts an attempt and subscribes to its decisions.
    pub(crate) fn begin(&self, now_ms: u64, request: ClaimRequest) -> PendingClaim {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let StartedAttempt { attempt, decision } = state.claimant.begin(now_ms, request);
        if let Some(decision) = decision {
            let _ = sender.send(decision);
        }
        state.attempts.insert(attempt, sender);
        drop(state);
        self.changed.notify_one();
        PendingClaim {
            attempt,
            decisions: receiver,
        }
    }

    /// Requests permission to write a call to a socket now.
    pub(crate) fn permit(
        &self,
        now_ms: u64,
        attempt: Attempt,
        stage: u32,
        kind: CallKind,
    ) -> Permit {
        self.lock().claimant.permit(now_ms, attempt, stage, kind)
    }

    /// Retracts the last permit.
    pub(crate) fn retract(&self, attempt: Attempt, cause: Retraction) {
        self.lock().claimant.retract(attempt, cause);
    }

    /// Ends a run and returns the outcome to report.
    pub(crate) fn finish(
        &self,
        now_ms: u64,
        attempt: Attempt,
        outcome: Outcome,
        answer: &[u8],
    ) -> Outcome {
        self.end(attempt, |claimant| {
            claimant.finish(now_ms, attempt, outcome, answer)
        })
    }

    /// Ends an attempt without an answer.
    pub(crate) fn give_up(
        &self,
        now_ms: u64,
        attempt: Attempt,
        reason: ClaimReason,
    ) -> Option<Ending> {
        self.end(attempt, |claimant| {
            claimant.give_up(now_ms, attempt, reason)
        })
    }

    /// Ends an attempt that joined a run whose instance is unreachable.
    pub(crate) fn on_holder_unreachable(&self, now_ms: u64, attempt: Attempt) -> Option<Decision> {
        self.lock().claimant.on_holder_unreachable(now_ms, attempt)
    }

    /// Ends an attempt if the log has the result of the first run.
    pub(crate) fn recorded(&self, attempt: Attempt) -> Option<Decision> {
        self.lock().claimant.recorded(attempt)
    }

    /// Unsubscribes from the decisions of an ended attempt.
    pub(crate) fn unsubscribe(&self, attempt: Attempt) {
        self.lock().attempts.remove(&attempt);
    }

    /// Returns the next offset to read.
    pub(crate) fn next(&self) -> Offset {
        self.lock().claimant.index().next()
    }

    fn end<T>(&self, attempt: Attempt, end: impl FnOnce(&mut Claimant) -> T) -> T {
        let mut state = self.lock();
        let ended = end(&mut state.claimant);
        state.attempts.remove(&attempt);
        drop(state);
        self.changed.notify_one();
        ended
    }

    fn apply(&self, now_ms: u64, record: &LogRecord) {
        let batch = match claims::decode_record(record) {
            Ok(batch) => Some(batch),
            Err(err) => {
                metrics::counter!("savoryvane_claim_records_bad_total").increment(1);
                warn!(self.log, "claim record could not be decoded";
                    "offset" => record.offset.0, "error" => %err);
                None
            }
        };
        let record = ClaimRecord {
            offset: record.offset,
            appended_at_ms: record.appended_at_ms,
            batch: batch.as_ref(),
        };
        let mut state = self.lock();
        let decisions = state.claimant.on_record(now_ms, &record);
        state.dispatch(decisions);
        metrics::gauge!("savoryvane_claim_keys").set(state.claimant.index().len() as f64);
        drop(state);
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Reads the claim stream until the instance stops.
pub(crate) async fn read(shared: Arc<Shared>) {
    let mut cursor = Offset::default();
    let mut gap_reads = 0;
    loop {
        let wait_ms = shared.platform.wait_ms();
        match shared.platform.read(CLAIM_STREAM, cursor, wait_ms).await {
            Ok(records) if records.has_gap(cursor) && gap_reads < MAX_GAP_READS => {
                gap_reads += 1;
                time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
            Ok(records) => {
                gap_reads = 0;
                let now_ms = shared.clock.now_ms();
                for record in &records.records {
                    shared.claims.apply(now_ms, record);
                    cursor = cursor.max(record.offset.next());
                }
            }
            Err(PlatformError::Trimmed(first)) => {
                warn!(shared.log, "claim records have been trimmed";
                    "expected" => cursor.0, "first" => first.0);
                cursor = first.max(cursor.next());
            }
            Err(err) => {
                debug!(shared.log, "failed to read the claim stream"; "error" => %err);
                let jittered_ms = random_range(RETRY_MS / 2..=RETRY_MS);
                time::sleep(Duration::from_millis(jittered_ms)).await;
            }
        }
    }
}

/// Appends claims until the instance stops.
pub(crate) async fn append(shared: Arc<Shared>) {
    loop {
        wait_due(&shared).await;
        let appenders = shared.members.membership().listed().len();
        let payload = {
            let mut state = shared.claims.lock();
            let now_ms = shared.clock.now_ms();
            let decisions = state.claimant.on_tick(now_ms);
            state.dispatch(decisions);
            let per_s = shared.settings.claims.appends_per_s;
            let interval_ms = interval_ms(appenders as u64, per_s);
            state.claimant.set_interval_ms(interval_ms);
            state.claimant.poll_append(now_ms).map(claims::encode)
        };
        if let Some(payload) = payload {
            let result = append_batch(&shared, payload).await;
            shared.claims.lock().claimant.on_append_result(result);
        }
    }
}

async fn wait_due(shared: &Shared) {
    let due_at_ms = shared.claims.lock().claimant.due_at_ms();
    let changed = shared.claims.changed.notified();
    match due_at_ms {
        None => changed.await,
        Some(at_ms) => {
            tokio::select! {
                () = changed => {}
                () = time::sleep_until(shared.clock.instant(at_ms)) => {}
            }
        }
    }
}

async fn append_batch(shared: &Shared, payload: claims::Result<Vec<u8>>) -> AppendResult {
    let payload = match payload {
        Ok(payload) => Bytes::from(payload),
        Err(err) => {
            // Every batch within the limits of the batcher can be encoded.
            debug_assert!(false, "{err}");
            return AppendResult::Appended;
        }
    };
    let started = Instant::now();
    let appended = shared.platform.append(CLAIM_STREAM, payload).await;
    metrics::histogram!("savoryvane_claim_append_seconds").record(started.elapsed());
    match appended {
        Ok(_) => AppendResult::Appended,
        Err(err) => {
            metrics::counter!("savoryvane_claim_append_errors_total").increment(1);
            debug!(shared.log, "append of claims not confirmed"; "error" => %err);
            AppendResult::NotConfirmed
        }
    }
}

/// Waits up to [`FLUSH_TIMEOUT`] for all pending entries to be appended.
pub(crate) async fn flush(shared: &Shared) {
    let flushed = async {
        while !shared.claims.lock().claimant.batcher().is_idle() {
            time::sleep(Duration::from_millis(RETRY_MS / 10)).await;
        }
    };
    if time::timeout(FLUSH_TIMEOUT, flushed).await.is_err() {
        warn!(shared.log, "timed out flushing claims");
    }
}
