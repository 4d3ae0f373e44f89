//! When an instance writes a checkpoint.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::{config::CheckpointPart, ids::Offset};

/// Part of the retention after which a checkpoint is renewed.
const RENEWAL_DIVISOR: u64 = 3;
/// Part of the retention by which each rank waits longer than the one before.
const RANK_DIVISOR: u64 = 60;
/// Longest wait of one rank, in ms.
const MAX_RANK_STEP_MS: u64 = 30_000;
/// Rank from which on all wait equally long.
const LAST_RANK: u64 = 8;
/// Most checkpoints whose parts are counted at the same time.
const MAX_COUNTED: usize = 4;

/// Decides when the own rank's turn for a checkpoint has come.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    retention_ms: u64,
    /// Newest complete checkpoint: what it covers and when it was written.
    newest: Option<(Offset, i64)>,
    /// Since when there are records, or a state, that no checkpoint covers.
    uncovered_since_ms: Option<i64>,
    /// Since when the log has been known to keep no usable checkpoint.
    lost_since_ms: Option<i64>,
    rank: u64,
    jitter_ms: u64,
    not_before_ms: u64,
    is_writing: bool,
    counted: BTreeMap<(Offset, String), BTreeSet<u32>>,
}

impl Schedule {
    /// Starts without any checkpoint.
    pub(crate) fn new(retention_ms: u64, rng: &mut Pcg64Mcg) -> Self {
        let mut schedule = Self {
            retention_ms,
            newest: None,
            uncovered_since_ms: None,
            lost_since_ms: None,
            rank: LAST_RANK,
            jitter_ms: 0,
            not_before_ms: 0,
            is_writing: false,
            counted: BTreeMap::new(),
        };
        schedule.draw_jitter(rng);
        schedule
    }

    /// Sets the own rank, 0 for the first.
    pub(crate) fn set_rank(&mut self, rank: u64) {
        self.rank = rank.min(LAST_RANK);
    }

    /// Notes that the state holds something written at `at_ms`.
    pub(crate) fn note_content(&mut self, at_ms: i64) {
        self.uncovered_since_ms.get_or_insert(at_ms);
    }

    /// Notes a complete checkpoint written at `at_ms`.
    pub(crate) fn note_complete(&mut self, covers: Offset, at_ms: i64, rng: &mut Pcg64Mcg) {
        if self.newest.is_some_and(|(newest, _)| newest > covers) {
            return;
        }
        self.newest = Some((covers, at_ms));
        self.lost_since_ms = None;
        self.draw_jitter(rng);
    }

    /// Counts a part that came without its items; all parts together count as
    /// a complete checkpoint. Instances that read the log verify them.
    pub(crate) fn count_part(&mut self, part: &CheckpointPart, at_ms: i64, rng: &mut Pcg64Mcg) {
        let id = (part.covers, part.digest.clone());
        let seen = self.counted.entry(id.clone()).or_default();
        seen.insert(part.index);
        if seen.len() == part.count as usize {
            self.counted.remove(&id);
            self.note_complete(part.covers, at_ms, rng);
        }
        while self.counted.len() > MAX_COUNTED {
            self.counted.pop_first();
        }
    }

    /// Tells whether to write a checkpoint now; the caller then does.
    pub(crate) fn take_turn(&mut self, now_ms: u64, first_kept: Offset) -> bool {
        let is_due = !self.is_writing
            && now_ms >= self.not_before_ms
            && self
                .due_ms(now_ms, first_kept)
                .is_some_and(|due_ms| now_ms.cast_signed() >= due_ms);
        self.is_writing |= is_due;
        is_due
    }

    /// Notes that the write ended; unless the checkpoint is then read back,
    /// another follows after a pause.
    pub(crate) fn finish_write(&mut self, now_ms: u64) {
        self.is_writing = false;
        self.not_before_ms = now_ms + 2 * self.rank_step_ms();
    }

    fn due_ms(&mut self, now_ms: u64, first_kept: Offset) -> Option<i64> {
        let wait_ms = self.rank * self.rank_step_ms() + self.jitter_ms;
        let renewal_ms = (self.retention_ms / RENEWAL_DIVISOR).cast_signed();
        let base_ms = match self.newest {
            Some((covers, at_ms)) if covers >= first_kept => at_ms + renewal_ms,
            None if first_kept == Offset::default() => self.uncovered_since_ms? + renewal_ms,
            None | Some(_) => *self.lost_since_ms.get_or_insert(now_ms.cast_signed()),
        };
        Some(base_ms.saturating_add_unsigned(wait_ms))
    }

    fn rank_step_ms(&self) -> u64 {
        (self.retention_ms / RANK_DIVISOR).clamp(1, MAX_RANK_STEP_MS)
    }

    fn draw_jitter(&mut self, rng: &mut Pcg64Mcg) {
        self.jitter_ms = rng.random_range(0..=self.rank_step_ms() / 2);
    }
}
