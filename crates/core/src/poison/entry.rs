//! The crashes that are attributed to one subject.

use super::{
    CrashReport, CrashSubject, Evidence, QuarantineSettings, StoredCrash, StoredCrashes,
    tracker::CRASHES_TO_QUARANTINE,
};
use crate::ids::BackendName;

/// Most doublings of the quarantine time: ten minutes become eleven hours.
const MAX_DOUBLINGS: u32 = 6;
/// Doublings for each further crash in a trial run of a request.
const REQUEST_DOUBLINGS: u32 = 1;
/// Doublings for each further crash in a trial run of a prompt part. The requests of many callers
/// may have it, so that a trial run is always at hand; four of them take place in a day.
const PART_DOUBLINGS: u32 = 2;
/// Number of crashes under a prompt part that must have happened in isolated runs before it is
/// quarantined. A part that many running requests share is at several servers that crash together,
/// and one isolated run may meet a crash with another cause.
const ISOLATED_CRASHES: usize = 2;
/// Most tracked crashes of one subject; with those of its trial runs, enough for the longest
/// quarantine.
const MAX_CRASHES: usize = 10;

/// One crash of a server under a request.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) server: BackendName,
    evidence: Evidence,
    at_ms: u64,
    pub(super) is_withdrawn: bool,
    is_isolated: bool,
    /// Whether this instance observed or withdrew it.
    pub(super) is_local: bool,
}

/// Tracked state of one subject.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    subject: CrashSubject,
    pub(super) crashes: Vec<Crash>,
    /// Revision of the last change.
    pub(super) revision: u64,
    /// Number of crashes in the persistent record.
    pub(super) stored_crashes: u32,
}

impl Entry {
    pub(super) fn new(subject: CrashSubject) -> Self {
        Self {
            subject,
            crashes: Vec::new(),
            revision: 0,
            stored_crashes: 0,
        }
    }

    /// Iterates over the crashes that count.
    fn counting(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_withdrawn)
    }

    pub(super) fn count(&self) -> u32 {
        self.counting().count() as u32
    }

    /// Returns whether enough crashes count for a quarantine.
    pub(super) fn is_quarantined(&self) -> bool {
        self.is_quarantined_by(self.counting())
    }

    /// Returns whether these of its crashes suffice for a quarantine.
    fn is_quarantined_by<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> bool {
        let (mut count, mut isolated) = (0, 0);
        for crash in crashes {
            count += 1;
            isolated += usize::from(crash.is_isolated);
        }
        let is_confirmed = match self.subject {
            CrashSubject::Request(_) => true,
            CrashSubject::PromptPart(_) => isolated >= ISOLATED_CRASHES,
        };
        is_confirmed && count >= CRASHES_TO_QUARANTINE
    }

    /// Returns whether a crash of `server` counts.
    fn counts(&self, server: &BackendName) -> bool {
        self.counting().any(|crash| crash.server == *server)
    }

    /// Returns whether `cause` accounts for so many of its crashes that the others do not suffice
    /// for a quarantine, and has as many crashes in isolated runs itself.
    pub(super) fn is_explained_by(&self, cause: &Self) -> bool {
        let isolated = |entry: &Self| entry.counting().filter(|crash| crash.is_isolated).count();
        let unexplained = self.counting().filter(|crash| !cause.counts(&crash.server));
        isolated(self) <= isolated(cause) && !self.is_quarantined_by(unexplained)
    }

    pub(super) fn last_crash_ms(&self) -> u64 {
        let last = self.counting().map(|crash| crash.at_ms).max();
        last.or(self.crashes.iter().map(|crash| crash.at_ms).max())
            .unwrap_or(0)
    }

    pub(super) fn quarantine_until_ms(&self, settings: &QuarantineSettings) -> Option<u64> {
        if !self.is_quarantined() {
            return None;
        }
        let beyond = self.count() - CRASHES_TO_QUARANTINE;
        let doublings = beyond
            * match self.subject {
                CrashSubject::Request(_) => REQUEST_DOUBLINGS,
                CrashSubject::PromptPart(_) => PART_DOUBLINGS,
            };
        let quarantine_ms = settings.quarantine_ms << doublings.min(MAX_DOUBLINGS);
        Some(self.last_crash_ms() + quarantine_ms)
    }

    /// Returns the time from which the subject is no longer tracked, in ms. After a quarantine,
    /// it is tracked for another `quarantine_ms`, so that a trial run can take place.
    pub(super) fn expires_at_ms(&self, settings: &QuarantineSettings) -> u64 {
        let until_ms = self.quarantine_until_ms(settings);
        until_ms.unwrap_or(self.last_crash_ms()) + settings.quarantine_ms
    }

    pub(super) fn records(&self, now_ms: u64) -> impl Iterator<Item = CrashReport> {
        self.crashes.iter().map(move |crash| CrashReport {
            subject: self.subject,
            server: crash.server.clone(),
            evidence: crash.evidence,
            age_ms: now_ms.saturating_sub(crash.at_ms),
            is_withdrawn: crash.is_withdrawn,
            is_isolated: crash.is_isolated,
        })
    }

    pub(super) fn to_stored(&self) -> StoredCrashes {
        let ends = self.counting().map(|crash| StoredCrash {
            server: crash.server.clone(),
            evidence: crash.evidence,
            is_isolated: crash.is_isolated,
        });
        StoredCrashes {
            subject: self.subject,
            ends: ends.collect(),
        }
    }

    /// Merges a report; returns whether anything changed.
    pub(super) fn merge(&mut self, now_ms: u64, record: CrashReport, is_local: bool) -> bool {
        let at_ms = now_ms.saturating_sub(record.age_ms);
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|crash| crash.server == record.server) {
            // The earliest observation is the closest to the crash.
            known.at_ms = known.at_ms.min(at_ms);
            let has_changed = (record.is_withdrawn && !known.is_withdrawn)
                || (record.is_isolated && !known.is_isolated);
            known.is_withdrawn |= record.is_withdrawn;
            known.is_isolated |= record.is_isolated;
            known.is_local |= is_local;
            return has_changed;
        }
        if self.crashes.len() >= MAX_CRASHES {
            if record.is_withdrawn {
                return false;
            }
            // Those in isolated runs tell the most.
            let mut crashes = self.crashes.iter();
            let is_replaceable =
                |crash: &Crash| crash.is_withdrawn || (record.is_isolated && !crash.is_isolated);
            let Some(oldest) = crashes.position(is_replaceable) else {
                return false;
            };
            self.crashes.remove(oldest);
        }
        self.crashes.push(Crash {
            server: record.server,
            evidence: record.evidence,
            at_ms,
            is_withdrawn: record.is_withdrawn,
            is_isolated: record.is_isolated,
            is_local,
        });
        true
    }

    /// Withdraws the crashes that `is_affected` selects; returns whether any counted.
    pub(super) fn withdraw(&mut self, is_affected: impl Fn(&Crash) -> bool) -> bool {
        let mut has_changed = false;
        for crash in self.crashes.iter_mut().filter(|crash| is_affected(crash)) {
            has_changed |= !crash.is_withdrawn;
            crash.is_withdrawn = true;
            crash.is_local = true;
        }
        has_changed
    }
}
