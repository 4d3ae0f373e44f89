//! Age of an instance's routes and servers.

use std::sync::{
    Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use savoryvane_core::forwarding::{PropagationBounds, StoreRole, StoreUptime};

use crate::{clock::Clock, lock::lock};

/// Records when an instance's routes and servers were last known to be current.
#[derive(Debug)]
pub(super) struct Freshness {
    clock: Clock,
    in_force: PropagationBounds,
    configuration_ms: AtomicU64,
    servers_ms: AtomicU64,
    /// Since when the store is known to have provided the servers without an outage.
    store_uptime: Mutex<StoreUptime>,
    /// Latest time at which this instance had everything that a peer or the store knew,
    /// in ms.
    synced_ms: AtomicU64,
    /// Whether this instance gets its first state from peers instead of the store.
    relies_on_peers: AtomicBool,
    /// Whether the scheduler reaches the store, as it last reported.
    scheduler_has_store: AtomicBool,
    /// Time of its last report that it does not, in ms.
    scheduler_lost_store_ms: AtomicU64,
}

impl Freshness {
    pub(super) fn new(clock: Clock, in_force: PropagationBounds) -> Self {
        Self {
            clock,
            in_force,
            configuration_ms: AtomicU64::new(0),
            servers_ms: AtomicU64::new(0),
            store_uptime: Mutex::default(),
            synced_ms: AtomicU64::new(0),
            relies_on_peers: AtomicBool::new(false),
            scheduler_has_store: AtomicBool::new(true),
            scheduler_lost_store_ms: AtomicU64::new(0),
        }
    }

    /// Records that the configuration was current `age_ms` ago.
    pub(super) fn on_configuration(&self, age_ms: u64) {
        self.record(&self.configuration_ms, age_ms);
    }

    /// Records that the servers were current `age_ms` ago, in an `era` of the store.
    pub(super) fn on_servers(&self, age_ms: u64, era: u64) {
        self.record(&self.servers_ms, age_ms);
        if age_ms < u64::MAX {
            let at_ms = self.clock.now_ms().saturating_sub(age_ms);
            lock(&self.store_uptime).on_response(at_ms, era);
        }
    }

    /// Records that a peer's servers were current `age_ms` ago, and that it knows of no outage
    /// of the store in the `uptime_ms` before.
    pub(super) fn on_peer_uptime(&self, age_ms: u64, uptime_ms: u64, era: u64) {
        if age_ms < u64::MAX {
            let last_ms = self.clock.now_ms().saturating_sub(age_ms);
            let first_ms = last_ms.saturating_sub(uptime_ms);
            lock(&self.store_uptime).merge(first_ms, last_ms, era);
        }
    }

    /// Returns how long the store is known to have responded without an outage, in ms.
    pub(super) fn store_uptime_ms(&self) -> u64 {
        lock(&self.store_uptime).duration_ms()
    }

    /// Returns the time until which servers that the register lacks may register again, in ms,
    /// as far as this instance knows of outages of the store.
    pub(super) fn rewrites_end_ms(&self) -> Option<u64> {
        lock(&self.store_uptime).rewrites_end_ms()
    }

    /// Records that this instance has everything that a peer or the store knew, which was
    /// current `age_ms` ago.
    pub(super) fn on_synced(&self, age_ms: u64) {
        self.record(&self.synced_ms, age_ms);
    }

    /// Records that this instance gets its first state from peers, which it expects within the
    /// time for which it relies on any update.
    pub(super) fn rely_on_peers(&self) {
        self.relies_on_peers.store(true, Ordering::Relaxed);
        self.on_synced(0);
    }

    /// Returns whether this instance gets its first state from peers.
    pub(super) fn relies_on_peers(&self) -> bool {
        self.relies_on_peers.load(Ordering::Relaxed)
    }

    /// Records whether the scheduler reaches the store.
    pub(super) fn on_scheduler_state(&self, has_store: bool) {
        self.scheduler_has_store.store(has_store, Ordering::Relaxed);
        if !has_store {
            self.record(&self.scheduler_lost_store_ms, 0);
        }
    }

    /// Returns whether the store seems to have been unavailable since the servers were
    /// last current: a call of this instance failed `failed_ago_ms` ago, or the scheduler
    /// could not reach it.
    pub(super) fn had_outage(&self, failed_ago_ms: Option<u64>) -> bool {
        let servers_age_ms = self.servers_age_ms();
        let scheduler_ago_ms = self.age_ms(&self.scheduler_lost_store_ms);
        let ago_ms = failed_ago_ms.map_or(scheduler_ago_ms, |ago_ms| ago_ms.min(scheduler_ago_ms));
        servers_age_ms < u64::MAX && ago_ms <= servers_age_ms
    }

    /// Returns the age of the configuration, in ms.
    pub(super) fn configuration_age_ms(&self) -> u64 {
        self.age_ms(&self.configuration_ms)
    }

    /// Returns the age of the servers, in ms.
    pub(super) fn servers_age_ms(&self) -> u64 {
        self.age_ms(&self.servers_ms)
    }

    /// Returns whether `reader` need not read the store, since updates reach it from a
    /// peer.
    pub(super) fn skips_store(&self, reader: StoreRole) -> bool {
        let has_store = self.scheduler_has_store.load(Ordering::Relaxed);
        self.age_ms(&self.synced_ms) < reader.store_read_age_ms(self.in_force, has_store)
    }

    /// Returns whether `reader`, which reaches the store if `has_store`, queries the
    /// reserves for updates.
    pub(super) fn queries_reserves(&self, reader: StoreRole, has_store: bool) -> bool {
        let oldest_ms = self.configuration_age_ms().max(self.servers_age_ms());
        oldest_ms >= reader.reserve_query_age_ms(self.in_force, has_store)
    }

    fn age_ms(&self, at: &AtomicU64) -> u64 {
        match at.load(Ordering::Relaxed) {
            0 => u64::MAX,
            at_ms => self.clock.now_ms().saturating_sub(at_ms),
        }
    }

    /// Records that something was so `age_ms` ago; `u64::MAX` stands for never.
    fn record(&self, at: &AtomicU64, age_ms: u64) {
        if age_ms == u64::MAX {
            return;
        }
        let at_ms = self.clock.now_ms().saturating_sub(age_ms).max(1);
        at.fetch_max(at_ms, Ordering::Relaxed);
    }
}
