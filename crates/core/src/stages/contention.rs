//! Tells whether what calls take is the servers' own doing: not while other
//! schedulers may call them too, or after this process stood still.
//!
//! The load that it answers: all instances come back at once after a loss of
//! power, or the scheduler is replaced. For a second or two several schedule, and
//! a call takes twice its time behind those of the others. Servers that were
//! taken for slow then got nothing for 3 s more.

/// Time for which a scheduler that has begun, or met a full server, is not sure
/// to be the only one, in ms: the next one is found within 1 s, and a call that
/// the last one began then is over after one more.
const CONTENTION_MS: u64 = 2_000;
/// Time without a request after which a scheduler begins anew, in ms.
const IDLE_RESET_MS: u64 = 1_000;

/// When other schedulers may have called last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contention {
    last_submission_ms: Option<u64>,
    contended_until_ms: u64,
}

impl Contention {
    /// Notes a request that was submitted.
    pub(super) fn on_submission(&mut self, now_ms: u64) {
        let last_ms = self.last_submission_ms.replace(now_ms);
        if last_ms.is_none_or(|last_ms| now_ms > last_ms + IDLE_RESET_MS) {
            self.contended_until_ms = now_ms + CONTENTION_MS;
        }
    }

    /// Notes a sign that others schedule, or have: a server that took no call
    /// although this scheduler has no other one there, or a time in which this
    /// process stood still, so that the calls that it had say nothing of their
    /// servers.
    pub(super) fn on_contention_sign(&mut self, now_ms: u64) {
        self.contended_until_ms = now_ms + CONTENTION_MS;
    }

    /// Tells whether what calls take is the servers' own doing.
    pub(super) fn is_sole_scheduler(&self, now_ms: u64) -> bool {
        now_ms >= self.contended_until_ms
    }
}
