//! No result is lost, duplicated or mixed up while backend servers send faulty
//! responses.

mod common;

use std::collections::BTreeMap;

use common::{Deployment, expected, read_answer, read_body, send, submit};
use http::{Method, StatusCode};
use savoryvane_core::outcome::Outcome;
use savoryvane_standins::{BackendFaults, Mislabel, client::Version};
use savoryvane_wire::caller::{Answer, AnswerEvent};
use serde_json::{Value, json};

const REQUESTS: u32 = 24;
/// Number of concurrent streams when each may need a retry. It is slightly below the
/// retry budget that an instance has before any traffic adds to it.
const CUT_STREAMS: u32 = 8;
const STREAM_HEADERS: [(&str, &str); 1] = [("accept", "application/x-ndjson")];
/// Index of the first backend server of the generate stage.
const FIRST_GENERATE_SERVER: usize = 6;

/// Sets faults on the first backend server of each stage.
fn set_first_faults(deployment: &Deployment, faults: &BackendFaults) {
    for backend in deployment.backends.iter().step_by(2) {
        backend.set_faults(faults.clone());
    }
}

fn set_all_faults(deployment: &Deployment, faults: &BackendFaults) {
    for backend in &deployment.backends {
        backend.set_faults(faults.clone());
    }
}

/// Checks that a stream has each token once and in order, and that the tokens
/// concatenate to the final answer. Returns the token count and the answer.
fn read_stream(body: &[u8]) -> (u32, Answer) {
    let lines = body.split(|byte| *byte == b'\n').filter(|x| !x.is_empty());
    let mut text = String::new();
    let mut tokens = 0;
    let mut final_answer = None;
    for line in lines {
        assert!(final_answer.is_none(), "an event follows the final answer");
        match serde_json::from_slice(line).unwrap() {
            AnswerEvent::Token { index, text: token } => {
                assert_eq!(index, tokens);
                tokens += 1;
                text.push_str(&token);
            }
            AnswerEvent::Final(answer) => final_answer = Some(answer),
        }
    }
    let answer = final_answer.expect("a final answer");
    if answer.outcome == Outcome::Complete {
        assert_eq!(answer.output, Some(json!(text)));
    }
    (tokens, answer)
}

/// Sends concurrent requests, every other one streamed, and checks that each
/// complete answer is the full answer to its own request. Counts the outcomes.
async fn send_requests(deployment: &Deployment) -> BTreeMap<&'static str, u32> {
    let addr = deployment.caller();
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            tokio::spawn(async move {
                let input = json!({ "number": number });
                let answer = if number % 2 == 0 {
                    let response = submit(addr, "quote", &input, &[]).await;
                    read_answer(response).await.1
                } else {
                    let response = submit(addr, "quote", &input, &STREAM_HEADERS).await;
                    read_stream(&read_body(response).await).1
                };
                let output = (answer.outcome == Outcome::Complete).then(|| expected(&input));
                assert_eq!(answer.output, output);
                answer.outcome.as_str()
            })
        })
        .collect();
    let mut outcomes = BTreeMap::new();
    for request in requests {
        *outcomes.entry(request.await.unwrap()).or_insert(0) += 1;
    }
    outcomes
}

/// Returns the sum of all samples whose line starts with `name`.
async fn read_counter(deployment: &Deployment, name: &str) -> u64 {
    let addr = deployment.admin();
    let response = send(Version::Http1, addr, Method::GET, "/metrics", "", &[]).await;
    let text = String::from_utf8(read_body(response).await.to_vec()).unwrap();
    let samples = text.lines().filter(|line| line.starts_with(name));
    samples
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

fn all_complete_outcomes() -> BTreeMap<&'static str, u32> {
    BTreeMap::from([("complete", REQUESTS)])
}

#[tokio::test]
async fn mislabelled_answers_reach_nobody() {
    for mislabel in [Mislabel::Request, Mislabel::Stage, Mislabel::Attempt] {
        let deployment = Deployment::start().await;
        // Earlier requests provide other identifiers for the mislabelled answers.
        assert_eq!(send_requests(&deployment).await, all_complete_outcomes());
        let name = "savoryvane_bad_answers_total{kind=\"foreign\"}";
        let count_before = read_counter(&deployment, name).await;
        set_first_faults(
            &deployment,
            &BackendFaults {
                mislabel: Some(mislabel),
                ..BackendFaults::default()
            },
        );

        let outcomes = send_requests(&deployment).await;

        assert!(outcomes["complete"] > 0, "{outcomes:?}");
        assert!(!outcomes.contains_key("unknown"), "{outcomes:?}");
        let count_after = read_counter(&deployment, name).await;
        assert!(
            count_after > count_before,
            "{mislabel:?}: nothing was mislabelled"
        );
    }
}

#[tokio::test]
async fn answers_split_at_any_byte_are_whole() {
    let deployment = Deployment::start().await;
    set_all_faults(
        &deployment,
        &BackendFaults {
            max_write_bytes: 1,
            ..BackendFaults::default()
        },
    );
    assert_eq!(send_requests(&deployment).await, all_complete_outcomes());
}

#[tokio::test]
async fn duplicated_events_are_used_once() {
    let deployment = Deployment::start().await;
    set_all_faults(
        &deployment,
        &BackendFaults {
            duplicate_per_mille: 500,
            ..BackendFaults::default()
        },
    );
    assert_eq!(send_requests(&deployment).await, all_complete_outcomes());
}

#[tokio::test]
async fn reordered_events_never_make_a_wrong_answer() {
    let deployment = Deployment::start().await;
    set_first_faults(
        &deployment,
        &BackendFaults {
            reorder: true,
            ..BackendFaults::default()
        },
    );
    let outcomes = send_requests(&deployment).await;
    assert!(outcomes["complete"] > 0, "{outcomes:?}");
}

#[tokio::test]
async fn garbage_in_answers_is_refused_and_bounded() {
    for (garbage_bytes, kind) in [(10, "malformed"), (4 << 20, "oversized")] {
        let deployment = Deployment::start().await;
        let name = format!("savoryvane_bad_answers_total{{kind=\"{kind}\"}}");
        let count_before = read_counter(&deployment, &name).await;
        set_first_faults(
            &deployment,
            &BackendFaults {
                garbage_bytes,
                ..BackendFaults::default()
            },
        );
        let outcomes = send_requests(&deployment).await;
        assert!(outcomes["complete"] > 0, "{outcomes:?}");
        let count_after = read_counter(&deployment, &name).await;
        assert!(count_after > count_before, "{kind}: nothing was refused");
    }
}

#[tokio::test]
async fn stream_that_is_cut_off_is_resumed_elsewhere() {
    let deployment = Deployment::start().await;
    deployment.backends[FIRST_GENERATE_SERVER].set_faults(BackendFaults {
        cut_after_events: Some(3),
        ..BackendFaults::default()
    });
    let addr = deployment.caller();
    let requests: Vec<_> = (0..CUT_STREAMS)
        .map(|number| {
            tokio::spawn(async move {
                let input = json!({ "resume": number });
                let response = submit(addr, "quote", &input, &STREAM_HEADERS).await;
                let (tokens, answer) = read_stream(&read_body(response).await);
                assert_eq!(answer.output, Some(expected(&input)), "{answer:?}");
                assert!(tokens > 3);
            })
        })
        .collect();
    for request in requests {
        request.await.unwrap();
    }
    let calls = deployment.backends[FIRST_GENERATE_SERVER + 1].ran();
    let resume_positions: Vec<_> = calls.iter().map(|call| call.resume_from).collect();
    assert!(
        resume_positions.iter().any(|position| *position > 0),
        "{resume_positions:?}"
    );
}

#[tokio::test]
async fn stream_that_cannot_be_resumed_is_never_given_as_whole() {
    let deployment = Deployment::start().await;
    for backend in &deployment.backends[FIRST_GENERATE_SERVER..] {
        backend.set_faults(BackendFaults {
            cut_after_events: Some(1),
            ..BackendFaults::default()
        });
    }
    let response = submit(deployment.caller(), "quote", &json!(1), &STREAM_HEADERS).await;
    let (tokens, answer) = read_stream(&read_body(response).await);
    assert!(tokens > 0);
    assert_eq!(answer.outcome, Outcome::Failed);
    assert_eq!(answer.output, None);

    let (status, answer) = deployment.request_quote(&json!(2)).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.outcome, Outcome::Failed);
    assert_eq!(answer.output, None);
}

#[tokio::test]
async fn connections_of_callers_who_left_bring_no_old_answer() {
    let deployment = Deployment::start().await;
    for round in 0..4 {
        let cancelled_requests: Vec<_> = (0..8)
            .map(|number| {
                let addr = deployment.caller();
                let input: Value = json!({ "gone": number, "round": round });
                tokio::spawn(async move { submit(addr, "quote", &input, &STREAM_HEADERS).await })
            })
            .collect();
        for cancelled in cancelled_requests {
            // Drops the response while its tokens are still arriving.
            drop(cancelled.await.unwrap());
        }
        assert_eq!(send_requests(&deployment).await, all_complete_outcomes());
    }
}
