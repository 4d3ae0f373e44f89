//! Validation of callers' requests, and the responses to refused requests.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Deployment, credential, expected, read_answer, read_body, send, submit};
use http::{Method, StatusCode};
use savoryvane_core::outcome::Outcome;
use savoryvane_standins::client::Version;
use savoryvane_wire::caller::Answer;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

const READ_TIMEOUT: Duration = Duration::from_secs(10);
const QUOTE_PATH: &str = "/v1/pipelines/quote/requests";

/// Sends raw bytes and reads until the peer closes the connection.
async fn exchange_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // The peer may reset the connection after its response.
    let _ = time::timeout(READ_TIMEOUT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn read_refusal(response: http::Response<hyper::body::Incoming>) -> (StatusCode, Answer) {
    let outcome = response.headers()["x-outcome"].to_str().unwrap().to_owned();
    assert_eq!(response.headers()["x-instance"], "entry-1");
    let (status, answer) = read_answer(response).await;
    assert_eq!(answer.outcome.as_str(), outcome);
    assert!(answer.output.is_none());
    (status, answer)
}

#[tokio::test]
async fn answer_carries_request_id_outcome_and_instance() {
    let deployment = Deployment::start().await;
    let id = [("x-request-id", "order-17")];

    let response = submit(deployment.caller(), "quote", &json!(1), &id).await;

    assert_eq!(response.headers()["x-request-id"], "order-17");
    assert_eq!(response.headers()["x-outcome"], "complete");
    assert_eq!(response.headers()["x-instance"], "entry-1");
    let (_, answer) = read_answer(response).await;
    assert_eq!(answer.request_id.as_str(), "order-17");
}

#[tokio::test]
async fn workspace_uses_its_own_pipelines_with_its_own_credential_only() {
    let deployment = Deployment::start().await;
    let addr = deployment.caller();
    let taalghar_bearer = format!("Bearer {}", credential("taalghar"));
    let unauthorized: [&[(&str, &str)]; 4] = [
        &[("authorization", "Bearer wrong")],
        &[("authorization", &taalghar_bearer)],
        &[("authorization", "Basic dmFrd2Vyaw==")],
        &[("x-workspace", "nobody")],
    ];
    for headers in unauthorized {
        let (status, answer) = read_refusal(submit(addr, "quote", &json!(1), headers).await).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED, "{headers:?}");
        assert_eq!(answer.outcome, Outcome::NotRun);
    }
    // Pipeline `quote` exists, but not for this workspace.
    let taalghar = [
        ("x-workspace", "taalghar"),
        ("authorization", &*taalghar_bearer),
    ];
    for pipeline in ["quote", "no-such"] {
        let (status, answer) =
            read_refusal(submit(addr, pipeline, &json!(1), &taalghar).await).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
        assert_eq!(answer.reason.as_deref(), Some("no_such_pipeline"));
    }
    assert!(deployment.backends.iter().all(|x| x.ran().is_empty()));
}

#[tokio::test]
async fn non_idempotent_pipeline_needs_a_claim() {
    let deployment = Deployment::start().await;

    let response = submit(deployment.caller(), "hold", &json!(1), &[]).await;

    assert_eq!(response.headers()["retry-after"], "1");
    let (status, answer) = read_refusal(response).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome, Outcome::NotStarted);
    assert!(deployment.backends.iter().all(|x| x.ran().is_empty()));
}

#[tokio::test]
async fn bad_headers_and_bodies_are_told_apart() {
    let deployment = Deployment::start().await;
    let addr = deployment.caller();
    let long_id = "x".repeat(129);
    for (name, value) in [
        ("x-request-id", long_id.as_str()),
        ("x-request-id", ""),
        ("x-deadline-ms", "soon"),
        ("x-deadline-ms", "0"),
        ("x-deadline-ms", "-5"),
        ("x-deadline-ms", "99999999999999999999"),
        ("x-workspace", "Not A Name"),
        ("idempotency-key", "with space"),
    ] {
        let (status, answer) =
            read_refusal(submit(addr, "quote", &json!(1), &[(name, value)]).await).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{name}: {value}");
        assert_eq!(answer.reason, Some(format!("bad_header: {name}")));
    }
    let bearer = format!("Bearer {}", credential("vakwerk"));
    let headers = [("x-workspace", "vakwerk"), ("authorization", &*bearer)];
    let deeply_nested = "[".repeat(100_000);
    let duplicate_field = r#"{"input":1,"input":2}"#;
    for body in [
        "",
        "{",
        "[]",
        r#"{"input":1,"more":2}"#,
        "\u{fffd}",
        &deeply_nested,
        duplicate_field,
    ] {
        let response = send(
            Version::Http1,
            addr,
            Method::POST,
            QUOTE_PATH,
            body,
            &headers,
        )
        .await;
        let (status, answer) = read_refusal(response).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{body:.20}");
        assert_eq!(answer.reason.as_deref(), Some("bad_body"));
    }
    for (method, path, expected) in [
        (Method::GET, QUOTE_PATH, StatusCode::METHOD_NOT_ALLOWED),
        (Method::POST, "/v1/pipelines/quote", StatusCode::NOT_FOUND),
        (
            Method::POST,
            "/v1/pipelines/a/b/requests",
            StatusCode::NOT_FOUND,
        ),
        (Method::POST, "/admin/v1/plans", StatusCode::NOT_FOUND),
    ] {
        let response = send(Version::Http1, addr, method, path, "{}", &headers).await;
        assert_eq!(read_refusal(response).await.0, expected, "{path}");
    }
    assert!(deployment.backends.iter().all(|x| x.ran().is_empty()));
}

#[tokio::test]
async fn refusal_with_a_key_has_outcome_not_started() {
    let deployment = Deployment::start().await;
    let headers = [("idempotency-key", "slot-4"), ("x-deadline-ms", "none")];
    let response = submit(deployment.caller(), "quote", &json!(1), &headers).await;
    let (_, answer) = read_refusal(response).await;
    assert_eq!(answer.outcome, Outcome::NotStarted);
}

#[tokio::test]
async fn large_heads_and_bodies_are_refused() {
    let settings = "limits: {header_bytes: 8192, body_bytes: 4096}";
    let deployment = Deployment::with_settings(settings).await;
    let addr = deployment.caller();

    let input = json!("x".repeat(8_192));
    let (status, answer) = read_refusal(submit(addr, "quote", &input, &[]).await).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(answer.reason.as_deref(), Some("large_body"));

    let head = format!(
        "GET /ready HTTP/1.1\r\nx-long: {}\r\n\r\n",
        "x".repeat(10_000)
    );
    let answer = exchange_raw(addr, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
}

#[tokio::test]
async fn malformed_bytes_get_a_400_and_disturb_nobody() {
    let deployment = Deployment::start().await;
    let addr = deployment.caller();
    for bytes in [
        &b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"[..],
        b"GET\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /v1/pipelines/quote/requests HTTP/1.1\r\ncontent-length: x\r\n\r\n",
        b"POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\nzz",
        b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
        b"\0\0\0\0\r\n\r\n",
    ] {
        let answer = exchange_raw(addr, bytes).await;
        assert!(answer.starts_with("HTTP/1.1 4"), "{bytes:?}: {answer:?}");
    }
    let input = json!("undisturbed");
    let (status, answer) = deployment.request_quote(&input).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer.output, Some(expected(&input)));
}

#[tokio::test]
async fn slow_callers_get_a_408_and_cost_nothing_to_others() {
    let settings = "limits: {header_timeout_ms: 200, body_timeout_ms: 200, max_in_flight: 4}";
    let deployment = Deployment::with_settings(settings).await;
    let addr = deployment.caller();
    let heads = [
        "",
        "P",
        "PRI * HTTP/2.0\r\n",
        "POST /v1/pipelines/quote/requests HTTP/1.1\r\nx-a: ",
    ];
    let slow_heads =
        heads.map(|head| tokio::spawn(async move { exchange_raw(addr, head.as_bytes()).await }));

    let input = json!("quick");
    let (status, answer) = deployment.request_quote(&input).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer.output, Some(expected(&input)));

    for slow_head in slow_heads {
        let answer = slow_head.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    }
    let head = format!(
        "POST {QUOTE_PATH} HTTP/1.1\r\nhost: x\r\nx-workspace: vakwerk\r\n\
         authorization: Bearer {}\r\ncontent-length: 100\r\n\r\n{{",
        credential("vakwerk")
    );
    let answer = exchange_raw(addr, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    assert!(answer.contains("\"slow_body\""), "{answer:?}");
}

#[tokio::test]
async fn more_requests_than_allowed_are_shed_while_probes_are_answered() {
    let deployment = Deployment::with_settings("limits: {max_in_flight: 2}").await;
    let addr = deployment.caller();
    let requests: Vec<_> = (0..32)
        .map(|number| {
            tokio::spawn(async move {
                let input = json!(number);
                let (status, answer) = read_answer(submit(addr, "quote", &input, &[]).await).await;
                match status {
                    StatusCode::OK => assert_eq!(answer.output, Some(expected(&input))),
                    _ => assert_eq!(answer.reason.as_deref(), Some("overloaded")),
                }
                status
            })
        })
        .collect();
    let probe = send(Version::Http1, addr, Method::GET, "/ready", "", &[]).await;
    assert_eq!(probe.status(), StatusCode::OK);
    let mut statuses = Vec::new();
    for request in requests {
        statuses.push(request.await.unwrap());
    }
    assert!(statuses.contains(&StatusCode::OK));
    assert!(statuses.contains(&StatusCode::SERVICE_UNAVAILABLE));
}

#[tokio::test]
async fn passed_deadline_is_answered_immediately() {
    let deployment = Deployment::start().await;
    for backend in &deployment.backends {
        backend.set_faults(savoryvane_standins::BackendFaults {
            freeze: true,
            ..Default::default()
        });
    }
    let started_at = time::Instant::now();

    let headers = [("x-deadline-ms", "300")];
    let response = submit(deployment.caller(), "quote", &json!(1), &headers).await;

    let (status, answer) = read_refusal(response).await;
    let elapsed = started_at.elapsed();
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.outcome, Outcome::Failed);
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}

#[tokio::test]
async fn instance_without_configuration_reports_not_ready() {
    let mut deployment = Deployment::without_instances("").await;
    deployment.log.set_faults(savoryvane_standins::LogFaults {
        outage: true,
        ..Default::default()
    });
    deployment.add_instance("entry-1").await;
    let addr = deployment.caller();

    let probe = send(Version::Http1, addr, Method::GET, "/ready", "", &[]).await;
    assert_eq!(probe.status(), StatusCode::SERVICE_UNAVAILABLE);
    read_body(probe).await;
    let (status, answer) = read_refusal(submit(addr, "quote", &json!(1), &[]).await).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.reason.as_deref(), Some("not_ready"));
}
