//! Decides whether a request may be sent to a server, by the number of servers that
//! crashed under it.

use std::time::Duration;

use savoryvane_core::poison::Standing;
use slog::info;

use super::{
    answers::Why,
    forward::Forwarder,
    quarantine::{Asked, HeldPermit},
    request::CallerRequest,
};
use crate::suspects::{self, CountedBy, Reason};

/// Longest time that a request waits for the known crashes at an instance that has just
/// started; a few store calls take as long.
const LEARN_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest `Retry-After` while another copy runs, in ms: most servers take as long to
/// respond.
const MIN_RETRY_AFTER_MS: u64 = 200;

impl Forwarder {
    /// Admits a request. A suspect needs a permit, which `permit` holds from then on.
    /// Called before every send, as the request may have become a suspect since the last
    /// one.
    pub(super) async fn admit(
        &self,
        caller: &CallerRequest,
        permit: &mut Option<HeldPermit>,
    ) -> Result<(), Why> {
        // Crashes known to other instances are loaded some ms after the start. Without
        // them, the first copies after a loss of all instances would crash three more
        // servers.
        self.quarantine.loaded(LEARN_TIMEOUT).await;
        match self.quarantine.standing(&caller.digest) {
            Standing::Clear => Ok(()),
            Standing::Quarantined { .. } => Err(self.refuse_quarantined(caller, CountedBy::Own)),
            Standing::Suspect { .. } if permit.is_some() => Ok(()),
            Standing::Suspect { ends } => {
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

    /// Asks the scheduler why it refused the stages of a request that crashes servers.
    pub(super) async fn learn_why(&self, caller: &CallerRequest) -> Why {
        // If a permit is granted after all, it is returned at once.
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
            Standing::Quarantined { retry_after_ms, .. } => Some(retry_after_ms),
            Standing::Suspect { .. } | Standing::Clear => None,
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
