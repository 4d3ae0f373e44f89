//! The instance that reads the store for the others freezes for some seconds. Servers that were
//! started meanwhile and leave just before it wakes stay in use at instances that were calm all the
//! while.

use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::config::{self, HOST, KEY};
use crate::http::request;
use crate::plain::{self, Runs};
use crate::store::Store;
use crate::world::{call, Instance, Ports, Record};

/// Time for which the instance stands still.
const FREEZE: Duration = Duration::from_millis(4_000);
/// Time from the start of the freeze to that of the new servers.
const START: Duration = Duration::from_millis(1_000);
/// Time before the end of the freeze at which the first of them leaves, and between two of them.
const LEAVE_BEFORE: Duration = Duration::from_millis(700);
const LEAVE_GAP: Duration = Duration::from_millis(150);
/// Servers that stay, and new ones: three in ten more.
const STAYING: usize = 12;
const SERVERS: u32 = 4;
/// Time for which a server that has left goes on serving: `DrainMs` and some seconds.
const SERVES_ON_MS: u64 = 9_000;
/// Time after a freeze for which requests are watched.
const WATCH: Duration = Duration::from_millis(8_000);
/// Clients of each instance.
const CLIENTS: usize = 4;
/// Freezes; the case ends with the first one after which the rule breaks.
const ROUNDS: u32 = 6;
/// Time from the start to the first freeze.
const SETTLE: Duration = Duration::from_millis(6_000);
/// `DrainMs` and `StableMs` of the small deployments.
const DRAIN_MS: u64 = 2_000;
/// Zones of the small deployment.
const ZONES: [&str; 3] = ["hal-utrecht", "hal-amersfoort", "hal-gouda"];

/// Instance that each request was sent to.
type Sent = Arc<Mutex<HashMap<String, String>>>;

/// Runs the case.
pub fn run(record: &Record, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    let runs = Runs::default();
    for (number, zone) in ZONES.iter().cycle().take(STAYING).enumerate() {
        let id = format!("i-s{number}");
        let addr = plain::start(&id, record, &runs, 15);
        let entry = |number| config::server("loket", addr, zone, 6, "ready", number);
        store.put("keyed.servers", &id, &entry(1));
        let (store, entry) = (store.clone(), entry(2));
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1_200));
            store.beat("keyed.servers", &id, &entry);
        });
    }
    let routes = [config::route("ledenpas", "mutating", "loket", 1_000, 100, 1, "")];
    store.put("keyed.op", "config", &config::config(7, &routes, &[config::service("loket")]));
    let ports: Vec<Ports> = (0..9).map(|_| Ports::find()).collect();
    let peers: Vec<_> = ports.iter().take(3).map(|ports| ports.peer).collect();
    let start = |(index, ports): (usize, &Ports)| {
        let (zone, number) = (ZONES[index % 3], index / 3 + 1);
        Instance::start(temp, &format!("edge-{zone}-{number}"), zone, store.addr, &peers, ports.clone())
    };
    let instances: Vec<Instance> = ports.iter().enumerate().map(start).collect();
    instances.iter().for_each(Instance::wait_ready);
    let (sent, is_over) = (Sent::default(), Arc::new(AtomicBool::new(false)));
    let served = instances.iter().flat_map(|instance| [instance; CLIENTS]);
    let clients: Vec<_> = served.map(|instance| client(record, instance, &sent, &is_over)).collect();
    thread::sleep(SETTLE);
    let mut left: HashMap<String, u64> = HashMap::new();
    let mut frozen = Vec::new();
    for round in 1..=ROUNDS {
        let reader = scheduler(temp, &instances[0].name);
        let Some(reader) = instances.iter().find(|instance| instance.name == reader) else {
            record.line("no instance reads the store for the others");
            return 2;
        };
        let began_ms = record.now_ms();
        if has_trouble {
            record.line(&format!("{} (process {}) frozen", reader.name, reader.id()));
            reader.signal("STOP");
        }
        play_round(record, &store, &runs, &mut left, round);
        if has_trouble {
            reader.signal("CONT");
            record.line(&format!("{} wakes", reader.name));
        }
        frozen.push((reader.name.clone(), began_ms, record.now_ms()));
        thread::sleep(WATCH);
        if !late(&runs, &sent, &left, &frozen).is_empty() {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    judge(record, &runs, &sent, &left, if has_trouble { &frozen } else { &[] })
}

/// Starts servers, and lets them leave until the end of the freeze.
fn play_round(record: &Record, store: &Store, runs: &Runs, left: &mut HashMap<String, u64>, round: u32) {
    thread::sleep(START);
    let ids: Vec<String> = (0..SERVERS).map(|number| format!("i-x{round}{number}")).collect();
    for (id, zone) in ids.iter().zip(ZONES.iter().cycle()) {
        let addr = plain::start(id, record, runs, 15);
        store.put("keyed.servers", id, &config::server("loket", addr, zone, 6, "ready", 1));
        record.line(&format!("store: server {id} registered"));
    }
    thread::sleep(FREEZE - START - LEAVE_BEFORE);
    for id in &ids {
        store.put("keyed.servers", id, "");
        left.insert(id.clone(), record.now_ms());
        record.line(&format!("store: entry of {id} removed, the server goes on for a while"));
        thread::sleep(LEAVE_GAP);
    }
    thread::sleep(LEAVE_BEFORE - LEAVE_GAP * SERVERS);
}

/// Returns the instance that reads the store for the others, by the log of one of them.
fn scheduler(temp: &Path, name: &str) -> String {
    let log = fs::read_to_string(temp.join(format!("{name}.log"))).unwrap_or_default();
    let chosen = log.lines().filter(|line| line.contains("\"scheduler chosen\""));
    let named = chosen.filter_map(|line| line.split("\"scheduler\":\"").nth(1)?.split('"').next());
    named.last().unwrap_or_default().to_owned()
}

fn client(record: &Record, instance: &Instance, sent: &Sent, is_over: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let (record, sent, is_over) = (record.clone(), Arc::clone(sent), Arc::clone(is_over));
    let (name, addr) = (instance.name.clone(), instance.ports.caller);
    thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("5d2b90{:06x}", NUMBER.fetch_add(1, Ordering::Relaxed));
            sent.lock().expect("requests").insert(id.clone(), name.clone());
            let headers = [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "1000"), ("X-Api-Key", KEY)];
            let sent_ms = record.now_ms();
            let answer = call(addr, &request("POST", "/ledenpas/2f", &headers, b"credential"), Duration::from_secs(2));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(&format!("client: {id} sent to {name} at {sent_ms} ms, answered {status}"));
            thread::sleep(Duration::from_millis(40));
        }
    })
}

/// A request that reached a server that had left.
struct Late {
    request: String,
    server: String,
    instance: String,
    after_ms: u64,
}

/// Returns the requests that instances which never froze sent to servers that had left.
fn late(runs: &Runs, sent: &Sent, left: &HashMap<String, u64>, frozen: &[(String, u64, u64)]) -> Vec<Late> {
    let sent = sent.lock().expect("requests");
    let runs = runs.lock().expect("runs");
    let found = runs.iter().filter_map(|run| {
        let after_ms = run.at_ms.checked_sub(*left.get(&run.server)?)?;
        let instance = sent.get(&run.request)?;
        let has_frozen = frozen.iter().any(|(name, _, _)| name == instance);
        (after_ms > DRAIN_MS && after_ms < SERVES_ON_MS && !has_frozen).then(|| Late {
            request: run.request.clone(),
            server: run.server.clone(),
            instance: instance.clone(),
            after_ms,
        })
    });
    found.collect()
}

fn judge(record: &Record, runs: &Runs, sent: &Sent, left: &HashMap<String, u64>, frozen: &[(String, u64, u64)]) -> i32 {
    for run in runs.lock().expect("runs").iter() {
        record.line(&format!("server {}: ran {} at {} ms", run.server, run.request, run.at_ms));
    }
    let late = late(runs, sent, left, frozen);
    for found in &late {
        record.line(&format!(
            "BROKEN (DRAIN): {} reached {} by {}, which never froze, {} ms after its entry was removed",
            found.request, found.server, found.instance, found.after_ms
        ));
    }
    let ran = runs.lock().expect("runs").len();
    record.line(&format!("{ran} requests ran, {} too late", late.len()));
    if ran == 0 {
        return 2;
    }
    i32::from(!late.is_empty())
}
