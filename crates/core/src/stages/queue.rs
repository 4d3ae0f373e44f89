//! The pieces that wait for the servers of one service, in dispatch order.
//!
//! With 75 instances, thousands of pieces a second pass through the queues of one
//! scheduler, so no operation on one piece may scan the others.

use std::collections::BTreeMap;

use super::{request::PieceId, types::RequestKey};

/// Sort key of a piece: first the pieces that can still make their goal, by latest
/// start time, then the late ones, by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    /// Whether its request can no longer make its goal.
    pub(super) is_late: bool,
    /// Latest start time, or the deadline of a late request, in ms. The mean latency of
    /// the stage is not subtracted, as it is the same for all pieces of the queue.
    pub(super) sort_ms: u64,
    /// Arrival number of its request.
    pub(super) request_number: u64,
    /// Identifies the piece within its request.
    pub(super) piece_id: PieceId,
}

/// A piece that waits for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WaitingPiece {
    pub(super) key: RequestKey,
    pub(super) piece_id: PieceId,
    /// Time at which its inputs were complete, in ms.
    pub(super) ready_at_ms: u64,
    /// Expected size of its result, in bytes.
    pub(super) result_bytes: u64,
}

/// The waiting pieces of one service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pieces: BTreeMap<QueueKey, WaitingPiece>,
    /// Number of pieces added so far.
    total_added: u64,
}

impl Queue {
    pub(super) fn add(&mut self, queue_key: QueueKey, waiting: WaitingPiece) {
        self.total_added += 1;
        self.pieces.insert(queue_key, waiting);
    }

    pub(super) fn take(&mut self, queue_key: &QueueKey) -> Option<WaitingPiece> {
        self.pieces.remove(queue_key)
    }

    pub(super) fn clear(&mut self) {
        self.pieces.clear();
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&QueueKey, &WaitingPiece)> {
        self.pieces.iter()
    }

    pub(super) fn len(&self) -> usize {
        self.pieces.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Returns the number of pieces added so far, which changes with each addition.
    pub(super) fn total_added(&self) -> u64 {
        self.total_added
    }
}
