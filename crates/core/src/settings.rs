//! Settings of the policy: routing, admission, retries and hedging.

use crate::objects::Objective;

/// Tunes every decision of an instance. The defaults suit today's sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// Backend servers of a pool and availability zone that one instance uses.
    pub subset_size: usize,
    /// How a backend server is chosen among the candidates.
    pub routing: Routing,
    /// Whether calls may leave the own availability zone while it has servers.
    pub spill: Spill,
    /// Whether engines that may have a prompt's prefix cached are preferred.
    pub affinity: Affinity,
    /// Greatest bonus of such an engine, in per cent of a call's busy time.
    pub affinity_percent: ByObjective,
    /// Whether requests that cannot be answered in time are refused.
    pub admission: Admission,
    /// Share of a request's slack that it may be expected to wait in queues,
    /// in per cent.
    pub wait_percent_of_slack: ByObjective,
    /// When a request that has begun is given up.
    pub budgets: Budgets,
    /// Who is refused first under pressure.
    pub fairness: Fairness,
    /// Whether backend servers that fail are left alone for a while.
    pub ejection: Ejection,
    /// Time for which a backend server is ejected first; doubled each time it
    /// fails again, in ms.
    pub ejection_ms: u64,
    /// Most backend servers of a pool that are ejected for failing, in per
    /// cent; one may always be.
    pub ejected_percent_max: u32,
    /// When a second call is sent while the first may still answer.
    pub hedging: Hedging,
    /// Calls of one stage of one request, the first included.
    pub max_attempts: u32,
    /// Retries and hedges allowed for each hundred first attempts.
    pub retry_percent: u32,
    /// Retries that may be sent before any traffic has earned them.
    pub retry_burst: u32,
    /// How load reports are used as they age.
    pub reports: Reports,
    /// Age after which a load report counts for nothing, in ms.
    pub report_max_age_ms: u64,
    /// Time to come back after when nothing better is known, in ms.
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
            reports: Reports::Fading,
            report_max_age_ms: 5_000,
            default_retry_after_ms: 1_000,
        }
    }
}

/// A number for each thing that an operator may weigh more heavily.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByObjective {
    /// Where attainment weighs more.
    pub attainment: u32,
    /// Where cost weighs more.
    pub cost: u32,
}

impl ByObjective {
    /// Returns the number for an objective.
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
    /// Each candidate in turn, whatever its load.
    RoundRobin,
    /// The less loaded of two random ones, the own availability zone first.
    TwoChoices,
}

/// When calls leave the own availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spill {
    /// Only when none of its backend servers takes work.
    WhenEmpty,
    /// When the wait there is longer than elsewhere by more than the way.
    ByWait,
}

/// How load reports are used as they age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// As they are, until they are too old.
    Trusted,
    /// The less, the more calls have come and gone since.
    Fading,
}

/// Whether backend servers that fail are left alone for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ejection {
    /// They get calls like the others.
    Off,
    /// They get none for a while, then one at a time until one succeeds.
    On,
}

/// Whether requests that cannot be answered in time are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Every request is taken.
    Off,
    /// Those are refused whose forecast does not leave enough time.
    ByForecast,
}

/// When a second call is sent while the first may still answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedging {
    /// Never.
    Off,
    /// When the first makes no progress for longer than usual. Where cost
    /// weighs more, the first is given up then.
    Overdue,
}

/// Who is refused first under pressure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fairness {
    /// Whoever comes next.
    Off,
    /// Workspaces that have used more than their share, by weight.
    Weighted,
}

/// When a request that has begun is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Budgets {
    /// At its deadline.
    WholeOnly,
    /// As soon as its later stages would not have time, were they fast.
    ByStage,
}

/// Whether engines that may have a prompt's prefix cached are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// They are like the others.
    Off,
    /// By a bounded bonus, so that load goes first.
    Bounded,
}
