//! Decides which engine holds which model, from configuration and measured
//! demand.
//!
//! Each site, the engines of one pool in one availability zone, is decided
//! independently. A model has at least its configured replicas, and at least
//! one if a pipeline uses it. Demand adds a replica once it has been high for
//! as long as loading takes, so a move never starts for a demand shorter than
//! its cost. Replicas without demand stay until their room is needed.
//!
//! [`Reconciler`] is level-triggered: it compares the reports of engines with
//! the desired state and repeats orders until both match.

mod assign;
mod decision;
mod demand;
mod engine;
mod layout;
mod preview;
mod reconciler;
mod replicas;
mod settings;
mod tracker;

pub use self::{
    decision::{MoveKind, PlacementDecision, PlacementReason},
    engine::EngineReport,
    layout::Layout,
    preview::{PlannedMove, preview},
    reconciler::{Order, OrderKind, Reconciler, Round},
    settings::PlacementSettings,
    tracker::OrderResult,
};
