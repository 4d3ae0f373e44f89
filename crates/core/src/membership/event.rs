//! What happens to an instance's knowledge of the others, and what follows.

use std::net::SocketAddr;

use crate::{
    digest::{DigestBatch, LeavingNotice, LoadSummary, Readiness, ZoneDigest},
    ids::{BackendName, Incarnation, InstanceName, Offset, RegionName, ZoneName},
    roster::ListedInstance,
};

/// What an instance is, for as long as it runs.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Time of its start by the system's clock, in s since the Unix epoch.
    pub started_at_s: u32,
}

/// An instance and the address that it is reached at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its address for peers.
    pub addr: SocketAddr,
}

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnState {
    /// Whether it takes requests.
    pub readiness: Readiness,
    /// Next configuration offset that it expects.
    pub config_next: Offset,
    /// Next offset of the claim stream that it expects.
    pub claims_next: Offset,
    /// Its load.
    pub load: LoadSummary,
}

/// What happens to an instance's knowledge of the others.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`TICK_MS`](super::TICK_MS) have passed.
    Tick,
    /// The platform's list was read.
    Listed(Vec<ListedInstance>),
    /// A gossip stream to a peer was opened.
    PeerConnected(InstanceName),
    /// The instance's own state, as it is now.
    OwnStateChanged(OwnState),
    /// A peer sent digests.
    Digests {
        /// The peer.
        from: InstanceName,
        /// What it sent.
        batch: DigestBatch,
    },
    /// Something is leaving, by a peer's word, or by this instance's when there
    /// is no peer.
    Leaving {
        /// The peer.
        from: Option<InstanceName>,
        /// What is leaving.
        notice: LeavingNotice,
    },
    /// A peer sent digests of zones.
    Zones {
        /// The peer.
        from: InstanceName,
        /// What it sent.
        zones: Vec<ZoneDigest>,
    },
}

/// A message to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gossip {
    /// Digests of instances.
    Digests(DigestBatch),
    /// Something is leaving.
    Leaving(LeavingNotice),
    /// Digests of zones.
    Zones(Vec<ZoneDigest>),
}

/// What has to happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceName,
        /// The message.
        gossip: Gossip,
    },
    /// Keep a gossip stream to each of these peers and to no other.
    ConnectTo(Vec<Contact>),
    /// Give a backend server no new work.
    BackendLeaving(BackendName),
    /// A newer run of this instance lives; this one has to leave.
    Superseded,
}
