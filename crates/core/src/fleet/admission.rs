//! Tells whether a request can be answered in time, before it begins.

use rand::RngExt;

use super::{Fleet, KnownPool, shares::wait_part};
use crate::{
    decision::DecisionReason,
    ids::{PoolName, WorkspaceName},
    objects::{Objective, Pipeline, Stage},
    settings::Admission,
};

/// Quantile of busy times that no call is expected to beat, in per cent.
const FAST: u32 = 10;
/// Quantile of busy times that counts as the usual one, in per cent.
const USUAL: u32 = 50;
/// Quantile of busy times that a request must still have time for, in per cent.
const LONG: u32 = 95;
const US_PER_MS: u64 = 1_000;
/// Time without a refusal after which an overload is over, in ms.
const OVERLOAD_GAP_MS: u64 = 1_000;
/// Longest time that a refused caller is asked to stay away, in ms.
const LONGEST_RETRY_AFTER_MS: u64 = 30_000;
/// An overload is expected to last as long again as it has, times this.
const OVERLOAD_OUTLOOK: u64 = 2;

/// What a request is expected to need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Forecast {
    /// Time in queues, in µs.
    pub(crate) wait_us: u64,
    /// Time at work and on the way, in µs.
    pub(crate) work_us: u64,
}

/// A request that asks to be taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmitQuery<'a> {
    pub(crate) workspace: &'a WorkspaceName,
    pub(crate) pipeline: &'a Pipeline,
    pub(crate) objective: Objective,
    pub(crate) time_left_us: u64,
}

/// Outcome of an admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admitted {
    /// It may begin.
    Yes,
    /// It would not be answered in time.
    No {
        reason: DecisionReason,
        retry_after_ms: u64,
    },
}

/// How long this instance has had to refuse requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overload {
    began_ms: u64,
    last_refusal_ms: Option<u64>,
}

impl Overload {
    /// Notes a refusal and returns how long the overload has lasted.
    fn on_refusal(&mut self, now_ms: u64) -> u64 {
        let goes_on = self
            .last_refusal_ms
            .is_some_and(|last_ms| now_ms.saturating_sub(last_ms) <= OVERLOAD_GAP_MS);
        if !goes_on {
            self.began_ms = now_ms;
        }
        self.last_refusal_ms = Some(now_ms);
        now_ms.saturating_sub(self.began_ms)
    }
}

impl Fleet {
    /// Decides whether a request is taken.
    pub(crate) fn admit(&mut self, now_ms: u64, query: &AdmitQuery<'_>) -> Admitted {
        if self.settings.admission == Admission::Off {
            return Admitted::Yes;
        }
        let forecast = self.forecast(now_ms, &query.pipeline.stages);
        let wait_percent = self.settings.wait_percent_of_slack.of(query.objective);
        let slack_us = query.time_left_us.saturating_sub(forecast.work_us);
        let most_us = slack_us * u64::from(wait_percent) / 100;
        let overuse = self.shares.overuse(now_ms, query.workspace);
        let part = wait_part(&self.settings, overuse);
        let reason = if forecast.work_us > query.time_left_us || forecast.wait_us > most_us {
            DecisionReason::CannotFinish
        } else if forecast.wait_us as f64 > most_us as f64 * part {
            DecisionReason::OverShare
        } else {
            self.shares
                .on_taken(now_ms, query.workspace, forecast.work_us);
            return Admitted::Yes;
        };
        Admitted::No {
            reason,
            retry_after_ms: self.retry_after_ms(now_ms, forecast.wait_us.saturating_sub(most_us)),
        }
    }

    /// Estimates when a refused caller would be taken: after the queues have
    /// drained and the overload is over, which is expected to last in
    /// proportion to how long it has. The answer varies, so that the callers do
    /// not all come back together.
    pub(crate) fn retry_after_ms(&mut self, now_ms: u64, excess_wait_us: u64) -> u64 {
        let lasted_ms = self.overload.on_refusal(now_ms);
        let usual_ms = self.settings.default_retry_after_ms
            + excess_wait_us / US_PER_MS
            + lasted_ms * OVERLOAD_OUTLOOK;
        let spread_ms = self.rng.random_range(0..=usual_ms / 4);
        (usual_ms + spread_ms).min(LONGEST_RETRY_AFTER_MS)
    }

    /// Estimates the time that stages need from now on.
    pub(crate) fn forecast(&self, now_ms: u64, stages: &[Stage]) -> Forecast {
        let mut forecast = Forecast::default();
        let mut spread_us = 0;
        for stage in stages {
            let Some(pool) = self.pools.get(&stage.pool) else {
                continue;
            };
            forecast.wait_us += self.pool_wait_us(now_ms, &stage.pool);
            let usual_us = pool.busy.quantile_us(USUAL).unwrap_or(0);
            let long_us = pool.busy.quantile_us(LONG).unwrap_or(0);
            forecast.work_us += usual_us;
            spread_us = spread_us.max(long_us.saturating_sub(usual_us));
        }
        forecast.work_us += spread_us;
        forecast
    }

    /// Returns the time that stages need when all goes well.
    pub(crate) fn fastest_ms(&self, stages: &[Stage]) -> u64 {
        let fastest_us: u64 = stages
            .iter()
            .filter_map(|stage| self.pools.get(&stage.pool)?.busy.quantile_us(FAST))
            .sum();
        fastest_us / US_PER_MS
    }

    /// Estimates the time that a call waits for a slot of a pool: the calls
    /// beyond the slots of the servers that are open, over the rate at which
    /// those finish calls.
    pub(crate) fn pool_wait_us(&self, now_ms: u64, name: &PoolName) -> u64 {
        let Some(pool) = self.pools.get(name) else {
            return 0;
        };
        let (mut calls, mut slots) = (0.0, 0.0);
        for index in &pool.members {
            let backend = &self.backends[*index];
            if backend.is_open(now_ms) && !backend.leaving {
                calls += self.load(now_ms, backend) + self.unreported(now_ms, backend);
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
        self.busy.mean_us().unwrap_or(0)
    }
}
