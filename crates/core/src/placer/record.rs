//! Records of the placer's stream.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceName, Offset};

/// A record of the stream `placer`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlacerRecord {
    /// A candidate stands up; valid only at the offset that it expects.
    Claim {
        /// Offset that the record must have got.
        expected: Offset,
        /// Instance that claims.
        instance: InstanceName,
        /// Its run.
        incarnation: Incarnation,
        /// Number of the append, unique within the run.
        seq: u64,
    },
    /// The holder is alive; valid only in its own term.
    Renewal {
        /// Offset of the claim that it renews.
        term: Offset,
        /// Instance that holds it.
        instance: InstanceName,
        /// Its run.
        incarnation: Incarnation,
        /// Number of the append, unique within the run.
        seq: u64,
    },
    /// The holder leaves and has given its last order.
    Resignation {
        /// Offset of the claim that it gives up.
        term: Offset,
        /// Run of the holder.
        incarnation: Incarnation,
    },
}

impl PlacerRecord {
    /// Returns the run that wrote the record.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Claim { incarnation, .. }
            | Self::Renewal { incarnation, .. }
            | Self::Resignation { incarnation, .. } => *incarnation,
        }
    }

    /// Returns the number of the append; 0 for a resignation.
    pub(crate) fn seq(&self) -> u64 {
        match self {
            Self::Claim { seq, .. } | Self::Renewal { seq, .. } => *seq,
            Self::Resignation { .. } => 0,
        }
    }
}
