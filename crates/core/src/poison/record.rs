//! Reports of server crashes that instances exchange, and the status that follows from them.

use serde::{Deserialize, Serialize};

use super::{CrashSubject, Evidence};
use crate::ids::BackendName;

/// The crash of one server run under one subject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request, or a part of its prompt.
    pub subject: CrashSubject,
    /// Run of the server.
    pub server: BackendName,
    /// Evidence of the crash.
    pub evidence: Evidence,
    /// Time since the crash, in ms.
    pub age_ms: u64,
    /// Whether the report no longer counts: the request has been answered since, or the server
    /// is still running.
    pub is_withdrawn: bool,
    /// Whether the request ran with a permit for the subject, so that no other run of this
    /// subject can have caused the crash.
    pub is_isolated: bool,
}

/// Update of a crash tracker, relative to an earlier revision of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertisedCrashes {
    /// Reports since the earlier revision, the earliest changes first.
    pub records: Vec<CrashReport>,
    /// Revision up to which the receiver knows the tracker afterwards.
    pub revision: u64,
}

/// Status of a request with regard to the crashes under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No crash counts against it.
    Clear,
    /// Servers have crashed under it: one copy of it runs at a time.
    Suspect {
        /// Number of crashes that count.
        ends: u32,
    },
    /// It is refused.
    Quarantined {
        /// Number of crashes that count.
        ends: u32,
        /// Time until a trial run is allowed, in ms.
        retry_after_ms: u64,
    },
}

impl QuarantineStatus {
    /// Returns the number of crashes that count against the request.
    pub fn ends(self) -> u32 {
        match self {
            Self::Clear => 0,
            Self::Suspect { ends } | Self::Quarantined { ends, .. } => ends,
        }
    }
}

/// Status of a request with regard to the crashes under itself and the parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// It may be sent.
    Clear,
    /// It may be sent with a permit.
    Suspect {
        /// The subjects that the permit has to cover.
        suspects: Vec<CrashSubject>,
        /// Most crashes that count against one of them.
        ends: u32,
    },
    /// It is refused.
    Quarantined {
        /// The subject that is quarantined.
        subject: CrashSubject,
        /// Number of crashes that count against it.
        ends: u32,
        /// Time until a trial run is allowed, in ms.
        retry_after_ms: u64,
    },
}

/// Settings of the quarantine: durations and limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Time for which a request or prompt part is refused after the third crash under it, and for
    /// which one with fewer crashes is tracked, in ms.
    pub quarantine_ms: u64,
    /// Most tracked requests and prompt parts. Beyond that, those with the fewest crashes are
    /// evicted first, the oldest of them first.
    pub max_requests: usize,
    /// Most reports in one message.
    pub told_at_once: usize,
}

impl Default for QuarantineSettings {
    /// Ten minutes, about as long as operators take to repair or replace a server; 4,096 requests
    /// of about 300 bytes each; messages of 4 KB, at most two a second.
    fn default() -> Self {
        Self {
            quarantine_ms: 600_000,
            max_requests: 4_096,
            told_at_once: 64,
        }
    }
}
