//! Reasons for refusing a request, and the HTTP status of every answer.

use http::StatusCode;
use savoryvane_core::{
    decision::DecisionReason, execution::Completion, execution::Reason, outcome::Outcome,
};
use savoryvane_wire::caller::Answer;

use crate::exclusive;

/// Reason for refusing a request before any part of it is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The credential is missing or wrong, or the workspace does not exist.
    Unauthorized,
    /// The workspace has no pipeline of this name.
    NoPipeline,
    /// The path does not exist.
    NoPath,
    /// The path does not support the method.
    BadMethod,
    /// The named header is missing or has an invalid value.
    BadHeader(&'static str),
    /// The body is malformed.
    BadBody,
    /// The body did not arrive in time.
    SlowBody,
    /// The body is larger than allowed.
    LargeBody,
    /// Too many requests are in flight.
    Overloaded,
    /// The instance has no configuration yet.
    NotReady,
    /// The workspace has used up its quota on this instance. The caller may retry
    /// after this time, in ms.
    OverQuota(u64),
    /// The pipeline is not idempotent, and no idempotency key can be claimed for
    /// the request.
    NoClaim,
    /// The ticket was not issued by this incarnation of the instance.
    TicketNotValid,
}

impl Refusal {
    /// Returns the reason code in the body of the answer.
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

    /// Returns the outcome in the answer.
    pub(crate) fn outcome(self, has_warrant: bool) -> Outcome {
        match self {
            Self::NoClaim | Self::TicketNotValid => Outcome::NotStarted,
            _ if has_warrant => Outcome::NotStarted,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the HTTP status of the answer.
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

    /// Returns the time after which to retry, in ms, if a retry can succeed.
    pub(crate) fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::OverQuota(retry_after_ms) => Some(retry_after_ms),
            Self::Overloaded | Self::NotReady | Self::NoClaim => Some(1_000),
            _ => None,
        }
    }
}

/// Returns the HTTP status for a completion.
pub(crate) fn status(completion: &Completion) -> StatusCode {
    match completion.outcome {
        Outcome::Failed if missed_deadline(completion) => StatusCode::GATEWAY_TIMEOUT,
        outcome => outcome_status(outcome),
    }
}

/// Returns the HTTP status of an answer that was not produced by a run of this
/// request.
pub(crate) fn answer_status(answer: &Answer) -> StatusCode {
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

fn missed_deadline(completion: &Completion) -> bool {
    completion.reason == Some(Reason::GivenUp(DecisionReason::DeadlinePassed))
}
