//! Times of the election, all derived from two.

/// Part of the order window that clocks may drift by.
const DRIFT_DIVISOR: u64 = 20;

/// Times of the election and of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacerSettings {
    /// Time between two renewals, in ms: one append each.
    pub renewal_ms: u64,
    /// Longest time from the check before an order to its end, in ms.
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
    /// given, in ms: one renewal may be lost.
    pub fn order_window_ms(&self) -> u64 {
        2 * self.renewal_ms
    }

    /// Returns by how much two clocks may differ over an order window, in ms.
    pub fn drift_margin_ms(&self) -> u64 {
        self.order_window_ms() / DRIFT_DIVISOR
    }

    /// Returns the silence after which a candidate claims, in ms: a holder that
    /// is not paused has ended its last order by then, with a renewal to spare.
    pub fn silence_ms(&self) -> u64 {
        self.order_window_ms() + self.order_timeout_ms + self.renewal_ms
    }

    /// Returns how long a new placer waits before it orders engines that ignore
    /// the fencing number, in ms.
    pub fn wait_out_ms(&self) -> u64 {
        self.order_timeout_ms + self.drift_margin_ms()
    }

    /// Returns by how much each rank waits longer than the one before, in ms.
    pub fn rank_step_ms(&self) -> u64 {
        self.renewal_ms / 5
    }
}
