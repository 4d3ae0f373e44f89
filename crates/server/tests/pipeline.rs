//! Plain and streamed requests through a complete pipeline.

mod common;

use common::{Deployment, expected, read_answer, read_body, submit, submit_over};
use http::StatusCode;
use savoryvane_core::outcome::Outcome;
use savoryvane_standins::client::Version;
use savoryvane_wire::caller::AnswerEvent;
use serde_json::json;

#[tokio::test]
async fn plain_answer_has_output_and_usage_per_stage() {
    let deployment = Deployment::start().await;
    let input = json!({ "text": "gilded sign of a bakery" });

    let (status, answer) = deployment.request_quote(&input).await;

    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer.outcome, Outcome::Complete);
    assert_eq!(answer.output, Some(expected(&input)));
    let stages: Vec<_> = answer.stages.iter().map(|x| x.stage.as_str()).collect();
    assert_eq!(stages, ["encode", "retrieve", "rerank", "generate"]);
    assert!(answer.stages.iter().all(|x| x.calls == 1 && x.busy_us > 0));
}

#[tokio::test]
async fn streamed_tokens_concatenate_to_the_final_answer() {
    let deployment = Deployment::start().await;
    let input = json!({ "text": "rehearsal room on friday" });

    for version in [Version::Http1, Version::Http2] {
        let accept = [("accept", "application/x-ndjson")];
        let response = submit_over(version, deployment.caller(), "quote", &input, &accept).await;
        assert_eq!(response.status(), StatusCode::OK);
        let body = read_body(response).await;
        let mut text = String::new();
        let mut final_answer = None;
        for (expected_index, line) in body.split(|byte| *byte == b'\n').enumerate() {
            if line.is_empty() {
                continue;
            }
            match serde_json::from_slice(line).unwrap() {
                AnswerEvent::Token { index, text: token } => {
                    assert_eq!(index as usize, expected_index);
                    text.push_str(&token);
                }
                AnswerEvent::Final(answer) => final_answer = Some(answer),
            }
        }
        let answer = final_answer.expect("a final event");
        assert_eq!(answer.outcome, Outcome::Complete);
        assert_eq!(answer.output, Some(json!(text)));
        assert_eq!(answer.output, Some(expected(&input)));
    }
}

#[tokio::test]
async fn concurrent_requests_each_get_their_own_answer() {
    let deployment = Deployment::start().await;
    let addr = deployment.caller();
    let requests = (0..64).map(|number| {
        tokio::spawn(async move {
            let input = json!({ "number": number });
            let (_, answer) = read_answer(submit(addr, "quote", &input, &[]).await).await;
            assert_eq!(answer.output, Some(expected(&input)), "{answer:?}");
        })
    });
    for request in requests.collect::<Vec<_>>() {
        request.await.unwrap();
    }
}

#[tokio::test]
async fn an_instance_started_later_gets_the_configuration() {
    let mut deployment = Deployment::start().await;
    deployment.add_instance("entry-2").await;
    deployment.wait_ready().await;
    let input = json!("late");

    let caller = deployment.instances[1].addresses().caller;
    let (status, answer) = read_answer(submit(caller, "quote", &input, &[]).await).await;

    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer.output, Some(expected(&input)));
}
