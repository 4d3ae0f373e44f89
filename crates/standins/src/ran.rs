//! What really ran, for tests of promises about it.

use std::{collections::BTreeMap, sync::Mutex};

use savoryvane_core::{call::CallId, objects::StageKind};
use serde::{Deserialize, Serialize};

/// How far a call that ran has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RanState {
    /// It is being worked on.
    Running,
    /// It was worked on to its end.
    Done,
    /// It failed.
    Failed,
    /// It was cancelled, or its caller went away.
    Cancelled,
}

/// A call that was worked on, if only in part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RanCall {
    /// Identifiers of the call.
    #[serde(flatten)]
    pub id: CallId,
    /// Work that was asked for.
    pub kind: StageKind,
    /// Input of the caller's request.
    pub input: serde_json::Value,
    /// Index of the first token that was asked for.
    pub resume_from: u32,
    /// How far it has come.
    pub state: RanState,
}

/// Returns the inputs that ran more than once at the same kind of stage, each
/// with how often it ran; `calls` may come from several servers.
pub fn ran_more_than_once(calls: &[RanCall]) -> Vec<(String, usize)> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for call in calls {
        let key = format!("{} {}", call.kind.as_str(), call.input);
        *counts.entry(key).or_default() += 1;
    }
    counts.into_iter().filter(|(_, count)| *count > 1).collect()
}

/// Record of every call that ran.
#[derive(Debug, Default)]
pub(crate) struct Ran(Mutex<Vec<RanCall>>);

/// Place of a call in the record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RanIndex(usize);

impl Ran {
    /// Records that a call begins to run.
    pub(crate) fn begin(&self, call: RanCall) -> RanIndex {
        let mut calls = self.0.lock().expect("no holder of the lock panics");
        calls.push(call);
        RanIndex(calls.len() - 1)
    }

    /// Records how a call ended.
    pub(crate) fn end(&self, index: RanIndex, state: RanState) {
        let mut calls = self.0.lock().expect("no holder of the lock panics");
        calls[index.0].state = state;
    }

    /// Returns every call that ran, in the order in which they began.
    pub(crate) fn all(&self) -> Vec<RanCall> {
        self.0.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the last call of another request that ran.
    pub(crate) fn last_of_another(&self, id: &CallId) -> Option<CallId> {
        let calls = self.0.lock().expect("no holder of the lock panics");
        let other = calls.iter().rev().find(|ran| ran.id.request != id.request);
        other.map(|ran| ran.id.clone())
    }
}
