//! Bounds the requests that a cold server gets from all instances together.
//!
//! The load that this answers: a zone's engines come back cold together, or one that is
//! the home of a hot prompt starts again. A cold engine takes some requests a second and
//! crashes at a rate well above that. Hundreds of instances send to it, which can't ask
//! each other in time, and not at all across a cut.
//!
//! So a few instances use a cold server, the first by a rendezvous hash of their names with
//! that of the server, and each of them sends it a fixed number of requests in any window.
//! All instances that know the same list find the same ones without a message.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{ColdStart, Position, ServerEntry};
use crate::ids::{BackendName, InstanceName};

/// Span that a platform counts requests in, in ms.
const COUNTED_MS: u64 = 1_000;
/// Time from the choice of a server to the arrival of a request there, in ms: a connection
/// is made in this time or not at all.
pub const MAX_ARRIVAL_MS: u64 = 300;
/// Window in which an instance sends a cold server no more than its part, in ms: whatever
/// arrives within the counted span was sent within it.
pub const WINDOW_MS: u64 = COUNTED_MS + MAX_ARRIVAL_MS;

/// A cold server as one instance uses it.
#[derive(Clone, Debug)]
struct ColdServer {
    /// Position of the record that said so last.
    position: Position,
    until_ms: u64,
    requests_per_s: f64,
    /// Requests that this instance may send it in a window.
    part: usize,
    /// Times at which requests were sent to it within the last window, in ms.
    sent_at_ms: VecDeque<u64>,
}

/// The cold servers, and which of them one instance may send to.
#[derive(Debug)]
pub struct ColdServers {
    instance: InstanceName,
    /// Hashes of the names of all listed instances.
    listed: Vec<u64>,
    servers: HashMap<BackendName, ColdServer>,
}

impl ColdServers {
    /// Creates the view of `instance`, which knows no other.
    pub fn new(instance: InstanceName) -> Self {
        Self {
            instance,
            listed: Vec::new(),
            servers: HashMap::new(),
        }
    }

    /// Takes over the list of instances.
    pub fn set_listed<'a>(&mut self, instances: impl IntoIterator<Item = &'a InstanceName>) {
        let listed = instances.into_iter().map(hash);
        self.listed = listed.collect();
        let (own, listed) = (hash(&self.instance), &self.listed);
        for (server, cold) in &mut self.servers {
            cold.part = part(own, listed, server, cold.requests_per_s);
        }
    }

    /// Notes that `server` may be cold for `left_ms` more, and takes `requests_per_s`
    /// meanwhile.
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
            part: 0,
            sent_at_ms: VecDeque::new(),
        });
        cold.until_ms = cold.until_ms.max(now_ms + left_ms);
        cold.requests_per_s = requests_per_s;
        cold.part = part(hash(&self.instance), &self.listed, server, requests_per_s);
    }

    /// Notes what the record of a server at `position` says, once for each record.
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

    /// Forgets the servers that are not registered any more.
    pub fn retain(&mut self, mut is_registered: impl FnMut(&BackendName) -> bool) {
        self.servers.retain(|server, _| is_registered(server));
    }

    /// Returns the servers that are cold.
    pub fn count(&self, now_ms: u64) -> usize {
        let servers = self.servers.values();
        servers.filter(|cold| cold.until_ms > now_ms).count()
    }

    /// Tells whether this instance may send `server` a request now.
    pub fn allows(&self, now_ms: u64, server: &BackendName) -> bool {
        let Some(cold) = self.servers.get(server) else {
            return true;
        };
        if cold.until_ms <= now_ms {
            return true;
        }
        let sent = cold.sent_at_ms.iter();
        let sent = sent.filter(|at_ms| *at_ms + WINDOW_MS > now_ms);
        sent.count() < cold.part
    }

    /// Notes that a request was sent to `server`.
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

/// Returns the requests that an instance may send to `server` in a window: those that the
/// server takes in a second are dealt out in the order of the hashes of `listed`. One that
/// is not listed yet has none.
fn part(own: u64, listed: &[u64], server: &BackendName, requests_per_s: f64) -> usize {
    if !listed.contains(&own) {
        return 0;
    }
    let seed = xxh3_64(server.as_str().as_bytes());
    let rank = |instance: &u64| xxh3_64_with_seed(&instance.to_le_bytes(), seed);
    let own_rank = rank(&own);
    let before = listed.iter().filter(|other| rank(other) < own_rank).count();
    let all = (requests_per_s as usize).max(1);
    all / listed.len() + usize::from(before < all % listed.len())
}

fn hash(instance: &InstanceName) -> u64 {
    xxh3_64(instance.as_str().as_bytes())
}
