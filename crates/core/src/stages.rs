//! Work that comes before a forwarded request: pieces of stages, which backend
//! servers take in batches.
//!
//! One instance schedules the pieces of all instances that reach it, so that
//! pieces of different requests share calls. Pieces may be produced again:
//! when it is gone, the next one starts over with what is not finished.

mod admission;
mod batch;
mod calls;
mod choice;
mod contention;
mod fetched;
mod handover;
mod isolation;
mod kept;
mod progress;
mod queue;
mod request;
mod scheduler;
mod server;
mod service;
mod work;

pub use choice::{Candidate, SchedulerSelector};
pub use scheduler::{CallOutcome, ItemOutcome, StageScheduler};
pub use work::{
    CallId, CallItem, DonePiece, ItemInput, Refusal, RequestKey, ResultRef, StageAction, StageCall,
    StageOutcome, StageWork, Submission,
};
