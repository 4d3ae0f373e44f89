//! Decision logic of savoryvane, without input or output.
//!
//! Every module is a state machine or a pure function of a borrowed view. Time is
//! passed as an argument, and actions are returned as values.

pub mod bucket;
pub mod call;
pub mod caller_memory;
pub mod change;
pub mod claim;
pub mod claim_batcher;
pub mod claim_decision;
pub mod claim_index;
pub mod claimant;
pub mod config;
pub mod cost;
pub mod decision;
pub mod digest;
pub mod execution;
pub mod fleet;
pub mod forwarding;
pub mod ids;
pub mod intake;
pub mod json_cost;
pub mod limiter;
pub mod membership;
pub mod objects;
pub mod outcome;
pub mod placement;
pub mod placer;
pub mod poison;
pub mod progress;
pub mod quantile;
pub mod quota;
pub mod quota_allocator;
pub mod report_schedule;
pub mod roster;
pub mod settings;
pub mod share;
pub mod stages;
pub mod ticket;
pub mod topology;
pub mod usage;
mod zone_reach;
pub mod zones;
