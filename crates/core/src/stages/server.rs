//! The state of one backend server that processes pieces.

use std::net::SocketAddr;

use crate::ids::ZoneName;

/// Initial pause of a server that rejected a call as full or had no memory, in ms: less
/// than half of a call, after which it has capacity again.
const FULL_PAUSE_MS: u64 = 100;
/// Maximum number of doublings of that pause while the server keeps rejecting calls.
/// Other schedulers are calling it then, and frequent attempts would only delay theirs.
const MAX_FULL_PAUSE_DOUBLINGS: u32 = 3;
/// Time for which the reduced memory limit of a server applies, in ms: half of the time
/// to live of results, since the results of others were there before.
const MEMORY_LIMIT_MS: u64 = 2_000;
/// Maximum time for which an unreachable server gets no calls, in ms. It is probed
/// meanwhile, and gets calls again once a connection succeeds.
const EJECTION_MS: u64 = 5_000;
/// Part of a call's duration that does not depend on the server's speed, in ms: network
/// latency and scheduling delays of both processes.
const CALL_OVERHEAD_MS: f64 = 20.0;
/// Weight of a new measurement of a server's slowness.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.5;
/// Slowness from which a server only gets trial calls: other servers finish two calls
/// while it finishes one.
const SLOW_THRESHOLD: f64 = 2.0;
/// Upper bound of one measurement. It allows a server that has recovered to be used
/// after a single trial, however slow it was before.
const MAX_MEASURED_SLOWNESS: f64 = 4.0;
/// Time between two trial calls of a slow server, in ms.
const SLOW_PAUSE_MS: u64 = 3_000;

/// What the scheduler knows about one server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) zone: ZoneName,
    pub(super) addr: SocketAddr,
    pub(super) is_excluded: bool,
    /// Running calls of this scheduler.
    pub(super) running_calls: u32,
    /// Memory used by the results of this scheduler, in bytes.
    pub(super) used_memory_bytes: u64,
    /// Reduced memory limit in bytes, and its expiry in ms. It applies while results of
    /// another scheduler, perhaps a lost one, use the rest.
    memory_limit: Option<(u64, u64)>,
    /// Consecutive calls that it rejected as full.
    consecutive_full: u32,
    /// End of its pause, in ms.
    paused_until_ms: u64,
    /// End of its backoff, in ms.
    backoff_until_ms: u64,
    /// End of its pause for slowness, in ms.
    slow_until_ms: u64,
    /// Time until which its availability zone is avoided, in ms.
    zone_avoided_until_ms: u64,
    /// Duration of its calls as a multiple of the expected duration.
    pub(super) slowness: f64,
    /// Calls a second that it accepts, if it sets a limit.
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
            running_calls: 0,
            used_memory_bytes: 0,
            memory_limit: None,
            consecutive_full: 0,
            paused_until_ms: 0,
            backoff_until_ms: 0,
            slow_until_ms: 0,
            zone_avoided_until_ms: 0,
            slowness: 1.0,
            limit_per_s: None,
            last_call_ms: None,
        }
    }

    /// Returns whether it may get calls, now or once its running call ends.
    pub(super) fn is_available(&self, now_ms: u64) -> bool {
        !self.is_excluded && now_ms >= self.available_at_ms()
    }

    /// Returns whether it can start a call now.
    pub(super) fn is_idle(&self, now_ms: u64) -> bool {
        self.is_available(now_ms) && self.running_calls == 0 && now_ms >= self.earliest_call_ms()
    }

    /// Returns the calls it completes per ms, if each takes `call_ms`.
    pub(super) fn calls_per_ms(&self, call_ms: f64) -> f64 {
        let by_time = 1.0 / (call_ms * self.slowness.max(1.0));
        let by_limit = self.limit_per_s.map(|limit_per_s| limit_per_s / 1_000.0);
        by_limit.map_or(by_time, |by_limit| by_time.min(by_limit))
    }

    /// Returns when it accepts work again, in ms, provided that it is not excluded.
    fn available_at_ms(&self) -> u64 {
        let available_at_ms = self.paused_until_ms.max(self.preferred_at_ms());
        available_at_ms.max(self.backoff_until_ms)
    }

    /// Returns when it is as good as others, in ms: neither slow nor in a zone that is avoided.
    fn preferred_at_ms(&self) -> u64 {
        self.slow_until_ms.max(self.zone_avoided_until_ms)
    }

    /// Returns the rest of its backoff, in ms, if nothing else keeps it from getting
    /// work.
    pub(super) fn backoff_left_ms(&self, now_ms: u64) -> Option<u64> {
        let is_all =
            !self.is_excluded && now_ms >= self.paused_until_ms.max(self.preferred_at_ms());
        let left_ms = self.backoff_until_ms.saturating_sub(now_ms);
        (is_all && left_ms > 0).then_some(left_ms)
    }

    /// Returns when a paused server has to be checked again, in ms.
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

    /// Returns whether nothing but its slowness or its zone keeps it from getting work.
    pub(super) fn is_only_not_preferred(&self, now_ms: u64) -> bool {
        let others_ms = self.paused_until_ms.max(self.backoff_until_ms);
        !self.is_excluded && now_ms >= others_ms && now_ms < self.preferred_at_ms()
    }

    /// Ends its pause for slowness or its zone.
    pub(super) fn clear_preference(&mut self) {
        self.slow_until_ms = 0;
        self.zone_avoided_until_ms = 0;
    }

    /// Returns whether its availability zone is avoided.
    pub(super) fn is_zone_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.zone_avoided_until_ms
    }

    /// Avoids it until `until_ms`, since its availability zone seems unreachable; 0 ends that.
    pub(super) fn avoid_zone(&mut self, until_ms: u64) {
        self.zone_avoided_until_ms = until_ms;
    }

    /// Returns the memory for results, out of `total_bytes`.
    pub(super) fn memory_bytes(&self, now_ms: u64, total_bytes: u64) -> u64 {
        match self.memory_limit {
            Some((limit_bytes, until_ms)) if now_ms < until_ms => total_bytes.min(limit_bytes),
            _ => total_bytes,
        }
    }

    /// Handles a rejected result for lack of memory: limits the memory to what this
    /// scheduler uses now, until the results of others expire.
    pub(super) fn on_memory_full(&mut self, now_ms: u64) {
        self.memory_limit = Some((self.used_memory_bytes, now_ms + MEMORY_LIMIT_MS));
        self.pause(now_ms, FULL_PAUSE_MS);
    }

    /// Handles a call that the server rejected as full.
    pub(super) fn on_full(&mut self, now_ms: u64) {
        self.pause(
            now_ms,
            FULL_PAUSE_MS << self.consecutive_full.min(MAX_FULL_PAUSE_DOUBLINGS),
        );
        self.consecutive_full += 1;
    }

    /// Records a backoff until the given time, in ms.
    pub(super) fn on_backoff(&mut self, until_ms: u64) {
        self.backoff_until_ms = self.backoff_until_ms.max(until_ms);
    }

    /// Records the start of a call.
    pub(super) fn record_call(&mut self, now_ms: u64) {
        self.last_call_ms = Some(now_ms);
    }

    /// Returns the time before which its rate limit allows no further call, in ms. It
    /// follows from this scheduler's current share of the limit.
    fn earliest_call_ms(&self) -> u64 {
        match (self.last_call_ms, self.limit_per_s) {
            (Some(last_call_ms), Some(limit_per_s)) => {
                last_call_ms + (1_000.0 / limit_per_s).ceil() as u64
            }
            _ => 0,
        }
    }

    /// Handles a call that the server accepted.
    pub(super) fn on_accepted(&mut self) {
        self.consecutive_full = 0;
    }

    fn pause(&mut self, now_ms: u64, pause_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + pause_ms);
    }

    /// Handles a failed call; the caller starts to probe the server.
    pub(super) fn on_failure(&mut self, now_ms: u64) {
        self.paused_until_ms = now_ms + EJECTION_MS;
    }

    /// Handles a successful connection.
    pub(super) fn on_reachable(&mut self) {
        self.paused_until_ms = 0;
        self.clear_preference();
    }
}
