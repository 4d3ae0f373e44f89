//! Which servers a directory keeps, and updates of them for other instances.

use std::collections::BTreeSet;

use super::{Change, Directory};
use crate::{
    forwarding::{
        Cursor, Scope,
        entry::{DirectoryUpdate, SyncPoint},
    },
    ids::BackendName,
};

impl Directory {
    /// Returns the servers of which entries are kept.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// Sets of which servers entries are kept, and which of these the instance uses. If entries
    /// are missing now, the register counts as unknown until a listing of it is merged; known
    /// servers stay in use meanwhile. Returns whether anything changed.
    pub fn set_scopes(&mut self, scope: Scope, used: Scope) -> bool {
        if (scope, used) == (self.scope, self.used) {
            return false;
        }
        if !self.scope.covers(scope) {
            self.cursor = Cursor::default();
            self.changes.clear();
            self.changes_from = Cursor::default();
        }
        let outside = self.entries.keys().filter(|id| !scope.has_server(id));
        let outside: Vec<BackendName> = outside.cloned().collect();
        for registered_as in &outside {
            self.remove(registered_as);
        }
        // Other instances have merged revisions of the former scope.
        self.revision += 1;
        (self.scope, self.used) = (scope, used);
        true
    }

    /// Returns the update for a receiver that keeps the servers of `scope` and knows the register
    /// up to `known`; a complete listing if that is unknown or too old. Returns `None` if this
    /// directory does not have all these servers.
    pub fn update_for(&self, known: SyncPoint, scope: Scope) -> Option<DirectoryUpdate> {
        // Without cells, what is known so far is sent before the first listing as well.
        let is_complete = self.scope.covers(scope) && !self.cursor.is_start();
        (is_complete || scope == Scope::ALL && self.scope == Scope::ALL)
            .then(|| self.update_within(known, scope))
    }

    fn update_within(&self, known: SyncPoint, scope: Scope) -> DirectoryUpdate {
        let is_whole = match known {
            SyncPoint::Revision(since) => {
                let oldest = self.changes.front();
                let oldest = oldest.map_or(self.revision, |change| change.revision - 1);
                !(oldest..=self.revision).contains(&since)
            }
            SyncPoint::Cursor(cursor) => cursor.is_start() || cursor < self.changes_from,
        };
        if is_whole {
            let listed = self.entries.values();
            let listed = listed.filter(|entry| scope.has_server(&entry.registered_as));
            return DirectoryUpdate::Whole(listed.cloned().collect());
        }
        let is_new = |change: &&Change| match known {
            SyncPoint::Revision(since) => change.revision > since,
            SyncPoint::Cursor(known) => change.cursor.is_none_or(|cursor| cursor > known),
        };
        let changed: BTreeSet<&BackendName> = self
            .changes
            .iter()
            .filter(is_new)
            .map(|change| &change.registered_as)
            .filter(|registered_as| scope.has_server(registered_as))
            .collect();
        let changes = changed
            .into_iter()
            .map(|id| (id.clone(), self.entries.get(id).cloned()));
        DirectoryUpdate::Changes(changes.collect())
    }
}
