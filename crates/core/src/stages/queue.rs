//! The pieces that wait for the servers of one service, in the order in which
//! they are to be sent.
//!
//! With 75 instances some thousand pieces a second pass through the queues of
//! one scheduler, so adding, taking and finding a piece must not look at the
//! others.

use std::collections::BTreeMap;

use super::{request::PieceId, types::RequestKey};

/// Where a piece stands in its queue: those that can still make their goal by
/// the latest time at which they have to begin, then the others by their
/// deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    /// Whether its request can't make its goal any more.
    pub(super) is_late: bool,
    /// That time, or the deadline of a late one, in ms; the usual time of the
    /// stage, which all pieces of the queue share, is not taken off.
    pub(super) sort_ms: u64,
    /// Number of its request.
    pub(super) request_number: u64,
    /// Which piece it is.
    pub(super) piece_id: PieceId,
}

/// A piece that waits for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WaitingPiece {
    pub(super) key: RequestKey,
    pub(super) piece_id: PieceId,
    /// Time at which it became ready, in ms.
    pub(super) ready_at_ms: u64,
    /// Size of its result, in bytes.
    pub(super) result_bytes: u64,
}

/// The waiting pieces of one service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pieces: BTreeMap<QueueKey, WaitingPiece>,
    /// Pieces that were ever added.
    total_added: u64,
}

impl Queue {
    pub(super) fn add(&mut self, key: QueueKey, waiting: WaitingPiece) {
        self.total_added += 1;
        self.pieces.insert(key, waiting);
    }

    pub(super) fn take(&mut self, key: &QueueKey) -> Option<WaitingPiece> {
        self.pieces.remove(key)
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

    /// Returns a number that is another one after each piece that is added.
    pub(super) fn total_added(&self) -> u64 {
        self.total_added
    }
}
