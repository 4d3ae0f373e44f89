//! Runs one seed: a fault phase, a recovery pause, a calm phase with planned operations, and
//! the check of the promises.

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
    config::{EVENTS_PER_STREAM, HOST, Kind, MEMORY_MB, POISON_PATH, servers_of},
    crowd::{self, Unread},
    deployment::Deployment,
    disturbances::DisturbanceTarget,
    error::{Error, Result},
    flags::SavoryvaneSoak,
    ledger::Counts,
    plan::{self, Fault, Harm, Misdeed},
    presses,
    promises::{self, CalmPhase, TakenUp},
    sabotage::Sabotage,
    signals::BACKOFF_REACTION_BOUND,
    stalled_clients,
};

/// Memory of the machine of an instance in the sabotage that leaves it unbounded, in MB.
const UNBOUNDED_MEMORY_MB: u64 = 1_048_576;
/// Time within which all instances must become ready after their first start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last fault until everything must have recovered. The platform allows 12 s for
/// recovery, and its calm phase starts after 3 s.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Time until a configuration version must be in force and a leaving server must receive no
/// requests: the platform's bound of 2 s and a margin for a busy machine.
const PROPAGATION_BOUND: Duration = Duration::from_millis(2_400);
/// Time for which callers continue after the last planned operation.
const FINAL_TRAFFIC_TIME: Duration = Duration::from_millis(1_500);
/// Interval between two checks for processes that have exited unexpectedly.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(300);
/// Kinds of requests of the callers of the press service. Two of the callers send the same poison
/// request.
const PRESS_CALLERS: [Kind; 6] = [
    Kind::Print,
    Kind::Print,
    Kind::Print,
    Kind::Poison,
    Kind::Poison,
    Kind::PoisonPart,
];
/// Request rate limit that one engine announces in the calm phase.
pub(crate) const CALM_LIMIT_REQUESTS_PER_S: f64 = 1.0;
/// Number of engines that have the first software version in the calm phase; the others have the
/// second one.
const CALM_ENGINES_OF_FIRST_VERSION: usize = 2;
/// Number of streams that are broken off and taken up in the calm phase.
const CALM_TAKE_UPS: usize = 24;
/// Requests with a prompt part that a sabotage sends, and the interval between two of them: some
/// are later than the time after the fifth crash by which no instance sends any.
const LATE_PART_REQUESTS: u64 = 24;
const LATE_PART_INTERVAL: Duration = Duration::from_millis(250);
/// Rejection that names no request, for links with [`Harm::SecondCopies`].
const REJECTION: &str =
    "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
/// Delay of links with [`Harm::Delay`].
const LINK_DELAY_MS: u64 = 120;

/// Options that apply to all seeds.
#[derive(Debug)]
pub(crate) struct Options {
    program: PathBuf,
    fault_duration: Duration,
    instances: usize,
    callers: usize,
    logs: PathBuf,
    sabotage: Option<Sabotage>,
}

impl Options {
    /// Creates the options from the command line.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidFlag`] for an unknown sabotage.
    pub(crate) fn from_flags(flags: &SavoryvaneSoak) -> Result<Self> {
        let program = flags.program.clone();
        let sabotage = flags.sabotage.as_deref().map(Sabotage::parse).transpose()?;
        Ok(Self {
            program: program.unwrap_or_else(|| PathBuf::from("target/release/savoryvane")),
            fault_duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
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

/// Result of one seed.
#[derive(Debug)]
pub(crate) struct Verdict {
    pub(crate) faults: usize,
    pub(crate) counts: Counts,
    pub(crate) violations: Vec<String>,
    /// Directory with the logs, if a promise was broken.
    pub(crate) logs: Option<PathBuf>,
}

/// Runs one seed and checks the promises.
///
/// # Errors
///
/// Returns an error if processes or stand-ins can't be started, or the instances do not become
/// ready in time.
pub(crate) async fn run_seed(options: &Options, seed: u64) -> Result<Verdict> {
    let folder = options.logs.join(format!("seed-{seed}"));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let memory_mb = match options.sabotage {
        Some(Sabotage::UnboundedMemory) => UNBOUNDED_MEMORY_MB,
        _ => MEMORY_MB,
    };
    let starting = Deployment::start(&options.program, &folder, options.instances, memory_mb);
    let deployment = starting.await?;
    let deployment = Arc::new(deployment);
    let mut background_tasks = JoinSet::new();
    background_tasks.spawn(caller::poll_readiness(Arc::clone(&deployment)));
    background_tasks.spawn(supervise(Arc::clone(&deployment)));
    wait_until_ready(&deployment).await?;

    background_tasks.spawn({
        let deployment = Arc::clone(&deployment);
        async move { deployment.press_servers.supervise(&deployment.store).await }
    });
    let callers = Callers::new(Arc::clone(&deployment), options.sabotage);
    let mut caller_tasks = JoinSet::new();
    for (index, kind) in PRESS_CALLERS.into_iter().enumerate() {
        let seed = seed << 8 | 0x80 | index as u64;
        caller_tasks.spawn(Arc::clone(&callers).resend_until_stopped(kind, seed));
    }
    background_tasks.spawn({
        let (deployment, fault_duration) = (Arc::clone(&deployment), options.fault_duration);
        async move { presses::crash_some(&deployment.press_servers, seed, fault_duration).await }
    });
    for index in 0..options.callers as u64 {
        caller_tasks.spawn(Arc::clone(&callers).send_until_stopped(seed << 8 | index));
    }
    let servers = deployment.servers.len();
    let faults = plan::draw(seed, options.instances, servers, options.fault_duration);
    write_plan(&folder, &faults)?;
    inject(&callers, &faults).await?;
    for (number, engine) in servers_of("engine").enumerate() {
        deployment.release(engine, usize::from(number >= CALM_ENGINES_OF_FIRST_VERSION));
    }
    deployment.servers[limited_engine(seed)]
        .standin
        .set_limit(Some(CALM_LIMIT_REQUESTS_PER_S));
    time::sleep(RECOVERY_TIME).await;
    let calm = run_calm_phase(&callers, options.sabotage, seed).await?;
    time::sleep(FINAL_TRAFFIC_TIME).await;
    callers.stop();
    while caller_tasks.join_next().await.is_some() {}

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

async fn wait_until_ready(deployment: &Deployment) -> Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    while deployment.ready_instances().len() < deployment.addresses.len() {
        if Instant::now() > end {
            let ready_instances = deployment.ready_instances();
            return Err(Error::NotReady(format!(
                "only {ready_instances:?} at the start"
            )));
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Restarts processes that have exited unexpectedly, as the platform does.
async fn supervise(deployment: Arc<Deployment>) {
    loop {
        time::sleep(SUPERVISE_INTERVAL).await;
        for index in 0..deployment.addresses.len() {
            deployment.sample_usage(index);
            // A failed start is retried at the next check.
            if let Err(err) = deployment.instance(index).restart_if_exited() {
                eprintln!("failed to start instance {index}: {err}");
            }
        }
    }
}

/// Injects every fault at its start time, and waits until all have ended.
async fn inject(callers: &Arc<Callers>, faults: &[(Duration, Fault)]) -> Result<()> {
    let started_at = Instant::now();
    let mut fault_tasks = JoinSet::new();
    for (at, fault) in faults {
        time::sleep_until(started_at + *at).await;
        let (callers, fault) = (Arc::clone(callers), fault.clone());
        fault_tasks.spawn(async move { apply_fault(&callers, fault).await });
    }
    while let Some(task_result) = fault_tasks.join_next().await {
        task_result.map_err(std::io::Error::other)??;
    }
    Ok(())
}

async fn apply_fault(callers: &Arc<Callers>, fault: Fault) -> Result<()> {
    let deployment = callers.deployment.as_ref();
    let started_at = Instant::now();
    match fault {
        Fault::Freeze { instance, lasts } => {
            deployment.instance(instance).signal("-STOP")?;
            time::sleep(lasts).await;
            deployment.instance(instance).signal("-CONT")?;
            let frozen = DisturbanceTarget::Instance(instance);
            deployment.disturbances.add(frozen, started_at);
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
            relay.set_faults(link_faults(harm));
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
            relay.set_faults(link_faults(harm));
            time::sleep(lasts).await;
            relay.set_faults(LinkFaults::default());
            let harmed = DisturbanceTarget::ServerLink(server);
            deployment.disturbances.add(harmed, started_at);
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
            server.standin.set(server.default_behaviour());
            Ok(())
        }
        Fault::Replace { server, away } => {
            deployment.register(server, "draining");
            time::sleep(away).await;
            deployment.deregister(server);
            deployment.start_server_run(server);
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
            deployment.start_server_run(server);
            Ok(())
        }
        Fault::Backoff {
            server,
            backoff,
            lasts,
        } => {
            let ends_at = Instant::now() + lasts;
            let server = &deployment.servers[server];
            let retry_after_s = backoff.as_secs_f64().to_string();
            server.standin.request_backoff(&retry_after_s);
            if callers.sabotage == Some(Sabotage::OverBackoff) {
                send_during_backoff(deployment, server.standin.addr).await;
            }
            time::sleep_until(ends_at).await;
            server.standin.set(server.default_behaviour());
            Ok(())
        }
        Fault::Release {
            first,
            count,
            version,
            gap,
        } => {
            let engines = servers_of("engine");
            for offset in 0..count {
                let server = engines.start + (first + offset) % engines.len();
                deployment.register(server, "draining");
                time::sleep(gap).await;
                deployment.release(server, version);
            }
            Ok(())
        }
        Fault::Configure => {
            deployment.configure();
            Ok(())
        }
        Fault::Crowd {
            instance,
            per_s,
            lasts,
        } => {
            crowd::send(callers, instance, per_s, lasts, Unread::Recorded).await;
            Ok(())
        }
        Fault::StalledClients {
            instance,
            clients,
            lasts,
        } => {
            stalled_clients::connect(deployment, instance, clients, lasts).await;
            Ok(())
        }
    }
}

/// Sends a server a caller's latest request several times during the backoff that it requested.
async fn send_during_backoff(deployment: &Deployment, addr: SocketAddr) {
    let last_id = deployment
        .ledger
        .lock()
        .last()
        .map(|record| record.id.clone());
    let Some(id) = last_id else {
        return;
    };
    for number in 0..5 {
        if let Ok(mut connection) = client::connect(addr).await {
            let request = Request::get(format!("/lookup/{id}"));
            send_directly(&mut connection, request, &id, "").await;
        }
        if number == 0 {
            time::sleep(BACKOFF_REACTION_BOUND).await;
        }
    }
}

/// Stops a process with SIGTERM, waits for its exit, and restarts it.
async fn terminate(deployment: &Deployment, instance: usize) -> Result<()> {
    deployment.instance(instance).signal("-TERM")?;
    let Some(stopping) = deployment.instance(instance).take_process() else {
        // The process is already stopped, and the fault that stopped it restarts it.
        return Ok(());
    };
    stopping.wait().await?;
    deployment.instance(instance).start()
}

fn link_faults(harm: Harm) -> LinkFaults {
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
            delay_ms: LINK_DELAY_MS,
            ..LinkFaults::default()
        },
        Harm::SecondCopies => LinkFaults {
            second_copies: Some(REJECTION.to_owned()),
            ..LinkFaults::default()
        },
    }
}

fn behaviour(misdeed: Misdeed, service: &str) -> Behaviour {
    let is_stream_service = service == "engine";
    match misdeed {
        Misdeed::Fails => Behaviour::Failing,
        Misdeed::IsFull => Behaviour::Full,
        Misdeed::LosesAnswers => Behaviour::DropsResponse,
        Misdeed::IsSilent => Behaviour::Silent,
        Misdeed::AnswersAnother => Behaviour::MismatchedResponse,
        Misdeed::Unsigned => Behaviour::Unsigned,
        Misdeed::BreaksStreams if is_stream_service => Behaviour::StreamsThenAborts(3),
        Misdeed::SilencesStreams if is_stream_service => Behaviour::StreamsThenStalls(3),
        Misdeed::EndsWithConnection if is_stream_service => {
            Behaviour::StreamsToConnectionEnd(EVENTS_PER_STREAM)
        }
        Misdeed::ClosesInsideEvent if is_stream_service => Behaviour::StreamsThenCloses(3),
        Misdeed::EndsInsideEvent if is_stream_service => Behaviour::StreamsThenEndsInsideEvent(3),
        // Nothing in a plain response shows that it is incomplete.
        Misdeed::EndsWithConnection | Misdeed::ClosesInsideEvent | Misdeed::EndsInsideEvent => {
            Behaviour::RespondsToConnectionEnd
        }
        Misdeed::BreaksOff | Misdeed::BreaksStreams | Misdeed::SilencesStreams => {
            Behaviour::TruncatesResponse
        }
    }
}

/// Returns the engine that announces a limit in the calm phase.
fn limited_engine(seed: u64) -> usize {
    let engines = servers_of("engine");
    engines.start + seed as usize % engines.len()
}

/// Performs planned operations: publishes a version, drains a server, and stops an instance.
async fn run_calm_phase(
    callers: &Arc<Callers>,
    sabotage: Option<Sabotage>,
    seed: u64,
) -> Result<CalmPhase> {
    let deployment = &callers.deployment;
    if sabotage == Some(Sabotage::NotBack) {
        deployment.instance(0).kill()?;
        time::sleep(Duration::from_secs(1)).await;
    }
    let started_at = Instant::now();
    let ready_instances = deployment.ready_instances();
    let version = match sabotage {
        Some(Sabotage::LateConfig) => deployment.next_version().0,
        _ => deployment.configure(),
    };
    let leaving_server = (seed % 3) as usize;
    deployment.register(leaving_server, "draining");
    let drained_from = Instant::now() + PROPAGATION_BOUND;
    time::sleep(PROPAGATION_BOUND).await;
    let mut stale_instances = Vec::new();
    for instance in 0..deployment.addresses.len() {
        let record = callers
            .send_recorded(instance, Kind::Added(version), &mut HashMap::new())
            .await;
        if !record.is_served() {
            stale_instances.push((instance, record.status()));
        }
        deployment.ledger.add(record);
    }
    let taken_up = take_streams_up(callers).await;
    sabotage_servers(deployment, sabotage, leaving_server, limited_engine(seed)).await;
    let stopped_instance = (seed % deployment.addresses.len() as u64) as usize;
    let crowded_instance = (stopped_instance + 1) % deployment.addresses.len();
    let crowd = crowd::send_in_calm_phase(callers, crowded_instance).await;
    let stopped_at = Instant::now();
    match sabotage {
        Some(Sabotage::CutOnStop) => {
            deployment.instance(stopped_instance).kill()?;
            deployment.instance(stopped_instance).start()?;
        }
        _ => terminate(deployment, stopped_instance).await?,
    }
    Ok(CalmPhase {
        started_at,
        ready_instances,
        version,
        stale_instances,
        leaving_server,
        drained_from,
        limited_server: limited_engine(seed),
        taken_up,
        crowd,
        stopped_instance,
        stopped_at,
        stop_completed_at: Instant::now(),
    })
}

/// Begins streams at all instances in turn, breaks them off and takes each up at the next
/// instance. Returns the number of streams that were taken up and of those that went on.
async fn take_streams_up(callers: &Callers) -> TakenUp {
    let deployment = &callers.deployment;
    let instances = deployment.addresses.len();
    let mut taken_up = TakenUp::default();
    for number in 0..CALM_TAKE_UPS {
        let begun = callers.begin_stream(number % instances).await;
        if let Some(received) = begun.received_part() {
            let next = (number + 1) % instances;
            let again = callers.take_up_at(next, &begun, received).await;
            taken_up.total += 1;
            taken_up.gone_on += usize::from(again.is_served());
            deployment.ledger.add(again);
        }
        deployment.ledger.add(begun);
    }
    taken_up
}

/// Sends servers requests that no instance may send them, as the sabotage requires.
async fn sabotage_servers(
    deployment: &Deployment,
    sabotage: Option<Sabotage>,
    leaving_server: usize,
    limited_server: usize,
) {
    match sabotage {
        Some(Sabotage::Uncounted) => return crash_press_servers(deployment).await,
        Some(Sabotage::UncountedPart) => return crash_press_servers_by_part(deployment).await,
        _ => {}
    }
    let (server, id, times) = match sabotage {
        Some(Sabotage::Unasked) => (0, "nobody", 1),
        Some(Sabotage::LateDrain) => (leaving_server, "r1", 3),
        Some(Sabotage::OverLimit) => (limited_server, "r1", 20),
        Some(Sabotage::Overspent) => (1, "r1", 800),
        _ => return,
    };
    let addr = deployment.servers[server].standin.addr;
    for _ in 0..times {
        // A server may close a connection after any response.
        if let Ok(mut connection) = client::connect(addr).await {
            let request = Request::get(format!("/lookup/{id}"));
            send_directly(&mut connection, request, id, "").await;
        }
    }
}

/// Crashes press servers with requests that no instance has counted.
async fn crash_press_servers(deployment: &Deployment) {
    for _ in 0..6 {
        let Some(addr) = deployment.press_servers.running_addr() else {
            return;
        };
        if let Ok(mut connection) = client::connect(addr).await {
            let request = Request::post(POISON_PATH);
            send_directly(&mut connection, request, "r1", CRASH_TRIGGER).await;
        }
    }
}

/// Crashes press servers with requests that share a prompt part, which no instance has counted.
async fn crash_press_servers_by_part(deployment: &Deployment) {
    for number in 0..LATE_PART_REQUESTS {
        let Some(addr) = deployment.press_servers.running_addr() else {
            return;
        };
        if let Ok(mut connection) = client::connect(addr).await {
            let parts = Kind::PoisonPart.prompt_parts(number).unwrap_or_default();
            let request = Request::post(format!("/print/r{number}")).header("prefix-hash", parts);
            send_directly(&mut connection, request, "r1", "").await;
        }
        time::sleep(LATE_PART_INTERVAL).await;
    }
}

/// Sends a request to a server directly, without an instance.
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
    // The server records the request, so that its response does not matter.
    let _ = client::exchange(connection, request, deadline).await;
}
