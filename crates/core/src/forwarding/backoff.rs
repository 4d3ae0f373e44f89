//! Tracks the backoff that backend servers request from this instance.
//!
//! Some servers of a service may reject all requests for seconds while sessions have affinity
//! to them. Each request that is sent to one of them is rejected and uses up a repeat.

use std::collections::HashMap;

use crate::ids::BackendName;

/// Most servers whose backoff is tracked, about 100 bytes each; twice the largest fleet.
const MAX_SERVERS: usize = 4_096;

/// Upper bound of a backoff, in ms; limits the damage of a bad value.
pub const MAX_BACKOFF_MS: u64 = 3_600_000;

/// Part of a backoff over which the return of callers is spread after its end, as a divisor.
const RETURN_SPREAD_DIVISOR: u64 = 4;

/// Returns when a caller may return after a backoff that ends in `ends_in_ms`, in ms. `draw`
/// spreads callers over a part of the backoff, and over `min_spread_ms` at least.
pub(crate) fn return_after_ms(ends_in_ms: u64, min_spread_ms: u64, draw: u64) -> u64 {
    let spread_ms = (ends_in_ms / RETURN_SPREAD_DIVISOR).max(min_spread_ms);
    ends_in_ms + draw % spread_ms
}

/// Backoffs by server run.
#[derive(Debug, Default)]
pub struct ServerBackoffs {
    /// End of each backoff, in ms.
    until_ms: HashMap<BackendName, u64>,
}

impl ServerBackoffs {
    /// Records that `server` requests a backoff of `backoff_ms`; returns whether that extends
    /// its current one. No request shortens it, since responses may arrive out of order.
    pub fn on_request(&mut self, now_ms: u64, server: &BackendName, backoff_ms: u64) -> bool {
        let until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
        if until_ms <= now_ms.max(self.until_ms(server)) {
            return false;
        }
        if !self.until_ms.contains_key(server) {
            self.evict_if_full(now_ms);
        }
        self.until_ms.insert(server.clone(), until_ms);
        true
    }

    /// Evicts backoffs that have ended, or else the one that ends first.
    fn evict_if_full(&mut self, now_ms: u64) {
        if self.until_ms.len() < MAX_SERVERS {
            return;
        }
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
        if self.until_ms.len() < MAX_SERVERS {
            return;
        }
        let first = self.until_ms.iter().min_by_key(|(_, until_ms)| **until_ms);
        if let Some(server) = first.map(|(server, _)| server.clone()) {
            self.until_ms.remove(&server);
        }
    }

    /// Returns the end of the last backoff of `server`, in ms; 0 if there was none.
    pub fn until_ms(&self, server: &BackendName) -> u64 {
        self.until_ms.get(server).copied().unwrap_or_default()
    }

    /// Tells whether `server` is not backing off.
    pub fn allows(&self, now_ms: u64, server: &BackendName) -> bool {
        now_ms >= self.until_ms(server)
    }

    /// Returns the number of servers that are backing off.
    pub fn count(&self, now_ms: u64) -> usize {
        let ends = self.until_ms.values();
        ends.filter(|until_ms| **until_ms > now_ms).count()
    }
}
