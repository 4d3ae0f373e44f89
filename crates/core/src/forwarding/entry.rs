//! What backend servers say of themselves, and what directories tell each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Cursor, Position};
use crate::ids::{BackendName, PoolName, ZoneName};

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It is leaving and takes nothing new.
    Leaving,
}

/// One run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Identifier of the run; a restarted server has another one, so that nothing
    /// that is known of a run is taken for true of the next one.
    pub id: BackendName,
    /// Identifier that the server registers itself under; a restarted server may
    /// have the same one.
    pub registered_as: BackendName,
    /// Start of the run by the server's own clock, in ms since the Unix epoch, if it
    /// says so. It only tells runs apart: clocks jump, so which of two runs is the
    /// later one is decided by `position`.
    pub started_ms: Option<u64>,
    /// Position in the register of what it says.
    pub position: Position,
    /// Service that it belongs to.
    pub service: PoolName,
    /// Address that it serves on; another run may have it later.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// What it says of itself.
    pub state: ServerState,
    /// Time for which it was still cold when it said so, in ms.
    pub cold_left_ms: u64,
}

impl ServerEntry {
    /// Tells whether `other` is the same run and says the same, at whichever
    /// position.
    pub(super) fn says_the_same(&self, other: &Self) -> bool {
        let moved = Self {
            position: self.position,
            ..other.clone()
        };
        *self == moved
    }
}

/// What a directory tells one that has an earlier revision of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// All its servers.
    Whole(Vec<ServerEntry>),
    /// Those that changed, by what they are registered as: what they say of
    /// themselves, or none once gone.
    Changes(Vec<(BackendName, Option<ServerEntry>)>),
}

impl DirectoryUpdate {
    /// Iterates over the entries that it has.
    pub(super) fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let (whole, changes): (&[ServerEntry], &[_]) = match self {
            Self::Whole(listing) => (listing, &[]),
            Self::Changes(changes) => (&[], changes),
        };
        let changed = changes.iter().filter_map(|(_, entry)| entry.as_ref());
        whole.iter().chain(changed)
    }
}

/// How far one that asks for an update knows the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncPoint {
    /// It has taken over the directory that it asks at this revision.
    Revision(u64),
    /// It knows the register up to this cursor, from elsewhere.
    Cursor(Cursor),
}

/// A server whose entry the register lacked after an outage of the store: it is told as
/// such, since nothing says yet that it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiringServer {
    /// What it is registered as.
    pub registered_as: BackendName,
    /// Position of its last entry.
    pub position: Position,
    /// Time after which it counts as gone unless it has written itself again, in ms.
    pub left_ms: u64,
}
