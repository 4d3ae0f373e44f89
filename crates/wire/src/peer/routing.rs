//! What instances that forward requests tell each other of who schedules, of routes,
//! servers and instances.

use std::net::SocketAddr;

use savoryvane_core::{
    forwarding::{
        Cursor, DirectoryUpdate, EvacuationState, ExpiringServer, Position, RoutingConfig,
    },
    ids::{BackendName, Incarnation, InstanceName, ZoneName},
};
use serde::{Deserialize, Serialize};

/// Asks whether the receiver schedules stages for others, and what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerQuery;

/// Answer to that question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerState {
    /// Whether it does, or will as soon as it knows routes and servers.
    pub is_taking: bool,
    /// What it knows.
    pub known: KnownState,
    /// Revision of what it knows of the limits that servers name.
    pub limits_revision: u64,
}

/// How far an instance's knowledge of routes, servers and instances goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Version of its routing configuration.
    pub version: u64,
    /// Time since the store told it, or one that the store told, in ms.
    pub version_age_ms: u64,
    /// Its run, which numbers its revisions.
    pub incarnation: Incarnation,
    /// Revision of its directory of servers.
    pub revision: u64,
    /// Time since the store told it, or one that the store told, in ms.
    pub servers_age_ms: u64,
    /// How far it knows the register of servers.
    pub servers: Cursor,
    /// How far it knows the list of instances.
    pub instances: Cursor,
    /// How far it knows which availability zones are evacuated.
    pub evacuations: Cursor,
    /// Whether it reaches the store.
    pub has_store: bool,
}

/// Asks for what the receiver knows beyond the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingQuery {
    /// Version of the routing configuration that the sender has.
    pub version: u64,
    /// Revision of the receiver's directory that the sender has taken over last.
    pub revision: Option<u64>,
    /// How far the sender knows the register of servers.
    pub servers: Cursor,
    /// How far the sender knows the list of instances.
    pub instances: Cursor,
    /// Whether the sender reaches the store, where it reads a large configuration.
    pub has_store: bool,
    /// Servers that the sender takes for lapsed: it asks for what they say of themselves,
    /// also where that is the same as before.
    pub lapsing: Vec<BackendName>,
}

/// An entry instance as the store lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedPeer {
    /// Its name.
    pub instance: InstanceName,
    /// Address for other instances.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Part of a core that it has.
    pub cores: f64,
    /// Position in the list of what it says.
    pub position: Position,
}

/// What an instance knows of routes, servers and instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingState {
    /// How far its knowledge goes.
    pub known: KnownState,
    /// The routing configuration, if it is a later version that is not left to the
    /// store.
    pub config: Option<RoutingConfig>,
    /// The servers, as far as the asker does not know them.
    pub servers: DirectoryUpdate,
    /// Servers that the register lacked after an outage of the store.
    pub lapsing: Vec<ExpiringServer>,
    /// The instances that are listed, as far as the asker does not know them.
    pub instances: Vec<ListedPeer>,
    /// Which availability zones are evacuated.
    pub evacuations: EvacuationState,
}
