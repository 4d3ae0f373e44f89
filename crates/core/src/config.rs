//! Configuration: one stream of records on the platform's log, applied in
//! offset order by one deterministic rule.

mod checkpoint;
mod confirm;
mod follower;
mod head;
mod plan;
mod record;
mod rules;
mod schedule;
mod state;
mod store;

pub use self::{
    checkpoint::{Assembler, Assembly, CheckpointItem, CheckpointPart, MAX_PART_BYTES, PartFault},
    confirm::{AppendResult, Confirm, ConfirmOutcome, ConfirmStep, READ_BACK_MS},
    follower::{
        Action, Content, Duties, Event, Follower, FollowerSettings, HEAD_SILENCE_MS, Ignored,
        Progress, READ_WAIT_MS, Received, Snapshot, Source, TICK_MS,
    },
    head::Head,
    plan::{MAX_CHANGE_BYTES, PlanError, change_id},
    record::ConfigRecord,
    rules::{
        Fault, MAX_DEADLINE_MS, MAX_PIPELINES_PER_WORKSPACE, MAX_REPLICAS, MAX_SLOTS, MAX_STAGES,
        MAX_WEIGHT, Violation,
    },
    state::{
        Applied, HistoryEntry, InvalidReason, MAX_REASONS, REMEMBERED_OFFSETS, State, Verdict,
    },
};
