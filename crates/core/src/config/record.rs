//! Content of the records of the configuration stream.

use serde::{Deserialize, Serialize};

use crate::{change::Change, config::CheckpointPart};

/// Content of one record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A confirmed plan.
    Change(Change),
    /// One part of a checkpoint.
    Checkpoint(CheckpointPart),
}
