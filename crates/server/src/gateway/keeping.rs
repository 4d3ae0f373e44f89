//! Keeps quarantined requests in the store, for the case that all instances are lost.

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

/// Time from its start for an instance to be told what is known, before it reads the store
/// for it, a call: about when it knows routes and servers, so that its first requests
/// hardly wait. With 150 ms they had too little time left for their stages on a busy
/// machine (11 of 20 runs of a test beside ten busy processes).
const TOLD_WITHIN: Duration = Duration::from_millis(30);
/// Longest time between two looks at what is to be kept or forgotten.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a look, so that what comes together is looked at together.
const GATHER_TIME: Duration = Duration::from_millis(50);

/// Keeps quarantined requests in the store. Only the instance that schedules reads and
/// writes there: a read when it begins to, a write for each request, none in between.
pub(super) struct Keeper {
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) members: Arc<Members>,
    pub(super) store: StoreClient,
    pub(super) clock: Clock,
    /// Whether the store has nothing to read when this instance starts.
    pub(super) is_first_start: bool,
    pub(super) log: Logger,
}

impl Keeper {
    /// Learns what was known before this instance started, from the instance that
    /// schedules or, where that has not told in time, from the store.
    pub(super) async fn learn(self: Arc<Self>) {
        if self.quarantine.loaded(TOLD_WITHIN).await {
            return;
        }
        if !self.read().await {
            warn!(self.log, "requests that end servers not known yet");
        }
        self.quarantine.on_loaded();
    }

    /// Runs for as long as the instance does.
    pub(super) async fn run(self: Arc<Self>) {
        let mut has_read = self.is_first_start;
        if has_read {
            self.quarantine.on_loaded();
        }
        let mut kept_to = 0;
        let mut era = self.store.era();
        loop {
            let changed = self.quarantine.changed.notified();
            let look = if self.is_waited_for(has_read) {
                GATHER_TIME
            } else {
                LOOK_INTERVAL
            };
            // Whichever comes first, it is time to look.
            let _ = time::timeout(look, changed).await;
            time::sleep(GATHER_TIME).await;
            self.quarantine.book().forget_expired(self.clock.now_ms());
            if self.members.reader() != StoreRole::Scheduler {
                // Another one writes meanwhile.
                has_read = false;
                continue;
            }
            if era != self.store.era() {
                era = self.store.era();
                info!(self.log, "quarantine to be kept again"; "era" => era);
                self.quarantine.book().on_store_lost();
                has_read = false;
                kept_to = 0;
            }
            if !has_read {
                has_read = self.read().await;
                // Without the store it goes by what the others tell.
                self.quarantine.on_loaded();
            }
            let revision = self.quarantine.book().revision();
            if has_read && kept_to != revision && self.write_all().await {
                kept_to = revision;
            }
        }
    }

    /// Tells whether this instance schedules and has not read the store for it.
    fn is_waited_for(&self, has_read: bool) -> bool {
        !has_read && self.members.reader() == StoreRole::Scheduler
    }

    /// Reads what is kept; tells whether it could.
    async fn read(&self) -> bool {
        if self.store.begin().is_err() {
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
            match quarantine::decode_kept(record) {
                Ok(kept) => stored.extend(kept),
                Err(err) => {
                    warn!(self.log, "quarantined request not understood"; "key" => &record.key,
                        "error" => %err);
                }
            }
        }
        info!(self.log, "quarantine read"; "requests" => stored.len());
        let now_ms = self.clock.now_ms();
        self.quarantine.book().on_loaded(now_ms, stored);
        true
    }

    /// Writes what is not kept yet; tells whether all of it is.
    async fn write_all(&self) -> bool {
        let to_keep = self.quarantine.book().unpersisted();
        for stored in to_keep {
            if let Err(err) = self.write(&stored).await {
                warn!(self.log, "quarantine not kept"; "digest" => %stored.digest,
                    "error" => %err);
                return false;
            }
            info!(self.log, "quarantine kept"; "digest" => %stored.digest,
                "ends" => stored.ends.len());
            self.quarantine.book().on_persisted(&stored);
        }
        true
    }

    async fn write(&self, stored: &StoredCrashes) -> Result<()> {
        self.store.write(quarantine::write_kept(stored)?).await
    }
}
