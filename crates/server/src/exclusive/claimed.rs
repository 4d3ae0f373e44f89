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

use super::{REUSED, Request, Way};
use crate::{
    answers::{AnswerKey, Found},
    claims::Claiming,
    run_right::Hold,
    runner::Update,
};

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

impl Request {
    /// Claims the key and waits for what is decided.
    pub(super) async fn claim(
        &self,
        key: IdempotencyKey,
        updates: &mpsc::UnboundedSender<Update>,
    ) -> Way {
        let claims = &self.shared.claims;
        let hash = KeyHash::of(&self.spec.workspace, &key);
        let ask = ClaimRequest {
            key: hash,
            fingerprint: self.fingerprint,
            deadline_ms: self.spec.deadline_at_ms,
        };
        let Claiming {
            attempt,
            mut decisions,
        } = claims.begin(self.now_ms(), ask);
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
}

fn parsed(body: &[u8]) -> Fetched {
    match serde_json::from_slice(body) {
        Ok(answer) => Fetched::Answer(Box::new(answer)),
        Err(_) => Fetched::Absent,
    }
}

async fn pending_or(fetch: &mut Option<Fetch>) -> Fetched {
    match fetch {
        Some(fetch) => fetch.await,
        None => std::future::pending().await,
    }
}
