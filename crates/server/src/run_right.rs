//! The right to run one non-idempotent request at most once.

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

/// Source of the right to run a request.
#[derive(Clone, Debug)]
pub(crate) enum Grant {
    /// A claim that won.
    Claim(Attempt),
    /// A ticket of this incarnation.
    Ticket(TicketId),
}

/// The right to run one request.
#[derive(Debug)]
pub(crate) struct RunRight {
    shared: Arc<Shared>,
    grant: Grant,
    pipeline: Arc<Pipeline>,
    deadline_at_ms: u64,
    publisher: Publisher,
}

impl RunRight {
    /// Creates the right that follows from `grant`, and registers the run under
    /// `key`, so that other requests can wait for its answer.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        grant: Grant,
        key: AnswerKey,
        pipeline: Arc<Pipeline>,
        deadline_at_ms: u64,
    ) -> Self {
        Self {
            publisher: shared.answers.begin(key),
            shared: Arc::clone(shared),
            grant,
            pipeline,
            deadline_at_ms,
        }
    }

    /// Creates the gate of one call of `stage`.
    pub(crate) fn gate(self: &Arc<Self>, stage: &StageName) -> Option<Arc<Gate>> {
        let stages = (0..).zip(&self.pipeline.stages);
        let (index, stage) = stages.into_iter().find(|(_, known)| known.name == *stage)?;
        let kind = match stage.idempotent {
            true => CallKind::Idempotent,
            false => CallKind::NonIdempotent,
        };
        Some(Arc::new(Gate::new(Arc::clone(self), index, kind)))
    }

    /// Requests permission to write a call to a socket now. A permitted call
    /// counts as sent.
    pub(crate) fn permit(&self, stage: u32, kind: CallKind) -> Permit {
        let now_ms = self.shared.clock.now_ms();
        let permit = match &self.grant {
            Grant::Claim(attempt) => self.shared.claims.permit(now_ms, *attempt, stage, kind),
            Grant::Ticket(id) => {
                let mut registry = self.shared.tickets.registry();
                registry.permit(now_ms, id, self.deadline_at_ms, stage, kind)
            }
        };
        if let Permit::Refused(reason) = permit {
            metrics::counter!("savoryvane_permits_refused_total", "reason" => reason.as_str())
                .increment(1);
        }
        permit
    }

    /// Retracts the last permit.
    pub(crate) fn retract(&self, cause: Retraction) {
        match &self.grant {
            Grant::Claim(attempt) => self.shared.claims.retract(*attempt, cause),
            Grant::Ticket(id) => self.shared.tickets.registry().retract(id, cause),
        }
    }

    /// Ends the run. The caller, the log and the requests that joined the run all
    /// get the same outcome, which never denies a call that may have run.
    pub(crate) fn finish(&self, request: &RequestId, completion: &mut Completion) {
        let now_ms = self.shared.clock.now_ms();
        let body = encode_answer(request, completion);
        let reported = match &self.grant {
            Grant::Claim(attempt) => {
                let claims = &self.shared.claims;
                claims.finish(now_ms, *attempt, completion.outcome, &body)
            }
            Grant::Ticket(id) => {
                let mut registry = self.shared.tickets.registry();
                registry.finish(id, completion.outcome, &body)
            }
        };
        completion.outcome = reported;
        if !reported.is_safe_to_repeat() {
            completion.retry_after_ms = None;
        }
        match reported {
            Outcome::Complete | Outcome::Unknown => {
                self.publisher.publish(encode_answer(request, completion));
            }
            Outcome::NotRun | Outcome::NotStarted | Outcome::Failed => self.publisher.withdraw(),
        }
    }
}

fn encode_answer(request: &RequestId, completion: &Completion) -> Vec<u8> {
    serde_json::to_vec(&final_answer(request, completion.clone())).unwrap_or_default()
}
