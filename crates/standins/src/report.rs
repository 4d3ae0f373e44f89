//! What came of a load: outcomes, attainment, latency, time and cost by stage.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
};

use hdrhistogram::Histogram;
use savoryvane_core::outcome::Outcome;
use savoryvane_wire::caller::StageUsage;

use crate::caller::{Asked, Verdict};

/// Longest latency that is told apart, in µs.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Digits of precision of latencies.
const LATENCY_DIGITS: u8 = 3;

/// Examples of bad answers that are kept.
const KEPT_EXAMPLES: usize = 5;

/// Quantiles that are printed, with their names.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)];

/// Time and cost of a stage over many requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageTotals {
    /// Requests that ran the stage.
    pub requests: u64,
    /// Calls sent.
    pub calls: u64,
    /// Time from the stage's start to its end, in µs.
    pub elapsed_us: u64,
    /// Busy time, in µs.
    pub busy_us: u64,
    /// Cost, in millionths of the accounting currency.
    pub cost_micros: u64,
    /// Part of the cost whose work was not used.
    pub wasted_micros: u64,
}

/// What came of a load.
#[derive(Clone, Debug)]
pub struct Report {
    deadline_us: u64,
    /// Requests sent.
    pub sent: u64,
    /// Whole and right answers.
    pub right: u64,
    /// Whole and right answers within the deadline.
    pub attained: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Requests without a whole answer.
    pub unanswered: u64,
    /// Answers by outcome, for outcomes other than `complete`.
    pub refused: BTreeMap<&'static str, u64>,
    /// Those answers by outcome and reason.
    pub reasons: BTreeMap<String, u64>,
    /// Requests by the entry instance that answered.
    pub by_instance: BTreeMap<String, u64>,
    /// Time and cost by stage, in the order of their names.
    pub stages: BTreeMap<String, StageTotals>,
    /// First examples of wrong or missing answers.
    pub examples: Vec<String>,
    latency_us: Histogram<u64>,
}

impl Report {
    /// Starts an empty report on requests with a deadline.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that fit.
    pub fn new(deadline_ms: u64) -> Self {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)
            .expect("bounds of the histogram are valid");
        Self {
            deadline_us: deadline_ms * 1000,
            sent: 0,
            right: 0,
            attained: 0,
            wrong: 0,
            unanswered: 0,
            refused: BTreeMap::new(),
            reasons: BTreeMap::new(),
            by_instance: BTreeMap::new(),
            stages: BTreeMap::new(),
            examples: Vec::new(),
            latency_us,
        }
    }

    /// Adds one request.
    pub fn add(&mut self, asked: &Asked) {
        self.sent += 1;
        match &asked.verdict {
            Verdict::Right => self.add_right(asked.latency_us),
            Verdict::Refused(outcome) => self.add_refused(*outcome, asked),
            Verdict::Wrong(what) => {
                self.wrong += 1;
                self.keep_example(what);
            }
            Verdict::NoAnswer(why) => {
                self.unanswered += 1;
                self.keep_example(why);
            }
        }
        if let Some(instance) = &asked.instance {
            *self.by_instance.entry(instance.clone()).or_default() += 1;
        }
        for usage in asked.answer.iter().flat_map(|answer| &answer.stages) {
            self.add_usage(usage);
        }
    }

    /// Tells whether every answer was whole and right, or, with
    /// `allow_refusals`, told truly that nothing was started.
    pub fn is_good(&self, allow_refusals: bool) -> bool {
        let allowed: u64 = [Outcome::NotRun, Outcome::NotStarted]
            .iter()
            .filter_map(|outcome| self.refused.get(outcome.as_str()))
            .sum();
        let good = if allow_refusals {
            self.right + allowed
        } else {
            self.right
        };
        self.sent > 0 && good == self.sent
    }

    /// Returns a quantile of the latency of right answers, in µs.
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }

    /// Returns the share of requests answered completely within the deadline,
    /// per mille.
    pub fn attainment_per_mille(&self) -> u64 {
        self.attained * 1000 / self.sent.max(1)
    }

    fn add_right(&mut self, latency_us: u64) {
        self.right += 1;
        self.attained += u64::from(latency_us <= self.deadline_us);
        self.latency_us.saturating_record(latency_us);
    }

    fn add_refused(&mut self, outcome: Outcome, asked: &Asked) {
        *self.refused.entry(outcome.as_str()).or_default() += 1;
        let reason = asked.answer.as_ref().and_then(|a| a.reason.as_deref());
        let told = format!("{outcome}: {}", reason.unwrap_or("no reason"));
        *self.reasons.entry(told).or_default() += 1;
    }

    fn add_usage(&mut self, usage: &StageUsage) {
        let totals = self.stages.entry(usage.stage.to_string()).or_default();
        totals.requests += 1;
        totals.calls += u64::from(usage.calls);
        totals.elapsed_us += usage.elapsed_us;
        totals.busy_us += usage.busy_us;
        totals.cost_micros += usage.cost_micros;
        totals.wasted_micros += usage.wasted_micros;
    }

    fn keep_example(&mut self, what: &str) {
        if self.examples.len() < KEPT_EXAMPLES {
            self.examples.push(what.to_owned());
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "sent                {:>10}", self.sent)?;
        writeln!(f, "complete and right  {:>10}", self.right)?;
        for (outcome, count) in &self.refused {
            writeln!(f, "{outcome:<20}{count:>10}")?;
        }
        for (told, count) in &self.reasons {
            writeln!(f, "  {count} x {told}")?;
        }
        writeln!(f, "wrong               {:>10}", self.wrong)?;
        writeln!(f, "no whole answer     {:>10}", self.unanswered)?;
        let attainment = self.attainment_per_mille();
        writeln!(
            f,
            "attainment          {:>8}.{} %",
            attainment / 10,
            attainment % 10
        )?;
        for (name, quantile) in QUANTILES {
            let latency_us = self.latency_us(quantile);
            writeln!(f, "latency {name:<12}{:>10} ms", millis(latency_us))?;
        }
        for (instance, count) in &self.by_instance {
            writeln!(f, "answered by {instance:<24}{count:>6}")?;
        }
        f.write_str(&totals_table(&self.stages))?;
        for example in &self.examples {
            writeln!(f, "example: {example}")?;
        }
        Ok(())
    }
}

/// Returns a table of one answer's time and cost by stage.
pub fn usage_table(stages: &[StageUsage]) -> String {
    let mut table = header("stage", "calls");
    for usage in stages {
        push_row(
            &mut table,
            usage.stage.as_str(),
            &StageTotals {
                requests: 1,
                calls: u64::from(usage.calls),
                elapsed_us: usage.elapsed_us,
                busy_us: usage.busy_us,
                cost_micros: usage.cost_micros,
                wasted_micros: usage.wasted_micros,
            },
        );
    }
    table
}

fn totals_table(stages: &BTreeMap<String, StageTotals>) -> String {
    let mut table = header("stage (sums)", "calls");
    for (name, totals) in stages {
        push_row(&mut table, name, totals);
    }
    table
}

fn header(first: &str, second: &str) -> String {
    format!(
        "{first:<16}{second:>8}{:>14}{:>14}{:>14}{:>14}\n",
        "elapsed ms", "busy ms", "cost micros", "wasted"
    )
}

fn push_row(table: &mut String, name: &str, totals: &StageTotals) {
    let row = writeln!(
        table,
        "{name:<16}{:>8}{:>14}{:>14}{:>14}{:>14}",
        totals.calls,
        millis(totals.elapsed_us),
        millis(totals.busy_us),
        totals.cost_micros,
        totals.wasted_micros
    );
    row.expect("writing to a string does not fail");
}

fn millis(us: u64) -> String {
    format!("{}.{:03}", us / 1000, us % 1000)
}
