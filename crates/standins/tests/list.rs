//! The platform's list: lag and outage.

use std::time::Duration;

use http::{Method, StatusCode};
use savoryvane_standins::{ListFaults, ListServer, ListSettings, client};
use savoryvane_wire::platform::{Listed, ListedRole, ListedState, Listing};

const LAG_MS: u64 = 500;

fn entry(name: &str) -> Listed {
    Listed {
        name: name.to_owned(),
        role: ListedRole::Entry,
        zone: "hal-utrecht".into(),
        addr: "127.0.0.1:7001".parse().unwrap(),
        state: ListedState::Live,
    }
}

async fn start() -> ListServer {
    let settings = ListSettings {
        lag_ms: LAG_MS,
        ..ListSettings::default()
    };
    ListServer::start(settings).await.unwrap()
}

async fn names(list: &ListServer) -> Vec<String> {
    let listing: Listing = client::get_json(list.addr(), "/v1/instances")
        .await
        .unwrap();
    listing.entries.into_iter().map(|e| e.name).collect()
}

#[tokio::test]
async fn changes_show_after_the_lag() {
    let list = start().await;
    client::send_json(
        list.addr(),
        Method::PUT,
        "/v1/instances/entry-1",
        &entry("entry-1"),
    )
    .await
    .unwrap();
    assert!(names(&list).await.is_empty());
    tokio::time::sleep(Duration::from_millis(LAG_MS + 20)).await;
    assert_eq!(names(&list).await, ["entry-1"]);
    list.remove("entry-1");
    assert_eq!(names(&list).await, ["entry-1"]);
    tokio::time::sleep(Duration::from_millis(LAG_MS + 20)).await;
    assert!(names(&list).await.is_empty());
    list.stop().await;
}

#[tokio::test]
async fn a_name_that_differs_from_the_path_is_refused() {
    let list = start().await;
    let sent = client::send_json(
        list.addr(),
        Method::PUT,
        "/v1/instances/entry-2",
        &entry("entry-1"),
    )
    .await;
    assert!(sent.is_err());
    list.stop().await;
}

#[tokio::test]
async fn an_outage_refuses_reads() {
    let list = start().await;
    list.set_faults(ListFaults { outage: true });
    let (status, _) = client::exchange(list.addr(), Method::GET, "/v1/instances", "")
        .await
        .unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    list.stop().await;
}
