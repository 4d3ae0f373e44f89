//! A small crowd of clients sends requests with many pieces and a long `Piece-Key`. The calls to the
//! servers of pieces repeat the key with each piece, and the process exceeds the memory of its machine.

use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{self, HOST, KEY};
use crate::copies::{self, Engines};
use crate::http::request;
use crate::stages::{self, Results};
use crate::store::Store;
use crate::world::{call, Instance, Limits, Ports, Record};

/// `MemoryMb` of the machine.
const MEMORY_MB: u64 = 160;
/// Clients that send long keys.
const CLIENTS: usize = 60;
/// Bytes of a long key.
const KEY_BYTES: usize = 60_000;
/// Pieces of each stage of a request.
const PIECES: &str = "94";
/// Services of pieces: name, servers, `Batch`, `ItemMs`, `RoomMb`.
const SERVICES: [(&str, usize, u32, f64, f64); 2] = [("facturen", 15, 94, 1.8, 1.2), ("agenda", 15, 68, 2.5, 8.9)];
/// Time for which the crowd sends at most.
const WATCH: Duration = Duration::from_secs(60);
/// Time from one wave of requests to the next.
const WAVE: Duration = Duration::from_secs(8);
/// Time after which the platform starts a process again.
const START_AGAIN: Duration = Duration::from_secs(1);
/// Time between two readings of the memory.
const READ: Duration = Duration::from_millis(10);

/// Runs the case.
pub fn run(record: &Record, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    let results = Results::default();
    let engines = Arc::new(Engines::default());
    let mut services = vec![config::engines("taalmodel")];
    for (name, servers, batch, item_ms, room_mb) in SERVICES {
        services.push(config::pieces_of(name, batch, item_ms, room_mb));
        for number in 0..servers {
            let id = format!("i-{name}{number}");
            let addr = stages::start(&id, record, &results, 200, item_ms.round() as u64);
            store.put("keyed.servers", &id, &config::server(name, addr, "hal-utrecht", 1, "ready", 1));
        }
    }
    for number in 0..3 {
        let id = format!("i-e{number}");
        let addr = copies::start_engine(&id, record, &results, &engines, false);
        store.put("keyed.servers", &id, &config::server("taalmodel", addr, "hal-utrecht", 64, "ready", 1));
    }
    let more = ",\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":400,\
                \"Stages\":[{\"Service\":\"facturen\",\"After\":[],\"SizeBytes\":6000},\
                {\"Service\":\"agenda\",\"After\":[],\"SizeBytes\":6000}]";
    let letter = config::route("letter", "stream", "taalmodel", 20_000, 1_800, 1, more);
    store.put("keyed.op", "config", &config::config(7, &[letter], &services));
    let ports = [Ports::find(), Ports::find()];
    let peers = ports.each_ref().map(|ports| ports.peer);
    let mut instances = Vec::new();
    for (zone, ports) in ["hal-utrecht", "hal-gouda"].into_iter().zip(&ports) {
        let limits = Limits {
            cores: 0.12,
            link_mbps: 10.0,
            memory_mb: MEMORY_MB,
        };
        let name = format!("edge-{zone}-1");
        instances.push(Instance::start_with(temp, &name, zone, store.addr, &peers, ports.clone(), limits));
    }
    instances.iter().for_each(Instance::wait_ready);
    thread::sleep(Duration::from_secs(3));
    let key_bytes = if has_trouble { KEY_BYTES } else { 12 };
    record.line(&format!("clients: {CLIENTS} send requests of {PIECES} pieces with a Piece-Key of {key_bytes} bytes"));
    let answers: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| client(&ports[number % 2], number, key_bytes, &answers, &is_over))
        .collect();
    let ends = watch(record, &mut instances);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let last = [ordinary(&ports[0], 1), ordinary(&ports[1], 2)];
    record.line(&format!("answers to the crowd: {:?}", answers.lock().expect("answers")));
    record.line(&format!("an ordinary request to each instance afterwards: {last:?}"));
    record.line(&format!("ends of the processes: {ends:?}"));
    if ends.iter().all(|ends| *ends >= 3) {
        record.line("BROKEN (Fault): processes ended by themselves three times at both machines");
        return 1;
    }
    0
}

/// Watches the memory of the instances, kills those that exceed their machine's as the platform does,
/// starts them again a second later, and returns how often each has ended.
fn watch(record: &Record, instances: &mut [Instance]) -> Vec<u32> {
    let mut ends = vec![0; instances.len()];
    let mut peaks_mb = vec![0; instances.len()];
    let mut down_since: Vec<Option<Instant>> = vec![None; instances.len()];
    let began = Instant::now();
    while began.elapsed() < WATCH && ends.iter().any(|ends| *ends < 3) {
        thread::sleep(READ);
        for (index, instance) in instances.iter_mut().enumerate() {
            if let Some(since) = down_since[index] {
                if since.elapsed() >= START_AGAIN {
                    instance.spawn();
                    down_since[index] = None;
                    record.line(&format!("{} starts again", instance.name));
                }
                continue;
            }
            let memory_mb = resident_mb(instance.id());
            peaks_mb[index] = memory_mb.max(peaks_mb[index]);
            let has_ended = instance.has_ended();
            if has_ended || memory_mb > MEMORY_MB {
                let reason = if has_ended { "has ended by itself" } else { "is over MemoryMb and is killed" };
                record.line(&format!("{} {reason}: {memory_mb} MB", instance.name));
                instance.kill();
                ends[index] += 1;
                down_since[index] = Some(Instant::now());
            }
        }
    }
    record.line(&format!("memory at its peak: {peaks_mb:?} MB"));
    ends
}

/// Sends a request in each wave until the end.
fn client(
    ports: &Ports,
    number: usize,
    key_bytes: usize,
    answers: &Arc<Mutex<HashMap<String, u64>>>,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (caller, answers, is_over) = (ports.caller, Arc::clone(answers), Arc::clone(is_over));
    let key = "7".repeat(key_bytes);
    let began = Instant::now();
    thread::spawn(move || {
        for sent in 0_u64.. {
            let id = format!("{number:04x}{sent:012x}");
            let answer = call(caller, &piece_request(&id, PIECES, &key), Duration::from_secs(11));
            let text = answer.map_or("no answer".to_owned(), |answer| answer.status().to_string());
            *answers.lock().expect("answers").entry(text).or_default() += 1;
            while began.elapsed() < WAVE * (sent as u32 + 1) {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(Duration::from_millis(10));
            }
        }
    })
}

/// Sends an ordinary request and returns the status of its answer.
fn ordinary(ports: &Ports, number: u32) -> Option<u16> {
    let bytes = piece_request(&format!("9c41d07be2a3{number:04x}"), "1", "7c1e07a291bd");
    call(ports.caller, &bytes, Duration::from_secs(11)).map(|answer| answer.status())
}

fn piece_request(id: &str, pieces: &str, key: &str) -> Vec<u8> {
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Model", "m"),
        ("Token-Count", "715,280"),
        ("Prefix-Hash", "5c1e07a2:103,91bd3f06:69,e4402b7d:543"),
        ("Deadline-Ms", "10000"),
        ("Pieces", pieces),
        ("Piece-Key", key),
        ("X-Api-Key", KEY),
    ];
    request("POST", "/letter/2f", &headers, b"describe the lettering")
}

/// Returns the resident memory of a process, in MB.
fn resident_mb(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_024
}
