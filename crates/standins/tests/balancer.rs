//! The balancer: round robin over the targets that are ready.

use std::{collections::BTreeMap, convert::Infallible, net::SocketAddr};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use http_body_util::Full;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use savoryvane_standins::{Balancer, BalancerSettings, client};
use tokio::net::TcpListener;

/// Starts a target that answers with its name, and is ready or not.
async fn target(name: &'static str, ready: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
                let is_check = request.uri().path() == "/ready";
                let mut response = Response::new(Full::new(Bytes::from(name)));
                if is_check && !ready {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                async move { Ok::<_, Infallible>(response) }
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    addr
}

#[tokio::test]
async fn connections_go_round_robin_to_ready_targets_only() {
    let targets = vec![
        target("first", true).await,
        target("second", true).await,
        target("unready", false).await,
    ];
    let balancer = Balancer::start(BalancerSettings {
        addr: "127.0.0.1:0".parse().unwrap(),
        targets,
        check_ms: 50,
    })
    .await
    .unwrap();
    let mut answered: BTreeMap<Bytes, u32> = BTreeMap::new();
    for _ in 0..12 {
        let (_, body) = client::exchange(balancer.addr(), Method::GET, "/", "")
            .await
            .unwrap();
        *answered.entry(body).or_default() += 1;
    }
    assert!(!answered.contains_key("unready".as_bytes()), "{answered:?}");
    assert_eq!(answered.len(), 2, "{answered:?}");
    balancer.stop().await;
}
