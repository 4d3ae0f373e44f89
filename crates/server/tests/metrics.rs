//! Metrics in the Prometheus text format. There is only one test, because a process
//! has one metrics recorder.

mod common;

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use common::{Deployment, credential, expected, read_answer, read_body, send, submit};
use http::{Method, StatusCode};
use savoryvane_standins::client::Version;
use serde_json::json;
use tokio::time;

/// Number of workspaces, larger than the limit on labelled ones.
const WORKSPACES: usize = 300;
const MAX_LABELLED: usize = 256;
const CONCURRENT_REQUESTS: usize = 10;

async fn fetch_metrics(deployment: &Deployment) -> String {
    let addr = deployment.admin();
    let response = send(Version::Http1, addr, Method::GET, "/metrics", "", &[]).await;
    assert_eq!(response.status(), StatusCode::OK);
    String::from_utf8(read_body(response).await.to_vec()).unwrap()
}

async fn request_as(caller: SocketAddr, name: String) {
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
async fn request_metrics_have_bounded_labels() {
    let deployment = Deployment::start().await;
    deployment.request_quote(&json!(1)).await;
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

    let metrics_text = fetch_metrics(&deployment).await;
    for line in [
        "savoryvane_requests_total{workspace=\"vakwerk\",pipeline=\"quote\",outcome=\"complete\"} 1",
        "savoryvane_requests_total{workspace=\"vakwerk\",pipeline=\"quote\",outcome=\"failed\"} 1",
        "savoryvane_requests_attained_total{workspace=\"vakwerk\",pipeline=\"quote\"} 1",
        "savoryvane_request_seconds_count{workspace=\"vakwerk\",pipeline=\"quote\"} 2",
        "savoryvane_requests_in_flight 0",
    ] {
        assert!(metrics_text.contains(line), "{line}\n{metrics_text}");
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
            assert!(metrics_text.contains(&series), "{series}\n{metrics_text}");
        }
    }
    let poll_queue_metric = async {
        while !fetch_metrics(&deployment)
            .await
            .contains("savoryvane_pool_queue{pool=\"encode\"}")
        {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(Duration::from_secs(10), poll_queue_metric)
        .await
        .unwrap();

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
    for start in (0..WORKSPACES).step_by(CONCURRENT_REQUESTS) {
        let requests: Vec<_> = (start..start + CONCURRENT_REQUESTS)
            .map(|index| tokio::spawn(request_as(caller, format!("workshop-{index}"))))
            .collect();
        for request in requests {
            request.await.unwrap();
        }
    }

    let metrics_text = fetch_metrics(&deployment).await;
    let workspace_labels: HashSet<_> = metrics_text
        .split("workspace=\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
        .collect();
    assert!(workspace_labels.contains("other"));
    assert!(
        workspace_labels.len() <= MAX_LABELLED + 1,
        "{}",
        workspace_labels.len()
    );
}
