//! Follows the register of backend servers in the store.

use std::{collections::HashMap, sync::Arc, time::Duration};

use savoryvane_core::{
    forwarding::{Position, Scope, ServerEntry, StoreRole},
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
    routing_view::RoutingView,
    store_follower::{LIST_WAIT, StoreFollower, TopicReader, UPDATE_CHECK_INTERVAL},
};

/// Interval between two reads of the register of servers. Heartbeats add records all the
/// time, so a read that waits for one would return at once; a leaving server has to be
/// avoided within 2 s or more, as the settings say.
const READ_INTERVAL: Duration = Duration::from_millis(800);
/// Age of the known register from which all of it is read, in ms: with one record a
/// second from each server, the records since then are as many as the servers. Entries
/// expire after three heartbeats that the store did not accept, which takes longer.
const FULL_READ_FROM_AGE_MS: u64 = 2_000;
/// Interval between two checks for servers that have not written their entries again in
/// time.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of unreadable entries whose log lines are remembered.
const MAX_UNREADABLE: usize = 1_024;

/// Follows the register of servers.
pub(super) async fn follow(follower: StoreFollower) {
    let mut topic_reader = TopicReader::new(Topic::Servers, "servers", &follower.log);
    let mut unreadable = UnreadableEntries::new(&follower.log);
    let mut has_read = false;
    follower.members.listed(LIST_WAIT).await;
    loop {
        let began = Instant::now();
        let reader = follower.members.reader();
        let skips_store =
            follower.freshness.skips_store(reader) && (has_read || follower.starts_from_peers());
        set_scopes(&follower, reader, skips_store);
        if skips_store {
            time::sleep(UPDATE_CHECK_INTERVAL).await;
            continue;
        }
        if let Err(wait) = follower.store.try_begin() {
            time::sleep(wait.min(UPDATE_CHECK_INTERVAL)).await;
            continue;
        }
        let known = follower.view.directory().cursor();
        let needs_full_read = follower.freshness.servers_age_ms() > FULL_READ_FROM_AGE_MS;
        let from = (!known.is_start() && !needs_full_read).then(|| known.position());
        let read = topic_reader
            .read(&follower.store, from, Duration::ZERO)
            .await;
        topic_reader.on_read(&read);
        let Ok(batch) = read else {
            continue;
        };
        // Entries may have expired during an outage; that is judged by the state before
        // this read.
        let had_outage = follower
            .freshness
            .had_outage(follower.store.failed_ago_ms());
        has_read = true;
        // The response may have been waiting to be read while this process stood still.
        let age_ms = batch.sent_at.elapsed().as_millis() as u64;
        follower.freshness.on_servers(age_ms, batch.era);
        apply(&follower, &mut unreadable, batch, had_outage);
        time::sleep_until(began + READ_INTERVAL).await;
    }
}

/// Sets of which servers this instance keeps entries: of all while it reads the register for
/// other cells, else of those of its cell.
fn set_scopes(follower: &StoreFollower, reader: StoreRole, skips_store: bool) {
    let cell = follower.members.cell();
    let reads_for_all = match reader {
        StoreRole::Scheduler | StoreRole::Reserve => !skips_store,
        StoreRole::Follower | StoreRole::CellMember => false,
    };
    let scope = if reads_for_all { Scope::ALL } else { cell };
    follower.view.set_scopes(scope, cell);
}

/// Periodically removes servers and evacuations that were not written again in time after
/// the store lost them.
pub(super) async fn remove_expired(view: Arc<RoutingView>) {
    loop {
        time::sleep(EXPIRY_CHECK_INTERVAL).await;
        view.remove_expired();
    }
}

/// Applies a read of the register.
fn apply(
    follower: &StoreFollower,
    unreadable: &mut UnreadableEntries,
    batch: Batch,
    had_outage: bool,
) {
    let view = &follower.view;
    let records = batch.records.iter();
    let records = records.map(|record| {
        let position = batch.position(record);
        let entry = unreadable.decode(record, position);
        (BackendName::new(&record.key), position, entry)
    });
    let records: Vec<(BackendName, Position, Option<ServerEntry>)> = records.collect();
    if !batch.is_snapshot {
        return view.apply_servers(records, &batch);
    }
    let listing = records.into_iter().filter_map(|(_, _, entry)| entry);
    let listing: Vec<ServerEntry> = listing.collect();
    let before = view.directory().cursor();
    let cursor = batch.cursor(before);
    let is_from_copy = !before.is_start() && cursor.era > before.era;
    if had_outage || is_from_copy {
        let rewrites_end_ms = follower.freshness.rewrites_end_ms();
        view.update_servers_after_outage(listing, cursor, rewrites_end_ms);
    } else {
        view.update_servers_from_store(listing, cursor);
    }
}

/// Unreadable entries of the register: no server wrote them, and they define none. A
/// server whose own entry becomes unreadable counts as gone, since nothing says any more
/// that it accepts requests.
struct UnreadableEntries {
    log: Logger,
    /// Last error of each entry; a repeated error is not logged again.
    known: HashMap<String, String>,
}

impl UnreadableEntries {
    fn new(log: &Logger) -> Self {
        Self {
            log: log.clone(),
            known: HashMap::new(),
        }
    }

    /// Decodes a server's entry.
    fn decode(&mut self, record: &Record, position: Position) -> Option<ServerEntry> {
        let value = record.value.as_ref()?;
        match servers::decode(&record.key, position, value) {
            Ok(entry) => {
                self.known.remove(&record.key);
                Some(entry)
            }
            Err(err) => {
                self.log_unreadable(&record.key, &err.to_string());
                None
            }
        }
    }

    fn log_unreadable(&mut self, key: &str, error: &str) {
        metrics::counter!("savoryvane_register_unreadable_total").increment(1);
        if self.known.get(key).is_some_and(|known| known == error) {
            return;
        }
        if self.known.len() >= MAX_UNREADABLE {
            self.known.clear();
        }
        self.known.insert(key.to_owned(), error.to_owned());
        warn!(self.log, "invalid server entry"; "server" => key, "error" => error);
    }
}
