//! Answers to requests that are not run, and the status of every answer.

use http::StatusCode;
use savoryvane_core::{
    decision::DecisionReason, execution::Completion, execution::Reason, outcome::Outcome,
};
use savoryvane_wire::caller::Answer;

use crate::exclusive;

/// Why a request was not run, before any of it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No credential, or not that of the workspace.
    Unauthorized,
    /// There is no such pipeline for this workspace.
    NoPipeline,
    /// There is no such path.
    NoPath,
    /// The path takes another method.
    BadMethod,
    /// A header has a value that is not allowed.
    BadHeader(&'static str),
    /// The body is not what the interface asks for.
    BadBody,
    /// The body did not arrive in time.
    SlowBody,
    /// The body is larger than allowed.
    LargeBody,
    /// Too many requests are in flight.
    Overloaded,
    /// The instance has no configuration yet.
    NotReady,
    /// The workspace is at its quota here; it may come back after this time, in
    /// ms.
    OverQuota(u64),
    /// The pipeline may not be repeated, and no claim of its key can be made.
    NoClaim,
    /// The ticket was not issued by this run of the instance.
    TicketNotValid,
}

impl Refusal {
    /// Returns the code that the body carries as reason.
    pub(crate) fn code(self) -> String {
        match self {
            Self::Unauthorized => "unauthorized".to_owned(),
            Self::NoPipeline => "no_such_pipeline".to_owned(),
            Self::NoPath => "no_such_path".to_owned(),
            Self::BadMethod => "method_not_allowed".to_owned(),
            Self::BadHeader(name) => format!("bad_header: {name}"),
            Self::BadBody => "bad_body".to_owned(),
            Self::SlowBody => "slow_body".to_owned(),
            Self::LargeBody => "large_body".to_owned(),
            Self::Overloaded => "overloaded".to_owned(),
            Self::NotReady => "not_ready".to_owned(),
            Self::OverQuota(_) => "over_quota".to_owned(),
            Self::NoClaim => "no_claim".to_owned(),
            Self::TicketNotValid => exclusive::TICKET_NOT_VALID.to_owned(),
        }
    }

    /// Returns the outcome that the caller is told.
    pub(crate) fn outcome(self, has_key: bool) -> Outcome {
        match self {
            Self::NoClaim | Self::TicketNotValid => Outcome::NotStarted,
            _ if has_key => Outcome::NotStarted,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the status of the answer.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoPipeline | Self::NoPath => StatusCode::NOT_FOUND,
            Self::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadHeader(_) | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TicketNotValid => StatusCode::GONE,
            Self::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Overloaded | Self::NotReady | Self::NoClaim => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns when to come back, in ms, where that helps.
    pub(crate) fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::OverQuota(retry_after_ms) => Some(retry_after_ms),
            Self::Overloaded | Self::NotReady | Self::NoClaim => Some(1_000),
            _ => None,
        }
    }
}

/// Returns the status of the answer to a request that was run.
pub(crate) fn status(completion: &Completion) -> StatusCode {
    match completion.outcome {
        Outcome::Failed if is_late(completion) => StatusCode::GATEWAY_TIMEOUT,
        outcome => outcome_status(outcome),
    }
}

/// Returns the status of an answer that was given without a run of its own.
pub(crate) fn given_status(answer: &Answer) -> StatusCode {
    match answer.reason.as_deref() {
        Some(exclusive::REUSED) => StatusCode::UNPROCESSABLE_ENTITY,
        Some(exclusive::TICKET_NOT_VALID) => StatusCode::GONE,
        _ => outcome_status(answer.outcome),
    }
}

fn outcome_status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Complete => StatusCode::OK,
        Outcome::NotRun | Outcome::NotStarted => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Failed => StatusCode::BAD_GATEWAY,
        Outcome::Unknown => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

fn is_late(completion: &Completion) -> bool {
    completion.reason == Some(Reason::GivenUp(DecisionReason::DeadlinePassed))
}
