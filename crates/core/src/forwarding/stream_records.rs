//! Records of the servers at which streams began, for callers that take a stream up again.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::{PoolName, RequestId, SoftwareVersion, WorkspaceName};

/// Longest time after which a caller may take up a stream that is not recorded, in ms.
pub const MAX_CALLER_WAIT_MS: u64 = 30_000;
/// The same for a stream that is recorded; a longer deadline counts as this one.
const MAX_RECORDED_WAIT_MS: u64 = 120_000;
/// Time by which a record outlives its caller's deadline, in ms: a request that was sent at the
/// deadline may arrive later.
pub(super) const RECORD_MARGIN_MS: u64 = 2_000;
/// Most records that an instance keeps, about 3 MB.
const MAX_RECORDS: usize = 16_384;

/// Identifies a stream: the request of its caller that brought the first event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey {
    /// Workspace of the caller, whose streams no other workspace can name.
    pub workspace: Option<WorkspaceName>,
    /// Identifier of the request.
    pub request: RequestId,
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the server.
    pub service: PoolName,
    /// Version of the server's software.
    pub software: SoftwareVersion,
}

/// Record of a stream, as instances exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Time for which its caller may still take it up, in ms.
    pub left_ms: u64,
}

impl StreamRecord {
    /// Returns whether its caller may take it up only while its version can be known without a
    /// record.
    pub fn is_short(&self) -> bool {
        self.left_ms <= record_left_ms(MAX_CALLER_WAIT_MS)
    }
}

/// What an instance knows of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedOrigin {
    /// It began here.
    Known(StreamOrigin),
    /// Two streams with this key began at different places.
    Ambiguous,
    /// There is no record.
    Absent,
}

/// Whether other instances have a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replication {
    /// They sent it, or it was sent to them.
    Done,
    /// It is known to this instance only.
    Pending,
}

#[derive(Clone, Debug)]
struct Entry {
    /// None if it is ambiguous.
    origin: Option<StreamOrigin>,
    until_ms: u64,
    /// Distinguishes entries that end at the same time.
    number: u64,
    replication: Replication,
}

/// Records of streams that their callers may still take up. If there are too many, those that end
/// first are evicted.
#[derive(Debug, Default)]
pub struct StreamRecords {
    entries: HashMap<StreamKey, Entry>,
    by_end: BTreeMap<(u64, u64), StreamKey>,
    inserted: u64,
}

/// Returns the time for which the caller of a stream may take it up, in ms, if `deadline_left_ms`
/// are left until its deadline.
pub fn record_left_ms(deadline_left_ms: u64) -> u64 {
    deadline_left_ms.min(MAX_RECORDED_WAIT_MS) + RECORD_MARGIN_MS
}

impl StreamRecords {
    /// Returns the number of records.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Adds a record of a stream that began at this instance and that no other one knows.
    pub fn insert_own(&mut self, now_ms: u64, record: StreamRecord) {
        self.insert(now_ms, record, Replication::Pending);
    }

    /// Adds a record that other instances have too.
    pub fn insert_shared(&mut self, now_ms: u64, record: StreamRecord) {
        self.insert(now_ms, record, Replication::Done);
    }

    fn insert(&mut self, now_ms: u64, record: StreamRecord, replication: Replication) {
        self.remove_expired(now_ms);
        let left_ms = record.left_ms.min(MAX_RECORDED_WAIT_MS + RECORD_MARGIN_MS);
        let mut entry = Entry {
            origin: Some(record.origin),
            until_ms: now_ms + left_ms,
            number: self.inserted,
            replication,
        };
        self.inserted += 1;
        if let Some(known) = self.remove(&record.key) {
            entry.until_ms = entry.until_ms.max(known.until_ms);
            if known.origin != entry.origin {
                entry.origin = None;
            }
        }
        self.by_end
            .insert((entry.until_ms, entry.number), record.key.clone());
        self.entries.insert(record.key, entry);
        if self.entries.len() > MAX_RECORDS
            && let Some((_, first)) = self.by_end.pop_first()
        {
            self.entries.remove(&first);
        }
    }

    fn remove(&mut self, key: &StreamKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.by_end.remove(&(entry.until_ms, entry.number));
        Some(entry)
    }

    /// Removes the records of streams that can no longer be taken up.
    pub fn remove_expired(&mut self, now_ms: u64) {
        while let Some(first) = self.by_end.first_entry() {
            if first.key().0 > now_ms {
                return;
            }
            let key = first.remove();
            self.entries.remove(&key);
        }
    }

    /// Returns the origin of a stream.
    pub fn origin(&self, now_ms: u64, key: &StreamKey) -> RecordedOrigin {
        let entry = self.entries.get(key);
        match entry.filter(|entry| entry.until_ms > now_ms) {
            None => RecordedOrigin::Absent,
            Some(Entry { origin: None, .. }) => RecordedOrigin::Ambiguous,
            Some(Entry {
                origin: Some(origin),
                ..
            }) => RecordedOrigin::Known(origin.clone()),
        }
    }

    /// Returns the records that no other instance has and that `is_needed` selects, and treats
    /// them as sent to others from now on.
    pub fn take_pending(
        &mut self,
        now_ms: u64,
        is_needed: impl Fn(&StreamOrigin) -> bool,
    ) -> Vec<StreamRecord> {
        let mut pending = Vec::new();
        for (key, entry) in &mut self.entries {
            let Some(origin) = entry.origin.as_ref() else {
                continue;
            };
            if entry.replication == Replication::Pending && is_needed(origin) {
                entry.replication = Replication::Done;
                pending.push(record_of(now_ms, key, origin, entry.until_ms));
            }
        }
        pending
    }

    /// Returns the records that other instances have too.
    pub fn shared(&self, now_ms: u64) -> Vec<StreamRecord> {
        let shared = self.entries.iter();
        let shared = shared.filter(|(_, entry)| entry.replication == Replication::Done);
        let records = shared.filter_map(|(key, entry)| {
            let origin = entry.origin.as_ref()?;
            Some(record_of(now_ms, key, origin, entry.until_ms))
        });
        records.collect()
    }
}

fn record_of(now_ms: u64, key: &StreamKey, origin: &StreamOrigin, until_ms: u64) -> StreamRecord {
    StreamRecord {
        key: key.clone(),
        origin: origin.clone(),
        left_ms: until_ms.saturating_sub(now_ms),
    }
}
