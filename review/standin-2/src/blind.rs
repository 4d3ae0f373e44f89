//! The store is down for some seconds; a second after its return all instances but one are lost for
//! good. The one that is left goes on with an old configuration and an old list of servers, although
//! it and the store are sound.

use std::collections::HashMap;
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

/// Time for which the store is down.
const DOWN: Duration = Duration::from_millis(8_000);
/// Time from its return to the loss of the instances: they have read the store again.
const CALM: Duration = Duration::from_millis(1_200);
/// Time from the loss to the change: the store has been stable for `StableMs`, 3,000 ms, by then.
const NOTICE: Duration = Duration::from_millis(2_100);
/// Store calls during the outage up to which an instance left the store to the others.
const FEW_CALLS: u64 = 6;
/// Time for which the change is watched.
const WATCH: Duration = Duration::from_millis(6_000);
/// Time from the start to the outage.
const SETTLE: Duration = Duration::from_millis(5_000);
/// Deployments that are tried one after the other until the rule breaks: how long an instance waits
/// for the store is drawn at random.
const ROUNDS: u32 = 4;
/// `ConfigMs` and `DrainMs` of the small deployments.
const BOUND_MS: u64 = 2_000;
/// Key that the change takes away.
const DROPPED_KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// Zones of the small deployment.
const ZONES: [&str; 3] = ["hal-utrecht", "hal-amersfoort", "hal-gouda"];

/// A request and its answer.
struct Sent {
    id: String,
    instance: String,
    key: &'static str,
    sent_ms: u64,
    status: u16,
}

/// Runs the case.
pub fn run(record: &Record, temp: &Path, has_trouble: bool) -> i32 {
    for round in 1..=ROUNDS {
        record.line(&format!("deployment {round} starts"));
        let code = run_once(record, temp, has_trouble);
        if code != 0 || !has_trouble {
            return code;
        }
    }
    0
}

fn run_once(record: &Record, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    let runs = Runs::default();
    let mut leaving = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        for (prefix, stays) in [("i-s", true), ("i-d", false)] {
            let id = format!("{prefix}{number}");
            let addr = plain::start(&id, record, &runs, 15);
            store.put("keyed.servers", &id, &config::server("loket", addr, zone, 6, "ready", 1));
            match stays {
                true => beat(&store, id, config::server("loket", addr, zone, 6, "ready", 2)),
                false => leaving.push((id, config::server("loket", addr, zone, 6, "draining", 2))),
            }
        }
    }
    let routes = [config::route("ledenpas", "mutating", "loket", 1_000, 100, 1, "")];
    let services = [config::service("loket")];
    store.put("keyed.op", "config", &config::config_with_keys(7, &routes, &services, &[KEY, DROPPED_KEY]));
    let mut instances = start_instances(temp, &store);
    instances.iter().for_each(Instance::wait_ready);
    thread::sleep(SETTLE);
    if has_trouble {
        let before: Vec<u64> = instances.iter().map(store_calls).collect();
        record.line("store: down, answers 503");
        store.set_busy(true);
        thread::sleep(DOWN);
        store.set_busy(false);
        record.line("store: back");
        let calls = instances.iter().zip(before).map(|(instance, before)| store_calls(instance) - before);
        let calls: Vec<u64> = calls.collect();
        record.line(&format!("store calls of the instances meanwhile: {calls:?}"));
        thread::sleep(CALM);
        // One of those that leave the store to others stays: the one that tried it most often.
        let relying = (0..calls.len()).filter(|index| calls[*index] <= FEW_CALLS);
        let left = relying.max_by_key(|index| calls[*index]);
        for (index, instance) in instances.iter_mut().enumerate() {
            if Some(index) != left {
                record.line(&format!("{} (process {}) killed", instance.name, instance.id()));
                instance.kill();
            }
        }
        instances.retain(Instance::is_running);
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let pairs = instances.iter().flat_map(|instance| [(instance, KEY), (instance, DROPPED_KEY)]);
    let clients: Vec<_> = pairs.map(|(instance, key)| client(record, instance, key, &sent, &is_over)).collect();
    thread::sleep(NOTICE);
    for (id, entry) in &leaving {
        store.put("keyed.servers", id, entry);
    }
    let drained_ms = record.now_ms();
    store.put("keyed.op", "config", &config::config_with_keys(8, &routes, &services, &[KEY]));
    let acked_ms = record.now_ms();
    record.line(&format!("store: servers i-d0 to i-d2 draining, acknowledged at {drained_ms} ms"));
    record.line(&format!("store: version 8 without the key {DROPPED_KEY}, acknowledged at {acked_ms} ms"));
    thread::sleep(WATCH);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(200));
    let sent = sent.lock().expect("requests");
    judge(record, &sent, &runs, acked_ms, drained_ms)
}

/// Starts nine instances in three zones.
fn start_instances(temp: &Path, store: &Store) -> Vec<Instance> {
    let ports: Vec<Ports> = (0..9).map(|_| Ports::find()).collect();
    let peers: Vec<_> = ports.iter().take(3).map(|ports| ports.peer).collect();
    let named = ports.iter().enumerate();
    let start = |(index, ports): (usize, &Ports)| {
        let (zone, number) = (ZONES[index % 3], index / 3 + 1);
        Instance::start(temp, &format!("edge-{zone}-{number}"), zone, store.addr, &peers, ports.clone())
    };
    named.map(start).collect()
}

/// Writes a server's entry again and again, as the servers do, while the store serves.
fn beat(store: &Store, id: String, entry: String) {
    let store = store.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(1_200));
        store.beat("keyed.servers", &id, &entry);
    });
}

/// Returns how many calls of the store an instance has made, by its metrics.
fn store_calls(instance: &Instance) -> u64 {
    let host = instance.ports.admin.to_string();
    let answer = call(instance.ports.admin, &request("GET", "/metrics", &[("Host", &host)], b""), Duration::from_secs(1));
    let text = answer.map(|answer| answer.text()).unwrap_or_default();
    let lines = text.lines().filter(|line| line.starts_with("savoryvane_store_calls_total"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>() as u64
}

/// Sends requests with `key` one after the other until it is over.
fn client(
    record: &Record,
    instance: &Instance,
    key: &'static str,
    sent: &Arc<Mutex<Vec<Sent>>>,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let (record, sent, is_over, addr) = (record.clone(), Arc::clone(sent), Arc::clone(is_over), instance.ports.caller);
    let instance = instance.name.clone();
    thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("5d2b90{:06x}", NUMBER.fetch_add(1, Ordering::Relaxed));
            let headers = [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "1000"), ("X-Api-Key", key)];
            let sent_ms = record.now_ms();
            let answer = call(addr, &request("POST", "/ledenpas/2f", &headers, b"credential"), Duration::from_secs(2));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(&format!("client: {id} with key {key} sent to {instance} at {sent_ms} ms, answered {status}"));
            sent.lock().expect("requests").push(Sent { id, instance: instance.clone(), key, sent_ms, status });
            thread::sleep(Duration::from_millis(50));
        }
    })
}

fn judge(record: &Record, sent: &[Sent], runs: &Runs, acked_ms: u64, drained_ms: u64) -> i32 {
    let runs = runs.lock().expect("runs");
    for run in runs.iter() {
        record.line(&format!("server {}: ran {} at {} ms", run.server, run.request, run.at_ms));
    }
    let ran: HashMap<&str, u64> = runs.iter().map(|run| (run.request.as_str(), run.at_ms)).collect();
    let stale: Vec<&Sent> = sent
        .iter()
        .filter(|sent| sent.key == DROPPED_KEY && sent.sent_ms > acked_ms + BOUND_MS && ran.contains_key(sent.id.as_str()))
        .collect();
    let late = runs.iter().filter(|run| run.server.starts_with("i-d") && run.at_ms > drained_ms + BOUND_MS).count();
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    record.line(&format!("{} requests after the loss, {served} answered with 200", sent.len()));
    if let Some(last) = stale.last() {
        record.line(&format!(
            "BROKEN (CONFIG): {} requests with a dropped key ran that were sent later than {BOUND_MS} ms after the ack, the \
             last one {} ms after it, at {}",
            stale.len(),
            last.sent_ms - acked_ms,
            last.instance
        ));
    }
    if late > 0 {
        record.line(&format!("BROKEN (DRAIN): {late} requests reached i-d0 to i-d2 later than {BOUND_MS} ms after the ack"));
    }
    if served == 0 {
        record.line("nothing was served");
        return 2;
    }
    i32::from(!stale.is_empty() || late > 0)
}
