//! Quarantined requests as they are kept where they outlast every instance.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{CrashTracker, Evidence, RequestDigest};
use crate::ids::BackendName;

/// Part of the time for which a log keeps its records after which they are written again:
/// two writes may fail before any is lost.
const RENEWAL_DIVISOR: u64 = 3;

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    /// The request.
    pub digest: RequestDigest,
    /// The ends that count; none once the request is forgotten.
    pub ends: Vec<StoredCrash>,
}

/// One of these ends. When it was is not kept: clocks of different machines differ, and
/// all that could tell have started again, so that it counts from when it is read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    /// Run of the server.
    pub server: BackendName,
    /// What says that it has ended.
    pub evidence: Evidence,
}

impl StoredCrashes {
    /// Returns what is kept of a request that is forgotten.
    pub(super) fn empty(digest: RequestDigest) -> Self {
        Self {
            digest,
            ends: Vec::new(),
        }
    }
}

/// What a record of the log changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredChange {
    /// The log keeps a request, with all these ends.
    Persisted(StoredCrashes),
    /// The log keeps a request no more, and these ends count no more.
    Removed(StoredCrashes),
}

/// What the records of a log come to, from the first to the last that was read.
#[derive(Debug, Default)]
pub struct StoredRecords(BTreeMap<RequestDigest, Vec<StoredCrash>>);

impl StoredRecords {
    /// Takes over the next record. Two may have written beside each other, as while zones
    /// are cut off, so that one adds to those before; one without ends takes them back.
    pub fn add(&mut self, stored: StoredCrashes) -> StoredChange {
        let StoredCrashes { digest, ends } = stored;
        if ends.is_empty() {
            let ends = self.0.remove(&digest).unwrap_or_default();
            return StoredChange::Removed(StoredCrashes { digest, ends });
        }
        let known = self.0.entry(digest).or_default();
        for end in ends {
            if !known.iter().any(|known| known.server == end.server) {
                known.push(end);
            }
        }
        StoredChange::Persisted(StoredCrashes {
            digest,
            ends: known.clone(),
        })
    }
}

/// When a log that keeps its records for some time is written.
#[derive(Debug)]
pub struct Renewal {
    renewal_ms: u64,
    due_ms: u64,
}

impl Renewal {
    /// Begins with all of it due: whoever wrote before may have been about to.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            renewal_ms: retention_ms / RENEWAL_DIVISOR,
            due_ms: 0,
        }
    }

    /// Returns what is to be written now of a book.
    pub fn to_write(&self, now_ms: u64, book: &CrashTracker) -> Vec<StoredCrashes> {
        match now_ms >= self.due_ms {
            true => book.all_persistable(),
            false => book.unpersisted(),
        }
    }

    /// Notes that all that was to be written at `now_ms` is.
    pub fn on_written(&mut self, now_ms: u64) {
        if now_ms >= self.due_ms {
            self.due_ms = now_ms + self.renewal_ms;
        }
    }
}
