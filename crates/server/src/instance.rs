//! One running entry instance: its listeners, its tasks and its end.

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
    calls::BackendClient,
    claims::{self, Claims},
    clock::Clock,
    configuration::Configuration,
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

/// What every task of an instance shares.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Settings that it was started with.
    pub(crate) settings: Settings,
    /// Number of this run.
    pub(crate) incarnation: Incarnation,
    /// Where it logs.
    pub(crate) log: Logger,
    /// Its clock.
    pub(crate) clock: Clock,
    /// Its phase.
    pub(crate) phases: Arc<Phases>,
    /// The configuration in force.
    pub(crate) configuration: Configuration,
    /// State that peers ask for.
    pub(crate) snapshots: SnapshotCache,
    /// The platform's log and list.
    pub(crate) platform: PlatformClient,
    /// Newest list of instances and backend servers.
    pub(crate) listing: ArcSwapOption<Listing>,
    /// The other instances.
    pub(crate) members: Members,
    /// Claims of requests that may not be run twice.
    pub(crate) claims: Claims,
    /// Tickets for such requests.
    pub(crate) tickets: Tickets,
    /// Answers of such requests.
    pub(crate) answers: Answers,
    /// Which requests end backend servers.
    pub(crate) ends: SharedCrashTracker,
    /// Client of the backend servers.
    pub(crate) backends: BackendClient,
    /// Part in the election of the placer.
    pub(crate) candidacy: Candidacy,
    /// Placement of models.
    pub(crate) placement: Placement,
    /// Metrics.
    pub(crate) meters: Meters,
    /// Tasks of requests; all have ended when it stops.
    pub(crate) tasks: TaskTracker,
    fleet: Arc<Mutex<Fleet>>,
    in_flight: Arc<AtomicU32>,
}

impl Shared {
    /// Locks the view of the backend servers, for a few steps without waiting.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts one more request in flight, until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Overloaded`] when there are as many as allowed.
    pub(crate) fn enter(&self) -> std::result::Result<InFlight, Refusal> {
        let max = self.settings.limits.max_in_flight;
        let entered = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (u64::from(count) < max).then_some(count + 1)
            })
            .map_err(|_| Refusal::Overloaded)?;
        metrics::gauge!("savoryvane_requests_in_flight").set(f64::from(entered + 1));
        Ok(InFlight(Arc::clone(&self.in_flight)))
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<AtomicU32>);

impl Drop for InFlight {
    fn drop(&mut self) {
        let before = self.0.fetch_sub(1, Ordering::Relaxed);
        metrics::gauge!("savoryvane_requests_in_flight").set(f64::from(before.saturating_sub(1)));
    }
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// How an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Every request in flight was answered.
    Drained,
    /// The drain timeout passed with requests still in flight.
    TimedOut,
}

/// One running entry instance.
#[derive(Debug)]
pub struct Instance {
    shared: Arc<Shared>,
    addresses: Addresses,
    connections: TaskTracker,
    /// Tasks that run for as long as the instance; aborted when dropped.
    background: JoinSet<()>,
}

impl Instance {
    /// Starts an instance; it is ready once it has read the configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when an address can't be listened on.
    pub async fn start(settings: Settings) -> Result<Self> {
        let caller = listener::bind("callers", settings.listen.caller).await?;
        let peer = listener::bind("peers", settings.listen.peer).await?;
        let admin = listener::bind("operators", settings.listen.admin).await?;
        let addresses = Addresses {
            caller: local_addr(&caller)?,
            peer: local_addr(&peer)?,
            admin: local_addr(&admin)?,
        };
        let (shared, inboxes) = share(settings, addresses.peer);
        let shared = Arc::new(shared);
        info!(shared.log, "instance started"; "incarnation" => %shared.incarnation,
            "caller" => %addresses.caller, "peer" => %addresses.peer,
            "admin" => %addresses.admin, "version" => env!("CARGO_PKG_VERSION"));
        let connections = TaskTracker::new();
        let mut background = spawn_all(&shared, &connections, caller, admin);
        spawn_peering(&mut background, &shared, peer, inboxes.linked);
        background.spawn(follower::run(Arc::clone(&shared), inboxes.asked));
        Ok(Self {
            shared,
            addresses,
            connections,
            background,
        })
    }

    /// Returns the addresses that it listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Tells whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.shared.phases.current() == Phase::Serving
    }

    /// Waits until it has begun to leave, as an operator may ask it to.
    pub async fn leaving(&self) {
        self.shared.phases.reached(Phase::Leaving).await;
    }

    /// Leaves: says that it is not ready, goes on for the grace time, then
    /// accepts nothing new and finishes every request in flight.
    pub async fn leave(mut self) -> Ended {
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
        let finished = async {
            connections.close();
            connections.wait().await;
            shared.tasks.close();
            shared.tasks.wait().await;
        };
        let ended = match time::timeout_at(deadline, finished).await {
            Ok(()) => Ended::Drained,
            Err(_) => Ended::TimedOut,
        };
        match ended {
            Ended::Drained => info!(shared.log, "drained"),
            Ended::TimedOut => {
                warn!(shared.log, "drain timed out"; "in_flight" => shared.in_flight());
            }
        }
        claims::flush(shared).await;
        self.background.shutdown().await;
        ended
    }
}

/// What tasks of the instance wait for.
struct Inboxes {
    /// Peers to which a gossip stream has been opened.
    linked: mpsc::UnboundedReceiver<PeerId>,
    /// What the follower of the configuration wants done.
    asked: mpsc::UnboundedReceiver<Action>,
}

fn share(settings: Settings, peer: SocketAddr) -> (Shared, Inboxes) {
    let log = logging::build(&settings);
    let incarnation = Incarnation(rand::random());
    let (members, linked) = Members::new(&settings, incarnation, peer, log.clone());
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
    let (configuration, asked) = Configuration::new(follower, Arc::clone(&fleet));
    let shared = Shared {
        incarnation,
        members,
        clock: Clock::start(),
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
    (shared, Inboxes { linked, asked })
}

fn spawn_peering(
    background: &mut JoinSet<()>,
    shared: &Arc<Shared>,
    listener: TcpListener,
    linked: mpsc::UnboundedReceiver<PeerId>,
) {
    let server = PeerServer {
        me: shared.members.peers().me().clone(),
        handler: Arc::new(Peering {
            shared: Arc::clone(shared),
        }),
        log: shared.log.clone(),
    };
    background.spawn(server.run(listener));
    background.spawn(members::run(Arc::clone(shared), linked));
}

fn spawn_all(
    shared: &Arc<Shared>,
    connections: &TaskTracker,
    caller: TcpListener,
    admin: TcpListener,
) -> JoinSet<()> {
    let callers = Acceptor {
        log: shared.log.clone(),
        limits: shared.settings.limits,
        phases: Arc::clone(&shared.phases),
        connections: connections.clone(),
    };
    // Operators can look at an instance until its very end.
    let operators = Acceptor {
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

/// Returns the address that a listener has taken.
///
/// # Errors
///
/// Returns [`Error::System`] when the system does not tell it.
pub(crate) fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|err| Error::System("address of a listener", err))
}
