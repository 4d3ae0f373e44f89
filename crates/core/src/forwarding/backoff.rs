//! Keeps the backoff that servers have asked this instance for.
//!
//! The load that it answers: some servers of a service reject what they get for seconds, and
//! sessions have their home there. Each request that is sent to one of them is rejected, and
//! uses up a repeat.

use std::collections::HashMap;

use crate::ids::BackendName;

/// Most servers whose backoff is remembered, about 100 bytes each: twice the servers of the
/// largest fleet that is planned for.
const MAX_SERVERS: usize = 4_096;

/// Longest backoff that a server is granted, in ms: a larger value is more likely a mistake,
/// and the server is lost to callers until it ends.
pub const MAX_BACKOFF_MS: u64 = 3_600_000;

/// The servers that want no requests from this instance, by their runs.
#[derive(Debug, Default)]
pub struct ServerBackoffs {
    /// End of each backoff, in ms.
    until_ms: HashMap<BackendName, u64>,
}

impl ServerBackoffs {
    /// Notes that `server` asks for no requests for `backoff_ms`; returns whether its backoff
    /// lasts longer than was known. Answers may overtake each other, so that none shortens it.
    pub fn on_request(&mut self, now_ms: u64, server: &BackendName, backoff_ms: u64) -> bool {
        let until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
        if until_ms <= now_ms.max(self.until_ms(server)) {
            return false;
        }
        if !self.until_ms.contains_key(server) {
            self.make_room(now_ms);
        }
        self.until_ms.insert(server.clone(), until_ms);
        true
    }

    /// Forgets backoffs that have ended, and the one that ends first where that is not enough.
    fn make_room(&mut self, now_ms: u64) {
        if self.until_ms.len() < MAX_SERVERS {
            return;
        }
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
        if self.until_ms.len() < MAX_SERVERS {
            return;
        }
        let first = self.until_ms.iter().min_by_key(|(_, until_ms)| **until_ms);
        if let Some(server) = first.map(|(server, _)| server.clone()) {
            self.until_ms.remove(&server);
        }
    }

    /// Returns the end of the last backoff of `server`, in ms; 0 where it has asked for none.
    pub fn until_ms(&self, server: &BackendName) -> u64 {
        self.until_ms.get(server).copied().unwrap_or_default()
    }

    /// Tells whether `server` takes requests, as far as it has asked for backoff.
    pub fn allows(&self, now_ms: u64, server: &BackendName) -> bool {
        now_ms >= self.until_ms(server)
    }

    /// Returns the servers whose backoff has not ended.
    pub fn count(&self, now_ms: u64) -> usize {
        let ends = self.until_ms.values();
        ends.filter(|until_ms| **until_ms > now_ms).count()
    }
}
