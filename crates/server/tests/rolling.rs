//! Rolling restart: entry instances behind a load balancer stop in sequence while
//! callers with persistent connections keep sending requests.

mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use common::{Deployment, confirm, credential, expected, read_answer};
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use process::Entry;
use savoryvane_core::ids::RequestId;
use savoryvane_standins::{
    Balancer, BalancerSettings, Error,
    client::{self, Connection, Version},
};
use serde_json::{Value, json};
use tokio::time;

const ENTRIES: usize = 3;
const CHECK_INTERVAL_MS: u64 = 100;

/// Sends requests in sequence over one connection for as long as the instance keeps it
/// open. A request that HTTP reports as unprocessed is sent again on a new connection
/// under a new id. Returns the number of answered requests and the ids of the
/// unprocessed ones.
async fn send_until_done(
    addr: SocketAddr,
    version: Version,
    client_index: usize,
    is_done: Arc<AtomicBool>,
) -> (u32, Vec<RequestId>) {
    let mut connection = Connection::open(addr, version).await.unwrap();
    let mut unprocessed = Vec::new();
    let mut number = 0;
    while !is_done.load(Ordering::Relaxed) {
        let input = json!({ "asker": client_index, "number": number });
        let id = RequestId::new(format!("{client_index}-{number}-{}", unprocessed.len()));
        let response = match connection.send(request(addr, &id, &input)).await {
            Ok(response) => response,
            Err(err) if is_unprocessed(&err) => {
                unprocessed.push(id);
                connection = Connection::open(addr, version).await.unwrap();
                continue;
            }
            Err(err) => panic!("{version:?}: {err:?}"),
        };
        let (status, answer) = read_answer(response).await;
        assert_eq!(status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.output, Some(expected(&input)));
        number += 1;
    }
    (number, unprocessed)
}

fn request(addr: SocketAddr, id: &RequestId, input: &Value) -> Request<Full<Bytes>> {
    let body = json!({ "input": input }).to_string();
    let path = "/v1/pipelines/quote/requests";
    let mut request = client::request(addr, Method::POST, path, body).unwrap();
    let bearer = format!("Bearer {}", credential("vakwerk"));
    let headers = request.headers_mut();
    headers.insert("x-workspace", "vakwerk".parse().unwrap());
    headers.insert("x-request-id", id.as_str().parse().unwrap());
    headers.insert(header::AUTHORIZATION, bearer.parse().unwrap());
    request
}

/// Returns whether the request was not processed: no byte of it was sent (HTTP/1.1), or
/// the instance rejected it by GOAWAY or REFUSED_STREAM (HTTP/2).
fn is_unprocessed(err: &Error) -> bool {
    let Error::Http(err) = err else { return false };
    let source = std::error::Error::source(err).and_then(|x| x.downcast_ref::<h2::Error>());
    let is_refused = |err: &h2::Error| {
        let reason = err.reason();
        (err.is_go_away() && reason == Some(h2::Reason::NO_ERROR))
            || reason == Some(h2::Reason::REFUSED_STREAM)
    };
    err.is_canceled() || source.is_some_and(is_refused)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stops_of_entry_instances_interrupt_no_caller() {
    let drain = "drain: {grace_ms: 1000, timeout_ms: 10000}";
    let deployment = Deployment::without_instances(drain).await;
    let mut entries: Vec<_> = (0..ENTRIES)
        .map(|index| Entry::start(&deployment.settings_text(&format!("entry-{index}"))))
        .collect();
    confirm(entries[0].admin, &deployment.intent()).await;
    time::sleep(Duration::from_secs(1)).await;
    let balancer = Balancer::start(BalancerSettings {
        addr: SocketAddr::from(([127, 0, 0, 1], 0)),
        targets: entries.iter().map(|entry| entry.caller).collect(),
        check_ms: CHECK_INTERVAL_MS,
    })
    .await
    .unwrap();
    let is_done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|client_index| {
            let version = [Version::Http1, Version::Http2][client_index % 2];
            let sending =
                send_until_done(balancer.addr(), version, client_index, Arc::clone(&is_done));
            tokio::spawn(sending)
        })
        .collect();
    time::sleep(Duration::from_millis(300)).await;

    for mut entry in entries.drain(1..) {
        entry.terminate();
        let code = tokio::task::spawn_blocking(move || entry.wait());
        assert_eq!(code.await.unwrap(), Some(0));
    }

    time::sleep(Duration::from_millis(300)).await;
    is_done.store(true, Ordering::Relaxed);
    let processed: HashSet<_> = deployment
        .backends
        .iter()
        .flat_map(|backend| backend.ran())
        .map(|call| call.id.request)
        .collect();
    for client in clients {
        let (answered, unprocessed) = client.await.unwrap();
        assert!(answered > 0);
        assert!(unprocessed.iter().all(|id| !processed.contains(id)));
    }
}
