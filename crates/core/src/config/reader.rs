//! Where a follower stands in the log, and when it reads on.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::ids::Offset;

/// First and longest pause after a failed read, in ms.
pub(super) const READ_RETRY_MS: (u64, u64) = (100, 1_000);
/// Pause after a scan that found no checkpoint, in ms.
const RESCAN_MS: u64 = 500;

/// One exchange at a time, with a pause before the next one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slot {
    is_busy: bool,
    not_before_ms: u64,
}

impl Slot {
    /// Begins an exchange when none is under way and the pause is over.
    pub(super) fn take(&mut self, now_ms: u64) -> bool {
        let is_free = !self.is_busy && now_ms >= self.not_before_ms;
        self.is_busy |= is_free;
        is_free
    }

    /// Ends the exchange; the next one may begin at `not_before_ms`.
    pub(super) fn release(&mut self, not_before_ms: u64) {
        self.is_busy = false;
        self.not_before_ms = not_before_ms;
    }
}

/// How far the log was read, and when it is read next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reader {
    /// The read under way, one at a time.
    pub(super) slot: Slot,
    /// Offset to read next; above the state's while a checkpoint is looked for.
    pub(super) cursor: Offset,
    /// First offset that the log is known to keep.
    pub(super) first_kept: Offset,
    /// Failed reads in a row.
    pub(super) failures: u32,
    /// Whether all that the log keeps was read and nothing led on.
    pub(super) is_stuck: bool,
}

impl Reader {
    /// Takes that the log answered and keeps records from `first` on.
    pub(super) fn on_answer(&mut self, now_ms: u64, first: Offset) {
        self.slot.release(now_ms);
        self.failures = 0;
        self.first_kept = self.first_kept.max(first);
    }

    /// Takes that a read failed; pauses grow with each failure.
    pub(super) fn on_failure(&mut self, now_ms: u64, rng: &mut Pcg64Mcg) {
        let (first_ms, longest_ms) = READ_RETRY_MS;
        let pause_ms = (first_ms << self.failures.min(8)).min(longest_ms);
        let jitter_ms = rng.random_range(0..=pause_ms / 2);
        self.failures += 1;
        self.slot.release(now_ms + pause_ms / 2 + jitter_ms);
    }

    /// Ends a read after which the own state is at `own_next` and the log at
    /// `next`. Returns whether the own state is all that the log has.
    pub(super) fn finish(&mut self, now_ms: u64, own_next: Offset, next: Offset) -> bool {
        if own_next >= self.first_kept {
            self.cursor = own_next;
            self.is_stuck = false;
            return own_next >= next;
        }
        if self.cursor >= next {
            self.is_stuck = true;
            self.cursor = self.first_kept;
            self.slot.release(now_ms + RESCAN_MS);
        }
        false
    }
}
