//! Tracks which requests recently got a complete response.

use std::collections::HashSet;

use super::RequestDigest;

/// Time for which a response exonerates a request, in ms: long enough for a request that is sent
/// every second or two, short enough that a request that crashes a new release of a server is
/// soon detected.
const RECENT_MS: u64 = 5_000;
/// Most requests of one generation; beyond that, earlier ones are evicted sooner.
const MAX_PER_GENERATION: usize = 1_024;

/// Recently answered requests, in two generations.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    current: HashSet<RequestDigest>,
    previous: HashSet<RequestDigest>,
    generation_start_ms: u64,
}

impl RecentAnswers {
    pub(super) fn add(&mut self, now_ms: u64, digest: RequestDigest) {
        self.rotate_if_due(now_ms);
        if self.current.len() >= MAX_PER_GENERATION {
            self.start_generation(now_ms);
        }
        self.current.insert(digest);
    }

    pub(super) fn contains(&mut self, now_ms: u64, digest: &RequestDigest) -> bool {
        self.rotate_if_due(now_ms);
        self.current.contains(digest) || self.previous.contains(digest)
    }

    fn rotate_if_due(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.generation_start_ms);
        if age_ms >= RECENT_MS {
            self.start_generation(now_ms);
        }
        if age_ms >= 2 * RECENT_MS {
            self.previous.clear();
        }
    }

    fn start_generation(&mut self, now_ms: u64) {
        self.generation_start_ms = now_ms;
        self.previous = std::mem::take(&mut self.current);
    }
}
