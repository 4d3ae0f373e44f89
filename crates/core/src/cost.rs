//! Accounts for cost by stage, including wasted work.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{PipelineName, StageName, WorkspaceName};

const US_PER_S: u128 = 1_000_000;

/// Returns the cost of `busy_us` at `price_micros_per_s`.
pub fn cost_micros(busy_us: u64, price_micros_per_s: u64) -> u64 {
    let cost = u128::from(busy_us) * u128::from(price_micros_per_s) / US_PER_S;
    u64::try_from(cost).unwrap_or(u64::MAX)
}

/// The time and cost of one stage of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageUsage {
    /// Name of the stage.
    pub stage: StageName,
    /// Time from the stage's start to its end, in µs.
    pub elapsed_us: u64,
    /// Busy time of all its calls, in µs.
    pub busy_us: u64,
    /// Cost of that time, in millionths of the accounting currency.
    pub cost_micros: u64,
    /// Part of the cost spent on calls whose response was not used.
    pub wasted_micros: u64,
    /// Calls sent, including the first attempt.
    pub calls: u32,
}

impl StageUsage {
    /// Creates an empty usage of `stage`.
    pub fn new(stage: StageName) -> Self {
        Self {
            stage,
            elapsed_us: 0,
            busy_us: 0,
            cost_micros: 0,
            wasted_micros: 0,
            calls: 0,
        }
    }
}

/// The cost of the use of one stage by one workspace, as recorded by this
/// instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CostLine {
    /// Workspace.
    pub workspace: WorkspaceName,
    /// Pipeline.
    pub pipeline: PipelineName,
    /// Name of the stage.
    pub stage: StageName,
    /// Calls sent.
    pub calls: u64,
    /// Busy time, in µs.
    pub busy_us: u64,
    /// Cost, in millionths of the accounting currency.
    pub cost_micros: u64,
    /// Part of the cost spent on work that was not used.
    pub wasted_micros: u64,
}

/// Total costs by workspace, pipeline and stage.
#[derive(Clone, Debug, Default)]
pub struct CostLedger {
    lines: BTreeMap<(WorkspaceName, PipelineName, StageName), CostLine>,
}

impl CostLedger {
    /// Adds the usage of one request; `is_wasted` if its caller got no complete
    /// response.
    pub fn record(
        &mut self,
        workspace: &WorkspaceName,
        pipeline: &PipelineName,
        usage: &StageUsage,
        is_wasted: bool,
    ) {
        let key = (workspace.clone(), pipeline.clone(), usage.stage.clone());
        let line = self.lines.entry(key).or_insert_with(|| CostLine {
            workspace: workspace.clone(),
            pipeline: pipeline.clone(),
            stage: usage.stage.clone(),
            calls: 0,
            busy_us: 0,
            cost_micros: 0,
            wasted_micros: 0,
        });
        line.calls += u64::from(usage.calls);
        line.busy_us += usage.busy_us;
        line.cost_micros += usage.cost_micros;
        line.wasted_micros += if is_wasted {
            usage.cost_micros
        } else {
            usage.wasted_micros
        };
    }

    /// Returns the totals, ordered by workspace, pipeline and stage.
    pub fn lines(&self) -> impl Iterator<Item = &CostLine> {
        self.lines.values()
    }
}
