//! Backend servers of a pipeline write a second copy of a refusal before the response to the next
//! call on a connection.

mod common;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{Deployment, read_answer, request_ticket, submit};
use savoryvane_core::outcome::Outcome;
use savoryvane_standins::BackendServer;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time,
};

const REQUESTS: usize = 12;
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
    content-length: 17\r\n\r\n{\"reason\":\"full\"}";
/// Interval between two requests, longer than a call takes.
const REQUEST_GAP: Duration = Duration::from_millis(60);

/// A proxy that writes a refusal as soon as a call arrives on a connection that has carried one
/// before.
struct RefusalProxy {
    addr: SocketAddr,
    refusals: Arc<AtomicUsize>,
}

impl RefusalProxy {
    async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let refusals = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&refusals);
        tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((caller, _)) = listener.accept().await {
                connections.spawn(forward(caller, server, Arc::clone(&counted)));
            }
        });
        Self { addr, refusals }
    }
}

async fn forward(
    caller: TcpStream,
    server: SocketAddr,
    refusals: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let server = TcpStream::connect(server).await?;
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let mut calls = 0;
    let mut request = vec![0; 64 * 1024];
    let mut response = vec![0; 64 * 1024];
    loop {
        tokio::select! {
            read = from_caller.read(&mut request) => {
                let length = read?;
                if length == 0 {
                    return Ok(());
                }
                if request[..length].starts_with(b"POST /v1/run") {
                    calls += 1;
                    if calls > 1 {
                        refusals.fetch_add(1, Ordering::Relaxed);
                        to_caller.write_all(REFUSAL.as_bytes()).await?;
                    }
                }
                to_server.write_all(&request[..length]).await?;
            }
            read = from_server.read(&mut response) => {
                let length = read?;
                if length == 0 {
                    return Ok(());
                }
                to_caller.write_all(&response[..length]).await?;
            }
        }
    }
}

/// Returns the deployment's intent with the servers of its first stage behind proxies.
async fn proxied(deployment: &Deployment) -> (Value, Vec<RefusalProxy>) {
    let mut intent = deployment.intent();
    let mut proxies = Vec::new();
    for index in 0..2 {
        let proxy = RefusalProxy::start(deployment.backends[index].addr()).await;
        intent["backends"][index]["addr"] = json!(proxy.addr);
        proxies.push(proxy);
    }
    (intent, proxies)
}

/// Returns how often the requests of `hold`, whose inputs are numbers, ran at the first stage.
fn hold_runs(deployment: &Deployment) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    let servers = deployment.backends[..2].iter();
    let calls = servers.flat_map(BackendServer::ran);
    for call in calls.filter(|call| call.input.is_number()) {
        *runs.entry(call.input.to_string()).or_insert(0) += 1;
    }
    runs
}

#[tokio::test]
async fn a_stage_that_may_run_once_does_not_run_twice_after_a_second_copy_of_a_refusal() {
    let mut deployment = Deployment::without_instances("").await;
    deployment.add_instance("entry-1").await;
    let (intent, proxies) = proxied(&deployment).await;
    deployment.confirm(&intent).await;
    deployment.wait_ready().await;
    let mut outcomes = Vec::new();
    for number in 0..REQUESTS {
        // Calls of a pipeline whose stages may be repeated leave connections behind.
        deployment.request_quote(&json!({ "number": number })).await;
        let ticket = request_ticket(deployment.caller()).await;
        let headers = [("x-ticket", ticket.as_str())];
        let response = submit(deployment.caller(), "hold", &json!(number), &headers).await;
        let (_, answer) = read_answer(response).await;
        outcomes.push(answer.outcome);
        time::sleep(REQUEST_GAP).await;
    }
    let refusals: usize = proxies
        .iter()
        .map(|proxy| proxy.refusals.load(Ordering::Relaxed))
        .sum();
    assert!(refusals > 0, "no connection was kept");
    let runs = hold_runs(&deployment);
    assert_eq!(runs.values().max(), Some(&1), "{runs:?}");
    assert_eq!(outcomes, vec![Outcome::Complete; REQUESTS]);
}
