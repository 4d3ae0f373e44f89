//! A request that must not run twice is sent a second time after `409 Not-Run`, over the kept
//! connection on which a second copy of that 409 arrives.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::config::{self, HOST, KEY};
use crate::http::{request, response, Message};
use crate::runner::serve;
use crate::stages::{self, Results};
use crate::store::Store;
use crate::world::{call, Instance, Ports, Record};

/// Requests between two that meet a busy engine: the share of answers with a second copy stays
/// under 3 in 100.
const CALM_REQUESTS: usize = 34;
/// Requests that meet a busy engine.
const BUSY_REQUESTS: usize = 3;
/// Time for which the busy engine lets a request wait before it fetches the inputs.
const QUEUE_TIME: Duration = Duration::from_millis(400);
/// Events of a stream, and the pause between them.
const EVENTS: u32 = 6;
const EVENT_GAP: Duration = Duration::from_millis(20);

/// What the engines share.
#[derive(Default)]
pub struct Engines {
    /// Requests that meet a busy engine at their first arrival.
    busy: Mutex<HashSet<String>>,
    /// Runs of each request, with the engine.
    runs: Mutex<HashMap<String, Vec<String>>>,
    /// Answers, and second copies among them.
    answers: Mutex<(u64, u64)>,
}

/// Runs the case.
pub fn run(record: &Record, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    let results = Results::default();
    let engines = Arc::new(Engines::default());
    for (id, zone) in [("i-a1", "hal-utrecht"), ("i-a2", "hal-gouda")] {
        let addr = stages::start(id, record, &results, 200, 17);
        store.put("keyed.servers", id, &config::server("archief", addr, zone, 1, "ready", 1));
    }
    for (id, zone) in [("i-e1", "hal-utrecht"), ("i-e2", "hal-gouda"), ("i-e3", "hal-amersfoort")] {
        let addr = start_engine(id, record, &results, &engines, has_trouble);
        store.put("keyed.servers", id, &config::server("taalmodel", addr, zone, 64, "ready", 1));
    }
    let more = ",\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":400,\
                \"Stages\":[{\"Service\":\"archief\",\"After\":[],\"SizeBytes\":1500000}]";
    let letter = config::route("letter", "stream", "taalmodel", 20_000, 1_800, 1, more);
    let services = [config::engines("taalmodel"), config::pieces("archief")];
    store.put("keyed.op", "config", &config::config(7, &[letter], &services));
    let zones = ["hal-utrecht", "hal-gouda"];
    let ports: Vec<Ports> = zones.iter().map(|_| Ports::find()).collect();
    let peers: Vec<_> = ports.iter().map(|ports| ports.peer).collect();
    let instances: Vec<Instance> = zones
        .iter()
        .zip(&ports)
        .map(|(zone, ports)| Instance::start(temp, &format!("edge-{zone}-1"), zone, store.addr, &peers, ports.clone()))
        .collect();
    instances.iter().for_each(Instance::wait_ready);
    thread::sleep(Duration::from_secs(3));
    let mut answers = HashMap::new();
    let mut sent = 0;
    for _ in 0..BUSY_REQUESTS {
        for index in 0..=CALM_REQUESTS {
            sent += 1;
            let id = format!("9c41d07be2a3{sent:04x}");
            if index == CALM_REQUESTS {
                engines.busy.lock().expect("busy").insert(id.clone());
            }
            let answer = call(instances[0].ports.caller, &letter_request(&id), Duration::from_secs(12));
            let text = match &answer {
                Some(answer) => format!("{} {}", answer.status(), if answer.is_whole { "whole" } else { "broken off" }),
                None => "no answer".to_owned(),
            };
            record.line(&format!("client: {id} answered {text}"));
            answers.insert(id, text);
        }
    }
    thread::sleep(Duration::from_millis(500));
    judge(record, &engines, &answers)
}

fn judge(record: &Record, engines: &Engines, answers: &HashMap<String, String>) -> i32 {
    let runs = engines.runs.lock().expect("runs");
    let (written, copies) = *engines.answers.lock().expect("answers");
    record.line(&format!("{} requests, {} ran, {written} answers of engines, {copies} second copies", answers.len(), runs.len()));
    let twice: Vec<_> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    for (id, at) in &twice {
        record.line(&format!("BROKEN (TWICE): {id}, a stream that may not be resumed, ran {} times: {at:?}", at.len()));
    }
    if runs.is_empty() {
        record.line("no request ran");
        return 2;
    }
    i32::from(!twice.is_empty())
}

fn letter_request(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Model", "m"),
        ("Token-Count", "715,280"),
        ("Prefix-Hash", "5c1e07a2:103,91bd3f06:69,e4402b7d:543"),
        ("Deadline-Ms", "10000"),
        ("Pieces", "1"),
        ("Piece-Key", "7c1e07a291bd"),
        ("X-Api-Key", KEY),
    ];
    request("POST", "/letter/2f", &headers, b"describe the lettering")
}

/// Starts an engine that streams a few events, and answers a request without its inputs with `Not-Run`.
pub fn start_engine(id: &str, record: &Record, results: &Results, engines: &Arc<Engines>, has_trouble: bool) -> std::net::SocketAddr {
    let (id, record, results, engines) = (id.to_owned(), record.clone(), Arc::clone(results), Arc::clone(engines));
    serve(Arc::new(move |conn, kept, request: Message| {
        let name = request.header("request-id").unwrap_or_default().to_owned();
        if request.method() == "GET" {
            conn.write(&response("200 OK", &[("Instance-Id", &id)], b""))?;
            return Ok(true);
        }
        if let Some(copy) = kept.extra.take() {
            record.line(&format!("engine {id}: second copy of the 409 to {name} written before the next answer"));
            conn.write(&copy)?;
        }
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            conn.write(&response("421 Misdirected Request", &[("Instance-Id", &id)], b""))?;
            return Ok(true);
        }
        let is_busy = engines.busy.lock().expect("busy").remove(&name);
        if is_busy {
            record.line(&format!("engine {id}: {name} waits, the engine is busy"));
            thread::sleep(QUEUE_TIME);
        }
        engines.answers.lock().expect("answers").0 += 1;
        let inputs = request.header("inputs").unwrap_or_default().to_owned();
        let has_inputs = {
            let kept = results.lock().expect("results");
            !inputs.is_empty() && inputs.split(',').all(|handle| kept.contains_key(handle.trim()))
        };
        let load = [("Request-Id", name.as_str()), ("Instance-Load", "1,0,64")];
        if !has_inputs {
            let status = if inputs.is_empty() { "400 Bad Request" } else { "409 Conflict" };
            record.line(&format!("engine {id}: {name} not run, {status}, inputs {inputs}"));
            let answer = response(status, &[load[0], load[1], ("Not-Run", "1")], b"");
            conn.write(&answer)?;
            if is_busy && has_trouble {
                engines.answers.lock().expect("answers").1 += 1;
                kept.extra = Some(answer);
            }
            return Ok(true);
        }
        record.line(&format!("engine {id}: RUNS {name}"));
        engines.runs.lock().expect("runs").entry(name.clone()).or_default().push(id.clone());
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nServer-Seal: 3e1b.{id}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            conn.chunk(format!("id: {event}\ndata: words\n\n").as_bytes())?;
        }
        conn.write(b"0\r\n\r\n")?;
        Ok(true)
    }))
}
