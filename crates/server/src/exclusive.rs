//! Runs a request that may not be run twice: under a claim of its idempotency
//! key, or under a ticket.

use std::{pin::Pin, sync::Arc, time::Duration};

use savoryvane_core::{
    claim::{self, Fingerprint, KeyHash},
    claimant::{Attempt, ClaimReason, ClaimRequest, Decision, Ending, FirstRun},
    execution::{Completion, ExecutionSpec},
    ids::{IdempotencyKey, RequestId},
    outcome::Outcome,
    ticket::{Redemption, TicketId},
};
use savoryvane_wire::{
    caller::{Answer, Submission},
    peer::{AnswerQuery, AnswerState, Message, TicketRun},
};
use slog::info;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    answers::{AnswerKey, Found},
    controller::{self, Account, Admitted, Head},
    instance::{InFlight, Shared},
    run_right::{Hold, RunRight},
    runner::{self, Update},
};

/// Reason of an answer to a key or ticket that was used for another request.
pub(crate) const REUSED: &str = "key_reused";
/// Reason of an answer to a ticket that can't be used.
pub(crate) const TICKET_NOT_VALID: &str = "ticket_not_valid";
const TICKET_ISSUER_GONE: &str = "ticket_issuer_gone";
const TICKET_ISSUER_SILENT: &str = "ticket_issuer_silent";
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

/// What another instance knows of the first run.
enum Fetched {
    Answer(Box<Answer>),
    /// It lives, and has no run under the key.
    Absent,
    Gone,
}

/// What a request that waits for its claim is told next.
enum Wake {
    Decided(Option<Decision>),
    Fetched(Fetched),
    Ended(ClaimReason),
}

type Fetch = Pin<Box<dyn Future<Output = Fetched> + Send>>;

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
                self.account.close(&completion_of(&answer));
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

    async fn claim(&self, key: IdempotencyKey, updates: &mpsc::UnboundedSender<Update>) -> Way {
        let claims = &self.shared.claims;
        let hash = KeyHash::of(&self.spec.workspace, &key);
        let ask = ClaimRequest {
            key: hash,
            fingerprint: self.fingerprint,
            deadline_ms: self.spec.deadline_at_ms,
        };
        let (attempt, mut decisions) = claims.begin(self.now_ms(), ask);
        let mut fetch: Option<Fetch> = None;
        loop {
            let wake = tokio::select! {
                biased;
                decision = decisions.recv() => Wake::Decided(decision),
                fetched = pending_or(&mut fetch) => Wake::Fetched(fetched),
                () = time::sleep_until(self.deadline) => Wake::Ended(ClaimReason::Deadline),
                () = updates.closed() => Wake::Ended(ClaimReason::CallerGone),
            };
            let decision = match wake {
                Wake::Decided(Some(decision)) => decision,
                Wake::Decided(None) => return self.end_attempt(attempt, ClaimReason::NotHolder),
                Wake::Ended(reason) => return self.end_attempt(attempt, reason),
                Wake::Fetched(Fetched::Answer(answer)) => {
                    self.end_attempt(attempt, ClaimReason::NothingSent);
                    return Way::Answer(self.own(*answer));
                }
                Wake::Fetched(fetched) => {
                    fetch = None;
                    let known = match fetched {
                        Fetched::Gone => claims.holder_gone(self.now_ms(), attempt),
                        Fetched::Answer(_) | Fetched::Absent => claims.recorded(attempt),
                    };
                    match known {
                        Some(decision) => decision,
                        None => continue,
                    }
                }
            };
            match decision {
                Decision::Won => return self.win(Hold::Claim(attempt), AnswerKey::Key(hash)),
                Decision::Join(first) => fetch = Some(self.fetch(first, key.clone(), hash)),
                decision => {
                    claims.forget(attempt);
                    return Way::Answer(self.decided(decision));
                }
            }
        }
    }

    fn win(&self, hold: Hold, key: AnswerKey) -> Way {
        let (pipeline, deadline_at_ms) = (self.spec.pipeline.clone(), self.spec.deadline_at_ms);
        let right = RunRight::new(&self.shared, hold, key, pipeline, deadline_at_ms);
        Way::Run(Arc::new(right))
    }

    fn end_attempt(&self, attempt: Attempt, reason: ClaimReason) -> Way {
        let ending = self.shared.claims.give_up(self.now_ms(), attempt, reason);
        let outcome = ending.map_or(Outcome::NotStarted, |ending| ending.outcome);
        Way::Answer(self.answer(outcome, reason.as_str()))
    }

    /// Asks the instance that has the first run for its answer.
    fn fetch(&self, first: FirstRun, key: IdempotencyKey, hash: KeyHash) -> Fetch {
        let (shared, deadline) = (Arc::clone(&self.shared), self.deadline);
        let workspace = self.spec.workspace.clone();
        Box::pin(async move {
            if first.id.incarnation == shared.incarnation {
                return match shared.answers.wait(&AnswerKey::Key(hash), deadline).await {
                    Found::Ended(body) => parsed(&body),
                    Found::Absent | Found::InFlight => Fetched::Absent,
                };
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let query = Message::AnswerQuery(AnswerQuery {
                workspace,
                key,
                wait_ms: left.as_millis() as u64,
            });
            let incarnation = Some(first.id.incarnation);
            let peers = shared.members.peers();
            match peers
                .request(&first.instance, incarnation, &query, left)
                .await
            {
                Ok(Message::AnswerState(AnswerState::Answered(body))) => parsed(&body),
                Ok(Message::AnswerState(AnswerState::Absent | AnswerState::InFlight)) => {
                    Fetched::Absent
                }
                Ok(_) | Err(_) => Fetched::Gone,
            }
        })
    }

    /// Answers from a final decision.
    fn decided(&self, decision: Decision) -> Box<Answer> {
        match decision {
            Decision::Recorded(completion) => self.recorded(&completion),
            Decision::Misuse => self.answer(Outcome::NotStarted, REUSED),
            Decision::Ended(Ending { outcome, reason }) => self.answer(outcome, reason.as_str()),
            Decision::Won | Decision::Join(_) => {
                self.answer(Outcome::NotStarted, ClaimReason::NotHolder.as_str())
            }
        }
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

    async fn redeem(&self, id: TicketId) -> Way {
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
                    (Found::Ended(body), _) => match parsed(&body) {
                        Fetched::Answer(answer) => self.own(*answer),
                        _ => self.answer(Outcome::Unknown, ANSWER_NOT_KEPT),
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
            Ok(Message::AnswerState(AnswerState::Answered(body))) => match parsed(&body) {
                Fetched::Answer(answer) => self.own(*answer),
                _ => self.answer(Outcome::Unknown, TICKET_ISSUER_SILENT),
            },
            Ok(_) => self.answer(Outcome::Unknown, TICKET_ISSUER_SILENT),
            Err(err) if err.is_nothing_done() => {
                self.answer(Outcome::NotStarted, TICKET_ISSUER_GONE)
            }
            Err(_) => self.answer(Outcome::Unknown, TICKET_ISSUER_SILENT),
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
    let is_final = matches!(reason, REUSED | TICKET_NOT_VALID | TICKET_ISSUER_GONE);
    Answer {
        request_id: request.clone(),
        outcome,
        reason: Some(reason.to_owned()),
        output: None,
        retry_after_ms: (outcome.is_safe_to_repeat() && !is_final).then_some(RETRY_AFTER_MS),
        stages: Vec::new(),
    }
}

fn parsed(body: &[u8]) -> Fetched {
    match serde_json::from_slice(body) {
        Ok(answer) => Fetched::Answer(Box::new(answer)),
        Err(_) => Fetched::Absent,
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

async fn pending_or(fetch: &mut Option<Fetch>) -> Fetched {
    match fetch {
        Some(fetch) => fetch.await,
        None => std::future::pending().await,
    }
}

/// Answers a peer that asks for the answer under a key.
pub(crate) async fn answer_state(
    shared: &Shared,
    query: AnswerQuery,
    wait: Duration,
) -> AnswerState {
    let key = AnswerKey::Key(KeyHash::of(&query.workspace, &query.key));
    let wait = wait.min(Duration::from_millis(query.wait_ms));
    match shared.answers.wait(&key, Instant::now() + wait).await {
        Found::Ended(body) => AnswerState::Answered(body.to_vec()),
        Found::InFlight => AnswerState::InFlight,
        Found::Absent => AnswerState::Absent,
    }
}

/// Runs a request that a peer passes on with a ticket of this instance.
pub(crate) async fn run_forwarded(shared: &Arc<Shared>, run: TicketRun) -> AnswerState {
    let request = run.request.clone();
    let answer = match forwarded(shared, run) {
        Ok(updates) => final_of(updates, &request).await,
        Err(reason) => plain_answer(&request, Outcome::NotStarted, &reason),
    };
    AnswerState::Answered(serde_json::to_vec(&answer).unwrap_or_default())
}

fn forwarded(
    shared: &Arc<Shared>,
    run: TicketRun,
) -> Result<mpsc::UnboundedReceiver<Update>, String> {
    let id = TicketId::parse(&run.ticket).ok_or(TICKET_NOT_VALID)?;
    // One that isn't ours would go on from instance to instance.
    if id.incarnation != shared.incarnation {
        return Err(TICKET_NOT_VALID.to_owned());
    }
    let body: Submission = serde_json::from_slice(&run.body).map_err(|_| "bad_body")?;
    let head = Head {
        request: run.request,
        workspace: run.workspace,
        credential: None,
        pipeline: run.pipeline,
        deadline_ms: Some(run.deadline_ms.max(1)),
        warrant: Some(Warrant::Ticket(id)),
        arrived_at_ms: shared.clock.now_ms(),
    };
    let admitted: Admitted = controller::admit(shared, head).map_err(|refusal| refusal.code())?;
    Ok(controller::execute(shared, admitted, body.input))
}

async fn final_of(mut updates: mpsc::UnboundedReceiver<Update>, request: &RequestId) -> Answer {
    while let Some(update) = updates.recv().await {
        match update {
            Update::Token { .. } => {}
            Update::Final(completion) => return crate::caller::final_answer(request, *completion),
            Update::Given(answer) => return *answer,
        }
    }
    plain_answer(request, Outcome::Unknown, TICKET_ISSUER_SILENT)
}
