//! The callers' interface.
//!
//! `POST /v1/pipelines/{pipeline}/requests` with a JSON [`Submission`]; answers
//! [`Answer`], or with `Accept: application/x-ndjson` one [`AnswerEvent`] a
//! line. `POST /v1/tickets` answers 201 [`Ticket`].

pub use savoryvane_core::cost::StageUsage;
use savoryvane_core::{ids::RequestId, outcome::Outcome};
use serde::{Deserialize, Serialize};

/// Header with the workspace's credential: `Bearer <credential>`.
pub const AUTHORIZATION: &str = "authorization";
/// Header that names the workspace.
pub const WORKSPACE: &str = "x-workspace";
/// Header with the caller's request id; one is made when it is absent.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the time that the caller gives the request, in ms.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with a ticket from `POST /v1/tickets`.
pub const TICKET: &str = "x-ticket";
/// Header of an answer with its outcome.
pub const OUTCOME: &str = "x-outcome";
/// Header of an answer with the entry instance that answered.
pub const INSTANCE: &str = "x-instance";

/// Body of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Input of the pipeline's first stage.
    pub input: serde_json::Value,
}

/// Body of an answer, whatever its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Request that it answers.
    pub request_id: RequestId,
    /// How the request ended.
    pub outcome: Outcome,
    /// Why, for every outcome but `complete`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Output of the last stage, for `complete`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output: Option<serde_json::Value>,
    /// When to come back, in ms; the `Retry-After` header has it in s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Time and cost by stage.
    #[serde(default)]
    pub stages: Vec<StageUsage>,
}

/// One line of a streamed answer. A stream that ends without `final` was cut
/// off and is not an answer.
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
    /// The answer, as it would have been without streaming.
    Final(Answer),
}

/// A ticket for one non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Value for the `x-ticket` header.
    pub ticket: String,
    /// Time that the ticket can be used, in ms.
    pub valid_ms: u64,
}
