//! Nine instances as processes in three availability zones: they find each other,
//! one is frozen, killed, restarted at its address and stopped, and a quota is
//! shared.

mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::{net::SocketAddr, time::Duration};

use common::{KINDS, confirm, credential, intent, operate, send, sha256, start_backends, submit};
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
const COUNT: usize = 9;

struct Nine {
    log: LogServer,
    list: ListServer,
    backends: Vec<BackendServer>,
    entries: Vec<Entry>,
}

impl Nine {
    async fn start() -> Self {
        let backends = start_backends().await;
        let mut nine = Self {
            log: LogServer::start(LogSettings::default()).await.unwrap(),
            list: ListServer::start(ListSettings::default()).await.unwrap(),
            backends,
            entries: Vec::new(),
        };
        for index in 0..COUNT {
            let entry = nine.entry(index, "127.0.0.1:0".parse().unwrap()).await;
            nine.list.put(listed(index, entry.peer));
            nine.entries.push(entry);
        }
        nine.wait("everyone is live", 15, |views| {
            views.iter().all(|view| view.state == "live")
        })
        .await;
        nine
    }

    async fn entry(&self, index: usize, peer: SocketAddr) -> Entry {
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

    async fn views(&self, at: usize) -> Vec<InstanceView> {
        let admin = self.entries[at].admin;
        let (status, views) = operate(admin, Method::GET, "/admin/v1/instances", &json!({})).await;
        assert_eq!(status, StatusCode::OK);
        serde_json::from_value(views).unwrap()
    }

    async fn state(&self, at: usize, of: usize) -> String {
        let views = self.views(at).await;
        let name = format!("entry-{of}");
        let view = views.into_iter().find(|view| view.name.as_str() == name);
        view.map(|view| view.state).unwrap_or_default()
    }

    /// Waits until what every instance sees holds; returns the time it took.
    async fn wait(
        &self,
        what: &str,
        limit_s: u64,
        holds: impl Fn(&[InstanceView]) -> bool,
    ) -> Duration {
        let start = Instant::now();
        for at in 0..COUNT {
            loop {
                let views = self.views(at).await;
                if views.len() == COUNT && holds(&views) {
                    break;
                }
                let waited = start.elapsed();
                assert!(
                    waited < Duration::from_secs(limit_s),
                    "{what}, at {at}: {views:?}"
                );
                time::sleep(Duration::from_millis(20)).await;
            }
        }
        start.elapsed()
    }

    async fn wait_state(&self, at: usize, of: usize, state: &str, limit_s: u64) -> Duration {
        let start = Instant::now();
        loop {
            let seen = self.state(at, of).await;
            if seen == state {
                return start.elapsed();
            }
            let waited = start.elapsed();
            assert!(
                waited < Duration::from_secs(limit_s),
                "{of} at {at} is {seen}, not {state}"
            );
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn reach(&self, at: usize, offset: u64) -> Reach {
        let path = format!("/admin/v1/reach?offset={offset}");
        let (_, reach) = operate(self.entries[at].admin, Method::GET, &path, &json!({})).await;
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
    let mut nine = Nine::start().await;

    let confirmation = confirm(nine.entries[0].admin, &nine.intent()).await;
    let start = Instant::now();
    for at in 0..COUNT {
        loop {
            let reach = nine.reach(at, confirmation.offset.0).await;
            if (reach.in_force, reach.listed) == (9, 9) {
                break;
            }
            assert!(start.elapsed() < Duration::from_secs(4), "{at}: {reach:?}");
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    // Instances 0, 3 and 6 stand in one zone.
    nine.entries[3].signal("-STOP");
    nine.wait_state(0, 3, "silent", 10).await;
    assert_eq!(nine.state(0, 6).await, "live");
    nine.entries[3].signal("-CONT");
    nine.wait_state(0, 3, "live", 6).await;
    nine.wait_state(3, 0, "live", 6).await;

    let peer = nine.entries[6].peer;
    nine.entries[6].signal("-KILL");
    nine.wait_state(0, 6, "silent", 10).await;
    nine.entries[6] = nine.entry(6, peer).await;
    nine.wait_state(0, 6, "live", 6).await;
    nine.wait_state(6, 3, "live", 6).await;

    nine.entries[6].terminate();
    let took = nine.wait_state(0, 6, "leaving", 4).await;
    assert!(took < Duration::from_millis(2_000), "{took:?}");
    nine.wait_state(3, 6, "leaving", 4).await;
}

async fn admitted(entry: &Entry, requests: usize) -> (usize, usize) {
    let input = json!({ "text": "gilded sign" });
    let (mut taken, mut over) = (0, 0);
    for _ in 0..requests {
        let reply = submit(entry.caller, "quote", &input, &[]).await;
        match reply.status() {
            StatusCode::TOO_MANY_REQUESTS => over += 1,
            _ => taken += 1,
        }
    }
    (taken, over)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nine_processes_share_a_quota_and_one_busy_instance_borrows_it() {
    let nine = Nine::start().await;
    let mut intent = nine.intent();
    intent["workspaces"][0]["quota_per_s"] = json!(36);
    confirm(nine.entries[0].admin, &intent).await;
    assert_eq!(credential("vakwerk"), "vakwerk-secret");
    let ready = |entry: &Entry| {
        let caller = entry.caller;
        async move {
            send(Version::Http1, caller, Method::GET, "/ready", "", &[])
                .await
                .status()
        }
    };
    for entry in &nine.entries {
        while ready(entry).await != StatusCode::OK {
            time::sleep(Duration::from_millis(20)).await;
        }
    }
    // New homes raise nobody for some seconds.
    time::sleep(Duration::from_secs(14)).await;
    let start = Instant::now();
    let (mut taken, mut over) = (0, 0);
    while start.elapsed() < Duration::from_secs(6) {
        let (more, refused) = admitted(&nine.entries[4], 5).await;
        taken += more;
        over += refused;
        time::sleep(Duration::from_millis(20)).await;
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    let most = 36.0 * elapsed_s + 2.5 * 36.0 + 27.0;
    assert!(taken as f64 <= most, "{taken} of {}", taken + over);
    // Its own ninth alone would be 4 a second and 8 at once.
    let alone = 4.0 * elapsed_s + 8.0;
    assert!(
        taken as f64 >= 2.0 * alone,
        "{taken} of {} in {elapsed_s} s",
        taken + over
    );
}
