//! Sums of cost lines, with cost shares and the cost of wasted work.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use savoryvane_core::ids::InstanceName;
use savoryvane_wire::admin::CostLine;
use serde::Serialize;

use crate::{collected_costs::CollectedCosts, command::Grouping};

/// Sum of cost lines, in total or for one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct CostSum {
    /// Calls sent.
    pub(crate) calls: u64,
    /// Busy time, in µs.
    pub(crate) busy_us: u64,
    /// Cost, in millionths of the accounting currency, including wasted work.
    pub(crate) cost_micros: u64,
    /// Part of the cost whose work was not used, in the same unit.
    pub(crate) wasted_micros: u64,
}

impl CostSum {
    fn add(&mut self, line: &CostLine) {
        self.calls = self.calls.saturating_add(line.calls);
        self.busy_us = self.busy_us.saturating_add(line.busy_us);
        self.cost_micros = self.cost_micros.saturating_add(line.cost_micros);
        self.wasted_micros = self.wasted_micros.saturating_add(line.wasted_micros);
    }

    /// Returns the part of the cost whose work was used.
    pub(crate) fn used_micros(&self) -> u64 {
        self.cost_micros.saturating_sub(self.wasted_micros)
    }

    /// Returns the part of this cost whose work was not used, in percent.
    pub(crate) fn wasted_percent(&self) -> f64 {
        percent(self.wasted_micros, self.cost_micros)
    }
}

/// One line of a report; the fields that it sums over are `None`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Workspace.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) workspace: Option<String>,
    /// Pipeline.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) pipeline: Option<String>,
    /// Stage.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) stage: Option<String>,
    /// Sum of the line.
    #[serde(flatten)]
    pub(crate) sum: CostSum,
    /// Share in the total cost, in percent.
    pub(crate) share_percent: f64,
    /// Part of this line's cost whose work was not used, in percent.
    pub(crate) wasted_percent: f64,
}

/// Cost report over the instances that responded.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Report {
    /// Lines, the most expensive first.
    pub(crate) lines: Vec<Line>,
    /// Sum of all lines.
    pub(crate) total: CostSum,
    /// Instances included in the sums.
    pub(crate) instances: Vec<InstanceName>,
    /// Addresses that did not respond.
    pub(crate) unreachable: Vec<SocketAddr>,
    /// Known instances that were not queried.
    pub(crate) not_asked: Vec<InstanceName>,
}

type GroupKey = (Option<String>, Option<String>, Option<String>);

impl Report {
    /// Sums `costs` by `grouping`.
    pub(crate) fn sum(costs: &CollectedCosts, grouping: Grouping) -> Self {
        let mut total = CostSum::default();
        let mut groups: BTreeMap<GroupKey, CostSum> = BTreeMap::new();
        for line in &costs.lines {
            total.add(line);
            groups
                .entry(group_key(line, grouping))
                .or_default()
                .add(line);
        }
        let lines = groups.into_iter().map(|(key, sum)| line(key, sum, total));
        let mut lines: Vec<Line> = lines.collect();
        // The sort is stable: lines of equal cost stay ordered by name.
        lines.sort_by_key(|line| Reverse(line.sum.cost_micros));
        Self {
            lines,
            total,
            instances: costs.instances.clone(),
            unreachable: costs.unreachable.iter().map(|(addr, _)| *addr).collect(),
            not_asked: costs.not_asked.clone(),
        }
    }
}

fn line((workspace, pipeline, stage): GroupKey, sum: CostSum, total: CostSum) -> Line {
    Line {
        workspace,
        pipeline,
        stage,
        sum,
        share_percent: percent(sum.cost_micros, total.cost_micros),
        wasted_percent: sum.wasted_percent(),
    }
}

fn group_key(line: &CostLine, grouping: Grouping) -> GroupKey {
    let workspace = Some(line.workspace.to_string());
    let pipeline = Some(line.pipeline.to_string());
    let stage = Some(line.stage.to_string());
    match grouping {
        Grouping::Full => (workspace, pipeline, stage),
        Grouping::Stage => (None, pipeline, stage),
        Grouping::Pipeline => (None, pipeline, None),
        Grouping::Workspace => (workspace, None, None),
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 * 100.0 / whole as f64
    }
}
