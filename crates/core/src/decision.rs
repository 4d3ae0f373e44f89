//! Decisions, each logged as one line.

use std::fmt;

use crate::ids::{BackendName, RequestId, StageName, ZoneName};

/// The kind of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DecisionKind {
    /// Whether to admit a request.
    Admission,
    /// Where to send the first call of a stage.
    Route,
    /// Where to send a call after one that got no result.
    Retry,
    /// Where to send a second call while the first is still running.
    Hedge,
    /// To give up the request.
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

/// The reason for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DecisionReason {
    /// The request is expected to meet its deadline.
    Fits,
    /// The candidate with the least load was chosen.
    LeastLoad,
    /// The request is placed among the requests that are suspected of crashing
    /// servers.
    Isolated,
    /// The candidate was next in round-robin order.
    RoundRobin,
    /// There was only one candidate.
    Only,
    /// No backend server can take the call.
    NoBackend,
    /// The stage has reached the maximum number of attempts.
    AttemptsSpent,
    /// The retry budget is spent.
    RetryBudgetSpent,
    /// The deadline can no longer be met.
    CannotFinish,
    /// The deadline has passed.
    DeadlinePassed,
    /// The earlier call may have run and is not idempotent.
    NotIdempotent,
    /// The workspace exceeds its share while others need theirs.
    OverShare,
    /// Backend servers crash while they run the request.
    EndsServers,
    /// The caller has disconnected.
    CallerGone,
}

impl DecisionReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fits => "fits",
            Self::LeastLoad => "least_load",
            Self::Isolated => "apart",
            Self::RoundRobin => "turn",
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
    /// Expected wait and latency, in µs; the lowest score is chosen.
    pub score_us: u64,
}

/// A decision about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// Request concerned.
    pub request: RequestId,
    /// Stage concerned, if any.
    pub stage: Option<StageName>,
    /// Attempt started by the decision, if any.
    pub attempt: Option<u64>,
    /// Candidates considered.
    pub candidates: Vec<Candidate>,
    /// Backend server chosen, if any.
    pub choice: Option<BackendName>,
    /// Reason for the decision.
    pub reason: DecisionReason,
}
