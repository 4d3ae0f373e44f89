//! Positions of records in the topics of the store, and cursors up to which a topic is known.
//!
//! The store may fail and be restored from a copy that is some seconds old. Later writes are lost,
//! and their offsets are assigned again to other records, so that an offset alone does not
//! identify a record. The store counts these restores; each count is an era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a record in a topic of the store. A record of a later era is later even if its
/// offset is lower.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the store in which the offset was assigned.
    pub era: u64,
    /// Offset of the record.
    pub offset: u64,
}

impl Position {
    /// Returns the position after this one.
    pub fn next(self) -> Self {
        Self {
            offset: self.offset + 1,
            ..self
        }
    }
}

/// Cursor up to which a topic is known. A greater cursor stands for more knowledge.
///
/// Within an era, an instance that had read more of the topic before the restore knows more than
/// one that has only read the copy: it knows the records that the copy lacks, and which records
/// of the copy are obsolete.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Cursor {
    /// Era of the store.
    pub era: u64,
    /// Offset up to which the topic was known in the previous era, plus one; 0 if it was not
    /// known then.
    pub before: u64,
    /// Offset of the first unknown record.
    pub offset: u64,
}

impl Cursor {
    /// Tells whether nothing is known.
    pub fn is_start(self) -> bool {
        self == Self::default()
    }

    /// Returns the position of the first unknown record.
    pub fn position(self) -> Position {
        Position {
            era: self.era,
            offset: self.offset,
        }
    }

    /// Tells whether this cursor is from a later era than `known`, and `known` may stand for
    /// knowledge of the earlier era that this cursor lacks. State at this cursor must then be
    /// merged like the copy itself instead of replacing the state at `known`.
    pub fn is_less_complete_copy_than(self, known: Self) -> bool {
        let is_later = self.era > known.era && !known.is_start();
        let knows_as_much =
            self.era == known.era + 1 && known.before == 0 && self.before >= known.as_before();
        is_later && !knows_as_much
    }

    /// Returns this cursor for an instance that knew the topic up to `known` in an earlier era.
    pub fn continued_from(self, known: Self) -> Self {
        Self {
            before: known.as_before(),
            ..self
        }
    }

    /// Returns the value of `before` that represents this cursor in the next era.
    fn as_before(self) -> u64 {
        if self.is_start() { 0 } else { self.offset + 1 }
    }

    /// Returns the cursor after a read in `era` up to `offset`.
    pub fn advanced_to(self, era: u64, offset: u64) -> Self {
        Self {
            era,
            before: match era.saturating_sub(self.era) {
                0 => self.before,
                1 => self.as_before(),
                // Nothing is known of the eras in between.
                _ => u64::from(!self.is_start()),
            },
            offset,
        }
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}
