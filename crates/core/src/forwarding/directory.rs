//! The backend servers that have registered themselves.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use super::{
    Cursor, Position, RoutingConfig, Service,
    entry::{DirectoryUpdate, ExpiringServer, ServerEntry, ServerState, SyncPoint},
    removed_servers::RemovedServers,
};
use crate::{
    ids::{BackendName, PoolName, ZoneName},
    objects::{Backend, Fencing, Pool, StageKind},
    poison::{Registered, sample_evenly},
};

/// Calls that a server takes where its service says nothing of it.
const DEFAULT_SLOTS: u32 = 1;

/// One change of a directory.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    /// How far the register was known after it; none for one that the register does not
    /// have, such as what a server said in an answer, which is told to everybody.
    cursor: Option<Cursor>,
    registered_as: BackendName,
}

/// The servers that are registered, each with its current run.
#[derive(Debug, Default)]
pub struct Directory {
    /// By what they are registered as.
    entries: BTreeMap<BackendName, ServerEntry>,
    /// What the server of each run is registered as.
    runs: HashMap<BackendName, BackendName>,
    /// How far the register is known.
    cursor: Cursor,
    /// Availability zones that the operator has taken out of service.
    evacuated: BTreeSet<ZoneName>,
    /// Servers that the register lacks after an outage of the store, with the time in ms at
    /// which they count as gone unless they have written themselves again.
    lapsing: BTreeMap<BackendName, u64>,
    /// Servers that are gone, and since when: an entry from before does not bring them back.
    removed: RemovedServers,
    /// Number of changes that were made to it.
    revision: u64,
    /// What changed lately, in order.
    changes: VecDeque<Change>,
    /// Cursor from which `changes` has every change: one that knows the register up to an
    /// earlier one may know servers of which this directory was never told.
    changes_from: Cursor,
    /// Runs that have left; an entry that was already on its way does not bring
    /// them back.
    left: HashSet<BackendName>,
    /// The same, the latest last.
    left_order: VecDeque<BackendName>,
}

/// Most runs that are remembered as having left: an hour of one leaving each second.
const MOST_LEFT: usize = 4_096;
/// Changes that are remembered, so that others can be told them alone: one of each of
/// twice the servers of the largest fleet that is planned for.
const MOST_CHANGES: usize = 4_096;

impl Directory {
    /// Returns the number of changes that were made to it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how far the register is known.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Notes that the register is known up to `cursor`.
    pub fn advance_cursor(&mut self, cursor: Cursor) {
        self.cursor = self.cursor.max(cursor);
    }

    /// Tells whether it has no server.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the current runs, in the order of what they are registered as.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.entries.values()
    }

    /// Returns a run by its identifier, if it is its server's current one.
    pub fn entry(&self, id: &BackendName) -> Option<&ServerEntry> {
        self.entries.get(self.runs.get(id)?)
    }

    /// Returns what the register says of the run `entry`, which it had.
    pub fn registered(&self, entry: &ServerEntry) -> Registered {
        if self.left.contains(&entry.id) {
            return Registered::Leaving;
        }
        match self.entries.get(&entry.registered_as) {
            None => Registered::Gone,
            Some(current) if current.id != entry.id => Registered::Replaced,
            Some(current) if current.state == ServerState::Leaving => Registered::Leaving,
            Some(_) => Registered::Ready,
        }
    }

    /// Returns up to `most` other servers of the availability zone of `entry` that take
    /// work, of any service, spread over all that there are.
    pub fn same_zone_servers(&self, entry: &ServerEntry, most: usize) -> Vec<&ServerEntry> {
        let entries = self.entries.values();
        let neighbours = entries.filter(|other| {
            other.zone == entry.zone && other.id != entry.id && other.state == ServerState::Ready
        });
        sample_evenly(neighbours, most)
    }

    /// Applies one record of the register at `at`: what a server says of itself, or none
    /// once it is gone. The register is known up to `cursor` with it. Returns whether
    /// anything changed.
    pub fn apply_record(
        &mut self,
        registered_as: &BackendName,
        entry: Option<ServerEntry>,
        at: Position,
        cursor: Cursor,
    ) -> bool {
        let has_changed = match entry {
            Some(entry) => self.apply(registered_as, Some(entry), Some(cursor)),
            None => self.remove_at(registered_as, at, cursor),
        };
        self.advance_cursor(cursor);
        has_changed
    }

    /// Applies what a server says of itself, or none once it is gone, as one knows it that
    /// knows the register up to `cursor`. Returns whether anything changed.
    fn apply(
        &mut self,
        registered_as: &BackendName,
        entry: Option<ServerEntry>,
        cursor: Option<Cursor>,
    ) -> bool {
        let Some(entry) = entry else {
            let cursor = cursor.unwrap_or(self.cursor);
            return self.remove_at(registered_as, cursor.position(), cursor);
        };
        // Who knows the register up to `cursor` may know single records beyond it.
        let after = Cursor {
            era: entry.position.era,
            offset: entry.position.next().offset,
            ..self.cursor
        };
        let cursor = cursor.map(|cursor| cursor.max(after));
        let has_changed = self.put(entry);
        if has_changed {
            self.note_change(registered_as, cursor);
        }
        has_changed
    }

    fn remove_at(&mut self, registered_as: &BackendName, at: Position, cursor: Cursor) -> bool {
        let known = self.entries.get(registered_as);
        if known.is_some_and(|known| known.position >= at) {
            // It has written itself since.
            return false;
        }
        self.removed.insert(registered_as, at);
        let has_changed = self.remove(registered_as);
        if has_changed {
            self.note_change(registered_as, Some(cursor));
        }
        has_changed
    }

    fn remove(&mut self, registered_as: &BackendName) -> bool {
        self.lapsing.remove(registered_as);
        let removed = self.entries.remove(registered_as);
        if let Some(entry) = &removed {
            self.runs.remove(&entry.id);
        }
        removed.is_some()
    }

    fn put(&mut self, mut entry: ServerEntry) -> bool {
        if self.removed.is_before(&entry) {
            return false;
        }
        let known = self.entries.get(&entry.registered_as);
        let mut is_back = false;
        if let Some(known) = known {
            if entry.position < known.position {
                return false;
            }
            if entry.position > known.position {
                // Others wait for it to be written again too.
                is_back = self.lapsing.remove(&entry.registered_as).is_some();
            }
            if entry.started_ms.is_none() {
                // It does not say that it is another run.
                entry.id = known.id.clone();
                entry.started_ms = known.started_ms;
            }
        }
        if self.left.contains(&entry.id) {
            entry.state = ServerState::Leaving;
        }
        let has_changed =
            is_back || known.is_none_or(|known| !known.equals_ignoring_position(&entry));
        if let Some(known) = known {
            self.runs.remove(&known.id);
        }
        let run = entry.id.clone();
        let is_leaving = entry.state == ServerState::Leaving;
        self.runs.insert(run.clone(), entry.registered_as.clone());
        self.entries.insert(entry.registered_as.clone(), entry);
        if is_leaving {
            self.note_left(&run);
        }
        has_changed
    }

    /// Remembers that a run has left. When there are too many, the first one to leave that is
    /// not registered any more is forgotten.
    fn note_left(&mut self, run: &BackendName) {
        if !self.left.insert(run.clone()) {
            return;
        }
        self.left_order.push_back(run.clone());
        if self.left_order.len() <= MOST_LEFT {
            return;
        }
        let mut order = self.left_order.iter();
        let first = order.position(|run| !self.runs.contains_key(run));
        let forgotten = self.left_order.remove(first.unwrap_or_default());
        if let Some(run) = forgotten {
            self.left.remove(&run);
        }
    }

    fn note_change(&mut self, registered_as: &BackendName, cursor: Option<Cursor>) {
        self.revision += 1;
        self.changes.push_back(Change {
            revision: self.revision,
            cursor,
            registered_as: registered_as.clone(),
        });
        if self.changes.len() <= MOST_CHANGES {
            return;
        }
        let dropped = self.changes.pop_front();
        // What a server said in an answer it says to whoever asks it.
        if let Some(cursor) = dropped.and_then(|change| change.cursor) {
            self.changes_from = self.changes_from.max(cursor);
        }
    }

    /// Notes that a run says in an answer that it is leaving, which holds for good. Returns
    /// whether that was unknown of a registered run.
    pub fn on_leaving(&mut self, id: &BackendName) -> bool {
        // Its entry may have lapsed, and may be back.
        self.note_left(id);
        let Some(registered_as) = self.runs.get(id).cloned() else {
            return false;
        };
        let entry = self.entries.get_mut(&registered_as);
        let Some(entry) = entry.filter(|entry| entry.state == ServerState::Ready) else {
            return false;
        };
        entry.state = ServerState::Leaving;
        self.note_change(&registered_as, None);
        true
    }

    /// Replaces all entries by a whole listing.
    fn replace(&mut self, listing: Vec<ServerEntry>, cursor: Cursor) {
        for registered_as in self.not_in(&listing) {
            // A server that has lapsed is gone at its time.
            if !self.lapsing.contains_key(&registered_as) {
                self.apply(&registered_as, None, Some(cursor));
            }
        }
        for entry in listing {
            let registered_as = entry.registered_as.clone();
            self.apply(&registered_as, Some(entry), Some(cursor));
        }
    }

    /// Returns the servers that `listing` lacks, by what they are registered as.
    fn not_in(&self, listing: &[ServerEntry]) -> Vec<BackendName> {
        let listed: HashSet<&BackendName> =
            listing.iter().map(|entry| &entry.registered_as).collect();
        let missing = self.entries.keys().filter(|id| !listed.contains(id));
        missing.cloned().collect()
    }

    /// Takes over the first listing of the register after an outage of the store, in which
    /// entries of servers that run on may have lapsed: they count as gone at
    /// `gone_at_ms` unless they have written themselves again. Returns whether anything
    /// changed.
    ///
    /// A store that came back from a copy lists what was known before at other positions,
    /// and may list servers that have left: what is known of a server stays as it is until
    /// its next record.
    pub fn update_after_outage(
        &mut self,
        listing: Vec<ServerEntry>,
        cursor: Cursor,
        gone_at_ms: u64,
    ) -> bool {
        let before = self.revision;
        if cursor < self.cursor {
            self.take_newer(&DirectoryUpdate::Whole(listing));
            return self.revision != before;
        }
        let is_from_copy = cursor.era > self.cursor.era;
        for registered_as in self.not_in(&listing) {
            if !self.lapsing.contains_key(&registered_as) {
                self.lapsing.insert(registered_as.clone(), gone_at_ms);
                self.note_change(&registered_as, Some(cursor));
            }
        }
        for entry in listing {
            let registered_as = entry.registered_as.clone();
            if is_from_copy && self.removed.contains(&registered_as) {
                // What the copy says of it is from before.
                self.removed.insert(&registered_as, cursor.position());
            }
            let is_known = self.entries.contains_key(&registered_as);
            if !(is_from_copy && is_known) {
                self.apply(&registered_as, Some(entry), Some(cursor));
            }
        }
        self.changes_from = cursor;
        self.advance_cursor(cursor);
        self.revision != before
    }

    /// Returns the servers that have lapsed, with the time that each has left.
    pub fn expiring(&self, now_ms: u64) -> Vec<ExpiringServer> {
        let lapsing = self.lapsing.iter().filter_map(|(registered_as, at_ms)| {
            Some(ExpiringServer {
                position: self.entries.get(registered_as)?.position,
                registered_as: registered_as.clone(),
                left_ms: at_ms.saturating_sub(now_ms),
            })
        });
        lapsing.collect()
    }

    /// Returns the servers that have lapsed.
    pub fn expiring_names(&self) -> Vec<BackendName> {
        self.lapsing.keys().cloned().collect()
    }

    /// Adds what `servers` say of themselves to an update, also where that has not changed.
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

    /// Takes over which servers have lapsed from another instance.
    pub fn on_expiring(&mut self, now_ms: u64, lapsing: &[ExpiringServer]) {
        for server in lapsing {
            let known = self.entries.get(&server.registered_as);
            if known.is_none_or(|known| known.position > server.position) {
                continue;
            }
            let gone_at_ms = now_ms + server.left_ms;
            let known_ms = self.lapsing.entry(server.registered_as.clone());
            let known_ms = known_ms.or_insert(gone_at_ms);
            *known_ms = gone_at_ms.min(*known_ms);
        }
    }

    /// Takes servers for gone that have not written themselves again in time; returns them.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<BackendName> {
        let lapsed = self.lapsing.iter().filter(|(_, at_ms)| **at_ms <= now_ms);
        let lapsed: Vec<BackendName> = lapsed.map(|(id, _)| id.clone()).collect();
        for registered_as in &lapsed {
            self.apply(registered_as, None, Some(self.cursor));
        }
        lapsed
    }

    /// Takes over what the register, or another instance that knows it up to
    /// `cursor`, tells. Returns whether anything changed.
    pub fn update_to(&mut self, update: DirectoryUpdate, cursor: Cursor) -> bool {
        let before = self.revision;
        self.learn_leaving(&update);
        if cursor < self.cursor {
            self.take_newer(&update);
            return self.revision != before;
        }
        match update {
            DirectoryUpdate::Whole(listing) => {
                // Who came and went since the last cursor is not told by it.
                if cursor > self.cursor {
                    self.changes_from = cursor;
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

    /// Learns which runs leave from entries at any position, since that holds for good.
    fn learn_leaving(&mut self, update: &DirectoryUpdate) {
        for entry in update.entries() {
            if entry.state == ServerState::Leaving {
                self.on_leaving(&entry.id);
            }
        }
    }

    /// Takes over the entries that are newer than what is known, from one that does not
    /// know the register as far: after an outage it waits before it takes servers for
    /// gone, and knows more of the others.
    fn take_newer(&mut self, update: &DirectoryUpdate) {
        for entry in update.entries() {
            let known = self.entries.get(&entry.registered_as);
            let known_to = known.map_or(self.cursor.position(), |known| known.position);
            if entry.position >= known_to {
                let newer = Some(entry.clone());
                self.apply(&entry.registered_as, newer, Some(Cursor::default()));
            }
        }
    }

    /// Returns what one does not know that knows the register up to `known`;
    /// everything when that is unknown or too long ago.
    pub fn update_for(&self, known: SyncPoint) -> DirectoryUpdate {
        let is_whole = match known {
            SyncPoint::Revision(since) => {
                let oldest = self.changes.front();
                let oldest = oldest.map_or(self.revision, |change| change.revision - 1);
                !(oldest..=self.revision).contains(&since)
            }
            SyncPoint::Cursor(cursor) => cursor.is_start() || cursor < self.changes_from,
        };
        if is_whole {
            return DirectoryUpdate::Whole(self.entries.values().cloned().collect());
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
            .collect();
        let changes = changed
            .into_iter()
            .map(|id| (id.clone(), self.entries.get(id).cloned()));
        DirectoryUpdate::Changes(changes.collect())
    }

    /// Returns the pools and backend servers that the fleet is to know. Pools
    /// without a configured service are left out with their servers.
    pub fn for_fleet(&self, config: &RoutingConfig) -> (Vec<Pool>, Vec<Backend>) {
        let pools: Vec<Pool> = config.services.iter().map(pool).collect();
        let known: HashSet<&PoolName> = config.services.iter().map(|s| &s.name).collect();
        let backends = self
            .entries
            .values()
            .filter(|entry| known.contains(&entry.service))
            .map(backend);
        (pools, backends.collect())
    }

    /// Takes over which availability zones are evacuated.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneName>) {
        self.evacuated = zones;
    }

    /// Returns the availability zones that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated
    }

    /// Tells whether a server takes nothing new: it is leaving, or its availability zone is
    /// evacuated.
    pub fn is_closed(&self, entry: &ServerEntry) -> bool {
        entry.state == ServerState::Leaving || self.evacuated.contains(&entry.zone)
    }

    /// Returns the servers that take nothing new.
    pub fn closed(&self) -> HashSet<BackendName> {
        let closed = self.entries.values().filter(|entry| self.is_closed(entry));
        closed.map(|entry| entry.id.clone()).collect()
    }
}

fn pool(service: &Service) -> Pool {
    Pool {
        name: service.name.clone(),
        kind: match (service.engine, service.batching) {
            (Some(_), _) => StageKind::Generate,
            (None, _) => StageKind::Call,
        },
        price_micros_per_s: 0,
        fencing: Fencing::Ignored,
    }
}

fn backend(entry: &ServerEntry) -> Backend {
    Backend {
        name: entry.id.clone(),
        pool: entry.service.clone(),
        zone: entry.zone.clone(),
        addr: entry.addr,
        slots: entry.slots.max(DEFAULT_SLOTS),
    }
}
