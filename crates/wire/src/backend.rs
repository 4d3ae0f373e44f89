//! Calls to backend servers: model engines and plain services.
//!
//! - `POST /v1/run`, body [`StageCall`]; returns 200 with one JSON
//!   [`StageEvent`] per line, 429 [`Refusal`] when full, 503 [`Refusal`] when
//!   leaving; a refused call has not run. A refusal may request a backoff.
//! - `POST /v1/cancel`, body [`Cancel`]; returns 204.
//! - `GET /v1/load`; returns 200 [`LoadReport`].
//! - `GET /v1/cache-events?from=N`; returns 200 [`CacheEvents`].
//! - `POST /v1/orders`, body [`Order`]; returns 200 [`OrderReply`], 409
//!   [`OrderReply`] when the fencing number is stale and the engine checks it.

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
    /// Time for which the calling instance must send this server no calls, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Cancels a call; the caller ignores any further events of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Call to cancel.
    #[serde(flatten)]
    pub id: CallId,
}

/// Action that an order requires of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a model from the weight store.
    Load {
        /// Model to load.
        model: ModelName,
    },
    /// Unloads a model.
    Unload {
        /// Model to unload.
        model: ModelName,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: the offset of the placer's election.
    pub fence: u64,
    /// Action to perform.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Response to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the engine applied the order.
    pub applied: bool,
    /// Highest fencing number that the engine has seen; 0 if it ignores fencing numbers.
    pub highest_fence: u64,
    /// Models loaded after the order.
    pub models: Vec<ModelName>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is now cached.
    pub cached: bool,
}

/// Returns the hash that identifies the shared prompt prefix of `input` in cache
/// events: the first eight bytes, big-endian, of the SHA-256 of the JSON of its
/// field `prefix`, or of the whole input if it has no such field.
pub fn prefix_hash(input: &serde_json::Value) -> u64 {
    let prefix = input.get("prefix").unwrap_or(input);
    let digest = Sha256::digest(prefix.to_string().as_bytes());
    let leading_bytes = digest.iter().take(size_of::<u64>());
    leading_bytes.fold(0, |hash, byte| hash << u8::BITS | u64::from(*byte))
}

/// Cache events, starting at a sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order, possibly with gaps.
    pub events: Vec<CacheEvent>,
    /// Sequence number to request next.
    pub next: u64,
}
