//! The platform log: offsets, retention, limits and faults.

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use savoryvane_core::ids::Offset;
use savoryvane_standins::{LogFaults, LogServer, LogSettings, client};
use savoryvane_wire::platform::{Appended, Records, Trimmed};
use tokio::time::{Instant, timeout};

const PATH: &str = "/v1/streams/config/records";

async fn start(settings: LogSettings) -> LogServer {
    LogServer::start(settings).await.unwrap()
}

async fn append(addr: SocketAddr, payload: &str) -> u64 {
    let (status, body) = client::exchange(addr, Method::POST, PATH, payload.to_owned())
        .await
        .unwrap();
    assert_eq!(status, StatusCode::OK);
    let appended: Appended = serde_json::from_slice(&body).unwrap();
    appended.offset.0
}

async fn read(addr: SocketAddr, query: &str) -> Records {
    client::get_json(addr, &format!("{PATH}?{query}"))
        .await
        .unwrap()
}

fn offsets(records: &Records) -> Vec<u64> {
    records.records.iter().map(|r| r.offset.0).collect()
}

#[tokio::test]
async fn appends_get_consecutive_offsets_and_reads_return_them_in_order() {
    let log = start(LogSettings::default()).await;
    for expected in 0..5 {
        assert_eq!(append(log.addr(), "x").await, expected);
    }
    let records = read(log.addr(), "from=2&limit=2").await;
    assert_eq!((records.first, records.next), (Offset(0), Offset(5)));
    assert_eq!(offsets(&records), [2, 3]);
    log.stop().await;
}

#[tokio::test]
async fn a_waiting_read_returns_at_the_next_append_or_empty_at_its_end() {
    let log = start(LogSettings::default()).await;
    let addr = log.addr();
    let waiting = tokio::spawn(async move { read(addr, "from=0&wait_ms=10000").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    append(addr, "x").await;
    let records = timeout(Duration::from_secs(2), waiting).await.unwrap();
    assert_eq!(offsets(&records.unwrap()), [0]);
    let started = Instant::now();
    assert!(read(addr, "from=1&wait_ms=50").await.records.is_empty());
    assert!(started.elapsed() >= Duration::from_millis(50));
    log.stop().await;
}

#[tokio::test]
async fn records_beyond_the_kept_count_are_gone() {
    let log = start(LogSettings {
        retention_records: 2,
        ..LogSettings::default()
    })
    .await;
    for _ in 0..5 {
        append(log.addr(), "x").await;
    }
    let (status, body) = client::exchange(log.addr(), Method::GET, &format!("{PATH}?from=0"), "")
        .await
        .unwrap();
    assert_eq!(status, StatusCode::GONE);
    let trimmed: Trimmed = serde_json::from_slice(&body).unwrap();
    assert_eq!(trimmed.first, Offset(3));
    log.stop().await;
}

#[tokio::test]
async fn records_beyond_the_kept_age_are_gone_and_offsets_go_on() {
    let log = start(LogSettings {
        retention_ms: 30,
        ..LogSettings::default()
    })
    .await;
    append(log.addr(), "x").await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let records = read(log.addr(), "from=1").await;
    assert_eq!((records.first, records.next), (Offset(1), Offset(1)));
    assert_eq!(append(log.addr(), "y").await, 1);
    log.stop().await;
}

#[tokio::test]
async fn appends_over_the_rate_are_refused() {
    let log = start(LogSettings {
        appends_per_s: 3,
        ..LogSettings::default()
    })
    .await;
    let mut refused = 0;
    for _ in 0..10 {
        let (status, _) = client::exchange(log.addr(), Method::POST, PATH, "x")
            .await
            .unwrap();
        refused += u32::from(status == StatusCode::TOO_MANY_REQUESTS);
    }
    assert!(refused >= 5, "{refused} refused");
    log.stop().await;
}

#[tokio::test]
async fn a_payload_over_the_limit_is_refused() {
    let log = start(LogSettings {
        max_payload_bytes: 10,
        ..LogSettings::default()
    })
    .await;
    let (status, _) = client::exchange(log.addr(), Method::POST, PATH, "12345678901")
        .await
        .unwrap();
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    log.stop().await;
}

#[tokio::test]
async fn a_lost_append_answer_leaves_the_record() {
    let log = start(LogSettings::default()).await;
    log.set_faults(LogFaults {
        lose_append_answers: true,
        ..LogFaults::default()
    });
    let answer = client::exchange(log.addr(), Method::POST, PATH, "x").await;
    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(log.payloads("config"), [b"x"]);
    log.stop().await;
}

#[tokio::test]
async fn an_outage_set_over_http_ends_over_http() {
    let log = start(LogSettings::default()).await;
    let addr = log.addr();
    let fault = |outage| async move {
        let faults = LogFaults {
            outage,
            ..LogFaults::default()
        };
        client::send_json(addr, Method::POST, "/fault", &faults)
            .await
            .unwrap();
    };
    fault(true).await;
    let (status, _) = client::exchange(addr, Method::POST, PATH, "x")
        .await
        .unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    fault(false).await;
    assert_eq!(append(addr, "x").await, 0);
}

#[tokio::test]
async fn paused_delivery_skips_nothing_once_it_goes_on() {
    let log = start(LogSettings::default()).await;
    append(log.addr(), "before").await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    log.set_faults(LogFaults {
        pause_delivery: true,
        ..LogFaults::default()
    });
    assert_eq!(append(log.addr(), "during").await, 1);
    let paused = read(log.addr(), "from=0").await;
    assert_eq!((offsets(&paused), paused.next), (vec![0], Offset(1)));
    log.set_faults(LogFaults::default());
    assert_eq!(offsets(&read(log.addr(), "from=0").await), [0, 1]);
    log.stop().await;
}

#[tokio::test]
async fn a_hang_holds_an_append_until_it_is_lifted() {
    let log = start(LogSettings::default()).await;
    log.set_faults(LogFaults {
        hang: true,
        ..LogFaults::default()
    });
    let addr = log.addr();
    let held = tokio::spawn(async move { append(addr, "x").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(log.payloads("config").is_empty());
    log.set_faults(LogFaults::default());
    assert_eq!(held.await.unwrap(), 0);
    log.stop().await;
}

#[tokio::test]
async fn trimming_now_drops_every_record() {
    let log = start(LogSettings::default()).await;
    append(log.addr(), "x").await;
    log.set_faults(LogFaults {
        trim: true,
        ..LogFaults::default()
    });
    let (status, _) = client::exchange(log.addr(), Method::GET, &format!("{PATH}?from=0"), "")
        .await
        .unwrap();
    assert_eq!(status, StatusCode::GONE);
    assert_eq!(append(log.addr(), "y").await, 1);
    log.stop().await;
}
