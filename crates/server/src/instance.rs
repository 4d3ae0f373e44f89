//! The entry instance: starts its listeners and tasks, and shuts it down.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use savoryvane_core::{
    caller_memory::MemoryLimits,
    config::{Action, FollowerSettings},
    fleet::Fleet,
    ids::Incarnation,
    settings::PolicySettings,
};
use savoryvane_wire::platform::Listing;
use slog::{Logger, info, warn};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::JoinSet,
    time::{self, Instant},
};
use tokio_util::task::TaskTracker;

use crate::{
    admin,
    answers::Answers,
    caller,
    caller_memory::{MemoryCharge, SharedMemory},
    calls::BackendClient,
    claims::{self, Claims},
    clock::Clock,
    configuration::Configuration,
    connection_memory::RequestMemory,
    crashes::SharedCrashTracker,
    error::{Error, Result},
    follower,
    listener::{self, Acceptor},
    listing, loads,
    lock::lock,
    logging,
    members::{self, Members},
    meters::Meters,
    peer::{PeerId, PeerServer},
    peering::Peering,
    phase::{Phase, Phases},
    placement::{self, Placement},
    placer::{self, Candidacy},
    platform::PlatformClient,
    prefixes, quarantine_log,
    refusal::Refusal,
    settings::Settings,
    snapshot::SnapshotCache,
    tickets::Tickets,
};

/// Limits on what is held for operators' connections and readers of metrics. The bodies of their
/// requests are read only with the operators' credential.
const OPERATOR_LIMITS: MemoryLimits = MemoryLimits {
    max_bytes: 16 << 20,
    max_connections: 256,
    max_requests: 256,
};

/// State shared by all tasks of an instance.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Settings that the instance was started with.
    pub(crate) settings: Settings,
    /// Random number that identifies this run of the instance.
    pub(crate) incarnation: Incarnation,
    /// Logger.
    pub(crate) log: Logger,
    /// Monotonic clock, from the start of the instance.
    pub(crate) clock: Clock,
    /// Current phase of the instance.
    pub(crate) phases: Arc<Phases>,
    /// The configuration in force.
    pub(crate) configuration: Configuration,
    /// Cached snapshots for peers.
    pub(crate) snapshots: SnapshotCache,
    /// Client of the platform's log and instance list.
    pub(crate) platform: PlatformClient,
    /// Latest list of instances and backend servers; `None` before the first read.
    pub(crate) listing: ArcSwapOption<Listing>,
    /// Membership and links to the other instances.
    pub(crate) members: Members,
    /// Claims of idempotency keys.
    pub(crate) claims: Claims,
    /// Tickets for non-idempotent requests.
    pub(crate) tickets: Tickets,
    /// Cached answers of non-idempotent requests.
    pub(crate) answers: Answers,
    /// Tracker of requests that crash backend servers.
    pub(crate) ends: SharedCrashTracker,
    /// Client for calls to backend servers.
    pub(crate) backends: BackendClient,
    /// Candidacy in the election of the placer.
    pub(crate) candidacy: Candidacy,
    /// Placement of models on backend servers.
    pub(crate) placement: Placement,
    /// Metrics recorder.
    pub(crate) meters: Meters,
    /// Memory held for callers.
    pub(crate) caller_memory: Arc<SharedMemory>,
    /// Request tasks; the shutdown waits for them.
    pub(crate) tasks: TaskTracker,
    fleet: Arc<Mutex<Fleet>>,
    in_flight: Arc<AtomicU32>,
}

impl Shared {
    /// Locks the view of the backend servers. Don't hold the guard across an await.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Overloaded`] if `max_in_flight` is reached.
    pub(crate) fn track_request(&self) -> std::result::Result<InFlight, Refusal> {
        let max = self.settings.limits.max_in_flight;
        let previous = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (u64::from(count) < max).then_some(count + 1)
            })
            .map_err(|_| Refusal::Overloaded)?;
        metrics::gauge!("savoryvane_requests_in_flight").set(f64::from(previous + 1));
        Ok(InFlight {
            count: Arc::clone(&self.in_flight),
            memory: None,
            input: None,
        })
    }
}

/// Guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    count: Arc<AtomicU32>,
    /// What is held for the request, unless a peer forwarded it.
    memory: Option<Arc<RequestMemory>>,
    input: Option<MemoryCharge>,
}

impl InFlight {
    /// Holds the memory of the request until the guard is dropped.
    pub(crate) fn hold(&mut self, memory: Arc<RequestMemory>) {
        self.memory = Some(memory);
    }

    /// Holds the charge for the input of the request until the guard is dropped.
    pub(crate) fn hold_input(&mut self, input: MemoryCharge) {
        self.input = Some(input);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let previous = self.count.fetch_sub(1, Ordering::Relaxed);
        metrics::gauge!("savoryvane_requests_in_flight").set(f64::from(previous.saturating_sub(1)));
    }
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Result of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Every request in flight was answered.
    Drained,
    /// The drain timeout passed with requests still in flight.
    TimedOut,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Instance {
    shared: Arc<Shared>,
    addresses: Addresses,
    connections: TaskTracker,
    /// Background tasks, which run until the instance ends; aborted on drop.
    background: JoinSet<()>,
}

impl Instance {
    /// Starts an instance. It becomes ready when it has read the configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if it can't listen on an address.
    pub async fn start(settings: Settings) -> Result<Self> {
        let caller = listener::bind("callers", settings.listen.caller).await?;
        let peer = listener::bind("peers", settings.listen.peer).await?;
        let admin = listener::bind("operators", settings.listen.admin).await?;
        let addresses = Addresses {
            caller: local_addr(&caller)?,
            peer: local_addr(&peer)?,
            admin: local_addr(&admin)?,
        };
        let (shared, receivers) = build_shared(settings, addresses.peer);
        let shared = Arc::new(shared);
        info!(shared.log, "instance started"; "incarnation" => %shared.incarnation,
            "caller" => %addresses.caller, "peer" => %addresses.peer,
            "admin" => %addresses.admin, "version" => env!("CARGO_PKG_VERSION"));
        let connections = TaskTracker::new();
        let mut background = spawn_background(&shared, &connections, caller, admin);
        spawn_peering(&mut background, &shared, peer, receivers.connected_peers);
        background.spawn(follower::run(Arc::clone(&shared), receivers.actions));
        Ok(Self {
            shared,
            addresses,
            connections,
            background,
        })
    }

    /// Returns the addresses that the instance listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns whether the instance is ready to accept requests.
    pub fn is_ready(&self) -> bool {
        self.shared.phases.current() == Phase::Serving
    }

    /// Waits until the instance begins to leave, for example at the request of an
    /// operator.
    pub async fn leaving(&self) {
        self.shared.phases.reached(Phase::Leaving).await;
    }

    /// Shuts down gracefully: reports itself as not ready, keeps accepting requests
    /// for the grace time, then stops accepting and finishes the requests in flight
    /// within the drain timeout.
    pub async fn leave(mut self) -> DrainOutcome {
        let Self {
            shared,
            connections,
            ..
        } = &self;
        let drain = shared.settings.drain;
        info!(shared.log, "leaving"; "in_flight" => shared.in_flight());
        shared.phases.advance(Phase::Leaving);
        members::announce_own_state(shared);
        time::sleep(Duration::from_millis(drain.grace_ms)).await;
        shared.phases.advance(Phase::Draining);
        info!(shared.log, "draining"; "in_flight" => shared.in_flight());
        let deadline = Instant::now() + Duration::from_millis(drain.timeout_ms);
        let drained = async {
            connections.close();
            connections.wait().await;
            shared.tasks.close();
            shared.tasks.wait().await;
        };
        let ended = match time::timeout_at(deadline, drained).await {
            Ok(()) => DrainOutcome::Drained,
            Err(_) => DrainOutcome::TimedOut,
        };
        match ended {
            DrainOutcome::Drained => info!(shared.log, "drained"),
            DrainOutcome::TimedOut => {
                warn!(shared.log, "drain timed out"; "in_flight" => shared.in_flight());
            }
        }
        claims::flush(shared).await;
        self.background.shutdown().await;
        ended
    }
}

/// Receivers that are handed to the background tasks.
struct Receivers {
    /// Peers to which a gossip stream was opened.
    connected_peers: mpsc::UnboundedReceiver<PeerId>,
    /// Actions requested by the configuration follower.
    actions: mpsc::UnboundedReceiver<Action>,
}

fn build_shared(settings: Settings, peer_addr: SocketAddr) -> (Shared, Receivers) {
    let log = logging::build(&settings);
    let incarnation = Incarnation(rand::random());
    let (members, connected_peers) = Members::new(&settings, incarnation, peer_addr, log.clone());
    let fleet = Arc::new(Mutex::new(Fleet::new(
        settings.instance.clone(),
        settings.zone.clone(),
        PolicySettings::default(),
        rand::random(),
    )));
    let follower = FollowerSettings {
        retention_ms: settings.platform.retention_ms,
        seed: rand::random(),
    };
    let (configuration, actions) = Configuration::new(follower, Arc::clone(&fleet));
    let clock = Clock::start();
    let caller_limits = settings.limits.caller_memory();
    let shared = Shared {
        incarnation,
        members,
        clock,
        caller_memory: SharedMemory::new("callers", log.clone(), clock, caller_limits),
        phases: Arc::new(Phases::new()),
        configuration,
        snapshots: SnapshotCache::default(),
        platform: PlatformClient::new(settings.platform),
        listing: ArcSwapOption::empty(),
        claims: Claims::new(&settings, incarnation, log.clone()),
        tickets: Tickets::new(&settings, incarnation),
        answers: Answers::default(),
        ends: SharedCrashTracker::new(settings.quarantine),
        backends: BackendClient::new(settings.backends, log.clone()),
        candidacy: Candidacy::new(
            settings.instance.clone(),
            incarnation,
            settings.placement.election(),
        ),
        placement: Placement::new(&settings),
        meters: Meters::install(),
        tasks: TaskTracker::new(),
        fleet,
        in_flight: Arc::default(),
        log,
        settings,
    };
    (
        shared,
        Receivers {
            connected_peers,
            actions,
        },
    )
}

fn spawn_peering(
    background: &mut JoinSet<()>,
    shared: &Arc<Shared>,
    listener: TcpListener,
    connected_peers: mpsc::UnboundedReceiver<PeerId>,
) {
    let server = PeerServer {
        me: shared.members.peers().me().clone(),
        handler: Arc::new(Peering {
            shared: Arc::clone(shared),
        }),
        log: shared.log.clone(),
    };
    background.spawn(server.run(listener));
    background.spawn(members::run(Arc::clone(shared), connected_peers));
}

fn spawn_background(
    shared: &Arc<Shared>,
    connections: &TaskTracker,
    caller: TcpListener,
    admin: TcpListener,
) -> JoinSet<()> {
    let callers = Acceptor {
        log: shared.log.clone(),
        limits: shared.settings.limits,
        memory: Arc::clone(&shared.caller_memory),
        phases: Arc::clone(&shared.phases),
        connections: connections.clone(),
        monitor: None,
    };
    // The operators' listener serves through the drain, until the process exits.
    let operators = Acceptor {
        memory: SharedMemory::new(
            "operators",
            shared.log.clone(),
            shared.clock,
            OPERATOR_LIMITS,
        ),
        phases: Arc::new(Phases::new()),
        connections: TaskTracker::new(),
        ..callers.clone()
    };
    let mut background = JoinSet::new();
    background.spawn(callers.run(caller, caller::service(Arc::clone(shared))));
    background.spawn(operators.run(admin, admin::service(Arc::clone(shared))));
    background.spawn(claims::read(Arc::clone(shared)));
    background.spawn(claims::append(Arc::clone(shared)));
    background.spawn(quarantine_log::run(Arc::clone(shared)));
    background.spawn(listing::run(Arc::clone(shared)));
    background.spawn(loads::run(Arc::clone(shared)));
    background.spawn(prefixes::run(Arc::clone(shared)));
    background.spawn(placer::run(Arc::clone(shared)));
    background.spawn(placement::run(Arc::clone(shared)));
    background
}

/// Returns the local address of a listener.
///
/// # Errors
///
/// Returns [`Error::System`] if the system call fails.
pub(crate) fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|err| Error::System("address of a listener", err))
}
