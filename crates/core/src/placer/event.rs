//! What happens to the placer's state machine and what follows from it.

use crate::{
    ids::Offset,
    objects::Fencing,
    placer::{Holder, PlacerRecord},
};

/// Whether and when this instance may claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It follows the stream and claims when its turn has come; 0 is the first.
    Candidate {
        /// Rank among the candidates.
        rank: u64,
    },
    /// Enough others are candidates.
    Bystander,
}

/// A record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Offset of the record.
    pub offset: Offset,
    /// The record, unless it can't be decoded.
    pub record: Option<PlacerRecord>,
}

/// What happens to the placer's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The standing was looked up.
    Standing(Standing),
    /// A read was answered.
    Read {
        /// Offset that the next append will get.
        next: Offset,
        /// Records in order.
        records: Vec<Received>,
    },
    /// The records asked for are no longer kept.
    Trimmed {
        /// Oldest offset that is kept.
        first: Offset,
    },
    /// A read was not answered.
    ReadFailed,
    /// An append ended, with an answer or without.
    AppendEnded,
    /// An engine has seen a higher fencing number than the own.
    Fenced {
        /// Number that the engine has seen.
        highest: u64,
    },
    /// The instance leaves.
    Leave,
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the stream; one read at a time.
    Read {
        /// First offset wanted.
        from: Offset,
        /// Time to wait for a record, in ms.
        wait_ms: u64,
    },
    /// Append a record; one append at a time.
    Append(PlacerRecord),
    /// The holder changed; for the log.
    Changed(Option<Holder>),
}

/// Leave to give orders, until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number of the orders.
    pub fence: u64,
    /// Time after which no order may be handed to a socket.
    pub expires_at_ms: u64,
    /// Time from which engines that ignore the number may get orders.
    pub unfenced_from_ms: u64,
}

impl Permit {
    /// Tells whether an engine may be given an order now.
    pub fn allows(&self, now_ms: u64, fencing: Fencing) -> bool {
        let has_waited = match fencing {
            Fencing::Checked => true,
            Fencing::Ignored => now_ms >= self.unfenced_from_ms,
        };
        has_waited && now_ms < self.expires_at_ms
    }
}
