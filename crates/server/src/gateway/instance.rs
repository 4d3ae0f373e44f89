//! A running gateway instance: its components, its tasks, its shutdown.

use std::{io, sync::Arc, time::Duration};

use savoryvane_core::{caller_memory::MemoryLimits, forwarding::PathChange, ids::Incarnation};
use slog::{Logger, info, warn};
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc::UnboundedReceiver},
    task::JoinSet,
    time::{self, Instant},
};
use tokio_util::task::TaskTracker;

use super::{
    catch_up::{self, CatchUp},
    cell_layout::CellPlanner,
    crashes::{self, CrashDetector},
    departure::ShutdownDeadline,
    dialer::{MAX_CONNECT_TIME, ServerDialer},
    dispatch::{self, Dispatch},
    forward::Forwarder,
    freshness::Freshness,
    ingress::{self, Service},
    limits::LimitSharing,
    members::{self, Members},
    peer_messages::PeerMessageRouter,
    quarantine::Quarantine,
    quarantine_store::QuarantineStore,
    routing_view::RoutingView,
    scheduler_watch::SchedulerWatch,
    server_paths::PathWatch,
    server_register,
    settings::{GatewayListen, GatewaySettings},
    stage_calls::StageClient,
    stage_submission::StageSubmitter,
    store::StoreClient,
    store_follower::{self, StoreFollower},
    stream_origins::{self, StreamOrigins},
    stream_store::StreamStore,
    upstream::UpstreamWatch,
};
use crate::{
    caller_memory::SharedMemory,
    clock::Clock,
    connections::{ConnectionSettings, Connections},
    endpoint::Endpoint,
    error::{Error, Result},
    instance::{DrainOutcome, local_addr},
    link_meter::MeteredNetwork,
    listener::{self, Acceptor},
    load_monitor::LoadMonitor,
    logging,
    meters::Meters,
    network::{Network, TcpNetwork},
    peer::{PeerHandle, PeerServer},
    phase::{Phase, Phases},
};

/// Maximum number of idle connections to one backend server.
const MAX_IDLE_PER_SERVER: usize = 4;
/// Limits on what is held for the platform's readiness checks and for readers of metrics, each:
/// there are a few of them, with requests without a body.
const PLATFORM_LIMITS: MemoryLimits = MemoryLimits {
    max_bytes: 4 << 20,
    max_connections: 64,
    max_requests: 64,
};
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks for idle connections to close.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// A running gateway instance.
#[derive(Debug)]
pub struct Gateway {
    log: Logger,
    settings: GatewaySettings,
    phases: Arc<Phases>,
    shutdown: Arc<ShutdownDeadline>,
    connections: TaskTracker,
    origins: Arc<StreamOrigins>,
    /// Tasks that run as long as the instance; aborted when dropped.
    background: JoinSet<()>,
}

/// Listeners of an instance.
struct Listeners {
    caller_endpoint: Endpoint,
    caller: TcpListener,
    ready: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    async fn bind(settings: &GatewaySettings) -> Result<Self> {
        let listen = settings.listen;
        let not_bound = |err| Error::Listen("callers", listen.caller, err);
        let caller_endpoint = Endpoint::bind(listen.caller).map_err(not_bound)?;
        Ok(Self {
            caller: caller_endpoint.listen().map_err(not_bound)?,
            caller_endpoint,
            ready: listener::bind("readiness", listen.ready).await?,
            peer: listener::bind("peers", listen.peer).await?,
            admin: listener::bind("metrics", listen.admin).await?,
        })
    }

    /// Returns the bound addresses, with the ports that the system assigned.
    fn addresses(&self) -> Result<GatewayListen> {
        Ok(GatewayListen {
            caller: local_addr(&self.caller)?,
            ready: local_addr(&self.ready)?,
            peer: local_addr(&self.peer)?,
            admin: local_addr(&self.admin)?,
        })
    }
}

impl Gateway {
    /// Starts an instance; it is ready once it knows routes and servers.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Listen`] when an address can't be listened on.
    pub async fn start(settings: GatewaySettings) -> Result<Self> {
        // A request that is delivered later would reach a server that has left.
        let timeout = Duration::from_millis(settings.in_force.leaving_ms);
        let network = TcpNetwork::with_delivery_timeout(timeout);
        Self::start_over(Arc::new(network), settings).await
    }

    /// Starts an instance like [`start`](Self::start) that reaches backend servers over
    /// `network`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Listen`] when an address can't be listened on.
    pub async fn start_over(
        network: Arc<dyn Network>,
        mut settings: GatewaySettings,
    ) -> Result<Self> {
        let listeners = Listeners::bind(&settings).await?;
        settings.listen = listeners.addresses()?;
        let (instance, zone) = (&settings.instance, &settings.zone);
        let log = logging::build_to(io::stdout(), &settings.log, instance, zone);
        let incarnation = Incarnation(rand::random());
        info!(log, "instance started"; "incarnation" => %incarnation,
            "version" => env!("CARGO_PKG_VERSION"), "store" => %settings.store,
            "seeds" => settings.seeds.len(), "cores" => settings.cores);
        let phases = Arc::new(Phases::new());
        let connections = TaskTracker::new();
        let shutdown = Arc::new(ShutdownDeadline::new());
        let components = Components::new(
            network,
            &settings,
            incarnation,
            &phases,
            &shutdown,
            log.clone(),
        );
        let origins = Arc::clone(&components.origins);
        let background = components.spawn(listeners, &connections);
        Ok(Self {
            log,
            settings,
            origins,
            phases,
            shutdown,
            connections,
            background,
        })
    }

    /// Returns the settings that the instance was started with, with the bound addresses.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Logs that the settings file has changed. A running instance keeps the settings
    /// that it was started with.
    pub fn on_reload(&self, settings: Result<GatewaySettings>) {
        match settings {
            Ok(settings) => {
                let has_changed = settings != self.settings;
                info!(self.log, "settings read again"; "changed" => has_changed);
            }
            Err(err) => warn!(self.log, "settings not reloaded"; "error" => %err),
        }
    }

    /// Shuts down: reports that it is not ready, keeps accepting connections for the
    /// grace time, then accepts nothing new and finishes every request in flight.
    pub async fn leave(mut self) -> DrainOutcome {
        let drain = self.settings.drain;
        info!(self.log, "leaving"; "connections" => self.connections.len());
        let exit_at = Instant::now() + Duration::from_millis(drain.stop_after_ms());
        self.shutdown.set(exit_at);
        self.phases.advance(Phase::Leaving);
        self.origins.hand_over();
        time::sleep(Duration::from_millis(drain.accept_for_ms())).await;
        self.phases.advance(Phase::Draining);
        info!(self.log, "draining"; "connections" => self.connections.len());
        self.connections.close();
        let ended = match time::timeout_at(exit_at, self.connections.wait()).await {
            Ok(()) => DrainOutcome::Drained,
            Err(_) => DrainOutcome::TimedOut,
        };
        info!(self.log, "stopped"; "end" => ?ended, "connections" => self.connections.len());
        self.background.shutdown().await;
        ended
    }
}

/// The components of an instance, with their shared dependencies.
struct Components {
    log: Logger,
    clock: Clock,
    is_first_start: bool,
    phases: Arc<Phases>,
    store: StoreClient,
    freshness: Arc<Freshness>,
    view: Arc<RoutingView>,
    members: Arc<Members>,
    catch_up: Arc<CatchUp>,
    servers: Arc<Connections>,
    dialer: Arc<ServerDialer>,
    path_changes: UnboundedReceiver<PathChange>,
    dispatch: Arc<Dispatch>,
    crash_detector: Arc<CrashDetector>,
    quarantine: Arc<Quarantine>,
    limits: Arc<LimitSharing>,
    origins: Arc<StreamOrigins>,
    forwarder: Arc<Forwarder>,
    monitor: Arc<LoadMonitor>,
    caller_memory: Arc<SharedMemory>,
    peer_server: PeerServer<PeerMessageRouter>,
}

impl Components {
    fn new(
        network: Arc<dyn Network>,
        settings: &GatewaySettings,
        incarnation: Incarnation,
        phases: &Arc<Phases>,
        shutdown: &Arc<ShutdownDeadline>,
        log: Logger,
    ) -> Self {
        let clock = Clock::start();
        let view = Arc::new(RoutingView::new(settings, clock, log.clone()));
        let store = StoreClient::new(settings.store, clock);
        let me = members::peer_id(settings, incarnation);
        let (peers, _linked) = PeerHandle::new(me.clone(), log.clone());
        let limits = LimitSharing::new(settings.instance.clone(), Arc::clone(&view), log.clone());
        let limits = Arc::new(limits);
        let members = Members::new(
            settings,
            incarnation,
            clock,
            peers,
            Arc::clone(&view),
            Arc::clone(&limits),
            log.clone(),
        );
        let members = Arc::new(members);
        let monitor = LoadMonitor::new(log.clone(), clock, settings.link_bytes_per_s());
        let monitor = Arc::new(monitor);
        let metered = MeteredNetwork::new(network, Arc::clone(monitor.servers()));
        let (dialer, path_changes) = ServerDialer::new(
            Arc::new(metered),
            Arc::clone(&members),
            Arc::clone(&view),
            clock,
            log.clone(),
        );
        let dialer = Arc::new(dialer);
        let server_settings = ConnectionSettings {
            connect_timeout: MAX_CONNECT_TIME,
            max_idle: MAX_IDLE_PER_SERVER,
            idle_timeout: IDLE_TIMEOUT,
            max_response_bytes: settings.max_response_bytes,
        };
        let servers = Connections::over(Arc::clone(&dialer) as Arc<dyn Network>, server_settings);
        let freshness = Arc::new(Freshness::new(clock, settings.in_force));
        if settings.is_first_start {
            // There is nothing to read yet; the scheduler sends all updates.
            freshness.on_synced(0);
        }
        let catch_up = Arc::new(CatchUp::new(
            Arc::clone(&view),
            Arc::clone(&freshness),
            store.clone(),
            incarnation,
            settings.is_first_start,
            settings.assumed_link_bytes_per_s(),
            clock,
        ));
        let quarantine = Arc::new(Quarantine::new(
            settings.quarantine,
            incarnation,
            clock,
            Arc::clone(&members),
            log.clone(),
        ));
        let crash_detector = Arc::new(CrashDetector::new(
            Arc::clone(&view),
            Arc::clone(&freshness),
            Arc::clone(&servers),
            Arc::clone(&quarantine),
            log.clone(),
        ));
        let calls = StageClient::new(
            Arc::clone(&view),
            Arc::clone(&servers),
            Arc::clone(&crash_detector),
            Arc::clone(&quarantine),
            log.clone(),
        );
        let dispatch = Dispatch::new(
            clock,
            Arc::clone(&view),
            calls,
            Arc::clone(&quarantine),
            Arc::clone(&limits),
            log.clone(),
        );
        let stages = StageSubmitter::new(
            settings.instance.clone(),
            incarnation,
            Arc::clone(&members),
            Arc::clone(&dispatch),
            log.clone(),
        );
        let origins = Arc::new(StreamOrigins::new(
            Arc::clone(&members),
            Arc::clone(&view),
            Arc::clone(&freshness),
            clock,
            log.clone(),
        ));
        let forwarder = Arc::new(Forwarder {
            log: log.clone(),
            clock,
            view: Arc::clone(&view),
            servers: Arc::clone(&servers),
            stages,
            shutdown: Arc::clone(shutdown),
            crash_detector: Arc::clone(&crash_detector),
            quarantine: Arc::clone(&quarantine),
            members: Arc::clone(&members),
            limits: Arc::clone(&limits),
            origins: Arc::clone(&origins),
        });
        let handler = Arc::new(PeerMessageRouter {
            members: Arc::clone(&members),
            catch_up: Arc::clone(&catch_up),
            dispatch: Arc::clone(&dispatch),
            quarantine: Arc::clone(&quarantine),
            limits: Arc::clone(&limits),
            phases: Arc::clone(phases),
            store: store.clone(),
            started: Instant::now(),
            view: Arc::clone(&view),
            dialer: Arc::clone(&dialer),
            tunnel_slots: PeerMessageRouter::tunnel_slots(),
            origins: Arc::clone(&origins),
        });
        Self {
            phases: Arc::clone(phases),
            store,
            freshness,
            view,
            members,
            catch_up,
            servers,
            dialer,
            path_changes,
            dispatch,
            crash_detector,
            quarantine,
            limits,
            origins,
            forwarder,
            monitor,
            caller_memory: SharedMemory::new(
                "callers",
                log.clone(),
                clock,
                settings.caller_memory(),
            ),
            peer_server: PeerServer {
                me,
                handler,
                log: log.clone(),
            },
            log,
            clock,
            is_first_start: settings.is_first_start,
        }
    }

    fn spawn(self, listeners: Listeners, connections: &TaskTracker) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let callers = ingress::callers(Arc::clone(&self.forwarder));
        let draining = Acceptor {
            monitor: Some(Arc::clone(&self.monitor)),
            memory: Arc::clone(&self.caller_memory),
            phases: Arc::clone(&self.phases),
            connections: connections.clone(),
            ..self.acceptor("callers")
        };
        tasks.spawn(self.monitor.clone().run());
        tasks.spawn(draining.run_with_pauses(listeners.caller_endpoint, listeners.caller, callers));
        // The readiness and metrics listeners stay available until the process exits.
        let ready = ingress::ready(Arc::clone(&self.phases));
        self.spawn_until_exit(&mut tasks, "readiness", listeners.ready, ready);
        let metrics = ingress::metrics(Arc::new(Meters::install()));
        self.spawn_until_exit(&mut tasks, "metrics", listeners.admin, metrics);
        tasks.spawn(self.peer_server.run(listeners.peer));
        let stream_store = StreamStore {
            origins: Arc::clone(&self.origins),
            members: Arc::clone(&self.members),
            view: Arc::clone(&self.view),
            freshness: Arc::clone(&self.freshness),
            store: self.store.clone(),
            clock: self.clock,
            is_first_start: self.is_first_start,
            log: self.log.clone(),
        };
        tasks.spawn(stream_store.run());
        let follower = StoreFollower {
            store: self.store.clone(),
            view: Arc::clone(&self.view),
            freshness: self.freshness,
            members: Arc::clone(&self.members),
            is_first_start: self.is_first_start,
            log: self.log.clone(),
        };
        tasks.spawn(store_follower::configuration(follower.clone()));
        tasks.spawn(server_register::follow(follower.clone()));
        tasks.spawn(server_register::remove_expired(Arc::clone(&self.view)));
        let list_written = Arc::new(Notify::new());
        tasks.spawn(store_follower::instances(
            follower,
            Arc::clone(&list_written),
        ));
        let planner = CellPlanner {
            members: Arc::clone(&self.members),
            view: Arc::clone(&self.view),
            store: self.store.clone(),
            list_written,
            log: self.log.clone(),
        };
        tasks.spawn(planner.run());
        let upstream = UpstreamWatch {
            members: Arc::clone(&self.members),
            catch_up: Arc::clone(&self.catch_up),
            quarantine: Arc::clone(&self.quarantine),
        };
        tasks.spawn(Arc::new(upstream).run());
        let watch = SchedulerWatch {
            members: Arc::clone(&self.members),
            catch_up: Arc::clone(&self.catch_up),
            quarantine: Arc::clone(&self.quarantine),
            limits: self.limits,
            dispatch: Arc::clone(&self.dispatch),
            phases: Arc::clone(&self.phases),
            store: self.store.clone(),
            view: Arc::clone(&self.view),
        };
        tasks.spawn(Arc::new(watch).run());
        let quarantine_store = Arc::new(QuarantineStore {
            quarantine: Arc::clone(&self.quarantine),
            members: Arc::clone(&self.members),
            store: self.store,
            clock: self.clock,
            is_first_start: self.is_first_start,
            log: self.log.clone(),
        });
        tasks.spawn(Arc::clone(&quarantine_store).load());
        tasks.spawn(quarantine_store.run());
        tasks.spawn(crashes::watch(self.crash_detector));
        tasks.spawn(catch_up::run(self.members, self.catch_up));
        tasks.spawn(dispatch::run(Arc::clone(&self.dispatch)));
        tasks.spawn(dispatch::sync_limits(Arc::clone(&self.dispatch)));
        tasks.spawn(dispatch::sync_servers(self.dispatch));
        let path_watch = PathWatch {
            dialer: self.dialer,
            servers: Arc::clone(&self.servers),
            view: Arc::clone(&self.view),
        };
        tasks.spawn(path_watch.run(self.path_changes));
        tasks.spawn(stream_origins::watch(self.origins));
        tasks.spawn(become_ready(self.view, self.phases, self.log));
        tasks.spawn(prune_connections(self.servers));
        tasks
    }

    /// Returns an acceptor for a listener that the platform uses until the process exits.
    fn acceptor(&self, listener: &'static str) -> Acceptor {
        Acceptor {
            log: self.log.clone(),
            limits: ingress::LIMITS,
            memory: SharedMemory::new(listener, self.log.clone(), self.clock, PLATFORM_LIMITS),
            phases: Arc::new(Phases::new()),
            connections: TaskTracker::new(),
            monitor: None,
        }
    }

    fn spawn_until_exit(
        &self,
        tasks: &mut JoinSet<()>,
        name: &'static str,
        listener: TcpListener,
        service: Service,
    ) {
        tasks.spawn(self.acceptor(name).run(listener, service));
    }
}

/// Marks the instance as ready once it knows routes and servers.
async fn become_ready(view: Arc<RoutingView>, phases: Arc<Phases>, log: Logger) {
    while view.table().is_none() || view.directory().is_empty() {
        time::sleep(Duration::from_millis(20)).await;
    }
    phases.advance(Phase::Serving);
    info!(log, "ready"; "version" => view.version());
}

async fn prune_connections(servers: Arc<Connections>) {
    loop {
        time::sleep(PRUNE_INTERVAL).await;
        servers.prune();
    }
}
