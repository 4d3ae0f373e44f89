//! Runs a request under a ticket, locally or at the instance that issued it.

use savoryvane_core::{
    claim::Completion,
    claimant::ClaimReason,
    outcome::Outcome,
    ticket::{Redemption, TicketId},
};
use savoryvane_wire::{
    caller::{Answer, BorrowedSubmission},
    peer::{AnswerState, Message, TicketRun},
};
use tokio::time::Instant;

use super::{ANSWER_NOT_RETAINED, REUSED, Request, Resolution, TICKET_NOT_VALID};
use crate::{
    answers::{AnswerKey, Found},
    run_right::Grant,
};

pub(super) const ISSUER_UNREACHABLE: &str = "ticket_issuer_gone";
pub(super) const ISSUER_UNRESPONSIVE: &str = "ticket_issuer_silent";

/// How a request under a ticket is handled when it does not start the run.
enum Disposition {
    /// Waits for the ticket's run, or returns its recorded completion.
    Join(Option<Completion>),
    /// Forwards the request to the instance that issued the ticket.
    Forward,
    /// Rejects the request, with this reason.
    Refused(&'static str),
}

impl Request {
    /// Redeems the ticket.
    pub(super) async fn redeem(&self, id: TicketId) -> Resolution {
        let key = AnswerKey::Ticket(id.clone());
        let disposition = {
            let mut registry = self.shared.tickets.registry();
            match registry.redeem(self.now_ms(), &id, &self.spec.workspace, self.fingerprint) {
                // Registers the run while the registry is locked, so that every
                // request that joins it finds it.
                Redemption::Run => return self.start_run(Grant::Ticket(id), key),
                Redemption::Join => Disposition::Join(None),
                Redemption::Recorded(completion) => Disposition::Join(Some(completion)),
                Redemption::Forward => Disposition::Forward,
                Redemption::Misuse => Disposition::Refused(REUSED),
                Redemption::NotValid => Disposition::Refused(TICKET_NOT_VALID),
            }
        };
        Resolution::Answer(match disposition {
            Disposition::Join(recorded) => self.join(&key, recorded).await,
            Disposition::Forward => self.forward(id).await,
            Disposition::Refused(reason) => self.answer(Outcome::NotStarted, reason),
        })
    }

    /// Waits for the answer of the ticket's run. `recorded` is its completion if
    /// the run has already ended.
    async fn join(&self, key: &AnswerKey, recorded: Option<Completion>) -> Box<Answer> {
        match (self.shared.answers.wait(key, self.deadline).await, recorded) {
            (Found::Ended(body), _) => match serde_json::from_slice::<Answer>(&body) {
                Ok(answer) => self.with_own_id(answer),
                Err(_) => self.answer(Outcome::Unknown, ANSWER_NOT_RETAINED),
            },
            (_, Some(completion)) => self.recorded(&completion),
            // The joined run ended without sending a call.
            (Found::Absent, None) => {
                self.answer(Outcome::NotStarted, ClaimReason::NothingSent.as_str())
            }
            (Found::InFlight, None) => {
                self.answer(Outcome::Unknown, ClaimReason::Deadline.as_str())
            }
        }
    }

    /// Forwards the request to the instance that issued its ticket.
    async fn forward(&self, id: TicketId) -> Box<Answer> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let submission = BorrowedSubmission {
            input: &self.spec.input,
        };
        let run = Message::TicketRun(TicketRun {
            ticket: id.to_string(),
            workspace: self.spec.workspace.clone(),
            pipeline: self.spec.pipeline.name.clone(),
            request: self.spec.request.clone(),
            deadline_ms: remaining.as_millis() as u64,
            body: serde_json::to_vec(&submission).unwrap_or_default(),
        });
        let peers = self.shared.members.peers();
        let incarnation = Some(id.incarnation);
        match peers
            .request(&id.instance, incarnation, &run, remaining)
            .await
        {
            Ok(Message::AnswerState(AnswerState::Answered(body))) => {
                match serde_json::from_slice::<Answer>(&body) {
                    Ok(answer) => self.with_own_id(answer),
                    Err(_) => self.answer(Outcome::Unknown, ISSUER_UNRESPONSIVE),
                }
            }
            Ok(_) => self.answer(Outcome::Unknown, ISSUER_UNRESPONSIVE),
            Err(err) if err.is_not_processed() => {
                self.answer(Outcome::NotStarted, ISSUER_UNREACHABLE)
            }
            Err(_) => self.answer(Outcome::Unknown, ISSUER_UNRESPONSIVE),
        }
    }
}
