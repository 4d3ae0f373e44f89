//! Limits retries to a share of the traffic.

use crate::settings::PolicySettings;

const UNITS_PER_RETRY: u64 = 100;

/// A token bucket that earns a fraction of a retry with each first attempt.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    /// Hundredths of a retry earned by one first attempt.
    earned_per_attempt: u64,
    /// Maximum balance, in hundredths of a retry.
    max_balance: u64,
    balance: u64,
}

impl RetryBudget {
    pub(crate) fn new(settings: &PolicySettings) -> Self {
        Self::with(settings.retry_percent, settings.retry_burst)
    }

    /// Creates a full budget that earns `percent` hundredths of a retry with
    /// each first attempt and holds at most `burst` retries.
    pub(crate) fn with(percent: u32, burst: u32) -> Self {
        let max_balance = u64::from(burst) * UNITS_PER_RETRY;
        Self {
            earned_per_attempt: u64::from(percent),
            max_balance,
            balance: max_balance,
        }
    }

    pub(crate) fn on_first_attempt(&mut self) {
        self.balance = (self.balance + self.earned_per_attempt).min(self.max_balance);
    }

    /// Takes one retry out of the budget, if available.
    pub(crate) fn try_spend(&mut self) -> bool {
        let is_available = self.balance >= UNITS_PER_RETRY;
        if is_available {
            self.balance -= UNITS_PER_RETRY;
        }
        is_available
    }
}
