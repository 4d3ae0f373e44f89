//! Plays one seed: faults for some seconds, a pause, then planned work while all
//! is calm, and the check of what everybody saw.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, request};
use http_body_util::Full;
use savoryvane_platform_standin::{Behaviour, CRASH_TRIGGER, Fault as StoreFault};
use savoryvane_standins::LinkFaults;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    caller::{self, Callers},
    client::{self, Connection},
    config::{HOST, Kind, POISON_PATH, servers_of},
    deployment::Deployment,
    disturbances::Disturbed,
    error::{Error, Result},
    flags::SavoryvaneSoak,
    ledger::Counts,
    plan::{self, Fault, Harm, Misdeed},
    presses,
    promises::{self, Calm},
    sabotage::Sabotage,
    signals::SETTLES_WITHIN,
};

/// Time for the instances to become ready after their first start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last fault until everything has to be well again: what the
/// platform gives for recovery is 12 s, what it calls calm begins after 3 s.
const SETTLE: Duration = Duration::from_secs(5);
/// Time within which a version is in force and a server that leaves is left
/// alone, by the platform's bounds of 2 s, and some more on a busy machine.
const IN_FORCE: Duration = Duration::from_millis(2_400);
/// Time for which callers go on after the last planned step.
const CLOSING: Duration = Duration::from_millis(1_500);
/// Time between two looks for processes that have ended by themselves.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(300);
/// Callers at the servers that end under some requests; two of them with the same one.
const AT_THE_PRESSES: [Kind; 5] = [
    Kind::Print,
    Kind::Print,
    Kind::Print,
    Kind::Poison,
    Kind::Poison,
];
/// Requests a second that an engine takes once all is calm.
pub(crate) const CALM_LIMIT_PER_S: f64 = 1.0;
/// Delay of harmed ways, in ms.
const DELAY_MS: u64 = 120;

/// How seeds are played.
#[derive(Debug)]
pub(crate) struct Options {
    program: PathBuf,
    length: Duration,
    instances: usize,
    callers: usize,
    logs: PathBuf,
    sabotage: Option<Sabotage>,
}

impl Options {
    /// Takes over the command line.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Flag`] for a sabotage that there is not.
    pub(crate) fn from_flags(flags: &SavoryvaneSoak) -> Result<Self> {
        let program = flags.program.clone();
        let sabotage = flags.sabotage.as_deref().map(Sabotage::parse).transpose()?;
        Ok(Self {
            program: program.unwrap_or_else(|| PathBuf::from("target/release/savoryvane")),
            length: Duration::from_secs(flags.seconds.unwrap_or(10)),
            instances: flags.instances.unwrap_or(5),
            callers: flags.callers.unwrap_or(16),
            logs: flags
                .logs
                .clone()
                .unwrap_or_else(|| PathBuf::from("target/soak")),
            sabotage,
        })
    }
}

/// How a seed ended.
#[derive(Debug)]
pub(crate) struct Verdict {
    pub(crate) faults: usize,
    pub(crate) counts: Counts,
    pub(crate) violations: Vec<String>,
    /// Folder with the logs, if a promise was broken.
    pub(crate) logs: Option<PathBuf>,
}

/// Plays one seed.
///
/// # Errors
///
/// Fails when processes or stand-ins can't be started.
pub(crate) async fn play(options: &Options, seed: u64) -> Result<Verdict> {
    let folder = options.logs.join(format!("seed-{seed}"));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let deployment = Deployment::start(&options.program, &folder, options.instances).await?;
    let deployment = Arc::new(deployment);
    let mut watching = JoinSet::new();
    watching.spawn(caller::watch_ready(Arc::clone(&deployment)));
    watching.spawn(supervise(Arc::clone(&deployment)));
    until_ready(&deployment).await?;

    watching.spawn({
        let deployment = Arc::clone(&deployment);
        async move { deployment.presses.supervise(&deployment.store).await }
    });
    let callers = Callers::new(Arc::clone(&deployment), options.sabotage);
    let mut asking = JoinSet::new();
    for (index, kind) in AT_THE_PRESSES.into_iter().enumerate() {
        let seed = seed << 8 | 0x80 | index as u64;
        asking.spawn(Arc::clone(&callers).come_again(kind, seed));
    }
    watching.spawn({
        let (deployment, length) = (Arc::clone(&deployment), options.length);
        async move { presses::crash(&deployment.presses, seed, length).await }
    });
    for index in 0..options.callers as u64 {
        asking.spawn(Arc::clone(&callers).ask_on(seed << 8 | index));
    }
    let servers = deployment.servers.len();
    let faults = plan::draw(seed, options.instances, servers, options.length);
    write_plan(&folder, &faults)?;
    inject(&callers, &faults).await?;
    deployment.servers[limited(seed)]
        .standin
        .set_limit(Some(CALM_LIMIT_PER_S));
    time::sleep(SETTLE).await;
    let calm = work_as_planned(&callers, options.sabotage, seed).await?;
    time::sleep(CLOSING).await;
    callers.stop();
    while asking.join_next().await.is_some() {}

    let violations = promises::check(&deployment, &calm);
    let counts = Counts::of(&deployment.ledger.lock());
    let logs = if violations.is_empty() {
        std::fs::remove_dir_all(&folder)?;
        None
    } else {
        std::fs::write(folder.join("violations.txt"), violations.join("\n"))?;
        Some(folder)
    };
    Ok(Verdict {
        faults: faults.len(),
        counts,
        violations,
        logs,
    })
}

fn write_plan(folder: &Path, faults: &[(Duration, Fault)]) -> Result<()> {
    let lines = faults
        .iter()
        .map(|(at, fault)| format!("{at:?} {fault:?}\n"));
    std::fs::write(folder.join("plan.txt"), lines.collect::<String>())?;
    Ok(())
}

async fn until_ready(deployment: &Deployment) -> Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    while deployment.ready().len() < deployment.addresses.len() {
        if Instant::now() > end {
            let ready = deployment.ready();
            return Err(Error::NotReady(format!("only {ready:?} at the start")));
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Starts processes again that have ended by themselves, as the platform does.
async fn supervise(deployment: Arc<Deployment>) {
    loop {
        time::sleep(SUPERVISE_INTERVAL).await;
        for index in 0..deployment.addresses.len() {
            // One that can't be started now is tried again at the next look.
            if let Err(err) = deployment.instance(index).restart_if_ended() {
                eprintln!("instance {index} not started: {err}");
            }
        }
    }
}

/// Lets every fault happen at its time, and waits until all have ended.
async fn inject(callers: &Arc<Callers>, faults: &[(Duration, Fault)]) -> Result<()> {
    let began = Instant::now();
    let mut open = JoinSet::new();
    for (at, fault) in faults {
        time::sleep_until(began + *at).await;
        let (callers, fault) = (Arc::clone(callers), fault.clone());
        open.spawn(async move { happen(&callers, fault).await });
    }
    while let Some(ended) = open.join_next().await {
        ended.map_err(std::io::Error::other)??;
    }
    Ok(())
}

async fn happen(callers: &Callers, fault: Fault) -> Result<()> {
    let deployment = callers.deployment.as_ref();
    let began = Instant::now();
    match fault {
        Fault::Freeze { instance, lasts } => {
            deployment.instance(instance).signal("-STOP")?;
            time::sleep(lasts).await;
            deployment.instance(instance).signal("-CONT")?;
            let frozen = Disturbed::Instance(instance);
            deployment.disturbances.note(frozen, began);
            Ok(())
        }
        Fault::Kill { instance, away } => {
            deployment.instance(instance).kill()?;
            time::sleep(away).await;
            deployment.instance(instance).start()
        }
        Fault::Terminate { instance } => terminate(deployment, instance).await,
        Fault::Reload { instance } => deployment.instance(instance).signal("-HUP"),
        Fault::KillAll { away } => {
            for index in 0..deployment.addresses.len() {
                deployment.instance(index).kill()?;
            }
            time::sleep(away).await;
            for index in 0..deployment.addresses.len() {
                deployment.instance(index).start()?;
            }
            Ok(())
        }
        Fault::StoreLink {
            instance,
            harm,
            lasts,
        } => {
            let relay = &deployment.store_relays[instance];
            relay.set_faults(faults_of(harm));
            time::sleep(lasts).await;
            relay.set_faults(LinkFaults::default());
            Ok(())
        }
        Fault::ServerLink {
            server,
            harm,
            lasts,
        } => {
            let relay = &deployment.servers[server].relay;
            relay.set_faults(faults_of(harm));
            time::sleep(lasts).await;
            relay.set_faults(LinkFaults::default());
            let harmed = Disturbed::ServerLink(server);
            deployment.disturbances.note(harmed, began);
            Ok(())
        }
        Fault::Store { is_silent, lasts } => {
            let fault = if is_silent {
                StoreFault::Silent
            } else {
                StoreFault::Busy
            };
            deployment.store.set_fault(fault);
            time::sleep(lasts).await;
            deployment.store.set_fault(StoreFault::None);
            Ok(())
        }
        Fault::ForgetHistory => {
            deployment.store.trim_history("keyed.op");
            deployment.store.trim_history("keyed.servers");
            Ok(())
        }
        Fault::Server {
            server,
            misdeed,
            lasts,
        } => {
            let server = &deployment.servers[server];
            server.standin.set(behaviour(misdeed, server.service));
            time::sleep(lasts).await;
            server.standin.set(server.usual());
            Ok(())
        }
        Fault::Replace { server, away } => {
            deployment.register(server, "draining");
            time::sleep(away).await;
            deployment.deregister(server);
            deployment.start_run(server);
            Ok(())
        }
        Fault::Limit {
            server,
            tenths_per_s,
            lasts,
        } => {
            let server = &deployment.servers[server].standin;
            server.set_limit(Some(f64::from(tenths_per_s) / 10.0));
            time::sleep(lasts).await;
            server.set_limit(None);
            Ok(())
        }
        Fault::Leave {
            server,
            is_store_away,
            lasts,
        } => {
            deployment.servers[server].standin.leave();
            if is_store_away {
                deployment.store.set_fault(StoreFault::Silent);
            }
            time::sleep(lasts).await;
            if is_store_away {
                deployment.store.set_fault(StoreFault::None);
            }
            deployment.deregister(server);
            deployment.start_run(server);
            Ok(())
        }
        Fault::Backoff {
            server,
            backoff,
            lasts,
        } => {
            let ends = Instant::now() + lasts;
            let server = &deployment.servers[server];
            let retry_after_s = backoff.as_secs_f64().to_string();
            server.standin.request_backoff(&retry_after_s);
            if callers.sabotage == Some(Sabotage::OverBackoff) {
                press_on(deployment, server.standin.addr).await;
            }
            time::sleep_until(ends).await;
            server.standin.set(server.usual());
            Ok(())
        }
        Fault::Configure => {
            deployment.configure();
            Ok(())
        }
    }
}

/// Sends a server the request of a caller again after it has asked for backoff.
async fn press_on(deployment: &Deployment, addr: SocketAddr) {
    let last = deployment
        .ledger
        .lock()
        .last()
        .map(|asked| asked.id.clone());
    let Some(id) = last else {
        return;
    };
    for number in 0..5 {
        if let Ok(mut connection) = client::connect(addr).await {
            let request = Request::get(format!("/lookup/{id}"));
            send_directly(&mut connection, request, &id, "").await;
        }
        if number == 0 {
            time::sleep(SETTLES_WITHIN).await;
        }
    }
}

/// Asks a process to stop, waits until it has, and starts it again.
async fn terminate(deployment: &Deployment, instance: usize) -> Result<()> {
    deployment.instance(instance).signal("-TERM")?;
    let Some(ending) = deployment.instance(instance).take() else {
        // It is away already, and whoever ended it starts it again.
        return Ok(());
    };
    ending.wait().await?;
    deployment.instance(instance).start()
}

fn faults_of(harm: Harm) -> LinkFaults {
    match harm {
        Harm::Cut => LinkFaults {
            cut: true,
            ..LinkFaults::default()
        },
        Harm::Reset => LinkFaults {
            close: true,
            ..LinkFaults::default()
        },
        Harm::Silence => LinkFaults {
            silence_established: true,
            ..LinkFaults::default()
        },
        Harm::Delay => LinkFaults {
            delay_ms: DELAY_MS,
            ..LinkFaults::default()
        },
    }
}

fn behaviour(misdeed: Misdeed, service: &str) -> Behaviour {
    let streams = service == "engine";
    match misdeed {
        Misdeed::Fails => Behaviour::Failing,
        Misdeed::IsFull => Behaviour::Full,
        Misdeed::LosesAnswers => Behaviour::DropsResponse,
        Misdeed::IsSilent => Behaviour::Silent,
        Misdeed::AnswersAnother => Behaviour::MismatchedResponse,
        Misdeed::Unsigned => Behaviour::Unsigned,
        Misdeed::BreaksStreams if streams => Behaviour::StreamsThenAborts(3),
        Misdeed::SilencesStreams if streams => Behaviour::StreamsThenStalls(3),
        Misdeed::BreaksOff | Misdeed::BreaksStreams | Misdeed::SilencesStreams => {
            Behaviour::TruncatesResponse
        }
    }
}

/// Returns the engine that names a limit once all is calm.
fn limited(seed: u64) -> usize {
    let engines = servers_of("engine");
    engines.start + seed as usize % engines.len()
}

/// Does what operators do on a calm day: a version, a server that leaves, a stop
/// of an instance.
async fn work_as_planned(callers: &Callers, sabotage: Option<Sabotage>, seed: u64) -> Result<Calm> {
    let deployment = &callers.deployment;
    if sabotage == Some(Sabotage::NotBack) {
        deployment.instance(0).kill()?;
        time::sleep(Duration::from_secs(1)).await;
    }
    let began_at = Instant::now();
    let ready = deployment.ready();
    let version = match sabotage {
        Some(Sabotage::LateConfig) => deployment.next_version().0,
        _ => deployment.configure(),
    };
    let leaving = (seed % 3) as usize;
    deployment.register(leaving, "draining");
    let left_alone_from = Instant::now() + IN_FORCE;
    time::sleep(IN_FORCE).await;
    let mut behind = Vec::new();
    for instance in 0..deployment.addresses.len() {
        let asked = callers
            .ask(instance, Kind::Added(version), &mut HashMap::new())
            .await;
        if !asked.is_served() {
            behind.push((instance, asked.status()));
        }
        deployment.ledger.add(asked);
    }
    harm_servers(deployment, sabotage, leaving, limited(seed)).await;
    let stopped = (seed % deployment.addresses.len() as u64) as usize;
    let stopped_at = Instant::now();
    match sabotage {
        Some(Sabotage::CutOnStop) => {
            deployment.instance(stopped).kill()?;
            deployment.instance(stopped).start()?;
        }
        _ => terminate(deployment, stopped).await?,
    }
    Ok(Calm {
        began_at,
        ready,
        version,
        behind,
        leaving,
        left_alone_from,
        limited: limited(seed),
        stopped,
        stopped_at,
        stop_ended_at: Instant::now(),
    })
}

/// Sends servers what no instance may send them.
async fn harm_servers(
    deployment: &Deployment,
    sabotage: Option<Sabotage>,
    leaving: usize,
    limited: usize,
) {
    if sabotage == Some(Sabotage::Uncounted) {
        return end_presses(deployment).await;
    }
    let (server, id, times) = match sabotage {
        Some(Sabotage::Unasked) => (0, "nobody", 1),
        Some(Sabotage::LateDrain) => (leaving, "r1", 3),
        Some(Sabotage::OverLimit) => (limited, "r1", 20),
        Some(Sabotage::Overspent) => (1, "r1", 800),
        _ => return,
    };
    let addr = deployment.servers[server].standin.addr;
    for _ in 0..times {
        // A server may close a connection after any answer.
        if let Ok(mut connection) = client::connect(addr).await {
            let request = Request::get(format!("/lookup/{id}"));
            send_directly(&mut connection, request, id, "").await;
        }
    }
}

/// Ends servers by requests that no instance has counted.
async fn end_presses(deployment: &Deployment) {
    for _ in 0..6 {
        let Some(addr) = deployment.presses.running_addr() else {
            return;
        };
        if let Ok(mut connection) = client::connect(addr).await {
            let request = Request::post(POISON_PATH);
            send_directly(&mut connection, request, "r1", CRASH_TRIGGER).await;
        }
    }
}

/// Sends a server a request past all instances.
async fn send_directly(
    connection: &mut Connection,
    request: request::Builder,
    id: &str,
    body: &'static str,
) {
    let request = request
        .header("host", HOST)
        .header("request-id", id)
        .body(Full::new(Bytes::from(body)))
        .unwrap_or_default();
    let deadline = Instant::now() + Duration::from_secs(1);
    // What the server makes of it is seen in its books.
    let _ = client::exchange(connection, request, deadline).await;
}
