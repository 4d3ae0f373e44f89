//! Runs a request under a ticket, here or at the instance that issued it.

use savoryvane_core::{
    claimant::ClaimReason,
    outcome::Outcome,
    ticket::{Redemption, TicketId},
};
use savoryvane_wire::{
    caller::{Answer, Submission},
    peer::{AnswerState, Message, TicketRun},
};
use tokio::time::Instant;

use super::{ANSWER_NOT_KEPT, REUSED, Request, TICKET_NOT_VALID, Way};
use crate::{
    answers::{AnswerKey, Found},
    run_right::Hold,
};

pub(super) const ISSUER_GONE: &str = "ticket_issuer_gone";
pub(super) const ISSUER_SILENT: &str = "ticket_issuer_silent";

impl Request {
    /// Uses the ticket.
    pub(super) async fn redeem(&self, id: TicketId) -> Way {
        let workspace = &self.spec.workspace;
        let redemption = {
            let mut book = self.shared.tickets.book();
            book.redeem(self.now_ms(), &id, workspace, self.fingerprint)
        };
        let key = AnswerKey::Ticket(id.clone());
        let answer = match redemption {
            Redemption::Run => return self.win(Hold::Ticket(id), key),
            Redemption::Join | Redemption::Recorded(_) => {
                match (
                    self.shared.answers.wait(&key, self.deadline).await,
                    redemption,
                ) {
                    (Found::Ended(body), _) => match serde_json::from_slice::<Answer>(&body) {
                        Ok(answer) => self.own(answer),
                        Err(_) => self.answer(Outcome::Unknown, ANSWER_NOT_KEPT),
                    },
                    (_, Redemption::Recorded(completion)) => self.recorded(&completion),
                    // The run that was waited for has sent nothing.
                    (Found::Absent, _) => {
                        self.answer(Outcome::NotStarted, ClaimReason::NothingSent.as_str())
                    }
                    (Found::InFlight, _) => {
                        self.answer(Outcome::Unknown, ClaimReason::Deadline.as_str())
                    }
                }
            }
            Redemption::Forward => self.forward(id).await,
            Redemption::Misuse => self.answer(Outcome::NotStarted, REUSED),
            Redemption::NotValid => self.answer(Outcome::NotStarted, TICKET_NOT_VALID),
        };
        Way::Answer(answer)
    }

    /// Passes the request on to the instance that issued its ticket.
    async fn forward(&self, id: TicketId) -> Box<Answer> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let submission = Submission {
            input: self.spec.input.clone(),
        };
        let run = Message::TicketRun(TicketRun {
            ticket: id.to_string(),
            workspace: self.spec.workspace.clone(),
            pipeline: self.spec.pipeline.name.clone(),
            request: self.spec.request.clone(),
            deadline_ms: left.as_millis() as u64,
            body: serde_json::to_vec(&submission).unwrap_or_default(),
        });
        let peers = self.shared.members.peers();
        let incarnation = Some(id.incarnation);
        match peers.request(&id.instance, incarnation, &run, left).await {
            Ok(Message::AnswerState(AnswerState::Answered(body))) => {
                match serde_json::from_slice::<Answer>(&body) {
                    Ok(answer) => self.own(answer),
                    Err(_) => self.answer(Outcome::Unknown, ISSUER_SILENT),
                }
            }
            Ok(_) => self.answer(Outcome::Unknown, ISSUER_SILENT),
            Err(err) if err.is_nothing_done() => self.answer(Outcome::NotStarted, ISSUER_GONE),
            Err(_) => self.answer(Outcome::Unknown, ISSUER_SILENT),
        }
    }
}
