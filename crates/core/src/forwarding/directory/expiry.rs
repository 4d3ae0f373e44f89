//! Servers whose entries the register lacks after an outage of the store.

use super::{Directory, Expiry};
use crate::{
    forwarding::{
        Cursor, Position,
        entry::{DirectoryUpdate, ExpiringServer, ServerEntry},
    },
    ids::BackendName,
};

impl Directory {
    /// Merges the first listing of the register after an outage of the store, during which
    /// entries of running servers may have expired. These servers are removed at
    /// `expires_at_ms` unless they register again. Returns whether anything changed.
    ///
    /// A store that was restored from a copy lists known entries at other positions, and may
    /// list servers that have left. So known servers stay unchanged until their next record.
    pub fn update_after_outage(
        &mut self,
        listing: Vec<ServerEntry>,
        cursor: Cursor,
        expires_at_ms: u64,
    ) -> bool {
        let before = self.revision;
        if cursor < self.cursor {
            self.merge_newer(&DirectoryUpdate::Whole(listing));
            return self.revision != before;
        }
        self.on_listed(cursor);
        let before = self.revision;
        let is_from_copy = cursor.era > self.cursor.era;
        for registered_as in self.missing_from(&listing) {
            if !self.expiring.contains_key(&registered_as) {
                let expiry = Expiry {
                    at_ms: expires_at_ms,
                    absent_before: cursor.position(),
                };
                self.expiring.insert(registered_as.clone(), expiry);
                self.record_change(&registered_as, Some(cursor));
            }
        }
        for entry in listing {
            let registered_as = entry.registered_as.clone();
            if is_from_copy && self.removed.contains(&registered_as) {
                // The copy contains an entry from before the removal.
                self.removed.insert(&registered_as, cursor.position());
            }
            let is_known = self.entries.contains_key(&registered_as);
            if !(is_from_copy && is_known) {
                self.apply(&registered_as, Some(entry), Some(cursor));
            }
        }
        self.advance_cursor(cursor);
        self.revision != before
    }

    /// Returns the expiring servers with the time until each is removed.
    pub fn expiring(&self, now_ms: u64) -> Vec<ExpiringServer> {
        let expiring = self
            .expiring
            .iter()
            .map(|(registered_as, expiry)| ExpiringServer {
                position: expiry.last_absent(),
                registered_as: registered_as.clone(),
                left_ms: expiry.at_ms.saturating_sub(now_ms),
            });
        expiring.collect()
    }

    /// Returns the servers among `asked` that the register lacks as far as it is known here, with
    /// the time until `rewrites_end_ms`, up to which they might have registered again.
    pub fn missing_among(
        &self,
        asked: &[BackendName],
        now_ms: u64,
        rewrites_end_ms: u64,
    ) -> Vec<ExpiringServer> {
        let Some(offset) = self.cursor.offset.checked_sub(1) else {
            return Vec::new();
        };
        let last_known = Position {
            offset,
            ..self.cursor.position()
        };
        let missing = asked
            .iter()
            .filter(|id| self.scope.has_server(id) && !self.entries.contains_key(*id));
        let missing = missing.map(|registered_as| ExpiringServer {
            registered_as: registered_as.clone(),
            position: last_known,
            left_ms: rewrites_end_ms.saturating_sub(now_ms),
        });
        missing.collect()
    }

    /// Returns the identifiers that the expiring servers register under.
    pub fn expiring_names(&self) -> Vec<BackendName> {
        self.expiring.keys().cloned().collect()
    }

    /// Adds the entries of `servers` to an incremental update even if they have not changed.
    pub fn include_entries(&self, update: &mut DirectoryUpdate, servers: &[BackendName]) {
        let DirectoryUpdate::Changes(changes) = update else {
            return;
        };
        for registered_as in servers {
            if let Some(entry) = self.entries.get(registered_as) {
                changes.push((registered_as.clone(), Some(entry.clone())));
            }
        }
    }

    /// Merges the expiring servers of another instance. All are removed at `rewrites_end_ms` at
    /// the latest, until which they might have registered again as far as is known here.
    pub fn on_expiring(
        &mut self,
        now_ms: u64,
        expiring: &[ExpiringServer],
        rewrites_end_ms: Option<u64>,
    ) {
        if let Some(end_ms) = rewrites_end_ms {
            for expiry in self.expiring.values_mut() {
                expiry.at_ms = expiry.at_ms.min(end_ms);
            }
        }
        for server in expiring {
            let known = self.entries.get(&server.registered_as);
            if known.is_none_or(|known| known.position > server.position) {
                continue;
            }
            let expires_at_ms = now_ms + server.left_ms;
            let expires_at_ms =
                rewrites_end_ms.map_or(expires_at_ms, |end_ms| end_ms.min(expires_at_ms));
            let expiry = self.expiring.entry(server.registered_as.clone());
            let expiry = expiry.or_insert(Expiry {
                at_ms: expires_at_ms,
                absent_before: server.position.next(),
            });
            expiry.at_ms = expires_at_ms.min(expiry.at_ms);
        }
    }

    /// Removes the servers that have not registered again in time; returns them.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<BackendName> {
        let expired = self.expiring.iter();
        let expired = expired.filter(|(_, expiry)| expiry.at_ms <= now_ms);
        let expired: Vec<BackendName> = expired.map(|(id, _)| id.clone()).collect();
        for registered_as in &expired {
            self.apply(registered_as, None, Some(self.cursor));
        }
        expired
    }
}
