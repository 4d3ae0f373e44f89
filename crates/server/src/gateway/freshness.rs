//! How old what an instance knows of routes and servers is.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Clock;

/// Age from which what the store said last counts as old, in ms: a few reads
/// have failed by then.
const FRESH_MS: u64 = 2_000;
/// Age up to which what a peer tells is as good as what the store says, in ms:
/// peers that read the store do so every 0.8 s, and are asked every 0.25 s.
const RELAYED_MS: u64 = 1_400;

/// When what an instance knows was last known to be the newest.
#[derive(Debug)]
pub(super) struct Freshness {
    clock: Clock,
    configuration_ms: AtomicU64,
    servers_ms: AtomicU64,
    /// Time until which a peer has told all that it knew, in ms.
    relayed_ms: AtomicU64,
}

impl Freshness {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            configuration_ms: AtomicU64::new(0),
            servers_ms: AtomicU64::new(0),
            relayed_ms: AtomicU64::new(0),
        }
    }

    /// Notes that the configuration was the newest `age_ms` ago.
    pub(super) fn on_configuration(&self, age_ms: u64) {
        self.note(&self.configuration_ms, age_ms);
    }

    /// Notes that the servers were the newest `age_ms` ago.
    pub(super) fn on_servers(&self, age_ms: u64) {
        self.note(&self.servers_ms, age_ms);
    }

    /// Notes that a peer has told all that it knew, which the store had told
    /// `age_ms` ago.
    pub(super) fn on_relayed(&self, age_ms: u64) {
        self.note(&self.relayed_ms, age_ms);
    }

    /// Returns the age of the configuration, in ms.
    pub(super) fn configuration_age_ms(&self) -> u64 {
        self.age_ms(&self.configuration_ms)
    }

    /// Returns the age of the servers, in ms.
    pub(super) fn servers_age_ms(&self) -> u64 {
        self.age_ms(&self.servers_ms)
    }

    /// Tells whether both are known to have been the newest a short time ago.
    pub(super) fn is_fresh(&self) -> bool {
        self.configuration_age_ms() <= FRESH_MS && self.servers_age_ms() <= FRESH_MS
    }

    /// Tells whether a peer tells what the store says, so that this instance
    /// need not ask.
    pub(super) fn is_relayed(&self) -> bool {
        self.age_ms(&self.relayed_ms) <= RELAYED_MS
    }

    fn age_ms(&self, at: &AtomicU64) -> u64 {
        match at.load(Ordering::Relaxed) {
            0 => u64::MAX,
            at_ms => self.clock.now_ms().saturating_sub(at_ms),
        }
    }

    fn note(&self, at: &AtomicU64, age_ms: u64) {
        let at_ms = self.clock.now_ms().saturating_sub(age_ms).max(1);
        at.fetch_max(at_ms, Ordering::Relaxed);
    }
}
