//! Quarantine of pipeline requests that crash the backend servers they run on.

mod common;

use std::time::Duration;

use common::{Deployment, KINDS, ZONE, expected, intent, read_answer, submit};
use http::StatusCode;
use savoryvane_core::{objects::StageKind, outcome::Outcome};
use savoryvane_standins::{BackendFaults, BackendServer, BackendSettings, LogFaults};
use savoryvane_wire::caller::Answer;
use serde_json::{Value, json};
use tokio::time;

/// Input text that crashes servers of the first stage.
const MARKER: &str = "ends-its-server";
/// Number of servers of the first stage.
const SERVERS: usize = 10;
/// Maximum number of servers that one request may crash.
const MAX_CRASHES: usize = 3;
/// Number of attempts of a caller that repeats the request.
const ATTEMPTS: usize = 8;
/// Interval between the attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for ready instances to read the list and to connect to each other.
const CONNECT_TIME: Duration = Duration::from_millis(2_500);

/// Starts two instances with ten servers of the first stage, which crash on calls that
/// contain [`MARKER`].
async fn start_deployment() -> (Deployment, Vec<BackendServer>) {
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
    start_two_instances(&mut deployment).await;
    deployment.confirm(&intent(&backends)).await;
    deployment.wait_ready().await;
    time::sleep(CONNECT_TIME).await;
    (deployment, fragile)
}

async fn start_two_instances(deployment: &mut Deployment) {
    for name in ["entry-1", "entry-2"] {
        deployment.add_instance(name).await;
    }
}

/// Sends the crashing request to one of the instances.
async fn send_crashing_request(
    deployment: &Deployment,
    instance_index: usize,
) -> (StatusCode, Answer) {
    let addr = deployment.instances[instance_index].addresses().caller;
    let input = json!({ "text": MARKER });
    read_answer(submit(addr, "quote", &input, &[]).await).await
}

fn count_crashed(servers: &[BackendServer]) -> usize {
    servers.iter().filter(|server| server.has_ended()).count()
}

#[tokio::test]
async fn a_pipeline_request_that_comes_again_ends_three_servers_and_no_more() {
    let (deployment, fragile) = start_deployment().await;
    let mut last_response = None;
    for attempt in 0..ATTEMPTS {
        last_response = Some(send_crashing_request(&deployment, attempt % 2).await);
        time::sleep(ATTEMPT_INTERVAL).await;
    }
    assert!(
        count_crashed(&fragile) <= MAX_CRASHES,
        "{} ended",
        count_crashed(&fragile)
    );
    let (status, answer) = last_response.expect("an answer");
    assert_eq!(answer.outcome, Outcome::NotStarted, "{status} {answer:?}");
    assert_eq!(answer.reason.as_deref(), Some("given up: ends_servers"));
    assert!(answer.retry_after_ms.unwrap_or(0) > 60_000, "{answer:?}");
    let other = json!({ "text": "another one" });
    let (status, answer) = deployment.request_quote(&other).await;
    assert_eq!(status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.output, Some(expected(&other)));
}

/// Crashes three servers, stops all instances at once, sets `faults` on the log, starts two
/// new instances, and checks after `delay` that both refuse the request.
async fn check_quarantine_after_full_outage(faults: LogFaults, delay: Duration) {
    let (mut deployment, fragile) = start_deployment().await;
    for attempt in 0..4 {
        send_crashing_request(&deployment, attempt % 2).await;
        time::sleep(ATTEMPT_INTERVAL).await;
    }
    assert_eq!(count_crashed(&fragile), MAX_CRASHES);
    time::sleep(Duration::from_millis(1_500)).await;
    deployment.instances.clear();
    deployment.log.set_faults(faults);
    start_two_instances(&mut deployment).await;
    deployment.wait_ready().await;
    time::sleep(delay).await;
    for instance_index in 0..2 {
        let (status, answer) = send_crashing_request(&deployment, instance_index).await;
        assert_eq!(answer.outcome, Outcome::NotStarted, "{status} {answer:?}");
        assert_eq!(answer.reason.as_deref(), Some("given up: ends_servers"));
    }
    assert_eq!(count_crashed(&fragile), MAX_CRASHES);
}

/// All instances stop at once, so the quarantine is only in the log.
#[tokio::test]
async fn a_quarantine_in_pipelines_outlasts_all_instances() {
    check_quarantine_after_full_outage(LogFaults::default(), CONNECT_TIME).await;
}

/// The log delivers the quarantine record four seconds after its append.
#[tokio::test]
async fn a_quarantine_that_the_log_delivers_late_is_waited_for() {
    let faults = LogFaults {
        delivery_delay_ms: 4_000,
        ..LogFaults::default()
    };
    check_quarantine_after_full_outage(faults, 2 * CONNECT_TIME).await;
}
