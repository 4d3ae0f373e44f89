//! Opens the connections of a gateway instance to backend servers.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use savoryvane_core::forwarding::UnreachedServers;
use slog::{Logger, info};
use tokio::time;

use crate::{
    clock::Clock,
    lock::lock,
    network::{Connecting, Network, Transport},
};

/// Timeout for connecting to a backend server: servers accept within some ms, and one
/// that does not is replaced by another.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens connections to backend servers.
#[derive(Debug)]
pub(super) struct ServerDialer {
    log: Logger,
    clock: Clock,
    network: Arc<dyn Network>,
    unreached: Mutex<UnreachedServers>,
}

impl ServerDialer {
    pub(super) fn new(network: Arc<dyn Network>, clock: Clock, log: Logger) -> Self {
        Self {
            log,
            clock,
            network,
            unreached: Mutex::default(),
        }
    }

    /// Connects to the server at `addr` from this instance.
    async fn connect_directly(&self, addr: SocketAddr) -> io::Result<Box<dyn Transport>> {
        let connecting = time::timeout(CONNECT_TIMEOUT, self.network.connect(addr));
        let timeout = || io::Error::new(io::ErrorKind::TimedOut, "connect timeout");
        let connected = connecting.await.unwrap_or_else(|_| Err(timeout()));
        count_attempt(connected.as_ref().err());
        match &connected {
            Ok(_) => lock(&self.unreached).on_established(),
            Err(err) => {
                let unreached = lock(&self.unreached).on_failed(self.clock.now_ms(), addr);
                info!(self.log, "no connection to server"; "addr" => %addr, "error" => %err,
                    "unreached_servers" => unreached);
            }
        }
        connected
    }
}

impl Network for ServerDialer {
    fn connect(&self, addr: SocketAddr) -> Connecting<'_> {
        Box::pin(self.connect_directly(addr))
    }
}

fn count_attempt(error: Option<&io::Error>) {
    let outcome = match error.map(io::Error::kind) {
        None => "established",
        Some(io::ErrorKind::ConnectionRefused) => "refused",
        Some(io::ErrorKind::TimedOut) => "timeout",
        Some(_) => "failed",
    };
    metrics::counter!("savoryvane_server_connects_total", "outcome" => outcome).increment(1);
}
