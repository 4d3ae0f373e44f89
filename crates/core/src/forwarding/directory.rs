//! The backend servers that have registered themselves.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use super::{
    RoutingConfig, Service,
    entry::{DirectoryUpdate, KnownUpTo, ServerEntry, ServerState},
};
use crate::{
    ids::{BackendName, PoolName},
    objects::{Backend, Fencing, Pool, StageKind},
    poison::{Registered, spread},
};

/// Calls that a server takes where its service says nothing of it.
const DEFAULT_SLOTS: u32 = 1;

/// One change of a directory.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    /// Position up to which the register was known after it, or `NOT_REGISTERED`.
    position: u64,
    registered_as: BackendName,
}

/// The servers that are registered, each with its current run.
#[derive(Debug, Default)]
pub struct Directory {
    /// By what they are registered as.
    entries: BTreeMap<BackendName, ServerEntry>,
    /// What the server of each run is registered as.
    runs: HashMap<BackendName, BackendName>,
    /// Position up to which the register is known.
    position: u64,
    /// Number of changes that were made to it.
    revision: u64,
    /// What changed lately, in order.
    changes: VecDeque<Change>,
    /// Position from which `changes` has every change: one that knows the register up to
    /// an earlier one may know servers of which this directory never heard.
    changes_from: u64,
    /// Runs that have left; an entry that was already on its way does not bring
    /// them back.
    left: HashSet<BackendName>,
    /// The same, the latest last.
    left_order: VecDeque<BackendName>,
}

/// Position of a change that the register does not have, such as what a server said in
/// an answer: it is told to everybody.
const NOT_REGISTERED: u64 = u64::MAX;
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

    /// Returns the position up to which the register is known.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Notes that the register is known up to `position`.
    pub fn on_known_to(&mut self, position: u64) {
        self.position = self.position.max(position);
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
    pub fn neighbours(&self, entry: &ServerEntry, most: usize) -> Vec<&ServerEntry> {
        let entries = self.entries.values();
        let neighbours = entries.filter(|other| {
            other.zone == entry.zone && other.id != entry.id && other.state == ServerState::Ready
        });
        spread(neighbours, most)
    }

    /// Applies one record of the register, after which that is known up to `position`: what
    /// a server says of itself, or none once it is gone. Returns whether anything changed.
    fn apply(
        &mut self,
        registered_as: &BackendName,
        entry: Option<ServerEntry>,
        position: u64,
    ) -> bool {
        // Who knows the register up to `position` may know single records beyond it.
        let position = entry
            .as_ref()
            .map_or(position, |entry| position.max(entry.position + 1));
        let has_changed = match entry {
            None => self.remove(registered_as),
            Some(entry) => self.put(entry),
        };
        if has_changed {
            self.note_change(registered_as, position);
        }
        has_changed
    }

    fn remove(&mut self, registered_as: &BackendName) -> bool {
        let removed = self.entries.remove(registered_as);
        if let Some(entry) = &removed {
            self.runs.remove(&entry.id);
        }
        removed.is_some()
    }

    fn put(&mut self, mut entry: ServerEntry) -> bool {
        let known = self.entries.get(&entry.registered_as);
        if let Some(known) = known {
            if entry.position < known.position {
                return false;
            }
            if entry.started_ms.is_none() {
                // It does not say that it is another run.
                entry.id = known.id.clone();
                entry.started_ms = known.started_ms;
            }
        }
        if self.left.contains(&entry.id) {
            entry.state = ServerState::Leaving;
        } else if entry.state == ServerState::Leaving {
            note_left(&mut self.left, &mut self.left_order, &entry.id);
        }
        let has_changed = known.is_none_or(|known| !known.says_the_same(&entry));
        if let Some(known) = known {
            self.runs.remove(&known.id);
        }
        self.runs
            .insert(entry.id.clone(), entry.registered_as.clone());
        self.entries.insert(entry.registered_as.clone(), entry);
        has_changed
    }

    fn note_change(&mut self, registered_as: &BackendName, position: u64) {
        self.revision += 1;
        self.changes.push_back(Change {
            revision: self.revision,
            position,
            registered_as: registered_as.clone(),
        });
        if self.changes.len() <= MOST_CHANGES {
            return;
        }
        let dropped = self.changes.pop_front();
        // What a server said in an answer it says to whoever asks it.
        if let Some(dropped) = dropped.filter(|change| change.position != NOT_REGISTERED) {
            self.changes_from = self.changes_from.max(dropped.position);
        }
    }

    /// Notes that a run says in an answer that it is leaving.
    pub fn on_leaving(&mut self, id: &BackendName) -> bool {
        let Some(mut entry) = self.entry(id).cloned() else {
            return false;
        };
        entry.state = ServerState::Leaving;
        let registered_as = entry.registered_as.clone();
        self.apply(&registered_as, Some(entry), NOT_REGISTERED)
    }

    /// Replaces all entries by a whole listing. Returns whether anything changed.
    fn replace(&mut self, listing: Vec<ServerEntry>, position: u64) -> bool {
        let listed: HashSet<&BackendName> =
            listing.iter().map(|entry| &entry.registered_as).collect();
        let gone = self.entries.keys().filter(|id| !listed.contains(id));
        let gone: Vec<BackendName> = gone.cloned().collect();
        let before = self.revision;
        for registered_as in gone {
            self.apply(&registered_as, None, position);
        }
        for entry in listing {
            let registered_as = entry.registered_as.clone();
            self.apply(&registered_as, Some(entry), position);
        }
        self.revision != before
    }

    /// Takes over what the register, or another instance that knows it up to
    /// `position`, tells. Returns whether anything changed.
    pub fn update_to(&mut self, update: DirectoryUpdate, position: u64) -> bool {
        if position < self.position {
            return self.take_newer(update);
        }
        let has_changed = match update {
            DirectoryUpdate::Whole(listing) => {
                // Who came and went since the last position is not told by it.
                if position > self.position {
                    self.changes_from = position;
                }
                self.replace(listing, position)
            }
            DirectoryUpdate::Changes(changes) => {
                let before = self.revision;
                for (registered_as, entry) in changes {
                    self.apply(&registered_as, entry, position);
                }
                self.revision != before
            }
        };
        self.on_known_to(position);
        has_changed
    }

    /// Takes over the entries that are newer than what is known, from one that does not
    /// know the register as far: after an outage it waits before it takes servers for
    /// gone, and knows more of the others.
    fn take_newer(&mut self, update: DirectoryUpdate) -> bool {
        let entries: Vec<ServerEntry> = match update {
            DirectoryUpdate::Whole(listing) => listing,
            DirectoryUpdate::Changes(changes) => {
                let entries = changes.into_iter().filter_map(|(_, entry)| entry);
                entries.collect()
            }
        };
        let before = self.revision;
        for entry in entries {
            let known = self.entries.get(&entry.registered_as);
            let known_to = known.map_or(self.position, |known| known.position);
            if entry.position >= known_to {
                let registered_as = entry.registered_as.clone();
                self.apply(&registered_as, Some(entry), 0);
            }
        }
        self.revision != before
    }

    /// Returns what one does not know that knows the register up to `known`;
    /// everything when that is unknown or too long ago.
    pub fn update_for(&self, known: KnownUpTo) -> DirectoryUpdate {
        let is_whole = match known {
            KnownUpTo::Revision(since) => {
                let oldest = self.changes.front();
                let oldest = oldest.map_or(self.revision, |change| change.revision - 1);
                !(oldest..=self.revision).contains(&since)
            }
            KnownUpTo::Position(position) => position == 0 || position < self.changes_from,
        };
        if is_whole {
            return DirectoryUpdate::Whole(self.entries.values().cloned().collect());
        }
        let is_new = |change: &&Change| match known {
            KnownUpTo::Revision(since) => change.revision > since,
            KnownUpTo::Position(position) => change.position > position,
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

    /// Returns the servers that are leaving.
    pub fn leaving(&self) -> HashSet<BackendName> {
        self.entries
            .values()
            .filter(|entry| entry.state == ServerState::Leaving)
            .map(|entry| entry.id.clone())
            .collect()
    }
}

/// Remembers that a run has left, and forgets the one that left first when there are
/// too many.
fn note_left(
    left: &mut HashSet<BackendName>,
    order: &mut VecDeque<BackendName>,
    run: &BackendName,
) {
    left.insert(run.clone());
    order.push_back(run.clone());
    if order.len() > MOST_LEFT
        && let Some(first) = order.pop_front()
    {
        left.remove(&first);
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
