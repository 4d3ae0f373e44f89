//! Distinguishes the crash of a backend server from the loss of a connection to it.

use serde::{Deserialize, Serialize};

/// Evidence that a server has crashed under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// Its connection broke and its address refused the next one, while another server in its
    /// availability zone was reachable.
    Refused,
    /// It is registered again with a later start.
    Restarted,
    /// Its register entry expired without an announced departure.
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

/// State of a server run in the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registered {
    /// It accepts requests.
    Ready,
    /// It has announced its departure.
    Leaving,
    /// A later run of the server is registered.
    Replaced,
    /// It is no longer registered.
    Gone,
}

/// Result of an attempt to connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The connection was established.
    Open,
    /// The address refused the connection.
    Refused,
    /// There was no reply, as in a network partition.
    Unknown,
}

/// Status of a server whose connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostServerStatus {
    /// It has crashed.
    Ended(Evidence),
    /// It stopped as planned or is still running: its requests are not the cause.
    NotToBlame,
    /// Not known yet; the register may show it later.
    Unknown,
}

/// Returns the status of a server whose connection was lost during a request, by its state in
/// the register, a connection attempt to it (`probe`) and one to another server in its
/// availability zone (`neighbour`).
///
/// A server that is no longer registered had left; some servers leave without an announcement.
/// A refused connection alone is no evidence of a crash, since network partitions may also
/// refuse the connections to all servers of a zone: on a day with a partition that resets
/// connections, the servers of all 21 refused connections were still running.
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

/// Returns the status some time after the loss, for a server that was registered and of unknown
/// status at the loss. Behind a partition, entries of running servers expire, so that an expired
/// entry counts as a crash only if another server in the zone is reachable.
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

/// Returns up to `max` of `servers` at even intervals.
pub fn sample_evenly<T>(servers: impl IntoIterator<Item = T>, max: usize) -> Vec<T> {
    let servers: Vec<T> = servers.into_iter().collect();
    let step = servers.len().div_ceil(max.max(1)).max(1);
    servers.into_iter().step_by(step).collect()
}
