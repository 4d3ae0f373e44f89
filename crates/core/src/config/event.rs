//! Events and actions of a follower.

use crate::{
    config::{Applied, CheckpointPart, ConfigRecord, Head, State},
    ids::{ChangeId, Offset, OperatorName},
};

/// Content of a received record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The payload was decoded.
    Record(ConfigRecord),
    /// The payload could not be decoded.
    Undecodable,
}

/// A received record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Offset of the record.
    pub offset: Offset,
    /// Time since its append, in ms.
    pub age_ms: u64,
    /// Content of the record.
    pub content: Content,
}

/// State of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The state.
    pub state: State,
    /// Time since the peer's state was last known to be the newest, in ms.
    pub age_ms: Option<u64>,
}

/// Duties of an instance for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duties {
    /// Whether the instance reads the log for its zone.
    pub follows_log: bool,
    /// Rank for writing checkpoints, 0 for the first.
    pub checkpoint_rank: u64,
}

/// Input of a follower.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The duties changed.
    Duties(Duties),
    /// Response to [`Action::Read`].
    Read {
        /// Oldest offset that the log retains.
        first: Offset,
        /// Offset that the next append will get.
        next: Offset,
        /// Records from the requested offset on.
        records: Vec<Received>,
    },
    /// Response to [`Action::Read`]: the requested offset is no longer retained.
    Trimmed {
        /// Oldest offset that the log retains.
        first: Offset,
    },
    /// [`Action::Read`] failed.
    ReadFailed,
    /// A peer relayed the head, with or without records.
    Relayed {
        /// Head of the stream.
        head: Head,
        /// Records in order.
        records: Vec<Received>,
    },
    /// Another instance reported the next offset of its state.
    PeerOffset(Offset),
    /// Response to [`Action::QueryPeer`]; `None` if the peer sent records instead or did
    /// not respond.
    Snapshot(Option<Box<Snapshot>>),
    /// [`Action::WriteCheckpoint`] ended, successfully or not.
    CheckpointWritten,
}

/// Output of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the log and respond with exactly one of the read events.
    Read {
        /// First offset to read.
        from: Offset,
        /// Time to wait for a record, in ms.
        wait_ms: u64,
    },
    /// Relay the head and the records, if any, to the neighbours.
    Relay {
        /// Head of the stream.
        head: Head,
        /// Records in order. Parts of checkpoints contain no items.
        records: Vec<Received>,
    },
    /// Request the records from an offset on from a peer, preferably the one that
    /// reported the highest offset, or its state if it no longer retains them. Respond
    /// with [`Event::Relayed`] if there were records, and in any case with
    /// [`Event::Snapshot`].
    QueryPeer {
        /// First offset to request; `None` to request the state.
        from: Option<Offset>,
    },
    /// Append the parts one after another and respond with
    /// [`Event::CheckpointWritten`].
    WriteCheckpoint(Vec<CheckpointPart>),
    /// Log the decision on a change.
    Decided {
        /// Offset of its record.
        offset: Offset,
        /// Identifier of the change.
        id: ChangeId,
        /// Operator who confirmed it.
        operator: OperatorName,
        /// Result of applying the record.
        applied: Applied,
    },
    /// Log that a complete state was adopted.
    Adopted {
        /// Source of the state.
        source: Source,
        /// Next offset of the state.
        next: Offset,
    },
}

/// Source of a complete state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A checkpoint on the log.
    Checkpoint,
    /// A peer.
    Peer,
}

/// Counts of ignored or missing data so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IgnoredCounts {
    /// Parts and checkpoints that were invalid or incomplete.
    pub checkpoints: u64,
    /// States of peers that were not newer than this instance's state.
    pub snapshots: u64,
    /// Deliveries with missing records.
    pub gaps: u64,
    /// Records that could not be decoded.
    pub undecodable: u64,
}

/// Progress of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Next offset of the follower's state.
    pub next: Offset,
    /// Highest known next offset of the stream.
    pub known_next: Offset,
    /// Time since the follower's state was last known to be the newest, in ms; `None` if
    /// it never was.
    pub age_ms: Option<u64>,
    /// Whether the follower has a state to serve with.
    pub has_started: bool,
    /// Whether neither the log nor a checkpoint continues the follower's state.
    pub is_cut_off: bool,
}
