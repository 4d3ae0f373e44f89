//! Serves requests of peers for the answer under a key and for the run of a
//! ticket.

use std::{sync::Arc, time::Duration};

use savoryvane_core::{claim::KeyHash, ids::RequestId, outcome::Outcome, ticket::TicketId};
use savoryvane_wire::{
    caller::{Answer, Submission},
    peer::{AnswerQuery, AnswerState, TicketRun},
};
use tokio::{sync::mpsc, time::Instant};

use super::{DedupKey, plain_answer, ticketed::ISSUER_UNRESPONSIVE};
use crate::{
    answers::{AnswerKey, Found},
    caller::final_answer,
    controller::{self, Head},
    instance::Shared,
    refusal::Refusal,
    runner::Update,
};

/// Returns the answer under a key to a peer, after at most `wait`.
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

/// Runs a request that a peer forwarded with a ticket of this instance.
pub(crate) async fn run_forwarded(shared: &Arc<Shared>, run: TicketRun) -> AnswerState {
    let request = run.request.clone();
    let answer = match execute_forwarded(shared, run) {
        Ok(updates) => await_final_answer(updates, &request).await,
        Err(refusal) => plain_answer(&request, Outcome::NotStarted, &refusal.code()),
    };
    AnswerState::Answered(serde_json::to_vec(&answer).unwrap_or_default())
}

fn execute_forwarded(
    shared: &Arc<Shared>,
    run: TicketRun,
) -> Result<mpsc::UnboundedReceiver<Update>, Refusal> {
    // Prevents forwarding loops: only tickets of this incarnation run here.
    let id = TicketId::parse(&run.ticket)
        .filter(|id| id.incarnation == shared.incarnation)
        .ok_or(Refusal::TicketNotValid)?;
    let body: Submission = serde_json::from_slice(&run.body).map_err(|_| Refusal::BadBody)?;
    let head = Head {
        request: run.request,
        workspace: run.workspace,
        credential: None,
        pipeline: run.pipeline,
        deadline_ms: Some(run.deadline_ms.max(1)),
        warrant: Some(DedupKey::Ticket(id)),
        arrived_at_ms: shared.clock.now_ms(),
    };
    let admitted = controller::admit(shared, head)?;
    let mut digest = admitted.digest();
    digest.update(&run.body);
    Ok(controller::execute(
        shared,
        admitted,
        body.input,
        digest.finish(),
    ))
}

async fn await_final_answer(
    mut updates: mpsc::UnboundedReceiver<Update>,
    request: &RequestId,
) -> Answer {
    while let Some(update) = updates.recv().await {
        match update {
            Update::Token { .. } => {}
            Update::Final(completion) => return final_answer(request, *completion),
            Update::Given(answer) => return *answer,
        }
    }
    plain_answer(request, Outcome::Unknown, ISSUER_UNRESPONSIVE)
}
