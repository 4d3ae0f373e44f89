//! The claim stream of the platform's log: reading it back, appending to it,
//! and telling each attempt what was decided.

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

/// Time between two attempts while the log does not answer, in ms.
const RETRY_MS: u64 = 100;
/// Reads after which a record that is not delivered counts as missing.
const GAP_READS: u32 = 20;
/// Most keys that are remembered.
const MAX_KEYS: usize = 2_000_000;
/// Most bytes of recorded answers that are remembered.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Most bytes of one batch.
const MAX_BATCH_BYTES: usize = 60_000;
/// Most entries that wait to be appended.
const MAX_WAITING: usize = 4_096;
/// Most claims remembered that were given up.
const MAX_ABANDONED: usize = 65_536;
/// Shows that there are this many records without entries in a window.
const MARKS_PER_WINDOW: u64 = 4;
/// Longest wait for the last entries to be appended when the instance stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct State {
    claimant: Claimant,
    attempts: HashMap<Attempt, mpsc::UnboundedSender<Decision>>,
}

impl State {
    fn tell(&mut self, steps: Vec<AttemptDecision>) {
        for AttemptDecision { attempt, decision } in steps {
            if let Some(sender) = self.attempts.get(&attempt) {
                // Nobody listens when the request has ended.
                let _ = sender.send(decision);
            }
        }
    }
}

/// An attempt that has begun, and what is decided about it as it is.
#[derive(Debug)]
pub(crate) struct Claiming {
    /// The attempt.
    pub(crate) attempt: Attempt,
    /// Decisions; the first one may be there already.
    pub(crate) decisions: mpsc::UnboundedReceiver<Decision>,
}

/// The claims of this instance.
#[derive(Debug)]
pub(crate) struct Claims {
    state: Mutex<State>,
    changed: Notify,
    log: Logger,
}

impl Claims {
    /// Creates the claims of one run of an instance.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, log: Logger) -> Self {
        let window_ms = settings.claims.window_ms;
        let mark_ms = (window_ms / MARKS_PER_WINDOW).max(1);
        let limits = ClaimLimits {
            index: IndexLimits {
                window_ms,
                max_keys: MAX_KEYS,
                max_answer_bytes: MAX_ANSWER_BYTES,
            },
            batch: BatchLimits {
                interval_ms: interval_ms(1, settings.claims.appends_per_s),
                // Not all instances at the same moment.
                heartbeat_interval_ms: random_range(mark_ms / 2..=mark_ms),
                max_entries: claims::MAX_ENTRIES,
                max_bytes: MAX_BATCH_BYTES,
                max_pending: MAX_WAITING,
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

    /// Begins an attempt.
    pub(crate) fn begin(&self, now_ms: u64, ask: ClaimRequest) -> Claiming {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let StartedAttempt { attempt, decision } = state.claimant.begin(now_ms, ask);
        if let Some(decision) = decision {
            let _ = sender.send(decision);
        }
        state.attempts.insert(attempt, sender);
        drop(state);
        self.changed.notify_one();
        Claiming {
            attempt,
            decisions: receiver,
        }
    }

    /// Asks whether a call may be handed to a socket now.
    pub(crate) fn permit(
        &self,
        now_ms: u64,
        attempt: Attempt,
        stage: u32,
        kind: CallKind,
    ) -> Permit {
        self.lock().claimant.permit(now_ms, attempt, stage, kind)
    }

    /// Takes back the last permit.
    pub(crate) fn retract(&self, attempt: Attempt, cause: Retraction) {
        self.lock().claimant.retract(attempt, cause);
    }

    /// Ends a run and returns the outcome to tell.
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

    /// Ends an attempt that has no answer.
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

    /// Ends an attempt whose first run can't be asked.
    pub(crate) fn holder_gone(&self, now_ms: u64, attempt: Attempt) -> Option<Decision> {
        self.lock().claimant.on_holder_unreachable(now_ms, attempt)
    }

    /// Ends an attempt when the log says how the first run ended.
    pub(crate) fn recorded(&self, attempt: Attempt) -> Option<Decision> {
        self.lock().claimant.recorded(attempt)
    }

    /// Stops telling what is decided about an attempt that has ended.
    pub(crate) fn forget(&self, attempt: Attempt) {
        self.lock().attempts.remove(&attempt);
    }

    /// Returns the offset that is read next.
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

    fn take(&self, now_ms: u64, record: &LogRecord) {
        let batch = match claims::decode_record(record) {
            Ok(batch) => Some(batch),
            Err(err) => {
                metrics::counter!("savoryvane_claim_records_bad_total").increment(1);
                warn!(self.log, "claim record not understood";
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
        let steps = state.claimant.on_record(now_ms, &record);
        state.tell(steps);
        metrics::gauge!("savoryvane_claim_keys").set(state.claimant.index().len() as f64);
        drop(state);
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Reads the claim stream for as long as the instance lives.
pub(crate) async fn read(shared: Arc<Shared>) {
    let mut cursor = Offset::default();
    let mut gap_reads = 0;
    loop {
        let wait_ms = shared.platform.wait_ms();
        match shared.platform.read(CLAIM_STREAM, cursor, wait_ms).await {
            Ok(records) if records.has_gap(cursor) && gap_reads < GAP_READS => {
                gap_reads += 1;
                time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
            Ok(records) => {
                gap_reads = 0;
                let now_ms = shared.clock.now_ms();
                for record in &records.records {
                    shared.claims.take(now_ms, record);
                    cursor = cursor.max(record.offset.next());
                }
            }
            Err(PlatformError::Trimmed(first)) => {
                warn!(shared.log, "claim records are no longer kept";
                    "expected" => cursor.0, "first" => first.0);
                cursor = first.max(cursor.next());
            }
            Err(err) => {
                debug!(shared.log, "claim stream not read"; "error" => %err);
                let jittered_ms = random_range(RETRY_MS / 2..=RETRY_MS);
                time::sleep(Duration::from_millis(jittered_ms)).await;
            }
        }
    }
}

/// Appends claims for as long as the instance lives.
pub(crate) async fn append(shared: Arc<Shared>) {
    loop {
        wait_due(&shared).await;
        let appenders = shared.members.membership().listed().len();
        let payload = {
            let mut state = shared.claims.lock();
            let now_ms = shared.clock.now_ms();
            let steps = state.claimant.on_tick(now_ms);
            state.tell(steps);
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
            // A batch within the limits of the batcher can be encoded.
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
            debug!(shared.log, "claims not appended"; "error" => %err);
            AppendResult::NotConfirmed
        }
    }
}

/// Waits until what has ended is on the log, for a short while.
pub(crate) async fn flush(shared: &Shared) {
    let flushed = async {
        while !shared.claims.lock().claimant.batcher().is_idle() {
            time::sleep(Duration::from_millis(RETRY_MS / 10)).await;
        }
    };
    if time::timeout(FLUSH_TIMEOUT, flushed).await.is_err() {
        warn!(shared.log, "claims left unappended");
    }
}
