//! Servers that end under some requests, and crash for other reasons, and start again as
//! other runs.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_platform_standin::{Behaviour, RestartSettings, RestartingServers, StoreStandIn};
use tokio::time::{self, Instant};

use crate::config::{EVENTS, FIRST_ZONE, PRESS};

/// Time between two crashes for other reasons, in ms.
const CRASH_GAP_MS: std::ops::Range<u64> = 1_500..4_000;
/// Most servers that crash together.
const MOST_CRASHED: usize = 2;

/// Starts the first ones.
pub(crate) async fn start(store: &StoreStandIn) -> RestartingServers {
    let settings = RestartSettings {
        service: PRESS,
        zone: FIRST_ZONE,
        behaviour: Behaviour::Streams(EVENTS),
        count: 6,
        restart_delay: Duration::from_millis(700),
        expiry_delay: Duration::from_millis(1_500),
    };
    RestartingServers::start(store, settings).await
}

/// Ends some with all that they run now and then, for `length`.
pub(crate) async fn crash(servers: &RestartingServers, seed: u64, length: Duration) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = Instant::now() + length;
    loop {
        let gap = Duration::from_millis(rng.random_range(CRASH_GAP_MS));
        if Instant::now() + gap >= end {
            return;
        }
        time::sleep(gap).await;
        servers.crash_some(rng.random_range(1..=MOST_CRASHED));
    }
}
