//! No result is lost, doubled or mixed while backend servers answer wrongly.

mod common;

use std::collections::BTreeMap;

use common::{Deployment, expected, read_answer, read_body, send, submit};
use http::{Method, StatusCode};
use savoryvane_core::outcome::Outcome;
use savoryvane_standins::{BackendFaults, Mislabel, client::Version};
use savoryvane_wire::caller::{Answer, AnswerEvent};
use serde_json::{Value, json};

const REQUESTS: u32 = 24;
/// Streams at the same time when each may need a retry; the retries that an
/// instance may send before any traffic has earned them are few more.
const CUT_STREAMS: u32 = 8;
const STREAM: [(&str, &str); 1] = [("accept", "application/x-ndjson")];
/// Index of the first generating backend server.
const GENERATE: usize = 6;

/// Sets faults on the first backend server of each stage.
fn fault_first(deployment: &Deployment, faults: &BackendFaults) {
    for backend in deployment.backends.iter().step_by(2) {
        backend.set_faults(faults.clone());
    }
}

fn fault_all(deployment: &Deployment, faults: &BackendFaults) {
    for backend in &deployment.backends {
        backend.set_faults(faults.clone());
    }
}

/// Checks that a stream is whole: each token once and in order, and a final
/// answer that they make up.
fn read_stream(body: &[u8]) -> (u32, Answer) {
    let lines = body.split(|byte| *byte == b'\n').filter(|x| !x.is_empty());
    let mut text = String::new();
    let mut tokens = 0;
    let mut last = None;
    for line in lines {
        assert!(last.is_none(), "something follows the final answer");
        match serde_json::from_slice(line).unwrap() {
            AnswerEvent::Token { index, text: token } => {
                assert_eq!(index, tokens);
                tokens += 1;
                text.push_str(&token);
            }
            AnswerEvent::Final(answer) => last = Some(answer),
        }
    }
    let answer = last.expect("a final answer");
    if answer.outcome == Outcome::Complete {
        assert_eq!(answer.output, Some(json!(text)));
    }
    (tokens, answer)
}

/// Sends requests at the same time, every other one streamed, and checks that
/// what is answered as complete is the whole answer to its own request.
async fn ask_many(deployment: &Deployment) -> BTreeMap<&'static str, u32> {
    let addr = deployment.caller();
    let asks: Vec<_> = (0..REQUESTS)
        .map(|number| {
            tokio::spawn(async move {
                let input = json!({ "number": number });
                let answer = if number % 2 == 0 {
                    let reply = submit(addr, "quote", &input, &[]).await;
                    read_answer(reply).await.1
                } else {
                    let reply = submit(addr, "quote", &input, &STREAM).await;
                    read_stream(&read_body(reply).await).1
                };
                let output = (answer.outcome == Outcome::Complete).then(|| expected(&input));
                assert_eq!(answer.output, output);
                answer.outcome.as_str()
            })
        })
        .collect();
    let mut outcomes = BTreeMap::new();
    for ask in asks {
        *outcomes.entry(ask.await.unwrap()).or_insert(0) += 1;
    }
    outcomes
}

/// Returns the value of a counter, summed over its labels.
async fn counter(deployment: &Deployment, name: &str) -> u64 {
    let addr = deployment.admin();
    let reply = send(Version::Http1, addr, Method::GET, "/metrics", "", &[]).await;
    let text = String::from_utf8(read_body(reply).await.to_vec()).unwrap();
    let samples = text.lines().filter(|line| line.starts_with(name));
    samples
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

fn all_complete() -> BTreeMap<&'static str, u32> {
    BTreeMap::from([("complete", REQUESTS)])
}

#[tokio::test]
async fn mislabelled_answers_reach_nobody() {
    for mislabel in [Mislabel::Request, Mislabel::Stage, Mislabel::Attempt] {
        let deployment = Deployment::start().await;
        // So that there are other requests to be mistaken for.
        assert_eq!(ask_many(&deployment).await, all_complete());
        let name = "savoryvane_bad_answers_total{kind=\"foreign\"}";
        let before = counter(&deployment, name).await;
        fault_first(
            &deployment,
            &BackendFaults {
                mislabel: Some(mislabel),
                ..BackendFaults::default()
            },
        );

        let outcomes = ask_many(&deployment).await;

        assert!(outcomes["complete"] > 0, "{outcomes:?}");
        assert!(!outcomes.contains_key("unknown"), "{outcomes:?}");
        let after = counter(&deployment, name).await;
        assert!(after > before, "{mislabel:?}: nothing was mislabelled");
    }
}

#[tokio::test]
async fn answers_split_at_any_byte_are_whole() {
    let deployment = Deployment::start().await;
    fault_all(
        &deployment,
        &BackendFaults {
            max_write_bytes: 1,
            ..BackendFaults::default()
        },
    );
    assert_eq!(ask_many(&deployment).await, all_complete());
}

#[tokio::test]
async fn duplicated_events_are_used_once() {
    let deployment = Deployment::start().await;
    fault_all(
        &deployment,
        &BackendFaults {
            duplicate_per_mille: 500,
            ..BackendFaults::default()
        },
    );
    assert_eq!(ask_many(&deployment).await, all_complete());
}

#[tokio::test]
async fn reordered_events_never_make_a_wrong_answer() {
    let deployment = Deployment::start().await;
    fault_first(
        &deployment,
        &BackendFaults {
            reorder: true,
            ..BackendFaults::default()
        },
    );
    let outcomes = ask_many(&deployment).await;
    assert!(outcomes["complete"] > 0, "{outcomes:?}");
}

#[tokio::test]
async fn garbage_in_answers_is_refused_and_bounded() {
    for (garbage_bytes, kind) in [(10, "malformed"), (4 << 20, "oversized")] {
        let deployment = Deployment::start().await;
        let name = format!("savoryvane_bad_answers_total{{kind=\"{kind}\"}}");
        let before = counter(&deployment, &name).await;
        fault_first(
            &deployment,
            &BackendFaults {
                garbage_bytes,
                ..BackendFaults::default()
            },
        );
        let outcomes = ask_many(&deployment).await;
        assert!(outcomes["complete"] > 0, "{outcomes:?}");
        let after = counter(&deployment, &name).await;
        assert!(after > before, "{kind}: nothing was refused");
    }
}

#[tokio::test]
async fn stream_that_is_cut_off_is_resumed_elsewhere() {
    let deployment = Deployment::start().await;
    deployment.backends[GENERATE].set_faults(BackendFaults {
        cut_after_events: Some(3),
        ..BackendFaults::default()
    });
    let addr = deployment.caller();
    let asks: Vec<_> = (0..CUT_STREAMS)
        .map(|number| {
            tokio::spawn(async move {
                let input = json!({ "resume": number });
                let reply = submit(addr, "quote", &input, &STREAM).await;
                let (tokens, answer) = read_stream(&read_body(reply).await);
                assert_eq!(answer.output, Some(expected(&input)), "{answer:?}");
                assert!(tokens > 3);
            })
        })
        .collect();
    for ask in asks {
        ask.await.unwrap();
    }
    let ran = deployment.backends[GENERATE + 1].ran();
    let from: Vec<_> = ran.iter().map(|call| call.resume_from).collect();
    assert!(from.iter().any(|from| *from > 0), "{from:?}");
}

#[tokio::test]
async fn stream_that_cannot_be_resumed_is_never_given_as_whole() {
    let deployment = Deployment::start().await;
    for backend in &deployment.backends[GENERATE..] {
        backend.set_faults(BackendFaults {
            cut_after_events: Some(1),
            ..BackendFaults::default()
        });
    }
    let reply = submit(deployment.caller(), "quote", &json!(1), &STREAM).await;
    let (tokens, answer) = read_stream(&read_body(reply).await);
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
        let leavers: Vec<_> = (0..8)
            .map(|number| {
                let addr = deployment.caller();
                let input: Value = json!({ "gone": number, "round": round });
                tokio::spawn(async move { submit(addr, "quote", &input, &STREAM).await })
            })
            .collect();
        for leaver in leavers {
            // Dropped with its tokens on the way.
            drop(leaver.await.unwrap());
        }
        assert_eq!(ask_many(&deployment).await, all_complete());
    }
}
