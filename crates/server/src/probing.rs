//! Probes whether a backend server whose connection was lost still listens.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use savoryvane_core::poison::Probe;
use tokio::task::JoinSet;

use crate::connections::Connections;

/// Timeout of connection attempts while a caller waits. Servers accept or refuse within a
/// few ms; a server behind a partition is checked later.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of other servers in the zone that are probed besides the one whose connection
/// was lost: copies of a request that were sent together crash several servers at once.
pub(crate) const MAX_NEIGHBOURS: usize = 4;

/// Tries to connect to a server and, if that fails, to several others in its availability
/// zone until one is reachable, as more than one may have crashed at the same moment. If
/// the server is reachable, no others are tried, since a new connection costs a server
/// time.
pub(crate) async fn probe(
    connections: &Arc<Connections>,
    server: SocketAddr,
    neighbours: impl FnOnce() -> Vec<SocketAddr>,
) -> (Probe, Probe) {
    let probe = connections.probe(server).await;
    if probe == Probe::Open {
        return (probe, Probe::Unknown);
    }
    let mut neighbour_probes = JoinSet::new();
    for addr in neighbours() {
        let connections = Arc::clone(connections);
        neighbour_probes.spawn(async move { connections.probe(addr).await });
    }
    while let Some(neighbour) = neighbour_probes.join_next().await {
        if matches!(neighbour, Ok(Probe::Open)) {
            return (probe, Probe::Open);
        }
    }
    (probe, Probe::Unknown)
}
