//! Replacement of a placer process that is frozen and later resumed.

mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::time::Duration;

use common::{ZONE, confirm, intent, send_as_operator, settings_text};
use http::{Method, StatusCode};
use process::Entry;
use savoryvane_core::objects::{Fencing, StageKind};
use savoryvane_standins::{
    BackendServer, BackendSettings, ListServer, ListSettings, LogServer, LogSettings, client,
};
use savoryvane_wire::{
    backend::LoadReport,
    placer::PlacerView,
    platform::{Listed, ListedRole, ListedState},
};
use serde_json::{Value, json};
use tokio::time;

/// With these settings a placer may give orders for 1 s after a renewal, and is
/// replaced after 1.7 s of silence.
const SETTINGS: &str = "placement: {renewal_ms: 500, order_timeout_ms: 200}";
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn placer_view(entry: &Entry) -> PlacerView {
    let (status, view) =
        send_as_operator(entry.admin, Method::GET, "/admin/v1/placer", &Value::Null).await;
    assert_eq!(status, StatusCode::OK, "{view}");
    serde_json::from_value(view).unwrap()
}

/// Waits until one of the entries in `among` acts as the placer. Returns its index
/// and term.
async fn wait_for_placer(entries: &[Entry], among: &[usize]) -> (usize, u64) {
    let poll = async {
        loop {
            for index in among {
                let view = placer_view(&entries[*index]).await;
                if let (true, Some(term)) = (view.gives_orders, view.term) {
                    return (*index, term.0);
                }
            }
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(TIMEOUT, poll).await.expect("a placer")
}

async fn wait_for_chat(engine: &BackendServer) {
    let poll = async {
        loop {
            let load = client::exchange(engine.addr(), Method::GET, "/v1/load", "").await;
            let report: LoadReport = serde_json::from_slice(&load.unwrap().1).unwrap();
            if report.models.contains(&"chat".into()) {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(TIMEOUT, poll).await.expect("chat is loaded");
}

async fn start_entry(name: &str, log: &LogServer, list: &ListServer) -> Entry {
    let settings = settings_text(name, log.addr(), list.addr(), SETTINGS);
    let entry = Entry::start(&settings);
    list.put(Listed {
        name: name.to_owned(),
        role: ListedRole::Entry,
        zone: ZONE.into(),
        addr: entry.peer,
        state: ListedState::Live,
    });
    entry
}

#[tokio::test]
async fn a_placer_process_that_is_frozen_is_replaced_and_stays_so_when_it_wakes() {
    let log = LogServer::start(LogSettings::default()).await.unwrap();
    let list = ListServer::start(ListSettings::default()).await.unwrap();
    let mut engine = BackendSettings::new("generate-0", StageKind::Generate);
    engine.fencing = Fencing::Checked;
    let engine = BackendServer::start(engine).await.unwrap();
    let mut entries = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        entries.push(start_entry(name, &log, &list).await);
    }
    let backend = json!({ "name": "generate-0", "pool": "generate", "zone": ZONE,
        "addr": engine.addr(), "slots": 8 });
    confirm(entries[0].admin, &intent(&[backend])).await;
    wait_for_chat(&engine).await;

    let (old, old_term) = wait_for_placer(&entries, &[0, 1, 2]).await;
    entries[old].freeze();
    let others: Vec<_> = (0..3).filter(|index| *index != old).collect();
    let (new, new_term) = wait_for_placer(&entries, &others).await;
    assert!(new_term > old_term);
    entries[old].thaw();

    for _ in 0..40 {
        let resumed_view = placer_view(&entries[old]).await;
        assert!(!resumed_view.gives_orders, "{resumed_view:?}");
        time::sleep(POLL_INTERVAL).await;
    }
    let (placer_index, term) = wait_for_placer(&entries, &[0, 1, 2]).await;
    assert_eq!((placer_index, term), (new, new_term));
    wait_for_chat(&engine).await;
}
