//! Hands requests over to another scheduler, together with their completed pieces.
//!
//! Calls take twice as long while two schedulers share the servers, so a scheduler that
//! is replaced starts no more calls.

use super::{
    progress::uncommit,
    scheduler::StageScheduler,
    types::{RequestKey, StageAction, StageOutcome},
};
use crate::ids::InstanceName;

impl StageScheduler {
    /// Hands all unfinished requests over to the scheduler `to`, each as soon as none
    /// of its pieces is running.
    pub fn hand_over(&mut self, now_ms: u64, to: Option<&InstanceName>) {
        self.contention.on_contention_sign(now_ms);
        self.is_handing_over = true;
        self.successor = to.cloned();
        for service in self.services.values_mut() {
            service.queue.clear();
        }
        for request in self.requests.values_mut() {
            request.is_moving = !request.is_finished;
        }
        self.hand_over_idle();
    }

    /// Hands over the pending requests that have no running piece.
    pub(super) fn hand_over_idle(&mut self) {
        if !self.is_handing_over {
            return;
        }
        let idle: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.is_moving && !request.is_finished && !request.is_running()
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in idle {
            let Some(request) = self.requests.remove(&key) else {
                continue;
            };
            uncommit(&mut self.services, &request);
            // The servers keep the results for the successor.
            let outcome = StageOutcome::Moved {
                done: request.done_pieces(),
                to: self.successor.clone(),
            };
            self.actions.push(StageAction::Finish { key, outcome });
        }
        let mut requests = self.requests.values();
        self.is_handing_over = requests.any(|request| request.is_moving && !request.is_finished);
    }
}
