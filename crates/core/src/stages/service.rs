//! One service that processes pieces: its servers and its queue.

use std::collections::BTreeMap;

use super::{queue::Queue, server::Server};
use crate::{forwarding::Batching, ids::BackendName};

/// Weight of a new measurement in the mean latency of a stage.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

/// Memory held in reserve at a server, as a share of one result, for results that are
/// larger than declared. The sum of the excess sizes grows with the square root of the
/// number of results, so the reserve is a smaller share of a larger memory. A piece
/// without memory for its result is a wasted call.
const MEMORY_RESERVE_FACTOR: f64 = 0.5;

/// Time between two attempts to dispatch pieces that wait for a server in their zone
/// while others are idle, in ms.
pub(super) const DISPATCH_RETRY_MS: u64 = 20;

/// Returns the part of a server's `room_bytes` that may be used for results of about
/// `result_bytes` each.
pub(super) fn usable_memory_bytes(memory_bytes: u64, result_bytes: u64) -> u64 {
    let reserve = MEMORY_RESERVE_FACTOR * (memory_bytes as f64 * result_bytes as f64).sqrt();
    let usable_bytes = memory_bytes.saturating_sub(reserve as u64);
    usable_bytes.max(result_bytes.min(memory_bytes))
}

/// The class in which a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionClass {
    /// It is expected to make its goal.
    InTime,
    /// It has already missed its goal and only uses capacity that the others leave.
    Late,
}

/// Unfinished pieces of admitted requests.
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

    /// Returns the pieces ahead of a new one, with those that were admitted late
    /// weighted by `late_weight`.
    pub(super) fn weighted_pieces(&self, late_weight: f64) -> f64 {
        self.in_time as f64 + self.late as f64 * late_weight
    }
}

/// The state after a dispatch that left pieces waiting while servers were idle. The
/// next attempt follows when any of it changes, or after `DISPATCH_RETRY_MS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DispatchSnapshot {
    added: u64,
    idle_servers: usize,
    used_memory_bytes: u64,
    /// Time of the dispatch, in ms.
    at_ms: u64,
}

/// One service and its servers.
#[derive(Debug)]
pub(super) struct StageService {
    pub(super) batching: Batching,
    pub(super) servers: BTreeMap<BackendName, Server>,
    /// Pieces that wait for the servers.
    pub(super) queue: Queue,
    /// The state after the last dispatch.
    pub(super) last_dispatch: Option<DispatchSnapshot>,
    /// Unfinished pieces of admitted requests, waiting for this stage or an earlier
    /// one.
    pub(super) committed: Committed,
    /// Pieces that are part of a call.
    pub(super) running_pieces: usize,
    /// Moving average of the time from a piece becoming ready to its result, in ms.
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

    /// Returns whether a waiting piece may be dispatched now.
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

    /// Records the state after a dispatch.
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

    /// Uses the slow servers and those in zones that are avoided if no other server is
    /// available: the service is slow then, rather than some of its servers.
    pub(super) fn use_any_if_no_other(&mut self, now_ms: u64) {
        if self.available_servers(now_ms) > 0 {
            return;
        }
        let servers = self.servers.values_mut();
        for server in servers.filter(|server| server.is_only_not_preferred(now_ms)) {
            server.clear_preference();
        }
    }

    /// Returns the pieces that its servers complete per ms with full batches.
    pub(super) fn rate_per_ms(&self, now_ms: u64) -> f64 {
        let batch_pieces = self.batching.batch_pieces;
        let call_ms = self.batching.duration_ms(batch_pieces);
        let available = self
            .servers
            .values()
            .filter(|server| server.is_available(now_ms));
        let calls_per_ms: f64 = available.map(|server| server.calls_per_ms(call_ms)).sum();
        batch_pieces as f64 * calls_per_ms
    }

    /// Returns the time in which its servers complete `pieces` with full batches, in
    /// ms. Servers that back off join once their backoff ends. Returns `None` if no
    /// server accepts work by then.
    pub(super) fn drain_ms(&self, now_ms: u64, pieces: f64) -> Option<f64> {
        let batch_pieces = self.batching.batch_pieces;
        let call_ms = self.batching.duration_ms(batch_pieces);
        let mut rate = self.rate_per_ms(now_ms);
        let backing_off = self.backing_off(now_ms);
        let mut joining: Vec<(u64, f64)> = backing_off
            .map(|(left_ms, server)| (left_ms, batch_pieces as f64 * server.calls_per_ms(call_ms)))
            .collect();
        joining.sort_by_key(|(left_ms, _)| *left_ms);
        let mut remaining_pieces = pieces;
        let mut at_ms = 0.0;
        for (joins_in_ms, joining_rate) in joining {
            let until_ms = joins_in_ms as f64;
            let done = rate * (until_ms - at_ms);
            if done >= remaining_pieces {
                break;
            }
            remaining_pieces -= done;
            at_ms = until_ms;
            rate += joining_rate;
        }
        (rate > 0.0).then(|| at_ms + remaining_pieces / rate)
    }

    /// Returns the time until a server accepts work, in ms: 0 if one does now, `None`
    /// if all servers are unavailable for a reason other than backoff.
    pub(super) fn available_in_ms(&self, now_ms: u64) -> Option<u64> {
        if self.available_servers(now_ms) > 0 {
            return Some(0);
        }
        self.backing_off(now_ms).map(|(left_ms, _)| left_ms).min()
    }

    /// Returns the servers that only their backoff keeps from getting work, with the
    /// rest of it in ms.
    fn backing_off(&self, now_ms: u64) -> impl Iterator<Item = (u64, &Server)> {
        let servers = self.servers.values();
        servers.filter_map(move |server| Some((server.backoff_left_ms(now_ms)?, server)))
    }

    /// Returns the pieces that idle rate-limited servers accept now, however low their
    /// limits. This makes sure that such servers are still called.
    pub(super) fn immediate_pieces(&self, now_ms: u64) -> usize {
        let servers = self.servers.values();
        let limited = servers.filter(|server| server.limit_per_s.is_some());
        let ready = limited.filter(|server| server.is_idle(now_ms)).count();
        ready * self.batching.batch_pieces
    }

    /// Returns the number of available servers.
    pub(super) fn available_servers(&self, now_ms: u64) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.is_available(now_ms)).count()
    }

    /// Returns the number of servers that can start a call now.
    pub(super) fn idle_servers(&self, now_ms: u64) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.is_idle(now_ms)).count()
    }
}
