//! Clients that do not behave at an entry process, which runs pipelines.

mod clients;
mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use clients::{
    BODY_BYTES, CLIENTS, Crowd, ENTRY_HEAD_BYTES, HEAD_CLIENTS, RUNNING, Sending,
    TINY_CHUNK_CLIENTS, Target, WHOLE_TINY_CHUNK_BODY_BYTES,
    http2::{self, Requests},
    send_whole,
};
use common::{Deployment, credential};
use http::StatusCode;
use process::Entry;
use savoryvane_standins::BackendFaults;
use savoryvane_wire::platform::{Listed, ListedRole, ListedState};
use serde_json::json;
use tokio::time::{self, Duration};

/// Connections that the process takes in the test of connections without a request, and number
/// of clients there.
const FEW_CONNECTIONS: usize = 50;
const EXCESS_CLIENTS: usize = 60;
/// Number of clients that send whole bodies of many small values.
const DENSE_CLIENTS: usize = 20;
/// Bytes of an answer that clients do not read.
const UNREAD_BYTES: usize = 900_000;
/// Size of a body that another instance forwards, in bytes.
const FORWARDED_BYTES: usize = 64_000;

/// An entry process with a pipeline over stand-ins.
struct World {
    target: Target,
    _entry: Entry,
    deployment: Deployment,
}

impl World {
    async fn start(extra_settings: &str) -> Self {
        let deployment = Deployment::without_instances(extra_settings).await;
        let entry = start_entry(&deployment, "entry-1").await;
        common::confirm(entry.admin, &deployment.intent()).await;
        let target = target(&entry);
        wait_until_ready(&target).await;
        Self {
            target,
            _entry: entry,
            deployment,
        }
    }
}

/// Starts an entry process, and lists it.
async fn start_entry(deployment: &Deployment, name: &str) -> Entry {
    let settings = deployment.settings_text(name);
    let spawned = tokio::task::spawn_blocking(move || Entry::start(&settings));
    let entry = spawned.await.unwrap();
    deployment.list.put(Listed {
        name: name.to_owned(),
        role: ListedRole::Entry,
        zone: common::ZONE.into(),
        addr: entry.peer,
        state: ListedState::Live,
    });
    entry
}

fn target(entry: &Entry) -> Target {
    Target {
        process_id: entry.id(),
        addr: entry.caller,
        path: "/v1/pipelines/quote/requests",
        headers: vec![
            ("host", "entry".to_owned()),
            ("x-workspace", "vakwerk".to_owned()),
            ("authorization", format!("Bearer {}", credential("vakwerk"))),
            ("x-deadline-ms", "30000".to_owned()),
        ],
        id_header: "x-request-id",
    }
}

async fn wait_until_ready(target: &Target) {
    for _ in 0..500 {
        let body = json!({ "input": 1 }).to_string().into_bytes();
        let sent = target.send("early", body).await;
        if sent.is_ok_and(|(status, _)| status == StatusCode::OK) {
            return;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the entry process is not ready");
}

async fn check_crowd(count: usize, sending: Sending) {
    let _running = RUNNING.lock().await;
    let world = World::start("").await;
    let _crowd = Crowd::gather(&world.target, count, sending).await;
    world.target.check().await;
}

async fn check_http2(requests: Requests) {
    let _running = RUNNING.lock().await;
    let world = World::start("").await;
    let _crowd = http2::gather(&world.target, requests).await;
    world.target.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_bodies_one_byte_short_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::OneByteShort).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_bodies_in_pieces_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::InPieces).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_bodies_in_large_chunks_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::LargeChunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_bodies_in_chunks_of_one_byte_do_not_exhaust_memory() {
    let _running = RUNNING.lock().await;
    // A slow machine takes longer to read them than the default.
    let world = World::start("limits: {body_timeout_ms: 60000}").await;
    let _crowd = Crowd::gather(&world.target, TINY_CHUNK_CLIENTS, Sending::TinyChunks).await;
    world.target.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_bodies_announced_over_the_limit_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::AnnouncedOverLimit).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_bodies_sent_over_the_limit_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::SentOverLimit).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_heads_without_an_end_do_not_exhaust_memory() {
    check_crowd(HEAD_CLIENTS, Sending::Head(ENTRY_HEAD_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_connections_without_a_request_do_not_lock_callers_out() {
    let _running = RUNNING.lock().await;
    let limits =
        format!("limits: {{max_connections: {FEW_CONNECTIONS}, header_timeout_ms: 60000}}");
    let world = World::start(&limits).await;
    let _crowd = Crowd::gather(&world.target, EXCESS_CLIENTS, Sending::StartOfHead).await;
    world.target.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_http2_bodies_one_byte_short_do_not_exhaust_memory() {
    check_http2(Requests::OneByteShort).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_http2_bodies_in_frames_of_one_byte_do_not_exhaust_memory() {
    check_http2(Requests::SmallFrames).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_http2_heads_do_not_exhaust_memory() {
    check_http2(Requests::LargeHeads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_bodies_of_many_small_values_do_not_exhaust_memory() {
    let _running = RUNNING.lock().await;
    let world = World::start("").await;
    let mut crowd = Crowd::empty();
    for index in 0..DENSE_CLIENTS {
        let (target, progress) = (world.target.clone(), crowd.progress());
        crowd.add(async move {
            let body = dense_body(BODY_BYTES);
            let _ = target.send(&format!("crowd-{index}"), body).await;
            progress.on_bytes(1);
        });
    }
    crowd.settle(&world.target).await;
    world.target.check().await;
}

/// The requests come over another instance, whose machine has more memory.
#[tokio::test(flavor = "multi_thread")]
async fn pipelines_forwarded_bodies_of_many_small_values_do_not_exhaust_memory() {
    let _running = RUNNING.lock().await;
    let mut world = World::start("").await;
    world.deployment.extra_settings = "limits: {memory_mb: 4000}".to_owned();
    let other = start_entry(&world.deployment, "entry-2").await;
    let other_target = target(&other);
    wait_until_ready(&other_target).await;
    let mut crowd = Crowd::empty();
    for index in 0..CLIENTS {
        let ticket = common::request_ticket(world.target.addr).await;
        let (mut target, progress) = (other_target.clone(), crowd.progress());
        target.path = "/v1/pipelines/hold/requests";
        target.headers.push(("x-ticket", ticket));
        crowd.add(async move {
            let body = dense_body(FORWARDED_BYTES);
            let _ = target.send(&format!("crowd-{index}"), body).await;
            progress.on_bytes(1);
        });
    }
    crowd.settle(&world.target).await;
    world.target.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_answers_that_are_not_read_do_not_exhaust_memory() {
    let _running = RUNNING.lock().await;
    let world = World::start("").await;
    for backend in &world.deployment.backends {
        backend.set_faults(BackendFaults {
            padding_bytes: UNREAD_BYTES,
            ..BackendFaults::default()
        });
    }
    let body = json!({ "input": 1 }).to_string();
    let _crowd = Crowd::gather_without_reading(&world.target, &body).await;
    world.target.check().await;
}

/// Sends a request over `other` with a ticket of `issuer`. Returns the status.
async fn send_with_ticket(issuer: &Target, other: &Target, body: Vec<u8>) -> StatusCode {
    let ticket = common::request_ticket(issuer.addr).await;
    let mut target = other.clone();
    target.path = "/v1/pipelines/hold/requests";
    target.headers.push(("x-ticket", ticket));
    let sent = target.send("forwarded", body).await;
    sent.unwrap().0
}

/// A body of legal size is served wherever it comes in.
#[tokio::test(flavor = "multi_thread")]
async fn pipelines_one_whole_body_with_a_ticket_of_another_instance_is_served() {
    let _running = RUNNING.lock().await;
    let world = World::start("").await;
    let other = start_entry(&world.deployment, "entry-2").await;
    let other_target = target(&other);
    let send = |bytes| send_with_ticket(&world.target, &other_target, clients::body_of(bytes));
    // The instances have to know each other.
    let known = async {
        while send(FORWARDED_BYTES).await != StatusCode::OK {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(Duration::from_secs(10), known).await.unwrap();
    assert_eq!(send(BODY_BYTES).await, StatusCode::OK);
}

/// Returns a body of nearly `bytes` bytes in which every few bytes are a value.
fn dense_body(bytes: usize) -> Vec<u8> {
    let value = r#"{"":0},"#;
    let values = value.repeat(bytes / value.len() - 4);
    format!(r#"{{"input":[{}]}}"#, values.trim_end_matches(',')).into_bytes()
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelines_one_whole_body_of_the_largest_size_is_served() {
    let _running = RUNNING.lock().await;
    let world = World::start("").await;
    let sendings = [
        (BODY_BYTES, None),
        (BODY_BYTES, Some(64_000)),
        (WHOLE_TINY_CHUNK_BODY_BYTES, Some(1)),
    ];
    for (body_bytes, chunk_bytes) in sendings {
        let status = send_whole(&world.target, body_bytes, chunk_bytes).await;
        assert_eq!(status, "HTTP/1.1 200 OK", "chunks of {chunk_bytes:?}");
    }
    world.target.check().await;
}
