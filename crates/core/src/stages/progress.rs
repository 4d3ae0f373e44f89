//! Moves requests from one stage to the next, until they are completed or refused.

use std::collections::BTreeMap;

use super::{
    admission,
    calls::MAX_REPEATS,
    queue::WaitingPiece,
    request::{PieceState, Request},
    scheduler::StageScheduler,
    service::StageService,
    types::{CallId, Refusal, RequestKey, StageAction, StageOutcome, Submission},
};
use crate::ids::{BackendName, PoolName};

/// Retry time given to callers when a service has no available server, in ms.
const NO_SERVER_RETRY_AFTER_MS: u64 = 500;
/// Time after its deadline for which a completed request is tracked if nobody releases
/// it, in ms. Servers expire its results on their own.
const RELEASE_GRACE_MS: u64 = 1_000;

impl StageScheduler {
    /// Returns, for each stage, the time from its end until the response begins, in ms.
    pub(super) fn rest_ms(&self, submission: &Submission) -> Vec<u64> {
        let mut rest_ms = vec![submission.rest_ms; submission.stages.len()];
        for (index, stage) in submission.stages.iter().enumerate().rev() {
            if stage.pieces == 0 {
                continue;
            }
            let mean_latency_ms = self
                .services
                .get(&stage.service)
                .map_or(0, |service| service.mean_latency_ms as u64);
            let with_stage_ms = rest_ms[index] + mean_latency_ms;
            for needed in &stage.after {
                if let Some(rest) = rest_ms.get_mut(*needed) {
                    *rest = (*rest).max(with_stage_ms);
                }
            }
        }
        rest_ms
    }

    /// Marks a request as unable to make its goal, and moves its waiting pieces back in
    /// their queues.
    pub(super) fn mark_late(&mut self, key: &RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let waiting = request.waiting_pieces();
        let before: Vec<_> = waiting
            .iter()
            .map(|piece_id| request.queue_key(*piece_id))
            .collect();
        request.is_late = true;
        for (piece_id, before) in waiting.into_iter().zip(before) {
            let service = &request.submission.stages[piece_id.stage].service;
            if let Some(service) = self.services.get_mut(service)
                && let Some(waiting) = service.queue.take(&before)
            {
                service.queue.add(request.queue_key(piece_id), waiting);
            }
        }
    }

    /// Queues the pieces whose inputs are available, frees results that are no longer
    /// needed, and reports the request once all its stages are completed.
    pub(super) fn advance(&mut self, now_ms: u64, key: &RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let unneeded = request.take_unneeded(false);
        let ready = if request.is_moving {
            Vec::new()
        } else {
            request.unblock()
        };
        for piece_id in ready {
            let stage = &request.submission.stages[piece_id.stage];
            if let Some(service) = self.services.get_mut(&stage.service) {
                let waiting = WaitingPiece {
                    key: key.clone(),
                    piece_id,
                    ready_at_ms: now_ms,
                    result_bytes: stage.result_bytes,
                };
                service.queue.add(request.queue_key(piece_id), waiting);
            }
        }
        if request.is_done() && !request.is_finished {
            request.is_finished = true;
            self.actions.push(StageAction::Finish {
                key: key.clone(),
                outcome: StageOutcome::Ready(request.final_results()),
            });
        }
        self.free_results(unneeded);
    }

    pub(super) fn regenerate_inputs(&mut self, now_ms: u64, id: CallId, waiting: &WaitingPiece) {
        let Some(request) = self.requests.get_mut(&waiting.key) else {
            return;
        };
        if request.piece_state(waiting.piece_id) != Some(&PieceState::Running(id)) {
            return;
        }
        request.repeats += 1;
        if request.repeats > MAX_REPEATS {
            return self.refuse(now_ms, &waiting.key, Refusal::Failed);
        }
        let services = &self.services;
        let is_known = |server: &BackendName| {
            let mut all = services.values();
            all.any(|service| service.servers.contains_key(server))
        };
        let before = request.unfinished_by_stage();
        let previously_waiting = request.waiting_pieces();
        if let Some(piece) = request.piece_state_mut(waiting.piece_id) {
            *piece = PieceState::Blocked;
        }
        request.regenerate_inputs(waiting.piece_id.stage, is_known);
        let after = request.unfinished_by_stage();
        for (stage, (before, after)) in before.into_iter().zip(after).enumerate() {
            let name = &request.submission.stages[stage].service;
            if let Some(service) = self.services.get_mut(name) {
                let repeated_pieces = after.saturating_sub(before);
                service
                    .committed
                    .add(request.admission_class, repeated_pieces);
            }
        }
        for piece_id in previously_waiting {
            let name = &request.submission.stages[piece_id.stage].service;
            if request.piece_state(piece_id) != Some(&PieceState::Waiting)
                && let Some(service) = self.services.get_mut(name)
            {
                service.queue.take(&request.queue_key(piece_id));
            }
        }
        self.advance(now_ms, &waiting.key);
    }

    /// Refuses a request that can't be completed.
    pub(super) fn refuse(&mut self, now_ms: u64, key: &RequestKey, reason: Refusal) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if !request.is_finished {
            let submission = request.submission.clone();
            let outcome = self.refusal(now_ms, &submission, reason);
            self.actions.push(StageAction::Finish {
                key: key.clone(),
                outcome,
            });
        }
        self.remove(key);
    }

    pub(super) fn refusal(
        &mut self,
        now_ms: u64,
        submission: &Submission,
        reason: Refusal,
    ) -> StageOutcome {
        if reason == Refusal::EndsServers {
            return StageOutcome::ends_servers();
        }
        let forecast = admission::forecast_all(now_ms, submission, &self.services);
        let (reason, retry_after_ms) = if forecast.is_unservable {
            (Refusal::NoServer, NO_SERVER_RETRY_AFTER_MS)
        } else {
            let refusals = &mut self.refusals;
            let after_ms = admission::retry_after_ms(now_ms, submission, forecast, refusals);
            (reason, after_ms)
        };
        StageOutcome::Refused {
            reason,
            retry_after_ms,
            forecast_ms: forecast.stages_ms,
        }
    }

    pub(super) fn remove(&mut self, key: &RequestKey) {
        let Some(mut request) = self.requests.remove(key) else {
            return;
        };
        uncommit(&mut self.services, &request);
        for piece_id in request.waiting_pieces() {
            let name = &request.submission.stages[piece_id.stage].service;
            if let Some(service) = self.services.get_mut(name) {
                service.queue.take(&request.queue_key(piece_id));
            }
        }
        let unneeded = request.take_unneeded(true);
        self.free_results(unneeded);
    }

    /// Refuses the requests whose deadline has passed, and drops completed ones that
    /// nobody released.
    pub(super) fn drop_expired(&mut self, now_ms: u64) {
        if self.earliest_drop_ms.is_none_or(|at_ms| at_ms > now_ms) {
            return;
        }
        let expired: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| request.drop_at_ms() <= now_ms)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.refuse(now_ms, &key, Refusal::TooLate);
        }
        self.earliest_drop_ms = self.requests.values().map(Request::drop_at_ms).min();
    }
}

impl Request {
    /// Returns the time after which the request is dropped, in ms.
    pub(super) fn drop_at_ms(&self) -> u64 {
        if self.is_finished {
            self.deadline_at_ms + RELEASE_GRACE_MS
        } else {
            self.deadline_at_ms
        }
    }
}

/// Subtracts the unfinished pieces of a request from the committed ones.
pub(super) fn uncommit(services: &mut BTreeMap<PoolName, StageService>, request: &Request) {
    for (stage, unfinished) in request.unfinished_by_stage().into_iter().enumerate() {
        let name = &request.submission.stages[stage].service;
        if let Some(service) = services.get_mut(name) {
            service
                .committed
                .remove(request.admission_class, unfinished);
        }
    }
}
