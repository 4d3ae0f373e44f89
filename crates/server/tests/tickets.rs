//! Concurrent use of a ticket by several requests.

mod common;

use std::sync::Arc;

use common::{Deployment, expected, read_answer, request_ticket, submit};
use savoryvane_core::outcome::Outcome;
use savoryvane_wire::caller::Answer;
use serde_json::{Value, json};

const TICKET_HEADER: &str = "x-ticket";
/// Number of tickets, used in sequence.
const TICKETS: usize = 40;
/// Number of concurrent requests per ticket.
const REQUESTS_PER_TICKET: usize = 8;

async fn request_with_ticket(deployment: &Deployment, input: &Value, ticket: &str) -> Answer {
    let headers = [(TICKET_HEADER, ticket)];
    let response = submit(deployment.caller(), "hold", input, &headers).await;
    read_answer(response).await.1
}

/// Guards against a race: a request that arrives between the start of a run and its
/// registration in the answer cache must not be reported as not started.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn concurrent_uses_of_a_ticket_get_the_same_answer() {
    let deployment = Deployment::start().await;
    let intent = deployment.intent();
    deployment.confirm(&intent).await;
    deployment.wait_ready().await;
    let deployment = Arc::new(deployment);
    for number in 0..TICKETS {
        let input = json!({ "ticket": number });
        let ticket = request_ticket(deployment.caller()).await;
        let requests: Vec<_> = (0..REQUESTS_PER_TICKET)
            .map(|_| {
                let (deployment, input) = (Arc::clone(&deployment), input.clone());
                let ticket = ticket.clone();
                tokio::spawn(async move { request_with_ticket(&deployment, &input, &ticket).await })
            })
            .collect();
        for request in requests {
            let answer = request.await.unwrap();
            assert_eq!(answer.outcome, Outcome::Complete, "{number}: {answer:?}");
            assert_eq!(answer.output, Some(expected(&input)), "{number}");
        }
    }
}
