//! Clocks: the monotonic clock for decisions of the core, and the system clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Monotonic clock of the runtime, in milliseconds since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
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

/// Returns the system time since the Unix epoch, in ms. It is only for display,
/// never for decisions.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}
