//! Tracks which servers have crashed under which requests.
//!
//! Trackers of different instances converge regardless of the order in which they merge reports:
//! a crash is identified by the server run, and a withdrawal is final.

use std::collections::{BTreeMap, HashMap};

use super::{
    AdvertisedCrashes, CrashReport, Evidence, QuarantineSettings, QuarantineStatus, RequestDigest,
    StoredChange, StoredCrash, StoredCrashes, recent::RecentAnswers,
};
use crate::ids::BackendName;

/// Number of crashes under a request after which it is quarantined.
pub const CRASHES_TO_QUARANTINE: u32 = 3;
/// Number of crashes under a request after which it is isolated from the other suspects.
pub const CRASHES_TO_ISOLATE: u32 = 2;
/// Most doublings of the quarantine time, one for each further crash in a trial run: ten minutes
/// become eleven hours.
const MAX_DOUBLINGS: u32 = 6;
/// Most tracked crashes of one request; with those of its trial runs, enough for the longest
/// quarantine.
const MAX_CRASHES: usize = 10;

/// One crash of a server under a request.
#[derive(Clone, Debug)]
struct Crash {
    server: BackendName,
    evidence: Evidence,
    at_ms: u64,
    is_withdrawn: bool,
    /// Whether this instance observed or withdrew it.
    is_local: bool,
}

/// Tracked state of one request.
#[derive(Clone, Debug, Default)]
struct Entry {
    crashes: Vec<Crash>,
    /// Revision of the last change.
    revision: u64,
    /// Number of crashes in the persistent record.
    stored_crashes: u32,
}

impl Entry {
    /// Iterates over the crashes that count.
    fn counting(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_withdrawn)
    }

    fn count(&self) -> u32 {
        self.counting().count() as u32
    }

    fn last_crash_ms(&self) -> u64 {
        let last = self.counting().map(|crash| crash.at_ms).max();
        last.or(self.crashes.iter().map(|crash| crash.at_ms).max())
            .unwrap_or(0)
    }

    fn quarantine_until_ms(&self, settings: &QuarantineSettings) -> Option<u64> {
        let beyond = self.count().checked_sub(CRASHES_TO_QUARANTINE)?;
        let quarantine_ms = settings.quarantine_ms << beyond.min(MAX_DOUBLINGS);
        Some(self.last_crash_ms() + quarantine_ms)
    }

    /// Returns the time from which the request is no longer tracked, in ms. After a quarantine,
    /// it is tracked for another `quarantine_ms`, so that a trial run can take place.
    fn expires_at_ms(&self, settings: &QuarantineSettings) -> u64 {
        let until_ms = self.quarantine_until_ms(settings);
        until_ms.unwrap_or(self.last_crash_ms()) + settings.quarantine_ms
    }

    fn records(&self, now_ms: u64, digest: RequestDigest) -> impl Iterator<Item = CrashReport> {
        self.crashes.iter().map(move |crash| CrashReport {
            digest,
            server: crash.server.clone(),
            evidence: crash.evidence,
            age_ms: now_ms.saturating_sub(crash.at_ms),
            is_withdrawn: crash.is_withdrawn,
        })
    }

    fn to_stored(&self, digest: RequestDigest) -> StoredCrashes {
        let ends = self.counting().map(|crash| StoredCrash {
            server: crash.server.clone(),
            evidence: crash.evidence,
        });
        StoredCrashes {
            digest,
            ends: ends.collect(),
        }
    }

    /// Merges a report; returns whether anything changed.
    fn merge(&mut self, now_ms: u64, record: CrashReport, is_local: bool) -> bool {
        let at_ms = now_ms.saturating_sub(record.age_ms);
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|crash| crash.server == record.server) {
            // The earliest observation is the closest to the crash.
            known.at_ms = known.at_ms.min(at_ms);
            let is_newly_withdrawn = record.is_withdrawn && !known.is_withdrawn;
            known.is_withdrawn |= record.is_withdrawn;
            known.is_local |= is_local;
            return is_newly_withdrawn;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let Some(oldest) = self.crashes.iter().position(|crash| crash.is_withdrawn) else {
                return false;
            };
            self.crashes.remove(oldest);
        }
        self.crashes.push(Crash {
            server: record.server,
            evidence: record.evidence,
            at_ms,
            is_withdrawn: record.is_withdrawn,
            is_local,
        });
        true
    }
}

/// Server crashes by request.
#[derive(Debug)]
pub struct CrashTracker {
    settings: QuarantineSettings,
    entries: HashMap<RequestDigest, Entry>,
    /// Requests by the revision of their last change.
    by_revision: BTreeMap<u64, RequestDigest>,
    revision: u64,
    answered: RecentAnswers,
    /// Requests that are no longer tracked and whose persistent records are to be removed.
    to_remove: Vec<RequestDigest>,
}

impl CrashTracker {
    /// Creates an empty tracker.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            by_revision: BTreeMap::new(),
            revision: 0,
            answered: RecentAnswers::default(),
            to_remove: Vec::new(),
        }
    }

    /// Returns the number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of tracked requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the status of a request.
    pub fn status(&self, now_ms: u64, digest: &RequestDigest) -> QuarantineStatus {
        let Some(entry) = self.entries.get(digest) else {
            return QuarantineStatus::Clear;
        };
        let ends = entry.count();
        let until_ms = entry.quarantine_until_ms(&self.settings);
        if let Some(until_ms) = until_ms.filter(|until_ms| now_ms < *until_ms) {
            let retry_after_ms = until_ms - now_ms;
            return QuarantineStatus::Quarantined {
                ends,
                retry_after_ms,
            };
        }
        if ends == 0 || now_ms >= entry.expires_at_ms(&self.settings) {
            return QuarantineStatus::Clear;
        }
        QuarantineStatus::Suspect { ends }
    }

    /// Returns the number of crashes that count against a request.
    pub fn ends(&self, now_ms: u64, digest: &RequestDigest) -> u32 {
        self.status(now_ms, digest).ends()
    }

    /// Records a crash that this instance observed, unless the request was answered recently: a
    /// request that many callers send continuously is running on any server that crashes.
    /// Returns whether the crash counts.
    pub fn on_crash(&mut self, now_ms: u64, record: CrashReport) -> bool {
        if self.answered.contains(now_ms, &record.digest) {
            return false;
        }
        self.merge(now_ms, record, true);
        true
    }

    /// Merges reports of other instances; returns whether anything changed.
    pub fn on_reports(&mut self, now_ms: u64, records: Vec<CrashReport>) -> bool {
        let before = self.revision;
        for record in records {
            self.merge(now_ms, record, false);
        }
        self.revision != before
    }

    /// Merges persistent records.
    pub fn on_loaded(&mut self, now_ms: u64, stored: Vec<StoredCrashes>) {
        for StoredCrashes { digest, ends } in stored {
            let stored_crashes = ends.len() as u32;
            let records = ends.into_iter().map(|crash| CrashReport {
                digest,
                server: crash.server,
                evidence: crash.evidence,
                age_ms: 0,
                is_withdrawn: false,
            });
            self.on_reports(now_ms, records.collect());
            if let Some(entry) = self.entries.get_mut(&digest) {
                // Crashes that the record lacks are still to be persisted.
                entry.stored_crashes = stored_crashes;
            }
        }
    }

    /// Applies the next change of a log that other instances write as well.
    pub fn on_log_change(&mut self, now_ms: u64, change: StoredChange) {
        match change {
            StoredChange::Persisted(stored) => self.on_loaded(now_ms, vec![stored]),
            StoredChange::Removed(stored) => {
                let is_affected =
                    |crash: &Crash| stored.ends.iter().any(|s| s.server == crash.server);
                self.withdraw(stored.digest, is_affected);
                self.on_persisted(&StoredCrashes::empty(stored.digest));
            }
        }
    }

    /// Records a complete response to a request, which clears it. Returns whether any crash
    /// counted against it.
    pub fn on_answered(&mut self, now_ms: u64, digest: RequestDigest) -> bool {
        self.answered.add(now_ms, digest);
        self.withdraw(digest, |_| true)
    }

    /// Records that a server is still running. Returns whether it was considered crashed.
    pub fn on_still_running(&mut self, digest: RequestDigest, server: &BackendName) -> bool {
        self.withdraw(digest, |crash| crash.server == *server)
    }

    fn withdraw(&mut self, digest: RequestDigest, is_affected: impl Fn(&Crash) -> bool) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else {
            return false;
        };
        let mut has_changed = false;
        for crash in entry.crashes.iter_mut().filter(|crash| is_affected(crash)) {
            has_changed |= !crash.is_withdrawn;
            crash.is_withdrawn = true;
            crash.is_local = true;
        }
        if has_changed {
            self.record_change(digest);
        }
        has_changed
    }

    fn merge(&mut self, now_ms: u64, record: CrashReport, is_local: bool) {
        let digest = record.digest;
        let entry = self.entries.entry(digest).or_default();
        if entry.merge(now_ms, record, is_local) {
            self.record_change(digest);
            self.evict_excess();
        }
    }

    fn record_change(&mut self, digest: RequestDigest) {
        self.revision += 1;
        if let Some(entry) = self.entries.get_mut(&digest) {
            self.by_revision.remove(&entry.revision);
            entry.revision = self.revision;
            self.by_revision.insert(self.revision, digest);
        }
    }

    /// Evicts the oldest request among those with the fewest crashes, if there are too many:
    /// callers that vary a request crash one server with each variant and never repeat it.
    fn evict_excess(&mut self) {
        if self.entries.len() <= self.settings.max_requests {
            return;
        }
        let entries = self.entries.iter();
        let least =
            entries.min_by_key(|(digest, entry)| (entry.count(), entry.last_crash_ms(), **digest));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.remove(&digest);
        }
    }

    fn remove(&mut self, digest: &RequestDigest) {
        let Some(entry) = self.entries.remove(digest) else {
            return;
        };
        self.by_revision.remove(&entry.revision);
        if entry.stored_crashes > 0 {
            self.to_remove.push(*digest);
        }
    }

    /// Removes the requests whose tracking time has passed.
    pub fn forget_expired(&mut self, now_ms: u64) {
        let settings = self.settings;
        let entries = self.entries.iter();
        let expired = entries.filter(|(_, entry)| now_ms >= entry.expires_at_ms(&settings));
        let expired: Vec<RequestDigest> = expired.map(|(digest, _)| *digest).collect();
        for digest in expired {
            self.remove(&digest);
        }
    }

    /// Returns the reports since `revision` that fit into one message. If they do not all fit,
    /// requests with a single crash are omitted: hundreds of servers that crash together leave
    /// thousands of these, none of which gets a second crash, and sending all of them to 295
    /// instances took 575 KB/s.
    pub fn reports_since(&self, now_ms: u64, revision: u64) -> AdvertisedCrashes {
        let max_records = self.settings.told_at_once;
        let changed = self.by_revision.range(revision + 1..);
        let changed = changed.filter_map(|(changed_at, digest)| {
            Some((*changed_at, *digest, self.entries.get(digest)?))
        });
        let changed: Vec<(u64, RequestDigest, &Entry)> = changed.collect();
        let total: usize = changed
            .iter()
            .map(|(_, _, entry)| entry.crashes.len())
            .sum();
        let mut update = AdvertisedCrashes {
            records: Vec::new(),
            revision,
        };
        for (changed_at, digest, entry) in changed {
            if total > max_records && entry.crashes.len() == 1 {
                continue;
            }
            let is_full = update.records.len() + entry.crashes.len() > max_records;
            if is_full && !update.records.is_empty() {
                return update;
            }
            update.records.extend(entry.records(now_ms, digest));
            update.revision = changed_at;
        }
        update.revision = self.revision;
        update
    }

    /// Returns the reports of crashes that this instance observed or withdrew.
    pub fn own_reports(&self, now_ms: u64) -> Vec<CrashReport> {
        let entries = self.entries.iter();
        let reports = entries.flat_map(|(digest, entry)| {
            let records = entry.records(now_ms, *digest);
            let are_local = entry.crashes.iter().map(|crash| crash.is_local);
            records
                .zip(are_local)
                .filter_map(|(record, is_local)| is_local.then_some(record))
        });
        reports.collect()
    }

    /// Returns the reports of one request.
    pub fn records(&self, now_ms: u64, digest: &RequestDigest) -> Vec<CrashReport> {
        let entry = self.entries.get(digest);
        entry.map_or_else(Vec::new, |entry| entry.records(now_ms, *digest).collect())
    }

    /// Returns the records that are not persisted yet: quarantined requests with their crashes,
    /// and expired or cleared requests without any. Each is confirmed with
    /// [`on_persisted`](Self::on_persisted) once it is written.
    pub fn unpersisted(&self) -> Vec<StoredCrashes> {
        let mut to_persist: Vec<StoredCrashes> = Vec::new();
        for (digest, entry) in &self.entries {
            let count = entry.count();
            if count >= CRASHES_TO_QUARANTINE && entry.stored_crashes < count {
                to_persist.push(entry.to_stored(*digest));
            }
            if count < CRASHES_TO_QUARANTINE && entry.stored_crashes > 0 {
                to_persist.push(StoredCrashes::empty(*digest));
            }
        }
        to_persist.extend(self.to_remove.iter().copied().map(StoredCrashes::empty));
        to_persist
    }

    /// Returns all records to persist, including those that are persisted already.
    pub fn all_persistable(&self) -> Vec<StoredCrashes> {
        let mut to_persist = self.unpersisted();
        let entries = self.entries.iter();
        let persisted = entries.filter(|(_, entry)| {
            let count = entry.count();
            count >= CRASHES_TO_QUARANTINE && entry.stored_crashes >= count
        });
        to_persist.extend(persisted.map(|(digest, entry)| entry.to_stored(*digest)));
        to_persist
    }

    /// Records that the store may have lost its records: those that it still has are read again,
    /// and the others are persisted again.
    pub fn on_store_lost(&mut self) {
        for entry in self.entries.values_mut() {
            entry.stored_crashes = 0;
        }
    }

    /// Records that a record was persisted.
    pub fn on_persisted(&mut self, stored: &StoredCrashes) {
        self.to_remove.retain(|digest| *digest != stored.digest);
        if let Some(entry) = self.entries.get_mut(&stored.digest) {
            entry.stored_crashes = stored.ends.len() as u32;
        }
    }
}
