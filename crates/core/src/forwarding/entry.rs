//! Entries of the server register and the updates that instances exchange about them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Cursor, Position};
use crate::ids::{BackendName, PoolName, SoftwareVersion, ZoneName};

/// State that a server reports in its register entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It accepts requests.
    Ready,
    /// It is leaving and accepts no new requests.
    Leaving,
}

/// Register entry of one run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Identifier of the run; a restarted server has another one, so that state of one run is
    /// never applied to the next.
    pub id: BackendName,
    /// Identifier that the server registers under; a restarted server may reuse it.
    pub registered_as: BackendName,
    /// Start of the run by the server's clock, in ms since the Unix epoch, if reported. It only
    /// distinguishes runs: clocks jump, so `position` decides which of two runs is later.
    pub started_ms: Option<u64>,
    /// Position of the entry in the register.
    pub position: Position,
    /// Service that it belongs to.
    pub service: PoolName,
    /// Version of its software, if reported.
    pub software: Option<SoftwareVersion>,
    /// Address that it listens on; another run may reuse it later.
    pub addr: SocketAddr,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Reported state.
    pub state: ServerState,
    /// Remaining time of its cold start when it wrote the entry, in ms.
    pub cold_left_ms: u64,
}

impl ServerEntry {
    /// Tells whether `other` is equal except for its position.
    pub(super) fn equals_ignoring_position(&self, other: &Self) -> bool {
        let other_here = Self {
            position: self.position,
            ..other.clone()
        };
        *self == other_here
    }
}

/// Update of a directory, relative to an earlier revision of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// All its servers.
    Whole(Vec<ServerEntry>),
    /// Changed servers by the identifier that they register under: their entry, or none if
    /// they were removed.
    Changes(Vec<(BackendName, Option<ServerEntry>)>),
}

impl DirectoryUpdate {
    /// Iterates over the entries of the update.
    pub(super) fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let (whole, changes): (&[ServerEntry], &[_]) = match self {
            Self::Whole(listing) => (listing, &[]),
            Self::Changes(changes) => (&[], changes),
        };
        let changed = changes.iter().filter_map(|(_, entry)| entry.as_ref());
        whole.iter().chain(changed)
    }
}

/// How far the receiver of an update already knows the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncPoint {
    /// It has merged the sender's directory up to this revision.
    Revision(u64),
    /// It knows the register up to this cursor from another source.
    Cursor(Cursor),
}

/// A server whose entry the register lacked after an outage of the store. It is reported
/// separately, since there is no evidence yet that it still runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiringServer {
    /// Identifier that it registers under.
    pub registered_as: BackendName,
    /// Last position at which the register is known to lack it.
    pub position: Position,
    /// Time until it is removed unless it registers again, in ms.
    pub left_ms: u64,
}
