//! Press servers: they crash on poison requests and also at random, and restart as new runs.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_platform_standin::{Behaviour, RestartSettings, RestartingServers, StoreStandIn};
use tokio::time::{self, Instant};

use crate::config::{EVENTS_PER_STREAM, FIRST_ZONE, PRESS_SERVICE};

/// Interval between two random crashes.
const CRASH_GAP_MS: std::ops::Range<u64> = 1_500..4_000;
/// Maximum number of servers that crash together.
const MAX_CRASHED_TOGETHER: usize = 2;

/// Starts the press servers.
pub(crate) async fn start(store: &StoreStandIn) -> RestartingServers {
    let settings = RestartSettings {
        service: PRESS_SERVICE,
        zone: FIRST_ZONE,
        behaviour: Behaviour::Streams(EVENTS_PER_STREAM),
        count: 6,
        restart_delay: Duration::from_millis(700),
        expiry_delay: Duration::from_millis(1_500),
    };
    RestartingServers::start(store, settings).await
}

/// Crashes servers at random intervals for `length`, together with all requests in flight
/// on them.
pub(crate) async fn crash_some(servers: &RestartingServers, seed: u64, length: Duration) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let ends_at = Instant::now() + length;
    loop {
        let pause = Duration::from_millis(rng.random_range(CRASH_GAP_MS));
        if Instant::now() + pause >= ends_at {
            return;
        }
        time::sleep(pause).await;
        servers.crash_some(rng.random_range(1..=MAX_CRASHED_TOGETHER));
    }
}
