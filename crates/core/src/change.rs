//! Intents, plans, and the changes that confirmed plans append to the log.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ChangeId, Offset, OperatorName},
    objects::{Backend, Model, Object, ObjectKey, Pipeline, Pool, Workspace},
};

/// Desired configuration as stated in an intent file. Objects that are not named are
/// left unchanged.
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

/// A step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOp {
    /// Creates or replaces an object.
    Put(Object),
    /// Removes an object.
    Delete(ObjectKey),
}

impl ChangeOp {
    /// Returns the key of the object that the step changes.
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Put(object) => object.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// A change of the configuration, planned against the state at `base`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier, which makes repeated appends of the same change harmless.
    pub id: ChangeId,
    /// Next offset of the state that the plan was made against.
    pub base: Offset,
    /// Operator who confirmed it.
    pub operator: OperatorName,
    /// Steps, which are applied atomically.
    pub ops: Vec<ChangeOp>,
}

/// Effect of an intent. Nothing takes effect before the plan is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Change that the confirmation appends to the log.
    pub change: Change,
    /// The difference, one line for each object that would change.
    pub summary: Vec<String>,
    /// Model moves that would follow, one line for each.
    pub moves: Vec<String>,
    /// Warnings for the operator, to be read before confirming.
    pub warnings: Vec<String>,
}
