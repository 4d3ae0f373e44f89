//! Decides whether a request may be sent to a server, by the number of servers that
//! crashed under it.

use std::time::Duration;

use savoryvane_core::poison::QuarantineStatus;
use slog::info;

use super::{
    forward::Forwarder,
    local_reply::FailureReason,
    quarantine::{PermitGuard, PermitOutcome},
    request::CallerRequest,
};
use crate::suspects::{self, CountedBy, RefusalReason};

/// Longest time that a request waits for the known crashes at an instance that has just
/// started; a few store calls take as long.
const LOAD_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest `Retry-After` while another copy runs, in ms: most servers take as long to
/// respond.
const MIN_RETRY_AFTER_MS: u64 = 200;

impl Forwarder {
    /// Admits a request. A suspect needs a permit, which `permit` holds from then on.
    /// Called before every send, as the request may have become a suspect since the last
    /// one.
    pub(super) async fn check_quarantine(
        &self,
        caller: &CallerRequest,
        permit: &mut Option<PermitGuard>,
    ) -> Result<(), FailureReason> {
        // Crashes known to other instances are loaded some ms after the start. Without
        // them, the first copies after a loss of all instances would crash three more
        // servers.
        self.quarantine.wait_loaded(LOAD_TIMEOUT).await;
        match self.quarantine.standing(&caller.digest) {
            QuarantineStatus::Clear => Ok(()),
            QuarantineStatus::Quarantined { .. } => {
                Err(self.reject_quarantined(caller, CountedBy::Own))
            }
            QuarantineStatus::Suspect { .. } if permit.is_some() => Ok(()),
            QuarantineStatus::Suspect { ends } => {
                let outcome = self
                    .quarantine
                    .request_permit(caller.digest, caller.time_left())
                    .await;
                match outcome {
                    PermitOutcome::Granted(granted) => {
                        info!(self.log, "suspect admitted"; "request" => %caller.id,
                            "digest" => %caller.digest, "ends" => ends);
                        *permit = Some(granted);
                        Ok(())
                    }
                    PermitOutcome::CopyRunning(expires_in) => {
                        Err(self.reject_copy(caller, ends, expires_in))
                    }
                    PermitOutcome::Quarantined(counted_by) => {
                        Err(self.reject_quarantined(caller, counted_by))
                    }
                }
            }
        }
    }

    /// Queries the scheduler why it refused the stages of a request that crashes servers.
    pub(super) async fn query_quarantine_reason(&self, caller: &CallerRequest) -> FailureReason {
        // If a permit is granted after all, it is returned at once.
        let outcome = self
            .quarantine
            .request_permit(caller.digest, Duration::ZERO)
            .await;
        let counted_by = match outcome {
            PermitOutcome::Quarantined(counted_by) => counted_by,
            PermitOutcome::Granted(_) | PermitOutcome::CopyRunning(_) => CountedBy::Scheduler,
        };
        self.reject_quarantined(caller, counted_by)
    }

    fn reject_quarantined(&self, caller: &CallerRequest, counted_by: CountedBy) -> FailureReason {
        let standing = self.quarantine.standing(&caller.digest);
        let retry_after_ms = match standing {
            QuarantineStatus::Quarantined { retry_after_ms, .. } => Some(retry_after_ms),
            QuarantineStatus::Suspect { .. } | QuarantineStatus::Clear => None,
        };
        suspects::log_refusal(
            &self.log,
            &caller.id,
            &caller.digest,
            standing.ends(),
            counted_by,
            retry_after_ms,
        );
        FailureReason::EndsServers(retry_after_ms)
    }

    fn reject_copy(
        &self,
        caller: &CallerRequest,
        ends: u32,
        expires_in: Duration,
    ) -> FailureReason {
        let usual_ms = self.usual_response_time(caller).as_millis() as u64;
        let expires_in_ms = expires_in.as_millis() as u64;
        let retry_after_ms = usual_ms.max(MIN_RETRY_AFTER_MS).min(expires_in_ms);
        info!(self.log, "copy of suspect rejected"; "request" => %caller.id,
            "digest" => %caller.digest, "ends" => ends, "ends_from" => CountedBy::Scheduler.as_str(),
            "retry_after_ms" => retry_after_ms);
        suspects::count_refusal(RefusalReason::CopyRuns);
        FailureReason::CopyRuns(retry_after_ms)
    }
}
