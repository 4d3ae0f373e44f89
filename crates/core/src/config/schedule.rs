//! Schedule of the checkpoints written by an instance.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::{config::CheckpointPart, ids::Offset};

/// Divisor of the retention time that gives the age at which a checkpoint is renewed.
const RENEWAL_DIVISOR: u64 = 3;
/// Divisor of the retention time that gives the additional wait of each rank.
const RANK_DIVISOR: u64 = 60;
/// Maximum additional wait of each rank, in ms.
const MAX_RANK_STEP_MS: u64 = 30_000;
/// Rank from which on all ranks wait equally long.
const LAST_RANK: u64 = 8;
/// Maximum number of checkpoints whose parts are counted at the same time.
const MAX_PARTIAL_CHECKPOINTS: usize = 4;

/// Decides when this instance writes a checkpoint, according to its rank.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    retention_ms: u64,
    /// Covered offset and write time of the newest complete checkpoint, in ms.
    newest: Option<(Offset, i64)>,
    /// Time since which there are records or a state that no checkpoint covers, in ms.
    uncovered_since_ms: Option<i64>,
    /// Time since which the log is known to retain no usable checkpoint, in ms.
    lost_since_ms: Option<i64>,
    rank: u64,
    jitter_ms: u64,
    not_before_ms: u64,
    is_writing: bool,
    partial_checkpoints: BTreeMap<(Offset, String), BTreeSet<u32>>,
}

impl Schedule {
    /// Creates a schedule without any known checkpoint.
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
            partial_checkpoints: BTreeMap::new(),
        };
        schedule.draw_jitter(rng);
        schedule
    }

    /// Sets the rank of this instance, 0 for the first.
    pub(crate) fn set_rank(&mut self, rank: u64) {
        self.rank = rank.min(LAST_RANK);
    }

    /// Notes that the state includes a record written at `at_ms`.
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

    /// Counts a part without items. Once all parts are counted, the checkpoint counts as
    /// complete. Instances that read the log verify the parts.
    pub(crate) fn count_part(&mut self, part: &CheckpointPart, at_ms: i64, rng: &mut Pcg64Mcg) {
        let id = (part.covers, part.digest.clone());
        let received_parts = self.partial_checkpoints.entry(id.clone()).or_default();
        received_parts.insert(part.index);
        if received_parts.len() == part.count as usize {
            self.partial_checkpoints.remove(&id);
            self.note_complete(part.covers, at_ms, rng);
        }
        while self.partial_checkpoints.len() > MAX_PARTIAL_CHECKPOINTS {
            self.partial_checkpoints.pop_first();
        }
    }

    /// Returns whether to write a checkpoint now. If so, the caller must write it.
    pub(crate) fn try_start_write(&mut self, now_ms: u64, first_retained: Offset) -> bool {
        let is_due = !self.is_writing
            && now_ms >= self.not_before_ms
            && self
                .due_ms(now_ms, first_retained)
                .is_some_and(|due_ms| now_ms.cast_signed() >= due_ms);
        self.is_writing |= is_due;
        is_due
    }

    /// Notes that the write ended. Unless the checkpoint is then read back, another write
    /// follows after a pause.
    pub(crate) fn finish_write(&mut self, now_ms: u64) {
        self.is_writing = false;
        self.not_before_ms = now_ms + 2 * self.rank_step_ms();
    }

    fn due_ms(&mut self, now_ms: u64, first_retained: Offset) -> Option<i64> {
        let wait_ms = self.rank * self.rank_step_ms() + self.jitter_ms;
        let renewal_ms = (self.retention_ms / RENEWAL_DIVISOR).cast_signed();
        let base_ms = match self.newest {
            Some((covers, at_ms)) if covers >= first_retained => at_ms + renewal_ms,
            None if first_retained == Offset::default() => self.uncovered_since_ms? + renewal_ms,
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
