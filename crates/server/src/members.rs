//! What this instance knows of the others, and its ties to them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use savoryvane_core::{
    digest::{Leaver, LeavingNotice, LoadSummary, Readiness},
    ids::{BackendName, Incarnation, InstanceName},
    membership::{Action, Event, Gossip, Identity, Membership, OwnState, TICK_MS},
    roster::ListedInstance,
    topology::{Duty, ranked},
    usage::Usage,
};
use savoryvane_wire::{
    peer::Message,
    platform::{ListedRole, ListedState, Listing},
};
use slog::{Logger, info, warn};
use tokio::{
    sync::mpsc,
    time::{self, MissedTickBehavior},
};

use crate::{
    crashes,
    instance::Shared,
    lock::lock,
    peer::{PeerHandle, PeerId},
    phase::Phase,
    settings::Settings,
    sharing::{self, Sharing},
};

/// Time between two looks at who divides the quotas, in ms.
const VIEW_MS: u64 = 1_000;

/// Knowledge of the other instances, and the connections to them.
#[derive(Debug)]
pub(crate) struct Members {
    membership: Mutex<Membership>,
    peers: PeerHandle,
    sharing: Sharing,
}

impl Members {
    /// Creates the knowledge of an instance that serves peers at `addr`, and the
    /// receiver of the peers to which a gossip stream has been opened.
    pub(crate) fn new(
        settings: &Settings,
        incarnation: Incarnation,
        addr: SocketAddr,
        log: Logger,
    ) -> (Self, mpsc::UnboundedReceiver<PeerId>) {
        let me = PeerId {
            instance: settings.instance.clone(),
            incarnation,
        };
        let identity = Identity {
            instance: settings.instance.clone(),
            incarnation,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            addr,
            started_at_s: unix_s(),
        };
        let (peers, linked) = PeerHandle::new(me, log);
        let (instance, zone) = (settings.instance.clone(), settings.zone.clone());
        let usage = Usage::new(0, instance, zone, incarnation);
        let members = Self {
            membership: Mutex::new(Membership::new(0, identity)),
            peers,
            sharing: Sharing::new(usage),
        };
        (members, linked)
    }

    /// Locks the knowledge of the others, for a few steps without waiting.
    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    /// Returns the workspace quotas.
    pub(crate) fn sharing(&self) -> &Sharing {
        &self.sharing
    }

    /// Returns the way to send requests to peers.
    pub(crate) fn peers(&self) -> &PeerHandle {
        &self.peers
    }
}

/// Ticks for as long as the instance lives.
pub(crate) async fn run(shared: Arc<Shared>, mut linked: mpsc::UnboundedReceiver<PeerId>) {
    let mut ticks = time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut views = time::interval(Duration::from_millis(VIEW_MS));
    views.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                apply(&shared, Event::OwnStateChanged(own_state(&shared)));
                apply(&shared, Event::Tick);
                sharing::tick(&shared);
            }
            _ = views.tick() => sharing::renew_view(&shared),
            Some(peer) = linked.recv() => {
                crashes::on_linked(&shared, &peer.instance);
                apply(&shared, Event::PeerConnected(peer.instance));
            }
        }
    }
}

/// Ranks this instance for a duty among those of all zones that are listed and do not
/// leave, 0 for the first.
pub(crate) fn rank_of_all(shared: &Shared, duty: Duty<'_>) -> u64 {
    let me = &shared.settings.instance;
    let membership = shared.members.membership();
    let live = membership.listed().iter().filter(|x| !x.is_leaving);
    let others = live.map(|x| &x.instance).filter(|name| *name != me);
    let order = ranked(duty, others.chain([me]));
    let rank = order.iter().position(|name| *name == me);
    rank.map_or(u64::MAX, |rank| rank as u64)
}

/// Takes a new list of the platform's.
pub(crate) fn take_list(shared: &Shared, listing: &Listing) {
    let entries = listing.entries.iter();
    let listed = entries
        .filter(|entry| entry.role == ListedRole::Entry)
        .map(|entry| ListedInstance {
            instance: InstanceName::new(&entry.name),
            zone: entry.zone.clone(),
            addr: entry.addr,
            is_leaving: entry.state == ListedState::Leaving,
        });
    apply(shared, Event::Listed(listed.collect()));
}

/// Tells the other instances at once that this one leaves.
pub(crate) fn tell_own_state(shared: &Shared) {
    apply(shared, Event::OwnStateChanged(own_state(shared)));
}

/// Tells the other instances that a backend server says that it leaves.
pub(crate) fn tell_backend_leaving(shared: &Shared, backend: &BackendName) {
    let leaver = Leaver::Backend(backend.clone());
    let notice = LeavingNotice { leaver, age_ms: 0 };
    apply(shared, Event::Leaving { from: None, notice });
}

/// Gives the knowledge of the others an event and does what follows.
pub(crate) fn apply(shared: &Shared, event: Event) {
    let now_ms = shared.clock.now_ms();
    let is_list = matches!(event, Event::Listed(_));
    let (actions, addrs) = {
        let mut membership = shared.members.membership();
        let actions = membership.on_event(now_ms, event);
        let is_moved = is_list || actions.iter().any(|a| matches!(a, Action::ConnectTo(_)));
        (
            actions,
            is_moved.then(|| membership.contacts().collect::<Vec<_>>()),
        )
    };
    let peers = shared.members.peers();
    if let Some(addrs) = addrs {
        peers.set_addrs(addrs);
    }
    for action in actions {
        act(shared, action);
    }
}

fn act(shared: &Shared, action: Action) {
    let peers = shared.members.peers();
    match action {
        Action::Send { to, gossip } => peers.send(&to, message(gossip)),
        Action::ConnectTo(contacts) => {
            info!(shared.log, "neighbours chosen"; "count" => contacts.len());
            peers.keep(&contacts);
        }
        Action::BackendLeaving(backend) => {
            info!(shared.log, "backend server is leaving"; "backend" => %backend);
            shared.fleet().on_leaving(&backend);
        }
        Action::Superseded => {
            warn!(shared.log, "a newer run of this instance lives; leaving");
            shared.phases.advance(Phase::Leaving);
        }
    }
}

fn message(gossip: Gossip) -> Message {
    match gossip {
        Gossip::Digests(batch) => Message::Digests(batch),
        Gossip::Leaving(notice) => Message::Leaving(notice),
        Gossip::Zones(zones) => Message::Zones(zones),
    }
}

fn own_state(shared: &Shared) -> OwnState {
    let readiness = match shared.phases.current() {
        Phase::Starting => Readiness::Starting,
        Phase::Serving => Readiness::Ready,
        Phase::Leaving | Phase::Draining => Readiness::Leaving,
    };
    OwnState {
        readiness,
        config_next: shared.configuration.state().next(),
        claims_next: shared.claims.next(),
        load: LoadSummary {
            in_flight: shared.in_flight(),
            ..LoadSummary::default()
        },
    }
}

fn unix_s() -> u32 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| u32::try_from(age.as_secs()).unwrap_or(u32::MAX))
}
