//! Division of a fleet into cells, and directories that keep the servers of one cell.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use savoryvane_core::{
    forwarding::{
        CellLayout, Cursor, Directory, FleetSize, Position, Scope, ServerEntry, ServerState,
        SyncPoint,
    },
    ids::{BackendName, InstanceName, PoolName, ZoneName},
};

fn layout(cells: u32) -> CellLayout {
    CellLayout::new(cells).expect("a power of two")
}

/// Returns a fleet with ten servers for each instance: 12.5 per cent of them at each of three
/// services that batch, 3.5 per cent at another one and the rest at engines.
fn fleet(instances: usize) -> FleetSize {
    let servers = instances * 10;
    FleetSize {
        instances,
        batched_servers: vec![servers / 8; 3],
        unbatched_servers: vec![servers * 35 / 1_000, servers * 6 / 10],
    }
}

fn cells(size: &FleetSize) -> u32 {
    CellLayout::SINGLE.adapted_to(size).cells()
}

#[test]
fn a_small_fleet_or_one_with_few_servers_stays_whole() {
    assert_eq!(cells(&fleet(9)), 1);
    assert_eq!(cells(&fleet(78)), 1);
    let scarce = FleetSize {
        instances: 295,
        batched_servers: vec![43, 35, 41],
        unbatched_servers: vec![12, 163],
    };
    assert_eq!(cells(&scarce), 1, "35 servers share full batches");
}

#[test]
fn what_a_cell_holds_does_not_grow_with_the_fleet() {
    for instances in [100, 300, 985, 2_000, 8_000] {
        let cells = cells(&fleet(instances)) as usize;
        let in_cell = instances / cells;
        assert!(
            (20..=96).contains(&in_cell),
            "{instances}: {in_cell} in a cell"
        );
    }
}

#[test]
fn cells_stay_while_some_instances_and_servers_come_and_go() {
    let sixteen = CellLayout::SINGLE.adapted_to(&fleet(985));
    assert_eq!(sixteen, layout(16));
    for instances in [790, 985, 1_068, 1_500] {
        assert_eq!(
            sixteen.adapted_to(&fleet(instances)),
            sixteen,
            "{instances}"
        );
    }
    assert_eq!(sixteen.adapted_to(&fleet(2_000)), layout(32));
    let few_servers = FleetSize {
        batched_servers: vec![100, 1_000, 1_000],
        ..fleet(985)
    };
    assert_eq!(
        sixteen.adapted_to(&few_servers),
        layout(4),
        "24 servers each"
    );
}

#[test]
fn a_fleet_that_oscillates_round_a_bound_changes_its_cells_once() {
    let mut current = CellLayout::SINGLE;
    let mut changes = 0;
    for step in 0..100 {
        let instances = if step % 2 == 0 { 90 } else { 104 };
        let next = current.adapted_to(&fleet(instances));
        changes += u32::from(next != current);
        current = next;
    }
    assert!(changes <= 1, "{changes} changes");
}

#[test]
fn an_invalid_number_of_cells_is_rejected() {
    for cells in [0, 3, 6, 2_048, u32::MAX] {
        assert_eq!(CellLayout::new(cells), None, "{cells}");
    }
}

fn entry(id: u16, position: u64, state: ServerState) -> ServerEntry {
    let name = BackendName::new(format!("i-{id}"));
    ServerEntry {
        id: name.clone(),
        registered_as: name,
        started_ms: None,
        position: Position {
            era: 0,
            offset: position,
        },
        service: PoolName::new("s"),
        software: None,
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 4,
        state,
        cold_left_ms: 0,
    }
}

fn up_to(offset: u64) -> Cursor {
    Cursor {
        offset,
        ..Cursor::default()
    }
}

fn states(directory: &Directory, scope: Scope) -> BTreeMap<BackendName, ServerState> {
    let entries = directory.entries();
    let entries = entries.filter(|entry| scope.has_server(&entry.registered_as));
    entries
        .map(|entry| (entry.id.clone(), entry.state))
        .collect()
}

/// An instance that copies a directory from another one.
#[derive(Default)]
struct Copier {
    directory: Directory,
    /// Revision of the other directory that was merged last, and the servers copied.
    source: Option<(u64, Scope)>,
}

impl Copier {
    fn copy(&mut self, from: &Directory) {
        let scope = self.directory.scope();
        let known = self.source.filter(|(_, copied)| *copied == scope);
        let known = known.filter(|_| !self.directory.cursor().is_start());
        let known = known.map_or(
            SyncPoint::Cursor(self.directory.cursor()),
            |(revision, _)| SyncPoint::Revision(revision),
        );
        if let Some(update) = from.update_for(known, scope) {
            self.directory.update_to(update, from.cursor());
            self.source = Some((from.revision(), scope));
        }
    }
}

#[test]
fn a_server_that_is_leaving_is_not_open_at_its_address() {
    let mut directory = Directory::default();
    let ready = entry(1, 1, ServerState::Ready);
    let addr = ready.addr;
    assert!(!directory.is_open_at(addr), "not registered");
    let (name, id) = (ready.registered_as.clone(), ready.id.clone());
    let at = ready.position;
    directory.apply_record(&name, Some(ready), at, up_to(2));
    assert!(directory.is_open_at(addr));
    directory.on_leaving(&id);
    assert!(!directory.is_open_at(addr));
}

#[test]
fn a_directory_of_one_cell_has_no_update_for_another() {
    let mut directory = Directory::default();
    let mut cells = (0..).map(|n| layout(2).cell_of(&InstanceName::new(format!("entry-{n}"))));
    let first = cells.next().expect("a cell");
    let second = cells.find(|cell| *cell != first).expect("the other cell");
    for id in 0..20 {
        let entry = entry(id, u64::from(id), ServerState::Ready);
        let name = entry.registered_as.clone();
        let (at, cursor) = (entry.position, up_to(u64::from(id) + 1));
        directory.apply_record(&name, Some(entry), at, cursor);
    }
    let start = SyncPoint::Cursor(Cursor::default());
    assert!(directory.update_for(start, first).is_some());
    directory.set_scopes(first, first);
    assert!(directory.update_for(start, first).is_some());
    assert!(directory.update_for(start, second).is_none());
    assert!(directory.update_for(start, Scope::ALL).is_none());
    directory.set_scopes(Scope::ALL, first);
    assert!(
        directory.update_for(start, first).is_none(),
        "the servers of the other cell are not known yet"
    );
}

/// Plays changes of the register and of the number of cells; returns whether members and
/// schedulers of all cells end with the register's servers of their cell.
fn end_with_their_servers(steps: &[(u16, bool, bool, u8)], names: &[u16]) -> bool {
    let mut reader = Directory::default();
    let mut current = CellLayout::SINGLE;
    let names: Vec<InstanceName> = names
        .iter()
        .take(6)
        .map(|name| InstanceName::new(format!("entry-{name}")))
        .collect();
    let mut schedulers: Vec<Copier> = names.iter().map(|_| Copier::default()).collect();
    let mut members: Vec<Copier> = names.iter().map(|_| Copier::default()).collect();
    for (index, (id, is_gone, is_leaving, action)) in steps.iter().enumerate() {
        let position = index as u64 + 1;
        let state = if *is_leaving {
            ServerState::Leaving
        } else {
            ServerState::Ready
        };
        let record = entry(id % 50, position, state);
        let name = record.registered_as.clone();
        let at = record.position;
        reader.apply_record(&name, (!is_gone).then_some(record), at, up_to(position + 1));
        if action % 11 == 0 {
            current = layout(1 << (action / 11 % 4));
        }
        for (index, name) in names.iter().enumerate() {
            let cell = current.cell_of(name);
            if action % 3 != 0 {
                schedulers[index].directory.set_scopes(cell, cell);
            }
            if action % 5 != 0 {
                members[index].directory.set_scopes(cell, cell);
            }
            if action % 2 == 0 {
                schedulers[index].copy(&reader);
            }
            if action % 7 != 0 {
                members[index].copy(&schedulers[index].directory);
            }
        }
    }
    reader.advance_cursor(up_to(steps.len() as u64 + 2));
    names.iter().enumerate().all(|(index, name)| {
        let cell = current.cell_of(name);
        let (scheduler, member) = (&mut schedulers[index], &mut members[index]);
        scheduler.directory.set_scopes(cell, cell);
        member.directory.set_scopes(cell, cell);
        scheduler.copy(&reader);
        member.copy(&scheduler.directory);
        states(&member.directory, Scope::ALL) == states(&reader, cell)
    })
}

#[test]
fn a_member_that_copied_an_incomplete_directory_learns_of_removals() {
    let steps = [
        (0, false, false, 0),
        (0, false, false, 165),
        (0, false, false, 35),
        (0, false, false, 0),
        (0, true, false, 59),
    ];
    assert!(end_with_their_servers(&steps, &[3]));
}

quickcheck! {
    /// Each server and each instance belongs to exactly one cell, and splitting the cells again
    /// keeps each in one of the two halves of its cell.
    fn cells_divide_servers_without_overlap(id: u16, exponent: u8) -> bool {
        let cells = 1 << (exponent % 7);
        let server = BackendName::new(format!("i-{id}"));
        let instance = InstanceName::new(format!("i-{id}"));
        let coarse = layout(cells).cell_of(&instance);
        let fine = layout(cells * 2).cell_of(&instance);
        coarse.has_server(&server) && fine.has_server(&server)
            && coarse.has_instance(&instance)
            && coarse.covers(fine) && !fine.covers(coarse) && Scope::ALL.covers(coarse)
            && coarse.cell() < cells
    }

    /// Members and schedulers of all cells end with the register's servers of their cell, while
    /// the number of cells changes and updates are copied at any time.
    fn all_cells_end_with_their_servers(
        steps: Vec<(u16, bool, bool, u8)>,
        names: Vec<u16>
    ) -> bool {
        end_with_their_servers(&steps, &names)
    }
}
