//! Decides whether a request may be sent to a server, by how many have ended under it.

use std::time::Duration;

use savoryvane_core::poison::QuarantineStatus;
use slog::info;

use super::{
    answers::Why,
    forward::Forwarder,
    quarantine::{Asked, HeldPermit},
    request::CallerRequest,
};
use crate::suspects::{self, CountedBy, Reason};

/// Time that a request waits at an instance that has just started, at most: some calls of
/// the store.
const LEARN_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest time to come back after while another copy runs, in ms: most servers take
/// as long for an answer.
const MIN_RETRY_AFTER_MS: u64 = 200;

impl Forwarder {
    /// Lets a request through, a suspect with a permit that `permit` holds from then on.
    /// Asked before every send, as it may have become a suspect since the last one.
    pub(super) async fn admit(
        &self,
        caller: &CallerRequest,
        permit: &mut Option<HeldPermit>,
    ) -> Result<(), Why> {
        // Known some ms after the start of an instance; without it the first copies after
        // a loss of all would end three more servers.
        self.quarantine.loaded(LEARN_TIMEOUT).await;
        match self.quarantine.standing(&caller.digest) {
            QuarantineStatus::Clear => Ok(()),
            QuarantineStatus::Quarantined { .. } => {
                Err(self.refuse_quarantined(caller, CountedBy::Own))
            }
            QuarantineStatus::Suspect { .. } if permit.is_some() => Ok(()),
            QuarantineStatus::Suspect { ends } => {
                let asked = self.quarantine.ask(caller.digest, caller.left()).await;
                match asked {
                    Asked::Granted(held) => {
                        info!(self.log, "suspect admitted"; "request" => %caller.id,
                            "digest" => %caller.digest, "ends" => ends);
                        *permit = Some(held);
                        Ok(())
                    }
                    Asked::Out(lapses_in) => Err(self.refuse_copy(caller, ends, lapses_in)),
                    Asked::Quarantined(counted_by) => {
                        Err(self.refuse_quarantined(caller, counted_by))
                    }
                }
            }
        }
    }

    /// Learns from the instance that schedules why it has refused the stages of a
    /// request under which servers end.
    pub(super) async fn learn_why(&self, caller: &CallerRequest) -> Why {
        // A permit that is granted after all is given back at once.
        let asked = self.quarantine.ask(caller.digest, Duration::ZERO).await;
        let counted_by = match asked {
            Asked::Quarantined(counted_by) => counted_by,
            Asked::Granted(_) | Asked::Out(_) => CountedBy::Scheduler,
        };
        self.refuse_quarantined(caller, counted_by)
    }

    fn refuse_quarantined(&self, caller: &CallerRequest, counted_by: CountedBy) -> Why {
        let standing = self.quarantine.standing(&caller.digest);
        let retry_after_ms = match standing {
            QuarantineStatus::Quarantined { retry_after_ms, .. } => Some(retry_after_ms),
            QuarantineStatus::Suspect { .. } | QuarantineStatus::Clear => None,
        };
        suspects::refused(
            &self.log,
            &caller.id,
            &caller.digest,
            standing.ends(),
            counted_by,
            retry_after_ms,
        );
        Why::EndsServers(retry_after_ms)
    }

    fn refuse_copy(&self, caller: &CallerRequest, ends: u32, lapses_in: Duration) -> Why {
        let usual_ms = self.answer_time(caller).as_millis() as u64;
        let lapses_in_ms = lapses_in.as_millis() as u64;
        let retry_after_ms = usual_ms.max(MIN_RETRY_AFTER_MS).min(lapses_in_ms);
        info!(self.log, "copy of a suspect refused"; "request" => %caller.id,
            "digest" => %caller.digest, "ends" => ends, "ends_from" => CountedBy::Scheduler.as_str(),
            "retry_after_ms" => retry_after_ms);
        suspects::count_refusal(Reason::CopyRuns);
        Why::CopyRuns(retry_after_ms)
    }
}
