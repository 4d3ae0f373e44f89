//! Events and actions of the membership state machine.

use std::net::SocketAddr;

use crate::{
    digest::{DigestBatch, LeavingNotice, LoadSummary, Readiness, ZoneDigest},
    ids::{BackendName, Incarnation, InstanceName, Offset, RegionName, ZoneName},
    roster::ListedInstance,
};

/// Identity of one incarnation of an instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Address for peers.
    pub addr: SocketAddr,
    /// Start time by the system clock, in s since the Unix epoch.
    pub started_at_s: u32,
}

/// An instance and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Address for peers.
    pub addr: SocketAddr,
}

/// State that an instance publishes about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnState {
    /// Whether the instance accepts requests.
    pub readiness: Readiness,
    /// Next configuration offset to apply.
    pub config_next: Offset,
    /// Next offset of the claim stream to apply.
    pub claims_next: Offset,
    /// Load of the instance.
    pub load: LoadSummary,
}

/// Input of the membership state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`TICK_MS`](super::TICK_MS) have elapsed.
    Tick,
    /// The platform's list was read.
    Listed(Vec<ListedInstance>),
    /// A gossip stream to a peer was opened.
    PeerConnected(InstanceName),
    /// The current state of this instance.
    OwnStateChanged(OwnState),
    /// A peer sent digests.
    Digests {
        /// The peer.
        from: InstanceName,
        /// The digests.
        batch: DigestBatch,
    },
    /// An instance or backend server is leaving.
    Leaving {
        /// Peer that sent the notice; `None` when this instance originates it.
        from: Option<InstanceName>,
        /// The notice.
        notice: LeavingNotice,
    },
    /// A peer sent digests of zones.
    Zones {
        /// The peer.
        from: InstanceName,
        /// The digests.
        zones: Vec<ZoneDigest>,
    },
}

/// A message to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gossip {
    /// Digests of instances.
    Digests(DigestBatch),
    /// An instance or backend server is leaving.
    Leaving(LeavingNotice),
    /// Digests of zones.
    Zones(Vec<ZoneDigest>),
}

/// Output of the membership state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceName,
        /// The message.
        gossip: Gossip,
    },
    /// Keep a gossip stream open to each of these peers and to no other.
    ConnectTo(Vec<Contact>),
    /// Send no new work to a backend server, because it is leaving.
    BackendLeaving(BackendName),
    /// A newer incarnation of this instance is alive, so this one must leave.
    Superseded,
}
