//! Persists quarantined requests and prompt parts in the store, in case all instances are lost.

use std::{sync::Arc, time::Duration};

use savoryvane_core::{forwarding::StoreRole, poison::StoredCrashes};
use savoryvane_platform::{quarantine, store::Topic};
use slog::{Logger, info, warn};
use tokio::time;

use super::{
    members::Members,
    quarantine::Quarantine,
    store::{Result, StoreClient},
};
use crate::clock::Clock;

/// Time from the start of an instance to receive the known crashes from a peer before it
/// reads them from the store, which takes a call: about as long as it takes to learn
/// routes and servers, so that its first requests hardly wait. With 150 ms they had too
/// little time left for their stages on a busy machine (in 11 of 20 test runs alongside
/// ten busy processes).
const PEER_TIMEOUT: Duration = Duration::from_millis(30);
/// Longest time between two checks for requests to persist or to expire.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a wakeup, so that changes that arrive together are written together.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Persists quarantined requests and prompt parts in the store. Only the scheduler reads and writes there:
/// one read when it becomes the scheduler and one write per request, with no polling in
/// between.
pub(super) struct QuarantineStore {
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) members: Arc<Members>,
    pub(super) store: StoreClient,
    pub(super) clock: Clock,
    /// Whether the store is empty when this instance starts.
    pub(super) is_first_start: bool,
    pub(super) log: Logger,
}

impl QuarantineStore {
    /// Loads the crashes that were known before this instance started, from the scheduler
    /// or, if that does not send them in time, from the store.
    pub(super) async fn load(self: Arc<Self>) {
        if self.quarantine.wait_loaded(PEER_TIMEOUT).await {
            return;
        }
        if !self.read().await {
            warn!(self.log, "known crashes not loaded yet");
        }
        self.quarantine.on_loaded();
    }

    /// Runs as long as the instance.
    pub(super) async fn run(self: Arc<Self>) {
        let mut has_read = self.is_first_start;
        if has_read {
            self.quarantine.on_loaded();
        }
        let mut persisted_revision = 0;
        let mut era = self.store.era();
        loop {
            let changed = self.quarantine.changed.notified();
            let max_wait = if self.is_read_pending(has_read) {
                BATCH_DELAY
            } else {
                CHECK_INTERVAL
            };
            // A change and the timeout have the same effect.
            let _ = time::timeout(max_wait, changed).await;
            time::sleep(BATCH_DELAY).await;
            self.quarantine
                .tracker()
                .forget_expired(self.clock.now_ms());
            if self.members.reader() != StoreRole::Scheduler {
                // Another instance writes meanwhile.
                has_read = false;
                continue;
            }
            if era != self.store.era() {
                era = self.store.era();
                info!(self.log, "quarantine has to be persisted again"; "era" => era);
                self.quarantine.tracker().on_store_lost();
                has_read = false;
                persisted_revision = 0;
            }
            if !has_read {
                has_read = self.read().await;
                // Without the store, the reports of the other instances have to do.
                self.quarantine.on_loaded();
            }
            let revision = self.quarantine.tracker().revision();
            if has_read && persisted_revision != revision && self.write_all().await {
                persisted_revision = revision;
            }
        }
    }

    /// Returns whether this instance is the scheduler and has not read the store yet.
    fn is_read_pending(&self, has_read: bool) -> bool {
        !has_read && self.members.reader() == StoreRole::Scheduler
    }

    /// Reads the persisted requests; returns whether that succeeded.
    async fn read(&self) -> bool {
        if self.store.try_begin().is_err() {
            return false;
        }
        let records = match self.store.newest(Topic::Quarantine).await {
            Ok(newest) => newest.records,
            Err(err) => {
                warn!(self.log, "quarantine not read"; "error" => %err);
                return false;
            }
        };
        let mut stored: Vec<StoredCrashes> = Vec::new();
        for record in &records {
            match quarantine::decode_crashes(record) {
                Ok(kept) => stored.extend(kept),
                Err(err) => {
                    warn!(self.log, "invalid quarantine entry"; "key" => &record.key,
                        "error" => %err);
                }
            }
        }
        info!(self.log, "quarantine read"; "requests" => stored.len());
        let now_ms = self.clock.now_ms();
        self.quarantine.tracker().on_loaded(now_ms, stored);
        true
    }

    /// Writes the requests that are not persisted yet; returns whether all of them are
    /// now.
    async fn write_all(&self) -> bool {
        let unpersisted = self.quarantine.tracker().unpersisted();
        for stored in unpersisted {
            if let Err(err) = self.write(&stored).await {
                warn!(self.log, "quarantine not persisted"; "subject" => %stored.subject,
                    "error" => %err);
                return false;
            }
            info!(self.log, "quarantine kept"; "subject" => %stored.subject,
                "ends" => stored.ends.len());
            self.quarantine.tracker().on_persisted(&stored);
        }
        true
    }

    async fn write(&self, stored: &StoredCrashes) -> Result<()> {
        self.store.write(quarantine::write_crashes(stored)?).await
    }
}
