//! Decisions of placement as values, for one log line each.

use crate::ids::{BackendName, ModelName, PoolName, ZoneName};

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MoveKind {
    /// An engine drops a model.
    Unload,
    /// An engine loads a model.
    Load,
    /// An engine is told a new fencing number by an order that changes nothing.
    Fence,
    /// A replica is wanted and no engine can take it.
    Unplaced,
}

impl MoveKind {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unload => "unload",
            Self::Load => "load",
            Self::Fence => "fence",
            Self::Unplaced => "unplaced",
        }
    }
}

/// Why it was decided so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PlacementReason {
    /// There are fewer replicas than configured, or none of a model in use.
    TooFew,
    /// Demand has been high for longer than the move costs.
    Demand,
    /// The place is needed and the replica is spare.
    MakeRoom,
    /// The model is not configured for the pool any more.
    Removed,
    /// A new placer gives its first orders.
    NewTerm,
}

impl PlacementReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooFew => "too_few",
            Self::Demand => "demand",
            Self::MakeRoom => "make_room",
            Self::Removed => "removed",
            Self::NewTerm => "new_term",
        }
    }
}

/// One decision about one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementDecision {
    /// What was decided.
    pub kind: MoveKind,
    /// Why.
    pub reason: PlacementReason,
    /// Model that it is about.
    pub model: ModelName,
    /// Engine that it is about.
    pub backend: Option<BackendName>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its pool.
    pub pool: PoolName,
    /// Replicas held or being loaded there, before the move.
    pub held: u32,
    /// Replicas wanted there.
    pub wanted: u32,
    /// Slots that the model keeps busy there, smoothed, in thousandths.
    pub demand_milli_slots: u64,
    /// Time for which the move keeps the weight store busy, in ms.
    pub cost_ms: u64,
}
