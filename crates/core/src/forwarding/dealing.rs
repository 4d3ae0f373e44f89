//! Deals what a server takes out to instances that don't ask each other.
//!
//! All instances that know the same list find the same owners by a rendezvous hash of
//! their names with that of the server, without a message and across a cut.

use std::collections::VecDeque;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{BackendName, InstanceName};

/// The listed instances, as one of them sees them.
#[derive(Debug)]
pub(super) struct Dealing {
    own: u64,
    /// Hashes of the names of all listed instances.
    listed: Vec<u64>,
}

impl Dealing {
    /// Creates the view of `instance`, which knows no other.
    pub(super) fn new(instance: &InstanceName) -> Self {
        Self {
            own: hash(instance),
            listed: Vec::new(),
        }
    }

    /// Takes over the list of instances.
    pub(super) fn set_listed<'a>(&mut self, instances: impl IntoIterator<Item = &'a InstanceName>) {
        self.listed = instances.into_iter().map(hash).collect();
    }

    /// Returns how many instances are listed.
    pub(super) fn listed(&self) -> usize {
        self.listed.len()
    }

    /// Returns how many listed instances come before this one at `server`, and none where
    /// this one is not listed yet.
    pub(super) fn rank(&self, server: &BackendName) -> Option<usize> {
        if !self.listed.contains(&self.own) {
            return None;
        }
        let seed = xxh3_64(server.as_str().as_bytes());
        let rank = |instance: &u64| xxh3_64_with_seed(&instance.to_le_bytes(), seed);
        let own_rank = rank(&self.own);
        let before = self.listed.iter().filter(|other| rank(other) < own_rank);
        Some(before.count())
    }

    /// Returns how many of `all` requests to `server` are this instance's. One that is not
    /// listed yet has none.
    pub(super) fn part(&self, server: &BackendName, all: usize) -> usize {
        let Some(before) = self.rank(server) else {
            return 0;
        };
        let listed = self.listed.len();
        all / listed + usize::from(before < all % listed)
    }
}

/// Times at which requests were sent within a window.
#[derive(Clone, Debug, Default)]
pub(super) struct SentTimes(VecDeque<u64>);

impl SentTimes {
    /// Returns the requests that were sent in the `window_ms` before now.
    pub(super) fn count(&self, now_ms: u64, window_ms: u64) -> usize {
        let sent = self.0.iter().rev();
        sent.take_while(|at_ms| **at_ms + window_ms > now_ms)
            .count()
    }

    /// Returns the time until fewer than `most` were sent in the `window_ms` before, in ms.
    pub(super) fn opens_in_ms(&self, now_ms: u64, window_ms: u64, most: usize) -> Option<u64> {
        let last = most.checked_sub(1)?;
        let blocking = self.0.iter().rev().nth(last);
        Some(blocking.map_or(0, |at_ms| (at_ms + window_ms).saturating_sub(now_ms)))
    }

    /// Returns when a request was sent last, in ms.
    pub(super) fn last_ms(&self) -> Option<u64> {
        self.0.back().copied()
    }

    /// Notes that a request was sent, and forgets those from before the window.
    pub(super) fn on_sent(&mut self, now_ms: u64, window_ms: u64) {
        while self
            .0
            .front()
            .is_some_and(|at_ms| at_ms + window_ms <= now_ms)
        {
            self.0.pop_front();
        }
        self.0.push_back(now_ms);
    }

    /// Takes the last one back, which did not leave.
    pub(super) fn on_not_sent(&mut self) {
        self.0.pop_back();
    }
}

fn hash(instance: &InstanceName) -> u64 {
    xxh3_64(instance.as_str().as_bytes())
}
