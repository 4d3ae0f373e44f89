//! The closed set of final outcomes that a caller can receive.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The body contains the complete response.
    Complete,
    /// Nothing of the request ran, neither in this attempt nor in another one
    /// under the same key.
    NotRun,
    /// This attempt started nothing; an earlier one under the same key may have
    /// run.
    NotStarted,
    /// Something ran without a response, and it is safe to repeat the request.
    Failed,
    /// The request may have taken effect; it is not safe to repeat it.
    Unknown,
}

impl Outcome {
    /// Every outcome, in the order of the documentation.
    pub const ALL: [Self; 5] = [
        Self::Complete,
        Self::NotRun,
        Self::NotStarted,
        Self::Failed,
        Self::Unknown,
    ];

    /// Returns the name used in headers, bodies, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not_run",
            Self::NotStarted => "not_started",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }

    /// Returns whether the caller may repeat the request unchanged.
    pub fn is_safe_to_repeat(self) -> bool {
        match self {
            Self::Complete | Self::Unknown => false,
            Self::NotRun | Self::NotStarted | Self::Failed => true,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
