//! Time in the units of the interfaces.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Returns the time in ms since the Unix epoch.
pub(crate) fn unix_now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the ms that have passed on the runtime's clock.
pub(crate) fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the µs that have passed on the runtime's clock.
pub(crate) fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
