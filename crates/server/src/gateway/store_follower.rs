//! Follows the store's topics for the configuration and the list of instances.

use std::{sync::Arc, time::Duration};

use savoryvane_core::forwarding::{CellLayout, Position, StoreRole};
use savoryvane_platform::{
    configuration,
    store::{CONFIGURATION_KEY, Topic},
};
use slog::{Logger, info, warn};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use super::{
    batch::Batch,
    freshness::Freshness,
    members::Members,
    routing_view::RoutingView,
    store::{ReadOutcome, Result, StoreClient, StoreError},
};

/// Time that one read of the configuration waits for a change where no other instance
/// sends updates: short enough to detect a connection that went silent within the time in
/// which a change has to be in force.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_000);
/// Interval between two checks whether another instance still sends updates. Meanwhile
/// this instance does not call the store, since store calls are expensive.
pub(super) const UPDATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two reads of the list of instances.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(5);
/// The same in the first seconds, in which all instances start.
const STARTUP_INSTANCES_INTERVAL: Duration = Duration::from_secs(1);
/// Delay from this instance's write into the list to the next read of it: all instances
/// of a deployment start within 300 ms of each other.
const FIRST_READ_DELAY: Duration = Duration::from_millis(300);
/// Longest random delay before an instance that the store has lost writes itself again,
/// in ms: hundreds that are lost together spread their writes.
const MAX_REWRITE_DELAY_MS: u64 = 1_000;
/// Time for which a starting instance waits for the list, which says whether it starts from the
/// store or from the scheduler of its cell: several calls of a slow store.
pub(super) const LIST_WAIT: Duration = Duration::from_millis(1_000);
/// Number of reads of the list at the shorter interval.
const STARTUP_INSTANCES_READS: u32 = 4;

/// Dependencies of the tasks that follow the store.
#[derive(Clone, Debug)]
pub(super) struct StoreFollower {
    pub(super) store: StoreClient,
    pub(super) view: Arc<RoutingView>,
    pub(super) freshness: Arc<Freshness>,
    pub(super) members: Arc<Members>,
    /// Whether the store is empty when this instance starts.
    pub(super) is_first_start: bool,
    pub(super) log: Logger,
}

impl StoreFollower {
    /// Returns whether this instance gets its first state from peers.
    pub(super) fn starts_from_peers(&self) -> bool {
        self.is_first_start || self.freshness.relies_on_peers()
    }
}

/// Reads one topic, and tracks whether its reads fail.
pub(super) struct TopicReader {
    topic: Topic,
    name: &'static str,
    log: Logger,
    failing_since: Option<Instant>,
}

impl TopicReader {
    pub(super) fn new(topic: Topic, name: &'static str, log: &Logger) -> Self {
        Self {
            topic,
            name,
            log: log.clone(),
            failing_since: None,
        }
    }

    /// Reads the records from `from` on, waiting up to `wait` for one, or the latest
    /// record of each key where there is no `from`.
    pub(super) async fn read(
        &self,
        store: &StoreClient,
        from: Option<Position>,
        wait: Duration,
    ) -> Result<Batch> {
        if let Some(from) = from {
            match store.read(self.topic, from, wait).await? {
                ReadOutcome::Records {
                    records,
                    next,
                    sent_at,
                } => {
                    return Ok(Batch {
                        records,
                        is_snapshot: false,
                        era: from.era,
                        next,
                        sent_at,
                    });
                }
                ReadOutcome::Trimmed => {
                    info!(self.log, "records expired"; "topic" => self.name,
                        "from" => from.offset, "from_era" => from.era, "era" => store.era());
                }
            }
        }
        let snapshot = store.newest(self.topic).await?;
        Ok(Batch {
            records: snapshot.records,
            is_snapshot: true,
            era: snapshot.era,
            next: snapshot.end,
            sent_at: snapshot.sent_at,
        })
    }

    /// Records the outcome of a read; returns how long reads had failed when one succeeds
    /// again.
    pub(super) fn on_read<T>(
        &mut self,
        result: &std::result::Result<T, StoreError>,
    ) -> Option<Duration> {
        match result {
            Ok(_) => {
                let failed_for = self.failing_since.take()?.elapsed();
                info!(self.log, "store regained"; "topic" => self.name,
                    "away_ms" => failed_for.as_millis() as u64);
                Some(failed_for)
            }
            Err(err) => {
                if self.failing_since.is_none() {
                    self.failing_since = Some(Instant::now());
                    warn!(self.log, "store lost"; "topic" => self.name, "error" => %err);
                }
                None
            }
        }
    }

    /// Returns how long a read waits for a record: the first after a failure does not
    /// wait, so that the other instances learn soon that the store is back.
    fn read_wait(&self, usual: Duration) -> Duration {
        if self.failing_since.is_some() {
            Duration::ZERO
        } else {
            usual
        }
    }
}

/// Follows the configuration.
pub(super) async fn configuration(follower: StoreFollower) {
    let StoreFollower {
        store,
        view,
        freshness,
        members,
        log,
        ..
    } = follower.clone();
    let mut topic_reader = TopicReader::new(Topic::Operator, "configuration", &log);
    let mut next = None;
    members.listed(LIST_WAIT).await;
    loop {
        let skips_store = freshness.skips_store(members.reader()) && !view.is_behind();
        if skips_store && (next.is_some() || follower.starts_from_peers()) {
            time::sleep(UPDATE_CHECK_INTERVAL).await;
            continue;
        }
        if let Err(wait) = store.try_begin() {
            time::sleep(wait.min(UPDATE_CHECK_INTERVAL)).await;
            continue;
        }
        // A new reader has received nothing new for a while, and the others judge the age
        // of its state: if it waited the full time on top, they would all start to read
        // for themselves (68 calls of 30 instances at their start).
        let age = Duration::from_millis(freshness.configuration_age_ms());
        let wait = topic_reader.read_wait(CONFIGURATION_WAIT.saturating_sub(age));
        let read = topic_reader.read(&store, next, wait).await;
        topic_reader.on_read(&read);
        let Ok(batch) = read else {
            continue;
        };
        let read_to = Position {
            era: batch.era,
            offset: batch.next,
        };
        if next.replace(read_to).is_none() {
            freshness.on_synced(0);
        }
        freshness.on_configuration(0);
        view.apply_evacuations(&batch);
        let mut records = batch.records.iter().rev();
        let newest = records.find(|record| record.key == CONFIGURATION_KEY);
        if let Some(value) = newest.and_then(|record| record.value.as_ref()) {
            match configuration::decode(value) {
                Ok(config) => view.apply_config(config, "store"),
                Err(err) => warn!(log, "invalid configuration"; "error" => %err),
            }
        }
    }
}

/// Follows the list of instances, and writes this instance's entry where it is missing or
/// outdated. `list_written` is notified when this instance has written another entry.
pub(super) async fn instances(follower: StoreFollower, list_written: Arc<Notify>) {
    let StoreFollower {
        store,
        freshness,
        members,
        log,
        ..
    } = follower;
    let mut topic_reader = TopicReader::new(Topic::Instances, "instances", &log);
    let mut reads = 0;
    loop {
        let reader = members.reader();
        if reads > 0 && members.is_missing_in_copy() {
            rewrite_entry(&members, &store, &log).await;
        }
        if reads > 0 && reader != StoreRole::Scheduler && freshness.skips_store(reader) {
            time::sleep(UPDATE_CHECK_INTERVAL).await;
            continue;
        }
        if let Err(wait) = store.try_begin() {
            time::sleep(wait.min(UPDATE_CHECK_INTERVAL)).await;
            continue;
        }
        let from = members.list_cursor();
        let from = (reads > 0 && !from.is_start()).then(|| from.position());
        let read = topic_reader.read(&store, from, Duration::ZERO).await;
        topic_reader.on_read(&read);
        let Ok(batch) = read else {
            continue;
        };
        if reads == 0 && !members.is_own_entry_current(&batch) {
            write_first_entry(&members, &store, &log).await;
            continue;
        }
        members.apply_batch(batch);
        if reads == 0 && members.layout() != CellLayout::SINGLE {
            freshness.rely_on_peers();
        }
        reads += 1;
        let interval = if reads <= STARTUP_INSTANCES_READS {
            STARTUP_INSTANCES_INTERVAL
        } else {
            INSTANCES_INTERVAL
        };
        let _ = time::timeout(interval, list_written.notified()).await;
    }
}

/// Writes this instance's entry, and gives other starting instances time to write theirs: with
/// half a list, each of them would become its own scheduler.
async fn write_first_entry(members: &Members, store: &StoreClient, log: &Logger) {
    match members.write_own_entry(store).await {
        Ok(()) => time::sleep(FIRST_READ_DELAY).await,
        Err(err) => warn!(log, "instance entry not written yet"; "error" => %err),
    }
}

/// Writes this instance's entry again after the store was restored from a copy that lacks
/// it.
async fn rewrite_entry(members: &Members, store: &StoreClient, log: &Logger) {
    time::sleep(Duration::from_millis(rand::random_range(
        0..MAX_REWRITE_DELAY_MS,
    )))
    .await;
    if store.try_begin().is_err() {
        return;
    }
    match members.write_own_entry(store).await {
        Ok(()) => {
            members.on_entry_rewritten();
            info!(log, "instance entry rewritten"; "era" => store.era());
        }
        Err(err) => warn!(log, "instance entry not rewritten yet"; "error" => %err),
    }
}
