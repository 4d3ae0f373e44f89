//! Messages between forwarding instances about schedulers, routes, servers and
//! instances.

use std::net::SocketAddr;

use savoryvane_core::{
    forwarding::{
        CellLayout, Cursor, DirectoryUpdate, EvacuationState, ExpiringServer, Position,
        RoutingConfig, Scope,
    },
    ids::{BackendName, Incarnation, InstanceName, ZoneName},
};
use serde::{Deserialize, Serialize};

/// Asks whether the receiver schedules stages for others and how current its data is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerQuery;

/// Response to a [`SchedulerQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerState {
    /// Whether it schedules for others, or will as soon as it knows routes and servers.
    pub is_taking: bool,
    /// How current its routes, servers and instances are.
    pub known: KnownState,
    /// Revision of its collection of the rate limits that servers state.
    pub limits_revision: u64,
    /// Availability zones whose servers it does not reach.
    pub cut_off_zones: Vec<ZoneName>,
}

/// How current an instance's routes, servers and instances are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Version of its routing configuration.
    pub version: u64,
    /// Time since the store reported that version to it or to the instance that relayed it, in ms.
    pub version_age_ms: u64,
    /// Its incarnation; revisions are numbered per incarnation.
    pub incarnation: Incarnation,
    /// Revision of its directory of servers.
    pub revision: u64,
    /// Time since the store reported the servers to it or to the instance that relayed them, in ms.
    pub servers_age_ms: u64,
    /// Position up to which it knows the server registry.
    pub servers: Cursor,
    /// Position up to which it knows the list of instances.
    pub instances: Cursor,
    /// Position up to which it knows the evacuations of availability zones.
    pub evacuations: Cursor,
    /// Whether it can reach the store.
    pub has_store: bool,
}

impl KnownState {
    /// Returns this state for a receiver whose request was sent `elapsed_ms` ago. The response may
    /// have been waiting to be read for most of that time, for example if the receiver stood still.
    #[must_use]
    pub fn aged_by(self, elapsed_ms: u64) -> Self {
        Self {
            version_age_ms: self.version_age_ms.saturating_add(elapsed_ms),
            servers_age_ms: self.servers_age_ms.saturating_add(elapsed_ms),
            ..self
        }
    }
}

/// Requests the routes, servers and instances that the sender does not know yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingQuery {
    /// Version of the routing configuration that the sender has.
    pub version: u64,
    /// Revision of the receiver's directory that the sender last merged.
    pub revision: Option<u64>,
    /// Position up to which the sender knows the server registry.
    pub servers: Cursor,
    /// Position up to which the sender knows the list of instances.
    pub instances: Cursor,
    /// Whether the sender can reach the store, from which it reads a large configuration.
    pub has_store: bool,
    /// Servers that the sender regards as expired. The response includes their entries
    /// even if they are unchanged.
    pub lapsing: Vec<BackendName>,
    /// Servers of which the sender keeps entries.
    pub scope: Scope,
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
    /// Number of CPU cores that it has, possibly a fraction.
    pub cores: f64,
    /// Position of its entry in the list.
    pub position: Position,
}

/// The number of cells as the store lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedLayout {
    /// Number of cells.
    pub layout: CellLayout,
    /// Position of its record in the list of instances.
    pub position: Position,
}

/// Response to a [`RoutingQuery`]: routes, servers and instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingState {
    /// How current the responder's data is.
    pub known: KnownState,
    /// The routing configuration, if it is a newer version and the sender of the query
    /// need not read it from the store.
    pub config: Option<Box<RoutingConfig>>,
    /// Servers that the sender of the query does not know yet; `None` if the responder does not
    /// have all of them, or has sent as many listings as its link allows.
    pub servers: Option<DirectoryUpdate>,
    /// Servers that were missing from the registry after an outage of the store.
    pub lapsing: Vec<ExpiringServer>,
    /// Listed instances that the sender of the query does not know yet.
    pub instances: Vec<ListedPeer>,
    /// Evacuations of availability zones.
    pub evacuations: EvacuationState,
    /// Number of cells, if the responder has read one.
    pub layout: Option<ListedLayout>,
    /// Time before the servers of `known` were current in which the responder knows of no outage
    /// of the store, in ms.
    pub store_uptime_ms: u64,
    /// Position from which on the responder has all changes of the server registry.
    pub changes_from: Cursor,
}
