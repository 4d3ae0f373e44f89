//! Tells the end of a backend server from the loss of a connection to it.

use serde::{Deserialize, Serialize};

/// What says that a server has ended under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// Its connection broke, and its address refused the next one, while another
    /// server of its availability zone was reached.
    Refused,
    /// It is registered again, from a later start.
    Restarted,
    /// It left the register without having said that it leaves.
    Lapsed,
}

impl Evidence {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Restarted => "restarted",
            Self::Lapsed => "lapsed",
        }
    }
}

/// What the register says of a run of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registered {
    /// It takes work.
    Ready,
    /// It has said that it leaves.
    Leaving,
    /// Another run has its place.
    Replaced,
    /// It is not there any more.
    Gone,
}

/// What an attempt to connect to a server says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// A connection could be made.
    Open,
    /// Nothing listens at its address.
    Refused,
    /// Nothing came back, as in a network partition.
    Unknown,
}

/// What became of a server whose connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostServerStatus {
    /// It has ended.
    Ended(Evidence),
    /// It ended as planned, or runs on: its requests are not to blame.
    NotToBlame,
    /// Nothing is known yet; the register may tell.
    Unknown,
}

/// Decides what became of a server whose connection to a request was lost while the
/// register says `registered`, an attempt to connect to it `probe`, and one to another
/// server of its availability zone `neighbour`.
///
/// One that was not registered any more had left; some leave without saying so. A
/// refused connection alone is no end: network partitions refuse connections too, to all
/// servers of a zone (all 21 refused ones of a day with a partition that resets
/// connections, whose servers ran on).
pub fn status_at_loss(registered: Registered, probe: Probe, neighbour: Probe) -> LostServerStatus {
    match (registered, probe) {
        (Registered::Leaving | Registered::Gone, _) => LostServerStatus::NotToBlame,
        (Registered::Replaced, _) => LostServerStatus::Ended(Evidence::Restarted),
        (Registered::Ready, Probe::Open) => LostServerStatus::NotToBlame,
        (Registered::Ready, Probe::Refused) if neighbour == Probe::Open => {
            LostServerStatus::Ended(Evidence::Refused)
        }
        (Registered::Ready, Probe::Refused | Probe::Unknown) => LostServerStatus::Unknown,
    }
}

/// Decides the same some time later, for a server that was registered when its
/// connection was lost and of which nothing was known then. Behind a partition entries
/// lapse of servers that run on, so that a neighbour has to be reached for it.
pub fn status_after_loss(
    registered: Registered,
    probe: Probe,
    neighbour: Probe,
) -> LostServerStatus {
    match (registered, probe) {
        (Registered::Gone, Probe::Open) => LostServerStatus::NotToBlame,
        (Registered::Gone, _) if neighbour == Probe::Open => {
            LostServerStatus::Ended(Evidence::Lapsed)
        }
        (Registered::Gone, _) => LostServerStatus::Unknown,
        _ => status_at_loss(registered, probe, neighbour),
    }
}

/// Chooses up to `most` of the servers that could be tried beside one, spread over all.
pub fn sample_evenly<T>(servers: impl IntoIterator<Item = T>, most: usize) -> Vec<T> {
    let servers: Vec<T> = servers.into_iter().collect();
    let step = servers.len().div_ceil(most.max(1)).max(1);
    servers.into_iter().step_by(step).collect()
}
