//! State of evacuations and servers after the store was restored from a copy, and its exchange
//! between instances.

use std::collections::BTreeSet;

use quickcheck::{TestResult, quickcheck};
use savoryvane_core::{
    forwarding::{
        Cursor, Directory, DirectoryUpdate, Evacuations, MISSING_GRACE_MS, Position,
        REINSTATE_DELAY_MS, Scope, ServerEntry, ServerState, SyncPoint,
    },
    ids::{BackendName, PoolName, ZoneName},
};

const GRACE_MS: u64 = 3_000;

fn at(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

fn zone() -> ZoneName {
    ZoneName::new("hal-gouda")
}

fn is_evacuated(evacuations: &Evacuations) -> bool {
    evacuations.zones().contains(&zone())
}

/// Returns the state of an instance that has read the operator's records up to `offset` in the
/// first era.
fn known(is_evacuated: bool, offset: u64) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.apply(zone(), true, at(0, 1));
    if !is_evacuated {
        evacuations.apply(zone(), false, at(0, 2));
    }
    evacuations.advance_cursor(Cursor::default().advanced_to(0, offset));
    evacuations
}

fn read_copy(evacuations: &mut Evacuations, listed: Option<u64>, end: u64) {
    let cursor = evacuations.cursor().advanced_to(1, end);
    let listed = listed.map(|offset| (zone(), at(1, offset)));
    evacuations.apply_listing(0, listed, cursor);
}

#[test]
fn an_evacuation_that_a_copy_lacks_ends_only_when_its_time_is_over() {
    let mut evacuations = known(true, 5);
    read_copy(&mut evacuations, None, 1);
    assert!(is_evacuated(&evacuations));
    // Another listing of the same era changes nothing.
    read_copy(&mut evacuations, None, 2);
    evacuations.apply_due_changes(MISSING_GRACE_MS - 1);
    assert!(is_evacuated(&evacuations));
    evacuations.apply_due_changes(MISSING_GRACE_MS);
    assert!(!is_evacuated(&evacuations));
}

#[test]
fn an_evacuation_that_is_written_again_stays() {
    let mut evacuations = known(true, 5);
    read_copy(&mut evacuations, None, 1);
    evacuations.apply(zone(), true, at(1, 1));
    evacuations.apply_due_changes(MISSING_GRACE_MS);
    assert!(is_evacuated(&evacuations));
}

#[test]
fn the_operators_next_word_counts_at_an_offset_that_was_read_before() {
    let mut evacuations = known(true, 5);
    read_copy(&mut evacuations, None, 1);
    evacuations.apply(zone(), false, at(1, 1));
    assert!(!is_evacuated(&evacuations));
    let mut evacuations = known(false, 5);
    read_copy(&mut evacuations, Some(1), 2);
    assert!(
        !is_evacuated(&evacuations),
        "the copy is older than the end of the evacuation"
    );
    read_copy(&mut evacuations, Some(1), 3);
    assert!(
        !is_evacuated(&evacuations),
        "another listing changes nothing"
    );
    evacuations.apply(zone(), true, at(1, 3));
    assert!(is_evacuated(&evacuations));
}

/// The operator may have ordered the evacuation again before the restored store was read for the
/// first time.
#[test]
fn one_that_the_store_goes_on_to_list_is_in_force_in_time() {
    let mut evacuations = known(false, 5);
    read_copy(&mut evacuations, Some(1), 2);
    evacuations.apply_due_changes(REINSTATE_DELAY_MS - 1);
    assert!(!is_evacuated(&evacuations));
    evacuations.apply_due_changes(REINSTATE_DELAY_MS);
    assert!(is_evacuated(&evacuations));
    let mut evacuations = known(false, 5);
    read_copy(&mut evacuations, Some(5), 6);
    assert!(
        is_evacuated(&evacuations),
        "the copy has a record that was not known"
    );
}

/// An instance that starts while the store has only the copy adopts the state of the others.
#[test]
fn one_that_has_read_only_the_copy_believes_one_that_remembers() {
    let mut informed = known(false, 5);
    read_copy(&mut informed, Some(1), 2);
    let mut restarted = Evacuations::default();
    let cursor = restarted.cursor().advanced_to(1, 4);
    restarted.apply_listing(0, [(zone(), at(1, 1))], cursor);
    assert!(is_evacuated(&restarted));
    restarted.update(0, informed.state(0));
    assert!(!is_evacuated(&restarted));
    informed.update(0, restarted.state(0));
    assert!(!is_evacuated(&informed), "it does not adopt the copy");
}

fn server(id: &str, position: Position) -> ServerEntry {
    ServerEntry {
        id: BackendName::new(id),
        registered_as: BackendName::new(id),
        started_ms: None,
        position,
        service: PoolName::new("s"),
        software: None,
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 4,
        state: ServerState::Ready,
        cold_left_ms: 0,
    }
}

fn has(directory: &Directory, id: &str) -> bool {
    directory.entry(&BackendName::new(id)).is_some()
}

fn up_to(era: u64, offset: u64) -> Cursor {
    Cursor {
        era,
        before: if era > 0 { 4 } else { 0 },
        offset,
    }
}

/// Returns a directory that knows that `i-1` has left, and knows `i-2`, which the copy lacks.
fn before_the_copy() -> Directory {
    let mut directory = Directory::default();
    let listing = vec![server("i-1", at(0, 0))];
    directory.update_to(DirectoryUpdate::Whole(listing), up_to(0, 1));
    let record = server("i-2", at(0, 1));
    directory.apply_record(&"i-2".into(), Some(record), at(0, 1), up_to(0, 2));
    directory.apply_record(&"i-1".into(), None, at(0, 2), up_to(0, 3));
    directory
}

#[test]
fn a_copy_brings_back_no_server_that_had_left() {
    let mut directory = before_the_copy();
    let copy = vec![server("i-1", at(1, 0))];
    directory.update_after_outage(copy.clone(), up_to(1, 1), GRACE_MS);
    assert!(!has(&directory, "i-1"));
    assert!(has(&directory, "i-2"));
    let again = DirectoryUpdate::Whole(copy);
    directory.update_to(again, up_to(1, 2));
    assert!(
        !has(&directory, "i-1"),
        "it stays removed when it is listed again"
    );
    let record = server("i-1", at(1, 2));
    directory.apply_record(&"i-1".into(), Some(record), at(1, 2), up_to(1, 3));
    assert!(has(&directory, "i-1"), "it has registered again");
}

#[test]
fn a_server_that_a_copy_lacks_is_gone_once_its_time_is_over() {
    let mut directory = before_the_copy();
    directory.update_after_outage(Vec::new(), up_to(1, 0), GRACE_MS);
    assert!(directory.remove_expired(GRACE_MS - 1).is_empty());
    assert!(has(&directory, "i-2"));
    assert_eq!(directory.remove_expired(GRACE_MS).len(), 1);
    assert!(!has(&directory, "i-2"));
}

/// Expiring servers are reported as such: an instance that receives them removes them at the same
/// time, and an instance that knows of their removal does not add them.
#[test]
fn a_server_that_has_lapsed_is_told_as_such() {
    let mut source = before_the_copy();
    source.update_after_outage(Vec::new(), up_to(0, 4), GRACE_MS);
    let mut receiver = Directory::default();
    receiver.update_to(
        source
            .update_for(SyncPoint::Cursor(Cursor::default()), Scope::ALL)
            .expect("a complete directory"),
        source.cursor(),
    );
    receiver.on_expiring(1_000, &source.expiring(1_000), None);
    assert!(has(&receiver, "i-2"));
    assert_eq!(receiver.remove_expired(GRACE_MS).len(), 1);
    let mut informed = before_the_copy();
    informed.apply_record(&"i-2".into(), None, at(0, 3), up_to(0, 4));
    let whole = source
        .update_for(SyncPoint::Cursor(Cursor::default()), Scope::ALL)
        .expect("a complete directory");
    informed.update_to(whole, source.cursor());
    assert!(!has(&informed, "i-2"));
}

/// A server that registers again with the same entry is no change for instances at which it never
/// expired. So an instance at which it expires queries for its entry.
#[test]
fn one_that_takes_a_server_for_lapsed_learns_that_it_is_back() {
    let mut expiring = before_the_copy();
    expiring.update_after_outage(Vec::new(), up_to(0, 4), GRACE_MS);
    let mut other = before_the_copy();
    let renewed = server("i-2", at(0, 5));
    other.apply_record(&"i-2".into(), Some(renewed), at(0, 5), up_to(0, 6));
    let known = SyncPoint::Cursor(expiring.cursor());
    let mut update = other
        .update_for(known, Scope::ALL)
        .expect("a complete directory");
    other.include_entries(&mut update, &expiring.expiring_names());
    expiring.update_to(update, other.cursor());
    assert!(expiring.remove_expired(GRACE_MS).is_empty());
    assert!(has(&expiring, "i-2"));
}

quickcheck! {
    /// For any loss of records and any order of reads, all instances end with the operator's last
    /// order once the operator has rewritten it.
    fn all_end_with_the_operators_last_word(
        orders: Vec<bool>,
        copied: u8,
        reads: Vec<(bool, u8)>
    ) -> TestResult {
        if orders.is_empty() {
            return TestResult::discard();
        }
        let records = |evacuations: &mut Evacuations, era, from: usize, to: usize| {
            for (offset, is_evacuated) in orders.iter().enumerate().take(to).skip(from) {
                evacuations.apply(zone(), *is_evacuated, at(era, offset as u64));
            }
        };
        let copied = usize::from(copied) % (orders.len() + 1);
        let mut instances: Vec<Evacuations> = Vec::new();
        for (knew_before, known_up_to) in reads {
            let mut evacuations = Evacuations::default();
            if knew_before {
                let known_up_to = usize::from(known_up_to) % (orders.len() + 1);
                records(&mut evacuations, 0, 0, known_up_to);
                let cursor = Cursor::default().advanced_to(0, known_up_to as u64);
                evacuations.advance_cursor(cursor);
            }
            // Each instance reads the copy first.
            let last = orders[..copied].iter().rposition(|_| true);
            let listed = last.filter(|last| orders[*last]);
            read_copy(&mut evacuations, listed.map(|offset| offset as u64), copied as u64);
            instances.push(evacuations);
        }
        // The operator rewrites all its orders.
        for evacuations in &mut instances {
            records(evacuations, 1, copied, orders.len());
            if copied == orders.len() {
                // Nothing was lost, so nothing is rewritten.
                evacuations.apply_due_changes(MISSING_GRACE_MS);
            }
            let cursor = evacuations.cursor().advanced_to(1, orders.len() as u64);
            evacuations.advance_cursor(cursor);
        }
        let last = orders.last().copied().unwrap_or_default();
        let states: BTreeSet<bool> = instances.iter().map(is_evacuated).collect();
        TestResult::from_bool(states.iter().all(|state| *state == last))
    }
}
