//! Configuration changes across processes that are frozen, killed and partitioned.

mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::time::Duration;

use common::{plan, send_as_operator, settings_text};
use http::{Method, StatusCode};
use process::Entry;
use savoryvane_standins::{
    LinkFaults, ListFaults, ListServer, ListSettings, LogFaults, LogServer, LogSettings, Relay,
    RelaySettings,
    client::{self, Connection, Version},
};
use savoryvane_wire::{
    admin::{Confirmation, InstanceView, Status},
    platform::{CONFIG_STREAM, Listed, ListedRole, ListedState},
};
use serde_json::{Value, json};
use tokio::time::{self, Instant};

const ZONES: [&str; 2] = ["hal-gouda", "hal-utrecht"];
const CONFIRM_PATH: &str = "/admin/v1/confirmations";
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for the processes to take over or give up following the log.
const ROLE_CHANGE_TIME: Duration = Duration::from_millis(1_500);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// A log, an instance list and entry processes in two availability zones.
struct Cluster {
    log: LogServer,
    list: ListServer,
    entries: Vec<Entry>,
    platform_settings: String,
}

impl Cluster {
    async fn start(processes: usize) -> Self {
        Self::with_retention(processes, 3_600_000).await
    }

    async fn with_retention(processes: usize, retention_ms: u64) -> Self {
        let log = LogServer::start(LogSettings {
            retention_ms,
            ..LogSettings::default()
        });
        let mut cluster = Self {
            log: log.await.unwrap(),
            list: ListServer::start(ListSettings::default()).await.unwrap(),
            entries: Vec::new(),
            platform_settings: format!("retention_ms: {retention_ms}, "),
        };
        for _ in 0..processes {
            cluster.add().await;
        }
        cluster.wait_settled().await;
        cluster
    }

    /// Waits until every process sees all members of its zone, and until the
    /// processes that need not follow the log have stopped following it.
    async fn wait_settled(&self) {
        let start = Instant::now();
        for index in 0..self.entries.len() {
            while !self.sees_whole_zone(index).await {
                assert!(
                    start.elapsed() < SETTLE_TIMEOUT,
                    "entry-{index} does not see its whole zone"
                );
                time::sleep(Duration::from_millis(20)).await;
            }
        }
        time::sleep(ROLE_CHANGE_TIME).await;
    }

    async fn sees_whole_zone(&self, index: usize) -> bool {
        let views = self.get(index, "/admin/v1/instances").await;
        let views: Vec<InstanceView> = serde_json::from_value(views).unwrap();
        let zone = ZONES[index % 2];
        let zone_views = views.iter().filter(|view| view.zone.as_str() == zone);
        zone_views.filter(|view| view.state == "live").count() == self.zone_size(zone)
    }

    fn zone_size(&self, zone: &str) -> usize {
        (0..self.entries.len())
            .filter(|index| ZONES[index % 2] == zone)
            .count()
    }

    async fn add(&mut self) -> usize {
        let log = self.log.addr();
        self.add_with_log(log).await
    }

    async fn add_with_log(&mut self, log: std::net::SocketAddr) -> usize {
        let index = self.entries.len();
        let (name, zone) = (format!("entry-{index}"), ZONES[index % 2]);
        let settings = settings_text(&name, log, self.list.addr(), "")
            .replace(common::ZONE, zone)
            .replace(
                "platform: {",
                &format!("platform: {{{}", self.platform_settings),
            );
        let spawned = tokio::task::spawn_blocking(move || Entry::start(&settings));
        let entry = spawned.await.unwrap();
        self.list.put(Listed {
            name,
            role: ListedRole::Entry,
            zone: zone.into(),
            addr: entry.peer,
            state: ListedState::Live,
        });
        self.entries.push(entry);
        index
    }

    async fn get(&self, index: usize, path: &str) -> Value {
        let admin = self.entries[index].admin;
        let (status, value) = send_as_operator(admin, Method::GET, path, &Value::Null).await;
        assert_eq!(status, StatusCode::OK, "{value}");
        value
    }

    async fn status(&self, index: usize) -> Status {
        serde_json::from_value(self.get(index, "/admin/v1/status").await).unwrap()
    }

    /// Confirms a new price at a process and returns the offset after the change.
    async fn confirm_price(&self, index: usize, micros: u64) -> u64 {
        let admin = self.entries[index].admin;
        let plan = json!(plan(admin, &price_intent(micros)).await);
        let (status, body) = send_as_operator(admin, Method::POST, CONFIRM_PATH, &plan).await;
        assert_eq!(status, StatusCode::OK, "{body}");
        let confirmation: Confirmation = serde_json::from_value(body).unwrap();
        confirmation.offset.0 + 1
    }

    /// Waits until all processes in `among` are ready and have reached offset `next`,
    /// at most for [`IN_FORCE_LIMIT`].
    async fn wait_in_force(&self, next: u64, among: &[usize]) -> Duration {
        let start = Instant::now();
        for index in among {
            loop {
                let status = self.status(*index).await;
                if status.ready && status.config_next.0 >= next {
                    break;
                }
                assert!(
                    start.elapsed() < IN_FORCE_LIMIT,
                    "entry-{index}: {status:?}"
                );
                time::sleep(Duration::from_millis(2)).await;
            }
        }
        start.elapsed()
    }

    async fn wait_all_in_force(&self, next: u64) -> Duration {
        let all: Vec<_> = (0..self.entries.len()).collect();
        self.wait_in_force(next, &all).await
    }

    async fn assert_same_objects(&self, among: &[usize]) {
        let expected = self.get(among[0], "/admin/v1/objects").await;
        assert_ne!(expected, json!([]));
        for index in among {
            assert_eq!(self.get(*index, "/admin/v1/objects").await, expected);
        }
    }
}

/// Starts a relay to the log, whose link can be cut.
async fn start_relay(log: &LogServer) -> Relay {
    let any = "127.0.0.1:0".parse().unwrap();
    let relay = Relay::start(RelaySettings {
        addr: any,
        to: log.addr(),
        control: any,
    });
    relay.await.unwrap()
}

fn price_intent(micros: u64) -> Value {
    json!({ "pools": [{ "name": "encode", "kind": "encode", "price_micros_per_s": micros }] })
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_have_a_change_in_force_within_4_s_while_some_are_frozen() {
    let cluster = Cluster::start(8).await;
    let next = cluster.confirm_price(0, 1).await;
    println!("8 processes: {:?}", cluster.wait_all_in_force(next).await);
    let zone = [0, 2, 4, 6];
    // Two processes of the zone follow the log; most rounds freeze both.
    for running in zone {
        let frozen: Vec<_> = zone.into_iter().filter(|index| *index != running).collect();
        for index in &frozen {
            cluster.entries[*index].signal("-STOP");
        }
        let next = cluster.confirm_price(7, 10 + running as u64).await;
        let elapsed = cluster.wait_in_force(next, &[running, 1, 3, 5, 7]).await;
        println!("3 of a zone's 4 processes frozen: {elapsed:?}");
        for index in &frozen {
            cluster.entries[*index].signal("-CONT");
        }
        cluster.wait_all_in_force(next).await;
        time::sleep(ROLE_CHANGE_TIME).await;
    }
    cluster.assert_same_objects(&[0, 1, 2, 3, 4, 5, 6, 7]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_at_two_processes_get_one_winner_and_one_conflict() {
    let cluster = Cluster::start(4).await;
    let next = cluster.confirm_price(0, 1).await;
    cluster.wait_all_in_force(next).await;
    let admins = [cluster.entries[0].admin, cluster.entries[3].admin];
    let plans = [
        json!(plan(admins[0], &price_intent(2)).await),
        json!(plan(admins[1], &price_intent(3)).await),
    ];
    let (first, second) = tokio::join!(
        send_as_operator(admins[0], Method::POST, CONFIRM_PATH, &plans[0]),
        send_as_operator(admins[1], Method::POST, CONFIRM_PATH, &plans[1]),
    );
    let mut statuses = [first.0, second.0];
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT]);
    cluster.wait_all_in_force(next + 2).await;
    cluster.assert_same_objects(&[0, 1, 2, 3]).await;
    let history = cluster.get(0, "/admin/v1/history").await;
    assert_eq!(cluster.get(2, "/admin/v1/history").await, history);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_append_answer_and_a_killed_process_change_nothing() {
    let mut cluster = Cluster::start(3).await;
    cluster.log.set_faults(LogFaults {
        lose_append_answers: true,
        ..LogFaults::default()
    });
    let next = cluster.confirm_price(0, 1).await;
    drop(cluster.entries.remove(0));
    cluster.wait_all_in_force(next).await;
    let history = cluster.get(0, "/admin/v1/history").await;
    assert_eq!(history.as_array().unwrap().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_process_starts_from_a_peer_while_the_log_is_down() {
    let mut cluster = Cluster::start(4).await;
    let next = cluster.confirm_price(0, 1).await;
    cluster.wait_all_in_force(next).await;
    cluster.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    time::sleep(Duration::from_secs(2)).await;
    let new = cluster.add().await;
    cluster.wait_in_force(next, &[new]).await;
    cluster.assert_same_objects(&[0, new]).await;
    let age_ms = cluster.status(new).await.config_age_ms;
    assert!((1_500..60_000).contains(&age_ms), "{age_ms}");
    time::sleep(Duration::from_secs(2)).await;
    let plan = plan(cluster.entries[new].admin, &price_intent(2)).await;
    assert!(plan.warnings.iter().any(|x| x.contains("s ago")));
    cluster.log.set_faults(LogFaults::default());
    let next = cluster.confirm_price(new, 2).await;
    cluster.wait_all_in_force(next).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_process_waits_while_the_log_and_the_list_are_down() {
    for is_log_first in [true, false] {
        let mut cluster = Cluster::start(4).await;
        let next = cluster.confirm_price(0, 1).await;
        cluster.wait_all_in_force(next).await;
        cluster.log.set_faults(LogFaults {
            outage: true,
            ..LogFaults::default()
        });
        cluster.list.set_faults(ListFaults { outage: true });
        let new = cluster.add().await;
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(3) {
            let status = cluster.status(new).await;
            assert!(!status.ready && status.config_next.0 == 0, "{status:?}");
            let probe = client::exchange(cluster.entries[new].caller, Method::GET, "/ready", "");
            assert_eq!(probe.await.unwrap().0, StatusCode::SERVICE_UNAVAILABLE);
            time::sleep(Duration::from_millis(50)).await;
        }
        match is_log_first {
            true => cluster.log.set_faults(LogFaults::default()),
            false => cluster.list.set_faults(ListFaults { outage: false }),
        }
        let elapsed = cluster.wait_in_force(next, &[new]).await;
        println!("log first: {is_log_first}: {elapsed:?}");
        cluster.assert_same_objects(&[0, new]).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_without_configuration_refuses_to_plan() {
    let mut cluster = Cluster::start(0).await;
    cluster.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    cluster.add().await;
    let admin = cluster.entries[0].admin;
    let (status, body) =
        send_as_operator(admin, Method::POST, "/admin/v1/plans", &price_intent(1)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    cluster.log.set_faults(LogFaults::default());
    cluster.wait_in_force(0, &[0]).await;
    cluster.confirm_price(0, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_cut_off_the_log_follows_through_its_peers() {
    let mut cluster = Cluster::start(4).await;
    let relay = start_relay(&cluster.log).await;
    let partitioned = cluster.add_with_log(relay.addr()).await;
    cluster.wait_settled().await;
    let next = cluster.confirm_price(0, 1).await;
    cluster.wait_all_in_force(next).await;
    // A cut link keeps connections open without traffic, like a lost route.
    relay.set_faults(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    for micros in 2..5 {
        let next = cluster.confirm_price(1, micros).await;
        let elapsed = cluster.wait_in_force(next, &[partitioned]).await;
        println!("a process cut off the log: {elapsed:?}");
    }
    relay.set_faults(LinkFaults::default());
    let next = cluster.confirm_price(partitioned, 9).await;
    cluster.wait_all_in_force(next).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_the_log_follows_through_another_zone() {
    let mut cluster = Cluster::start(0).await;
    let relay = start_relay(&cluster.log).await;
    for index in 0..6 {
        let log = [relay.addr(), cluster.log.addr()][index % 2];
        cluster.add_with_log(log).await;
    }
    cluster.wait_settled().await;
    let next = cluster.confirm_price(1, 1).await;
    cluster.wait_all_in_force(next).await;
    relay.set_faults(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    for micros in 2..6 {
        let next = cluster.confirm_price(1, micros).await;
        let elapsed = cluster.wait_in_force(next, &[0, 2, 4]).await;
        println!("a zone cut off the log: {elapsed:?}");
    }
    relay.set_faults(LinkFaults::default());
    let next = cluster.confirm_price(0, 9).await;
    cluster.wait_all_in_force(next).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_held_back_by_the_log_is_told_and_applied_later() {
    let cluster = Cluster::start(3).await;
    let next = cluster.confirm_price(0, 1).await;
    cluster.wait_all_in_force(next).await;
    cluster.log.set_faults(LogFaults {
        pause_delivery: true,
        ..LogFaults::default()
    });
    let admin = cluster.entries[0].admin;
    let plan = json!(plan(admin, &price_intent(2)).await);
    let (status, body) = send_as_operator(admin, Method::POST, CONFIRM_PATH, &plan).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    assert!(
        body["error"].as_str().unwrap().contains("not read back"),
        "{body}"
    );
    cluster.log.set_faults(LogFaults::default());
    // Repeating the plan at another process finds the first confirmation.
    let other = cluster.entries[2].admin;
    let (status, body) = send_as_operator(other, Method::POST, CONFIRM_PATH, &plan).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert_eq!(body["offset"], json!(next));
    cluster.wait_all_in_force(next + 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_trimmed_past_its_offset_takes_the_state_from_a_peer() {
    let cluster = Cluster::start(4).await;
    let next = cluster.confirm_price(0, 1).await;
    cluster.wait_all_in_force(next).await;
    cluster.entries[3].signal("-STOP");
    let mut next = next;
    for micros in 2..6 {
        next = cluster.confirm_price(0, micros).await;
    }
    cluster.log.set_faults(LogFaults {
        trim: true,
        ..LogFaults::default()
    });
    cluster.entries[3].signal("-CONT");
    cluster.wait_in_force(next, &[3]).await;
    cluster.assert_same_objects(&[0, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hostile_records_change_nothing_and_hold_nobody_up() {
    let cluster = Cluster::start(3).await;
    let next = cluster.confirm_price(0, 1).await;
    cluster.wait_all_in_force(next).await;
    let expected = cluster.get(0, "/admin/v1/objects").await;
    let mut forged = plan(cluster.entries[0].admin, &price_intent(66))
        .await
        .change;
    forged.operator = "mallory".into();
    let forged = json!({ "version": 1, "record": { "change": forged } });
    let hostile = [
        Vec::new(),
        vec![0xff; 1_000],
        vec![b'['; 900_000],
        br#"{"version":2,"record":{}}"#.to_vec(),
        br#"{"version":1,"record":{"checkpoint":{"covers":18446744073709551615,"digest":"",
            "index":4294967295,"count":4294967295,"items":[]}}}"#
            .to_vec(),
        forged.to_string().into_bytes(),
    ];
    let path = format!("/v1/streams/{CONFIG_STREAM}/records");
    let next = next + hostile.len() as u64;
    for payload in hostile {
        let request = client::request(cluster.log.addr(), Method::POST, &path, payload).unwrap();
        let opened = Connection::open(cluster.log.addr(), Version::Http1).await;
        let reply = opened.unwrap().send(request).await.unwrap();
        assert_eq!(reply.status(), StatusCode::OK);
    }
    cluster.wait_all_in_force(next).await;
    for index in 0..3 {
        assert_eq!(cluster.get(index, "/admin/v1/objects").await, expected);
    }
    let next = cluster.confirm_price(2, 2).await;
    cluster.wait_all_in_force(next).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn checkpoints_outlive_the_retention_and_every_process() {
    let mut cluster = Cluster::with_retention(3, 3_000).await;
    let mut next = 0;
    for micros in 1..4 {
        next = cluster.confirm_price(0, micros).await;
    }
    cluster.wait_all_in_force(next).await;
    let expected = cluster.get(0, "/admin/v1/objects").await;
    time::sleep(Duration::from_secs(7)).await;
    // Kills all processes, so that only the log retains the configuration.
    cluster.entries.clear();
    for _ in 0..2 {
        cluster.add().await;
    }
    cluster.wait_all_in_force(next).await;
    assert_eq!(cluster.get(1, "/admin/v1/objects").await, expected);
    let retained = cluster.log.payloads(CONFIG_STREAM);
    let is_change = |payload: &Vec<u8>| payload.windows(8).any(|x| x == b"\"change\"");
    assert!(!retained.iter().any(is_change), "the changes have expired");
}
