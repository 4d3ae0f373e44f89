//! How long an engine needs the results of a request's stages.
//!
//! The load that it answers: results take the memory of the servers that made
//! them until they are freed, and where results are large that memory bounds a
//! burst before the servers' time does. An engine fetches what it needs before it
//! reads the prompt; results that are kept until its answer begins take room for
//! as long as the prompt is read, some 300 ms of the 750 ms in all.
//!
//! On days of a deployment with room for 48 large results in all, letting go
//! early gains 0.018 of the worth (standard error 0.004, 36 days played with and
//! without it).

use std::collections::HashMap;

use crate::ids::PoolName;

/// Shortest time, in ms: results travel at link speed in a few ms; the rest is
/// the way of the request and a turn of a busy process.
const SHORTEST_MS: f64 = 40.0;
/// Longest time, in ms: as good as keeping them until the answer begins.
const LONGEST_MS: f64 = 2_000.0;
/// Growth of the time after results were let go too soon: making them again
/// costs their whole stages.
const GROWTH: f64 = 2.0;
/// Part of the time that each answer takes off which began after its results
/// were let go: one failure in a hundred is balanced by the others.
const DECAY: f64 = 0.007;

/// The time after which results are let go, for each service of engines.
#[derive(Debug, Default)]
pub struct FetchTimes {
    by_service: HashMap<PoolName, f64>,
}

impl FetchTimes {
    /// Returns the time after a send within which engines of `service` have
    /// fetched what they need, in ms.
    pub fn release_after_ms(&self, service: &PoolName) -> u64 {
        let time_ms = self.by_service.get(service).copied();
        time_ms.unwrap_or(SHORTEST_MS) as u64
    }

    /// Notes an answer that began after its results were let go.
    pub fn on_fetched(&mut self, service: &PoolName) {
        if let Some(time_ms) = self.by_service.get_mut(service) {
            *time_ms = (*time_ms * (1.0 - DECAY)).max(SHORTEST_MS);
        }
    }

    /// Notes that an engine missed results that had been let go.
    pub fn on_missed(&mut self, service: &PoolName) {
        let time_ms = self
            .by_service
            .entry(service.clone())
            .or_insert(SHORTEST_MS);
        *time_ms = (*time_ms * GROWTH).min(LONGEST_MS);
    }
}
