//! Updates of a directory that come from another instance.

use super::Directory;
use crate::{
    forwarding::{Cursor, DirectoryUpdate, Scope},
    ids::Incarnation,
};

/// Where an instance has copied its servers from last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopySource {
    /// Run whose directory was copied.
    pub incarnation: Incarnation,
    /// Revision of that directory.
    pub revision: u64,
    /// Cursor up to which that run knew the register.
    pub cursor: Cursor,
    /// Servers that were copied.
    pub scope: Scope,
}

impl CopySource {
    /// Tells whether the changes since this copy suffice to update `directory`. Otherwise the
    /// directory may hold servers from elsewhere that the source never had, and whose removal is
    /// in none of its changes.
    pub fn is_basis_of(&self, directory: &Directory) -> bool {
        self.scope == directory.scope()
            && !directory.cursor().is_start()
            && !directory.knows_beyond(self.cursor)
    }
}

/// An update from another instance.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// The servers.
    pub servers: DirectoryUpdate,
    /// Cursor up to which the sender knows the register.
    pub cursor: Cursor,
    /// Cursor from which on the sender has all changes of the register.
    pub changes_from: Cursor,
    /// Cursor from which on changes were requested: that of the receiver, or that of the sender
    /// when it was copied before.
    pub since: Cursor,
}

impl Directory {
    /// Returns the cursor from which on all changes of the register are known.
    pub fn changes_from(&self) -> Cursor {
        self.changes_from
    }

    /// Tells whether this directory has records of the register at `cursor` or later.
    pub fn knows_beyond(&self, cursor: Cursor) -> bool {
        let end = cursor.position();
        self.cursor.position() > end || self.entries().any(|entry| entry.position >= end)
    }

    /// Tells whether an update has all that the sender knows beyond this directory. Changes lack
    /// the servers that came and left before a listing that the sender has read since.
    pub fn is_covered_by(&self, update: &PeerUpdate) -> bool {
        match update.servers {
            DirectoryUpdate::Whole(_) => true,
            DirectoryUpdate::Changes(_) => {
                update.changes_from <= update.since || !self.knows_beyond(update.since)
            }
        }
    }

    /// Records that the changes that were merged with an update from another instance are complete
    /// only as far as there. `known` is the cursor before the update.
    pub fn on_copied_changes(&mut self, known: Cursor, changes_from: Cursor) {
        if changes_from > known {
            self.changes_from = self.changes_from.max(changes_from);
        }
    }
}
