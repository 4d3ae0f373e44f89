//! Stores records of streams, and which software versions alone have served, in case all instances
//! are lost.
//!
//! Only the scheduler of a cell reads and writes there: the others send it their records, and ask it
//! about streams that they don't know.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use savoryvane_core::{
    forwarding::{Position, SoleVersions, StreamRecord},
    ids::{InstanceName, PoolName, SoftwareVersion},
};
use savoryvane_platform::{
    servers,
    store::{Record, Topic},
    streams,
};
use savoryvane_wire::peer::Message;
use slog::{Logger, info, warn};
use tokio::time::{self, Instant};

use super::{
    freshness::Freshness,
    members::Members,
    routing_view::RoutingView,
    store::{ReadOutcome, Result, StoreClient, StoreError},
    stream_origins::StreamOrigins,
};
use crate::clock::Clock;

/// Longest time between two checks for something to store.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same while the stored records are to be read, for which callers wait.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a record is added, so that records of the same time go to the scheduler together.
const FORWARD_DELAY: Duration = Duration::from_millis(100);
/// The same until they are stored: the store's calls are few. What began in this time before all
/// instances are lost is refused.
const STORE_DELAY: Duration = Duration::from_millis(400);
/// Most records in one write or message.
const MAX_BATCH: usize = 256;
/// Timeout for the scheduler to accept records.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest interval between two writes of the versions that alone have served.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// The same while only the register grows. What is stored helps only while the register's records
/// since then are retained, for 20 s where that is shortest.
const POSITION_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Stores what instances that start after a loss of all need to know of streams.
pub(super) struct StreamStore {
    pub(super) origins: Arc<StreamOrigins>,
    pub(super) members: Arc<Members>,
    pub(super) view: Arc<RoutingView>,
    pub(super) freshness: Arc<Freshness>,
    pub(super) store: StoreClient,
    pub(super) clock: Clock,
    /// Whether the store is empty when this instance starts.
    pub(super) is_first_start: bool,
    pub(super) log: Logger,
}

/// The last write of the versions that alone have served.
struct WrittenVersions {
    versions: SoleVersions,
    at: Instant,
}

impl WrittenVersions {
    /// Returns whether `current` has to be written.
    fn is_outdated(&self, current: &SoleVersions) -> bool {
        let has_changed = self.versions.services != current.services
            || self.versions.config_version != current.config_version;
        let elapsed = self.at.elapsed();
        (has_changed && elapsed >= MIN_WRITE_INTERVAL)
            || (self.versions.register != current.register && elapsed >= POSITION_WRITE_INTERVAL)
    }
}

impl StreamStore {
    /// Runs as long as the instance.
    pub(super) async fn run(self) {
        let mut has_read = self.is_first_start;
        let mut written: Option<WrittenVersions> = None;
        loop {
            let check_interval = match has_read || !self.is_read_possible() {
                true => CHECK_INTERVAL,
                false => READ_CHECK_INTERVAL,
            };
            let added = self.origins.backlog_added.notified();
            if time::timeout(check_interval, added).await.is_ok() {
                let delay = match self.members.is_scheduler() {
                    true => STORE_DELAY,
                    false => FORWARD_DELAY,
                };
                time::sleep(delay).await;
            }
            match self.members.scheduler() {
                Some(scheduler) if self.members.is_self(&scheduler) => {
                    if !has_read && self.is_read_possible() {
                        has_read = self.read().await;
                    }
                    self.origins.set_stored_records_read(has_read);
                    if has_read {
                        self.write_records().await;
                        self.write_sole_versions(&mut written).await;
                    }
                }
                Some(scheduler) => {
                    // Another instance writes meanwhile.
                    has_read = false;
                    written = None;
                    self.origins.set_stored_records_read(false);
                    let records = self.origins.take_from_backlog(MAX_BATCH);
                    self.forward(&scheduler, records).await;
                }
                None => {}
            }
        }
    }

    /// Returns whether this instance is the scheduler and knows routes and servers, by which it
    /// judges what it reads.
    fn is_read_possible(&self) -> bool {
        self.members.is_scheduler()
            && self.view.table().is_some()
            && !self.view.directory().is_empty()
    }

    /// Sends records to the scheduler, which stores them.
    async fn forward(&self, scheduler: &InstanceName, records: Vec<StreamRecord>) {
        if records.is_empty() {
            return;
        }
        let message = Message::StreamRecords(records.clone());
        let peers = self.members.peers();
        let response = peers
            .request(scheduler, None, &message, FORWARD_TIMEOUT)
            .await;
        if !matches!(response, Ok(Message::Ack(_))) {
            self.origins.add_to_backlog(records);
        }
    }

    /// Writes the records that wait.
    async fn write_records(&self) {
        loop {
            let records = self.origins.take_from_backlog(MAX_BATCH);
            if records.is_empty() {
                return;
            }
            if let Err(err) = self.try_write(&records).await {
                warn!(self.log, "stream records not stored"; "records" => records.len(),
                    "error" => %err);
                self.origins.add_to_backlog(records);
                return;
            }
            metrics::counter!("savoryvane_stream_records_stored_total")
                .increment(records.len() as u64);
        }
    }

    async fn try_write(&self, records: &[StreamRecord]) -> Result<()> {
        let cell = self.members.cell().cell();
        self.store
            .write(streams::write_records(cell, records)?)
            .await
    }

    /// Writes which versions alone have served, if that has changed.
    async fn write_sole_versions(&self, written: &mut Option<WrittenVersions>) {
        let current = self.sole_versions();
        let is_outdated = match written {
            Some(written) => written.is_outdated(&current),
            None => !current.services.is_empty(),
        };
        if !is_outdated || self.store.try_begin().is_err() {
            return;
        }
        let cell = self.members.cell().cell();
        let result = match streams::write_sole_versions(cell, &current) {
            Ok(call) => self.store.write(call).await,
            Err(err) => Err(err.into()),
        };
        match result {
            Ok(()) => {
                info!(self.log, "sole versions stored"; "services" => current.services.len(),
                    "register" => current.register.offset, "version" => current.config_version);
                *written = Some(WrittenVersions {
                    versions: current,
                    at: Instant::now(),
                });
            }
            Err(err) => warn!(self.log, "sole versions not stored"; "error" => %err),
        }
    }

    /// Returns which versions alone have served, as far as this instance knows.
    fn sole_versions(&self) -> SoleVersions {
        let config_version = self.view.version();
        // The lock keeps the register at one position meanwhile.
        let directory = self.view.directory();
        let now_ms = self.clock.now_ms();
        let mut services = self.view.served_software().sole_versions(now_ms);
        for entry in directory.entries() {
            if services.get(&entry.service) != entry.software.as_ref() {
                services.remove(&entry.service);
            }
        }
        SoleVersions {
            services,
            config_version,
            register: directory.cursor().position(),
        }
    }

    /// Reads what earlier instances stored; returns whether that succeeded.
    async fn read(&self) -> bool {
        if self.store.try_begin().is_err() {
            return false;
        }
        // Moves of routes and gaps of the register during the read end what it finds.
        let began_ms = self.clock.now_ms();
        self.view
            .served_software()
            .on_register_age(began_ms, self.freshness.servers_age_ms());
        let read = async {
            let records = self.read_records().await?;
            let sole = self.read_sole_versions().await?;
            Ok::<_, StoreError>((records, sole))
        };
        let (records, sole) = match read.await {
            Ok(read) => read,
            Err(err) => {
                warn!(self.log, "stream records not read"; "error" => %err);
                return false;
            }
        };
        info!(self.log, "stream records read"; "records" => records.len(),
            "sole_versions" => sole.len());
        self.origins.insert_shared(records);
        self.view.served_software().inherit(began_ms, sole);
        true
    }

    async fn read_records(&self) -> Result<Vec<StreamRecord>> {
        let cell = self.members.cell().cell();
        let stored = self.store.read_retained(Topic::Streams(cell)).await?;
        let mut records = Vec::new();
        for record in &stored {
            match streams::decode_records(record) {
                Ok(decoded) => records.extend(decoded),
                Err(err) => warn!(self.log, "invalid stream records"; "error" => %err),
            }
        }
        Ok(records)
    }

    /// Reads which versions alone have served each service, up to now.
    async fn read_sole_versions(&self) -> Result<BTreeMap<PoolName, SoftwareVersion>> {
        let key = streams::sole_versions_key(self.members.cell().cell());
        let newest = self.store.newest(Topic::Software).await?;
        let stored = newest.records.iter().find(|record| record.key == key);
        let Some(value) = stored.and_then(|record| record.value.as_ref()) else {
            return Ok(BTreeMap::new());
        };
        let sole = match streams::decode_sole_versions(value) {
            Ok(sole) if sole.config_version == self.view.version() => sole,
            Ok(_) => return Ok(BTreeMap::new()),
            Err(err) => {
                warn!(self.log, "invalid sole versions"; "error" => %err);
                return Ok(BTreeMap::new());
            }
        };
        let mut services = sole.services;
        let Some(later) = self.read_register(sole.register).await? else {
            return Ok(BTreeMap::new());
        };
        for record in &later {
            let Some(value) = &record.value else { continue };
            if let Ok(entry) = servers::decode(&record.key, sole.register, value)
                && services.get(&entry.service) != entry.software.as_ref()
            {
                services.remove(&entry.service);
            }
        }
        Ok(services)
    }

    /// Reads the records of the register from `from` on; returns `None` if some are no longer
    /// retained.
    async fn read_register(&self, from: Position) -> Result<Option<Vec<Record>>> {
        let mut all = Vec::new();
        let mut at = from;
        loop {
            match self.store.read(Topic::Servers, at, Duration::ZERO).await? {
                ReadOutcome::Records { records, next, .. } => {
                    if next == at.offset {
                        return Ok(Some(all));
                    }
                    at.offset = next;
                    all.extend(records);
                }
                ReadOutcome::Trimmed => return Ok(None),
            }
        }
    }
}
