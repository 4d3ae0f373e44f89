//! Entry instances are stopped one after another behind a balancer, under
//! callers that keep their connections.

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
const CHECK_MS: u64 = 100;

/// Sends requests one after another over a connection that is kept for as long
/// as the instance allows. A request that the connection gave back unsent, as
/// HTTP has it, is sent over another one under another id. Returns how many were
/// answered and the ids that were given back.
async fn keep_asking(
    addr: SocketAddr,
    version: Version,
    asker: usize,
    is_over: Arc<AtomicBool>,
) -> (u32, Vec<RequestId>) {
    let mut connection = Connection::open(addr, version).await.unwrap();
    let mut given_back = Vec::new();
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let input = json!({ "asker": asker, "number": number });
        let id = RequestId::new(format!("{asker}-{number}-{}", given_back.len()));
        let reply = match connection.send(request(addr, &id, &input)).await {
            Ok(reply) => reply,
            Err(err) if is_given_back(&err) => {
                given_back.push(id);
                connection = Connection::open(addr, version).await.unwrap();
                continue;
            }
            Err(err) => panic!("{version:?}: {err:?}"),
        };
        let (status, answer) = read_answer(reply).await;
        assert_eq!(status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.output, Some(expected(&input)));
        number += 1;
    }
    (number, given_back)
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

/// Tells whether no byte of the request left the caller (HTTP/1.1), or the
/// instance said that it will not look at it (HTTP/2).
fn is_given_back(err: &Error) -> bool {
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
        check_ms: CHECK_MS,
    })
    .await
    .unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let askers: Vec<_> = (0..6)
        .map(|asker| {
            let version = [Version::Http1, Version::Http2][asker % 2];
            let asking = keep_asking(balancer.addr(), version, asker, Arc::clone(&is_over));
            tokio::spawn(asking)
        })
        .collect();
    time::sleep(Duration::from_millis(300)).await;

    for mut entry in entries.drain(1..) {
        entry.terminate();
        let code = tokio::task::spawn_blocking(move || entry.wait());
        assert_eq!(code.await.unwrap(), Some(0));
    }

    time::sleep(Duration::from_millis(300)).await;
    is_over.store(true, Ordering::Relaxed);
    let ran: HashSet<_> = deployment
        .backends
        .iter()
        .flat_map(|backend| backend.ran())
        .map(|call| call.id.request)
        .collect();
    for asker in askers {
        let (answered, given_back) = asker.await.unwrap();
        assert!(answered > 0);
        assert!(given_back.iter().all(|id| !ran.contains(id)));
    }
}
