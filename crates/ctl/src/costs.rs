//! Sums of cost lines, with shares and wasted work apart.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use savoryvane_core::ids::InstanceName;
use savoryvane_wire::admin::CostLine;
use serde::Serialize;

use crate::{books::Books, command::Grouping};

/// What was spent, in total or on one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Spent {
    /// Calls sent.
    pub(crate) calls: u64,
    /// Busy time, in µs.
    pub(crate) busy_us: u64,
    /// Cost, in millionths of the accounting currency; wasted work is included.
    pub(crate) cost_micros: u64,
    /// Part of the cost whose work was not used.
    pub(crate) wasted_micros: u64,
}

impl Spent {
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

/// One line of a report; what it was summed over is `None`.
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
    /// What was spent.
    #[serde(flatten)]
    pub(crate) spent: Spent,
    /// Share in the total cost, in percent.
    pub(crate) share_percent: f64,
    /// Part of this line's cost whose work was not used, in percent.
    pub(crate) wasted_percent: f64,
}

/// Sums of what the instances have booked.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Report {
    /// Lines, the most expensive first.
    pub(crate) lines: Vec<Line>,
    /// Sum of all lines.
    pub(crate) total: Spent,
    /// Instances whose books were summed.
    pub(crate) instances: Vec<InstanceName>,
    /// Addresses whose books are missing.
    pub(crate) unreachable: Vec<SocketAddr>,
    /// Known instances that were not asked.
    pub(crate) not_asked: Vec<InstanceName>,
}

type Key = (Option<String>, Option<String>, Option<String>);

impl Report {
    /// Sums `books` by `grouping`.
    pub(crate) fn sum(books: &Books, grouping: Grouping) -> Self {
        let mut total = Spent::default();
        let mut groups: BTreeMap<Key, Spent> = BTreeMap::new();
        for line in &books.lines {
            total.add(line);
            groups.entry(key(line, grouping)).or_default().add(line);
        }
        let lines = groups
            .into_iter()
            .map(|(key, spent)| line(key, spent, total));
        let mut lines: Vec<Line> = lines.collect();
        // The sort is stable: lines of the same cost stay in the order of names.
        lines.sort_by_key(|line| Reverse(line.spent.cost_micros));
        Self {
            lines,
            total,
            instances: books.instances.clone(),
            unreachable: books.unreachable.iter().map(|(addr, _)| *addr).collect(),
            not_asked: books.not_asked.clone(),
        }
    }
}

fn line((workspace, pipeline, stage): Key, spent: Spent, total: Spent) -> Line {
    Line {
        workspace,
        pipeline,
        stage,
        spent,
        share_percent: percent(spent.cost_micros, total.cost_micros),
        wasted_percent: spent.wasted_percent(),
    }
}

fn key(line: &CostLine, grouping: Grouping) -> Key {
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
