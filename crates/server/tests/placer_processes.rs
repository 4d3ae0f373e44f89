//! The placer as a real process that is frozen, replaced and thawed.

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

/// Orders for 1 s after a renewal; replaced after 1.7 s of silence.
const SETTINGS: &str = "placement: {renewal_ms: 500, order_timeout_ms: 200}";
const WAIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);

async fn view(entry: &Entry) -> PlacerView {
    let (status, view) =
        send_as_operator(entry.admin, Method::GET, "/admin/v1/placer", &Value::Null).await;
    assert_eq!(status, StatusCode::OK, "{view}");
    serde_json::from_value(view).unwrap()
}

/// Waits until one of the entries named gives orders.
async fn placer(entries: &[Entry], among: &[usize]) -> (usize, u64) {
    let waiting = async {
        loop {
            for at in among {
                let view = view(&entries[*at]).await;
                if let (true, Some(term)) = (view.gives_orders, view.term) {
                    return (*at, term.0);
                }
            }
            time::sleep(POLL).await;
        }
    };
    time::timeout(WAIT, waiting).await.expect("a placer")
}

async fn wait_for_chat(engine: &BackendServer) {
    let waiting = async {
        loop {
            let load = client::exchange(engine.addr(), Method::GET, "/v1/load", "").await;
            let report: LoadReport = serde_json::from_slice(&load.unwrap().1).unwrap();
            if report.models.contains(&"chat".into()) {
                return;
            }
            time::sleep(POLL).await;
        }
    };
    time::timeout(WAIT, waiting).await.expect("chat is loaded");
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

    let (old, old_term) = placer(&entries, &[0, 1, 2]).await;
    entries[old].freeze();
    let others: Vec<_> = (0..3).filter(|at| *at != old).collect();
    let (new, new_term) = placer(&entries, &others).await;
    assert!(new_term > old_term);
    entries[old].thaw();

    for _ in 0..40 {
        let woken = view(&entries[old]).await;
        assert!(!woken.gives_orders, "{woken:?}");
        time::sleep(POLL).await;
    }
    let (still, term) = placer(&entries, &[0, 1, 2]).await;
    assert_eq!((still, term), (new, new_term));
    wait_for_chat(&engine).await;
}
