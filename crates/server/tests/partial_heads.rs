//! Backend servers of a pipeline that stop in the middle of the head of a response.

mod common;

use std::net::SocketAddr;

use common::{Deployment, read_answer, request_ticket, submit};
use savoryvane_core::outcome::Outcome;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Interval between the lengths of the part of a head that is written.
const STEP: usize = 11;
const HEAD_BYTES: usize = 60;

/// Starts a proxy that closes each connection after `length` bytes of a response.
async fn stopping_proxy(server: SocketAddr, length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(forward(caller, server, length));
        }
    });
    addr
}

async fn forward(mut caller: TcpStream, server: SocketAddr, length: usize) -> std::io::Result<()> {
    let mut server = TcpStream::connect(server).await?;
    let mut request = vec![0; 64 * 1024];
    let read = caller.read(&mut request).await?;
    server.write_all(&request[..read]).await?;
    let mut response = vec![0; length];
    server.read_exact(&mut response).await?;
    caller.write_all(&response).await
}

#[tokio::test]
async fn a_stage_whose_response_stops_anywhere_in_its_head_does_not_count_as_complete() {
    for length in (0..HEAD_BYTES).step_by(STEP) {
        let mut deployment = Deployment::without_instances("").await;
        deployment.add_instance("entry-1").await;
        let mut intent = deployment.intent();
        for index in 0..2 {
            let proxy = stopping_proxy(deployment.backends[index].addr(), length).await;
            intent["backends"][index]["addr"] = json!(proxy);
        }
        deployment.confirm(&intent).await;
        deployment.wait_ready().await;
        let ticket = request_ticket(deployment.caller()).await;
        let headers = [("x-ticket", ticket.as_str())];
        let response = submit(deployment.caller(), "hold", &json!(length), &headers).await;
        let (_, answer) = read_answer(response).await;
        assert_eq!(
            answer.outcome,
            Outcome::Unknown,
            "{length} bytes: {answer:?}"
        );
        let ran = deployment.backends[..2]
            .iter()
            .map(|server| server.ran().len());
        assert!(ran.sum::<usize>() <= 1, "{length} bytes: it ran twice");
    }
}
