//! Tickets that several requests use at the same moment.

mod common;

use std::sync::Arc;

use common::{Deployment, expected, read_answer, request_ticket, submit};
use savoryvane_core::outcome::Outcome;
use savoryvane_wire::caller::Answer;
use serde_json::{Value, json};

const TICKET: &str = "x-ticket";
/// Tickets that are used, one after the other.
const TICKETS: usize = 40;
/// Requests that use each of them at the same moment.
const USERS: usize = 8;

async fn redeem(deployment: &Deployment, input: &Value, ticket: &str) -> Answer {
    let headers = [(TICKET, ticket)];
    let reply = submit(deployment.caller(), "hold", input, &headers).await;
    read_answer(reply).await.1
}

/// Requests that join a run between its beginning and its entry in the books of
/// answers were told that nothing was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn all_who_use_a_ticket_at_the_same_moment_get_its_one_answer() {
    let deployment = Deployment::start().await;
    let intent = deployment.intent();
    deployment.confirm(&intent).await;
    deployment.wait_ready().await;
    let deployment = Arc::new(deployment);
    for number in 0..TICKETS {
        let input = json!({ "ticket": number });
        let ticket = request_ticket(deployment.caller()).await;
        let users: Vec<_> = (0..USERS)
            .map(|_| {
                let (deployment, input) = (Arc::clone(&deployment), input.clone());
                let ticket = ticket.clone();
                tokio::spawn(async move { redeem(&deployment, &input, &ticket).await })
            })
            .collect();
        for user in users {
            let answer = user.await.unwrap();
            assert_eq!(answer.outcome, Outcome::Complete, "{number}: {answer:?}");
            assert_eq!(answer.output, Some(expected(&input)), "{number}");
        }
    }
}
