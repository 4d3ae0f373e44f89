//! Metrics in the Prometheus text form; one test, since a process has one
//! recorder.

mod common;

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use common::{Deployment, credential, expected, read_answer, read_body, send, submit};
use http::{Method, StatusCode};
use savoryvane_standins::client::Version;
use serde_json::json;
use tokio::time;

/// More workspaces than have metrics of their own.
const WORKSPACES: usize = 300;
const MAX_LABELLED: usize = 256;
const AT_ONCE: usize = 10;

async fn metrics(deployment: &Deployment) -> String {
    let addr = deployment.admin();
    let reply = send(Version::Http1, addr, Method::GET, "/metrics", "", &[]).await;
    assert_eq!(reply.status(), StatusCode::OK);
    String::from_utf8(read_body(reply).await.to_vec()).unwrap()
}

async fn ask_as(caller: SocketAddr, name: String) {
    let bearer = format!("Bearer {}", credential(&name));
    let headers = [
        ("x-workspace", name.as_str()),
        ("authorization", bearer.as_str()),
    ];
    let input = json!(name);
    let (_, answer) = read_answer(submit(caller, "quote", &input, &headers).await).await;
    assert_eq!(answer.output, Some(expected(&input)));
}

#[tokio::test]
async fn requests_show_with_bounded_labels() {
    let deployment = Deployment::start().await;
    deployment.ask(&json!(1)).await;
    let frozen = savoryvane_standins::BackendFaults {
        freeze: true,
        ..Default::default()
    };
    deployment
        .backends
        .iter()
        .for_each(|x| x.set_faults(frozen.clone()));
    submit(
        deployment.caller(),
        "quote",
        &json!(2),
        &[("x-deadline-ms", "1000")],
    )
    .await;
    deployment
        .backends
        .iter()
        .for_each(|x| x.set_faults(Default::default()));

    let text = metrics(&deployment).await;
    for line in [
        "savoryvane_requests_total{workspace=\"vakwerk\",pipeline=\"quote\",outcome=\"complete\"} 1",
        "savoryvane_requests_total{workspace=\"vakwerk\",pipeline=\"quote\",outcome=\"failed\"} 1",
        "savoryvane_requests_attained_total{workspace=\"vakwerk\",pipeline=\"quote\"} 1",
        "savoryvane_request_seconds_count{workspace=\"vakwerk\",pipeline=\"quote\"} 2",
        "savoryvane_requests_in_flight 0",
    ] {
        assert!(text.contains(line), "{line}\n{text}");
    }
    for name in [
        "stage_seconds_bucket",
        "stage_calls_total",
        "stage_cost_micros_total",
    ] {
        for stage in ["encode", "generate"] {
            let series = format!(
                "savoryvane_{name}{{workspace=\"vakwerk\",pipeline=\"quote\",stage=\"{stage}\""
            );
            assert!(text.contains(&series), "{series}\n{text}");
        }
    }
    let queue = async {
        while !metrics(&deployment)
            .await
            .contains("savoryvane_pool_queue{pool=\"encode\"}")
        {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(Duration::from_secs(10), queue).await.unwrap();

    let workspace = |index| {
        let name = format!("workshop-{index}");
        json!({ "name": name, "credential_sha256": common::sha256(&credential(&name)),
            "pipelines": ["quote"], "weight": 1, "quota_per_s": 1000 })
    };
    let workspaces: Vec<_> = (0..WORKSPACES).map(workspace).collect();
    deployment
        .confirm(&json!({ "workspaces": workspaces }))
        .await;
    let caller = deployment.caller();
    for start in (0..WORKSPACES).step_by(AT_ONCE) {
        let asks: Vec<_> = (start..start + AT_ONCE)
            .map(|index| tokio::spawn(ask_as(caller, format!("workshop-{index}"))))
            .collect();
        for ask in asks {
            ask.await.unwrap();
        }
    }

    let text = metrics(&deployment).await;
    let labelled: HashSet<_> = text
        .split("workspace=\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
        .collect();
    assert!(labelled.contains("other"));
    assert!(labelled.len() <= MAX_LABELLED + 1, "{}", labelled.len());
}
