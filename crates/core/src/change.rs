//! Intents, plans and the changes that a confirmed plan appends to the log.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ChangeId, Offset, OperatorName},
    objects::{Backend, Model, Object, ObjectKey, Pipeline, Pool, Workspace},
};

/// What an operator wants, as the intent file states it. Objects that are not
/// named stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Intent {
    /// Pools to create or replace.
    pub pools: Vec<Pool>,
    /// Backend servers to create or replace.
    pub backends: Vec<Backend>,
    /// Models to create or replace.
    pub models: Vec<Model>,
    /// Pipelines to create or replace.
    pub pipelines: Vec<Pipeline>,
    /// Workspaces to create or replace.
    pub workspaces: Vec<Workspace>,
    /// Objects to remove.
    pub remove: Vec<ObjectKey>,
}

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOp {
    /// Creates or replaces an object.
    Put(Object),
    /// Removes an object.
    Delete(ObjectKey),
}

impl ChangeOp {
    /// Returns the key of the object that the step touches.
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Put(object) => object.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// A change of configuration, made against the state at `base`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier; a repeated append of the same change is harmless.
    pub id: ChangeId,
    /// Next offset that the state had seen nothing of when the plan was made.
    pub base: Offset,
    /// Operator who confirmed it.
    pub operator: OperatorName,
    /// Steps, applied together or not at all.
    pub ops: Vec<ChangeOp>,
}

/// What an intent would do; nothing is in force before it is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Change that a confirm appends to the log.
    pub change: Change,
    /// The difference, one line for each object that would change.
    pub summary: Vec<String>,
    /// Moves of models that would follow, one line each.
    pub moves: Vec<String>,
    /// What the operator should know before confirming.
    pub warnings: Vec<String>,
}
