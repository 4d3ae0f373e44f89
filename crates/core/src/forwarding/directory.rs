//! Directory of the registered backend servers.

mod copying;
mod expiry;
mod updates;
mod used;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    net::SocketAddr,
};

pub use copying::{CopySource, PeerUpdate};

use super::{
    Cursor, Position, Scope,
    entry::{DirectoryUpdate, ServerEntry, ServerState},
    removed_servers::RemovedServers,
};
use crate::{
    ids::{BackendName, PoolName, ZoneName},
    poison::{Registered, sample_evenly},
};

/// One change of a directory.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    /// Cursor of the register after the change; none for a change that is not in the register,
    /// such as a departure announced in a response, which is sent to all instances.
    cursor: Option<Cursor>,
    registered_as: BackendName,
}

/// When a server that the register lacks is removed unless it registers again.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    at_ms: u64,
    /// Position before which the register has no entry of the server any more.
    absent_before: Position,
}

impl Expiry {
    /// Returns the last position at which the register is known to lack the server.
    fn last_absent(self) -> Position {
        Position {
            offset: self.absent_before.offset.saturating_sub(1),
            ..self.absent_before
        }
    }
}

/// The registered servers, each with its current run.
#[derive(Debug, Default)]
pub struct Directory {
    /// Entries by the identifier that the server registers under.
    entries: BTreeMap<BackendName, ServerEntry>,
    /// Identifier that the server of each run registers under.
    runs: HashMap<BackendName, BackendName>,
    /// Servers of which entries are kept.
    scope: Scope,
    /// Servers that the instance uses; `scope` covers them.
    used: Scope,
    /// Cursor up to which the register is known, as far as `scope` goes.
    cursor: Cursor,
    /// Availability zones that the operator has taken out of service.
    evacuated: BTreeSet<ZoneName>,
    /// Servers that the register lacks after an outage of the store.
    expiring: BTreeMap<BackendName, Expiry>,
    /// Removed servers with the position of the removal; earlier entries are ignored.
    removed: RemovedServers,
    /// Number of changes so far.
    revision: u64,
    /// Recent changes in order.
    changes: VecDeque<Change>,
    /// Cursor from which `changes` is complete. Instances that know the register only up to an
    /// earlier cursor may know servers that this directory never had.
    changes_from: Cursor,
    /// Runs that have left; later entries of them don't make them available again.
    departed: HashSet<BackendName>,
    /// The same runs in the order of their departure.
    departure_order: VecDeque<BackendName>,
}

/// Most tracked departed runs in a directory of few servers: an hour at one departure per
/// second. In a larger one, as many as there are servers.
const MAX_DEPARTED: usize = 4_096;
/// Most changes retained for incremental updates in a directory of few servers; in a larger
/// one, as many as there are servers.
const MAX_CHANGES: usize = 4_096;

impl Directory {
    /// Returns the number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the cursor up to which the register is known.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Records that the register is known up to `cursor`.
    pub fn advance_cursor(&mut self, cursor: Cursor) {
        self.cursor = self.cursor.max(cursor);
    }

    /// Tells whether no server is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the current runs, ordered by the identifier that they register under.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.entries.values()
    }

    /// Returns the run with this identifier, if it is its server's current one.
    pub fn entry(&self, id: &BackendName) -> Option<&ServerEntry> {
        self.entries.get(self.runs.get(id)?)
    }

    /// Returns the availability zone of the server that is registered at `addr`.
    pub fn zone_at(&self, addr: SocketAddr) -> Option<&ZoneName> {
        self.entry_at(addr).map(|entry| &entry.zone)
    }

    /// Returns the service of the server that is registered at `addr`.
    pub fn service_at(&self, addr: SocketAddr) -> Option<&PoolName> {
        self.entry_at(addr).map(|entry| &entry.service)
    }

    /// Returns whether the server that is registered at `addr` gets new requests.
    pub fn is_open_at(&self, addr: SocketAddr) -> bool {
        self.entry_at(addr)
            .is_some_and(|entry| !self.is_closed(entry))
    }

    fn entry_at(&self, addr: SocketAddr) -> Option<&ServerEntry> {
        self.entries.values().find(|entry| entry.addr == addr)
    }

    /// Returns the state in the register of the run `entry`, which was registered before.
    pub fn registered(&self, entry: &ServerEntry) -> Registered {
        if self.departed.contains(&entry.id) {
            return Registered::Leaving;
        }
        match self.entries.get(&entry.registered_as) {
            None => Registered::Gone,
            Some(current) if current.id != entry.id => Registered::Replaced,
            Some(current) if current.state == ServerState::Leaving => Registered::Leaving,
            Some(_) => Registered::Ready,
        }
    }

    /// Returns an even sample of up to `max` other ready servers in the availability zone of
    /// `entry`, of any service.
    pub fn same_zone_servers(&self, entry: &ServerEntry, max: usize) -> Vec<&ServerEntry> {
        let entries = self.entries.values();
        let others = entries.filter(|other| {
            other.zone == entry.zone && other.id != entry.id && other.state == ServerState::Ready
        });
        sample_evenly(others, max)
    }

    /// Applies the register record at `at`: the entry of a server, or none for its removal. With
    /// it, the register is known up to `cursor`. Returns whether anything changed.
    pub fn apply_record(
        &mut self,
        registered_as: &BackendName,
        entry: Option<ServerEntry>,
        at: Position,
        cursor: Cursor,
    ) -> bool {
        let has_changed = match entry {
            Some(entry) => self.apply(registered_as, Some(entry), Some(cursor)),
            None if !self.scope.has_server(registered_as) => false,
            None => self.remove_at(registered_as, at, cursor),
        };
        self.advance_cursor(cursor);
        has_changed
    }

    /// Applies the entry of a server, or its removal, from a source that knows the register up to
    /// `cursor`. Returns whether anything changed.
    fn apply(
        &mut self,
        registered_as: &BackendName,
        entry: Option<ServerEntry>,
        cursor: Option<Cursor>,
    ) -> bool {
        if !self.scope.has_server(registered_as) {
            return false;
        }
        let Some(entry) = entry else {
            let cursor = cursor.unwrap_or(self.cursor);
            return self.remove_at(registered_as, cursor.position(), cursor);
        };
        // A source that knows the register up to `cursor` may know single records beyond it.
        let after = Cursor {
            era: entry.position.era,
            offset: entry.position.next().offset,
            ..self.cursor
        };
        let cursor = cursor.map(|cursor| cursor.max(after));
        let has_changed = self.put(entry);
        if has_changed {
            self.record_change(registered_as, cursor);
        }
        has_changed
    }

    fn remove_at(&mut self, registered_as: &BackendName, at: Position, cursor: Cursor) -> bool {
        let known = self.entries.get(registered_as);
        if known.is_some_and(|known| known.position >= at) {
            // The server has registered again since.
            return false;
        }
        let is_news = self.removed.insert(registered_as, at);
        let has_changed = self.remove(registered_as);
        // Instances that get updates from this one may know an entry that it never had.
        if has_changed || is_news {
            self.record_change(registered_as, Some(cursor));
        }
        has_changed
    }

    fn remove(&mut self, registered_as: &BackendName) -> bool {
        self.expiring.remove(registered_as);
        let removed = self.entries.remove(registered_as);
        if let Some(entry) = &removed {
            self.runs.remove(&entry.id);
        }
        removed.is_some()
    }

    fn put(&mut self, mut entry: ServerEntry) -> bool {
        if self.removed.was_removed_after(&entry) {
            return false;
        }
        let known = self.entries.get(&entry.registered_as);
        let mut is_renewed = false;
        if let Some(known) = known {
            if entry.position < known.position {
                return false;
            }
            let expiry = self.expiring.get(&entry.registered_as);
            if expiry.is_some_and(|expiry| entry.position < expiry.absent_before) {
                // Another instance has not learnt yet that the register lacks it.
                return false;
            }
            if entry.position > known.position {
                // Other instances have to learn that it no longer expires.
                is_renewed = self.expiring.remove(&entry.registered_as).is_some();
            }
            if entry.started_ms.is_none() {
                // Without a start time, it counts as the same run.
                entry.id = known.id.clone();
                entry.started_ms = known.started_ms;
            }
        }
        if self.departed.contains(&entry.id) {
            entry.state = ServerState::Leaving;
        }
        let has_changed =
            is_renewed || known.is_none_or(|known| !known.equals_ignoring_position(&entry));
        if let Some(known) = known {
            self.runs.remove(&known.id);
        }
        let run = entry.id.clone();
        let is_leaving = entry.state == ServerState::Leaving;
        self.runs.insert(run.clone(), entry.registered_as.clone());
        self.entries.insert(entry.registered_as.clone(), entry);
        if is_leaving {
            self.record_departure(&run);
        }
        has_changed
    }

    /// Records that a run has left. If there are too many, evicts the earliest one that is no
    /// longer registered.
    fn record_departure(&mut self, run: &BackendName) {
        if !self.departed.insert(run.clone()) {
            return;
        }
        self.departure_order.push_back(run.clone());
        if self.departure_order.len() <= MAX_DEPARTED.max(self.entries.len()) {
            return;
        }
        let mut order = self.departure_order.iter();
        let first = order.position(|run| !self.runs.contains_key(run));
        let evicted = self.departure_order.remove(first.unwrap_or_default());
        if let Some(run) = evicted {
            self.departed.remove(&run);
        }
    }

    fn record_change(&mut self, registered_as: &BackendName, cursor: Option<Cursor>) {
        self.revision += 1;
        self.changes.push_back(Change {
            revision: self.revision,
            cursor,
            registered_as: registered_as.clone(),
        });
        if self.changes.len() <= MAX_CHANGES.max(self.entries.len()) {
            return;
        }
        let dropped = self.changes.pop_front();
        // Departures announced in responses have no cursor; other instances learn them from
        // responses of the server as well.
        if let Some(cursor) = dropped.and_then(|change| change.cursor) {
            self.changes_from = self.changes_from.max(cursor);
        }
    }

    /// Records that a run announced in a response that it is leaving, which is final. Returns
    /// whether that is new for a registered run.
    pub fn on_leaving(&mut self, id: &BackendName) -> bool {
        // Its entry may have expired and may be registered again.
        self.record_departure(id);
        let Some(registered_as) = self.runs.get(id).cloned() else {
            return false;
        };
        let entry = self.entries.get_mut(&registered_as);
        let Some(entry) = entry.filter(|entry| entry.state == ServerState::Ready) else {
            return false;
        };
        entry.state = ServerState::Leaving;
        self.record_change(&registered_as, None);
        true
    }

    /// Replaces all entries by a complete listing.
    fn replace(&mut self, listing: Vec<ServerEntry>, cursor: Cursor) {
        for registered_as in self.missing_from(&listing) {
            // An expiring server is removed only at its deadline.
            if !self.expiring.contains_key(&registered_as) {
                self.apply(&registered_as, None, Some(cursor));
            }
        }
        for entry in listing {
            let registered_as = entry.registered_as.clone();
            self.apply(&registered_as, Some(entry), Some(cursor));
        }
    }

    /// Returns the servers that `listing` lacks, by the identifier that they register under.
    fn missing_from(&self, listing: &[ServerEntry]) -> Vec<BackendName> {
        let listed: HashSet<&BackendName> =
            listing.iter().map(|entry| &entry.registered_as).collect();
        let missing = self.entries.keys().filter(|id| !listed.contains(id));
        missing.cloned().collect()
    }

    /// Applies an update by the register, or by an instance that knows it up to `cursor`. Returns
    /// whether anything changed.
    pub fn update_to(&mut self, update: DirectoryUpdate, cursor: Cursor) -> bool {
        let mut before = self.revision;
        self.merge_leaving(&update);
        if cursor < self.cursor {
            self.merge_newer(&update);
            return self.revision != before;
        }
        match update {
            DirectoryUpdate::Whole(listing) => {
                if cursor > self.cursor {
                    self.on_listed(cursor);
                    before += 1;
                }
                if self.cursor.is_start() {
                    // Instances that merged an earlier revision may have entries that neither
                    // the listing nor this directory has.
                    self.changes.clear();
                    self.revision += 1;
                }
                self.replace(listing, cursor);
            }
            DirectoryUpdate::Changes(changes) => {
                for (registered_as, entry) in changes {
                    self.apply(&registered_as, entry, Some(cursor));
                }
            }
        }
        self.advance_cursor(cursor);
        self.revision != before
    }

    /// Records that the register was listed up to `cursor`. The listing omits servers that came
    /// and left since the last cursor, so that other instances have to compare theirs with it even
    /// if nothing changes here.
    fn on_listed(&mut self, cursor: Cursor) {
        self.changes_from = cursor;
        self.revision += 1;
    }

    /// Records leaving runs from entries at any position, since a departure is final.
    fn merge_leaving(&mut self, update: &DirectoryUpdate) {
        for entry in update.entries() {
            if entry.state == ServerState::Leaving {
                self.on_leaving(&entry.id);
            }
        }
    }

    /// Merges the entries that are newer than the known ones, from a source that knows less of
    /// the register. After an outage, such a source may still wait before it removes servers
    /// and know newer entries of the others.
    fn merge_newer(&mut self, update: &DirectoryUpdate) {
        for entry in update.entries() {
            let known = self.entries.get(&entry.registered_as);
            let known_to = known.map_or(self.cursor.position(), |known| known.position);
            if entry.position >= known_to {
                let newer = Some(entry.clone());
                self.apply(&entry.registered_as, newer, Some(Cursor::default()));
            }
        }
    }
}
