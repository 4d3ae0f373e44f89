//! Tracks which requests recently got a complete response, and which prompt parts one that has
//! begun, and when that was last.

use std::collections::HashMap;

use super::CrashSubject;

/// Time for which a response exonerates a request, in ms: long enough for a request that is sent
/// every second or two, short enough that a request that crashes a new release of a server is
/// soon detected.
const RECENT_MS: u64 = 5_000;
/// Most subjects of one generation; beyond that, earlier ones are evicted sooner.
const MAX_PER_GENERATION: usize = 4_096;

/// Recently answered subjects and the time of the last response, in two generations.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    current: HashMap<CrashSubject, u64>,
    previous: HashMap<CrashSubject, u64>,
    generation_start_ms: u64,
}

impl RecentAnswers {
    pub(super) fn add(&mut self, now_ms: u64, subject: CrashSubject) {
        self.rotate_if_due(now_ms);
        if self.current.len() >= MAX_PER_GENERATION {
            self.start_generation(now_ms);
        }
        self.current.insert(subject, now_ms);
    }

    pub(super) fn contains(&mut self, now_ms: u64, subject: &CrashSubject) -> bool {
        self.last_ms(now_ms, subject).is_some()
    }

    /// Returns the time of the last response, in ms, if that is recent.
    pub(super) fn last_ms(&mut self, now_ms: u64, subject: &CrashSubject) -> Option<u64> {
        self.rotate_if_due(now_ms);
        let current = self.current.get(subject);
        current.or_else(|| self.previous.get(subject)).copied()
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
