//! One backend server that takes pieces.

use std::net::SocketAddr;

use crate::ids::ZoneName;

/// Time for which a server that had no room is left alone at first, in ms: less than
/// half of a call, after which it has room again.
const FULL_PAUSE_MS: u64 = 100;
/// Doublings of that time while it goes on: then others call it, and whoever asks it
/// all the time only takes its turn from them.
const MAX_FULL_PAUSE_DOUBLINGS: u32 = 3;
/// Time for which a server counts as partly filled with results of others, in
/// ms: half of the time after which servers drop them, since they were there
/// before.
const MEMORY_LIMIT_MS: u64 = 2_000;
/// Time for which a server that can't be reached is left alone at most, in ms: it
/// is probed meanwhile, and gets pieces again once a connection can be made.
const EJECTION_MS: u64 = 5_000;
/// Time of a call beside its work that says nothing of the server's speed, in ms:
/// the way there and back, and a turn of either process.
const CALL_OVERHEAD_MS: f64 = 20.0;
/// How much a new measure of a server's speed counts.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.5;
/// Slowness from which a server gets pieces only to see whether it is well
/// again: others finish two calls while it finishes one.
const SLOW_THRESHOLD: f64 = 2.0;
/// Most that one call counts for: a server that is well again after one that took
/// very long is used after one trial.
const MAX_MEASURED_SLOWNESS: f64 = 4.0;
/// Time between two calls of a slow server, in ms.
const SLOW_PAUSE_MS: u64 = 3_000;

/// What is known of one server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) zone: ZoneName,
    pub(super) addr: SocketAddr,
    pub(super) is_excluded: bool,
    /// Calls of this scheduler that it has.
    pub(super) calls: u32,
    /// Memory that results of this scheduler take there, in bytes.
    pub(super) used_memory_bytes: u64,
    /// Memory that they may take until a time in ms, since results of others
    /// take the rest: those of a scheduler that was lost, or of another one.
    memory_limit: Option<(u64, u64)>,
    /// Calls in a row that it did not take.
    consecutive_full: u32,
    /// Time until which it gets nothing, in ms.
    paused_until_ms: u64,
    /// End of its backoff, in ms.
    backoff_until_ms: u64,
    /// Time until which it gets nothing as it is slow, in ms.
    slow_until_ms: u64,
    /// Time that its calls take, as a multiple of what is usual.
    pub(super) slowness: f64,
    /// Calls a second that it takes, if it names a limit.
    pub(super) limit_per_s: Option<f64>,
    /// Time of its last call, in ms.
    last_call_ms: Option<u64>,
}

impl Server {
    pub(super) fn new(zone: ZoneName, addr: SocketAddr) -> Self {
        Self {
            zone,
            addr,
            is_excluded: false,
            calls: 0,
            used_memory_bytes: 0,
            memory_limit: None,
            consecutive_full: 0,
            paused_until_ms: 0,
            backoff_until_ms: 0,
            slow_until_ms: 0,
            slowness: 1.0,
            limit_per_s: None,
            last_call_ms: None,
        }
    }

    /// Tells whether it takes work at all.
    pub(super) fn is_available(&self, now_ms: u64) -> bool {
        !self.is_excluded && now_ms >= self.available_at_ms()
    }

    /// Tells whether it can begin a call at once.
    pub(super) fn is_idle(&self, now_ms: u64) -> bool {
        self.is_available(now_ms) && self.calls == 0 && now_ms >= self.earliest_call_ms()
    }

    /// Returns the calls that it takes in a ms, where each takes `call_ms`.
    pub(super) fn calls_per_ms(&self, call_ms: f64) -> f64 {
        let by_time = 1.0 / (call_ms * self.slowness.max(1.0));
        let by_limit = self.limit_per_s.map(|limit_per_s| limit_per_s / 1_000.0);
        by_limit.map_or(by_time, |by_limit| by_time.min(by_limit))
    }

    /// Returns when it takes work again, in ms, while it is registered and not leaving.
    fn available_at_ms(&self) -> u64 {
        let available_at_ms = self.paused_until_ms.max(self.slow_until_ms);
        available_at_ms.max(self.backoff_until_ms)
    }

    /// Returns the rest of its backoff, in ms, if that is all that keeps work from it.
    pub(super) fn backoff_left_ms(&self, now_ms: u64) -> Option<u64> {
        let is_all = !self.is_excluded && now_ms >= self.paused_until_ms.max(self.slow_until_ms);
        let left_ms = self.backoff_until_ms.saturating_sub(now_ms);
        (is_all && left_ms > 0).then_some(left_ms)
    }

    /// Returns when it is to be looked at again, if it is paused, in ms.
    pub(super) fn paused_until_ms(&self, now_ms: u64) -> Option<u64> {
        let until_ms = self.available_at_ms().max(self.earliest_call_ms());
        (!self.is_excluded && until_ms > now_ms).then_some(until_ms)
    }

    pub(super) fn record_latency(&mut self, now_ms: u64, elapsed_ms: f64, expected_ms: f64) {
        let measured = (elapsed_ms - CALL_OVERHEAD_MS).max(0.0) / expected_ms.max(1.0);
        let measured = measured.min(MAX_MEASURED_SLOWNESS);
        self.slowness += SLOWNESS_EWMA_WEIGHT * (measured - self.slowness);
        if self.slowness >= SLOW_THRESHOLD {
            self.slow_until_ms = now_ms + SLOW_PAUSE_MS;
        }
    }

    /// Tells whether only its slowness keeps work from it.
    pub(super) fn is_paused_only_as_slow(&self, now_ms: u64) -> bool {
        let others_ms = self.paused_until_ms.max(self.backoff_until_ms);
        !self.is_excluded && now_ms >= others_ms && now_ms < self.slow_until_ms
    }

    /// Has it take work although it is slow.
    pub(super) fn clear_slow_pause(&mut self) {
        self.slow_until_ms = 0;
    }

    /// Returns the memory that results may take there, out of `all`, in bytes.
    pub(super) fn memory_bytes(&self, now_ms: u64, total_bytes: u64) -> u64 {
        match self.memory_limit {
            Some((limit_bytes, until_ms)) if now_ms < until_ms => total_bytes.min(limit_bytes),
            _ => total_bytes,
        }
    }

    /// Notes that it had no memory for a result: what this scheduler has there
    /// now is all that fits, until the results of others are dropped.
    pub(super) fn on_memory_full(&mut self, now_ms: u64) {
        self.memory_limit = Some((self.used_memory_bytes, now_ms + MEMORY_LIMIT_MS));
        self.pause(now_ms, FULL_PAUSE_MS);
    }

    /// Notes that it did not take a call.
    pub(super) fn on_full(&mut self, now_ms: u64) {
        self.pause(
            now_ms,
            FULL_PAUSE_MS << self.consecutive_full.min(MAX_FULL_PAUSE_DOUBLINGS),
        );
        self.consecutive_full += 1;
    }

    /// Notes that it backs off until a time, in ms.
    pub(super) fn on_backoff(&mut self, until_ms: u64) {
        self.backoff_until_ms = self.backoff_until_ms.max(until_ms);
    }

    /// Notes a call of it.
    pub(super) fn record_call(&mut self, now_ms: u64) {
        self.last_call_ms = Some(now_ms);
    }

    /// Returns the time before which its limit allows no further call, in ms, by the part
    /// of it that this scheduler uses now.
    fn earliest_call_ms(&self) -> u64 {
        match (self.last_call_ms, self.limit_per_s) {
            (Some(last_call_ms), Some(limit_per_s)) => {
                last_call_ms + (1_000.0 / limit_per_s).ceil() as u64
            }
            _ => 0,
        }
    }

    /// Notes that it took a call.
    pub(super) fn on_accepted(&mut self) {
        self.consecutive_full = 0;
    }

    fn pause(&mut self, now_ms: u64, pause_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + pause_ms);
    }

    /// Notes that it can't be reached; it is to be probed.
    pub(super) fn on_failure(&mut self, now_ms: u64) {
        self.paused_until_ms = now_ms + EJECTION_MS;
    }

    /// Notes that a connection to it could be made.
    pub(super) fn on_reachable(&mut self) {
        self.paused_until_ms = 0;
        self.slow_until_ms = 0;
    }
}
