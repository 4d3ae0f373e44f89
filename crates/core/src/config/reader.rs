//! Read position of a follower in the log, and the time of its next read.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::ids::Offset;

/// Initial and maximum pause after a failed read, in ms.
pub(super) const READ_RETRY_MS: (u64, u64) = (100, 1_000);
/// Pause after a scan that found no checkpoint, in ms.
const RESCAN_MS: u64 = 500;

/// Limits exchanges to one at a time, with a pause before the next one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExchangeSlot {
    is_busy: bool,
    not_before_ms: u64,
}

impl ExchangeSlot {
    /// Starts an exchange if none is in progress and the pause is over. Returns whether
    /// it was started.
    pub(super) fn try_start(&mut self, now_ms: u64) -> bool {
        let is_free = !self.is_busy && now_ms >= self.not_before_ms;
        self.is_busy |= is_free;
        is_free
    }

    /// Ends the exchange. The next one may start at `not_before_ms`.
    pub(super) fn finish(&mut self, not_before_ms: u64) {
        self.is_busy = false;
        self.not_before_ms = not_before_ms;
    }
}

/// Read position in the log and the state of its reads.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reader {
    /// Limits reads to one at a time.
    pub(super) slot: ExchangeSlot,
    /// Next offset to read, which is above the state's next offset during the scan for a
    /// checkpoint.
    pub(super) cursor: Offset,
    /// First offset that the log is known to retain.
    pub(super) first_retained: Offset,
    /// Consecutive failed reads.
    pub(super) failures: u32,
    /// Whether all retained records were read without finding one that continues the
    /// state.
    pub(super) is_stuck: bool,
}

impl Reader {
    /// Handles a response of the log, which retains records from `first` on.
    pub(super) fn on_response(&mut self, now_ms: u64, first: Offset) {
        self.slot.finish(now_ms);
        self.failures = 0;
        self.first_retained = self.first_retained.max(first);
    }

    /// Handles a failed read. Pauses grow with each failure.
    pub(super) fn on_failure(&mut self, now_ms: u64, rng: &mut Pcg64Mcg) {
        let (first_ms, max_ms) = READ_RETRY_MS;
        let pause_ms = (first_ms << self.failures.min(8)).min(max_ms);
        let jitter_ms = rng.random_range(0..=pause_ms / 2);
        self.failures += 1;
        self.slot.finish(now_ms + pause_ms / 2 + jitter_ms);
    }

    /// Ends a read after which the state is at `own_next` and the log at `next`. Returns
    /// whether the state includes all records of the log.
    pub(super) fn finish(&mut self, now_ms: u64, own_next: Offset, next: Offset) -> bool {
        if own_next >= self.first_retained {
            self.cursor = own_next;
            self.is_stuck = false;
            return own_next >= next;
        }
        if self.cursor >= next {
            self.is_stuck = true;
            self.cursor = self.first_retained;
            self.slot.finish(now_ms + RESCAN_MS);
        }
        false
    }
}
