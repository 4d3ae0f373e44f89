//! Established connections to backend servers go silent permanently while new
//! connections work.

mod common;

use std::time::Duration;

use common::{Deployment, expected, read_answer, submit};
use http::StatusCode;
use savoryvane_standins::BackendFaults;
use serde_json::{Value, json};
use tokio::time::{self, Instant};

const REQUESTS: u32 = 16;

async fn send_requests(deployment: &Deployment, label: &str) {
    for request in spawn_requests(deployment, label) {
        request.await.unwrap();
    }
}

/// Starts concurrent requests; each must get a complete answer.
fn spawn_requests(deployment: &Deployment, label: &str) -> Vec<tokio::task::JoinHandle<()>> {
    let addr = deployment.caller();
    let request = |number| {
        let input: Value = json!({ "label": label, "number": number });
        tokio::spawn(async move {
            let response = submit(addr, "quote", &input, &[]).await;
            let (status, answer) = read_answer(response).await;
            assert_eq!(status, StatusCode::OK, "{answer:?}");
            assert_eq!(answer.output, Some(expected(&input)));
        })
    };
    (0..REQUESTS).map(request).collect()
}

fn set_faults(deployment: &Deployment, faults: &BackendFaults) {
    for backend in &deployment.backends {
        backend.set_faults(faults.clone());
    }
}

/// Waits until the load of each backend server was read at least twice. The silence of
/// younger connections is detected only by the calls on them.
async fn wait_for_load_reads() {
    time::sleep(Duration::from_millis(800)).await;
}

#[tokio::test]
async fn idle_connections_that_went_silent_cost_no_request_its_deadline() {
    let deployment = Deployment::start().await;
    wait_for_load_reads().await;
    send_requests(&deployment, "before").await;
    set_faults(
        &deployment,
        &BackendFaults {
            silence_established: true,
            ..BackendFaults::default()
        },
    );

    send_requests(&deployment, "first").await;

    // The silent connections are not used again.
    let started_at = Instant::now();
    send_requests(&deployment, "second").await;
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}

#[tokio::test]
async fn requests_in_flight_make_their_deadline_by_another_connection() {
    let deployment = Deployment::start().await;
    wait_for_load_reads().await;
    send_requests(&deployment, "before").await;
    let slow = BackendFaults {
        slow_per_mille: 20_000,
        ..BackendFaults::default()
    };
    set_faults(&deployment, &slow);
    let requests = spawn_requests(&deployment, "in flight");
    time::sleep(Duration::from_millis(100)).await;

    set_faults(
        &deployment,
        &BackendFaults {
            silence_established: true,
            ..BackendFaults::default()
        },
    );

    for request in requests {
        request.await.unwrap();
    }
}
