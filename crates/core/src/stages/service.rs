//! One service that takes pieces: its servers and what waits for them.

use std::collections::BTreeMap;

use super::{queue::Queue, server::Server};
use crate::{forwarding::Batching, ids::BackendName};

/// How much a new measure counts for the usual time of a stage.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

/// Part of a server's memory that is left for results that are larger than is said, for
/// one result; where there are more, what they are larger by in all grows with the root
/// of their number only, so that the part shrinks with it. A piece without room is a call
/// in vain.
const MEMORY_RESERVE_FACTOR: f64 = 0.5;

/// Time between two looks at pieces that wait for a server in their zone while
/// others are idle, in ms.
pub(super) const DISPATCH_RETRY_MS: u64 = 20;

/// Returns the memory, out of `room_bytes` at one server, that is given away to results
/// of about `result_bytes` each.
pub(super) fn usable_memory_bytes(room_bytes: u64, result_bytes: u64) -> u64 {
    let spare = MEMORY_RESERVE_FACTOR * (room_bytes as f64 * result_bytes as f64).sqrt();
    let usable = room_bytes.saturating_sub(spare as u64);
    usable.max(result_bytes.min(room_bytes))
}

/// How a request was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionClass {
    /// It was to be in time.
    InTime,
    /// Its goal was lost already; it is done with what the others leave.
    Late,
}

/// Pieces of taken requests that are not done.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Committed {
    in_time: usize,
    late: usize,
}

impl Committed {
    fn count_mut(&mut self, admission_class: AdmissionClass) -> &mut usize {
        match admission_class {
            AdmissionClass::InTime => &mut self.in_time,
            AdmissionClass::Late => &mut self.late,
        }
    }

    pub(super) fn add(&mut self, admission_class: AdmissionClass, pieces: usize) {
        *self.count_mut(admission_class) += pieces;
    }

    pub(super) fn remove(&mut self, admission_class: AdmissionClass, pieces: usize) {
        let count = self.count_mut(admission_class);
        *count = count.saturating_sub(pieces);
    }

    /// Returns the pieces that go before a new one, those that were taken late
    /// by `late_weight` each.
    pub(super) fn weighted_pieces(&self, late_weight: f64) -> f64 {
        self.in_time as f64 + self.late as f64 * late_weight
    }
}

/// How things stood when pieces were left waiting beside idle servers: they are
/// looked at again when anything of it changes, or after a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DispatchSnapshot {
    added: u64,
    idle_servers: usize,
    used_memory_bytes: u64,
    /// Time of the look, in ms.
    at_ms: u64,
}

/// One service and its servers.
#[derive(Debug)]
pub(super) struct StageService {
    pub(super) batching: Batching,
    pub(super) servers: BTreeMap<BackendName, Server>,
    /// What waits for them.
    pub(super) queue: Queue,
    /// How things stood when pieces were left waiting beside idle servers.
    pub(super) last_dispatch: Option<DispatchSnapshot>,
    /// Pieces of taken requests that are not done, waiting for this stage or an
    /// earlier one.
    pub(super) committed: Committed,
    /// Pieces that are part of a call.
    pub(super) running_pieces: usize,
    /// Usual time from a piece being ready to its result, in ms.
    pub(super) mean_latency_ms: f64,
}

impl StageService {
    pub(super) fn new(batching: Batching) -> Self {
        Self {
            batching,
            servers: BTreeMap::new(),
            queue: Queue::default(),
            last_dispatch: None,
            committed: Committed::default(),
            running_pieces: 0,
            mean_latency_ms: batching.duration_ms(batching.batch_pieces / 2),
        }
    }

    /// Tells whether any piece that waits may be sent now.
    pub(super) fn can_dispatch(&self, now_ms: u64) -> bool {
        if self.queue.is_empty() || self.idle_servers(now_ms) == 0 {
            return false;
        }
        self.last_dispatch.is_none_or(|last_dispatch| {
            let now = self.dispatch_snapshot(now_ms);
            let is_same = DispatchSnapshot {
                at_ms: last_dispatch.at_ms,
                ..now
            } == last_dispatch;
            !is_same || now_ms >= last_dispatch.at_ms + DISPATCH_RETRY_MS
        })
    }

    /// Notes how things stand after what could be sent was sent.
    pub(super) fn record_dispatch(&mut self, now_ms: u64) {
        self.last_dispatch = Some(self.dispatch_snapshot(now_ms));
    }

    fn dispatch_snapshot(&self, now_ms: u64) -> DispatchSnapshot {
        let servers = self.servers.values();
        DispatchSnapshot {
            added: self.queue.total_added(),
            idle_servers: self.idle_servers(now_ms),
            used_memory_bytes: servers.map(|server| server.used_memory_bytes).sum(),
            at_ms: now_ms,
        }
    }

    pub(super) fn on_piece_done(&mut self, elapsed_ms: f64) {
        self.mean_latency_ms += LATENCY_EWMA_WEIGHT * (elapsed_ms - self.mean_latency_ms);
    }

    /// Uses slow servers where there are no others: then the service is slow, and
    /// not a server of it.
    pub(super) fn use_slow_if_no_other(&mut self, now_ms: u64) {
        if self.available_servers(now_ms) > 0 {
            return;
        }
        let servers = self.servers.values_mut();
        for server in servers.filter(|server| server.is_paused_only_as_slow(now_ms)) {
            server.clear_slow_pause();
        }
    }

    /// Returns the pieces that its servers finish in a ms with full batches.
    pub(super) fn rate_per_ms(&self, now_ms: u64) -> f64 {
        let full = self.batching.batch_pieces;
        let call_ms = self.batching.duration_ms(full);
        let open = self
            .servers
            .values()
            .filter(|server| server.is_available(now_ms));
        let calls_per_ms: f64 = open.map(|server| server.calls_per_ms(call_ms)).sum();
        full as f64 * calls_per_ms
    }

    /// Returns the time in which its servers finish `pieces` with full batches, in ms; servers
    /// that back off begin once that ends. None where no server takes work by then.
    pub(super) fn drain_ms(&self, now_ms: u64, pieces: f64) -> Option<f64> {
        let full = self.batching.batch_pieces;
        let call_ms = self.batching.duration_ms(full);
        let mut rate = self.rate_per_ms(now_ms);
        let backing_off = self.backing_off(now_ms);
        let mut joining: Vec<(u64, f64)> = backing_off
            .map(|(left_ms, server)| (left_ms, full as f64 * server.calls_per_ms(call_ms)))
            .collect();
        joining.sort_by_key(|(left_ms, _)| *left_ms);
        let mut left = pieces;
        let mut at_ms = 0.0;
        for (joins_in_ms, joining_rate) in joining {
            let until_ms = joins_in_ms as f64;
            let done = rate * (until_ms - at_ms);
            if done >= left {
                break;
            }
            left -= done;
            at_ms = until_ms;
            rate += joining_rate;
        }
        (rate > 0.0).then(|| at_ms + left / rate)
    }

    /// Returns the time until a server takes work, in ms: 0 if one does now, none if all are
    /// unavailable for another reason than backoff.
    pub(super) fn available_in_ms(&self, now_ms: u64) -> Option<u64> {
        if self.available_servers(now_ms) > 0 {
            return Some(0);
        }
        self.backing_off(now_ms).map(|(left_ms, _)| left_ms).min()
    }

    /// Returns the servers that only their backoff keeps from work, and what is left of it in
    /// ms.
    fn backing_off(&self, now_ms: u64) -> impl Iterator<Item = (u64, &Server)> {
        let servers = self.servers.values();
        servers.filter_map(move |server| Some((server.backoff_left_ms(now_ms)?, server)))
    }

    /// Returns the pieces that idle rate-limited servers take now, however low their limits;
    /// keeps them probed.
    pub(super) fn immediate_pieces(&self, now_ms: u64) -> usize {
        let servers = self.servers.values();
        let limited = servers.filter(|server| server.limit_per_s.is_some());
        let ready = limited.filter(|server| server.is_idle(now_ms)).count();
        ready * self.batching.batch_pieces
    }

    /// Returns the servers that take work.
    pub(super) fn available_servers(&self, now_ms: u64) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.is_available(now_ms)).count()
    }

    /// Returns the servers that could begin a call at once.
    pub(super) fn idle_servers(&self, now_ms: u64) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.is_idle(now_ms)).count()
    }
}
