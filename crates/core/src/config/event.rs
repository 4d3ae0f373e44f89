//! What happens to a follower, and what it wants done.

use crate::{
    config::{Applied, CheckpointPart, ConfigRecord, Head, State},
    ids::{ChangeId, Offset, OperatorName},
};

/// Content of a record as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The payload was decoded.
    Record(ConfigRecord),
    /// The payload could not be decoded.
    Undecodable,
}

/// A record of the stream with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Offset of the record.
    pub offset: Offset,
    /// Time since its append, in ms.
    pub age_ms: u64,
    /// What it carries.
    pub content: Content,
}

/// A peer's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The state.
    pub state: State,
    /// Time since the peer knew that it was the newest, in ms.
    pub age_ms: Option<u64>,
}

/// What an instance has to do for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duties {
    /// Whether it follows the log for its zone.
    pub follows_log: bool,
    /// Its rank for writing checkpoints, 0 for the first.
    pub checkpoint_rank: u64,
}

/// What happens to a follower.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The duties changed.
    Duties(Duties),
    /// Answer to [`Action::Read`].
    Read {
        /// Oldest offset that the log keeps.
        first: Offset,
        /// Offset that the next append will get.
        next: Offset,
        /// Records from the asked offset on.
        records: Vec<Received>,
    },
    /// Answer to [`Action::Read`]: the asked offset is no longer kept.
    Trimmed {
        /// Oldest offset that the log keeps.
        first: Offset,
    },
    /// [`Action::Read`] failed.
    ReadFailed,
    /// A peer passed on the head, with records or without.
    Relayed {
        /// Head of the stream.
        head: Head,
        /// Records in order.
        records: Vec<Received>,
    },
    /// Another instance reported its state's next offset.
    PeerOffset(Offset),
    /// Answer to [`Action::QueryPeer`]; `None` when records came, or nothing.
    Snapshot(Option<Box<Snapshot>>),
    /// [`Action::WriteCheckpoint`] ended, whether it failed or not.
    CheckpointWritten,
}

/// What a follower wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the log and answer with exactly one of the read events.
    Read {
        /// First offset wanted.
        from: Offset,
        /// Time to wait for a record, in ms.
        wait_ms: u64,
    },
    /// Pass the head, and the records if any, to the neighbours.
    Relay {
        /// Head of the stream.
        head: Head,
        /// Records in order; parts of checkpoints come without items.
        records: Vec<Received>,
    },
    /// Ask a peer, best the one that reported the highest offset, for the
    /// records from an offset on, or for its state when it keeps them no more.
    /// Answer with [`Event::Relayed`] if there were records, and in any case
    /// with [`Event::Snapshot`].
    QueryPeer {
        /// First offset wanted; `None` to ask for the state at once.
        from: Option<Offset>,
    },
    /// Append the parts one after another and answer with
    /// [`Event::CheckpointWritten`].
    WriteCheckpoint(Vec<CheckpointPart>),
    /// Log how a change was decided.
    Decided {
        /// Offset of its record.
        offset: Offset,
        /// Identifier of the change.
        id: ChangeId,
        /// Operator who confirmed it.
        operator: OperatorName,
        /// What was done.
        applied: Applied,
    },
    /// Log that the state was taken over whole.
    Adopted {
        /// Where it came from.
        source: Source,
        /// Its next offset.
        next: Offset,
    },
}

/// Where a whole state came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A checkpoint on the log.
    Checkpoint,
    /// A peer.
    Peer,
}

/// What was ignored or missing so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IgnoredCounts {
    /// Parts and checkpoints that were wrong or incomplete.
    pub checkpoints: u64,
    /// States of peers that were not newer than the own one.
    pub snapshots: u64,
    /// Times that records were missing in a delivery.
    pub gaps: u64,
    /// Records that could not be decoded.
    pub undecodable: u64,
}

/// How far a follower is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Next offset of the own state.
    pub next: Offset,
    /// Highest next offset known of.
    pub known_next: Offset,
    /// Time since the own state was known to be the newest, in ms; `None`
    /// before it ever was.
    pub age_ms: Option<u64>,
    /// Whether it has a state to serve by.
    pub has_started: bool,
    /// Whether neither log nor checkpoint reaches the own state.
    pub is_cut_off: bool,
}
