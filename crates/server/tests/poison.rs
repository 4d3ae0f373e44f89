//! Requests that end each backend server of a stage that runs them, in pipelines.

mod common;

use std::time::Duration;

use common::{Deployment, KINDS, ZONE, expected, intent, read_answer, submit};
use http::StatusCode;
use savoryvane_core::{objects::StageKind, outcome::Outcome};
use savoryvane_standins::{BackendFaults, BackendServer, BackendSettings};
use serde_json::{Value, json};
use tokio::time;

/// Text that ends the servers of the first stage.
const MARKER: &str = "ends-its-server";
/// Servers of that stage.
const SERVERS: usize = 10;
/// Servers that may end under one request.
const MOST_ENDS: usize = 3;
/// Attempts of the caller who comes again.
const ATTEMPTS: usize = 8;
/// Time between them.
const PAUSE: Duration = Duration::from_millis(200);

/// Two instances before ten servers of the first stage, which end under some calls.
async fn deployment() -> (Deployment, Vec<BackendServer>) {
    let mut deployment = Deployment::without_instances("").await;
    let mut fragile = Vec::new();
    for index in 0..SERVERS {
        let name = format!("fragile-{index}");
        let server = BackendServer::start(BackendSettings::new(name.as_str(), StageKind::Encode));
        let server = server.await.unwrap();
        server.set_faults(BackendFaults {
            ends_under: Some(MARKER.to_owned()),
            ..BackendFaults::default()
        });
        fragile.push(server);
    }
    let mut backends: Vec<Value> = Vec::new();
    for (index, server) in fragile.iter().enumerate() {
        backends.push(
            json!({ "name": format!("fragile-{index}"), "pool": "encode",
            "zone": ZONE, "addr": server.addr(), "slots": 8 }),
        );
    }
    for (index, server) in deployment.backends.iter().enumerate().skip(2) {
        let (name, _) = KINDS[index / 2];
        backends.push(
            json!({ "name": format!("{name}-{}", index % 2), "pool": name,
            "zone": ZONE, "addr": server.addr(), "slots": 8 }),
        );
    }
    for name in ["entry-1", "entry-2"] {
        deployment.add_instance(name).await;
    }
    deployment.confirm(&intent(&backends)).await;
    deployment.wait_ready().await;
    // The instances have read the list, and their links are open.
    time::sleep(Duration::from_millis(2_500)).await;
    (deployment, fragile)
}

fn ended(servers: &[BackendServer]) -> usize {
    servers.iter().filter(|server| server.has_ended()).count()
}

#[tokio::test]
async fn a_pipeline_request_that_comes_again_ends_three_servers_and_no_more() {
    let (deployment, fragile) = deployment().await;
    let input = json!({ "text": MARKER });
    let mut last = None;
    for attempt in 0..ATTEMPTS {
        let addr = deployment.instances[attempt % 2].addresses().caller;
        last = Some(read_answer(submit(addr, "quote", &input, &[]).await).await);
        time::sleep(PAUSE).await;
    }
    assert!(ended(&fragile) <= MOST_ENDS, "{} ended", ended(&fragile));
    let (status, answer) = last.expect("an answer");
    assert_eq!(answer.outcome, Outcome::NotStarted, "{status} {answer:?}");
    assert_eq!(answer.reason.as_deref(), Some("given up: ends_servers"));
    assert!(answer.retry_after_ms.unwrap_or(0) > 60_000, "{answer:?}");
    let other = json!({ "text": "another one" });
    let (status, answer) = deployment.ask(&other).await;
    assert_eq!(status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.output, Some(expected(&other)));
}
