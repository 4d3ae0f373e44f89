//! Configuration as a stream of records on the platform's log, which every instance
//! applies in offset order by the same deterministic rule.

mod checkpoint;
mod confirm;
mod event;
mod follower;
mod head;
mod plan;
mod reader;
mod recent;
mod record;
mod rules;
mod schedule;
mod state;
mod store;
mod verdict;

pub use self::{
    checkpoint::{Assembler, Assembly, CheckpointItem, CheckpointPart, MAX_PART_BYTES, PartFault},
    confirm::{AppendResult, Confirm, ConfirmOutcome, ConfirmStep, READ_BACK_MS},
    event::{Action, Content, Duties, Event, IgnoredCounts, Progress, Received, Snapshot, Source},
    follower::{Follower, FollowerSettings, READ_WAIT_MS, TICK_MS},
    head::Head,
    plan::{MAX_CHANGE_BYTES, PlanError, change_id},
    record::ConfigRecord,
    rules::{
        Fault, MAX_DEADLINE_MS, MAX_PIPELINES_PER_WORKSPACE, MAX_REPLICAS, MAX_SLOTS, MAX_STAGES,
        MAX_WEIGHT, Violation,
    },
    state::{MAX_REASONS, RETAINED_OFFSETS, State},
    verdict::{Applied, HistoryEntry, InvalidReason, Verdict},
};
