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
    /// Most instances there may be; each takes an equal part of the slack, so
    /// that none has to ask the others.
    pub instances: u32,
}

/// Part of the ratio that is used: the window of the requests that earn a
/// repeat and that of the repeat itself begin at different times.
const USED_PERCENT: f64 = 80.0;

/// A budget of repeats for each service.
#[derive(Debug)]
pub struct RepeatBudgets {
    earn_percent: u32,
    burst: u32,
    budgets: HashMap<PoolName, RetryBudget>,
}

impl RepeatBudgets {
    /// Creates budgets with this instance's part of `settings`.
    pub fn new(settings: BudgetSettings) -> Self {
        let burst = settings.slack / f64::from(settings.instances.max(1));
        Self {
            earn_percent: (settings.ratio * USED_PERCENT) as u32,
            burst: burst as u32,
            budgets: HashMap::new(),
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
