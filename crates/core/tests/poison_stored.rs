//! Persistent records of quarantined requests on a log with limited retention.

use savoryvane_core::{
    ids::BackendName,
    poison::{
        CrashReport, CrashSubject, CrashTracker, Evidence, QuarantineSettings, Renewal,
        RequestDigest, StoredChange, StoredCrash, StoredCrashes, StoredRecords,
    },
};

const MINUTE_MS: u64 = 60_000;
/// Retention time of the log, in ms.
const RETENTION_MS: u64 = 30 * MINUTE_MS;

fn digest(number: u8) -> CrashSubject {
    RequestDigest([number; 16]).into()
}

fn stored(number: u8, servers: &[&str]) -> StoredCrashes {
    let ends = servers.iter().map(|server| StoredCrash {
        server: BackendName::new(*server),
        evidence: Evidence::Refused,
        is_isolated: false,
    });
    StoredCrashes {
        subject: digest(number),
        ends: ends.collect(),
    }
}

/// Returns a tracker in which three servers have crashed under one request.
fn tracker() -> CrashTracker {
    let mut tracker = CrashTracker::new(QuarantineSettings::default());
    for server in ["i-1", "i-2", "i-3"] {
        let record = CrashReport {
            subject: digest(1),
            server: BackendName::new(server),
            evidence: Evidence::Refused,
            age_ms: 0,
            is_withdrawn: false,
            is_isolated: false,
        };
        tracker.on_crash(0, record);
    }
    tracker
}

/// Writes the records that are due, and returns their number.
fn write(now_ms: u64, renewal: &mut Renewal, tracker: &mut CrashTracker) -> usize {
    let due = renewal.to_write(now_ms, tracker);
    due.iter().for_each(|record| tracker.on_persisted(record));
    renewal.on_written(now_ms);
    due.len()
}

/// Two writers on different sides of a partition write concurrently.
#[test]
fn records_add_up_until_one_takes_them_back() {
    let mut records = StoredRecords::default();
    records.add(stored(1, &["i-1", "i-2", "i-3"]));
    records.add(stored(2, &["i-1", "i-2", "i-3"]));
    let all = stored(1, &["i-1", "i-2", "i-3", "i-4"]);
    let added = records.add(stored(1, &["i-1", "i-2", "i-4"]));
    assert_eq!(added, StoredChange::Persisted(all.clone()));
    assert_eq!(records.add(stored(1, &[])), StoredChange::Removed(all));
    let empty = stored(3, &[]);
    assert_eq!(records.add(empty.clone()), StoredChange::Removed(empty));
    let again = stored(1, &["i-5", "i-6", "i-7"]);
    assert_eq!(records.add(again.clone()), StoredChange::Persisted(again));
}

/// The log delivers late, or an instance writes that this one does not reach.
#[test]
fn one_that_reads_on_knows_what_others_keep_and_take_back() {
    let mut records = StoredRecords::default();
    let mut tracker = CrashTracker::new(QuarantineSettings::default());
    let mut read =
        |tracker: &mut CrashTracker, record| tracker.on_log_change(0, records.add(record));
    read(&mut tracker, stored(1, &["i-1", "i-2", "i-3"]));
    assert_eq!(tracker.ends(0, &digest(1)), 3);
    assert!(tracker.unpersisted().is_empty(), "the log already has it");
    read(&mut tracker, stored(1, &[]));
    assert_eq!(tracker.ends(0, &digest(1)), 0);
    assert!(tracker.unpersisted().is_empty(), "it is not removed twice");
    // Later crashes are not removed with the earlier ones.
    read(&mut tracker, stored(1, &["i-4", "i-5", "i-6"]));
    assert_eq!(tracker.ends(0, &digest(1)), 3);
    // The removal of an unknown request leaves no entry.
    read(&mut tracker, stored(2, &[]));
    assert_eq!(tracker.len(), 1);
}

#[test]
fn reading_its_own_records_changes_nothing() {
    let mut records = StoredRecords::default();
    let mut tracker = tracker();
    let to_write = tracker.unpersisted();
    tracker.on_persisted(&to_write[0]);
    let revision = tracker.revision();
    tracker.on_log_change(0, records.add(to_write[0].clone()));
    assert_eq!(tracker.revision(), revision);
    assert!(tracker.unpersisted().is_empty());
}

/// The first write has all records, since the previous writer may have stopped long ago.
#[test]
fn what_is_kept_is_written_again_before_the_log_forgets_it() {
    let mut tracker = tracker();
    let mut renewal = Renewal::new(RETENTION_MS);
    let mut written_at_ms = Vec::new();
    for minute in 0..30 {
        let now_ms = minute * MINUTE_MS;
        let written = write(now_ms, &mut renewal, &mut tracker);
        written_at_ms.extend(std::iter::repeat_n(now_ms, written));
    }
    assert_eq!(written_at_ms, [0, 10 * MINUTE_MS, 20 * MINUTE_MS]);
}

#[test]
fn a_renewal_that_failed_is_due_still() {
    let mut tracker = tracker();
    let mut renewal = Renewal::new(RETENTION_MS);
    write(0, &mut renewal, &mut tracker);
    let due_ms = RETENTION_MS / 3;
    assert_eq!(renewal.to_write(due_ms, &tracker).len(), 1);
    assert_eq!(renewal.to_write(due_ms + 1, &tracker).len(), 1);
    renewal.on_written(due_ms + 1);
    assert!(renewal.to_write(due_ms + 2, &tracker).is_empty());
}

#[test]
fn the_record_of_a_cleared_request_is_removed_at_once() {
    let mut tracker = tracker();
    let mut renewal = Renewal::new(RETENTION_MS);
    write(0, &mut renewal, &mut tracker);
    tracker.on_answered(1, digest(1));
    let to_write = renewal.to_write(1, &tracker);
    assert_eq!(to_write, [stored(1, &[])]);
    let at_renewal = renewal.to_write(RETENTION_MS, &tracker);
    assert_eq!(at_renewal, to_write);
    tracker.on_persisted(&to_write[0]);
    assert!(renewal.to_write(2, &tracker).is_empty());
}
