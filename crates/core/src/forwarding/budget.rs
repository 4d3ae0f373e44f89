//! Retry budgets: limit the repeats of each service over all instances.
//!
//! The platform bounds the repeats of all instances in any window by a share of the requests in
//! it plus a fixed slack. Each instance keeps the same bound for its own requests and its part
//! of the slack, so that the sum is kept without a message.

use std::collections::{HashMap, VecDeque};

use crate::ids::PoolName;

/// Upper bound of the repeats that all instances together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Repeats of all instances together beyond the ratio, in one window.
    pub slack: f64,
    /// Minimum number of instances; each uses an equal share of the slack, so that they need
    /// no coordination.
    pub instances: u32,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

/// Percentage of the ratio that is used, since the window of the requests that earn a repeat
/// and that of the repeat itself begin at different times.
const USED_PERCENT: f64 = 80.0;
/// Slots in which the requests of a window are counted.
const SLOTS: u64 = 10;

/// Repeat budgets of one instance by service.
#[derive(Debug)]
pub struct RepeatBudgets {
    settings: BudgetSettings,
    /// Repeats beyond the ratio that this instance may send in one window.
    slack_share: u32,
    budgets: HashMap<PoolName, RepeatWindow>,
}

/// The requests and repeats of one service in the last window.
#[derive(Debug, Default)]
struct RepeatWindow {
    /// Numbers of the slots with requests, with their counts.
    requests: VecDeque<(u64, u32)>,
    /// Times of the repeats, in ms.
    repeats_ms: VecDeque<u64>,
}

impl RepeatBudgets {
    /// Creates budgets with this instance's share of `settings`.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            slack_share: slack_share(settings, settings.instances, settings.instances),
            budgets: HashMap::new(),
        }
    }

    /// Reduces the share of the slack if more instances are listed than configured; `rank` is the
    /// number of those listed before this one. Instances that have left stay listed, so that the
    /// shares never add up to more than the slack.
    pub fn on_listed(&mut self, instances: u32, rank: u32) {
        let (instances, rank) = match instances >= self.settings.instances {
            true => (instances, rank),
            false => (self.settings.instances, self.settings.instances),
        };
        self.slack_share = slack_share(self.settings, instances, rank);
    }

    /// Counts a request of a caller to `service`.
    pub fn on_request(&mut self, now_ms: u64, service: &PoolName) {
        let window_ms = self.settings.window_ms;
        self.budget(service).on_request(now_ms, window_ms);
    }

    /// Takes one repeat out of the budget of `service`; returns false if none is left.
    pub fn try_spend(&mut self, now_ms: u64, service: &PoolName) -> bool {
        let (settings, slack_share) = (self.settings, self.slack_share);
        self.budget(service)
            .try_spend(now_ms, settings, slack_share)
    }

    fn budget(&mut self, service: &PoolName) -> &mut RepeatWindow {
        self.budgets.entry(service.clone()).or_default()
    }
}

impl RepeatWindow {
    fn on_request(&mut self, now_ms: u64, window_ms: u64) {
        let slot = slot_of(now_ms, window_ms);
        self.forget_requests(slot);
        match self.requests.back_mut() {
            Some((last, count)) if *last == slot => *count += 1,
            _ => self.requests.push_back((slot, 1)),
        }
    }

    fn try_spend(&mut self, now_ms: u64, settings: BudgetSettings, slack_share: u32) -> bool {
        self.forget_requests(slot_of(now_ms, settings.window_ms));
        let expired_ms = now_ms.saturating_sub(settings.window_ms);
        while self
            .repeats_ms
            .front()
            .is_some_and(|at_ms| *at_ms < expired_ms)
        {
            self.repeats_ms.pop_front();
        }
        let requests: u32 = self.requests.iter().map(|(_, count)| *count).sum();
        let earned = settings.ratio * USED_PERCENT / 100.0 * f64::from(requests);
        let is_available = (self.repeats_ms.len() as u64) < u64::from(slack_share) + earned as u64;
        if is_available {
            self.repeats_ms.push_back(now_ms);
        }
        is_available
    }

    /// Forgets the requests that are not in the last window for certain.
    fn forget_requests(&mut self, slot: u64) {
        let is_old = |(other, _): &mut (u64, u32)| *other + SLOTS <= slot;
        while self.requests.pop_front_if(is_old).is_some() {}
    }
}

fn slot_of(now_ms: u64, window_ms: u64) -> u64 {
    now_ms * SLOTS / window_ms.max(1)
}

/// Returns the repeats beyond the ratio of one of `instances`. What does not divide evenly goes
/// to the first ones.
fn slack_share(settings: BudgetSettings, instances: u32, rank: u32) -> u32 {
    let (slack, instances) = (settings.slack as u32, instances.max(1));
    slack / instances + u32::from(rank < slack % instances)
}
