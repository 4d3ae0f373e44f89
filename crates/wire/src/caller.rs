//! The callers' interface.
//!
//! `POST /v1/pipelines/{pipeline}/requests` with a JSON [`Submission`]; returns
//! [`Answer`], or with `Accept: application/x-ndjson` one [`AnswerEvent`] per
//! line. `POST /v1/tickets` returns 201 [`Ticket`].

pub use savoryvane_core::cost::StageUsage;
use savoryvane_core::{ids::RequestId, outcome::Outcome};
use serde::{Deserialize, Serialize};

/// Header with the workspace's credential: `Bearer <credential>`.
pub const AUTHORIZATION: &str = "authorization";
/// Header that names the workspace.
pub const WORKSPACE: &str = "x-workspace";
/// Header with the caller's request id; the instance generates one if it is absent.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the time limit that the caller sets for the request, in ms.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with a ticket from `POST /v1/tickets`.
pub const TICKET: &str = "x-ticket";
/// Response header with the outcome of the request.
pub const OUTCOME: &str = "x-outcome";
/// Response header with the name of the entry instance that answered.
pub const INSTANCE: &str = "x-instance";

/// Body of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Input of the pipeline's first stage.
    pub input: serde_json::Value,
}

/// A [`Submission`] to be written, without a copy of its input.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BorrowedSubmission<'a> {
    /// Input of the pipeline's first stage.
    pub input: &'a serde_json::Value,
}

/// Body of a response, for every outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// How the request ended.
    pub outcome: Outcome,
    /// Reason for every outcome except `complete`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Output of the last stage, for `complete`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output: Option<serde_json::Value>,
    /// Time after which to retry, in ms; the `Retry-After` header has it in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Time and cost of each stage.
    #[serde(default)]
    pub stages: Vec<StageUsage>,
}

/// One line of a streamed answer. A stream that ends without `final` is truncated
/// and must not be used as an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum AnswerEvent {
    /// One token of the last stage's text.
    Token {
        /// Index of the token, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The whole answer, the same as without streaming.
    Final(Answer),
}

/// A ticket for one non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Value for the `x-ticket` header.
    pub ticket: String,
    /// Time for which the ticket is valid, in ms.
    pub valid_ms: u64,
}
