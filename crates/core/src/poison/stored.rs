//! Persistent records of quarantined requests, which outlast all instances.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{CrashSubject, CrashTracker, Evidence};
use crate::ids::BackendName;

/// Divisor of a log's retention time that gives the renewal interval of its records; two writes
/// may fail before a record is lost.
const RENEWAL_DIVISOR: u64 = 3;

/// Persistent record of a quarantined request or prompt part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    /// The request or prompt part.
    #[serde(rename = "digest")]
    pub subject: CrashSubject,
    /// Crashes that count; empty to remove the subject.
    pub ends: Vec<StoredCrash>,
}

/// A crash in a persistent record. It has no time, since the clocks of different machines differ
/// and the instances that knew its age may all have restarted; its age counts from when it is
/// read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    /// Run of the server.
    pub server: BackendName,
    /// Evidence of the crash.
    pub evidence: Evidence,
    /// Whether it happened in an isolated run.
    #[serde(default)]
    pub is_isolated: bool,
}

impl StoredCrashes {
    /// Creates the record that removes a subject.
    pub(super) fn empty(subject: CrashSubject) -> Self {
        Self {
            subject,
            ends: Vec::new(),
        }
    }
}

/// Change by a record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredChange {
    /// The log has a subject with all these crashes.
    Persisted(StoredCrashes),
    /// The subject was removed from the log, and these crashes no longer count.
    Removed(StoredCrashes),
}

/// State that results from the records of a log, from the first to the last one read.
#[derive(Debug, Default)]
pub struct StoredRecords(BTreeMap<CrashSubject, Vec<StoredCrash>>);

impl StoredRecords {
    /// Applies the next record. Instances may write concurrently, for example during a
    /// partition, so that a record adds to the earlier ones of its subject; a record without
    /// crashes removes the subject.
    pub fn add(&mut self, stored: StoredCrashes) -> StoredChange {
        let StoredCrashes { subject, ends } = stored;
        if ends.is_empty() {
            let ends = self.0.remove(&subject).unwrap_or_default();
            return StoredChange::Removed(StoredCrashes { subject, ends });
        }
        let known = self.0.entry(subject).or_default();
        for end in ends {
            if !known.iter().any(|known| known.server == end.server) {
                known.push(end);
            }
        }
        StoredChange::Persisted(StoredCrashes {
            subject,
            ends: known.clone(),
        })
    }
}

/// Schedules the renewal of records in a log with limited retention.
#[derive(Debug)]
pub struct Renewal {
    interval_ms: u64,
    due_at_ms: u64,
}

impl Renewal {
    /// Creates a schedule with a renewal due now, since the previous writer may have stopped
    /// just before its own.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            interval_ms: retention_ms / RENEWAL_DIVISOR,
            due_at_ms: 0,
        }
    }

    /// Returns the records of `tracker` that are to be written now.
    pub fn to_write(&self, now_ms: u64, tracker: &CrashTracker) -> Vec<StoredCrashes> {
        match now_ms >= self.due_at_ms {
            true => tracker.all_persistable(),
            false => tracker.unpersisted(),
        }
    }

    /// Records that everything that was to be written at `now_ms` has been written.
    pub fn on_written(&mut self, now_ms: u64) {
        if now_ms >= self.due_at_ms {
            self.due_at_ms = now_ms + self.interval_ms;
        }
    }
}
