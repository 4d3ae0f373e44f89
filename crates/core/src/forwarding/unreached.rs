//! Tells a server that can't be reached from an instance that reaches none.

use std::{collections::BTreeSet, net::SocketAddr};

/// Servers to which no connection could be established since the last one that was.
#[derive(Clone, Debug, Default)]
pub struct UnreachedServers {
    addrs: BTreeSet<SocketAddr>,
    failed_at_ms: u64,
}

/// Time within which failures are counted together, in ms: an instance opens a few connections
/// per second.
const FAILURE_WINDOW_MS: u64 = 2_000;
/// Most addresses that are retained.
const MAX_ADDRS: usize = 256;

impl UnreachedServers {
    /// Records that no connection to `addr` could be established. Returns the number of servers
    /// that failed since the last success.
    pub fn on_failed(&mut self, now_ms: u64, addr: SocketAddr) -> usize {
        if now_ms > self.failed_at_ms + FAILURE_WINDOW_MS {
            self.addrs.clear();
        }
        self.failed_at_ms = now_ms;
        if self.addrs.len() < MAX_ADDRS {
            self.addrs.insert(addr);
        }
        self.addrs.len()
    }

    /// Records that a connection to a server was established.
    pub fn on_established(&mut self) {
        self.addrs.clear();
    }
}
