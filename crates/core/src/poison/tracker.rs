//! Tracks which servers have crashed under which requests and prompt parts.
//!
//! Trackers of different instances converge regardless of the order in which they merge reports:
//! a crash is identified by the server run, and a withdrawal is final.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{
    AdvertisedCrashes, CrashReport, CrashSubject, QuarantineSettings, QuarantineStatus,
    RequestStatus, RequestSubjects, StoredChange, StoredCrashes,
    entry::{Crash, Entry},
    recent::RecentAnswers,
};
use crate::ids::BackendName;

/// Number of crashes under a request or prompt part after which it is quarantined.
pub const CRASHES_TO_QUARANTINE: u32 = 3;
/// Number of crashes under a request or prompt part after which it is isolated from the other
/// suspects.
pub const CRASHES_TO_ISOLATE: u32 = 2;

/// Result of merging the reports of other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergedReports {
    /// Whether anything changed.
    pub has_changed: bool,
    /// Parts of which this instance withdrew crashes, as responses have begun here since. Only it
    /// knows of these responses.
    pub withdrawn: Vec<CrashSubject>,
}

/// Server crashes by subject.
#[derive(Debug)]
pub struct CrashTracker {
    settings: QuarantineSettings,
    entries: HashMap<CrashSubject, Entry>,
    /// Subjects by the revision of their last change.
    by_revision: BTreeMap<u64, CrashSubject>,
    revision: u64,
    answered: RecentAnswers,
    /// Quarantined subjects.
    quarantined: HashSet<CrashSubject>,
    /// Prompt parts with more than one crash.
    repeated_parts: HashSet<CrashSubject>,
    /// Subjects that are no longer tracked and whose persistent records are to be removed.
    to_remove: Vec<CrashSubject>,
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
            quarantined: HashSet::new(),
            repeated_parts: HashSet::new(),
            to_remove: Vec::new(),
        }
    }

    /// Returns the number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of tracked subjects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no subject is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the status of one subject.
    pub fn status(&self, now_ms: u64, subject: &CrashSubject) -> QuarantineStatus {
        let Some(entry) = self.entries.get(subject) else {
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

    /// Returns the status of a request by all its subjects.
    pub fn request_status(&mut self, now_ms: u64, subjects: &RequestSubjects) -> RequestStatus {
        let mut suspects = Vec::new();
        let mut most_ends = 0;
        for subject in subjects.iter() {
            let status = self.status(now_ms, &subject);
            match status {
                QuarantineStatus::Clear => continue,
                QuarantineStatus::Quarantined {
                    ends,
                    retry_after_ms,
                } if !self.is_explained_outside(&subject, subjects) => {
                    return RequestStatus::Quarantined {
                        subject,
                        ends,
                        retry_after_ms,
                    };
                }
                QuarantineStatus::Suspect { ends } if self.is_exempt(now_ms, &subject, ends) => {
                    continue;
                }
                QuarantineStatus::Quarantined { .. } | QuarantineStatus::Suspect { .. } => {}
            }
            most_ends = most_ends.max(status.ends());
            suspects.push(subject);
        }
        match suspects.is_empty() {
            true => RequestStatus::Clear,
            false => RequestStatus::Suspect {
                suspects,
                ends: most_ends,
            },
        }
    }

    /// Returns whether the crashes of a quarantined subject are accounted for by quarantined
    /// prompt parts or requests, or by suspect parts, that are not among `subjects`. Which of them
    /// crashes servers is unknown until a request with only one of them runs.
    fn is_explained_outside(&self, subject: &CrashSubject, subjects: &RequestSubjects) -> bool {
        let Some(entry) = self.entries.get(subject).filter(|_| subject.is_part()) else {
            return false;
        };
        let causes = self.entries_outside(&self.quarantined, subjects);
        if causes.iter().any(|cause| entry.is_explained_by(cause))
            || entry.is_explained_by_two(&causes)
        {
            return true;
        }
        let requests: Vec<&Entry> = causes
            .into_iter()
            .filter(|cause| !cause.is_part())
            .collect();
        let parts = self.entries_outside(&self.repeated_parts, subjects);
        entry.is_explained_by_suspects(&requests, &parts)
    }

    /// Returns the entries of those `candidates` that are not among `subjects`.
    fn entries_outside(
        &self,
        candidates: &HashSet<CrashSubject>,
        subjects: &RequestSubjects,
    ) -> Vec<&Entry> {
        let others = candidates.iter();
        let others = others.filter(|other| !subjects.contains(other));
        others.filter_map(|other| self.entries.get(other)).collect()
    }

    /// Returns whether a suspect runs without a permit: a part that many requests share is at
    /// most servers, so that one crash says little about it while responses keep beginning.
    fn is_exempt(&mut self, now_ms: u64, subject: &CrashSubject, ends: u32) -> bool {
        subject.is_part() && ends < CRASHES_TO_ISOLATE && self.answered.contains(now_ms, subject)
    }

    /// Returns the number of crashes that count against a subject.
    pub fn ends(&self, now_ms: u64, subject: &CrashSubject) -> u32 {
        self.status(now_ms, subject).ends()
    }

    /// Records a crash that this instance observed. A request that was answered recently is not
    /// counted, since one that many callers send continuously is running on any server that
    /// crashes. Returns whether the crash counts.
    pub fn on_crash(&mut self, now_ms: u64, record: CrashReport) -> bool {
        if !record.subject.is_part() && self.answered.contains(now_ms, &record.subject) {
            return false;
        }
        self.merge(now_ms, record, true);
        true
    }

    /// Merges reports of other instances. A crash under a part to which a response has begun here
    /// since is withdrawn.
    pub fn on_reports(&mut self, now_ms: u64, records: Vec<CrashReport>) -> MergedReports {
        let before = self.revision;
        let mut withdrawn = Vec::new();
        for record in records {
            let (subject, server) = (record.subject, record.server.clone());
            let crashed_at_ms = now_ms.saturating_sub(record.age_ms);
            self.merge(now_ms, record, false);
            let last_ms = self.answered.last_ms(now_ms, &subject);
            let is_refuted = last_ms.is_some_and(|last_ms| last_ms > crashed_at_ms);
            if subject.is_part()
                && is_refuted
                && self.withdraw(subject, |crash| crash.server == server)
                && !withdrawn.contains(&subject)
            {
                withdrawn.push(subject);
            }
        }
        MergedReports {
            has_changed: self.revision != before,
            withdrawn,
        }
    }

    /// Merges persistent records.
    pub fn on_loaded(&mut self, now_ms: u64, stored: Vec<StoredCrashes>) {
        for StoredCrashes { subject, ends } in stored {
            let stored_crashes = ends.len() as u32;
            let records = ends.into_iter().map(|crash| CrashReport {
                subject,
                server: crash.server,
                evidence: crash.evidence,
                age_ms: 0,
                is_withdrawn: false,
                is_isolated: crash.is_isolated,
            });
            self.on_reports(now_ms, records.collect());
            if let Some(entry) = self.entries.get_mut(&subject) {
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
                self.withdraw(stored.subject, is_affected);
                self.on_persisted(&StoredCrashes::empty(stored.subject));
            }
        }
    }

    /// Records a complete response to a request, or one that has begun to a request with a
    /// prompt part, which clears the subject. Returns whether any crash counted against it.
    pub fn on_answered(&mut self, now_ms: u64, subject: CrashSubject) -> bool {
        self.answered.add(now_ms, subject);
        self.withdraw(subject, |_| true)
    }

    /// Records that a server is still running. Returns whether it was considered crashed.
    pub fn on_still_running(&mut self, subject: CrashSubject, server: &BackendName) -> bool {
        self.withdraw(subject, |crash| crash.server == *server)
    }

    fn withdraw(&mut self, subject: CrashSubject, is_affected: impl Fn(&Crash) -> bool) -> bool {
        let entry = self.entries.get_mut(&subject);
        let has_changed = entry.is_some_and(|entry| entry.withdraw(is_affected));
        if has_changed {
            self.record_change(subject);
        }
        has_changed
    }

    fn merge(&mut self, now_ms: u64, record: CrashReport, is_local: bool) {
        let subject = record.subject;
        let entry = self.entries.entry(subject);
        let entry = entry.or_insert_with(|| Entry::new(subject));
        if entry.merge(now_ms, record, is_local) {
            self.record_change(subject);
            self.evict_excess();
        }
    }

    fn record_change(&mut self, subject: CrashSubject) {
        self.revision += 1;
        let Some(entry) = self.entries.get_mut(&subject) else {
            return;
        };
        self.by_revision.remove(&entry.revision);
        entry.revision = self.revision;
        self.by_revision.insert(self.revision, subject);
        match entry.is_quarantined() {
            true => self.quarantined.insert(subject),
            false => self.quarantined.remove(&subject),
        };
        match subject.is_part() && entry.count() >= CRASHES_TO_ISOLATE {
            true => self.repeated_parts.insert(subject),
            false => self.repeated_parts.remove(&subject),
        };
    }

    /// Evicts the oldest subject among those with the fewest crashes, if there are too many:
    /// callers that vary a request crash one server with each variant and never repeat it.
    fn evict_excess(&mut self) {
        if self.entries.len() <= self.settings.max_requests {
            return;
        }
        let entries = self.entries.iter();
        let least = entries
            .min_by_key(|(subject, entry)| (entry.count(), entry.last_crash_ms(), **subject));
        if let Some(subject) = least.map(|(subject, _)| *subject) {
            self.remove(&subject);
        }
    }

    fn remove(&mut self, subject: &CrashSubject) {
        let Some(entry) = self.entries.remove(subject) else {
            return;
        };
        self.by_revision.remove(&entry.revision);
        self.quarantined.remove(subject);
        self.repeated_parts.remove(subject);
        if entry.stored_crashes > 0 {
            self.to_remove.push(*subject);
        }
    }

    /// Removes the subjects whose tracking time has passed.
    pub fn forget_expired(&mut self, now_ms: u64) {
        let settings = self.settings;
        let entries = self.entries.iter();
        let expired = entries.filter(|(_, entry)| now_ms >= entry.expires_at_ms(&settings));
        let expired: Vec<CrashSubject> = expired.map(|(subject, _)| *subject).collect();
        for subject in expired {
            self.remove(&subject);
        }
    }

    /// Returns the reports since `revision` that fit into one message. If they do not all fit,
    /// subjects with a single crash are omitted: hundreds of servers that crash together leave
    /// thousands of these, none of which gets a second crash, and sending all of them to 295
    /// instances took 575 KB/s.
    pub fn reports_since(&self, now_ms: u64, revision: u64) -> AdvertisedCrashes {
        let max_records = self.settings.told_at_once;
        let changed = self.by_revision.range(revision + 1..);
        let changed = changed
            .filter_map(|(changed_at, subject)| Some((*changed_at, self.entries.get(subject)?)));
        let changed: Vec<(u64, &Entry)> = changed.collect();
        let total: usize = changed.iter().map(|(_, entry)| entry.crashes.len()).sum();
        let mut update = AdvertisedCrashes {
            records: Vec::new(),
            revision,
        };
        for (changed_at, entry) in changed {
            if total > max_records && entry.crashes.len() == 1 {
                continue;
            }
            let is_full = update.records.len() + entry.crashes.len() > max_records;
            if is_full && !update.records.is_empty() {
                return update;
            }
            update.records.extend(entry.records(now_ms));
            update.revision = changed_at;
        }
        update.revision = self.revision;
        update
    }

    /// Returns the reports of crashes that this instance observed or withdrew.
    pub fn own_reports(&self, now_ms: u64) -> Vec<CrashReport> {
        let entries = self.entries.values();
        let reports = entries.flat_map(|entry| {
            let records = entry.records(now_ms);
            let are_local = entry.crashes.iter().map(|crash| crash.is_local);
            records
                .zip(are_local)
                .filter_map(|(record, is_local)| is_local.then_some(record))
        });
        reports.collect()
    }

    /// Returns the reports of one subject.
    pub fn records(&self, now_ms: u64, subject: &CrashSubject) -> Vec<CrashReport> {
        let entry = self.entries.get(subject);
        entry.map_or_else(Vec::new, |entry| entry.records(now_ms).collect())
    }

    /// Returns the records that are not persisted yet: quarantined subjects with their crashes,
    /// and expired or cleared subjects without any. Each is confirmed with
    /// [`on_persisted`](Self::on_persisted) once it is written.
    pub fn unpersisted(&self) -> Vec<StoredCrashes> {
        let mut to_persist: Vec<StoredCrashes> = Vec::new();
        for (subject, entry) in &self.entries {
            let is_quarantined = entry.is_quarantined();
            if is_quarantined && entry.stored_crashes < entry.count() {
                to_persist.push(entry.to_stored());
            }
            if !is_quarantined && entry.stored_crashes > 0 {
                to_persist.push(StoredCrashes::empty(*subject));
            }
        }
        to_persist.extend(self.to_remove.iter().copied().map(StoredCrashes::empty));
        to_persist
    }

    /// Returns all records to persist, including those that are persisted already.
    pub fn all_persistable(&self) -> Vec<StoredCrashes> {
        let mut to_persist = self.unpersisted();
        let entries = self.entries.values();
        let persisted =
            entries.filter(|entry| entry.is_quarantined() && entry.stored_crashes >= entry.count());
        to_persist.extend(persisted.map(Entry::to_stored));
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
        self.to_remove.retain(|subject| *subject != stored.subject);
        if let Some(entry) = self.entries.get_mut(&stored.subject) {
            entry.stored_crashes = stored.ends.len() as u32;
        }
    }
}
