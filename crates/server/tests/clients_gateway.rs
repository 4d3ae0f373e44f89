//! Clients that do not behave at a gateway process.

mod clients;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::{
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    time::Duration,
};

use clients::{
    BODY_BYTES, CLIENTS, Crowd, HEAD_BYTES, HEAD_CLIENTS, Progress, RUNNING, Sending,
    TINY_CHUNK_CLIENTS, Target, WHOLE_TINY_CHUNK_BODY_BYTES,
    http2::{self, Requests},
    send_whole,
};
use process::settings_file;
use savoryvane_platform_standin::{
    Behaviour, RawEnd, RawResponse, RawServerStandIn, ServerStandIn, StoreStandIn,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time,
};

const ZONE: &str = "hal-utrecht";
const HOST: &str = "sign.example";
const KEY: &str = "key-of-one";
/// More clients than a gateway takes connections.
const EXCESS_CLIENTS: usize = 2_100;
/// Size of a response that clients do not read, in bytes.
const UNREAD_BYTES: usize = 900_000;
/// Bandwidth of a link that carries several times the ordinary requests, in Mbit/s.
const LINK_MBPS: u32 = 4;
/// Ordinary requests that come over new connections, and the interval between two of them.
const ORDINARY_REQUESTS: usize = 150;
const ORDINARY_INTERVAL: Duration = Duration::from_millis(20);
/// Pieces of a body over the limit, a quarter of the limit each, and the pause after each.
const OVERLONG_PIECES: usize = 6;
const OVERLONG_PAUSE: Duration = Duration::from_millis(10);
/// Bodies over the limit that one client sends one after the other.
const REFUSED_BODIES: usize = 10;
/// Interval between two streams, in which the event of one is delivered.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);
/// Size of an event that is held back until it is complete, in bytes.
const LARGE_EVENT_BYTES: usize = 900_000;
/// Time after which the gateway knows the entry of a server.
const LISTED_AFTER: Duration = Duration::from_secs(2);
/// Time after which a response counts as lost.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway process with one route to one server.
struct World {
    target: Target,
    server: ServerStandIn,
    _large: RawServerStandIn,
    store: StoreStandIn,
    gateway: Child,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.gateway.kill();
        let _ = self.gateway.wait();
    }
}

impl World {
    async fn start() -> Self {
        Self::start_with("").await
    }

    /// Starts the gateway with additional `settings`.
    async fn start_with(settings: &str) -> Self {
        let store = StoreStandIn::start().await;
        store.put("keyed.op", "config", &configuration());
        let server = ServerStandIn::start("i-1").await;
        store.put("keyed.servers", "i-1", &server.entry("desk", ZONE, "ready"));
        let large = large_server().await;
        store.put("keyed.servers", "i-2", &large.entry("large", ZONE));
        let [caller, ready, peer, admin] = free_addresses();
        let settings = format!(
            "instance: entry-1\nzone: {ZONE}\nregion: nl-midden\n\
             listen: {{caller: '{caller}', ready: '{ready}', peer: '{peer}', admin: '{admin}'}}\n\
             store: {}\nseeds: []\ncores: 1\n\
             repeats: {{ratio: 0.2, slack: 100, instances: 4}}\n\
             log: {{level: error}}\ndrain: {{kill_after_s: 2.6}}\n{settings}",
            store.addr,
        );
        let path = settings_file(&settings);
        let gateway = Command::new(env!("CARGO_BIN_EXE_savoryvane"))
            .args(["--gateway", path.to_str().unwrap()])
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let target = Target {
            process_id: gateway.id(),
            addr: caller,
            path: "/lookup/1",
            headers: vec![
                ("host", HOST.to_owned()),
                ("deadline-ms", "30000".to_owned()),
                ("x-api-key", KEY.to_owned()),
            ],
            id_header: "request-id",
        };
        let world = Self {
            target,
            server,
            _large: large,
            store,
            gateway,
        };
        world.wait_until_ready().await;
        world
    }

    async fn wait_until_ready(&self) {
        for _ in 0..500 {
            let sent = self.target.send("early", b"{}".to_vec()).await;
            if sent.is_ok_and(|(status, _)| status == http::StatusCode::OK) {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the gateway is not ready");
    }

    /// Sends ordinary requests over new connections, and returns how many were not served.
    async fn refused_of_ordinary(&self) -> usize {
        let mut refused = 0;
        for number in 0..ORDINARY_REQUESTS {
            time::sleep(ORDINARY_INTERVAL).await;
            let id = format!("ordinary-{number}");
            let sent = self.target.send(&id, b"{}".to_vec()).await;
            let is_served = sent.is_ok_and(|(status, _)| status == http::StatusCode::OK);
            refused += usize::from(!is_served);
        }
        refused
    }
}

fn configuration() -> String {
    let route = |name: &str, service: &str| {
        json!({
            "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"),
            "RouteKind": "idempotent", "TimeoutMs": 30_000, "GoalMs": 500, "Priority": 0,
            "Service": service, "Attempts": 2, "Public": false, "Sticky": false,
            "Resumable": false,
        })
    };
    let stream_route = |name: &str, service: &str| {
        let mut route = route(name, service);
        route["RouteKind"] = "stream".into();
        route["Resumable"] = true.into();
        route
    };
    let service =
        |name: &str| json!({ "Name": name, "HealthPath": "/healthz", "MaxConns": 10_000 });
    json!({
        "Version": 3,
        "Routes": [
            route("lookup", "desk"), route("large", "large"), route("endless", "endless"),
            stream_route("letter", "endless"),
        ],
        "Services": [service("desk"), service("large"), service("endless")],
        "Tenants": [{ "Name": "one", "ApiKeys": [KEY] }],
        "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": BODY_BYTES,
            "HeaderTimeoutMs": 5_000, "IdleTimeoutMs": 10_000 },
    })
    .to_string()
}

/// Starts a server with large responses.
async fn large_server() -> RawServerStandIn {
    let response = RawResponse {
        status_line: "HTTP/1.1 200 OK",
        headers: vec!["content-length: 900000"],
        body: vec!["x".repeat(UNREAD_BYTES)],
        end: RawEnd::KeepOpen,
    };
    RawServerStandIn::start("i-2", response).await
}

fn free_addresses() -> [SocketAddr; 4] {
    // All are bound before the first is released, so that they differ.
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

async fn check_crowd(count: usize, sending: Sending) {
    let _running = RUNNING.lock().await;
    let world = World::start().await;
    let _crowd = Crowd::gather(&world.target, count, sending).await;
    world.target.check().await;
}

/// Checks a crowd of well-behaved clients whose requests go to a server that responds so.
async fn check_endless_server(path: &'static str, headers: &[&'static str], end: RawEnd) {
    let response = RawResponse {
        status_line: "HTTP/1.1 200 OK",
        headers: headers.to_vec(),
        body: Vec::new(),
        end,
    };
    check_faulty_server(path, response, Duration::ZERO).await;
}

/// Checks the same with a new request each `interval`.
async fn check_faulty_server(path: &'static str, response: RawResponse, interval: Duration) {
    let _running = RUNNING.lock().await;
    let world = World::start().await;
    let server = RawServerStandIn::start("i-3", response).await;
    let entry = server.entry("endless", ZONE);
    world.store.put("keyed.servers", "i-3", &entry);
    time::sleep(LISTED_AFTER).await;
    let crowd_target = Target {
        path,
        ..world.target.clone()
    };
    let mut crowd = Crowd::empty();
    for index in 0..CLIENTS {
        let (target, progress) = (crowd_target.clone(), crowd.progress());
        crowd.add(async move {
            time::sleep(interval * index as u32).await;
            progress.on_bytes(1);
            // A response that breaks off is as good as any other.
            let _ = target.send(&format!("crowd-{index}"), b"{}".to_vec()).await;
            progress.on_bytes(1);
        });
    }
    crowd.settle(&world.target).await;
    assert!(server.requests() > 0, "no request reached the server");
    world.target.check().await;
}

async fn check_http2(requests: Requests) {
    let _running = RUNNING.lock().await;
    let world = World::start().await;
    if requests == Requests::Whole {
        world
            .server
            .set(Behaviour::PausesFor(Duration::from_secs(20)));
    }
    let _crowd = http2::gather(&world.target, requests).await;
    world.server.set(Behaviour::Healthy);
    world.target.check().await;
}

/// Guards against bytes of a faulty server that are held without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_responses_with_heads_without_an_end_do_not_exhaust_memory() {
    check_endless_server("/endless/1", &[], RawEnd::RepeatsInHead("x-filler: 1\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_responses_with_bodies_without_an_end_do_not_exhaust_memory() {
    check_endless_server("/endless/1", &[], RawEnd::Repeats("0123456789abcdef")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_responses_with_events_without_an_end_do_not_exhaust_memory() {
    let headers = ["content-type: text/event-stream"];
    check_endless_server("/letter/1", &headers, RawEnd::Repeats("0123456789abcdef")).await;
}

/// Guards against buffers that are kept after what they held was sent and is no longer charged.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_streams_that_pause_after_a_large_event_do_not_exhaust_memory() {
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(LARGE_EVENT_BYTES));
    let response = RawResponse {
        status_line: "HTTP/1.1 200 OK",
        headers: vec!["content-type: text/event-stream"],
        body: vec![event, "id: 2\n".to_owned()],
        end: RawEnd::KeepOpen,
    };
    check_faulty_server("/letter/1", response, STREAM_INTERVAL).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_bodies_one_byte_short_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::OneByteShort).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_bodies_in_pieces_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::InPieces).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_bodies_in_large_chunks_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::LargeChunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_bodies_in_chunks_of_one_byte_do_not_exhaust_memory() {
    check_crowd(TINY_CHUNK_CLIENTS, Sending::TinyChunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_bodies_announced_over_the_limit_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::AnnouncedOverLimit).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_bodies_sent_over_the_limit_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::SentOverLimit).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_heads_without_an_end_do_not_exhaust_memory() {
    check_crowd(HEAD_CLIENTS, Sending::Head(HEAD_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_trailers_without_an_end_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::Trailers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_chunk_extensions_without_an_end_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::ChunkExtension).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_requests_written_ahead_do_not_exhaust_memory() {
    check_crowd(CLIENTS, Sending::RequestsAhead).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_connections_without_a_request_do_not_lock_callers_out() {
    check_crowd(EXCESS_CLIENTS, Sending::StartOfHead).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_http2_bodies_one_byte_short_do_not_exhaust_memory() {
    check_http2(Requests::OneByteShort).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_http2_bodies_in_frames_of_one_byte_do_not_exhaust_memory() {
    check_http2(Requests::SmallFrames).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_http2_heads_do_not_exhaust_memory() {
    check_http2(Requests::LargeHeads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_http2_requests_in_flight_do_not_exhaust_descriptors() {
    check_http2(Requests::Whole).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_responses_that_are_not_read_do_not_exhaust_memory() {
    let _running = RUNNING.lock().await;
    let world = World::start().await;
    let target = Target {
        path: "/large/1",
        ..world.target.clone()
    };
    let _crowd = Crowd::gather_without_reading(&target, "").await;
    world.target.check().await;
}

/// Sends all but the last byte of a request.
async fn all_but_one_byte(
    target: &Target,
    index: usize,
    progress: &Progress,
) -> std::io::Result<tokio::net::TcpStream> {
    let mut stream = tokio::net::TcpStream::connect(target.addr).await?;
    let head = target.head(&format!("crowd-{index}"));
    let mut request = format!("{head}content-length: {BODY_BYTES}\r\n\r\n").into_bytes();
    request.extend(&clients::body_of(BODY_BYTES)[..BODY_BYTES - 1]);
    let mut unsent = &request[..];
    while !unsent.is_empty() {
        let count = stream.write(unsent).await?;
        progress.on_bytes(count);
        unsent = &unsent[count..];
    }
    Ok(stream)
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_one_whole_body_of_the_largest_size_is_served() {
    let _running = RUNNING.lock().await;
    let world = World::start().await;
    let sendings = [
        (BODY_BYTES, None),
        (BODY_BYTES, Some(64_000)),
        (WHOLE_TINY_CHUNK_BODY_BYTES, Some(1)),
    ];
    for (body_bytes, chunk_bytes) in sendings {
        let status = send_whole(&world.target, body_bytes, chunk_bytes).await;
        assert_eq!(status, "HTTP/1.1 200 OK", "chunks of {chunk_bytes:?}");
    }
    let received = world.server.executed();
    let received: Vec<&[u8]> = received.iter().map(|request| &request.body[..]).collect();
    for (body_bytes, _) in sendings {
        assert!(received.contains(&&clients::body_of(body_bytes)[..]));
    }
    world.target.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_bodies_one_byte_short_do_not_bound_later_connections() {
    let _running = RUNNING.lock().await;
    let world = World::start_with(&format!("link_mbps: {LINK_MBPS}\n")).await;
    assert_eq!(world.refused_of_ordinary().await, 0, "before the crowd");
    let mut crowd = Crowd::empty();
    for index in 0..CLIENTS {
        let (target, progress) = (world.target.clone(), crowd.progress());
        crowd.add(async move {
            let _stream = all_but_one_byte(&target, index, &progress).await;
            std::future::pending::<()>().await;
        });
    }
    crowd.settle(&world.target).await;
    drop(crowd);
    time::sleep(Duration::from_secs(1)).await;
    let refused = world.refused_of_ordinary().await;
    assert!(
        refused <= ORDINARY_REQUESTS / 20,
        "{refused} of {ORDINARY_REQUESTS} after the crowd"
    );
}

/// What a client does when it can't write any more of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterFailedWrite {
    /// Reads what has been received.
    Reads,
    /// Takes the request for failed.
    GivesUp,
}

/// Sends a request with a body over the limit, and returns the status line of the response; nothing
/// if the client gives up.
async fn send_overlong(
    target: &Target,
    head: &str,
    piece: &[u8],
    after_failed_write: AfterFailedWrite,
) -> String {
    let mut stream = tokio::net::TcpStream::connect(target.addr).await.unwrap();
    let head = format!("{}{head}\r\n\r\n", target.head("overlong"));
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..OVERLONG_PIECES {
        if stream.write_all(piece).await.is_err() {
            match after_failed_write {
                AfterFailedWrite::Reads => break,
                AfterFailedWrite::GivesUp => return String::new(),
            }
        }
        time::sleep(OVERLONG_PAUSE).await;
    }
    let mut response = Vec::new();
    let _ = time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut response)).await;
    let text = String::from_utf8_lossy(&response).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

async fn check_refusals(after_failed_write: AfterFailedWrite) {
    let _running = RUNNING.lock().await;
    let world = World::start().await;
    let piece = vec![b'x'; BODY_BYTES / 4];
    let announced = format!("content-length: {}", OVERLONG_PIECES * piece.len());
    let sendings = [
        (announced.as_str(), piece.clone()),
        ("transfer-encoding: chunked", clients::chunk(&piece)),
    ];
    for (head, piece) in &sendings {
        for _ in 0..REFUSED_BODIES {
            let status = send_overlong(&world.target, head, piece, after_failed_write).await;
            assert!(status.starts_with("HTTP/1.1 413"), "{status:?} to {head}");
        }
    }
    world.target.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_refusals_of_bodies_over_the_limit_reach_the_client() {
    check_refusals(AfterFailedWrite::Reads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_refusals_reach_a_client_that_gives_up_at_a_failed_write() {
    check_refusals(AfterFailedWrite::GivesUp).await;
}
