//! An engine's prefix cache and its events, which come late and with gaps.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use savoryvane_wire::backend::{CacheEvent, CacheEvents};
use tokio::time::Instant;

/// Events that are kept for readers.
const KEPT_EVENTS: usize = 4096;

/// How late and how incomplete cache events are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheReporting {
    pub(crate) lag_ms: u64,
    pub(crate) lost_per_mille: u32,
    pub(crate) seed: u64,
}

/// Prefixes in the limited memory of an engine, least recently used first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    lag: Duration,
    lost_per_mille: u32,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    prefixes: VecDeque<u64>,
    next_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    rng: Pcg64,
}

impl PrefixCache {
    /// Makes an empty cache of `capacity` prefixes.
    pub(crate) fn new(capacity: usize, reporting: CacheReporting) -> Self {
        Self {
            capacity,
            lag: Duration::from_millis(reporting.lag_ms),
            lost_per_mille: reporting.lost_per_mille,
            inner: Mutex::new(Inner {
                prefixes: VecDeque::new(),
                next_seq: 0,
                events: VecDeque::new(),
                rng: Pcg64::seed_from_u64(reporting.seed),
            }),
        }
    }

    /// Uses a prefix and tells whether it was cached.
    pub(crate) fn touch(&self, prefix: u64) -> bool {
        if self.capacity == 0 {
            return false;
        }
        let mut inner = self.inner();
        let position = inner.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(position) = position {
            inner.prefixes.remove(position);
        } else {
            self.report(&mut inner, prefix, true);
        }
        inner.prefixes.push_back(prefix);
        if inner.prefixes.len() > self.capacity
            && let Some(evicted) = inner.prefixes.pop_front()
        {
            self.report(&mut inner, evicted, false);
        }
        position.is_some()
    }

    /// Returns the events from sequence number `from` on that are old enough.
    pub(crate) fn events(&self, from: u64) -> CacheEvents {
        let inner = self.inner();
        let now = Instant::now();
        let shown = inner.events.iter().filter(|(at, _)| *at + self.lag <= now);
        let events: Vec<_> = shown
            .map(|(_, event)| *event)
            .filter(|event| event.seq >= from)
            .collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CacheEvents { events, next }
    }

    fn report(&self, inner: &mut Inner, prefix: u64, cached: bool) {
        let seq = inner.next_seq;
        inner.next_seq += 1;
        if inner.rng.random_range(0..1000) < self.lost_per_mille {
            return;
        }
        let event = CacheEvent {
            seq,
            prefix,
            cached,
        };
        inner.events.push_back((Instant::now(), event));
        if inner.events.len() > KEPT_EVENTS {
            inner.events.pop_front();
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}
