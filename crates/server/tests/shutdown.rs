//! Graceful shutdown of the binary interrupts no request.

mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::time::Duration;

use common::{Deployment, confirm, expected, read_answer, read_body, send, submit};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use process::Entry;
use savoryvane_core::outcome::Outcome;
use savoryvane_standins::{
    BackendFaults,
    client::{self, Connection, Version},
};
use savoryvane_wire::caller::AnswerEvent;
use serde_json::json;
use tokio::{net::TcpStream, time};

/// Slow-down factor that keeps a request running for some time.
const SLOW_PER_MILLE: u32 = 20_000;

async fn start_entry(drain: &str) -> (Deployment, Entry) {
    let deployment = Deployment::without_instances(drain).await;
    let settings = deployment.settings_text("entry-1");
    let entry = tokio::task::spawn_blocking(move || Entry::start(&settings))
        .await
        .unwrap();
    // The configuration is in force when the confirmation returns.
    while status(&entry, "/ready").await != StatusCode::OK {
        time::sleep(Duration::from_millis(5)).await;
    }
    confirm(entry.admin, &deployment.intent()).await;
    (deployment, entry)
}

async fn status(entry: &Entry, path: &str) -> StatusCode {
    send(Version::Http1, entry.caller, Method::GET, path, "", &[])
        .await
        .status()
}

async fn wait_for_exit(mut entry: Entry) -> (Option<i32>, String) {
    tokio::task::spawn_blocking(move || {
        let code = entry.wait();
        (code, entry.logged())
    })
    .await
    .unwrap()
}

fn slow_down(deployment: &Deployment) {
    for backend in &deployment.backends {
        backend.set_faults(BackendFaults {
            slow_per_mille: SLOW_PER_MILLE,
            ..BackendFaults::default()
        });
    }
}

#[tokio::test]
async fn open_stream_and_plain_request_are_finished_before_the_exit() {
    let (deployment, entry) = start_entry("drain: {grace_ms: 100, timeout_ms: 10000}").await;
    slow_down(&deployment);
    let input = json!("drain");
    let accept = [("accept", "application/x-ndjson")];
    let mut stream = submit(entry.caller, "quote", &input, &accept).await;
    let first_frame = stream.body_mut().frame().await.unwrap().unwrap();
    let caller = entry.caller;
    let plain_request = tokio::spawn(async move {
        let response = submit(caller, "quote", &json!("drain"), &[]).await;
        read_answer(response).await
    });
    time::sleep(Duration::from_millis(20)).await;

    entry.terminate();

    let mut lines = first_frame.into_data().unwrap().to_vec();
    lines.extend_from_slice(&read_body(stream).await);
    let final_event = lines.split(|b| *b == b'\n').rfind(|x| !x.is_empty());
    let final_event = serde_json::from_slice(final_event.unwrap()).unwrap();
    assert!(
        matches!(&final_event, AnswerEvent::Final(answer) if answer.output == Some(expected(&input))),
        "{final_event:?}"
    );
    let (status, answer) = plain_request.await.unwrap();
    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer.outcome, Outcome::Complete);
    let (code, log) = wait_for_exit(entry).await;
    assert_eq!(code, Some(0), "{log}");
}

#[tokio::test]
async fn leaving_instance_is_not_ready_but_still_serves_and_keeps_no_connection() {
    let (_deployment, entry) = start_entry("drain: {grace_ms: 1500, timeout_ms: 10000}").await;
    assert_eq!(status(&entry, "/live").await, StatusCode::OK);

    entry.terminate();

    while status(&entry, "/ready").await == StatusCode::OK {
        time::sleep(Duration::from_millis(5)).await;
    }
    let response = submit(entry.caller, "quote", &json!(1), &[]).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.headers()["connection"], "close");
    let (code, log) = wait_for_exit(entry).await;
    assert_eq!(code, Some(0), "{log}");
}

#[tokio::test]
async fn second_signal_stops_the_process_immediately() {
    let (deployment, entry) = start_entry("drain: {grace_ms: 60000, timeout_ms: 60000}").await;
    slow_down(&deployment);
    entry.terminate();
    while status(&entry, "/ready").await == StatusCode::OK {
        time::sleep(Duration::from_millis(5)).await;
    }

    entry.terminate();

    let (code, log) = wait_for_exit(entry).await;
    assert_eq!(code, Some(5), "{log}");
}

#[tokio::test]
async fn drain_timeout_has_an_exit_code_of_its_own() {
    let (deployment, entry) = start_entry("drain: {grace_ms: 0, timeout_ms: 50}").await;
    for backend in &deployment.backends {
        backend.set_faults(BackendFaults {
            freeze: true,
            ..BackendFaults::default()
        });
    }
    let caller = entry.caller;
    let pending_request =
        tokio::spawn(async move { submit(caller, "quote", &json!(1), &[]).await });
    time::sleep(Duration::from_millis(100)).await;

    entry.terminate();

    let (code, log) = wait_for_exit(entry).await;
    assert_eq!(code, Some(4), "{log}");
    pending_request.abort();
}

#[tokio::test]
async fn drain_requested_by_an_operator_stops_the_process() {
    let (_deployment, entry) = start_entry("drain: {grace_ms: 0, timeout_ms: 1000}").await;
    let other = json!({ "instance": "entry-2" });
    let (status, _) =
        common::send_as_operator(entry.admin, Method::POST, "/admin/v1/drain", &other).await;
    assert_eq!(status, StatusCode::CONFLICT);

    let own = json!({ "instance": "entry-1" });
    let (status, _) =
        common::send_as_operator(entry.admin, Method::POST, "/admin/v1/drain", &own).await;

    assert_eq!(status, StatusCode::ACCEPTED);
    let (code, log) = wait_for_exit(entry).await;
    assert_eq!(code, Some(0), "{log}");
}

#[tokio::test]
async fn unread_log_output_blocks_no_request_and_no_exit() {
    let settings = "log: {level: debug}\ndrain: {grace_ms: 0, timeout_ms: 10000}";
    let (_deployment, entry) = start_entry(settings).await;
    // Each request logs about 2 kB, and a pipe buffers 64 kB, so the pipe fills up.
    for _ in 0..100 {
        let response = submit(entry.caller, "quote", &json!(1), &[]).await;
        let (status, _) = read_answer(response).await;
        assert_eq!(status, StatusCode::OK);
    }

    entry.terminate();

    let (code, _) = wait_for_exit(entry).await;
    assert_eq!(code, Some(0));
}

#[tokio::test]
async fn first_request_of_a_connection_made_before_the_drain_is_served() {
    let (_deployment, entry) = start_entry("drain: {grace_ms: 100, timeout_ms: 10000}").await;
    let mut connection = Connection::open(entry.caller, Version::Http1)
        .await
        .unwrap();
    entry.terminate();
    while TcpStream::connect(entry.caller).await.is_ok() {
        time::sleep(Duration::from_millis(5)).await;
    }

    let live_probe = client::request(entry.caller, Method::GET, "/live", "").unwrap();
    let response = connection.send(live_probe).await.unwrap();

    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.headers()["connection"], "close");
    let (code, log) = wait_for_exit(entry).await;
    assert_eq!(code, Some(0), "{log}");
}
