//! Model runners crash while they stream, and some clients leave before the end of their answer.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{BEAT, Deployment, ZONES},
    runners::{Runner, Work},
    world::{REACHED_LATE, Random, Sent, World, sleep_until},
};

/// Length of the traffic.
const TRAFFIC_S: f64 = 90.0;
/// Requests a second.
const PER_S: f64 = 20.9;
/// Time that clients wait for the end of an answer.
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Share of the clients that leave, after which time, and for how long such clients come.
const LEAVING_SHARE: f64 = 0.3;
const LEAVE_AFTER: Duration = Duration::from_millis(1_500);
const LEAVING_TIME_S: f64 = 5.0;
/// Share of the model runners that crash together, for how long, and how often.
const CRASHING_SHARE: f64 = 0.25;
const DOWN_TIME: Duration = Duration::from_secs(2);
const CRASH_INTERVAL_S: f64 = 6.0;
/// Model runners.
const MODEL_RUNNERS: usize = 12;
const MODEL: Work = Work::Model {
    first_ms: 120,
    events: 10,
    gap_ms: 150,
};
/// Requests that may reach a runner late: more than a few break the rule.
const FEW: u32 = 3;

const CONFIG: &str = r#"{"Version":7,
"Routes":[
 {"Name":"offerte","Host":"sign.example","PathPrefix":"/offerte/","RouteKind":"stream",
  "TimeoutMs":6000,"GoalMs":1800,"Priority":0,"Service":"taalmodel","Attempts":2,
  "Stages":[{"Service":"archief","After":[],"SizeBytes":8000},
            {"Service":"agenda","After":[0],"SizeBytes":60000},
            {"Service":"facturen","After":[1],"SizeBytes":6000}],
  "Public":false,"Sticky":false,"Resumable":true,"GapAimMs":400}],
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
    let models: Vec<Arc<Runner>> = (0..MODEL_RUNNERS)
        .map(|number| start(world, "taalmodel", number, MODEL))
        .collect::<Result<_, _>>()?;
    let mut runners = models.clone();
    for (service, item_us) in [("archief", 17_000), ("agenda", 6_100), ("facturen", 3_700)] {
        for number in 0..5 {
            let work = Work::Stage {
                call_ms: 200,
                item_us,
            };
            runners.push(start(world, service, number, work)?);
        }
    }
    let deployment = Arc::new(Deployment::start(world, CONFIG, &runners)?);
    let from = world.began.elapsed();
    let callers: Vec<SocketAddr> = deployment
        .instances
        .iter()
        .map(|instance| instance.caller)
        .collect();
    let crashing = has_trouble.then(|| {
        let (world, deployment) = (Arc::clone(world), Arc::clone(&deployment));
        thread::spawn(move || crash_models(&world, &deployment, models, from))
    });
    let mut random = Random::new(seed);
    let mut clients = Vec::new();
    let mut at_s = 0.0;
    while at_s < TRAFFIC_S {
        sleep_until(world, from + Duration::from_secs_f64(at_s));
        let sent = Sent {
            pieces: vec![1, 4, random.between(7, 13)],
            after: vec![vec![], vec![0], vec![1]],
        };
        let leaves = random.share() < LEAVING_SHARE && has_trouble && is_leaving_time(at_s);
        let number = clients.len();
        let (world, addr) = (Arc::clone(world), callers[number % callers.len()]);
        clients.push(thread::spawn(move || {
            send(&world, addr, number, sent, leaves)
        }));
        at_s += -random.share().max(1e-9).ln() / PER_S;
    }
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    if let Some(crashing) = crashing {
        crashing
            .join()
            .map_err(|_| "the disturbance failed".to_owned())?;
    }
    let late = world.counted(REACHED_LATE);
    if late > FEW {
        let text = format!("{late} requests reached a runner over half a second after the close");
        world.on_break("GONE", text);
    }
    let (sent, whole) = (
        world.counted("requests sent"),
        world.counted("whole answers"),
    );
    if whole * 2 < sent {
        return Err(format!("only {whole} of {sent} requests were served"));
    }
    Ok(world.breaks().is_empty())
}

fn start(
    world: &Arc<World>,
    service: &str,
    number: usize,
    work: Work,
) -> Result<Arc<Runner>, String> {
    let id = format!("i-{service}-{number}");
    let zone = ZONES[number % ZONES.len()];
    let runner = Runner::start(world, id, service, zone, work, number as u64);
    runner.map_err(|err| format!("runner: {err}"))
}

/// Crashes a share of the model runners again and again; others start in their place.
fn crash_models(
    world: &Arc<World>,
    deployment: &Arc<Deployment>,
    mut models: Vec<Arc<Runner>>,
    from: Duration,
) {
    let count = (MODEL_RUNNERS as f64 * CRASHING_SHARE) as usize;
    let mut started = MODEL_RUNNERS;
    let interval = Duration::from_secs_f64(CRASH_INTERVAL_S);
    let mut at = from + interval;
    while at + DOWN_TIME < from + Duration::from_secs_f64(TRAFFIC_S) {
        sleep_until(world, at);
        let crashed: Vec<Arc<Runner>> = models.drain(..count).collect();
        for runner in &crashed {
            world.note(format!("{} crashes", runner.id));
            runner.crash();
        }
        let (expiring, of) = (Arc::clone(deployment), crashed);
        thread::spawn(move || {
            thread::sleep(3 * BEAT);
            of.iter().for_each(|runner| expiring.expire(&runner.id));
        });
        sleep_until(world, at + DOWN_TIME);
        for _ in 0..count {
            if let Ok(runner) = start(world, "taalmodel", started, MODEL) {
                world.note(format!("{} starts", runner.id));
                deployment.register(&runner);
                models.push(runner);
            }
            started += 1;
        }
        at += interval;
    }
}

/// Returns whether a share of the clients that send `at_s` after the begin of the traffic leave:
/// for some seconds around each crash.
fn is_leaving_time(at_s: f64) -> bool {
    let crash_s = (at_s / CRASH_INTERVAL_S).round().max(1.0) * CRASH_INTERVAL_S;
    (at_s - crash_s).abs() < LEAVING_TIME_S / 2.0
}

fn send(world: &World, addr: SocketAddr, number: usize, sent: Sent, leaves: bool) {
    let id = format!("{number:016x}");
    world.on_sent(&id, sent.clone());
    let pieces: Vec<String> = sent.pieces.iter().map(u32::to_string).collect();
    let request = format!(
        "POST /offerte/2f HTTP/1.1\r\nHost: sign.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 1460,80\r\nPieces: {}\r\nPiece-Key: key-{id}\r\nDeadline-Ms: {}\r\n\
         X-Api-Key: key-of-bozi\r\nContent-Length: 16\r\n\r\n{id}",
        pieces.join(","),
        DEADLINE.as_millis(),
    );
    world.count("requests sent");
    world.note(format!("client sends {id} to {addr}"));
    let wait = if leaves { LEAVE_AFTER } else { DEADLINE };
    match read_answer(addr, request.as_bytes(), wait) {
        Ok(Some(answer)) => {
            let status = answer.split(' ').nth(1).unwrap_or_default();
            let is_whole = answer.ends_with("\r\n0\r\n\r\n");
            world.count(&format!("answers {status}"));
            if is_whole && status == "200" {
                world.count("whole answers");
            }
            world.note(format!("client gets {status} for {id}, whole: {is_whole}"));
        }
        Ok(None) => {
            world.count("connections closed by clients that left");
            world.on_closed(&id);
        }
        Err(err) => {
            world.count("connections that ended without an answer");
            world.note(format!("client gets no answer for {id}: {err}"));
        }
    }
}

/// Sends a request and reads until its answer ends; returns `None` if that takes longer than
/// `wait`, when the connection is closed.
fn read_answer(addr: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Option<String>> {
    let until = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(None);
        }
        stream.set_read_timeout(Some(left))?;
        let length = match stream.read(&mut part) {
            Ok(length) => length,
            Err(err) if is_timeout(&err) => return Ok(None),
            Err(err) if answer.is_empty() => return Err(err),
            Err(_) => 0,
        };
        answer.extend(&part[..length]);
        let text = String::from_utf8_lossy(&answer);
        let has_ended = text.ends_with("\r\n0\r\n\r\n") || is_complete(&text);
        if length == 0 && answer.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if length == 0 || has_ended {
            return Ok(Some(text.into_owned()));
        }
    }
}

/// Returns whether an answer with a length has all of its body.
fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines().map(str::to_ascii_lowercase);
    let length = lines.find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}

fn is_timeout(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
