//! Decides before a request begins whether it can meet its deadline.

use rand::RngExt;

use super::{Fleet, KnownPool, shares::wait_fraction};
use crate::{
    decision::DecisionReason,
    ids::{PoolName, WorkspaceName},
    objects::{Objective, Pipeline, Stage},
    settings::Admission,
};

/// Percentile of busy times taken as the shortest possible one.
const FAST_PERCENTILE: u32 = 10;
/// Percentile of busy times taken as the typical one.
const TYPICAL_PERCENTILE: u32 = 50;
/// Percentile of busy times for which a request must still have time.
const SLOW_PERCENTILE: u32 = 95;
const US_PER_MS: u64 = 1_000;
/// Time without a refusal after which an overload has ended, in ms.
const OVERLOAD_GAP_MS: u64 = 1_000;
/// Maximum retry time given to a refused caller, in ms.
const MAX_RETRY_AFTER_MS: u64 = 30_000;
/// Ratio of the expected remaining duration of an overload to its duration so
/// far.
const OVERLOAD_PROJECTION_FACTOR: u64 = 2;

/// The time that a request is expected to take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Forecast {
    /// Time in queues, in µs.
    pub(crate) wait_us: u64,
    /// Busy time of the calls, in µs.
    pub(crate) work_us: u64,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmitQuery<'a> {
    pub(crate) workspace: &'a WorkspaceName,
    pub(crate) pipeline: &'a Pipeline,
    pub(crate) objective: Objective,
    pub(crate) time_left_us: u64,
}

/// The result of an admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admitted {
    /// The request may begin.
    Yes,
    /// The request is refused.
    No {
        reason: DecisionReason,
        retry_after_ms: u64,
    },
}

/// The current overload: a period in which this instance refuses requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overload {
    start_ms: u64,
    last_refusal_ms: Option<u64>,
}

impl Overload {
    /// Records a refusal and returns the duration of the overload so far, in
    /// ms.
    fn on_refusal(&mut self, now_ms: u64) -> u64 {
        let is_ongoing = self
            .last_refusal_ms
            .is_some_and(|last_ms| now_ms.saturating_sub(last_ms) <= OVERLOAD_GAP_MS);
        if !is_ongoing {
            self.start_ms = now_ms;
        }
        self.last_refusal_ms = Some(now_ms);
        now_ms.saturating_sub(self.start_ms)
    }
}

impl Fleet {
    /// Decides whether to admit a request.
    pub(crate) fn admit(&mut self, now_ms: u64, query: &AdmitQuery<'_>) -> Admitted {
        if self.settings.admission == Admission::Off {
            return Admitted::Yes;
        }
        let forecast = self.forecast(now_ms, &query.pipeline.stages);
        let wait_percent = self.settings.wait_percent_of_slack.of(query.objective);
        let slack_us = query.time_left_us.saturating_sub(forecast.work_us);
        let max_wait_us = slack_us * u64::from(wait_percent) / 100;
        let overuse = self.shares.overuse(now_ms, query.workspace);
        let permitted_fraction = wait_fraction(&self.settings, overuse);
        let reason = if forecast.work_us > query.time_left_us || forecast.wait_us > max_wait_us {
            DecisionReason::CannotFinish
        } else if forecast.wait_us as f64 > max_wait_us as f64 * permitted_fraction {
            DecisionReason::OverShare
        } else {
            self.shares
                .on_admitted(now_ms, query.workspace, forecast.work_us);
            return Admitted::Yes;
        };
        Admitted::No {
            reason,
            retry_after_ms: self
                .retry_after_ms(now_ms, forecast.wait_us.saturating_sub(max_wait_us)),
        }
    }

    /// Estimates when a refused caller would be admitted, in ms: after the
    /// queues have drained and the overload has ended, which is expected to
    /// last in proportion to its duration so far. The result is jittered, so
    /// that callers do not all retry at once.
    pub(crate) fn retry_after_ms(&mut self, now_ms: u64, excess_wait_us: u64) -> u64 {
        let duration_ms = self.overload.on_refusal(now_ms);
        let usual_ms = self.settings.default_retry_after_ms
            + excess_wait_us / US_PER_MS
            + duration_ms * OVERLOAD_PROJECTION_FACTOR;
        let spread_ms = self.rng.random_range(0..=usual_ms / 4);
        (usual_ms + spread_ms).min(MAX_RETRY_AFTER_MS)
    }

    /// Estimates the time that stages take from now on.
    pub(crate) fn forecast(&self, now_ms: u64, stages: &[Stage]) -> Forecast {
        let mut forecast = Forecast::default();
        let mut spread_us = 0;
        for stage in stages {
            let Some(pool) = self.pools.get(&stage.pool) else {
                continue;
            };
            forecast.wait_us += self.pool_wait_us(now_ms, &stage.pool);
            let typical_us = pool.busy_times.quantile_us(TYPICAL_PERCENTILE).unwrap_or(0);
            let slow_us = pool.busy_times.quantile_us(SLOW_PERCENTILE).unwrap_or(0);
            forecast.work_us += typical_us;
            spread_us = spread_us.max(slow_us.saturating_sub(typical_us));
        }
        forecast.work_us += spread_us;
        forecast
    }

    /// Returns the shortest expected time of stages, in ms.
    pub(crate) fn fastest_ms(&self, stages: &[Stage]) -> u64 {
        let fastest_us: u64 = stages
            .iter()
            .filter_map(|stage| {
                self.pools
                    .get(&stage.pool)?
                    .busy_times
                    .quantile_us(FAST_PERCENTILE)
            })
            .sum();
        fastest_us / US_PER_MS
    }

    /// Estimates the time that a call waits for a slot of a pool, in µs: the
    /// calls in excess of the slots of the available servers, divided by the
    /// rate at which these complete calls.
    pub(crate) fn pool_wait_us(&self, now_ms: u64, name: &PoolName) -> u64 {
        let Some(pool) = self.pools.get(name) else {
            return 0;
        };
        let (mut calls, mut slots) = (0.0, 0.0);
        for index in &pool.members {
            let backend = &self.backends[*index];
            if backend.may_get_call(now_ms) && !backend.leaving {
                calls += self.load(now_ms, backend) + self.unreported_calls(now_ms, backend);
                slots += f64::from(backend.slots);
            }
        }
        let excess = (calls - slots).max(0.0);
        let busy_us = pool.mean_busy_us() as f64;
        (excess * busy_us / f64::max(slots, 1.0)) as u64
    }
}

impl KnownPool {
    pub(crate) fn mean_busy_us(&self) -> u64 {
        self.busy_times.mean_us().unwrap_or(0)
    }
}
