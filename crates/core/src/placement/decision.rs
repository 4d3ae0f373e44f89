//! Decisions of placement, each logged as one line.

use crate::ids::{BackendName, ModelName, PoolName, ZoneName};

/// The kind of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MoveKind {
    /// An engine unloads a model.
    Unload,
    /// An engine loads a model.
    Load,
    /// An engine learns a new fencing number by an order that changes nothing.
    Fence,
    /// A replica is needed and no engine can take it.
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

/// The reason for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PlacementReason {
    /// There are fewer replicas than configured, or none of a model in use.
    TooFew,
    /// Demand has been high for longer than the move takes.
    Demand,
    /// The room is needed for another model.
    MakeRoom,
    /// The model is no longer configured for the pool.
    Removed,
    /// A new placer has begun its term.
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

/// A decision about one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementDecision {
    /// Kind of the decision.
    pub kind: MoveKind,
    /// Reason for the decision.
    pub reason: PlacementReason,
    /// Model concerned.
    pub model: ModelName,
    /// Engine concerned, if any.
    pub backend: Option<BackendName>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Pool.
    pub pool: PoolName,
    /// Replicas held or being loaded at the site before the move.
    pub held: u32,
    /// Replicas wanted at the site.
    pub wanted: u32,
    /// Smoothed number of slots that the model keeps busy at the site, in
    /// thousandths.
    pub demand_milli_slots: u64,
    /// Time for which the move occupies the weight store, in ms.
    pub cost_ms: u64,
}
