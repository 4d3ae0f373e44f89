//! Detects whether the duration of calls reflects the speed of the servers. It does not
//! while other schedulers may call them too, or after this process has stalled.
//!
//! After a power loss all instances restart at once, and after a failover the old
//! scheduler's calls still run. For a second or two several instances schedule, and
//! each call takes twice as long behind those of the others. Servers that were then
//! classified as slow got no calls for another 3 s.

/// Time after its start, or after a server was full, for which a scheduler assumes that
/// others exist, in ms: all instances find the new scheduler within 1 s, and a call that
/// the previous one started until then ends within another second.
const CONTENTION_MS: u64 = 2_000;
/// Time without a submission after which a scheduler counts as newly started, in ms.
const IDLE_RESET_MS: u64 = 1_000;

/// Tracks when other schedulers may have been active.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contention {
    last_submission_ms: Option<u64>,
    contended_until_ms: u64,
}

impl Contention {
    /// Records a submitted request.
    pub(super) fn on_submission(&mut self, now_ms: u64) {
        let last_ms = self.last_submission_ms.replace(now_ms);
        if last_ms.is_none_or(|last_ms| now_ms > last_ms + IDLE_RESET_MS) {
            self.contended_until_ms = now_ms + CONTENTION_MS;
        }
    }

    /// Records a sign of contention: a server that rejected a call as full although
    /// this scheduler has no other call there, or a stall of this process, after which
    /// the durations of its running calls are meaningless.
    pub(super) fn on_contention_sign(&mut self, now_ms: u64) {
        self.contended_until_ms = now_ms + CONTENTION_MS;
    }

    /// Returns whether the duration of calls reflects the speed of the servers.
    pub(super) fn is_sole_scheduler(&self, now_ms: u64) -> bool {
        now_ms >= self.contended_until_ms
    }
}
