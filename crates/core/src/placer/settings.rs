//! Timing of the election, all derived from two settings.

/// Divisor of the order window that yields the maximum clock drift.
const DRIFT_DIVISOR: u64 = 20;

/// Timing of the election and of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacerSettings {
    /// Time between two renewals, in ms; each is one append.
    pub renewal_ms: u64,
    /// Maximum time from the permit check before an order to the end of the
    /// order, in ms.
    pub order_timeout_ms: u64,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            renewal_ms: 10_000,
            order_timeout_ms: 3_000,
        }
    }
}

impl PlacerSettings {
    /// Returns how long after the start of a confirmed renewal orders may be
    /// given, in ms; one lost renewal is tolerated.
    pub fn order_window_ms(&self) -> u64 {
        2 * self.renewal_ms
    }

    /// Returns the maximum difference between two clocks over an order window,
    /// in ms.
    pub fn drift_margin_ms(&self) -> u64 {
        self.order_window_ms() / DRIFT_DIVISOR
    }

    /// Returns the silence after which a candidate claims, in ms: a holder that
    /// is not paused has ended its last order by then, with a margin of one
    /// renewal.
    pub fn silence_ms(&self) -> u64 {
        self.order_window_ms() + self.order_timeout_ms + self.renewal_ms
    }

    /// Returns how long a new placer waits before it gives orders to engines
    /// that ignore the fencing number, in ms: until the orders of its
    /// predecessor have ended.
    pub fn predecessor_timeout_ms(&self) -> u64 {
        self.order_timeout_ms + self.drift_margin_ms()
    }

    /// Returns the additional claim delay of each rank, in ms.
    pub fn rank_step_ms(&self) -> u64 {
        self.renewal_ms / 5
    }
}
