//! Requests that end each backend server of a stage that runs them, in pipelines.

mod common;

use std::time::Duration;

use common::{Deployment, KINDS, ZONE, expected, intent, read_answer, submit};
use http::StatusCode;
use savoryvane_core::{objects::StageKind, outcome::Outcome};
use savoryvane_standins::{BackendFaults, BackendServer, BackendSettings, LogFaults};
use savoryvane_wire::caller::Answer;
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
/// Time for instances that are ready to read the list and to open links to each other.
const LINKED_AFTER: Duration = Duration::from_millis(2_500);

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
    start_two(&mut deployment).await;
    deployment.confirm(&intent(&backends)).await;
    deployment.wait_ready().await;
    time::sleep(LINKED_AFTER).await;
    (deployment, fragile)
}

async fn start_two(deployment: &mut Deployment) {
    for name in ["entry-1", "entry-2"] {
        deployment.add_instance(name).await;
    }
}

/// Sends the request that ends servers to one of the instances.
async fn ask(deployment: &Deployment, at: usize) -> (StatusCode, Answer) {
    let addr = deployment.instances[at].addresses().caller;
    let input = json!({ "text": MARKER });
    read_answer(submit(addr, "quote", &input, &[]).await).await
}

fn ended(servers: &[BackendServer]) -> usize {
    servers.iter().filter(|server| server.has_ended()).count()
}

#[tokio::test]
async fn a_pipeline_request_that_comes_again_ends_three_servers_and_no_more() {
    let (deployment, fragile) = deployment().await;
    let mut last = None;
    for attempt in 0..ATTEMPTS {
        last = Some(ask(&deployment, attempt % 2).await);
        time::sleep(PAUSE).await;
    }
    assert!(ended(&fragile) <= MOST_ENDS, "{} ended", ended(&fragile));
    let (status, answer) = last.expect("an answer");
    assert_eq!(answer.outcome, Outcome::NotStarted, "{status} {answer:?}");
    assert_eq!(answer.reason.as_deref(), Some("given up: ends_servers"));
    assert!(answer.retry_after_ms.unwrap_or(0) > 60_000, "{answer:?}");
    let other = json!({ "text": "another one" });
    let (status, answer) = deployment.request_quote(&other).await;
    assert_eq!(status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.output, Some(expected(&other)));
}

/// Ends three servers, loses all instances together, sets `faults` of the log, and asks two
/// new ones some time after they are ready.
async fn ask_after_a_loss_of_all(faults: LogFaults, after: Duration) {
    let (mut deployment, fragile) = deployment().await;
    for attempt in 0..4 {
        ask(&deployment, attempt % 2).await;
        time::sleep(PAUSE).await;
    }
    assert_eq!(ended(&fragile), MOST_ENDS);
    time::sleep(Duration::from_millis(1_500)).await;
    deployment.instances.clear();
    deployment.log.set_faults(faults);
    start_two(&mut deployment).await;
    deployment.wait_ready().await;
    time::sleep(after).await;
    for at in 0..2 {
        let (status, answer) = ask(&deployment, at).await;
        assert_eq!(answer.outcome, Outcome::NotStarted, "{status} {answer:?}");
        assert_eq!(answer.reason.as_deref(), Some("given up: ends_servers"));
    }
    assert_eq!(ended(&fragile), MOST_ENDS);
}

/// All instances lose power together: what they knew is in the log.
#[tokio::test]
async fn a_quarantine_in_pipelines_outlasts_all_instances() {
    ask_after_a_loss_of_all(LogFaults::default(), LINKED_AFTER).await;
}

/// The log has the record, and delivers it four seconds after its append.
#[tokio::test]
async fn a_quarantine_that_the_log_delivers_late_is_waited_for() {
    let faults = LogFaults {
        delivery_delay_ms: 4_000,
        ..LogFaults::default()
    };
    ask_after_a_loss_of_all(faults, 2 * LINKED_AFTER).await;
}
