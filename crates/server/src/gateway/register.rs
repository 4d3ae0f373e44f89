//! Follows the register of backend servers in the store.

use std::{collections::HashMap, sync::Arc, time::Duration};

use savoryvane_core::{
    forwarding::{DirectoryUpdate, Position, ServerEntry},
    ids::BackendName,
};
use savoryvane_platform::{
    servers,
    store::{Record, Topic},
};
use slog::{Logger, warn};
use tokio::time::{self, Instant};

use super::{
    batch::Batch,
    follow::{StoreFollower, TOLD_INTERVAL, Topical},
    knowledge::Knowledge,
};

/// Interval between two reads of the register of servers. Heartbeats add records all the
/// time, so a read that waits for one would return at once; a leaving server has to be
/// avoided within 2 s or more, as the settings say.
const INTERVAL: Duration = Duration::from_millis(800);
/// Age of the known register from which all of it is read, in ms: with one record a
/// second from each server, the records since then are as many as the servers. Entries
/// lapse after three heartbeats that the store did not accept, which takes longer.
const WHOLE_FROM_MS: u64 = 2_000;
/// Interval between two checks for servers that have not written their entries again in
/// time.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of unreadable entries whose log lines are remembered.
const MOST_UNREADABLE: usize = 1_024;

/// Follows the register of servers.
pub(super) async fn follow(follower: StoreFollower) {
    let mut topical = Topical::new(Topic::Servers, "servers", &follower.log);
    let mut unreadable = Unreadable::new(&follower.log);
    let mut has_read = false;
    loop {
        let began = Instant::now();
        let is_told = follower.freshness.is_told(follower.members.reader());
        if is_told && (has_read || follower.is_first_start) {
            time::sleep(TOLD_INTERVAL).await;
            continue;
        }
        if let Err(wait) = follower.store.begin() {
            time::sleep(wait.min(TOLD_INTERVAL)).await;
            continue;
        }
        let known = follower.knowledge.directory().cursor();
        let is_old = follower.freshness.servers_age_ms() > WHOLE_FROM_MS;
        let from = (!known.is_start() && !is_old).then(|| known.position());
        let read = topical.read(&follower.store, from, Duration::ZERO).await;
        topical.on_read(&read);
        let Ok(batch) = read else {
            continue;
        };
        // Entries may have lapsed during an outage; that is judged by the state before
        // this read.
        let had_outage = follower
            .freshness
            .had_outage(follower.store.failed_ago_ms());
        has_read = true;
        follower.freshness.on_servers(0);
        apply(&follower, &mut unreadable, batch, had_outage);
        time::sleep_until(began + INTERVAL).await;
    }
}

/// Periodically removes servers and evacuations that were not written again in time after
/// the store lost them.
pub(super) async fn settle(knowledge: Arc<Knowledge>) {
    loop {
        time::sleep(SETTLE_INTERVAL).await;
        knowledge.settle();
    }
}

/// Applies a read of the register.
fn apply(follower: &StoreFollower, unreadable: &mut Unreadable, batch: Batch, had_outage: bool) {
    let knowledge = &follower.knowledge;
    let records = batch.records.iter();
    let records = records.map(|record| {
        let position = batch.position(record);
        let entry = unreadable.entry(record, position);
        (BackendName::new(&record.key), position, entry)
    });
    let records: Vec<(BackendName, Position, Option<ServerEntry>)> = records.collect();
    if !batch.is_whole {
        return knowledge.apply_servers(records, &batch);
    }
    let listing = records.into_iter().filter_map(|(_, _, entry)| entry);
    let listing: Vec<ServerEntry> = listing.collect();
    let before = knowledge.directory().cursor();
    let cursor = batch.cursor(before);
    let is_from_copy = !before.is_start() && cursor.era > before.era;
    if had_outage || is_from_copy {
        knowledge.update_servers_after_outage(listing, cursor);
    } else {
        let listing = DirectoryUpdate::Whole(listing);
        knowledge.update_servers(listing, cursor, "store");
    }
}

/// Unreadable entries of the register: no server wrote them, and they define none. A
/// server whose own entry becomes unreadable counts as gone, since nothing says any more
/// that it accepts requests.
struct Unreadable {
    log: Logger,
    /// Last error of each entry; a repeated error is not logged again.
    known: HashMap<String, String>,
}

impl Unreadable {
    fn new(log: &Logger) -> Self {
        Self {
            log: log.clone(),
            known: HashMap::new(),
        }
    }

    /// Decodes a server's entry.
    fn entry(&mut self, record: &Record, position: Position) -> Option<ServerEntry> {
        let value = record.value.as_ref()?;
        match servers::decode(&record.key, position, value) {
            Ok(entry) => {
                self.known.remove(&record.key);
                Some(entry)
            }
            Err(err) => {
                self.note(&record.key, &err.to_string());
                None
            }
        }
    }

    fn note(&mut self, key: &str, error: &str) {
        metrics::counter!("savoryvane_register_unreadable_total").increment(1);
        if self.known.get(key).is_some_and(|known| known == error) {
            return;
        }
        if self.known.len() >= MOST_UNREADABLE {
            self.known.clear();
        }
        self.known.insert(key.to_owned(), error.to_owned());
        warn!(self.log, "server not understood"; "server" => key, "error" => error);
    }
}
