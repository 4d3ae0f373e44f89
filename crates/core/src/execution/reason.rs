//! Reasons for requests that end without a complete response.

use std::fmt;

use crate::{call::RefusalReason, decision::DecisionReason, ids::StageName};

/// The reason why a request ended without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The policy gave up the request.
    GivenUp(DecisionReason),
    /// The last backend server refused the call.
    Refused {
        /// Stage of the call.
        stage: StageName,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
    /// The connection broke after the call had been handed to it.
    Lost {
        /// Stage of the call.
        stage: StageName,
    },
    /// The stage failed.
    Failed {
        /// Stage of the call.
        stage: StageName,
        /// Error message of the backend server.
        message: String,
    },
    /// The response was cut off or did not match its call.
    Cut {
        /// Stage of the call.
        stage: StageName,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::GivenUp(reason) => write!(f, "given up: {reason}"),
            Self::Refused { stage, reason } => write!(f, "stage {stage} refused: {reason:?}"),
            Self::Lost { stage } => write!(f, "stage {stage}: connection lost"),
            Self::Failed { stage, message } => write!(f, "stage {stage} failed: {message}"),
            Self::Cut { stage } => write!(f, "stage {stage}: answer cut off"),
        }
    }
}
