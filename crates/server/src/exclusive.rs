//! Runs a non-idempotent request at most once, under a claim of its idempotency
//! key or under a ticket.

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
    run_right::{Grant, RunRight},
    runner::{self, Update},
};

/// Reason given when a key or ticket was already used for a different request.
pub(crate) const REUSED: &str = "key_reused";
/// Reason given for an invalid or expired ticket.
pub(crate) const TICKET_NOT_VALID: &str = "ticket_not_valid";
const ANSWER_NOT_RETAINED: &str = "answer_not_kept";
/// Retry delay suggested for a request that started nothing.
const RETRY_AFTER_MS: u64 = 1_000;

/// What makes sure that a request runs at most once.
#[derive(Clone, Debug)]
pub(crate) enum DedupKey {
    /// The caller's idempotency key.
    Key(IdempotencyKey),
    /// A ticket.
    Ticket(TicketId),
}

/// A request that is resolved to a run or to an existing answer.
struct Request {
    shared: Arc<Shared>,
    spec: ExecutionSpec,
    account: Account,
    fingerprint: Fingerprint,
    deadline: Instant,
}

/// How a request is resolved.
enum Resolution {
    Run(Arc<RunRight>),
    Answer(Box<Answer>),
}

/// Spawns a task that handles a request, and returns its updates.
pub(crate) fn start(
    shared: &Arc<Shared>,
    dedup_key: DedupKey,
    spec: ExecutionSpec,
    account: Account,
    guard: InFlight,
) -> mpsc::UnboundedReceiver<Update> {
    let (updates, receiver) = mpsc::unbounded_channel();
    let input = serde_json::to_vec(&*spec.input).unwrap_or_default();
    let request = Request {
        shared: Arc::clone(shared),
        fingerprint: Fingerprint::of(&spec.pipeline.name, &input),
        deadline: shared.clock.instant(spec.deadline_at_ms),
        spec,
        account,
    };
    shared.tasks.spawn(async move {
        request.run(dedup_key, updates).await;
        drop(guard);
    });
    receiver
}

impl Request {
    async fn run(self, dedup_key: DedupKey, updates: mpsc::UnboundedSender<Update>) {
        let resolution = match dedup_key {
            DedupKey::Key(key) => self.claim(key, &updates).await,
            DedupKey::Ticket(id) => self.redeem(id).await,
        };
        self.log(&resolution);
        match resolution {
            Resolution::Run(right) => {
                let Self {
                    shared,
                    spec,
                    account,
                    ..
                } = self;
                runner::run(&shared, spec, account, Some(right), updates).await;
            }
            Resolution::Answer(answer) => {
                self.account.record_completion(&completion_of(&answer));
                // The receiver is dropped when the caller has disconnected.
                let _ = updates.send(Update::Given(answer));
            }
        }
    }

    fn log(&self, resolution: &Resolution) {
        let (choice, reason) = match resolution {
            Resolution::Run(_) => ("run", None),
            Resolution::Answer(answer) => (answer.outcome.as_str(), answer.reason.as_deref()),
        };
        metrics::counter!("savoryvane_decisions_total", "kind" => "claim", "reason" => choice)
            .increment(1);
        info!(self.shared.log, "decision"; "kind" => "claim",
            "request" => %self.spec.request, "choice" => choice, "reason" => reason);
    }

    fn start_run(&self, grant: Grant, key: AnswerKey) -> Resolution {
        let (pipeline, deadline_at_ms) = (self.spec.pipeline.clone(), self.spec.deadline_at_ms);
        let right = RunRight::new(&self.shared, grant, key, pipeline, deadline_at_ms);
        Resolution::Run(Arc::new(right))
    }

    /// Returns the recorded answer of a run that has ended. Without the body,
    /// even a complete run is reported with an unknown outcome.
    fn recorded(&self, completion: &claim::Completion) -> Box<Answer> {
        let body = completion.answer.as_deref();
        match body.map(serde_json::from_slice::<Answer>) {
            Some(Ok(answer)) => self.with_own_id(Answer {
                outcome: completion.outcome,
                ..answer
            }),
            Some(Err(_)) | None => self.answer(Outcome::Unknown, ANSWER_NOT_RETAINED),
        }
    }

    /// Returns the answer of another request under the ID of this request.
    fn with_own_id(&self, answer: Answer) -> Box<Answer> {
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
    let is_final = matches!(
        reason,
        REUSED | TICKET_NOT_VALID | ticketed::ISSUER_UNREACHABLE
    );
    Answer {
        request_id: request.clone(),
        outcome,
        reason: Some(reason.to_owned()),
        output: None,
        retry_after_ms: (outcome.is_safe_to_repeat() && !is_final).then_some(RETRY_AFTER_MS),
        stages: Vec::new(),
    }
}

/// Returns the completion to account for a request that was answered without a
/// run of its own.
fn completion_of(answer: &Answer) -> Completion {
    Completion {
        outcome: answer.outcome,
        reason: None,
        output: None,
        retry_after_ms: answer.retry_after_ms,
        stages: Vec::new(),
    }
}
