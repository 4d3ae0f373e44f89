//! Serves requests of peers for the answer under a key and for the run of a
//! ticket.

use std::{sync::Arc, time::Duration};

use savoryvane_core::{
    caller_memory::{HolderState, Multiplexing},
    claim::KeyHash,
    ids::RequestId,
    outcome::Outcome,
    ticket::TicketId,
};
use savoryvane_wire::{
    caller::Answer,
    peer::{AnswerQuery, AnswerState, TicketRun},
};
use tokio::{sync::mpsc, time::Instant};

use super::{DedupKey, plain_answer, ticketed::ISSUER_UNRESPONSIVE};
use crate::{
    answers::{AnswerKey, Found},
    caller::{self, final_answer},
    caller_memory::{Evicted, MemoryCharge},
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
    let charge = charge_forwarded(shared, run.body.len())?;
    let (body, charge) = caller::parse_submission(&run.body, charge)?;
    let head = Head {
        request: run.request,
        workspace: run.workspace,
        credential: None,
        pipeline: run.pipeline,
        deadline_ms: Some(run.deadline_ms.max(1)),
        warrant: Some(DedupKey::Ticket(id)),
        arrived_at_ms: shared.clock.now_ms(),
    };
    let mut admitted = controller::admit(shared, head)?;
    admitted.hold_input(charge);
    let mut digest = admitted.digest();
    digest.update(&run.body);
    Ok(controller::execute(
        shared,
        admitted,
        body.input,
        digest.finish(),
    ))
}

/// Charges a body that a peer forwarded. The peer has its own account, and those of all peers
/// together may exceed the memory of this instance.
fn charge_forwarded(shared: &Shared, body_bytes: usize) -> Result<MemoryCharge, Refusal> {
    let held = shared.caller_memory.add_request(Multiplexing::Many);
    let held = held.ok_or(Refusal::Overloaded)?;
    held.set_state(HolderState::Serving);
    let mut charge = MemoryCharge::new(&Arc::new(held));
    charge
        .try_grow(body_bytes as u64)
        .map_err(|Evicted| Refusal::Overloaded)?;
    Ok(charge)
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
