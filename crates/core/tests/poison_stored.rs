//! What is kept of quarantined requests on a log that forgets.

use savoryvane_core::{
    ids::BackendName,
    poison::{
        CrashReport, CrashTracker, Evidence, QuarantineSettings, Renewal, RequestDigest,
        StoredChange, StoredCrash, StoredCrashes, StoredRecords,
    },
};

const MINUTE_MS: u64 = 60_000;
/// Time for which the log keeps its records.
const RETENTION_MS: u64 = 30 * MINUTE_MS;

fn digest(number: u8) -> RequestDigest {
    RequestDigest([number; 16])
}

fn stored(number: u8, servers: &[&str]) -> StoredCrashes {
    let ends = servers.iter().map(|server| StoredCrash {
        server: BackendName::new(*server),
        evidence: Evidence::Refused,
    });
    StoredCrashes {
        digest: digest(number),
        ends: ends.collect(),
    }
}

/// A book in which three servers have ended under one request.
fn book() -> CrashTracker {
    let mut book = CrashTracker::new(QuarantineSettings::default());
    for server in ["i-1", "i-2", "i-3"] {
        let record = CrashReport {
            digest: digest(1),
            server: BackendName::new(server),
            evidence: Evidence::Refused,
            age_ms: 0,
            is_withdrawn: false,
        };
        book.on_crash(0, record);
    }
    book
}

/// Writes what is due, and returns how many requests were.
fn write(now_ms: u64, renewal: &mut Renewal, book: &mut CrashTracker) -> usize {
    let due = renewal.to_write(now_ms, book);
    due.iter().for_each(|kept| book.on_persisted(kept));
    renewal.on_written(now_ms);
    due.len()
}

/// Two that are cut off from each other write beside each other.
#[test]
fn records_add_up_until_one_takes_them_back() {
    let mut kept = StoredRecords::default();
    kept.add(stored(1, &["i-1", "i-2", "i-3"]));
    kept.add(stored(2, &["i-1", "i-2", "i-3"]));
    let all = stored(1, &["i-1", "i-2", "i-3", "i-4"]);
    let added = kept.add(stored(1, &["i-1", "i-2", "i-4"]));
    assert_eq!(added, StoredChange::Persisted(all.clone()));
    assert_eq!(kept.add(stored(1, &[])), StoredChange::Removed(all));
    let nothing = stored(3, &[]);
    assert_eq!(kept.add(nothing.clone()), StoredChange::Removed(nothing));
    let again = stored(1, &["i-5", "i-6", "i-7"]);
    assert_eq!(kept.add(again.clone()), StoredChange::Persisted(again));
}

/// Its log delivers late, or somebody writes whom it does not reach.
#[test]
fn one_that_reads_on_knows_what_others_keep_and_take_back() {
    let mut kept = StoredRecords::default();
    let mut book = CrashTracker::new(QuarantineSettings::default());
    let mut read = |book: &mut CrashTracker, record| book.on_log_change(0, kept.add(record));
    read(&mut book, stored(1, &["i-1", "i-2", "i-3"]));
    assert_eq!(book.ends(0, &digest(1)), 3);
    assert!(book.unpersisted().is_empty(), "the log keeps it already");
    read(&mut book, stored(1, &[]));
    assert_eq!(book.ends(0, &digest(1)), 0);
    assert!(book.unpersisted().is_empty(), "nor is it taken back twice");
    // What has ended since is not taken back with it.
    read(&mut book, stored(1, &["i-4", "i-5", "i-6"]));
    assert_eq!(book.ends(0, &digest(1)), 3);
    // One that is not known here leaves nothing behind.
    read(&mut book, stored(2, &[]));
    assert_eq!(book.len(), 1);
}

#[test]
fn what_an_instance_reads_of_its_own_changes_nothing() {
    let mut kept = StoredRecords::default();
    let mut book = book();
    let to_write = book.unpersisted();
    book.on_persisted(&to_write[0]);
    let revision = book.revision();
    book.on_log_change(0, kept.add(to_write[0].clone()));
    assert_eq!(book.revision(), revision);
    assert!(book.unpersisted().is_empty());
}

/// The first time all is written: whoever wrote before may be gone since long ago.
#[test]
fn what_is_kept_is_written_again_before_the_log_forgets_it() {
    let mut book = book();
    let mut renewal = Renewal::new(RETENTION_MS);
    let mut written_at_ms = Vec::new();
    for minute in 0..30 {
        let now_ms = minute * MINUTE_MS;
        let written = write(now_ms, &mut renewal, &mut book);
        written_at_ms.extend(std::iter::repeat_n(now_ms, written));
    }
    assert_eq!(written_at_ms, [0, 10 * MINUTE_MS, 20 * MINUTE_MS]);
}

#[test]
fn a_renewal_that_failed_is_due_still() {
    let mut book = book();
    let mut renewal = Renewal::new(RETENTION_MS);
    write(0, &mut renewal, &mut book);
    let due_ms = RETENTION_MS / 3;
    assert_eq!(renewal.to_write(due_ms, &book).len(), 1);
    assert_eq!(renewal.to_write(due_ms + 1, &book).len(), 1);
    renewal.on_written(due_ms + 1);
    assert!(renewal.to_write(due_ms + 2, &book).is_empty());
}

#[test]
fn a_request_that_was_cleared_is_taken_back_at_once() {
    let mut book = book();
    let mut renewal = Renewal::new(RETENTION_MS);
    write(0, &mut renewal, &mut book);
    book.on_answered(1, digest(1));
    let to_write = renewal.to_write(1, &book);
    assert_eq!(to_write, [stored(1, &[])]);
    let at_renewal = renewal.to_write(RETENTION_MS, &book);
    assert_eq!(at_renewal, to_write);
    book.on_persisted(&to_write[0]);
    assert!(renewal.to_write(2, &book).is_empty());
}
