//! Membership view of this instance, and its connections to peers.

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

/// Interval at which the membership view of the quotas is refreshed.
const QUOTA_VIEW_INTERVAL_MS: u64 = 1_000;

/// Membership of the instances, with the connections to peers and the quotas.
#[derive(Debug)]
pub(crate) struct Members {
    membership: Mutex<Membership>,
    peers: PeerHandle,
    sharing: Sharing,
}

impl Members {
    /// Creates the membership of an instance that serves peers at `addr`. The
    /// receiver gets each peer to which a gossip stream was opened.
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
            started_at_s: unix_time_s(),
        };
        let (peers, connected_peers) = PeerHandle::new(me, log);
        let (instance, zone) = (settings.instance.clone(), settings.zone.clone());
        let usage = Usage::new(0, instance, zone, incarnation);
        let members = Self {
            membership: Mutex::new(Membership::new(0, identity)),
            peers,
            sharing: Sharing::new(usage),
        };
        (members, connected_peers)
    }

    /// Locks the membership. The guard must not be held across an `await`.
    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    /// Returns the workspace quotas.
    pub(crate) fn sharing(&self) -> &Sharing {
        &self.sharing
    }

    /// Returns the handle that sends messages to peers.
    pub(crate) fn peers(&self) -> &PeerHandle {
        &self.peers
    }
}

/// Drives the membership and the quotas until the instance stops.
pub(crate) async fn run(shared: Arc<Shared>, mut connected_peers: mpsc::UnboundedReceiver<PeerId>) {
    let mut ticks = time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut view_refreshes = time::interval(Duration::from_millis(QUOTA_VIEW_INTERVAL_MS));
    view_refreshes.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                apply(&shared, Event::OwnStateChanged(own_state(&shared)));
                apply(&shared, Event::Tick);
                sharing::tick(&shared);
            }
            _ = view_refreshes.tick() => sharing::refresh_view(&shared),
            Some(peer) = connected_peers.recv() => {
                crashes::on_connected(&shared, &peer.instance);
                apply(&shared, Event::PeerConnected(peer.instance));
            }
        }
    }
}

/// Returns the rank of this instance for a duty among the listed instances of all zones
/// that are not leaving; 0 is the first.
pub(crate) fn rank_of_all(shared: &Shared, duty: Duty<'_>) -> u64 {
    let me = &shared.settings.instance;
    let membership = shared.members.membership();
    let active = membership.listed().iter().filter(|x| !x.is_leaving);
    let others = active.map(|x| &x.instance).filter(|name| *name != me);
    let order = ranked(duty, others.chain([me]));
    let rank = order.iter().position(|name| *name == me);
    rank.map_or(u64::MAX, |rank| rank as u64)
}

/// Applies a new list of the platform.
pub(crate) fn apply_listing(shared: &Shared, listing: &Listing) {
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

/// Announces the state of this instance at once, such as that it is leaving.
pub(crate) fn announce_own_state(shared: &Shared) {
    apply(shared, Event::OwnStateChanged(own_state(shared)));
}

/// Announces to the other instances that a backend server reports that it is leaving.
pub(crate) fn announce_backend_leaving(shared: &Shared, backend: &BackendName) {
    let leaver = Leaver::Backend(backend.clone());
    let notice = LeavingNotice { leaver, age_ms: 0 };
    apply(shared, Event::Leaving { from: None, notice });
}

/// Applies an event to the membership and performs the resulting actions.
pub(crate) fn apply(shared: &Shared, event: Event) {
    let now_ms = shared.clock.now_ms();
    let is_list = matches!(event, Event::Listed(_));
    let (actions, addrs) = {
        let mut membership = shared.members.membership();
        let actions = membership.on_event(now_ms, event);
        let has_new_addrs = is_list || actions.iter().any(|a| matches!(a, Action::ConnectTo(_)));
        (
            actions,
            has_new_addrs.then(|| membership.contacts().collect::<Vec<_>>()),
        )
    };
    let peers = shared.members.peers();
    if let Some(addrs) = addrs {
        peers.set_addrs(addrs);
    }
    for action in actions {
        perform(shared, action);
    }
}

fn perform(shared: &Shared, action: Action) {
    let peers = shared.members.peers();
    match action {
        Action::Send { to, gossip } => peers.send(&to, message(gossip)),
        Action::ConnectTo(contacts) => {
            info!(shared.log, "neighbours selected"; "count" => contacts.len());
            peers.set_gossip_peers(&contacts);
        }
        Action::BackendLeaving(backend) => {
            info!(shared.log, "backend server is leaving"; "backend" => %backend);
            shared.fleet().on_leaving(&backend);
        }
        Action::Superseded => {
            warn!(
                shared.log,
                "superseded by a newer incarnation of this instance; leaving"
            );
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

fn unix_time_s() -> u32 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| {
        u32::try_from(since_epoch.as_secs()).unwrap_or(u32::MAX)
    })
}
