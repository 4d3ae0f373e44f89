//! What instances tell each other of servers that ended under requests.

use serde::{Deserialize, Serialize};

use super::{Evidence, RequestDigest};
use crate::ids::BackendName;

/// The end of one run of a server under one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub digest: RequestDigest,
    /// Run of the server.
    pub server: BackendName,
    /// What says that it has ended.
    pub evidence: Evidence,
    /// Time since then, in ms.
    pub age_ms: u64,
    /// Whether it does not count any more: the request was answered since, or the
    /// server runs on.
    pub is_withdrawn: bool,
}

/// What a book tells one that knows it up to an earlier revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertisedCrashes {
    /// Ends that it does not know, the longest known first.
    pub records: Vec<CrashReport>,
    /// Revision up to which it knows the book with them.
    pub revision: u64,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing is known against it.
    Clear,
    /// Servers have ended under it: one copy of it runs at a time.
    Suspect {
        /// How many.
        ends: u32,
    },
    /// It is refused.
    Quarantined {
        /// How many servers have ended under it.
        ends: u32,
        /// Time until it is tried again, in ms.
        retry_after_ms: u64,
    },
}

impl QuarantineStatus {
    /// Returns how many servers have ended under the request.
    pub fn ends(self) -> u32 {
        match self {
            Self::Clear => 0,
            Self::Suspect { ends } | Self::Quarantined { ends, .. } => ends,
        }
    }
}

/// How long requests are remembered, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Time for which a request is refused after the third server has ended under
    /// it, and for which one with fewer ends is remembered, in ms.
    pub quarantine_ms: u64,
    /// Most requests that are remembered. Beyond it those are given up first under
    /// which the fewest servers ended, the oldest of them first.
    pub max_requests: usize,
    /// Most ends that are told in one message.
    pub told_at_once: usize,
}

impl Default for QuarantineSettings {
    /// Ten minutes, about as long as operators take to mend or replace a server;
    /// 4,096 requests of some 300 bytes; messages of 4 KB, at most two a second.
    fn default() -> Self {
        Self {
            quarantine_ms: 600_000,
            max_requests: 4_096,
            told_at_once: 64,
        }
    }
}
