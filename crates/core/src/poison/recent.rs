//! Remembers for a while which requests were answered.

use std::collections::HashSet;

use super::RequestDigest;

/// Time for which an answer speaks for a request, in ms: long enough for one that is
/// sent every second or two, short enough that a request that a new release of a server
/// can't bear is not excused for long.
const RECENT_MS: u64 = 5_000;
/// Most requests that are remembered in that time; with more, the earlier ones are
/// forgotten sooner.
const MOST_RECENT: usize = 1_024;

/// Requests that were answered lately, in two generations.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    current: HashSet<RequestDigest>,
    previous: HashSet<RequestDigest>,
    since_ms: u64,
}

impl RecentAnswers {
    pub(super) fn add(&mut self, now_ms: u64, digest: RequestDigest) {
        self.rotate(now_ms);
        if self.current.len() >= MOST_RECENT {
            self.next_generation(now_ms);
        }
        self.current.insert(digest);
    }

    pub(super) fn has(&mut self, now_ms: u64, digest: &RequestDigest) -> bool {
        self.rotate(now_ms);
        self.current.contains(digest) || self.previous.contains(digest)
    }

    fn rotate(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        if age_ms >= RECENT_MS {
            self.next_generation(now_ms);
        }
        if age_ms >= 2 * RECENT_MS {
            self.previous.clear();
        }
    }

    fn next_generation(&mut self, now_ms: u64) {
        self.since_ms = now_ms;
        self.previous = std::mem::take(&mut self.current);
    }
}
