//! Runs a request under a claim of its idempotency key, or joins the first run.

use std::{pin::Pin, sync::Arc};

use savoryvane_core::{
    claim::KeyHash,
    claimant::{Attempt, ClaimReason, ClaimRequest, Decision, Ending, FirstRun},
    ids::IdempotencyKey,
    outcome::Outcome,
};
use savoryvane_wire::{
    caller::Answer,
    peer::{AnswerQuery, AnswerState, Message},
};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use super::{REUSED, Request, Resolution};
use crate::{
    answers::{AnswerKey, Found},
    claims::PendingClaim,
    run_right::Grant,
    runner::Update,
};

/// Result of the request for the first run's answer.
enum FetchResult {
    Answer(Box<Answer>),
    /// The instance is reachable but has no answer under the key.
    Absent,
    /// The instance did not respond.
    Unreachable,
}

/// Event that a request receives while it waits for its claim.
enum WakeEvent {
    Decided(Option<Decision>),
    FetchResult(FetchResult),
    Ended(ClaimReason),
}

type Fetch = Pin<Box<dyn Future<Output = FetchResult> + Send>>;

impl Request {
    /// Claims the key and waits for a final decision.
    pub(super) async fn claim(
        &self,
        key: IdempotencyKey,
        updates: &mpsc::UnboundedSender<Update>,
    ) -> Resolution {
        let claims = &self.shared.claims;
        let hash = KeyHash::of(&self.spec.workspace, &key);
        let request = ClaimRequest {
            key: hash,
            fingerprint: self.fingerprint,
            deadline_ms: self.spec.deadline_at_ms,
        };
        let PendingClaim {
            attempt,
            mut decisions,
        } = claims.begin(self.now_ms(), request);
        let mut fetch: Option<Fetch> = None;
        loop {
            let wake = tokio::select! {
                biased;
                decision = decisions.recv() => WakeEvent::Decided(decision),
                fetched = poll_fetch(&mut fetch) => WakeEvent::FetchResult(fetched),
                () = time::sleep_until(self.deadline) => WakeEvent::Ended(ClaimReason::Deadline),
                () = updates.closed() => WakeEvent::Ended(ClaimReason::CallerGone),
            };
            let decision = match wake {
                WakeEvent::Decided(Some(decision)) => decision,
                WakeEvent::Decided(None) => {
                    return self.end_attempt(attempt, ClaimReason::NotHolder);
                }
                WakeEvent::Ended(reason) => return self.end_attempt(attempt, reason),
                WakeEvent::FetchResult(FetchResult::Answer(answer)) => {
                    self.end_attempt(attempt, ClaimReason::NothingSent);
                    return Resolution::Answer(self.with_own_id(*answer));
                }
                WakeEvent::FetchResult(fetched) => {
                    fetch = None;
                    let decision = match fetched {
                        FetchResult::Unreachable => {
                            claims.on_holder_unreachable(self.now_ms(), attempt)
                        }
                        FetchResult::Answer(_) | FetchResult::Absent => claims.recorded(attempt),
                    };
                    match decision {
                        Some(decision) => decision,
                        None => continue,
                    }
                }
            };
            match decision {
                Decision::Won => {
                    return self.start_run(Grant::Claim(attempt), AnswerKey::Key(hash));
                }
                Decision::Join(first) => fetch = Some(self.fetch(first, key.clone(), hash)),
                decision => {
                    claims.unsubscribe(attempt);
                    return Resolution::Answer(self.answer_decision(decision));
                }
            }
        }
    }

    fn end_attempt(&self, attempt: Attempt, reason: ClaimReason) -> Resolution {
        let ending = self.shared.claims.give_up(self.now_ms(), attempt, reason);
        let outcome = ending.map_or(Outcome::NotStarted, |ending| ending.outcome);
        Resolution::Answer(self.answer(outcome, reason.as_str()))
    }

    /// Requests the answer of the first run from its instance.
    fn fetch(&self, first: FirstRun, key: IdempotencyKey, hash: KeyHash) -> Fetch {
        let (shared, deadline) = (Arc::clone(&self.shared), self.deadline);
        let workspace = self.spec.workspace.clone();
        Box::pin(async move {
            if first.id.incarnation == shared.incarnation {
                return match shared.answers.wait(&AnswerKey::Key(hash), deadline).await {
                    Found::Ended(body) => parse_answer(&body),
                    Found::Absent | Found::InFlight => FetchResult::Absent,
                };
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            let query = Message::AnswerQuery(AnswerQuery {
                workspace,
                key,
                wait_ms: remaining.as_millis() as u64,
            });
            let incarnation = Some(first.id.incarnation);
            let peers = shared.members.peers();
            match peers
                .request(&first.instance, incarnation, &query, remaining)
                .await
            {
                Ok(Message::AnswerState(AnswerState::Answered(body))) => parse_answer(&body),
                Ok(Message::AnswerState(AnswerState::Absent | AnswerState::InFlight)) => {
                    FetchResult::Absent
                }
                Ok(_) | Err(_) => FetchResult::Unreachable,
            }
        })
    }

    /// Returns the answer that follows from a final decision.
    fn answer_decision(&self, decision: Decision) -> Box<Answer> {
        match decision {
            Decision::Recorded(completion) => self.recorded(&completion),
            Decision::Misuse => self.answer(Outcome::NotStarted, REUSED),
            Decision::Ended(Ending { outcome, reason }) => self.answer(outcome, reason.as_str()),
            Decision::Won | Decision::Join(_) => {
                self.answer(Outcome::NotStarted, ClaimReason::NotHolder.as_str())
            }
        }
    }
}

fn parse_answer(body: &[u8]) -> FetchResult {
    match serde_json::from_slice(body) {
        Ok(answer) => FetchResult::Answer(Box::new(answer)),
        Err(_) => FetchResult::Absent,
    }
}

async fn poll_fetch(fetch: &mut Option<Fetch>) -> FetchResult {
    match fetch {
        Some(fetch) => fetch.await,
        None => std::future::pending().await,
    }
}
