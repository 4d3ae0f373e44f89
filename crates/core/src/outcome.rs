//! The closed set of final answers a caller can get.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How a request ended, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer is in the body.
    Complete,
    /// Nothing of the request ran, under this attempt or any other with its key.
    NotRun,
    /// This attempt started nothing; an earlier one under the same key may have.
    NotStarted,
    /// Something ran, there is no answer, and it is safe to repeat.
    Failed,
    /// It may have taken effect; it is not safe to repeat.
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

    /// Tells whether the caller may send the request again as it is.
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
