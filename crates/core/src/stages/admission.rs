//! Decides whether to admit the stages of a request.
//!
//! In bursts of some seconds, requests of one kind arrive two to three times as fast as
//! full batches can process them. Admitting more than that makes all requests late.
//! Requests that would be late are therefore refused before they cost anything, the
//! less urgent ones first.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    Submission,
    service::{AdmissionClass, StageService},
};
use crate::{forwarding::return_after_ms, ids::PoolName};

/// Share of its slack, in percent, that a request may be forecast to wait, by rank. The
/// slack is its goal minus the time that its stages need without queueing. The shares
/// are below 100 because the forecast is too short by some batches in a burst, and
/// because the less urgent requests are refused while there is capacity left for bursts
/// of the more urgent ones, which come without notice. The simulated bursts of
/// `crates/core/tests/stages_bursts.rs`, five of them with four seeds each, reached
/// 0.937 of the total request value with these shares, and 0.930 with 90, 90 and 80
/// percent of the whole goal. With 50 percent of the goal for the lowest rank, nine in
/// ten of its requests were refused.
const USABLE_SLACK_PERCENT: [u64; 3] = [75, 75, 35];
/// Minimum retry time of a refused caller, in ms: one call of a stage, after which its
/// queue has changed.
const MIN_RETRY_AFTER_MS: u64 = 250;

/// Maximum retry time, in ms: the longest burst of the recorded days. Callers wait at
/// most a third of their remaining time, which is 6 to 20 s.
const MAX_RETRY_AFTER_MS: u64 = 6_000;
/// Typical length of a burst, in ms: 3.5 to 6 s on the recorded days.
const TYPICAL_BURST_MS: u64 = 4_000;
/// Time span of refusals from which they count as a burst, in ms; shorter ones may be
/// chance.
const MIN_BURST_MS: u64 = 250;
/// Time without refusals after which a burst counts as over, in ms.
const BURST_GAP_MS: u64 = 4_000;
/// Minimum difference to the usual deadline at which a request counts as a retry, in
/// ms: the shortest retry time that callers get.
const MIN_MISSING_MS: u64 = 150;
/// Weight of a piece that was admitted late, against 1 for one that was admitted in
/// time: it fills up a call, which then takes longer only by the time of this piece.
const LATE_WEIGHT: f64 = 0.25;
/// The same share for a retry that has missed its original goal, relative to the goal
/// of a new request. When the whole time to the deadline could be used, late work
/// continued for ten seconds after a burst, and on a day without bursts 40 in 100
/// requests of 75 instances were late instead of 15.
const LATE_USABLE_SLACK_PERCENT: u64 = 35;

/// The forecast duration of the stages of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Forecast {
    /// Time until the end of the last stage, in ms.
    pub(super) stages_ms: u64,
    /// The same without queueing, in ms.
    unqueued_ms: u64,
    /// Time until each service has an available server, in ms.
    pub(super) available_in_ms: u64,
    /// Whether a service has no server that is available or will be after its backoff.
    pub(super) is_unservable: bool,
}

/// Forecasts the stages of `submission`, behind all pieces admitted before.
pub(super) fn forecast_all(
    now_ms: u64,
    submission: &Submission,
    services: &BTreeMap<PoolName, StageService>,
) -> Forecast {
    forecast(now_ms, submission, services, 1.0)
}

/// Forecasts the stages of `submission`, with pieces that were admitted late weighted
/// by `late_weight`.
fn forecast(
    now_ms: u64,
    submission: &Submission,
    services: &BTreeMap<PoolName, StageService>,
    late_weight: f64,
) -> Forecast {
    let mut ends_ms: Vec<f64> = Vec::with_capacity(submission.stages.len());
    let mut unqueued_ends_ms: Vec<f64> = Vec::with_capacity(submission.stages.len());
    let mut available_in_ms = 0;
    let mut is_unservable = false;
    for stage in &submission.stages {
        let ready_ms = latest(&stage.after, &ends_ms);
        let unqueued_ready_ms = latest(&stage.after, &unqueued_ends_ms);
        if stage.pieces == 0 {
            ends_ms.push(ready_ms);
            unqueued_ends_ms.push(unqueued_ready_ms);
            continue;
        }
        let Some(service) = services.get(&stage.service) else {
            is_unservable = true;
            ends_ms.push(ready_ms);
            unqueued_ends_ms.push(unqueued_ready_ms);
            continue;
        };
        let pieces = stage.pieces as usize;
        // If none of the admitted pieces has reached this stage, its servers are idle
        // until the first does.
        let is_begun = service.running_pieces > 0 || !service.queue.is_empty();
        let idle_ms = if is_begun { 0.0 } else { ready_ms };
        let pieces_ahead = service.committed.weighted_pieces(late_weight) + pieces as f64;
        let queued_pieces = (pieces_ahead - service.immediate_pieces(now_ms) as f64).max(0.0);
        let available_ms = service.available_in_ms(now_ms);
        let (Some(drain_ms), Some(available_ms)) =
            (service.drain_ms(now_ms, queued_pieces), available_ms)
        else {
            is_unservable = true;
            ends_ms.push(ready_ms);
            unqueued_ends_ms.push(unqueued_ready_ms);
            continue;
        };
        available_in_ms = available_in_ms.max(available_ms);
        let backlog_ms = idle_ms + drain_ms;
        let server_wait_ms = server_wait_ms(now_ms, service, ready_ms);
        let begin_ms = (ready_ms + server_wait_ms).max(available_ms as f64);
        let call_ms = service
            .batching
            .duration_ms(pieces.min(service.batching.batch_pieces));
        ends_ms.push((begin_ms + call_ms).max(backlog_ms));
        unqueued_ends_ms.push(unqueued_ready_ms + call_ms);
    }
    Forecast {
        stages_ms: ends_ms.into_iter().fold(0.0, f64::max) as u64,
        unqueued_ms: unqueued_ends_ms.into_iter().fold(0.0, f64::max) as u64,
        available_in_ms,
        is_unservable,
    }
}

/// Returns the latest end of the stages `after`.
fn latest(after: &[usize], ends_ms: &[f64]) -> f64 {
    let ends = after.iter().filter_map(|needed| ends_ms.get(*needed));
    ends.fold(0.0, |latest: f64, end| latest.max(*end))
}

/// Returns whether the forecast queueing time of a request is at most `percent` of the
/// slack that `goal_ms` leaves.
fn fits_slack(submission: &Submission, forecast: Forecast, goal_ms: u64, percent: u64) -> bool {
    let unqueued_ms = forecast.unqueued_ms + submission.rest_ms;
    let needed_ms = forecast.stages_ms + submission.rest_ms;
    let slack_ms = goal_ms.saturating_sub(unqueued_ms);
    needed_ms <= goal_ms && needed_ms.saturating_sub(unqueued_ms) <= slack_ms * percent / 100
}

/// Estimates how long a piece waits for a server: 0 if one is idle now, otherwise the
/// mean time between the ends of two calls.
fn server_wait_ms(now_ms: u64, service: &StageService, ready_ms: f64) -> f64 {
    let is_free_now = service.idle_servers(now_ms) > 0 && service.queue.is_empty();
    if is_free_now && ready_ms == 0.0 {
        return 0.0;
    }
    let available = service.available_servers(now_ms).max(1);
    let half_batch_pieces = service.batching.batch_pieces / 2;
    service.batching.duration_ms(half_batch_pieces) / (available + 1) as f64
}

/// Tracks the current run of refusals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RefusalHistory {
    started_ms: u64,
    last_ms: Option<u64>,
}

impl RefusalHistory {
    /// Records a refusal.
    fn record(&mut self, now_ms: u64) {
        if !self.are_recent(now_ms) {
            self.started_ms = now_ms;
        }
        self.last_ms = Some(now_ms);
    }

    fn are_recent(&self, now_ms: u64) -> bool {
        self.last_ms
            .is_some_and(|last_ms| now_ms.saturating_sub(last_ms) <= BURST_GAP_MS)
    }

    /// Estimates how long refusals will continue, in ms: until the burst reaches the
    /// typical length, and beyond that for half as long again.
    fn remaining_ms(&self, now_ms: u64) -> u64 {
        let lasted_ms = now_ms.saturating_sub(self.started_ms);
        if lasted_ms < MIN_BURST_MS {
            return 0;
        }
        let expected_ms = TYPICAL_BURST_MS.saturating_sub(lasted_ms);
        expected_ms.max(lasted_ms / 2)
    }
}

/// Decides whether to admit a request, and in which class. A retry after a refusal has
/// missed its goal and is admitted if its deadline leaves enough time.
pub(super) fn admit(
    now_ms: u64,
    submission: &Submission,
    services: &BTreeMap<PoolName, StageService>,
    refusals: &RefusalHistory,
) -> Option<AdmissionClass> {
    let rank = usize::from(submission.priority).min(USABLE_SLACK_PERCENT.len() - 1);
    let is_returning = submission.missing_ms >= MIN_MISSING_MS && refusals.are_recent(now_ms);
    let waited_ms = if is_returning {
        submission.missing_ms
    } else {
        0
    };
    let goal_ms = submission.goal_left_ms.saturating_sub(waited_ms);
    let weighted_forecast = forecast(now_ms, submission, services, LATE_WEIGHT);
    if weighted_forecast.is_unservable {
        return None;
    }
    if fits_slack(
        submission,
        weighted_forecast,
        goal_ms,
        USABLE_SLACK_PERCENT[rank],
    ) {
        return Some(AdmissionClass::InTime);
    }
    let full_forecast = forecast_all(now_ms, submission, services);
    let goal_ms = submission.goal_left_ms.min(submission.deadline_left_ms);
    let has_slack = fits_slack(
        submission,
        full_forecast,
        goal_ms,
        LATE_USABLE_SLACK_PERCENT,
    );
    (is_returning && has_slack).then_some(AdmissionClass::Late)
}

/// Estimates when a request that is refused now would be admitted, in ms: once the
/// queue is shorter and the burst over. The result varies with the request identifier,
/// so that callers do not return at the same time.
pub(super) fn retry_after_ms(
    now_ms: u64,
    submission: &Submission,
    forecast: Forecast,
    refusals: &mut RefusalHistory,
) -> u64 {
    refusals.record(now_ms);
    let needed_ms = forecast.stages_ms + submission.rest_ms;
    let excess_ms = needed_ms.saturating_sub(submission.goal_left_ms);
    let expected_ms = MIN_RETRY_AFTER_MS + excess_ms + refusals.remaining_ms(now_ms);
    let expected_ms = expected_ms.min(MAX_RETRY_AFTER_MS);
    let hash = xxh3_64(submission.request.as_str().as_bytes());
    match forecast.available_in_ms {
        0 => expected_ms - expected_ms / 4 + hash % (expected_ms / 2),
        // No server accepts a piece before the first backoff ends.
        available_in_ms => return_after_ms(available_in_ms, MIN_RETRY_AFTER_MS, hash),
    }
}
