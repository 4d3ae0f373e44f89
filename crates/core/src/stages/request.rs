//! The stages of one request: which pieces are completed and which can run next.

use std::collections::HashSet;

use super::{
    CallId, Submission,
    queue::QueueKey,
    service::AdmissionClass,
    types::{DonePiece, ResultRef},
};
use crate::ids::{BackendName, ZoneName};

/// Delay of the latest start time per rank, in ms: half of a call, so that among
/// requests that arrived together the more urgent ones fill the next call.
const RANK_DELAY_MS: u64 = 150;
/// Maximum delay, in ms. Ranks from the fourth on are treated alike.
pub(super) const MAX_RANK_DELAY_MS: u64 = 4 * RANK_DELAY_MS;

/// The state of one piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PieceState {
    /// Some of its inputs are missing.
    Blocked,
    /// It waits for a backend server.
    Waiting,
    /// It is part of a call.
    Running(CallId),
    /// It is completed, and a server stores its result.
    Done {
        /// Server that stores the result.
        server: BackendName,
        /// Reference to the result.
        result: ResultRef,
    },
    /// It is completed, and its result has been released.
    Freed,
}

/// Identifies one piece of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct PieceId {
    pub(super) stage: usize,
    pub(super) piece: u32,
}

/// A request and the progress of its stages.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) submission: Submission,
    /// Arrival number of the request.
    pub(super) number: u64,
    /// Time by which the response should begin, in ms.
    pub(super) goal_at_ms: u64,
    /// Time at which the caller gives up, in ms.
    pub(super) deadline_at_ms: u64,
    /// Time from the end of each stage until the response begins, in ms.
    pub(super) rest_ms: Vec<u64>,
    /// Pieces of each stage.
    pub(super) pieces: Vec<Vec<PieceState>>,
    /// Availability zone in which the results of intermediate stages are collected.
    pub(super) intermediate_zone: Option<ZoneName>,
    /// Pieces repeated after a failure.
    pub(super) repeats: u32,
    /// The class in which it was admitted.
    pub(super) admission_class: AdmissionClass,
    /// Whether it can no longer make its goal. Late requests only use capacity that the
    /// others leave.
    pub(super) is_late: bool,
    /// Whether it is handed over as soon as none of its pieces is running.
    pub(super) is_moving: bool,
    /// Whether the submitter was notified of the outcome.
    pub(super) is_finished: bool,
}

impl Request {
    pub(super) fn new(
        now_ms: u64,
        number: u64,
        submission: Submission,
        rest_ms: Vec<u64>,
        admission_class: AdmissionClass,
    ) -> Self {
        let mut pieces: Vec<Vec<PieceState>> = submission
            .stages
            .iter()
            .map(|stage| vec![PieceState::Blocked; stage.pieces as usize])
            .collect();
        for done in &submission.done {
            let stage = pieces.get_mut(done.stage);
            let piece = stage.and_then(|stage| stage.get_mut(done.piece as usize));
            if let Some(piece) = piece {
                *piece = match &done.kept {
                    Some((server, result)) => PieceState::Done {
                        server: server.clone(),
                        result: result.clone(),
                    },
                    None => PieceState::Freed,
                };
            }
        }
        Self {
            goal_at_ms: now_ms + submission.goal_left_ms,
            deadline_at_ms: now_ms + submission.deadline_left_ms,
            intermediate_zone: None,
            rest_ms,
            pieces,
            submission,
            number,
            repeats: 0,
            admission_class,
            is_moving: false,
            is_late: admission_class == AdmissionClass::Late,
            is_finished: false,
        }
    }

    /// Returns the sort key of a piece in its queue.
    pub(super) fn queue_key(&self, piece_id: PieceId) -> QueueKey {
        let rank_delay_ms = u64::from(self.submission.priority) * RANK_DELAY_MS;
        let latest_start_ms = (self.goal_at_ms + rank_delay_ms.min(MAX_RANK_DELAY_MS))
            .saturating_sub(self.rest_ms[piece_id.stage]);
        QueueKey {
            is_late: self.is_late,
            sort_ms: if self.is_late {
                self.deadline_at_ms
            } else {
                latest_start_ms
            },
            request_number: self.number,
            piece_id,
        }
    }

    /// Returns the pieces that wait for a server.
    pub(super) fn waiting_pieces(&self) -> Vec<PieceId> {
        let mut waiting = Vec::new();
        for (stage, pieces) in self.pieces.iter().enumerate() {
            for (piece, state) in pieces.iter().enumerate() {
                if *state == PieceState::Waiting {
                    let piece = piece as u32;
                    waiting.push(PieceId { stage, piece });
                }
            }
        }
        waiting
    }

    /// Marks the pieces whose inputs are complete as waiting, and returns them.
    pub(super) fn unblock(&mut self) -> Vec<PieceId> {
        let mut ready = Vec::new();
        for stage in 0..self.pieces.len() {
            if !self.has_inputs(stage) {
                continue;
            }
            for (piece, state) in self.pieces[stage].iter_mut().enumerate() {
                if *state == PieceState::Blocked {
                    *state = PieceState::Waiting;
                    let piece = piece as u32;
                    ready.push(PieceId { stage, piece });
                }
            }
        }
        ready
    }

    /// Returns whether all inputs of a stage are available.
    pub(super) fn has_inputs(&self, stage: usize) -> bool {
        let mut after = self.submission.stages[stage].after.iter();
        after.all(|needed| self.is_stage_done(*needed))
    }

    /// Returns the bytes fetched by a piece of a stage and by the dependents of its
    /// result. Each piece fetches the results of all pieces of the stages before it.
    pub(super) fn transfer_bytes(&self, stage: usize) -> u64 {
        let stages = &self.submission.stages;
        let dependents = stages.iter().filter(|other| other.after.contains(&stage));
        let dependents: u64 = dependents.map(|other| u64::from(other.pieces)).sum();
        self.input_bytes(stage) + stages[stage].result_bytes * dependents.max(1)
    }

    /// Returns the zone in which a stage should run. Running every stage in the
    /// engine's zone would cost 0.007 of the total value of a day's requests (standard
    /// error 0.004, 36 simulated days with and without it).
    pub(super) fn preferred_zone(&self, stage: usize) -> Option<&ZoneName> {
        if self.prefers_home_zone(stage) {
            self.submission.home_zone.as_ref()
        } else {
            self.intermediate_zone.as_ref()
        }
    }

    /// Returns whether a stage should run close to the engine, which fetches its
    /// results, rather than close to its inputs.
    pub(super) fn prefers_home_zone(&self, stage: usize) -> bool {
        self.is_final(stage) && self.submission.stages[stage].result_bytes > self.input_bytes(stage)
    }

    /// Returns the bytes of input that each piece of a stage fetches.
    fn input_bytes(&self, stage: usize) -> u64 {
        let stages = &self.submission.stages;
        let size = |stage: &usize| u64::from(stages[*stage].pieces) * stages[*stage].result_bytes;
        stages[stage].after.iter().map(size).sum()
    }

    pub(super) fn is_stage_done(&self, stage: usize) -> bool {
        let pieces = self.pieces.get(stage);
        pieces.is_none_or(|pieces| {
            pieces
                .iter()
                .all(|piece| matches!(piece, PieceState::Done { .. } | PieceState::Freed))
        })
    }

    /// Returns whether it is unfinished and can no longer make its goal.
    pub(super) fn has_missed_goal(&self, now_ms: u64) -> bool {
        !self.is_finished && (self.is_late || now_ms >= self.goal_at_ms)
    }

    pub(super) fn is_done(&self) -> bool {
        (0..self.pieces.len()).all(|stage| self.is_stage_done(stage))
    }

    /// Returns the number of unfinished pieces of a stage.
    pub(super) fn unfinished_pieces(&self, stage: usize) -> usize {
        self.pieces[stage]
            .iter()
            .filter(|piece| !matches!(piece, PieceState::Done { .. } | PieceState::Freed))
            .count()
    }

    pub(super) fn piece_state_mut(&mut self, piece_id: PieceId) -> Option<&mut PieceState> {
        self.pieces
            .get_mut(piece_id.stage)?
            .get_mut(piece_id.piece as usize)
    }

    pub(super) fn piece_state(&self, piece_id: PieceId) -> Option<&PieceState> {
        self.pieces
            .get(piece_id.stage)?
            .get(piece_id.piece as usize)
    }

    /// Returns the handles of the inputs of a stage, ordered by stage and piece.
    pub(super) fn inputs(&self, stage: usize) -> Vec<String> {
        let after = &self.submission.stages[stage].after;
        let results = after.iter().flat_map(|needed| self.results(*needed));
        results.map(|result| result.handle.clone()).collect()
    }

    /// Returns the size of what a call names for a piece of a stage, in bytes: its key, or the
    /// handles of its inputs, estimated by the first one of each stage.
    pub(super) fn named_bytes(&self, stage: usize) -> usize {
        let after = &self.submission.stages[stage].after;
        if after.is_empty() {
            return self.submission.piece_key.len();
        }
        let bytes_of = |needed: &usize| {
            let first = self.results(*needed).next();
            first.map_or(0, |result| result.handle.len() * self.pieces[*needed].len())
        };
        after.iter().map(bytes_of).sum()
    }

    fn results(&self, stage: usize) -> impl Iterator<Item = &ResultRef> {
        let pieces = self.pieces.get(stage).into_iter().flatten();
        pieces.filter_map(|piece| match piece {
            PieceState::Done { result, .. } => Some(result),
            _ => None,
        })
    }

    /// Returns the results that no other stage consumes.
    pub(super) fn final_results(&self) -> Vec<ResultRef> {
        (0..self.pieces.len())
            .filter(|stage| self.is_final(*stage))
            .flat_map(|stage| self.results(stage).cloned())
            .collect()
    }

    fn is_final(&self, stage: usize) -> bool {
        let mut stages = self.submission.stages.iter();
        !stages.any(|other| other.pieces > 0 && other.after.contains(&stage))
    }

    /// Removes the results that are no longer needed: those whose dependents are all
    /// completed, or all results if `all` is set.
    pub(super) fn take_unneeded(&mut self, all: bool) -> Vec<(BackendName, ResultRef)> {
        let mut removed = Vec::new();
        for stage in 0..self.pieces.len() {
            let is_unneeded = !self.is_final(stage) && self.dependents_done(stage);
            if !all && !is_unneeded {
                continue;
            }
            removed.extend(self.take_results(stage));
        }
        removed
    }

    /// Drops the references to inherited results without freeing them; their servers
    /// expire them.
    pub(super) fn disown_inherited(&mut self) {
        let done = self.submission.done.iter();
        let inherited = done.filter_map(|done| done.kept.as_ref());
        let inherited: HashSet<&str> = inherited
            .map(|(_, result)| result.handle.as_str())
            .collect();
        for piece in self.pieces.iter_mut().flatten() {
            let is_inherited = matches!(piece, PieceState::Done { result, .. }
                if inherited.contains(result.handle.as_str()));
            if is_inherited {
                *piece = PieceState::Freed;
            }
        }
    }

    /// Removes the results of a stage.
    pub(super) fn take_results(&mut self, stage: usize) -> Vec<(BackendName, ResultRef)> {
        let mut removed = Vec::new();
        for piece in &mut self.pieces[stage] {
            if let PieceState::Done { .. } = piece
                && let PieceState::Done { server, result } =
                    std::mem::replace(piece, PieceState::Freed)
            {
                removed.push((server, result));
            }
        }
        removed
    }

    /// Returns the stages that depend on a stage.
    pub(super) fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> {
        let stages = self.submission.stages.iter().enumerate();
        stages
            .filter(move |(_, other)| other.after.contains(&stage))
            .map(|(index, _)| index)
    }

    fn dependents_done(&self, stage: usize) -> bool {
        self.dependents(stage)
            .all(|dependent| self.is_stage_done(dependent))
    }

    /// Returns whether any input of a stage has been freed.
    pub(super) fn has_freed_inputs(&self, stage: usize) -> bool {
        let mut inputs = self.input_pieces(stage).into_iter();
        inputs.any(|piece_id| self.piece_state(piece_id) == Some(&PieceState::Freed))
    }

    /// Returns whether any of its pieces is running.
    pub(super) fn is_running(&self) -> bool {
        let mut pieces = self.pieces.iter().flatten();
        pieces.any(|piece| matches!(piece, PieceState::Running(_)))
    }

    /// Returns the completed pieces.
    pub(super) fn done_pieces(&self) -> Vec<DonePiece> {
        let mut done_pieces = Vec::new();
        for (stage, pieces) in self.pieces.iter().enumerate() {
            for (piece, state) in pieces.iter().enumerate() {
                let kept = match state {
                    PieceState::Done { server, result } => Some((server.clone(), result.clone())),
                    PieceState::Freed => None,
                    _ => continue,
                };
                let piece = piece as u32;
                done_pieces.push(DonePiece { stage, piece, kept });
            }
        }
        done_pieces
    }

    /// Returns the number of unfinished pieces of each stage.
    pub(super) fn unfinished_by_stage(&self) -> Vec<usize> {
        let stages = 0..self.pieces.len();
        stages.map(|stage| self.unfinished_pieces(stage)).collect()
    }

    /// Marks the inputs of a stage to be produced again: those that were freed or whose
    /// servers are gone, or else all of them. Their own inputs are produced again where
    /// they were freed. Waiting pieces that depend on any of these become blocked.
    pub(super) fn regenerate_inputs(
        &mut self,
        stage: usize,
        is_known: impl Fn(&BackendName) -> bool,
    ) {
        let inputs = self.input_pieces(stage);
        let is_lost = |piece_id: &PieceId| match self.piece_state(*piece_id) {
            Some(PieceState::Done { server, .. }) => !is_known(server),
            Some(PieceState::Freed) => true,
            _ => false,
        };
        let lost: Vec<PieceId> = inputs.iter().copied().filter(is_lost).collect();
        let mut to_repeat = if lost.is_empty() { inputs } else { lost };
        while let Some(piece_id) = to_repeat.pop() {
            let Some(piece) = self.piece_state_mut(piece_id) else {
                continue;
            };
            if !matches!(piece, PieceState::Done { .. } | PieceState::Freed) {
                continue;
            }
            *piece = PieceState::Blocked;
            let needed = self.input_pieces(piece_id.stage).into_iter();
            to_repeat.extend(
                needed.filter(|needed| self.piece_state(*needed) == Some(&PieceState::Freed)),
            );
        }
        for stage in 0..self.pieces.len() {
            if self.has_inputs(stage) {
                continue;
            }
            for piece in &mut self.pieces[stage] {
                if *piece == PieceState::Waiting {
                    *piece = PieceState::Blocked;
                }
            }
        }
    }

    /// Returns the pieces whose results a stage needs.
    fn input_pieces(&self, stage: usize) -> Vec<PieceId> {
        let after = &self.submission.stages[stage].after;
        let pieces = after.iter().flat_map(|stage| {
            let count = self.pieces[*stage].len() as u32;
            (0..count).map(|piece| PieceId {
                stage: *stage,
                piece,
            })
        });
        pieces.collect()
    }
}
