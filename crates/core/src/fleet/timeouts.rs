//! Progress timeouts, derived from how fast backend servers usually respond.

use super::{Fleet, KnownPool};
use crate::{ids::PoolName, quantile::Quantiles};

/// Minimum weight of samples for a timeout.
const MIN_SAMPLES: f64 = 16.0;
/// Percentile of the times of a pool taken as the typical one.
const TYPICAL_PERCENTILE: u32 = 95;
/// A first token is overdue after this multiple of the typical time.
const FIRST_TOKEN_FACTOR: u64 = 2;
/// A further token is overdue after this multiple of the typical gap.
const TOKEN_GAP_FACTOR: u64 = 3;
const US_PER_MS: u64 = 1_000;

/// The phase of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponsePhase {
    /// No token was received yet.
    Waiting,
    /// Tokens are being received.
    Streaming,
}

impl Fleet {
    /// Returns the time without progress after which a call is overdue, in ms,
    /// once there are enough samples of the pool.
    pub(crate) fn timeout_ms(&self, pool: &PoolName, phase: ResponsePhase) -> Option<u64> {
        let pool = self.pools.get(pool)?;
        let (times, factor) = match phase {
            ResponsePhase::Waiting => (&pool.first_progress_times, FIRST_TOKEN_FACTOR),
            ResponsePhase::Streaming => (&pool.token_gaps, TOKEN_GAP_FACTOR),
        };
        if times.weight() < MIN_SAMPLES {
            return None;
        }
        let usual_us = times.quantile_us(TYPICAL_PERCENTILE)?;
        Some(usual_us * factor / US_PER_MS + 1)
    }

    /// Records that a response made progress after `elapsed_us`.
    pub(crate) fn on_progress(&mut self, pool: &PoolName, phase: ResponsePhase, elapsed_us: u64) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.times_mut(phase).record(elapsed_us);
        }
    }
}

impl KnownPool {
    fn times_mut(&mut self, phase: ResponsePhase) -> &mut Quantiles {
        match phase {
            ResponsePhase::Waiting => &mut self.first_progress_times,
            ResponsePhase::Streaming => &mut self.token_gaps,
        }
    }
}
