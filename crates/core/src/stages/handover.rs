//! Hands requests over to another scheduler, with what is done of them.
//!
//! Two schedulers that share the servers make each call take twice its time, so
//! one that is replaced begins no more calls.

use super::{
    progress::uncommit,
    scheduler::StageScheduler,
    types::{RequestKey, StageAction, StageOutcome},
};
use crate::ids::InstanceName;

impl StageScheduler {
    /// Hands every request that is not finished over to the scheduler `to`, as
    /// soon as none of its pieces is at work.
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

    /// Hands over the requests that are to be and have no piece at work.
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
            // Their servers keep the results for the one that takes over.
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
