//! Servers that end under some requests, and crash for other reasons, and start again as
//! other runs. No proxy stands before them: an address of one that has ended refuses
//! connections.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_platform_standin::{Behaviour, Seen, ServerStandIn, StoreStandIn};
use tokio::time::{self, Instant};

use crate::config::{EVENTS, PRESS};

/// Servers that there are at a time, but for those that have just ended.
const COUNT: usize = 6;
/// Time from the end of a server to the next start in its place.
const RESTARTS_AFTER: Duration = Duration::from_millis(700);
/// Time after which the entry of one that has ended lapses.
const LAPSES_AFTER: Duration = Duration::from_millis(1_500);
/// Time between two looks for servers that have ended.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two crashes for other reasons, in ms.
const CRASH_GAP_MS: std::ops::Range<u64> = 1_500..4_000;
/// Most servers that crash together.
const MOST_CRASHED: usize = 2;

/// All that ever started.
#[derive(Debug, Default)]
pub(crate) struct Presses {
    runs: Mutex<Vec<Press>>,
}

/// One run of a server.
#[derive(Debug)]
struct Press {
    standin: ServerStandIn,
    ended_at: Option<Instant>,
    is_replaced: bool,
    has_lapsed: bool,
}

impl Presses {
    /// Starts the first ones.
    pub(crate) async fn start(store: &StoreStandIn) -> Self {
        let presses = Self::default();
        for _ in 0..COUNT {
            presses.start_one(store).await;
        }
        presses
    }

    async fn start_one(&self, store: &StoreStandIn) {
        let id = format!("{PRESS}-{}", self.runs().len());
        let standin = ServerStandIn::start(&id).await;
        standin.set(Behaviour::Streams(EVENTS));
        store.put(
            "keyed.servers",
            &id,
            &standin.entry(PRESS, "utrecht", "ready"),
        );
        self.runs().push(Press {
            standin,
            ended_at: None,
            is_replaced: false,
            has_lapsed: false,
        });
    }

    /// Starts a new run for each that has ended, and lets entries lapse.
    pub(crate) async fn supervise(&self, store: &StoreStandIn) {
        loop {
            time::sleep(LOOK_INTERVAL).await;
            let mut to_start = 0;
            for press in self
                .runs()
                .iter_mut()
                .filter(|press| press.standin.has_ended())
            {
                let ended_at = *press.ended_at.get_or_insert_with(Instant::now);
                if !press.is_replaced && ended_at.elapsed() >= RESTARTS_AFTER {
                    press.is_replaced = true;
                    to_start += 1;
                }
                if !press.has_lapsed && ended_at.elapsed() >= LAPSES_AFTER {
                    press.has_lapsed = true;
                    store.put("keyed.servers", &press.standin.id, "");
                }
            }
            for _ in 0..to_start {
                self.start_one(store).await;
            }
        }
    }

    /// Ends some with all that they run now and then, for `length`.
    pub(crate) async fn crash(&self, seed: u64, length: Duration) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let end = Instant::now() + length;
        loop {
            let gap = Duration::from_millis(rng.random_range(CRASH_GAP_MS));
            if Instant::now() + gap >= end {
                return;
            }
            time::sleep(gap).await;
            let count = rng.random_range(1..=MOST_CRASHED);
            let runs = self.runs();
            let running = runs.iter().filter(|press| !press.standin.has_ended());
            running.take(count).for_each(|press| press.standin.end());
        }
    }

    /// Returns what all runs have run.
    pub(crate) fn ran(&self) -> Vec<Seen> {
        let runs = self.runs();
        runs.iter().flat_map(|press| press.standin.ran()).collect()
    }

    /// Returns the address of one that runs.
    pub(crate) fn running(&self) -> Option<std::net::SocketAddr> {
        let runs = self.runs();
        let running = runs.iter().find(|press| !press.standin.has_ended());
        running.map(|press| press.standin.addr)
    }

    fn runs(&self) -> MutexGuard<'_, Vec<Press>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
