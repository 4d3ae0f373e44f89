//! Runs a request that may not be run twice: under a claim of its idempotency
//! key, or under a ticket.

mod claimed;
mod serving;
mod ticketed;

use std::sync::Arc;

use savoryvane_core::{
    claim::{self, Fingerprint},
    execution::{Completion, ExecutionSpec},
    ids::{IdempotencyKey, RequestId},
    outcome::Outcome,
    ticket::TicketId,
};
use savoryvane_wire::caller::Answer;
use slog::info;
use tokio::{sync::mpsc, time::Instant};

pub(crate) use self::serving::{answer_state, run_forwarded};
use crate::{
    answers::AnswerKey,
    controller::Account,
    instance::{InFlight, Shared},
    run_right::{Hold, RunRight},
    runner::{self, Update},
};

/// Reason of an answer to a key or ticket that was used for another request.
pub(crate) const REUSED: &str = "key_reused";
/// Reason of an answer to a ticket that can't be used.
pub(crate) const TICKET_NOT_VALID: &str = "ticket_not_valid";
const ANSWER_NOT_KEPT: &str = "answer_not_kept";
/// Time after which a request that started nothing may come back, in ms.
const RETRY_AFTER_MS: u64 = 1_000;

/// What a request is run under.
#[derive(Clone, Debug)]
pub(crate) enum Warrant {
    /// The caller's idempotency key.
    Key(IdempotencyKey),
    /// A ticket.
    Ticket(TicketId),
}

/// A request on its way to run once.
struct Request {
    shared: Arc<Shared>,
    spec: ExecutionSpec,
    account: Account,
    fingerprint: Fingerprint,
    deadline: Instant,
}

/// What is done with a request.
enum Way {
    Run(Arc<RunRight>),
    Answer(Box<Answer>),
}

/// Takes a request in a task of its own and returns what happens to it.
pub(crate) fn start(
    shared: &Arc<Shared>,
    warrant: Warrant,
    spec: ExecutionSpec,
    account: Account,
    guard: InFlight,
) -> mpsc::UnboundedReceiver<Update> {
    let (updates, receiver) = mpsc::unbounded_channel();
    let input = serde_json::to_vec(&spec.input).unwrap_or_default();
    let request = Request {
        shared: Arc::clone(shared),
        fingerprint: Fingerprint::of(&spec.pipeline.name, &input),
        deadline: shared.clock.instant(spec.deadline_at_ms),
        spec,
        account,
    };
    shared.tasks.spawn(async move {
        request.run(warrant, updates).await;
        drop(guard);
    });
    receiver
}

impl Request {
    async fn run(self, warrant: Warrant, updates: mpsc::UnboundedSender<Update>) {
        let way = match warrant {
            Warrant::Key(key) => self.claim(key, &updates).await,
            Warrant::Ticket(id) => self.redeem(id).await,
        };
        self.log(&way);
        match way {
            Way::Run(right) => {
                let Self {
                    shared,
                    spec,
                    account,
                    ..
                } = self;
                runner::run(&shared, spec, account, Some(right), updates).await;
            }
            Way::Answer(answer) => {
                self.account.record_completion(&completion_of(&answer));
                // Nobody listens when the caller has gone.
                let _ = updates.send(Update::Given(answer));
            }
        }
    }

    fn log(&self, way: &Way) {
        let (choice, reason) = match way {
            Way::Run(_) => ("run", None),
            Way::Answer(answer) => (answer.outcome.as_str(), answer.reason.as_deref()),
        };
        metrics::counter!("savoryvane_decisions_total", "kind" => "claim", "reason" => choice)
            .increment(1);
        info!(self.shared.log, "decision"; "kind" => "claim",
            "request" => %self.spec.request, "choice" => choice, "reason" => reason);
    }

    fn win(&self, hold: Hold, key: AnswerKey) -> Way {
        let (pipeline, deadline_at_ms) = (self.spec.pipeline.clone(), self.spec.deadline_at_ms);
        let right = RunRight::new(&self.shared, hold, key, pipeline, deadline_at_ms);
        Way::Run(Arc::new(right))
    }

    /// Gives the answer of a run that has ended. Without its body a complete
    /// run can't be told as complete.
    fn recorded(&self, completion: &claim::Completion) -> Box<Answer> {
        let body = completion.answer.as_deref();
        match body.map(serde_json::from_slice::<Answer>) {
            Some(Ok(answer)) => self.own(Answer {
                outcome: completion.outcome,
                ..answer
            }),
            Some(Err(_)) | None => self.answer(Outcome::Unknown, ANSWER_NOT_KEPT),
        }
    }

    /// Makes an answer that another request got this one's.
    fn own(&self, answer: Answer) -> Box<Answer> {
        Box::new(Answer {
            request_id: self.spec.request.clone(),
            ..answer
        })
    }

    fn answer(&self, outcome: Outcome, reason: &str) -> Box<Answer> {
        Box::new(plain_answer(&self.spec.request, outcome, reason))
    }

    fn now_ms(&self) -> u64 {
        self.shared.clock.now_ms()
    }
}

fn plain_answer(request: &RequestId, outcome: Outcome, reason: &str) -> Answer {
    let is_final = matches!(reason, REUSED | TICKET_NOT_VALID | ticketed::ISSUER_GONE);
    Answer {
        request_id: request.clone(),
        outcome,
        reason: Some(reason.to_owned()),
        output: None,
        retry_after_ms: (outcome.is_safe_to_repeat() && !is_final).then_some(RETRY_AFTER_MS),
        stages: Vec::new(),
    }
}

/// What is accounted for a request that was answered without a run of its own.
fn completion_of(answer: &Answer) -> Completion {
    Completion {
        outcome: answer.outcome,
        reason: None,
        output: None,
        retry_after_ms: answer.retry_after_ms,
        stages: Vec::new(),
    }
}
