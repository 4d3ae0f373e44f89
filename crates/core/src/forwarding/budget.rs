//! Retry budgets: limit the repeats of each service over all instances.

use std::collections::HashMap;

use crate::{fleet::RetryBudget, ids::PoolName};

/// Upper bound of the repeats that all instances together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats per request of callers to the service.
    pub ratio: f64,
    /// Repeats of all instances together beyond the ratio, in one window.
    pub slack: f64,
    /// Minimum number of instances; each uses an equal share of the slack, so that they need
    /// no coordination.
    pub instances: u32,
}

/// Percentage of the ratio that is used, since the window of the requests that earn a repeat
/// and that of the repeat itself begin at different times.
const USED_PERCENT: f64 = 80.0;

/// Repeat budgets of one instance by service.
#[derive(Debug)]
pub struct RepeatBudgets {
    settings: BudgetSettings,
    earn_percent: u32,
    burst: u32,
    budgets: HashMap<PoolName, RetryBudget>,
}

impl RepeatBudgets {
    /// Creates budgets with this instance's share of `settings`.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            earn_percent: (settings.ratio * USED_PERCENT) as u32,
            burst: slack_share(settings, settings.instances),
            budgets: HashMap::new(),
        }
    }

    /// Reduces the share of the slack if more instances are listed than configured. Instances
    /// that have left stay listed, so that the shares never add up to more than the slack.
    pub fn on_listed(&mut self, instances: u32) {
        let instances = instances.max(self.settings.instances);
        self.burst = slack_share(self.settings, instances);
        for budget in self.budgets.values_mut() {
            budget.set_burst(self.burst);
        }
    }

    /// Counts a request of a caller to `service`.
    pub fn on_request(&mut self, service: &PoolName) {
        self.budget(service).on_first_attempt();
    }

    /// Takes one repeat out of the budget of `service`; returns false if none is left.
    pub fn try_spend(&mut self, service: &PoolName) -> bool {
        self.budget(service).try_spend()
    }

    fn budget(&mut self, service: &PoolName) -> &mut RetryBudget {
        let (earn_percent, burst) = (self.earn_percent, self.burst);
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::with(earn_percent, burst))
    }
}

/// Returns the repeats that one of `instances` may send beyond the ratio.
fn slack_share(settings: BudgetSettings, instances: u32) -> u32 {
    (settings.slack / f64::from(instances.max(1))) as u32
}
