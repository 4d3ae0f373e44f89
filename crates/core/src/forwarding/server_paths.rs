//! Decides whether an instance connects to a backend server itself or through another instance.
//!
//! A failed connection says something about the path, not about the server: an instance may be
//! cut off from some or all servers that other instances reach. So a server that is not connected
//! to at once is tried through other instances as well, and only one that fails on both paths
//! counts as unreachable.

use std::{collections::BTreeMap, net::SocketAddr};

/// Time after which a connection attempt is joined by one through another instance, in ms:
/// servers accept within some ms, so that one that is slower is probably not reached.
const JOIN_AFTER_MS: u64 = 100;
/// Servers that are reached only through other instances from which, without a direct connection
/// since, the instance counts as cut off from all.
const MIN_RELAYED_SERVERS: usize = 2;
/// Time for which a server that failed on both paths is tried directly only, in ms.
const DIRECT_ONLY_MS: u64 = 1_000;
/// Time after the last connection through another instance after which the direct path is tried
/// first again, in ms.
const RELAYED_FOR_MS: u64 = 30_000;

/// How to connect to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectPlan {
    /// Directly, and through other instances as well after this time in ms.
    DirectFirst {
        /// Time in ms.
        join_after_ms: u64,
    },
    /// Directly and not through other instances.
    DirectOnly,
    /// Through other instances, and directly as well after this time in ms.
    RelayedFirst {
        /// Time in ms.
        join_after_ms: u64,
    },
}

/// What changes with a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PathChange {
    /// Servers whose path has changed.
    pub servers: Vec<SocketAddr>,
    /// Whether the instance counts as cut off from all servers from now on.
    pub is_newly_cut_off: bool,
}

/// Paths of an instance to the backend servers that it connects to.
#[derive(Clone, Debug, Default)]
pub struct ServerPaths {
    /// Servers that are reached through other instances, with the time of the last connection
    /// in ms.
    relayed: BTreeMap<SocketAddr, u64>,
    /// Servers that failed on both paths, with the time until which they are tried directly only,
    /// in ms.
    failed: BTreeMap<SocketAddr, u64>,
    /// Whether a direct connection was established since the first server in `relayed`.
    has_direct: bool,
}

impl ServerPaths {
    /// Returns how to connect to the server at `addr`.
    pub fn plan(&self, now_ms: u64, addr: SocketAddr) -> ConnectPlan {
        if self.is_relayed(now_ms, addr) {
            let join_after_ms = JOIN_AFTER_MS;
            return ConnectPlan::RelayedFirst { join_after_ms };
        }
        if self.failed.get(&addr).is_some_and(|until| now_ms < *until) {
            return ConnectPlan::DirectOnly;
        }
        let join_after_ms = if self.is_cut_off() { 0 } else { JOIN_AFTER_MS };
        ConnectPlan::DirectFirst { join_after_ms }
    }

    /// Records that the server at `addr` was connected to directly. If it was reached only
    /// through other instances before, all servers are tried directly again.
    pub fn on_direct(&mut self, addr: SocketAddr) -> PathChange {
        self.failed.remove(&addr);
        self.has_direct = true;
        let mut change = PathChange::default();
        if self.relayed.contains_key(&addr) {
            change.servers = std::mem::take(&mut self.relayed).into_keys().collect();
        }
        change
    }

    /// Records that the server at `addr` was connected to through another instance, and not
    /// directly.
    pub fn on_relayed(&mut self, now_ms: u64, addr: SocketAddr) -> PathChange {
        self.failed.remove(&addr);
        if self.relayed.is_empty() {
            self.has_direct = false;
        }
        let was_cut_off = self.is_cut_off();
        let is_new = self.relayed.insert(addr, now_ms).is_none();
        PathChange {
            servers: is_new.then_some(addr).into_iter().collect(),
            is_newly_cut_off: self.is_cut_off() && !was_cut_off,
        }
    }

    /// Records that the server at `addr` was connected to on no path that was tried. Direct
    /// failures alone don't extend the time in which no other path is tried.
    pub fn on_failed(&mut self, now_ms: u64, addr: SocketAddr) {
        self.relayed.remove(&addr);
        self.failed.retain(|_, until| now_ms < *until);
        let until_ms = now_ms + DIRECT_ONLY_MS;
        self.failed.entry(addr).or_insert(until_ms);
    }

    /// Returns whether the server at `addr` is reached through other instances only.
    pub fn is_relayed(&self, now_ms: u64, addr: SocketAddr) -> bool {
        let used_at_ms = self.relayed.get(&addr);
        used_at_ms.is_some_and(|used_at_ms| now_ms < used_at_ms + RELAYED_FOR_MS)
    }

    /// Returns whether the instance seems to be cut off from all servers.
    pub fn is_cut_off(&self) -> bool {
        self.relayed.len() >= MIN_RELAYED_SERVERS && !self.has_direct
    }

    /// Returns the number of servers that are reached through other instances only.
    pub fn relayed_count(&self) -> usize {
        self.relayed.len()
    }

    /// Returns the server with the index `turn`, modulo their number, among those that are
    /// reached through other instances only, to try it directly.
    pub fn next_retry(&mut self, now_ms: u64, turn: usize) -> Option<SocketAddr> {
        self.relayed
            .retain(|_, used_at_ms| now_ms < *used_at_ms + RELAYED_FOR_MS);
        let index = turn % self.relayed.len().max(1);
        self.relayed.keys().nth(index).copied()
    }
}
