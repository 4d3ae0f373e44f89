//! Bounds retries to a share of the traffic.

use crate::settings::PolicySettings;

const PERCENT: u64 = 100;

/// Earns a fraction of a retry with each first attempt.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    /// Hundredths of a retry earned by one first attempt.
    earn: u64,
    /// Most hundredths that can be saved up.
    cap: u64,
    saved: u64,
}

impl RetryBudget {
    pub(crate) fn new(settings: &PolicySettings) -> Self {
        Self::with(settings.retry_percent, settings.retry_burst)
    }

    /// Creates a full budget that earns `percent` hundredths with each first
    /// attempt and saves up at most `burst` retries.
    pub(crate) fn with(percent: u32, burst: u32) -> Self {
        let cap = u64::from(burst) * PERCENT;
        Self {
            earn: u64::from(percent),
            cap,
            saved: cap,
        }
    }

    /// Lowers or raises what can be saved up to `burst` retries.
    pub(crate) fn set_burst(&mut self, burst: u32) {
        self.cap = u64::from(burst) * PERCENT;
        self.saved = self.saved.min(self.cap);
    }

    pub(crate) fn on_first_attempt(&mut self) {
        self.saved = (self.saved + self.earn).min(self.cap);
    }

    /// Takes one retry out of the budget, if there is one.
    pub(crate) fn try_spend(&mut self) -> bool {
        let has_one = self.saved >= PERCENT;
        if has_one {
            self.saved -= PERCENT;
        }
        has_one
    }
}
