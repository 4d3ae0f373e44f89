//! Policy settings: routing, admission, retries and hedging.

use crate::objects::Objective;

/// Parameters of every decision of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// Maximum backend servers of a pool and availability zone that one
    /// instance uses.
    pub subset_size: usize,
    /// How a backend server is chosen among the candidates.
    pub routing: Routing,
    /// Whether calls may leave the own availability zone while it has servers.
    pub spill: Spill,
    /// Whether engines that may have a prompt's prefix cached are preferred.
    pub affinity: Affinity,
    /// Maximum bonus of such an engine, in per cent of a call's busy time.
    pub affinity_percent: ByObjective,
    /// Whether requests that cannot meet their deadline are refused.
    pub admission: Admission,
    /// Maximum expected queue wait of a request, in per cent of its slack.
    pub wait_percent_of_slack: ByObjective,
    /// When a request that has begun is given up.
    pub budgets: Budgets,
    /// Which workspaces are refused first under load.
    pub fairness: Fairness,
    /// Whether failing backend servers are ejected temporarily.
    pub ejection: Ejection,
    /// First ejection time of a backend server, in ms; doubled each time it
    /// fails again.
    pub ejection_ms: u64,
    /// Maximum share of the backend servers of a pool that are ejected for
    /// failing, in per cent; at least one may always be.
    pub ejected_percent_max: u32,
    /// When a second call is sent while the first is still running.
    pub hedging: Hedging,
    /// Maximum calls of one stage of one request, including the first.
    pub max_attempts: u32,
    /// Retries and hedges allowed per hundred first attempts.
    pub retry_percent: u32,
    /// Retries that may be sent before any traffic has earned them.
    pub retry_burst: u32,
    /// How load reports are weighted as they age.
    pub reports: Reports,
    /// Age after which a load report is ignored, in ms.
    pub report_max_age_ms: u64,
    /// Base retry time given to refused callers, in ms.
    pub default_retry_after_ms: u64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            subset_size: 16,
            routing: Routing::TwoChoices,
            spill: Spill::ByWait,
            affinity: Affinity::Bounded,
            affinity_percent: ByObjective {
                attainment: 20,
                cost: 30,
            },
            admission: Admission::ByForecast,
            wait_percent_of_slack: ByObjective {
                attainment: 70,
                cost: 50,
            },
            budgets: Budgets::ByStage,
            fairness: Fairness::Weighted,
            ejection: Ejection::On,
            ejection_ms: 1_000,
            ejected_percent_max: 34,
            hedging: Hedging::Overdue,
            max_attempts: 3,
            retry_percent: 10,
            retry_burst: 10,
            reports: Reports::Decaying,
            report_max_age_ms: 5_000,
            default_retry_after_ms: 1_000,
        }
    }
}

/// A value for each objective that an operator can prioritise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByObjective {
    /// Value where attainment is prioritised.
    pub attainment: u32,
    /// Value where cost is prioritised.
    pub cost: u32,
}

impl ByObjective {
    /// Returns the value for an objective.
    pub fn of(self, objective: Objective) -> u32 {
        match objective {
            Objective::Attainment => self.attainment,
            Objective::Cost => self.cost,
        }
    }
}

/// How a backend server is chosen among the candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// Each candidate in turn, regardless of load.
    RoundRobin,
    /// The less loaded of two random ones, preferring the own availability
    /// zone.
    TwoChoices,
}

/// When calls leave the own availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spill {
    /// Only when none of its backend servers takes calls.
    WhenEmpty,
    /// When its wait exceeds that elsewhere by more than the network time.
    ByWait,
}

/// How load reports are weighted as they age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// At full weight until they are too old.
    Trusted,
    /// At a weight that decays as calls end and are replaced.
    Decaying,
}

/// Whether failing backend servers are ejected temporarily.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ejection {
    /// They continue to get calls.
    Off,
    /// They get no calls for a while, then one at a time until one succeeds.
    On,
}

/// Whether requests that cannot meet their deadline are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Every request is admitted.
    Off,
    /// Requests are refused if their forecast does not leave enough time.
    ByForecast,
}

/// When a second call is sent while the first is still running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedging {
    /// Never.
    Off,
    /// When the first makes no progress for longer than usual. Where cost is
    /// prioritised, the first call is then cancelled.
    Overdue,
}

/// Which workspaces are refused first under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fairness {
    /// Any workspace, in order of arrival.
    Off,
    /// Workspaces that have used more than their weighted share.
    Weighted,
}

/// When a request that has begun is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Budgets {
    /// At its deadline.
    AtDeadline,
    /// As soon as its remaining stages could not meet the deadline even at
    /// their shortest expected times.
    ByStage,
}

/// Whether engines that may have a prompt's prefix cached are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// They are not preferred.
    Off,
    /// They get a bounded bonus, so that load takes precedence.
    Bounded,
}
