//! Records of the stream `placer`.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceName, Offset};

/// A record of the stream `placer`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlacerRecord {
    /// A candidate claims a new term; valid only at the expected offset.
    Claim {
        /// Offset at which the record is valid.
        expected: Offset,
        /// Instance that claims the term.
        instance: InstanceName,
        /// Run of that instance.
        incarnation: Incarnation,
        /// Number of the append, unique within the run.
        seq: u64,
    },
    /// The holder renews its term; valid only while that term is in force.
    Renewal {
        /// Offset of the renewed claim.
        term: Offset,
        /// Instance that holds the term.
        instance: InstanceName,
        /// Run of that instance.
        incarnation: Incarnation,
        /// Number of the append, unique within the run.
        seq: u64,
    },
    /// The holder leaves after its last order.
    Resignation {
        /// Offset of the claim that is given up.
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
