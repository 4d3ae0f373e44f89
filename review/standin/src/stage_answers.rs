//! Stage runners send some of their answers a second time, where the answer to the next request
//! on the connection is expected.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use crate::{
    deployment::{Deployment, ZONES},
    http,
    runners::{Runner, Work},
    world::{Random, Sent, World, sleep_until},
};

/// Length of the traffic.
const TRAFFIC_S: f64 = 88.0;
/// Requests a second of the route with three stages, and of the one with one stage.
const OFFERTE_PER_S: f64 = 20.9;
const LETTER_PER_S: f64 = 10.3;
/// Share of a service's runners that send second answers, and for how long.
const GARBLING_SHARE: f64 = 0.6;
const GARBLING_TIME: Duration = Duration::from_secs(5);
/// Service whose runners send second answers, and the starts of the disturbance.
const GARBLING_SERVICE: &str = "archief";
const DISTURBANCES_S: [u64; 12] = [4, 11, 18, 25, 32, 39, 46, 53, 60, 67, 74, 81];

const CONFIG: &str = r#"{"Version":7,
"Routes":[
 {"Name":"offerte","Host":"sign.example","PathPrefix":"/offerte/","RouteKind":"stream",
  "TimeoutMs":6000,"GoalMs":1800,"Priority":0,"Service":"taalmodel","Attempts":2,
  "Stages":[{"Service":"archief","After":[],"SizeBytes":8000},
            {"Service":"agenda","After":[0],"SizeBytes":60000},
            {"Service":"facturen","After":[1],"SizeBytes":6000}],
  "Public":false,"Sticky":false,"Resumable":true,"GapAimMs":400},
 {"Name":"letter","Host":"sign.example","PathPrefix":"/letter/","RouteKind":"stream",
  "TimeoutMs":20000,"GoalMs":1800,"Priority":2,"Service":"taalmodel","Attempts":1,
  "Stages":[{"Service":"archief","After":[],"SizeBytes":1500000}],
  "Public":false,"Sticky":false,"Resumable":false,"GapAimMs":400}],
"Services":[
 {"Name":"taalmodel","HealthPath":"/healthz","MaxConns":370,"Proto":"h1","Tls":false,
  "Engine":{"Slots":64,"KvCapacity":457009}},
 {"Name":"archief","HealthPath":"/healthz","MaxConns":370,"Proto":"h1","Tls":false,
  "Pieces":{"Slots":1,"Queue":2,"Batch":10,"CallMs":200.0,"ItemMs":17.0,"RoomMb":22.0,
            "HandleS":4.0,"LinkMbps":10000}},
 {"Name":"agenda","HealthPath":"/healthz","MaxConns":370,"Proto":"h1","Tls":false,
  "Pieces":{"Slots":1,"Queue":2,"Batch":28,"CallMs":200.0,"ItemMs":6.1,"RoomMb":3.6,
            "HandleS":4.0,"LinkMbps":10000}},
 {"Name":"facturen","HealthPath":"/healthz","MaxConns":370,"Proto":"h1","Tls":false,
  "Pieces":{"Slots":1,"Queue":2,"Batch":46,"CallMs":200.0,"ItemMs":3.7,"RoomMb":0.6,
            "HandleS":4.0,"LinkMbps":10000}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
          "IdleTimeoutMs":15000},
"Tenants":[{"Name":"bozi300","ApiKeys":["key-of-bozi"]}]}"#;

/// Runs the scenario, and returns whether the rule held.
pub fn run(world: &Arc<World>, has_trouble: bool, seed: u64) -> Result<bool, String> {
    let runners = start_runners(world, seed)?;
    let mut deployment = Deployment::start(world, CONFIG, &runners)?;
    let traffic_from = world.began.elapsed();
    let callers: Vec<SocketAddr> = deployment
        .instances
        .iter()
        .map(|instance| instance.caller)
        .collect();
    let mut random = Random::new(seed);
    let mut arrivals = arrivals(&mut random);
    arrivals.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    if has_trouble {
        disturb(world, &runners, traffic_from);
    }
    let clients: Vec<_> = arrivals
        .into_iter()
        .enumerate()
        .map(|(number, arrival)| {
            sleep_until(world, traffic_from + Duration::from_secs_f64(arrival.at_s));
            let world = Arc::clone(world);
            let addr = callers[number % callers.len()];
            thread::spawn(move || send(&world, addr, number, &arrival))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    for name in deployment.ended_instances() {
        world.on_break(
            "Fault",
            format!("the process of {name} has ended by itself"),
        );
    }
    check_traffic(world)?;
    Ok(world.breaks().is_empty())
}

fn start_runners(world: &Arc<World>, seed: u64) -> Result<Vec<Arc<Runner>>, String> {
    let model = Work::Model {
        first_ms: 120,
        events: 5,
        gap_ms: 40,
    };
    let stage = |item_us| Work::Stage {
        call_ms: 200,
        item_us,
    };
    let services = [
        ("taalmodel", 12, model),
        ("archief", 5, stage(17_000)),
        ("agenda", 5, stage(6_100)),
        ("facturen", 5, stage(3_700)),
    ];
    let mut runners = Vec::new();
    for (service, count, work) in services {
        for number in 0..count {
            let id = format!("i-{service}-{number}");
            let zone = ZONES[number % ZONES.len()];
            let seed = seed * 100 + runners.len() as u64;
            let runner = Runner::start(world, id, service, zone, work, seed);
            runners.push(runner.map_err(|err| format!("runner: {err}"))?);
        }
    }
    Ok(runners)
}

/// Makes a share of a service's runners send second answers for some time, again and again.
fn disturb(world: &Arc<World>, runners: &[Arc<Runner>], from: Duration) {
    let of_service = runners
        .iter()
        .filter(|runner| runner.service == GARBLING_SERVICE);
    let of_service: Vec<Arc<Runner>> = of_service.cloned().collect();
    let count = (of_service.len() as f64 * GARBLING_SHARE) as usize;
    let garbling: Vec<Arc<Runner>> = of_service.into_iter().take(count).collect();
    let world = Arc::clone(world);
    thread::spawn(move || {
        for at_s in DISTURBANCES_S {
            sleep_until(&world, from + Duration::from_secs(at_s));
            world.note(format!(
                "garble (extra late): {count} runners of {GARBLING_SERVICE}"
            ));
            for runner in &garbling {
                runner.is_garbling.store(true, Ordering::Relaxed);
            }
            thread::sleep(GARBLING_TIME);
            for runner in &garbling {
                runner.is_garbling.store(false, Ordering::Relaxed);
            }
            world.note("garble has ended");
        }
    });
}

/// A request that a client sends.
struct Arrival {
    at_s: f64,
    route: &'static str,
    deadline_ms: u64,
    sent: Sent,
}

fn arrivals(random: &mut Random) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    while at_s < TRAFFIC_S {
        arrivals.push(Arrival {
            at_s,
            route: "offerte",
            deadline_ms: 6_000,
            sent: Sent {
                pieces: vec![1, 4, random.between(7, 13)],
                after: vec![vec![], vec![0], vec![1]],
            },
        });
        at_s += -random.share().max(1e-9).ln() / OFFERTE_PER_S;
    }
    let mut at_s = 0.0;
    while at_s < TRAFFIC_S {
        arrivals.push(Arrival {
            at_s,
            route: "letter",
            deadline_ms: 20_000,
            sent: Sent {
                pieces: vec![random.between(1, 4)],
                after: vec![vec![]],
            },
        });
        at_s += -random.share().max(1e-9).ln() / LETTER_PER_S;
    }
    arrivals
}

fn send(world: &World, addr: SocketAddr, number: usize, arrival: &Arrival) {
    let id = format!("{number:016x}");
    world.on_sent(&id, arrival.sent.clone());
    let pieces: Vec<String> = arrival.sent.pieces.iter().map(u32::to_string).collect();
    let body = format!("prompt of {id}");
    let request = format!(
        "POST /{}/2f HTTP/1.1\r\nHost: sign.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 1460,80\r\nPieces: {}\r\nPiece-Key: key-{id}\r\nDeadline-Ms: {}\r\n\
         X-Api-Key: key-of-bozi\r\nContent-Length: {}\r\n\r\n{body}",
        arrival.route,
        pieces.join(","),
        arrival.deadline_ms,
        body.len(),
    );
    world.count("requests sent");
    world.note(format!("client sends {id} ({}) to {addr}", arrival.route));
    let timeout = Duration::from_millis(arrival.deadline_ms + 500);
    match http::fetch(addr, request.as_bytes(), timeout) {
        Ok(answer) => {
            world.count(&format!("answers {}", answer.status()));
            world.note(format!("client gets {} for {id}", answer.status()));
        }
        Err(err) => {
            world.count("connections that ended without an answer");
            world.note(format!("client gets no answer for {id}: {err}"));
        }
    }
}

/// Checks that the deployment served its traffic, without which the run shows nothing.
fn check_traffic(world: &World) -> Result<(), String> {
    let (sent, answered) = (world.counted("requests sent"), world.counted("answers 200"));
    match answered * 2 > sent {
        true => Ok(()),
        false => Err(format!("only {answered} of {sent} requests were served")),
    }
}
