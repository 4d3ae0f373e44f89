//! Follows the store: the configuration, the register of servers, and the list
//! of our own instances.

use std::{sync::Arc, time::Duration};

use savoryvane_core::{
    forwarding::{DirectoryUpdate, ServerEntry},
    ids::BackendName,
};
use savoryvane_platform::{
    configuration, servers,
    store::{CONFIGURATION_KEY, Read, Record, Topic},
};
use slog::{Logger, info, warn};
use tokio::time::{self, Instant};

use super::{
    freshness::Freshness,
    knowledge::Knowledge,
    members::Members,
    store::{Result, StoreClient, StoreError},
};

/// Time that one read of the configuration waits for a change where nobody else
/// tells it: short enough that a connection that went silent is noticed within
/// the time in which a change has to be in force.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_000);
/// Time between two looks at whether the instance that schedules still tells
/// changes: meanwhile the store is left alone, since its calls are dear. Where it
/// stops, what it told is at most 1.4 s old, which leaves time for a read within
/// the 2 s in which a change has to be in force.
const RELAYED_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads of the register of servers. Servers write there every
/// 1.2 s, so that a waiting read would be answered at once all the time; a
/// leaving server has to be left alone after 2 s.
const SERVERS_INTERVAL: Duration = Duration::from_millis(800);
/// Time between two reads of the list of instances.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(5);
/// The same while the instance that schedules tells changes.
const RELAYED_INSTANCES_INTERVAL: Duration = Duration::from_secs(30);
/// The same in the first seconds, in which all instances start.
const FIRST_INSTANCES_INTERVAL: Duration = Duration::from_secs(1);
/// Reads of the list of instances in those first seconds.
const FIRST_INSTANCES_READS: u32 = 4;
/// Pause after a call that failed first; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after calls that failed: a store that is back is noticed
/// within this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time for servers to write themselves again after the store was away;
/// entries that are still missing then are gone.
const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// A topic that is followed, and how its calls go.
struct Topical {
    topic: Topic,
    name: &'static str,
    log: Logger,
    /// Offset of the next record; none when the newest of each key have to be
    /// read first.
    next: Option<u64>,
    failing_since: Option<Instant>,
    pause: Duration,
}

impl Topical {
    fn new(topic: Topic, name: &'static str, log: Logger) -> Self {
        Self {
            topic,
            name,
            log,
            next: None,
            failing_since: None,
            pause: FIRST_PAUSE,
        }
    }

    /// Reads what is new, waiting up to `wait`. The second value tells whether
    /// it is the newest of every key and not what has changed.
    async fn read(&mut self, store: &StoreClient, wait: Duration) -> Result<(Vec<Record>, bool)> {
        if let Some(from) = self.next {
            match store.read(self.topic, from, wait).await? {
                Read::Records { end, records } => {
                    let after = records.last().map_or(from, |record| record.offset + 1);
                    self.next = Some(if records.is_empty() { end } else { after });
                    return Ok((records, false));
                }
                Read::Trimmed => {
                    info!(self.log, "records expired"; "topic" => self.name, "from" => from);
                }
            }
        }
        let (records, end) = store.newest(self.topic).await?;
        self.next = Some(end);
        Ok((records, true))
    }

    /// Notes how a read went; returns how long it had failed before it did not.
    fn on_read(&mut self, result: &std::result::Result<(), &StoreError>) -> Option<Duration> {
        match result {
            Ok(()) => {
                self.pause = FIRST_PAUSE;
                let lasted = self.failing_since.take()?.elapsed();
                info!(self.log, "store regained"; "topic" => self.name,
                    "away_ms" => lasted.as_millis() as u64);
                Some(lasted)
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

    async fn pause(&mut self) {
        time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

/// Follows the configuration.
pub(super) async fn configuration(
    store: StoreClient,
    knowledge: Arc<Knowledge>,
    freshness: Arc<Freshness>,
    log: Logger,
) {
    let mut topical = Topical::new(Topic::Operator, "configuration", log.clone());
    loop {
        if topical.next.is_some() && freshness.is_relayed() {
            time::sleep(RELAYED_INTERVAL).await;
            continue;
        }
        let read = topical.read(&store, CONFIGURATION_WAIT).await;
        topical.on_read(&read.as_ref().map(drop));
        let Ok((records, _)) = read else {
            topical.pause().await;
            continue;
        };
        freshness.on_configuration(0);
        let newest = records
            .iter()
            .rev()
            .find(|record| record.key == CONFIGURATION_KEY);
        if let Some(value) = newest.and_then(|record| record.value.as_ref()) {
            match configuration::decode(value) {
                Ok(config) => knowledge.apply_config(config, "store"),
                Err(err) => warn!(log, "configuration not understood"; "error" => %err),
            }
        }
    }
}

/// Follows the register of servers.
pub(super) async fn servers(
    store: StoreClient,
    knowledge: Arc<Knowledge>,
    freshness: Arc<Freshness>,
    log: Logger,
) {
    let mut topical = Topical::new(Topic::Servers, "servers", log.clone());
    // While servers write themselves again, none counts as gone.
    let mut keeps_until: Option<Instant> = None;
    loop {
        let began = Instant::now();
        if freshness.is_relayed() {
            // What was read before is older than what is told now.
            topical.next = None;
            keeps_until = None;
            time::sleep(RELAYED_INTERVAL).await;
            continue;
        }
        if keeps_until.is_some_and(|until| until <= began) {
            keeps_until = None;
            topical.next = None;
        }
        let read = topical.read(&store, Duration::ZERO).await;
        if topical.on_read(&read.as_ref().map(drop)).is_some() {
            keeps_until = Some(Instant::now() + RETURN_GRACE);
        }
        let Ok((records, is_whole)) = read else {
            topical.pause().await;
            continue;
        };
        freshness.on_servers(0);
        let mut records: Vec<_> = records
            .iter()
            .map(|record| (BackendName::new(&record.key), entry(&log, record)))
            .collect();
        if is_whole && keeps_until.is_none() {
            let listing = records.into_iter().filter_map(|(_, entry)| entry);
            let listing = DirectoryUpdate::Whole(listing.collect());
            knowledge.update_servers(listing, "store");
        } else {
            records.retain(|(_, entry)| keeps_until.is_none() || entry.is_some());
            knowledge.apply_servers(records);
        }
        time::sleep_until(began + SERVERS_INTERVAL).await;
    }
}

fn entry(log: &Logger, record: &Record) -> Option<ServerEntry> {
    let value = record.value.as_ref()?;
    match servers::decode(&record.key, value) {
        Ok(entry) => Some(entry),
        Err(err) => {
            warn!(log, "server not understood"; "server" => &record.key, "error" => %err);
            None
        }
    }
}

/// Writes this instance into the list of instances, and follows the list.
pub(super) async fn instances(
    store: StoreClient,
    members: Arc<Members>,
    freshness: Arc<Freshness>,
    log: Logger,
) {
    let mut topical = Topical::new(Topic::Instances, "instances", log.clone());
    let mut is_written = false;
    let mut reads = 0;
    loop {
        if !is_written {
            match members.write_self(&store).await {
                Ok(()) => is_written = true,
                Err(err) => {
                    warn!(log, "instance not listed yet"; "error" => %err);
                    topical.pause().await;
                    continue;
                }
            }
        }
        let read = topical.read(&store, Duration::ZERO).await;
        topical.on_read(&read.as_ref().map(drop));
        match read {
            Ok((records, is_whole)) => members.apply(records, is_whole),
            Err(_) => {
                topical.pause().await;
                continue;
            }
        }
        reads += 1;
        let interval = if reads <= FIRST_INSTANCES_READS {
            FIRST_INSTANCES_INTERVAL
        } else if freshness.is_relayed() {
            RELAYED_INSTANCES_INTERVAL
        } else {
            INSTANCES_INTERVAL
        };
        time::sleep(interval).await;
    }
}
