//! Issues permits, so that one run of a suspect takes place at a time.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::{
    CrashReport, CrashSubject, RequestStatus, RequestSubjects,
    tracker::{CRASHES_TO_ISOLATE, CrashTracker},
};

/// Permit to run one request that has suspect subjects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Permit {
    /// Number of the permit.
    pub number: u64,
    /// If at least two servers have crashed under one of its subjects, its index among such
    /// permits, from 0. By this index they run at different servers, the least loaded
    /// ones, and interrupt fewer runs of other requests. On emulated days of 8, 30 and 295
    /// instances with three such requests (sums of five seeds), 393, 249 and 246 runs were lost;
    /// 430, 288 and 309 without the index.
    pub place: Option<u32>,
}

/// Result of a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitState {
    /// The permit was granted.
    Granted {
        /// The permit.
        permit: Permit,
        /// Subjects that it covers: those that the issuer suspects, and the request.
        covered: Vec<CrashSubject>,
    },
    /// Another request with one of the subjects is running.
    Out {
        /// Time until its permit expires, in ms.
        lapses_in_ms: u64,
    },
    /// One of the subjects is quarantined because of these crashes.
    Quarantined(Vec<CrashReport>),
}

/// Active permits, each until it is released or expires.
#[derive(Debug, Default)]
pub struct Permits {
    active: HashMap<CrashSubject, ActivePermit>,
    last_number: u64,
}

#[derive(Debug)]
struct ActivePermit {
    permit: Permit,
    until_ms: u64,
}

impl Permits {
    /// Handles the request for a permit for `lease_ms` by the status of the request in `tracker`.
    /// `held` is the number of the permit that the request has already, if any.
    pub fn grant(
        &mut self,
        now_ms: u64,
        tracker: &mut CrashTracker,
        subjects: &RequestSubjects,
        held: Option<u64>,
        lease_ms: u64,
    ) -> PermitState {
        let (mut covered, crashes) = match tracker.request_status(now_ms, subjects) {
            RequestStatus::Quarantined { subject, .. } => {
                return PermitState::Quarantined(tracker.records(now_ms, &subject));
            }
            RequestStatus::Suspect { suspects, ends } => (suspects, ends),
            RequestStatus::Clear => (Vec::new(), 0),
        };
        // Two copies of a request do not run side by side even if only the requester knows of a
        // crash.
        let request = CrashSubject::Request(subjects.digest());
        if !covered.contains(&request) {
            covered.push(request);
        }
        match self.take(now_ms, &covered, crashes, held, lease_ms) {
            Ok(permit) => PermitState::Granted { permit, covered },
            Err(lapses_in_ms) => PermitState::Out { lapses_in_ms },
        }
    }

    /// Issues the permit for a request with these subjects, under which `crashes` servers have
    /// crashed, for `lease_ms` at most; or extends the permit `held` to them.
    ///
    /// # Errors
    ///
    /// Fails while another request with one of the subjects has a permit; returns the time until
    /// that expires, in ms.
    pub fn take(
        &mut self,
        now_ms: u64,
        subjects: &[CrashSubject],
        crashes: u32,
        held: Option<u64>,
        lease_ms: u64,
    ) -> Result<Permit, u64> {
        self.active.retain(|_, active| active.until_ms > now_ms);
        let taken = subjects
            .iter()
            .filter_map(|subject| self.active.get(subject))
            .filter(|active| Some(active.permit.number) != held);
        if let Some(until_ms) = taken.map(|active| active.until_ms).max() {
            return Err(until_ms - now_ms);
        }
        let place = (crashes >= CRASHES_TO_ISOLATE).then(|| self.lowest_free_index(held));
        let number = held.unwrap_or_else(|| {
            self.last_number += 1;
            self.last_number
        });
        let permit = Permit { number, place };
        let until_ms = now_ms + lease_ms;
        for subject in subjects {
            self.active
                .insert(*subject, ActivePermit { permit, until_ms });
        }
        Ok(permit)
    }

    fn lowest_free_index(&self, held: Option<u64>) -> u32 {
        let others = self
            .active
            .values()
            .filter(|active| Some(active.permit.number) != held);
        let taken = others.filter_map(|active| active.permit.place);
        let taken: HashSet<u32> = taken.collect();
        (0..=taken.len() as u32)
            .find(|place| !taken.contains(place))
            .unwrap_or(0)
    }

    /// Releases a permit for these subjects; has no effect on those for which it has expired.
    pub fn release(&mut self, subjects: &[CrashSubject], permit: Permit) {
        for subject in subjects {
            if self
                .active
                .get(subject)
                .is_some_and(|active| active.permit.number == permit.number)
            {
                self.active.remove(subject);
            }
        }
    }
}
