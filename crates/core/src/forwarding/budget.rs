//! Bounds what is sent again, for each service and over all instances.

use std::collections::HashMap;

use crate::{fleet::RetryBudget, ids::PoolName};

/// Most repeats that all instances together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats for each request of callers to the service.
    pub ratio: f64,
    /// Repeats beyond that, of all instances together, in one window.
    pub slack: f64,
    /// Instances that there are at least; each takes an equal part of the slack,
    /// so that none has to ask the others.
    pub instances: u32,
}

/// Part of the ratio that is used: the window of the requests that earn a
/// repeat and that of the repeat itself begin at different times.
const USED_PERCENT: f64 = 80.0;

/// A budget of repeats for each service.
#[derive(Debug)]
pub struct RepeatBudgets {
    settings: BudgetSettings,
    earn_percent: u32,
    burst: u32,
    budgets: HashMap<PoolName, RetryBudget>,
}

impl RepeatBudgets {
    /// Creates budgets with this instance's part of `settings`.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            earn_percent: (settings.ratio * USED_PERCENT) as u32,
            burst: part_of_slack(settings, settings.instances),
            budgets: HashMap::new(),
        }
    }

    /// Takes a smaller part of the slack where more instances are listed than the
    /// settings say; those that have gone stay listed, so that the parts never
    /// add up to more than the whole.
    pub fn on_listed(&mut self, instances: u32) {
        let instances = instances.max(self.settings.instances);
        self.burst = part_of_slack(self.settings, instances);
        for budget in self.budgets.values_mut() {
            budget.set_burst(self.burst);
        }
    }

    /// Counts a request of a caller to `service`.
    pub fn on_request(&mut self, service: &PoolName) {
        self.budget(service).on_first_attempt();
    }

    /// Takes one repeat out of the budget of `service`, if there is one.
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
fn part_of_slack(settings: BudgetSettings, instances: u32) -> u32 {
    (settings.slack / f64::from(instances.max(1))) as u32
}
