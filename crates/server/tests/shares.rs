//! Workspace shares and prefix-aware routing take effect in a running instance, not
//! only in the core.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Deployment, credential, read_answer, read_body, send, submit};
use savoryvane_core::{decision::DecisionReason, outcome::Outcome};
use savoryvane_standins::{BackendFaults, client::Version};
use savoryvane_wire::caller::Answer;
use serde_json::{Value, json};

/// Number of concurrent requests per flood; the engines have 16 slots in total.
const FLOOD_REQUESTS: usize = 400;
/// Maximum number of floods until a request is refused because of the share.
const MAX_FLOODS: usize = 20;

/// Sends one request of `workspace` to pipeline `quote`.
async fn request_as(addr: SocketAddr, workspace: &'static str, input: Value) -> Answer {
    let authorization = format!("Bearer {}", credential(workspace));
    let headers = [
        ("x-workspace", workspace),
        ("authorization", authorization.as_str()),
    ];
    read_answer(submit(addr, "quote", &input, &headers).await)
        .await
        .1
}

fn is_over_share(answer: &Answer) -> bool {
    let reason = answer.reason.as_deref();
    reason.is_some_and(|reason| reason.contains(DecisionReason::OverShare.as_str()))
}

#[tokio::test]
async fn a_flooding_workspace_is_refused_for_its_share_and_another_is_not() {
    let deployment = Deployment::start().await;
    let mut intent = deployment.intent();
    intent["workspaces"][1]["pipelines"] = json!(["quote"]);
    deployment.confirm(&intent).await;
    let addr = deployment.caller();
    // Warm-up calls give the instance service-time estimates for both workspaces on
    // every engine.
    for number in 0..8 {
        for workspace in ["vakwerk", "taalghar"] {
            let answer = request_as(addr, workspace, json!({ "warm": number })).await;
            assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        }
    }
    for backend in &deployment.backends {
        backend.set_faults(BackendFaults {
            slow_per_mille: 10_000,
            ..BackendFaults::default()
        });
    }

    let mut is_refused_for_share = false;
    for _ in 0..MAX_FLOODS {
        let flood: Vec<_> = (0..FLOOD_REQUESTS)
            .map(|number| tokio::spawn(request_as(addr, "vakwerk", json!({ "flood": number }))))
            .collect();
        let other = request_as(addr, "taalghar", json!("in between")).await;
        assert!(!is_over_share(&other), "{other:?}");
        for answer in flood {
            is_refused_for_share |= is_over_share(&answer.await.unwrap());
        }
        if is_refused_for_share {
            return;
        }
    }
    panic!("nothing was refused for the share");
}

/// Makes an engine cache the prefix of `input` with a direct call.
async fn warm_prefix_cache(engine: SocketAddr, input: &Value) {
    let call = json!({
        "request": "warm", "stage": "generate", "attempt": 1, "kind": "generate", "model": "chat",
        "input": input, "previous": null, "max_tokens": 1, "deadline_ms": 5_000,
    });
    let method = http::Method::POST;
    let response = send(
        Version::Http1,
        engine,
        method,
        "/v1/run",
        &call.to_string(),
        &[],
    )
    .await;
    assert_eq!(response.status(), http::StatusCode::OK);
    read_body(response).await;
}

#[tokio::test]
async fn prompts_with_a_cached_prefix_go_to_the_engine_that_has_it() {
    let deployment = Deployment::start().await;
    let addr = deployment.caller();
    let engines = &deployment.backends[6..];
    let first = request_as(addr, "vakwerk", json!("no prefix")).await;
    assert_eq!(first.outcome, Outcome::Complete, "{first:?}");
    // Caches the prefix on the engine that is not selected when both are idle.
    let other = usize::from(!engines[0].ran().is_empty());
    warm_prefix_cache(engines[other].addr(), &json!({ "prefix": "rules" })).await;
    // Cache events are delayed by half a second and are read once per second.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let calls_before = engines[other].ran().len();

    for number in 0..10 {
        let input = json!({ "prefix": "rules", "ask": number });
        let answer = request_as(addr, "vakwerk", input).await;
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    }

    assert_eq!(engines[other].ran().len(), calls_before + 10);
}
