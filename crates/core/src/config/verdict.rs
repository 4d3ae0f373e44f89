//! Decisions on records, which are the same on every instance.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{
    config::Violation,
    ids::{ChangeId, Offset, OperatorName},
    objects::ObjectKey,
};

quick_error! {
    /// Reason why a record is not valid.
    #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum InvalidReason {
        /// The payload could not be decoded.
        Undecodable {
            display("the payload can't be decoded")
        }
        /// The identifier is not the digest of the content.
        IdMismatch {
            display("the identifier is not the digest of base, operator and steps")
        }
        /// The change does not fit a record.
        TooLarge {
            display("the change does not fit a record")
        }
        /// The operator's name is not valid.
        BadOperator {
            display("the operator's name is not valid")
        }
        /// The base is higher than the offset of the record.
        BaseAhead {
            display("the base is higher than the offset of the record")
        }
        /// Two steps touch the same object.
        DuplicateStep(key: ObjectKey) {
            display("{}: more than one step touches it", key)
        }
        /// A step removes an object that does not exist.
        UnknownRemoved(key: ObjectKey) {
            display("{}: to be removed, but not configured", key)
        }
        /// The result would not be a valid configuration.
        Rule(violation: Violation) {
            display("{}", violation)
        }
    }
}

/// Decision on a change, which is the same on every instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The change is in force.
    InForce,
    /// Objects that it touches were changed at or after its base.
    Conflict {
        /// The first of these objects, limited in number.
        touched: Vec<ObjectKey>,
    },
    /// The change or its result is not valid.
    Invalid {
        /// The first reasons, limited in number.
        reasons: Vec<InvalidReason>,
    },
    /// The base is older than the offsets that the state retains.
    TooOld,
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::InForce => f.write_str("in force"),
            Self::Conflict { touched } => {
                f.write_str("rejected, changed since the plan was made: ")?;
                write_list(f, touched)
            }
            Self::Invalid { reasons } => {
                f.write_str("rejected, not valid: ")?;
                write_list(f, reasons)
            }
            Self::TooOld => f.write_str("rejected, the plan is too old"),
        }
    }
}

fn write_list<T: std::fmt::Display>(
    f: &mut std::fmt::Formatter<'_>,
    items: &[T],
) -> std::fmt::Result {
    for (index, item) in items.iter().enumerate() {
        let separator = if index == 0 { "" } else { "; " };
        write!(f, "{separator}{item}")?;
    }
    Ok(())
}

/// Result of [`State::apply`](crate::config::State::apply).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change is in force.
    InForce,
    /// The change was decided before, and the record has no effect.
    Repeat {
        /// Offset at which it was decided.
        first: Offset,
    },
    /// Rejected: objects that it touches were changed at or after its base.
    Conflict {
        /// The first of these objects, limited in number.
        touched: Vec<ObjectKey>,
    },
    /// Rejected: the record or its result is not valid.
    Invalid {
        /// The first reasons, limited in number.
        reasons: Vec<InvalidReason>,
    },
    /// Rejected: the base is older than the offsets that the state retains.
    TooOld,
    /// A part of a checkpoint, not the last one.
    CheckpointPart,
    /// The last part of a checkpoint.
    Checkpoint,
    /// Not applied: records before it are missing.
    Gap {
        /// Next offset to apply.
        expected: Offset,
    },
    /// Not applied: the state already covers this offset.
    Old,
}

impl From<Verdict> for Applied {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::InForce => Self::InForce,
            Verdict::Conflict { touched } => Self::Conflict { touched },
            Verdict::Invalid { reasons } => Self::Invalid { reasons },
            Verdict::TooOld => Self::TooOld,
        }
    }
}

/// A decided change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Offset of the record.
    pub offset: Offset,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Operator who confirmed it.
    pub operator: OperatorName,
    /// Decision on the change.
    pub verdict: Verdict,
}
