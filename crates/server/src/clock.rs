//! The runtime's clock, in the milliseconds that the core decides by.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Counts milliseconds of the runtime's clock from its own start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts counting.
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start, in ms.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the instant `at_ms` after the start.
    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }
}

/// Returns the time since the Unix epoch by the system's clock, in ms; for
/// what people read only, never for a decision.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
