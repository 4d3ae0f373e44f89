//! Decisions as values, for one log line each.

use std::fmt;

use crate::ids::{BackendName, RequestId, StageName, ZoneName};

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DecisionKind {
    /// Whether a request is taken.
    Admission,
    /// Where the first call of a stage goes.
    Route,
    /// Where a call goes after one that did not answer.
    Retry,
    /// Where a second call goes while the first is still running.
    Hedge,
    /// That the request is given up.
    GiveUp,
}

impl DecisionKind {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::Route => "route",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::GiveUp => "give_up",
        }
    }
}

/// Why it was decided so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DecisionReason {
    /// It fits its deadline as far as is known.
    Fits,
    /// The candidate with the least load won.
    LeastLoad,
    /// It has its place among requests under which servers have ended.
    Apart,
    /// It was the candidate's turn.
    Turn,
    /// The only candidate.
    Only,
    /// No backend server can take the call.
    NoBackend,
    /// The stage has been attempted as often as allowed.
    AttemptsSpent,
    /// Retries have used up their share of the traffic.
    RetryBudgetSpent,
    /// The deadline cannot be met any more.
    CannotFinish,
    /// The deadline has passed.
    DeadlinePassed,
    /// The earlier call may have run and may not be repeated.
    NotIdempotent,
    /// The workspace is over its share while others need theirs.
    OverShare,
    /// Backend servers end under the request.
    EndsServers,
    /// The caller has gone.
    CallerGone,
}

impl DecisionReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fits => "fits",
            Self::LeastLoad => "least_load",
            Self::Apart => "apart",
            Self::Turn => "turn",
            Self::Only => "only",
            Self::NoBackend => "no_backend",
            Self::AttemptsSpent => "attempts_spent",
            Self::RetryBudgetSpent => "retry_budget_spent",
            Self::CannotFinish => "cannot_finish",
            Self::DeadlinePassed => "deadline_passed",
            Self::NotIdempotent => "not_idempotent",
            Self::OverShare => "over_share",
            Self::EndsServers => "ends_servers",
            Self::CallerGone => "caller_gone",
        }
    }
}

impl fmt::Display for DecisionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A backend server that was considered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Backend server.
    pub backend: BackendName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Expected wait and latency there, in µs; the lowest wins.
    pub score_us: u64,
}

/// One decision about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// Request that it is about.
    pub request: RequestId,
    /// Stage that it is about.
    pub stage: Option<StageName>,
    /// Attempt that it starts.
    pub attempt: Option<u64>,
    /// Backend servers considered.
    pub candidates: Vec<Candidate>,
    /// Backend server chosen.
    pub choice: Option<BackendName>,
    /// Why.
    pub reason: DecisionReason,
}
