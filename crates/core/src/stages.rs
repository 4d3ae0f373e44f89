//! Work that comes before a forwarded request: pieces of stages, which backend
//! servers take in batches.
//!
//! One instance schedules the pieces of all instances that reach it, so that
//! pieces of different requests share calls. Pieces may be produced again:
//! when it is gone, the next one starts over with what is not finished.

mod admission;
mod batch;
mod calls;
mod contention;
mod early_release;
mod handover;
mod isolation;
mod progress;
mod queue;
mod request;
mod results;
mod scheduler;
mod selection;
mod server;
mod service;
mod types;

pub use scheduler::{CallOutcome, ItemOutcome, StageScheduler};
pub use selection::{Candidate, SchedulerSelector};
pub use types::{
    CallId, CallItem, DonePiece, ItemInput, Refusal, RequestKey, ResultRef, StageAction, StageCall,
    StageOutcome, StageWork, Submission,
};
