//! Calls to backend servers: model engines and plain services.
//!
//! - `POST /v1/run`, body [`StageCall`]; answers 200 with one JSON
//!   [`StageEvent`] a line, 429 [`Refusal`] when full, 503 [`Refusal`] when
//!   leaving; a refused call has not run. A refusal may ask for backoff.
//! - `POST /v1/cancel`, body [`Cancel`]; answers 204.
//! - `GET /v1/load`; answers 200 [`LoadReport`].
//! - `GET /v1/cache-events?from=N`; answers 200 [`CacheEvents`].
//! - `POST /v1/orders`, body [`Order`]; answers 200 [`OrderReply`], 409
//!   [`OrderReply`] when the fencing number is old and the engine checks it.

pub use savoryvane_core::call::{
    CallId, LoadReport, RefusalReason, ServingState, StageCall, StageEvent,
};
use savoryvane_core::ids::ModelName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Body of a refusal; the call has not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the call was refused.
    pub reason: RefusalReason,
    /// Time for which the server wants no calls from the instance that made this one, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Gives up a call; events that follow are not wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Call to cancel.
    #[serde(flatten)]
    pub id: CallId,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a model from the weight store.
    Load {
        /// Model to load.
        model: ModelName,
    },
    /// Drops a model.
    Unload {
        /// Model to drop.
        model: ModelName,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: the offset of the placer's election.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the order was taken.
    pub applied: bool,
    /// Highest fencing number that the engine has seen; 0 when it ignores them.
    pub highest_fence: u64,
    /// Models loaded after the order.
    pub models: Vec<ModelName>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; gaps mean that events were lost.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is now cached.
    pub cached: bool,
}

/// Returns the hash by which cache events name the prompt prefix that `input`
/// shares with others: the first eight bytes, big end first, of the SHA-256 of
/// the JSON of its field `prefix`, or of the whole input without one.
pub fn prefix_hash(input: &serde_json::Value) -> u64 {
    let prefix = input.get("prefix").unwrap_or(input);
    let digest = Sha256::digest(prefix.to_string().as_bytes());
    let first = digest.iter().take(size_of::<u64>());
    first.fold(0, |hash, byte| hash << u8::BITS | u64::from(*byte))
}

/// Cache events from a sequence number on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order, possibly with gaps.
    pub events: Vec<CacheEvent>,
    /// Sequence number to ask for next.
    pub next: u64,
}
