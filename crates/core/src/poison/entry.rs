//! The crashes that are attributed to one subject.

use std::collections::BTreeSet;

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

    pub(super) fn is_part(&self) -> bool {
        self.subject.is_part()
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

    /// Returns whether one of `requests` and one of `parts` together account for all of its
    /// crashes, in isolated runs or not. `parts` need not be quarantined: a part that became a
    /// suspect by another cause is isolated earlier than the one that crashes servers.
    pub(super) fn is_explained_by_suspects(&self, requests: &[&Self], parts: &[&Self]) -> bool {
        self.is_explained_by_pair(parts, requests, |_| true)
    }

    /// Returns whether a part among `causes` and another of them together account for each of its
    /// crashes in isolated runs by one in such a run. The others alone do not suffice for a
    /// quarantine. More than two causes would explain crashes that coincide by chance.
    pub(super) fn is_explained_by_two(&self, causes: &[&Self]) -> bool {
        let parts = causes.iter().copied().filter(|cause| cause.is_part());
        let parts: Vec<&Self> = parts.collect();
        self.is_explained_by_pair(&parts, causes, |crash| crash.is_isolated)
    }

    /// Returns whether one of `parts` and one of `others` together account for all of its crashes
    /// that `is_considered` selects, by crashes that it selects, too.
    fn is_explained_by_pair(
        &self,
        parts: &[&Self],
        others: &[&Self],
        is_considered: impl Fn(&Crash) -> bool + Copy,
    ) -> bool {
        let considered = self.counting().filter(|crash| is_considered(crash));
        let all = (1 << considered.count()) - 1;
        let others = self.explained_by(others, is_considered);
        let parts = self.explained_by(parts, is_considered);
        parts
            .iter()
            .any(|by_part| others.iter().any(|other| by_part | other == all))
    }

    /// Returns which of the crashes that `is_considered` selects each of `causes` accounts for, a
    /// bit for each crash. Equal sets are returned once, so that many causes do not take long.
    fn explained_by(
        &self,
        causes: &[&Self],
        is_considered: impl Fn(&Crash) -> bool + Copy,
    ) -> BTreeSet<u32> {
        let causes = causes.iter().filter(|cause| cause.may_be_cause_of(self));
        let explained = causes.map(|cause| {
            let crashes = self.counting().filter(|crash| is_considered(crash));
            let bits = crashes.enumerate().map(|(index, crash)| {
                let mut same = cause.counting().filter(|c| c.server == crash.server);
                u32::from(same.any(is_considered)) << index
            });
            bits.sum()
        });
        explained.filter(|crashes| *crashes != 0).collect()
    }

    /// Returns whether it may be the cause of the crashes under `part`. A request without crashes
    /// of its own may contain `part`, so that either could be the cause. A part with crashes of its
    /// own belongs to other requests, too, and its crashes may coincide by chance.
    fn may_be_cause_of(&self, part: &Self) -> bool {
        // Withdrawn crashes of the part are its crashes, too.
        let is_of_part = |crash: &Crash| part.crashes.iter().any(|c| c.server == crash.server);
        let mut crashes = self.counting();
        match self.subject {
            CrashSubject::Request(_) => crashes.any(|crash| !is_of_part(crash)),
            CrashSubject::PromptPart(_) => crashes.all(is_of_part),
        }
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
