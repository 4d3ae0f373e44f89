//! Keeps which servers ended under which requests.
//!
//! Books of different instances merge in any order to the same: an end is known by the
//! run of its server, and once withdrawn it stays so.

use std::collections::{BTreeMap, HashMap};

use super::{
    AdvertisedCrashes, CrashReport, Evidence, QuarantineSettings, QuarantineStatus, RequestDigest,
    StoredChange, StoredCrash, StoredCrashes, recent::RecentAnswers,
};
use crate::ids::BackendName;

/// Servers that end under a request before it is quarantined.
pub const CRASHES_TO_QUARANTINE: u32 = 3;
/// Servers that end under a request before it goes apart from all others that are
/// suspects too.
pub const CRASHES_TO_ISOLATE: u32 = 2;
/// Doublings of the time for which a request is refused, one for each further server
/// that a trial ends: ten minutes become eleven hours.
const MOST_DOUBLINGS: u32 = 6;
/// Most ends of one request that are remembered: with those of its trials, enough for
/// the longest quarantine.
const MOST_ENDS: usize = 10;

/// One end of a server under a request.
#[derive(Clone, Debug)]
struct End {
    server: BackendName,
    evidence: Evidence,
    at_ms: u64,
    is_withdrawn: bool,
    /// Whether this instance saw it.
    is_own: bool,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Entry {
    ends: Vec<End>,
    /// Revision of its last change.
    revision: u64,
    /// Ends that are kept outside.
    stored_ends: u32,
}

impl Entry {
    /// Iterates over the ends that count.
    fn live(&self) -> impl Iterator<Item = &End> {
        self.ends.iter().filter(|end| !end.is_withdrawn)
    }

    fn count(&self) -> u32 {
        self.live().count() as u32
    }

    fn last_end_ms(&self) -> u64 {
        let last = self.live().map(|end| end.at_ms).max();
        last.or(self.ends.iter().map(|end| end.at_ms).max())
            .unwrap_or(0)
    }

    fn quarantine_until_ms(&self, settings: &QuarantineSettings) -> Option<u64> {
        let beyond = self.count().checked_sub(CRASHES_TO_QUARANTINE)?;
        let quarantine_ms = settings.quarantine_ms << beyond.min(MOST_DOUBLINGS);
        Some(self.last_end_ms() + quarantine_ms)
    }

    /// Returns the time at which it is forgotten, in ms: one that was quarantined has
    /// had as much time again for its trial.
    fn forgotten_at_ms(&self, settings: &QuarantineSettings) -> u64 {
        let until_ms = self.quarantine_until_ms(settings);
        until_ms.unwrap_or(self.last_end_ms()) + settings.quarantine_ms
    }

    fn records(&self, now_ms: u64, digest: RequestDigest) -> impl Iterator<Item = CrashReport> {
        self.ends.iter().map(move |end| CrashReport {
            digest,
            server: end.server.clone(),
            evidence: end.evidence,
            age_ms: now_ms.saturating_sub(end.at_ms),
            is_withdrawn: end.is_withdrawn,
        })
    }

    fn to_store(&self, digest: RequestDigest) -> StoredCrashes {
        let ends = self.live().map(|end| StoredCrash {
            server: end.server.clone(),
            evidence: end.evidence,
        });
        StoredCrashes {
            digest,
            ends: ends.collect(),
        }
    }

    /// Merges an end in; tells whether anything changed.
    fn merge(&mut self, now_ms: u64, record: CrashReport, is_own: bool) -> bool {
        let at_ms = now_ms.saturating_sub(record.age_ms);
        let mut known = self.ends.iter_mut();
        if let Some(known) = known.find(|end| end.server == record.server) {
            // Whoever saw it first is nearest to it.
            known.at_ms = known.at_ms.min(at_ms);
            let is_new = record.is_withdrawn && !known.is_withdrawn;
            known.is_withdrawn |= record.is_withdrawn;
            known.is_own |= is_own;
            return is_new;
        }
        if self.ends.len() >= MOST_ENDS {
            let Some(oldest) = self.ends.iter().position(|end| end.is_withdrawn) else {
                return false;
            };
            self.ends.remove(oldest);
        }
        self.ends.push(End {
            server: record.server,
            evidence: record.evidence,
            at_ms,
            is_withdrawn: record.is_withdrawn,
            is_own,
        });
        true
    }
}

/// The ends of servers by request.
#[derive(Debug)]
pub struct CrashTracker {
    settings: QuarantineSettings,
    entries: HashMap<RequestDigest, Entry>,
    /// Requests by the revision of their last change.
    by_revision: BTreeMap<u64, RequestDigest>,
    revision: u64,
    answered: RecentAnswers,
    /// Requests that were forgotten and are still kept outside.
    forgotten: Vec<RequestDigest>,
}

impl CrashTracker {
    /// Creates a book that knows nothing.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            by_revision: BTreeMap::new(),
            revision: 0,
            answered: RecentAnswers::default(),
            forgotten: Vec::new(),
        }
    }

    /// Returns the number of changes that were made to it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells where a request stands.
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
        if ends == 0 || now_ms >= entry.forgotten_at_ms(&self.settings) {
            return QuarantineStatus::Clear;
        }
        QuarantineStatus::Suspect { ends }
    }

    /// Returns how many servers have ended under a request.
    pub fn ends(&self, now_ms: u64, digest: &RequestDigest) -> u32 {
        self.status(now_ms, digest).ends()
    }

    /// Notes an end that this instance saw, unless the request was answered lately: one
    /// that many callers' programs send all the time is at each server that ends. Returns
    /// whether it counts.
    pub fn on_crash(&mut self, now_ms: u64, record: CrashReport) -> bool {
        if self.answered.has(now_ms, &record.digest) {
            return false;
        }
        self.merge(now_ms, record, true);
        true
    }

    /// Takes over ends that others saw; tells whether any was new.
    pub fn on_reports(&mut self, now_ms: u64, records: Vec<CrashReport>) -> bool {
        let before = self.revision;
        for record in records {
            self.merge(now_ms, record, false);
        }
        self.revision != before
    }

    /// Takes over what is kept of requests outside.
    pub fn on_loaded(&mut self, now_ms: u64, stored: Vec<StoredCrashes>) {
        for StoredCrashes { digest, ends } in stored {
            let stored_ends = ends.len() as u32;
            let records = ends.into_iter().map(|end| CrashReport {
                digest,
                server: end.server,
                evidence: end.evidence,
                age_ms: 0,
                is_withdrawn: false,
            });
            self.on_reports(now_ms, records.collect());
            if let Some(entry) = self.entries.get_mut(&digest) {
                // There may be more by now, which are to be kept too.
                entry.stored_ends = stored_ends;
            }
        }
    }

    /// Takes over what a log that others write too says next.
    pub fn on_log_change(&mut self, now_ms: u64, change: StoredChange) {
        match change {
            StoredChange::Persisted(stored) => self.on_loaded(now_ms, vec![stored]),
            StoredChange::Removed(stored) => {
                let is_meant = |end: &End| stored.ends.iter().any(|s| s.server == end.server);
                self.withdraw(stored.digest, is_meant);
                self.on_persisted(&StoredCrashes::empty(stored.digest));
            }
        }
    }

    /// Notes a whole answer of a server to a request, which clears it. Tells whether
    /// anything was known against it.
    pub fn on_answered(&mut self, now_ms: u64, digest: RequestDigest) -> bool {
        self.answered.add(now_ms, digest);
        self.withdraw(digest, |_| true)
    }

    /// Notes that a server runs on. Tells whether it had been taken for ended.
    pub fn on_still_running(&mut self, digest: RequestDigest, server: &BackendName) -> bool {
        self.withdraw(digest, |end| end.server == *server)
    }

    fn withdraw(&mut self, digest: RequestDigest, is_meant: impl Fn(&End) -> bool) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else {
            return false;
        };
        let mut has_changed = false;
        for end in entry.ends.iter_mut().filter(|end| is_meant(end)) {
            has_changed |= !end.is_withdrawn;
            end.is_withdrawn = true;
            end.is_own = true;
        }
        if has_changed {
            self.note_change(digest);
        }
        has_changed
    }

    fn merge(&mut self, now_ms: u64, record: CrashReport, is_own: bool) {
        let digest = record.digest;
        let entry = self.entries.entry(digest).or_default();
        if entry.merge(now_ms, record, is_own) {
            self.note_change(digest);
            self.evict_excess();
        }
    }

    fn note_change(&mut self, digest: RequestDigest) {
        self.revision += 1;
        if let Some(entry) = self.entries.get_mut(&digest) {
            self.by_revision.remove(&entry.revision);
            entry.revision = self.revision;
            self.by_revision.insert(self.revision, digest);
        }
    }

    /// Gives up the request with the fewest ends, the oldest of them, where there are
    /// too many: callers who vary a request end a server with each, and none of these
    /// comes again.
    fn evict_excess(&mut self) {
        if self.entries.len() <= self.settings.max_requests {
            return;
        }
        let entries = self.entries.iter();
        let least =
            entries.min_by_key(|(digest, entry)| (entry.count(), entry.last_end_ms(), **digest));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.remove(&digest);
        }
    }

    fn remove(&mut self, digest: &RequestDigest) {
        let Some(entry) = self.entries.remove(digest) else {
            return;
        };
        self.by_revision.remove(&entry.revision);
        if entry.stored_ends > 0 {
            self.forgotten.push(*digest);
        }
    }

    /// Forgets requests whose time has come.
    pub fn forget_expired(&mut self, now_ms: u64) {
        let settings = self.settings;
        let entries = self.entries.iter();
        let old = entries.filter(|(_, entry)| now_ms >= entry.forgotten_at_ms(&settings));
        let old: Vec<RequestDigest> = old.map(|(digest, _)| *digest).collect();
        for digest in old {
            self.remove(&digest);
        }
    }

    /// Returns what one does not know that knows the book up to `revision`, as much as
    /// goes into one message. Where it is more than that, requests with a single end are
    /// left out: hundreds of servers that crash together leave thousands, none of which
    /// comes to a second end, and telling each to 295 instances took 575 KB/s.
    pub fn reports_since(&self, now_ms: u64, revision: u64) -> AdvertisedCrashes {
        let most = self.settings.told_at_once;
        let changed = self.by_revision.range(revision + 1..);
        let changed = changed.filter_map(|(changed_at, digest)| {
            Some((*changed_at, *digest, self.entries.get(digest)?))
        });
        let changed: Vec<(u64, RequestDigest, &Entry)> = changed.collect();
        let total: usize = changed.iter().map(|(_, _, entry)| entry.ends.len()).sum();
        let mut told = AdvertisedCrashes {
            records: Vec::new(),
            revision,
        };
        for (changed_at, digest, entry) in changed {
            if total > most && entry.ends.len() == 1 {
                continue;
            }
            let is_full = told.records.len() + entry.ends.len() > most;
            if is_full && !told.records.is_empty() {
                return told;
            }
            told.records.extend(entry.records(now_ms, digest));
            told.revision = changed_at;
        }
        told.revision = self.revision;
        told
    }

    /// Returns the ends that this instance saw or withdrew itself.
    pub fn own_reports(&self, now_ms: u64) -> Vec<CrashReport> {
        let entries = self.entries.iter();
        let own = entries.flat_map(|(digest, entry)| {
            let records = entry.records(now_ms, *digest);
            let own = entry.ends.iter().map(|end| end.is_own);
            records
                .zip(own)
                .filter_map(|(record, is_own)| is_own.then_some(record))
        });
        own.collect()
    }

    /// Returns what is known of one request.
    pub fn records(&self, now_ms: u64, digest: &RequestDigest) -> Vec<CrashReport> {
        let entry = self.entries.get(digest);
        entry.map_or_else(Vec::new, |entry| entry.records(now_ms, *digest).collect())
    }

    /// Returns what is to be kept outside and is not yet, quarantined requests with
    /// their ends and those that were forgotten or cleared without any. Each is noted
    /// with [`on_persisted`](Self::on_persisted) once it is kept.
    pub fn unpersisted(&self) -> Vec<StoredCrashes> {
        let mut to_keep: Vec<StoredCrashes> = Vec::new();
        for (digest, entry) in &self.entries {
            let count = entry.count();
            if count >= CRASHES_TO_QUARANTINE && entry.stored_ends < count {
                to_keep.push(entry.to_store(*digest));
            }
            if count < CRASHES_TO_QUARANTINE && entry.stored_ends > 0 {
                to_keep.push(StoredCrashes::empty(*digest));
            }
        }
        to_keep.extend(self.forgotten.iter().copied().map(StoredCrashes::empty));
        to_keep
    }

    /// Returns all that is to be kept outside, whether it is already or not.
    pub fn all_persistable(&self) -> Vec<StoredCrashes> {
        let mut to_keep = self.unpersisted();
        let entries = self.entries.iter();
        let kept = entries.filter(|(_, entry)| {
            let count = entry.count();
            count >= CRASHES_TO_QUARANTINE && entry.stored_ends >= count
        });
        to_keep.extend(kept.map(|(digest, entry)| entry.to_store(*digest)));
        to_keep
    }

    /// Notes that the store may have lost what it kept: what it still has is to be read, and
    /// the rest to be kept again.
    pub fn on_store_lost(&mut self) {
        for entry in self.entries.values_mut() {
            entry.stored_ends = 0;
        }
    }

    /// Notes that what was returned to be kept is kept.
    pub fn on_persisted(&mut self, kept: &StoredCrashes) {
        self.forgotten.retain(|digest| *digest != kept.digest);
        if let Some(entry) = self.entries.get_mut(&kept.digest) {
            entry.stored_ends = kept.ends.len() as u32;
        }
    }
}
