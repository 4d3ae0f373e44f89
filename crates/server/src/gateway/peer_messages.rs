//! Routes messages from peers to the components of a gateway instance.

use std::{future, io, net::SocketAddr, sync::Arc, time::Duration};

use savoryvane_core::stages::StageOutcome;
use savoryvane_wire::peer::{Ack, Declined, Message, SchedulerState};
use tokio::{
    sync::Semaphore,
    time::{self, Instant},
};

use super::{
    catch_up::CatchUp, dialer::ServerDialer, dispatch::Dispatch, limits::LimitSharing,
    members::Members, quarantine::Quarantine, routing_view::RoutingView, store::StoreClient,
    stream_origins::StreamOrigins,
};
use crate::{
    peer::{PeerAnswer, PeerHandler, PeerId, ServerConnecting, ServerConnection, TunnelRefusal},
    phase::{Phase, Phases},
};

/// Time for which a starting instance accepts stages of others: it knows routes and
/// servers some ms after it becomes reachable, and the others need not choose another
/// scheduler.
const STARTUP_WINDOW: Duration = Duration::from_millis(1_000);
/// The same for an instance that reaches the store: the register of thousands of servers takes
/// more than a second. If every starting instance declined meanwhile, each would schedule for
/// itself and read the whole register.
const LOADING_WINDOW: Duration = Duration::from_millis(5_000);

/// Maximum number of connections to servers that are open for other instances.
const MAX_TUNNELS: usize = 512;

/// Routes messages from peers to the components that handle them.
pub(super) struct PeerMessageRouter {
    pub(super) started: Instant,
    pub(super) members: Arc<Members>,
    pub(super) catch_up: Arc<CatchUp>,
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) limits: Arc<LimitSharing>,
    pub(super) phases: Arc<Phases>,
    pub(super) store: StoreClient,
    pub(super) view: Arc<RoutingView>,
    pub(super) dialer: Arc<ServerDialer>,
    pub(super) tunnel_slots: Arc<Semaphore>,
    pub(super) origins: Arc<StreamOrigins>,
}

impl PeerMessageRouter {
    /// Returns whether this instance schedules for others, or will in a moment.
    fn is_taking(&self) -> bool {
        match self.phases.current() {
            Phase::Starting => Instant::now() < self.starting_until(),
            Phase::Serving => true,
            Phase::Leaving | Phase::Draining => false,
        }
    }
}

impl PeerMessageRouter {
    /// Returns the slots of connections to servers that are open for other instances.
    pub(super) fn tunnel_slots() -> Arc<Semaphore> {
        Arc::new(Semaphore::new(MAX_TUNNELS))
    }

    /// Returns whether this instance connects other instances to the server at `addr`: not to one
    /// that is leaving, which the other instance may not know yet.
    fn relays_to(&self, addr: SocketAddr) -> bool {
        self.phases.current() == Phase::Serving
            && !self.dialer.is_relayed(addr)
            && self.view.directory().is_open_at(addr)
    }

    /// Returns until when this instance accepts stages of others although it is starting.
    fn starting_until(&self) -> Instant {
        let is_loading = !self.store.is_failing();
        self.started
            + if is_loading {
                LOADING_WINDOW
            } else {
                STARTUP_WINDOW
            }
    }
}

impl PeerHandler for PeerMessageRouter {
    fn on_gossip(&self, _from: &PeerId, _message: Message) {
        metrics::counter!("savoryvane_peer_unexpected_total").increment(1);
    }

    fn on_request(&self, from: PeerId, message: Message, _wait: Duration) -> PeerAnswer {
        let response = match message {
            Message::StageSubmission(submission) => {
                if let Some(next) = self.members.successor() {
                    let moved = StageOutcome::Moved {
                        done: submission.done,
                        to: Some(next),
                    };
                    return Box::pin(future::ready(Message::StageOutcome(moved)));
                }
                let dispatch = Arc::clone(&self.dispatch);
                let phases = Arc::clone(&self.phases);
                let starting_until = self.starting_until();
                return Box::pin(async move {
                    let serving = phases.reached(Phase::Serving);
                    let _ = time::timeout_at(starting_until, serving).await;
                    if phases.current() != Phase::Serving {
                        return Message::Declined(Declined::NotMine);
                    }
                    Message::StageOutcome(dispatch.run(submission).await)
                });
            }
            Message::StageRelease(key) => {
                self.dispatch.release(&key);
                Message::Ack(Ack)
            }
            Message::SchedulerQuery(_) => {
                self.limits.on_seen(&from.instance);
                Message::SchedulerState(SchedulerState {
                    is_taking: self.is_taking(),
                    known: self.catch_up.known(&self.members),
                    limits_revision: self.limits.revision(),
                    cut_off_zones: self.dispatch.cut_off_zones(),
                })
            }
            Message::RoutingQuery(query) => {
                Message::RoutingState(self.catch_up.respond(&self.members, query))
            }
            Message::CrashQuery(query) => {
                let has_reports = !query.records.is_empty();
                let response = self.quarantine.on_query(query);
                if has_reports && self.members.needs_upstream() {
                    let quarantine = Arc::clone(&self.quarantine);
                    tokio::spawn(async move { quarantine.report().await });
                }
                response.map_or(Message::Declined(Declined::NotMine), Message::CrashState)
            }
            Message::LimitQuery(query) => Message::LimitState(self.limits.on_query(query)),
            Message::GrantQuery(query) => Message::GrantState(self.limits.grant(&query)),
            Message::PermitQuery(query) => {
                let quarantine = Arc::clone(&self.quarantine);
                return Box::pin(async move {
                    Message::PermitState(quarantine.on_permit_query(query).await)
                });
            }
            Message::PermitReturn(permit) => {
                self.quarantine.on_permit_returned(&permit);
                Message::Ack(Ack)
            }
            Message::StreamRecords(records) => {
                self.origins.on_received(records);
                Message::Ack(Ack)
            }
            Message::StreamQuery(query) => {
                let origins = Arc::clone(&self.origins);
                return Box::pin(async move {
                    Message::StreamState(origins.on_query(&query, &from.instance).await)
                });
            }
            _ => Message::Declined(Declined::Unsupported),
        };
        Box::pin(future::ready(response))
    }

    fn on_connect(&self, from: PeerId, server: SocketAddr) -> ServerConnecting {
        let slot = Arc::clone(&self.tunnel_slots).try_acquire_owned();
        let Some(slot) = slot.ok().filter(|_| self.relays_to(server)) else {
            metrics::counter!("savoryvane_tunnels_total", "outcome" => "declined").increment(1);
            return Box::pin(future::ready(Err(TunnelRefusal::Declined)));
        };
        let dialer = Arc::clone(&self.dialer);
        Box::pin(async move {
            match dialer.connect_for(&from.instance, server).await {
                Ok(transport) => Ok(ServerConnection { transport, slot }),
                Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
                    Err(TunnelRefusal::ServerRefused)
                }
                Err(_) => Err(TunnelRefusal::ServerUnreachable),
            }
        })
    }
}
