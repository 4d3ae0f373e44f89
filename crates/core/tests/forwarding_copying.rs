//! Instances copy the server register from each other, of which some have missed a part of it.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use savoryvane_core::{
    forwarding::{
        CopySource, Cursor, Directory, DirectoryUpdate, PeerUpdate, Position, Scope, ServerEntry,
        ServerState, SyncPoint,
    },
    ids::{BackendName, Incarnation, PoolName, ZoneName},
};

/// Instances of a played history.
const INSTANCES: usize = 4;
/// Servers of a played history: few, so that many of them come and leave.
const SERVERS: u8 = 6;

fn up_to(offset: usize) -> Cursor {
    Cursor {
        offset: offset as u64,
        ..Cursor::default()
    }
}

fn entry(name: &str, offset: usize) -> ServerEntry {
    ServerEntry {
        id: BackendName::new(format!("{name} {offset}")),
        registered_as: BackendName::new(name),
        started_ms: Some(offset as u64),
        position: Position {
            era: 0,
            offset: offset as u64,
        },
        service: PoolName::new("s"),
        software: None,
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 4,
        state: ServerState::Ready,
        cold_left_ms: 0,
    }
}

/// The register in the store.
#[derive(Default)]
struct Register {
    records: Vec<(BackendName, Option<ServerEntry>)>,
}

impl Register {
    fn put(&mut self, name: &str) {
        let entry = entry(name, self.records.len());
        self.records.push((BackendName::new(name), Some(entry)));
    }

    fn remove(&mut self, name: &str) {
        self.records.push((BackendName::new(name), None));
    }

    fn end(&self) -> Cursor {
        up_to(self.records.len())
    }

    fn listing(&self) -> Vec<ServerEntry> {
        let mut newest = BTreeMap::new();
        for (name, entry) in &self.records {
            newest.insert(name, entry);
        }
        newest.into_values().flatten().cloned().collect()
    }
}

/// An instance, which reads the register or copies it from another one.
struct Instance {
    incarnation: Incarnation,
    directory: Directory,
    source: Option<CopySource>,
}

impl Instance {
    fn new(number: usize) -> Self {
        Self {
            incarnation: Incarnation(number as u64),
            directory: Directory::default(),
            source: None,
        }
    }

    /// Reads all entries of the register, as after a freeze.
    fn list(&mut self, register: &Register) {
        let update = DirectoryUpdate::Whole(register.listing());
        self.directory.update_to(update, register.end());
    }

    /// Reads the records since the last read, or all entries at the first read.
    fn read(&mut self, register: &Register) {
        if self.directory.cursor().is_start() {
            return self.list(register);
        }
        let from = self.directory.cursor().offset as usize;
        for (offset, (name, entry)) in register.records.iter().enumerate().skip(from) {
            let at = up_to(offset).position();
            let cursor = up_to(offset + 1);
            self.directory.apply_record(name, entry.clone(), at, cursor);
        }
    }

    /// Returns whether nothing has changed at `from` since it was copied.
    fn is_current(&self, from: &Self) -> bool {
        let copied = self
            .source
            .map(|source| (source.incarnation, source.revision));
        copied == Some((from.incarnation, from.directory.revision()))
    }

    fn copy(&mut self, from: &Self) {
        let cursor = from.directory.cursor();
        if self.is_current(from) {
            self.directory.advance_cursor(cursor);
            if let Some(source) = &mut self.source {
                source.cursor = source.cursor.max(cursor);
            }
            return;
        }
        let source = self.source.filter(|source| {
            source.incarnation == from.incarnation && source.is_basis_of(&self.directory)
        });
        let (known, since) = match source {
            Some(source) => (SyncPoint::Revision(source.revision), source.cursor),
            None => {
                let known = self.directory.cursor();
                (SyncPoint::Cursor(known), known)
            }
        };
        let servers = from.directory.update_for(known, Scope::ALL);
        let update = PeerUpdate {
            servers: servers.expect("a directory of all servers"),
            cursor,
            changes_from: from.directory.changes_from(),
            since,
        };
        assert!(self.directory.is_covered_by(&update));
        let known = self.directory.cursor();
        self.directory.on_copied_changes(known, update.changes_from);
        self.directory.update_to(update.servers, cursor);
        self.source = Some(CopySource {
            incarnation: from.incarnation,
            revision: from.directory.revision(),
            cursor,
            scope: Scope::ALL,
        });
    }

    fn servers(&self) -> Vec<BackendName> {
        let entries = self.directory.entries();
        entries.map(|entry| entry.id.clone()).collect()
    }
}

fn names(listing: &[ServerEntry]) -> Vec<BackendName> {
    listing.iter().map(|entry| entry.id.clone()).collect()
}

/// Guards against a server that has left and stays in use: the instance that schedules is frozen
/// while it comes, wakes, is copied before it has read the register, and lists the register only
/// after the server has left.
#[test]
fn a_server_that_left_before_a_listing_elsewhere_is_removed() {
    let mut register = Register::default();
    register.put("i-1");
    let mut instances: Vec<Instance> = (0..3).map(Instance::new).collect();
    instances[0].list(&register);
    let [frozen, interim, calm] = &mut instances[..] else {
        unreachable!("three instances");
    };
    interim.copy(frozen);
    calm.copy(frozen);
    register.put("i-2");
    interim.read(&register);
    calm.copy(interim);
    calm.copy(frozen);
    register.remove("i-2");
    frozen.list(&register);
    calm.copy(frozen);
    assert_eq!(calm.servers(), names(&register.listing()));
}

/// Guards against the same where the listing changes nothing at the instance that reads it.
#[test]
fn a_listing_that_changes_nothing_is_told_to_those_that_know_more() {
    let mut register = Register::default();
    register.put("i-1");
    let mut woken = Instance::new(0);
    let mut calm = Instance::new(1);
    let mut other = Instance::new(2);
    woken.list(&register);
    calm.copy(&woken);
    register.put("i-2");
    other.list(&register);
    let update = other
        .directory
        .update_for(SyncPoint::Cursor(calm.directory.cursor()), Scope::ALL);
    let update = update.expect("a directory of all servers");
    calm.directory.update_to(update, other.directory.cursor());
    register.remove("i-2");
    woken.list(&register);
    calm.copy(&woken);
    assert_eq!(calm.servers(), names(&register.listing()));
}

/// Guards against the same where an instance in between has copied the listing as changes.
#[test]
fn a_listing_that_was_copied_as_changes_is_told_on_to_those_that_know_more() {
    let mut register = Register::default();
    register.put("i-1");
    let mut instances: Vec<Instance> = (0..3).map(Instance::new).collect();
    instances[0].list(&register);
    let [woken, between, calm] = &mut instances[..] else {
        unreachable!("three instances");
    };
    between.copy(woken);
    calm.copy(woken);
    register.put("i-2");
    calm.read(&register);
    register.remove("i-2");
    woken.list(&register);
    between.copy(woken);
    calm.copy(between);
    assert_eq!(calm.servers(), names(&register.listing()));
}

/// An update that was requested before this instance learnt more is not applied.
#[test]
fn changes_that_lack_what_was_learnt_meanwhile_do_not_count_as_complete() {
    let mut register = Register::default();
    register.put("i-1");
    let mut calm = Instance::new(0);
    calm.list(&register);
    let since = calm.directory.cursor();
    let update = PeerUpdate {
        servers: DirectoryUpdate::Changes(Vec::new()),
        cursor: up_to(9),
        changes_from: up_to(9),
        since,
    };
    assert!(calm.directory.is_covered_by(&update));
    register.put("i-2");
    calm.read(&register);
    assert!(!calm.directory.is_covered_by(&update));
}

quickcheck! {
    /// Whoever reads or lists the register, copies from whom and when: all that copy from an
    /// instance that has read to the end have the servers of the register.
    fn all_end_with_the_servers_of_the_register(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut register = Register::default();
        register.put("i-0");
        let mut instances: Vec<Instance> = (0..INSTANCES).map(Instance::new).collect();
        for instance in &mut instances {
            instance.list(&register);
        }
        for (action, first, second) in steps {
            let name = format!("i-{}", second % SERVERS);
            let first = usize::from(first) % INSTANCES;
            let second = usize::from(second) % INSTANCES;
            match action % 8 {
                0 | 1 => register.put(&name),
                2 => register.remove(&name),
                3 => instances[first].list(&register),
                4 => instances[first].read(&register),
                _ if first != second => {
                    let mut copier = std::mem::replace(&mut instances[first], Instance::new(0));
                    copier.copy(&instances[second]);
                    instances[first] = copier;
                }
                _ => {}
            }
        }
        let (reader, others) = instances.split_first_mut().expect("an instance");
        reader.read(&register);
        others.iter_mut().all(|other| {
            other.copy(reader);
            other.servers() == names(&register.listing())
        })
    }
}
