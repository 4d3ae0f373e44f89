//! Decides whether a request may be sent to a server, by the number of servers that
//! crashed under it and under the parts of its prompt.

use std::time::Duration;

use savoryvane_core::poison::{
    CrashReport, CrashSubject, QuarantineStatus, RequestStatus, format_subjects,
};
use slog::info;

use super::{
    forward::Forwarder,
    local_reply::FailureReason,
    permits::{PermitGuard, PermitOutcome},
    request::CallerRequest,
};
use crate::suspects::{self, CountedBy, QuarantineRefusal, RefusalReason};

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
        let (suspects, ends) = match self.quarantine.request_status(&caller.subjects) {
            RequestStatus::Clear => return Ok(()),
            RequestStatus::Quarantined { subject, .. } => {
                return Err(self.reject_quarantined(caller, subject, CountedBy::Own));
            }
            RequestStatus::Suspect { suspects, ends } => (suspects, ends),
        };
        if permit.as_ref().is_some_and(|held| held.covers(&suspects)) {
            return Ok(());
        }
        let outcome = self
            .quarantine
            .request_permit(&caller.subjects, permit.take(), caller.time_left())
            .await;
        match outcome {
            PermitOutcome::Granted(granted) => {
                info!(self.log, "suspect admitted"; "request" => %caller.id,
                    "digest" => %caller.digest(), "ends" => ends,
                    "suspects" => format_subjects(suspects),
                    "isolated" => format_subjects(granted.covered().iter().copied()));
                *permit = Some(granted);
                Ok(())
            }
            PermitOutcome::CopyRunning(expires_in) => {
                Err(self.reject_copy(caller, &suspects, ends, expires_in))
            }
            PermitOutcome::Quarantined(records, counted_by) => {
                let subject = quarantined_subject(caller, &records);
                Err(self.reject_quarantined(caller, subject, counted_by))
            }
        }
    }

    /// Queries the scheduler why it refused the stages of a request that crashes servers.
    pub(super) async fn query_quarantine_reason(&self, caller: &CallerRequest) -> FailureReason {
        // If a permit is granted after all, it is returned at once.
        let outcome = self
            .quarantine
            .request_permit(&caller.subjects, None, Duration::ZERO)
            .await;
        let (records, counted_by) = match outcome {
            PermitOutcome::Quarantined(records, counted_by) => (records, counted_by),
            PermitOutcome::Granted(_) | PermitOutcome::CopyRunning(_) => {
                (Vec::new(), CountedBy::Scheduler)
            }
        };
        let subject = quarantined_subject(caller, &records);
        self.reject_quarantined(caller, subject, counted_by)
    }

    fn reject_quarantined(
        &self,
        caller: &CallerRequest,
        subject: CrashSubject,
        counted_by: CountedBy,
    ) -> FailureReason {
        let status = self.quarantine.subject_status(&subject);
        let retry_after_ms = match status {
            QuarantineStatus::Quarantined { retry_after_ms, .. } => Some(retry_after_ms),
            QuarantineStatus::Suspect { .. } | QuarantineStatus::Clear => None,
        };
        let refusal = QuarantineRefusal {
            digest: &caller.digest(),
            subject,
            ends: status.ends(),
            counted_by,
            retry_after_ms,
        };
        suspects::log_refusal(&self.log, &caller.id, &refusal);
        match subject {
            CrashSubject::Request(_) => FailureReason::EndsServers(retry_after_ms),
            CrashSubject::PromptPart(_) => FailureReason::PartEndsServers(retry_after_ms),
        }
    }

    fn reject_copy(
        &self,
        caller: &CallerRequest,
        suspects: &[CrashSubject],
        ends: u32,
        expires_in: Duration,
    ) -> FailureReason {
        let usual_ms = self.usual_response_time(caller).as_millis() as u64;
        let expires_in_ms = expires_in.as_millis() as u64;
        let retry_after_ms = usual_ms.max(MIN_RETRY_AFTER_MS).min(expires_in_ms);
        info!(self.log, "copy of suspect rejected"; "request" => %caller.id,
            "digest" => %caller.digest(), "suspects" => format_subjects(suspects.iter().copied()),
            "ends" => ends, "ends_from" => CountedBy::Scheduler.as_str(),
            "retry_after_ms" => retry_after_ms);
        suspects::count_refusal(RefusalReason::CopyRuns);
        FailureReason::CopyRuns(retry_after_ms)
    }
}

/// Returns the subject that `records` are about; the request itself if there are none.
fn quarantined_subject(caller: &CallerRequest, records: &[CrashReport]) -> CrashSubject {
    let subject = records.first().map(|record| record.subject);
    subject.unwrap_or_else(|| caller.digest().into())
}
