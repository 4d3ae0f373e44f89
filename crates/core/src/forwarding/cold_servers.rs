//! Limits the requests that a cold server gets from all instances together.
//!
//! The engines of a zone may restart cold together, or the engine that has a hot prompt cached
//! may restart. A cold engine handles a few requests per second and crashes at a rate well
//! above that. Hundreds of instances send to it; they can't coordinate in time, and not at all
//! during a partition.
//!
//! So only a few instances use a cold server: the first ones by a rendezvous hash of their
//! names and the server's. Each sends it a fixed number of requests in any window. Instances
//! with the same list select the same ones without communication.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{ColdStart, Position, ServerEntry};
use crate::ids::{BackendName, InstanceName};

/// Period over which the platform counts the requests of a server, in ms.
const COUNTING_PERIOD_MS: u64 = 1_000;
/// Longest time from the choice of a server to the arrival of a request there, in ms;
/// connection attempts that take longer time out.
pub const MAX_ARRIVAL_MS: u64 = 300;
/// Window in which an instance sends a cold server no more than its share, in ms: all requests
/// that arrive within one counting period were sent within one window.
pub const WINDOW_MS: u64 = COUNTING_PERIOD_MS + MAX_ARRIVAL_MS;

/// State of one cold server.
#[derive(Clone, Debug)]
struct ColdServer {
    /// Position of the last register entry that reported it as cold.
    position: Position,
    until_ms: u64,
    requests_per_s: f64,
    /// Requests that this instance may send to it in a window.
    share: usize,
    /// Times of the requests that were sent to it in the last window, in ms.
    sent_at_ms: VecDeque<u64>,
}

/// The cold servers, and the requests that one instance may send to each.
#[derive(Debug)]
pub struct ColdServers {
    instance: InstanceName,
    /// Hashes of the names of all listed instances.
    listed: Vec<u64>,
    servers: HashMap<BackendName, ColdServer>,
}

impl ColdServers {
    /// Creates the state of `instance`, which knows no other instance.
    pub fn new(instance: InstanceName) -> Self {
        Self {
            instance,
            listed: Vec::new(),
            servers: HashMap::new(),
        }
    }

    /// Replaces the list of instances.
    pub fn set_listed<'a>(&mut self, instances: impl IntoIterator<Item = &'a InstanceName>) {
        let listed = instances.into_iter().map(hash);
        self.listed = listed.collect();
        let (own, listed) = (hash(&self.instance), &self.listed);
        for (server, cold) in &mut self.servers {
            cold.share = request_share(own, listed, server, cold.requests_per_s);
        }
    }

    /// Records that `server` may be cold for another `left_ms` and handles `requests_per_s`
    /// until then.
    pub fn on_cold(
        &mut self,
        now_ms: u64,
        server: &BackendName,
        left_ms: u64,
        requests_per_s: f64,
    ) {
        let cold = self.servers.entry(server.clone());
        let cold = cold.or_insert_with(|| ColdServer {
            position: Position::default(),
            until_ms: 0,
            requests_per_s,
            share: 0,
            sent_at_ms: VecDeque::new(),
        });
        cold.until_ms = cold.until_ms.max(now_ms + left_ms);
        cold.requests_per_s = requests_per_s;
        cold.share = request_share(hash(&self.instance), &self.listed, server, requests_per_s);
    }

    /// Applies the register entry of a server; an entry that was applied before has no effect.
    pub fn on_entry(&mut self, now_ms: u64, entry: &ServerEntry, cold_start: ColdStart) {
        let known = self.servers.get(&entry.id);
        let is_known = known.is_some_and(|cold| cold.position >= entry.position);
        if entry.cold_left_ms == 0 || is_known {
            return;
        }
        let left_ms = entry.cold_left_ms.min(cold_start.duration_ms);
        self.on_cold(now_ms, &entry.id, left_ms, cold_start.requests_per_s);
        if let Some(cold) = self.servers.get_mut(&entry.id) {
            cold.position = entry.position;
        }
    }

    /// Removes the servers that are no longer registered.
    pub fn retain(&mut self, mut is_registered: impl FnMut(&BackendName) -> bool) {
        self.servers.retain(|server, _| is_registered(server));
    }

    /// Returns the number of cold servers.
    pub fn count(&self, now_ms: u64) -> usize {
        let servers = self.servers.values();
        servers.filter(|cold| cold.until_ms > now_ms).count()
    }

    /// Tells whether this instance may send a request to `server` now.
    pub fn allows(&self, now_ms: u64, server: &BackendName) -> bool {
        let Some(cold) = self.servers.get(server) else {
            return true;
        };
        if cold.until_ms <= now_ms {
            return true;
        }
        let sent = cold.sent_at_ms.iter();
        let sent = sent.filter(|at_ms| *at_ms + WINDOW_MS > now_ms);
        sent.count() < cold.share
    }

    /// Records that a request was sent to `server`.
    pub fn on_sent(&mut self, now_ms: u64, server: &BackendName) {
        let Some(cold) = self.servers.get_mut(server) else {
            return;
        };
        while cold
            .sent_at_ms
            .front()
            .is_some_and(|at_ms| at_ms + WINDOW_MS <= now_ms)
        {
            cold.sent_at_ms.pop_front();
        }
        cold.sent_at_ms.push_back(now_ms);
    }
}

/// Returns the number of requests that an instance may send to `server` in a window: the
/// requests that the server handles in a second are distributed over the `listed` instances in
/// the order of their hashes. An instance that is not listed yet has none.
fn request_share(own: u64, listed: &[u64], server: &BackendName, requests_per_s: f64) -> usize {
    if !listed.contains(&own) {
        return 0;
    }
    let seed = xxh3_64(server.as_str().as_bytes());
    let rank = |instance: &u64| xxh3_64_with_seed(&instance.to_le_bytes(), seed);
    let own_rank = rank(&own);
    let lower_ranks = listed.iter().filter(|other| rank(other) < own_rank).count();
    let total = (requests_per_s as usize).max(1);
    total / listed.len() + usize::from(lower_ranks < total % listed.len())
}

fn hash(instance: &InstanceName) -> u64 {
    xxh3_64(instance.as_str().as_bytes())
}
