//! Since when the store has responded without an outage in which entries of servers expire.
//!
//! An instance that loses the store can't tell from its own calls whether the store was
//! unavailable or the instance was partitioned. In the first case no server could renew its
//! entry, and those that the register lacks afterwards get time to write theirs again. In the
//! second case the register was in force all the time, and they are gone. An instance that was in
//! touch throughout knows which of the two happened.

/// Longest interval between two responses that counts as no outage, in ms. Entries expire after
/// three missed heartbeats, which takes longer; updates without faults are younger.
const MAX_GAP_MS: u64 = 1_500;

/// Time for servers to write their entries again after the store was unavailable or was restored
/// from a copy, in ms: the 2 s of the platform, and a read, a query to the reading instance and
/// a response of a slow store, until the last entry written in that time is known to all.
pub const REWRITE_WINDOW_MS: u64 = 3_200;

/// Span of time in which an instance knew, itself or from others, that the store responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUptime {
    era: u64,
    /// First and last known response, in ms; none before the first.
    span_ms: Option<(u64, u64)>,
}

impl StoreUptime {
    /// Records that the store responded at `at_ms` with the register of `era`.
    pub fn on_response(&mut self, at_ms: u64, era: u64) {
        self.merge(at_ms, at_ms, era);
    }

    /// Records that another instance knows that the store responded from `first_ms` to `last_ms`
    /// in `era`. A later era begins a new span, since the store has lost entries.
    pub fn merge(&mut self, first_ms: u64, last_ms: u64, era: u64) {
        if era < self.era {
            return;
        }
        let known = self.span_ms.filter(|_| era == self.era);
        self.era = era;
        self.span_ms = Some(match known {
            Some((_, known_last_ms)) if first_ms > known_last_ms + MAX_GAP_MS => {
                (first_ms, last_ms)
            }
            Some(known) if last_ms + MAX_GAP_MS < known.0 => known,
            Some((known_first_ms, known_last_ms)) => {
                (first_ms.min(known_first_ms), last_ms.max(known_last_ms))
            }
            None => (first_ms, last_ms),
        });
    }

    /// Returns how long the store is known to have responded, in ms.
    pub fn duration_ms(&self) -> u64 {
        self.span_ms
            .map_or(0, |(first_ms, last_ms)| last_ms - first_ms)
    }

    /// Returns the time at which servers that the register lacks have had long enough to write
    /// their entries again, in ms; `None` before the first response.
    pub fn rewrites_end_ms(&self) -> Option<u64> {
        let (first_ms, _) = self.span_ms?;
        Some(first_ms + REWRITE_WINDOW_MS)
    }
}
