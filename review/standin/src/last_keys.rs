//! The operator takes all keys of the only tenant away, one after the other.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, ZONES},
    http,
    runners::{Runner, Work},
    world::{World, sleep_until},
};

/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(30);
/// Times at which the operator takes the first and the second key away.
const REVOCATIONS: [Duration; 2] = [Duration::from_millis(8_000), Duration::from_millis(9_500)];
/// Time within which a configuration is in force after its ack (`ConfigMs`).
const CONFIG_TIME: Duration = Duration::from_millis(2_000);
/// Pause of each client between two requests.
const PAUSE: Duration = Duration::from_millis(200);

/// The keys that clients send: the two of the tenant, one that was never configured, none.
const CLIENTS: [Option<&str>; 4] = [Some("key-1"), Some("key-2"), Some("never-configured"), None];

fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"ledenpas\",\"Host\":\"sign.example\",\
         \"PathPrefix\":\"/ledenpas/\",\"RouteKind\":\"mutating\",\"TimeoutMs\":1000,\
         \"GoalMs\":100,\"Priority\":2,\"Service\":\"loket\",\"Attempts\":1,\"Public\":false,\
         \"Sticky\":false,\"Resumable\":false}}],\"Services\":[{{\"Name\":\"loket\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Proto\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[{}]}}]}}",
        keys.join(",")
    )
}

/// A request that was answered or given up.
struct Sent {
    id: String,
    key: Option<&'static str>,
    at: Instant,
}

/// Runs the scenario, and returns whether the rule held.
pub fn run(world: &Arc<World>, has_trouble: bool, seed: u64) -> Result<bool, String> {
    let runners: Result<Vec<Arc<Runner>>, std::io::Error> = (0..3)
        .map(|number| {
            let id = format!("i-loket-{number}");
            let work = Work::Plain { work_ms: 15 };
            Runner::start(world, id, "loket", ZONES[number], work, seed)
        })
        .collect();
    let runners = runners.map_err(|err| format!("runner: {err}"))?;
    let first = config(7, &["key-1", "key-2"]);
    let mut deployment = Deployment::start(world, &first, &runners)?;
    let from = world.began.elapsed();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for (place, instance) in deployment.instances.iter().enumerate() {
        for (number, key) in CLIENTS.into_iter().enumerate() {
            let (world, sent) = (Arc::clone(world), Arc::clone(&sent));
            let (addr, name) = (instance.caller, 10 * place + number);
            clients.push(thread::spawn(move || {
                run_client(&world, &sent, addr, name, key, from + TRAFFIC);
            }));
        }
    }
    let acks = match has_trouble {
        true => revoke(world, &deployment, from),
        false => [None, None],
    };
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    for name in deployment.ended_instances() {
        world.on_break(
            "Fault",
            format!("the process of {name} has ended by itself"),
        );
    }
    check(world, &sent.lock().expect("sent"), acks)?;
    Ok(world.breaks().is_empty())
}

/// Takes the keys away; returns when the store acknowledged each of the two versions.
fn revoke(world: &World, deployment: &Deployment, from: Duration) -> [Option<Instant>; 2] {
    let versions = [config(9, &["key-2"]), config(12, &[])];
    let mut acks = [None, None];
    for (number, (version, at)) in versions.into_iter().zip(REVOCATIONS).enumerate() {
        sleep_until(world, from + at);
        deployment
            .store
            .put("keyed.op", "config", version.as_bytes());
        acks[number] = Some(Instant::now());
        world.note(format!(
            "revoke: key-{} is taken away, acknowledged",
            number + 1
        ));
    }
    acks
}

fn run_client(
    world: &World,
    sent: &Mutex<Vec<Sent>>,
    addr: SocketAddr,
    name: usize,
    key: Option<&'static str>,
    until: Duration,
) {
    let mut number = 0;
    while world.began.elapsed() < until {
        let id = format!("{name:04x}{number:012x}");
        number += 1;
        let header = key.map_or(String::new(), |key| format!("X-Api-Key: {key}\r\n"));
        let request = format!(
            "POST /ledenpas/2f HTTP/1.1\r\nHost: sign.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 1000\r\n{header}Content-Length: 4\r\n\r\nbody"
        );
        let at = Instant::now();
        let answer = http::fetch(addr, request.as_bytes(), Duration::from_millis(1_500));
        let status =
            answer.map_or_else(|err| err.to_string(), |answer| answer.status().to_string());
        let key_text = key.unwrap_or("no key");
        world.count("requests sent");
        world.count(&format!("answers {status} with {key_text}"));
        world.note(format!("{id} with {key_text} at {addr}: {status}"));
        sent.lock().expect("sent").push(Sent { id, key, at });
        thread::sleep(PAUSE);
    }
}

fn check(world: &World, sent: &[Sent], acks: [Option<Instant>; 2]) -> Result<(), String> {
    let mut served = 0;
    for request in sent {
        let runs = world.runs_of(&request.id);
        if runs.is_empty() {
            continue;
        }
        let owned = match request.key {
            Some("key-1") => Some(acks[0]),
            Some("key-2") => Some(acks[1]),
            _ => None,
        };
        let (id, tenant) = (&request.id, runs[0].as_str());
        match owned {
            None => {
                let key = request.key.unwrap_or("no key");
                world.on_break(
                    "ROUTE",
                    format!("{id} has run, with {key}, tenant {tenant}"),
                );
            }
            Some(Some(ack)) if request.at > ack + CONFIG_TIME => {
                let since_ms = request.at.duration_since(ack).as_millis();
                let key = request.key.unwrap_or_default();
                let text = format!(
                    "{id} was sent {since_ms} ms after the ack that took {key} away, and has \
                     run, tenant {tenant}"
                );
                world.on_break("CONFIG", text);
            }
            Some(_) if tenant != "bozi300" => {
                world.on_break("UNASKED", format!("{id} has run with tenant {tenant}"));
            }
            Some(_) => served += 1,
        }
    }
    match served > 50 {
        true => Ok(()),
        false => Err(format!("only {served} requests of the tenant were served")),
    }
}
