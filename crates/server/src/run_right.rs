//! The right to run one request that may not be run twice.

use std::sync::Arc;

use savoryvane_core::{
    claimant::{Attempt, Permit},
    execution::Completion,
    ids::{RequestId, StageName},
    objects::Pipeline,
    outcome::Outcome,
    progress::{CallKind, Retraction},
    ticket::TicketId,
};

use crate::{
    answers::{AnswerKey, Publisher},
    caller::final_answer,
    gate::Gate,
    instance::Shared,
};

/// What gives the right.
#[derive(Clone, Debug)]
pub(crate) enum Hold {
    /// A claim that won.
    Claim(Attempt),
    /// A ticket of this incarnation.
    Ticket(TicketId),
}

/// The right to run one request.
#[derive(Debug)]
pub(crate) struct RunRight {
    shared: Arc<Shared>,
    hold: Hold,
    pipeline: Arc<Pipeline>,
    deadline_at_ms: u64,
    publisher: Publisher,
}

impl RunRight {
    /// Creates the right that `hold` gives; whoever asks under `key` waits for
    /// the run.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        hold: Hold,
        key: AnswerKey,
        pipeline: Arc<Pipeline>,
        deadline_at_ms: u64,
    ) -> Self {
        Self {
            publisher: shared.answers.begin(key),
            shared: Arc::clone(shared),
            hold,
            pipeline,
            deadline_at_ms,
        }
    }

    /// Creates the gate of one call of `stage`.
    pub(crate) fn gate(self: &Arc<Self>, stage: &StageName) -> Option<Arc<Gate>> {
        let named = (0..).zip(&self.pipeline.stages);
        let (index, stage) = named.into_iter().find(|(_, known)| known.name == *stage)?;
        let kind = match stage.idempotent {
            true => CallKind::Idempotent,
            false => CallKind::NonIdempotent,
        };
        Some(Arc::new(Gate::new(Arc::clone(self), index, kind)))
    }

    /// Asks whether a call may be handed to a socket now; it counts as sent.
    pub(crate) fn permit(&self, stage: u32, kind: CallKind) -> Permit {
        let now_ms = self.shared.clock.now_ms();
        let permit = match &self.hold {
            Hold::Claim(attempt) => self.shared.claims.permit(now_ms, *attempt, stage, kind),
            Hold::Ticket(id) => {
                let mut book = self.shared.tickets.book();
                book.permit(now_ms, id, self.deadline_at_ms, stage, kind)
            }
        };
        if let Permit::Refused(reason) = permit {
            metrics::counter!("savoryvane_permits_refused_total", "reason" => reason.as_str())
                .increment(1);
        }
        permit
    }

    /// Takes back the last permit.
    pub(crate) fn retract(&self, cause: Retraction) {
        match &self.hold {
            Hold::Claim(attempt) => self.shared.claims.retract(*attempt, cause),
            Hold::Ticket(id) => self.shared.tickets.book().retract(id, cause),
        }
    }

    /// Ends the run: what is told, recorded and given to whoever waits is the
    /// same, and never less than may have run.
    pub(crate) fn finish(&self, request: &RequestId, completion: &mut Completion) {
        let now_ms = self.shared.clock.now_ms();
        let body = encoded(request, completion);
        let told = match &self.hold {
            Hold::Claim(attempt) => {
                let claims = &self.shared.claims;
                claims.finish(now_ms, *attempt, completion.outcome, &body)
            }
            Hold::Ticket(id) => {
                let mut book = self.shared.tickets.book();
                book.finish(id, completion.outcome, &body)
            }
        };
        completion.outcome = told;
        if !told.is_safe_to_repeat() {
            completion.retry_after_ms = None;
        }
        match told {
            Outcome::Complete | Outcome::Unknown => {
                self.publisher.publish(encoded(request, completion));
            }
            Outcome::NotRun | Outcome::NotStarted | Outcome::Failed => self.publisher.withdraw(),
        }
    }
}

fn encoded(request: &RequestId, completion: &Completion) -> Vec<u8> {
    serde_json::to_vec(&final_answer(request, completion.clone())).unwrap_or_default()
}
