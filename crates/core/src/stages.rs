//! Schedules the stages that run before a request is forwarded. Each stage is split
//! into pieces, which backend servers process in batches.
//!
//! One selected instance schedules the pieces of all instances that can reach it, so
//! that pieces of different requests share calls. Pieces may run more than once: when
//! the scheduler is lost, its successor restarts the unfinished ones.

mod admission;
mod batch;
mod calls;
mod choice;
mod contention;
mod fetched;
mod handover;
mod isolation;
mod progress;
mod queue;
mod request;
mod results;
mod scheduler;
mod server;
mod service;
mod types;
mod unreachable;

pub use choice::{Candidate, SchedulerSelector};
pub use scheduler::{CallOutcome, ItemOutcome, StageScheduler};
pub use types::{
    CallId, CallItem, DonePiece, ItemInput, Refusal, RequestKey, ResultRef, StageAction, StageCall,
    StageOutcome, StageWork, Submission,
};
