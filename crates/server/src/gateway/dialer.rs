//! Opens the connections of a gateway instance to backend servers: its own, or, where it does not
//! reach a server, connections through other instances.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    forwarding::{ConnectPlan, PathChange, Relays, ServerPaths},
    ids::InstanceName,
};
use slog::{Logger, info, warn};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{self, Instant},
};

use super::{members::Members, routing_view::RoutingView};
use crate::{
    clock::Clock,
    lock::lock,
    network::{Connecting, Network, Transport},
    peer::{PeerId, TunnelError, TunnelRefusal, TunnelStream, open_tunnel},
};

/// Timeout for connecting to a backend server: servers accept within some ms, and one
/// that does not is replaced by another.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for another instance, which waits for the answer.
const CONNECT_FOR_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for connecting through another instance: its own timeout, and the way there and back.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before the next instance is asked while the previous one has not answered.
const NEXT_RELAY_AFTER: Duration = Duration::from_millis(50);
/// Answers of instances that don't reach a server after which no other one is asked.
const MAX_UNREACHED_ANSWERS: usize = 2;
/// Maximum time to connect to a backend server on any path.
pub(super) const MAX_CONNECT_TIME: Duration = Duration::from_millis(800);

type Connected = io::Result<Box<dyn Transport>>;

/// An attempt to connect through another instance that has ended.
struct RelayAttempt {
    instance: InstanceName,
    opened: Result<TunnelStream, TunnelError>,
    elapsed: Duration,
}

/// Why there is no connection through another instance.
enum RelayFailure {
    /// The instance does not reach the server either.
    ServerUnreached(io::Error),
    /// The instance was not reached or does not relay.
    Unavailable(io::Error),
}

/// Opens connections to backend servers.
#[derive(Debug)]
pub(super) struct ServerDialer {
    log: Logger,
    clock: Clock,
    network: Arc<dyn Network>,
    members: Arc<Members>,
    view: Arc<RoutingView>,
    paths: Mutex<ServerPaths>,
    relays: Mutex<Relays>,
    /// Receives the changes of paths.
    changes: mpsc::UnboundedSender<PathChange>,
}

impl ServerDialer {
    /// Creates a dialer, and a receiver of the changes of paths.
    pub(super) fn new(
        network: Arc<dyn Network>,
        members: Arc<Members>,
        view: Arc<RoutingView>,
        clock: Clock,
        log: Logger,
    ) -> (Self, mpsc::UnboundedReceiver<PathChange>) {
        let (changes, changed) = mpsc::unbounded_channel();
        let dialer = Self {
            log,
            clock,
            network,
            members,
            view,
            paths: Mutex::default(),
            relays: Mutex::default(),
            changes,
        };
        (dialer, changed)
    }

    /// Returns whether this instance reaches the server at `addr` only through others.
    pub(super) fn is_relayed(&self, addr: SocketAddr) -> bool {
        self.paths().is_relayed(self.clock.now_ms(), addr)
    }

    /// Connects to the server at `addr` for the instance `peer`.
    pub(super) async fn connect_for(&self, peer: &InstanceName, addr: SocketAddr) -> Connected {
        let connected = self.connect_within(addr, CONNECT_FOR_TIMEOUT).await;
        let outcome = outcome_of(&connected);
        info!(self.log, "connected for instance"; "peer" => %peer, "addr" => %addr,
            "outcome" => outcome);
        metrics::counter!("savoryvane_tunnels_total", "outcome" => outcome).increment(1);
        connected
    }

    /// Tries to connect directly to one of the servers that are reached through other instances.
    /// Returns whether there are any.
    pub(super) async fn retry_directly(&self, turn: usize) -> bool {
        let to_retry = self.paths().next_retry(self.clock.now_ms(), turn);
        let Some(addr) = to_retry else {
            return false;
        };
        // The outcome is recorded.
        let _ = self.connect_directly(addr).await;
        true
    }

    async fn connect_directly(&self, addr: SocketAddr) -> Connected {
        self.connect_within(addr, CONNECT_TIMEOUT).await
    }

    async fn connect_within(&self, addr: SocketAddr, timeout: Duration) -> Connected {
        let connecting = time::timeout(timeout, self.network.connect(addr));
        let connected = connecting.await.unwrap_or_else(|_| Err(connect_timeout()));
        metrics::counter!("savoryvane_server_connects_total", "outcome" => outcome_of(&connected))
            .increment(1);
        if connected.is_ok() {
            let change = self.paths().on_direct(addr);
            self.on_change(change);
        }
        connected
    }

    async fn connect_by_plan(&self, addr: SocketAddr) -> Connected {
        let plan = self.paths().plan(self.clock.now_ms(), addr);
        let connected = match plan {
            ConnectPlan::DirectOnly => self.connect_directly(addr).await,
            ConnectPlan::DirectFirst { join_after_ms } => {
                let (direct, relayed) = (self.connect_directly(addr), self.connect_relayed(addr));
                first_connected(direct, relayed, join_after_ms).await
            }
            ConnectPlan::RelayedFirst { join_after_ms } => {
                let (relayed, direct) = (self.connect_relayed(addr), self.connect_directly(addr));
                first_connected(relayed, direct, join_after_ms).await
            }
        };
        if let Err(err) = &connected {
            let now_ms = self.clock.now_ms();
            self.paths().on_failed(now_ms, addr);
            info!(self.log, "server connected to on no path"; "addr" => %addr, "plan" => ?plan,
                "error" => %err);
        }
        connected
    }

    /// Connects to the server at `addr` through one of the other instances, which are asked one
    /// after the other.
    async fn connect_relayed(&self, addr: SocketAddr) -> Connected {
        let mut candidates = self.relay_order(addr).into_iter();
        let mut attempts = JoinSet::new();
        let mut unreached_answers = 0;
        let mut last_error = io::Error::other("no instance to connect through");
        while unreached_answers < MAX_UNREACHED_ANSWERS {
            if let Some((instance, peer_addr)) = candidates.next() {
                let me = self.members.peers().me().clone();
                attempts.spawn(connect_through(me, instance, peer_addr, addr));
            }
            let has_next = candidates.len() > 0;
            let ended = tokio::select! {
                ended = attempts.join_next() => ended,
                () = time::sleep(NEXT_RELAY_AFTER), if has_next => continue,
            };
            let Some(Ok(ended)) = ended else {
                break;
            };
            match self.on_attempt_ended(addr, ended) {
                Ok(transport) => return Ok(transport),
                Err(RelayFailure::ServerUnreached(err)) => {
                    unreached_answers += 1;
                    last_error = err;
                }
                Err(RelayFailure::Unavailable(err)) => last_error = err,
            }
        }
        Err(last_error)
    }

    /// Records the end of an attempt to connect to `addr` through another instance.
    fn on_attempt_ended(
        &self,
        addr: SocketAddr,
        ended: RelayAttempt,
    ) -> Result<Box<dyn Transport>, RelayFailure> {
        let RelayAttempt {
            instance,
            opened,
            elapsed,
        } = ended;
        info!(self.log, "connected through instance"; "addr" => %addr, "peer" => %instance,
            "error" => opened.as_ref().err().map(ToString::to_string),
            "elapsed_ms" => elapsed.as_millis() as u64);
        let now_ms = self.clock.now_ms();
        match opened {
            Ok(stream) => {
                lock(&self.relays).on_connected(&instance);
                let change = self.paths().on_relayed(now_ms, addr);
                self.on_change(change);
                Ok(Box::new(stream))
            }
            Err(TunnelError::Refused(TunnelRefusal::ServerRefused)) => {
                let refused = io::ErrorKind::ConnectionRefused.into();
                Err(RelayFailure::ServerUnreached(refused))
            }
            Err(TunnelError::Refused(TunnelRefusal::ServerUnreachable)) => {
                Err(RelayFailure::ServerUnreached(connect_timeout()))
            }
            Err(err @ TunnelError::Refused(TunnelRefusal::Declined)) => {
                Err(RelayFailure::Unavailable(io::Error::other(err.to_string())))
            }
            Err(err @ TunnelError::Peer(_)) => {
                lock(&self.relays).on_failed(now_ms, &instance);
                Err(RelayFailure::Unavailable(io::Error::other(err.to_string())))
            }
        }
    }

    /// Returns the instances to connect to the server at `addr` through, with their addresses.
    fn relay_order(&self, addr: SocketAddr) -> Vec<(InstanceName, SocketAddr)> {
        let server_zone = self.view.directory().zone_at(addr).cloned();
        let candidates = self.members.relay_candidates();
        let (me, own_zone) = (&self.members.me, self.members.zone());
        let now_ms = self.clock.now_ms();
        let order =
            lock(&self.relays).order(now_ms, me, &own_zone, server_zone.as_ref(), candidates);
        let with_addr = order.into_iter().filter_map(|instance| {
            let addr = self.members.peer_addr(&instance)?;
            Some((instance, addr))
        });
        with_addr.collect()
    }

    fn on_change(&self, change: PathChange) {
        if change.servers.is_empty() {
            return;
        }
        let (relayed, is_cut_off) = {
            let paths = self.paths();
            (paths.relayed_count(), paths.is_cut_off())
        };
        warn!(self.log, "paths to servers changed"; "servers" => change.servers.len(),
            "through_instances" => relayed, "cut_off" => is_cut_off);
        metrics::gauge!("savoryvane_servers_through_peers").set(relayed as f64);
        // The receiver lives as long as the instance.
        let _ = self.changes.send(change);
    }

    fn paths(&self) -> MutexGuard<'_, ServerPaths> {
        lock(&self.paths)
    }
}

impl Network for ServerDialer {
    fn connect(&self, addr: SocketAddr) -> Connecting<'_> {
        Box::pin(self.connect_by_plan(addr))
    }
}

/// Connects to `server` through `instance`, which listens at `peer_addr`.
async fn connect_through(
    me: PeerId,
    instance: InstanceName,
    peer_addr: SocketAddr,
    server: SocketAddr,
) -> RelayAttempt {
    let began = Instant::now();
    let opened = open_tunnel(&me, &instance, peer_addr, server, TUNNEL_TIMEOUT).await;
    RelayAttempt {
        instance,
        opened,
        elapsed: began.elapsed(),
    }
}

fn connect_timeout() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "connect timeout")
}

/// Returns the connection of the attempt that succeeds first. The second one starts after
/// `join_after_ms`, or once the first has failed. If both fail, returns the error of the second.
async fn first_connected(
    first: impl Future<Output = Connected>,
    second: impl Future<Output = Connected>,
    join_after_ms: u64,
) -> Connected {
    tokio::pin!(first, second);
    let join_after = Duration::from_millis(join_after_ms);
    let has_failed = match time::timeout(join_after, &mut first).await {
        Ok(Ok(connected)) => return Ok(connected),
        Ok(Err(_)) => true,
        Err(_) => false,
    };
    if has_failed {
        return second.await;
    }
    tokio::select! {
        connected = &mut first => match connected {
            Ok(connected) => Ok(connected),
            Err(_) => second.await,
        },
        connected = &mut second => match connected {
            Ok(connected) => Ok(connected),
            Err(_) => first.await,
        },
    }
}

/// Returns the name of the outcome of a connection attempt in logs and metrics.
fn outcome_of<T>(connected: &io::Result<T>) -> &'static str {
    match connected.as_ref().map_err(io::Error::kind) {
        Ok(_) => "established",
        Err(io::ErrorKind::ConnectionRefused) => "refused",
        Err(io::ErrorKind::TimedOut) => "timeout",
        Err(_) => "failed",
    }
}
