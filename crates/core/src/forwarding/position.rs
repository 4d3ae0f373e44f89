//! Positions in the topics of the store, and how far a topic is known.
//!
//! The load that this answers: the store is lost for a moment and comes back from a copy
//! some seconds old. What was written since is gone, and its offsets are given out again
//! with other records, so that an offset alone says nothing. The store counts how often
//! that has happened; each count is an era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a record in a topic of the store. A record of a later era is later, also
/// at a lower offset.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the store in which its offset was given out.
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

/// How far a topic is known. A later cursor knows more.
///
/// Within an era, one that knew more of the topic before the store came back from its copy
/// knows more than one that has only read the copy: it remembers what the copy lacks, and
/// what the copy still has although it is over.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Cursor {
    /// Era of the store.
    pub era: u64,
    /// Offset up to which the topic was known in the era before, plus one; 0 where it was
    /// not known then.
    pub before: u64,
    /// Offset of the first record that is not known.
    pub offset: u64,
}

impl Cursor {
    /// Tells whether nothing is known.
    pub fn is_start(self) -> bool {
        self == Self::default()
    }

    /// Returns the position of the first record that is not known.
    pub fn position(self) -> Position {
        Position {
            era: self.era,
            offset: self.offset,
        }
    }

    /// Tells whether one with this cursor knows the topic from a copy of the store, where one
    /// that knows it up to `known` may remember more of the time before: what it says is
    /// weighed against that, as the copy itself is.
    pub fn is_less_complete_copy_than(self, known: Self) -> bool {
        let is_later = self.era > known.era && !known.is_start();
        let remembers_as_much =
            self.era == known.era + 1 && known.before == 0 && self.before >= known.as_before();
        is_later && !remembers_as_much
    }

    /// Returns the cursor of one that knows the topic so far in a later era than `known`, up
    /// to which it knew it before.
    pub fn continued_from(self, known: Self) -> Self {
        Self {
            before: known.as_before(),
            ..self
        }
    }

    /// Returns what this cursor is in the era after it.
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
                // What was known of the eras between is nothing.
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
