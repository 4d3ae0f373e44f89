//! Membership and quota sharing of nine instance processes in three availability
//! zones. Instances are frozen, killed, restarted at the same address and stopped.

mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::{net::SocketAddr, time::Duration};

use common::{
    KINDS, confirm, credential, intent, send, send_as_operator, sha256, start_backends, submit,
};
use http::{Method, StatusCode};
use process::Entry;
use savoryvane_standins::{
    BackendServer, ListServer, ListSettings, LogServer, LogSettings, client::Version,
};
use savoryvane_wire::{
    admin::{InstanceView, Reach},
    platform::{Listed, ListedRole, ListedState},
};
use serde_json::{Value, json};
use tokio::time::{self, Instant};

const ZONES: [&str; 3] = ["hal-utrecht", "hal-amersfoort", "hal-gouda"];
const INSTANCES: usize = 9;

struct Cluster {
    log: LogServer,
    list: ListServer,
    backends: Vec<BackendServer>,
    entries: Vec<Entry>,
}

impl Cluster {
    async fn start() -> Self {
        let backends = start_backends().await;
        let mut cluster = Self {
            log: LogServer::start(LogSettings::default()).await.unwrap(),
            list: ListServer::start(ListSettings::default()).await.unwrap(),
            backends,
            entries: Vec::new(),
        };
        for index in 0..INSTANCES {
            let entry = cluster
                .start_entry(index, "127.0.0.1:0".parse().unwrap())
                .await;
            cluster.list.put(listed(index, entry.peer));
            cluster.entries.push(entry);
        }
        cluster
            .wait_views("all instances are live", 15, |views| {
                views.iter().all(|view| view.state == "live")
            })
            .await;
        cluster
    }

    async fn start_entry(&self, index: usize, peer: SocketAddr) -> Entry {
        let settings = format!(
            "instance: entry-{index}\nzone: {}\nregion: nl-midden\n\
             listen: {{caller: '127.0.0.1:0', peer: '{peer}', admin: '127.0.0.1:0'}}\n\
             platform: {{log: '{}', list: '{}'}}\n\
             admin: {{credential_sha256: {}}}\nlog: {{level: error}}\n\
             drain: {{grace_ms: 3000}}\n",
            ZONES[index % 3],
            self.log.addr(),
            self.list.addr(),
            sha256(common::OPERATOR_CREDENTIAL),
        );
        let started = tokio::task::spawn_blocking(move || Entry::start(&settings));
        started.await.unwrap()
    }

    async fn views(&self, observer: usize) -> Vec<InstanceView> {
        let admin = self.entries[observer].admin;
        let (status, views) =
            send_as_operator(admin, Method::GET, "/admin/v1/instances", &json!({})).await;
        assert_eq!(status, StatusCode::OK);
        serde_json::from_value(views).unwrap()
    }

    async fn state(&self, observer: usize, subject: usize) -> String {
        let views = self.views(observer).await;
        let name = format!("entry-{subject}");
        let view = views.into_iter().find(|view| view.name.as_str() == name);
        view.map(|view| view.state).unwrap_or_default()
    }

    /// Waits until `condition` holds for the view of every instance. Returns the time
    /// it took.
    async fn wait_views(
        &self,
        what: &str,
        limit_s: u64,
        condition: impl Fn(&[InstanceView]) -> bool,
    ) -> Duration {
        let start = Instant::now();
        for observer in 0..INSTANCES {
            loop {
                let views = self.views(observer).await;
                if views.len() == INSTANCES && condition(&views) {
                    break;
                }
                let elapsed = start.elapsed();
                assert!(
                    elapsed < Duration::from_secs(limit_s),
                    "{what}, at {observer}: {views:?}"
                );
                time::sleep(Duration::from_millis(20)).await;
            }
        }
        start.elapsed()
    }

    async fn wait_state(
        &self,
        observer: usize,
        subject: usize,
        state: &str,
        limit_s: u64,
    ) -> Duration {
        let start = Instant::now();
        loop {
            let observed = self.state(observer, subject).await;
            if observed == state {
                return start.elapsed();
            }
            let elapsed = start.elapsed();
            assert!(
                elapsed < Duration::from_secs(limit_s),
                "{subject} at {observer} is {observed}, not {state}"
            );
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn reach(&self, observer: usize, offset: u64) -> Reach {
        let path = format!("/admin/v1/reach?offset={offset}");
        let (_, reach) =
            send_as_operator(self.entries[observer].admin, Method::GET, &path, &json!({})).await;
        serde_json::from_value(reach).unwrap()
    }

    fn intent(&self) -> Value {
        let backend = |(index, server): (usize, &BackendServer)| {
            let (name, _) = KINDS[index / 2];
            json!({ "name": format!("{name}-{}", index % 2), "pool": name, "zone": ZONES[0],
                "addr": server.addr(), "slots": 64 })
        };
        let backends: Vec<_> = self.backends.iter().enumerate().map(backend).collect();
        intent(&backends)
    }
}

fn listed(index: usize, addr: SocketAddr) -> Listed {
    Listed {
        name: format!("entry-{index}"),
        role: ListedRole::Entry,
        zone: ZONES[index % 3].into(),
        addr,
        state: ListedState::Live,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nine_processes_know_each_other_through_freeze_kill_restart_and_stop() {
    let mut cluster = Cluster::start().await;

    let confirmation = confirm(cluster.entries[0].admin, &cluster.intent()).await;
    let start = Instant::now();
    for observer in 0..INSTANCES {
        loop {
            let reach = cluster.reach(observer, confirmation.offset.0).await;
            if (reach.in_force, reach.listed) == (9, 9) {
                break;
            }
            assert!(
                start.elapsed() < Duration::from_secs(4),
                "{observer}: {reach:?}"
            );
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    // Instances 0, 3 and 6 are in the same zone.
    cluster.entries[3].signal("-STOP");
    cluster.wait_state(0, 3, "silent", 10).await;
    assert_eq!(cluster.state(0, 6).await, "live");
    cluster.entries[3].signal("-CONT");
    cluster.wait_state(0, 3, "live", 6).await;
    cluster.wait_state(3, 0, "live", 6).await;

    let peer = cluster.entries[6].peer;
    cluster.entries[6].signal("-KILL");
    cluster.wait_state(0, 6, "silent", 10).await;
    cluster.entries[6] = cluster.start_entry(6, peer).await;
    cluster.wait_state(0, 6, "live", 6).await;
    cluster.wait_state(6, 3, "live", 6).await;

    cluster.entries[6].terminate();
    let elapsed_until_leaving = cluster.wait_state(0, 6, "leaving", 4).await;
    assert!(
        elapsed_until_leaving < Duration::from_millis(2_000),
        "{elapsed_until_leaving:?}"
    );
    cluster.wait_state(3, 6, "leaving", 4).await;
}

async fn count_admitted(entry: &Entry, requests: usize) -> (usize, usize) {
    let input = json!({ "text": "gilded sign" });
    let (mut admitted, mut over_quota) = (0, 0);
    for _ in 0..requests {
        let response = submit(entry.caller, "quote", &input, &[]).await;
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS => over_quota += 1,
            _ => admitted += 1,
        }
    }
    (admitted, over_quota)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nine_processes_share_a_quota_and_one_busy_instance_borrows_it() {
    let cluster = Cluster::start().await;
    let mut intent = cluster.intent();
    intent["workspaces"][0]["quota_per_s"] = json!(36);
    confirm(cluster.entries[0].admin, &intent).await;
    assert_eq!(credential("vakwerk"), "vakwerk-secret");
    let ready_status = |entry: &Entry| {
        let caller = entry.caller;
        async move {
            send(Version::Http1, caller, Method::GET, "/ready", "", &[])
                .await
                .status()
        }
    };
    for entry in &cluster.entries {
        while ready_status(entry).await != StatusCode::OK {
            time::sleep(Duration::from_millis(20)).await;
        }
    }
    // A new home raises no instance's share for some seconds.
    time::sleep(Duration::from_secs(14)).await;
    let start = Instant::now();
    let (mut admitted, mut over_quota) = (0, 0);
    while start.elapsed() < Duration::from_secs(6) {
        let (newly_admitted, refused) = count_admitted(&cluster.entries[4], 5).await;
        admitted += newly_admitted;
        over_quota += refused;
        time::sleep(Duration::from_millis(20)).await;
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    let max_admitted = 36.0 * elapsed_s + 2.5 * 36.0 + 27.0;
    assert!(
        admitted as f64 <= max_admitted,
        "{admitted} of {}",
        admitted + over_quota
    );
    // The instance's equal share of one ninth is 4 requests/s and a burst of 8.
    let equal_share = 4.0 * elapsed_s + 8.0;
    assert!(
        admitted as f64 >= 2.0 * equal_share,
        "{admitted} of {} in {elapsed_s} s",
        admitted + over_quota
    );
}
