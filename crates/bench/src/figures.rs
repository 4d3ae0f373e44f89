//! What a run is measured by.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use savoryvane_core::{ids::PoolName, outcome::Outcome};

use crate::scenario::{MEASURE_FROM_US, RUN_US, SECOND_US};

/// Longest time that is told apart from longer ones, in µs.
const HIGHEST_US: u64 = 60_000_000;

/// Requests of one kind and how many were answered in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Those that count.
    pub hits: u64,
    /// All.
    pub all: u64,
}

impl Share {
    /// Counts one.
    pub fn add(&mut self, is_hit: bool) {
        self.all += 1;
        self.hits += u64::from(is_hit);
    }

    /// Returns the share as a percentage; of nothing, all of it.
    pub fn percent(self) -> f64 {
        if self.all == 0 {
            100.0
        } else {
            self.hits as f64 * 100.0 / self.all as f64
        }
    }

    /// Returns the share as a percentage; of nothing, none.
    pub fn percent_or_zero(self) -> f64 {
        if self.all == 0 { 0.0 } else { self.percent() }
    }
}

/// Cost of a pool, in millionths of the accounting currency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolCost {
    /// All of it.
    pub total_micros: f64,
    /// The part whose work served no answer in time.
    pub wasted_micros: f64,
}

/// How one request ended.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    /// Time of its arrival, in µs.
    pub arrived_us: u64,
    /// Time from its arrival to its final answer, in µs.
    pub elapsed_us: u64,
    /// Workspace, as an index.
    pub workspace: usize,
    /// Outcome, unless its instance died.
    pub outcome: Option<Outcome>,
    /// Whether the whole answer reached its caller in time.
    pub is_attained: bool,
    /// Whether nothing of it was sent to a backend server.
    pub is_refused: bool,
    /// Whether that was for its workspace's share.
    pub is_over_share: bool,
    /// Whether it came back after a refusal.
    pub is_return: bool,
    /// Whether it needs a language model runner.
    pub needs_lm: bool,
}

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Requests by workspace.
    pub by_workspace: Vec<Share>,
    /// Requests by the second of their arrival.
    pub by_second: Vec<Share>,
    /// The same for those that need a language model runner.
    pub lm_by_second: Vec<Share>,
    /// Requests refused before anything was sent.
    pub refused: Share,
    /// Those among them that a share was the reason for.
    pub refused_over_share: u64,
    /// The same by workspace.
    pub refused_by_workspace: Vec<Share>,
    /// Time to a refusal, in µs.
    pub refusal_us: Histogram<u64>,
    /// Time to a complete answer, in µs.
    pub answer_us: Histogram<u64>,
    /// Requests that came back when they were told to and were taken.
    pub honest: Share,
    /// Requests by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Stages begun.
    pub first_calls: u64,
    /// Calls sent.
    pub calls: u64,
    /// Cost by pool, from what the backend servers really spent.
    pub costs: BTreeMap<PoolName, PoolCost>,
    /// Cost as the instances booked it, in millionths.
    pub booked_micros: u64,
}

impl Figures {
    /// Creates empty figures.
    pub fn new(workspaces: usize) -> Self {
        let histogram = || Histogram::new_with_max(HIGHEST_US, 3).expect("the bounds are valid");
        Self {
            by_workspace: vec![Share::default(); workspaces],
            by_second: vec![Share::default(); (RUN_US / SECOND_US) as usize],
            lm_by_second: vec![Share::default(); (RUN_US / SECOND_US) as usize],
            refused: Share::default(),
            refused_over_share: 0,
            refused_by_workspace: vec![Share::default(); workspaces],
            refusal_us: histogram(),
            answer_us: histogram(),
            honest: Share::default(),
            outcomes: BTreeMap::new(),
            first_calls: 0,
            calls: 0,
            costs: BTreeMap::new(),
            booked_micros: 0,
        }
    }

    /// Takes in how a request ended.
    pub fn add(&mut self, ending: &Ending) {
        if ending.arrived_us < MEASURE_FROM_US {
            return;
        }
        let name = ending.outcome.map_or("instance_died", Outcome::as_str);
        *self.outcomes.entry(name).or_default() += 1;
        if ending.is_return {
            self.honest.add(!ending.is_refused);
            return;
        }
        self.by_workspace[ending.workspace].add(ending.is_attained);
        let second = (ending.arrived_us / SECOND_US) as usize;
        self.by_second[second].add(ending.is_attained);
        if ending.needs_lm {
            self.lm_by_second[second].add(ending.is_attained);
        }
        self.refused.add(ending.is_refused);
        self.refused_over_share += u64::from(ending.is_over_share);
        self.refused_by_workspace[ending.workspace].add(ending.is_refused);
        if ending.is_refused {
            self.refusal_us.saturating_record(ending.elapsed_us);
        } else if ending.outcome == Some(Outcome::Complete) {
            self.answer_us.saturating_record(ending.elapsed_us);
        }
    }

    /// Returns the attainment of all requests, in per cent.
    pub fn attainment(&self) -> f64 {
        sum(&self.by_workspace).percent()
    }

    /// Returns the attainment of the worst workspace but for `except`.
    pub fn worst_attainment(&self, except: Option<usize>) -> f64 {
        self.by_workspace
            .iter()
            .enumerate()
            .filter(|(index, _)| Some(*index) != except)
            .map(|(_, share)| share.percent())
            .fold(100.0, f64::min)
    }

    /// Returns the share of refused requests in the worst workspace but for
    /// `except`, in per cent.
    pub fn others_refused(&self, except: usize) -> f64 {
        self.refused_by_workspace
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != except)
            .map(|(_, share)| share.percent_or_zero())
            .fold(0.0, f64::max)
    }

    /// Returns the requests that need a runner and were answered in time, for
    /// each second of arrivals between two times.
    pub fn goodput_per_s(&self, from_us: u64, until_us: u64) -> f64 {
        let seconds = (from_us / SECOND_US) as usize..(until_us / SECOND_US) as usize;
        let hits: u64 = self.lm_by_second[seconds.clone()]
            .iter()
            .map(|second| second.hits)
            .sum();
        hits as f64 / seconds.len() as f64
    }

    /// Returns the attainment between two times, in per cent.
    pub fn attainment_between(&self, from_us: u64, until_us: u64) -> f64 {
        let seconds = (from_us / SECOND_US) as usize..(until_us / SECOND_US) as usize;
        sum(&self.by_second[seconds]).percent()
    }

    /// Returns the time from `from_us` to the end of the last second with less
    /// than `percent` attained.
    pub fn recovery_s(&self, from_us: u64, percent: f64) -> f64 {
        let from = (from_us / SECOND_US) as usize;
        self.by_second[from..]
            .iter()
            .rposition(|second| second.percent() < percent)
            .map_or(0.0, |last| (last + 1) as f64)
    }

    /// Returns the requests refused for their workspace's share, in per cent of
    /// all.
    pub fn over_share_percent(&self) -> f64 {
        self.refused_over_share as f64 * 100.0 / self.refused.all.max(1) as f64
    }

    /// Returns what the instances booked in per cent of what was spent.
    pub fn booked_percent(&self) -> f64 {
        let total: f64 = self.costs.values().map(|cost| cost.total_micros).sum();
        self.booked_micros as f64 * 100.0 / total.max(1.0)
    }

    /// Returns calls beyond the first of each stage, in per cent of those.
    pub fn retry_percent(&self) -> f64 {
        (self.calls - self.first_calls) as f64 * 100.0 / self.first_calls.max(1) as f64
    }

    /// Returns the wasted part of the cost, in per cent.
    pub fn wasted_percent(&self) -> f64 {
        let total: f64 = self.costs.values().map(|cost| cost.total_micros).sum();
        let wasted: f64 = self.costs.values().map(|cost| cost.wasted_micros).sum();
        wasted * 100.0 / total.max(1.0)
    }

    /// Returns the cost of each request answered in time, in millionths.
    pub fn cost_per_answer(&self) -> f64 {
        let total: f64 = self.costs.values().map(|cost| cost.total_micros).sum();
        total / sum(&self.by_workspace).hits.max(1) as f64
    }
}

fn sum(shares: &[Share]) -> Share {
    shares.iter().fold(Share::default(), |sum, share| Share {
        hits: sum.hits + share.hits,
        all: sum.all + share.all,
    })
}
