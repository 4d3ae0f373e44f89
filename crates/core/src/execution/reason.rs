//! Why a request was not answered completely.

use std::fmt;

use crate::{call::RefusalReason, decision::DecisionReason, ids::StageName};

/// Why a request was not answered completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The policy gave it up.
    GivenUp(DecisionReason),
    /// The last backend server refused the call.
    Refused {
        /// Stage that it was.
        stage: StageName,
        /// Why it was refused.
        reason: RefusalReason,
    },
    /// The connection broke after the call had been handed to it.
    Lost {
        /// Stage that it was.
        stage: StageName,
    },
    /// The stage failed.
    Failed {
        /// Stage that it was.
        stage: StageName,
        /// What the backend server said.
        message: String,
    },
    /// The answer of the stage was cut off or did not match its call.
    Cut {
        /// Stage that it was.
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
