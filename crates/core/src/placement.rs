//! Which engine holds which model, from configuration and measured demand.
//!
//! Each site, the engines of one pool in one availability zone, is decided by
//! itself. A model has at least its configured replicas, and one where a
//! pipeline uses it. Demand adds replicas when it has been high for as long as
//! the load takes, so that a move is never started for less than it costs.
//! Replicas that demand no longer needs stay until their place is needed.
//!
//! [`Reconciler`] is level-triggered: it compares what engines report with what
//! is wanted and repeats orders until both match.

mod assign;
mod decision;
mod demand;
mod engine;
mod layout;
mod observed;
mod preview;
mod reconciler;
mod replicas;
mod settings;

pub use self::{
    decision::{MoveKind, PlacementDecision, PlacementReason},
    engine::EngineReport,
    layout::Layout,
    observed::OrderResult,
    preview::{PlannedMove, preview},
    reconciler::{Order, OrderKind, Reconciler, Round},
    settings::PlacementSettings,
};
