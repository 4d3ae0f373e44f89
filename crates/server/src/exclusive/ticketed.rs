//! Runs a request under a ticket, here or at the instance that issued it.

use savoryvane_core::{
    claim::Completion,
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

/// How a request uses a ticket that it does not run.
enum Use {
    /// It gets the answer of the ticket's run, which may have ended.
    Joined(Option<Completion>),
    /// The instance that issued the ticket answers it.
    Elsewhere,
    /// It can't use it, for this reason.
    Refused(&'static str),
}

impl Request {
    /// Uses the ticket.
    pub(super) async fn redeem(&self, id: TicketId) -> Way {
        let key = AnswerKey::Ticket(id.clone());
        let use_of = {
            let mut book = self.shared.tickets.book();
            match book.redeem(self.now_ms(), &id, &self.spec.workspace, self.fingerprint) {
                // The run is entered while the book is locked, so that whoever
                // joins it finds it.
                Redemption::Run => return self.win(Hold::Ticket(id), key),
                Redemption::Join => Use::Joined(None),
                Redemption::Recorded(completion) => Use::Joined(Some(completion)),
                Redemption::Forward => Use::Elsewhere,
                Redemption::Misuse => Use::Refused(REUSED),
                Redemption::NotValid => Use::Refused(TICKET_NOT_VALID),
            }
        };
        Way::Answer(match use_of {
            Use::Joined(recorded) => self.join(&key, recorded).await,
            Use::Elsewhere => self.forward(id).await,
            Use::Refused(reason) => self.answer(Outcome::NotStarted, reason),
        })
    }

    /// Waits for the answer of the ticket's run, which has ended if it is
    /// `recorded`.
    async fn join(&self, key: &AnswerKey, recorded: Option<Completion>) -> Box<Answer> {
        match (self.shared.answers.wait(key, self.deadline).await, recorded) {
            (Found::Ended(body), _) => match serde_json::from_slice::<Answer>(&body) {
                Ok(answer) => self.own(answer),
                Err(_) => self.answer(Outcome::Unknown, ANSWER_NOT_KEPT),
            },
            (_, Some(completion)) => self.recorded(&completion),
            // The run that was waited for has sent nothing.
            (Found::Absent, None) => {
                self.answer(Outcome::NotStarted, ClaimReason::NothingSent.as_str())
            }
            (Found::InFlight, None) => {
                self.answer(Outcome::Unknown, ClaimReason::Deadline.as_str())
            }
        }
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
