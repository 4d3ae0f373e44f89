//! Events and actions of the placer's state machine.

use crate::{
    ids::Offset,
    objects::Fencing,
    placer::{Holder, PlacerRecord},
};

/// Whether and when this instance may claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionRole {
    /// It follows the stream and claims after a delay that grows with its rank.
    Candidate {
        /// Rank among the candidates, from 0.
        rank: u64,
    },
    /// Enough other instances are candidates.
    Observer,
}

/// A record that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Offset of the record.
    pub offset: Offset,
    /// The record; `None` if it cannot be decoded.
    pub record: Option<PlacerRecord>,
}

/// An input event of the placer's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The role of the instance was determined.
    RoleChanged(ElectionRole),
    /// A read completed.
    Read {
        /// Offset of the next append.
        next: Offset,
        /// Records in order.
        records: Vec<Received>,
    },
    /// The requested records are no longer retained.
    Trimmed {
        /// Oldest retained offset.
        first: Offset,
    },
    /// A read failed.
    ReadFailed,
    /// An append ended, with or without a response.
    AppendEnded,
    /// An engine has seen a higher fencing number than that of this instance.
    Fenced {
        /// Number that the engine has seen.
        highest: u64,
    },
    /// The instance leaves.
    Leave,
}

/// An output action of the placer's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the stream; one read at a time.
    Read {
        /// First offset to read.
        from: Offset,
        /// Time to wait for a record, in ms.
        wait_ms: u64,
    },
    /// Append a record; one append at a time.
    Append(PlacerRecord),
    /// The holder changed; to be logged.
    Changed(Option<Holder>),
}

/// A time-limited permission to give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number of the orders.
    pub fence: u64,
    /// Time from which no order may be handed to a socket, in ms.
    pub expires_at_ms: u64,
    /// Time from which engines that ignore fencing numbers may get orders, in
    /// ms.
    pub unfenced_from_ms: u64,
}

impl Permit {
    /// Returns whether an engine may be given an order now.
    pub fn allows(&self, now_ms: u64, fencing: Fencing) -> bool {
        let has_waited = match fencing {
            Fencing::Checked => true,
            Fencing::Ignored => now_ms >= self.unfenced_from_ms,
        };
        has_waited && now_ms < self.expires_at_ms
    }
}
