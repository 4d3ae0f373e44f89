//! Follows the register of backend servers in the store.

use std::{collections::HashMap, time::Duration};

use savoryvane_core::{
    forwarding::{DirectoryUpdate, ServerEntry},
    ids::BackendName,
};
use savoryvane_platform::{
    servers,
    store::{Record, Topic},
};
use slog::{Logger, warn};
use tokio::time::{self, Instant};

use super::follow::{Batch, StoreFollower, TOLD_INTERVAL, Topical};

/// Time between two reads of the register of servers. Where heartbeats add records a
/// waiting read would be answered at once all the time; a leaving server has to be left
/// alone after 2 s or more.
const INTERVAL: Duration = Duration::from_millis(800);
/// Time for servers to write themselves again after the store was away;
/// entries that are still missing then are gone.
const RETURN_GRACE: Duration = Duration::from_millis(2_000);
/// Age of what was known last from which servers may have lapsed, in ms: they do after
/// three heartbeats that the store did not take. Where it is less, others have read the
/// store meanwhile, and who is missing has left.
const LAPSED_FROM_MS: u64 = 2_000;
/// Age of what is known from which the whole register is read, in ms: with a record a
/// second of each server the records since then are as many as the servers.
const WHOLE_FROM_MS: u64 = 2_000;
/// Most entries that can't be read whose log lines are remembered.
const MOST_UNREADABLE: usize = 1_024;

/// Follows the register of servers.
pub(super) async fn follow(follower: StoreFollower) {
    let mut topical = Topical::new(Topic::Servers, "servers", &follower.log);
    let mut unreadable = Unreadable::new(&follower.log);
    // While servers write themselves again, none counts as gone.
    let mut keeps_until: Option<Instant> = None;
    // Position up to which records were read in that time.
    let mut kept_to = 0;
    let mut has_read = false;
    loop {
        let began = Instant::now();
        let is_told = follower.freshness.is_told(follower.members.reader());
        if is_told && (has_read || follower.is_first_start) {
            keeps_until = None;
            time::sleep(TOLD_INTERVAL).await;
            continue;
        }
        if let Err(wait) = follower.store.begin() {
            time::sleep(wait.min(TOLD_INTERVAL)).await;
            continue;
        }
        let is_over = keeps_until.is_some_and(|until| until <= began);
        if is_over {
            keeps_until = None;
        }
        let position = match keeps_until {
            Some(_) => kept_to,
            None => follower.knowledge.directory().position(),
        };
        let age_ms = follower.freshness.servers_age_ms();
        let is_old = age_ms > WHOLE_FROM_MS;
        let from = Some(position).filter(|position| *position > 0 && !is_over && !is_old);
        let read = topical.read(&follower.store, from, Duration::ZERO).await;
        let had_failed = topical.on_read(&read).is_some();
        let Ok(batch) = read else {
            continue;
        };
        let may_have_lapsed = had_failed && has_read && age_ms >= LAPSED_FROM_MS;
        if may_have_lapsed {
            keeps_until = Some(Instant::now() + RETURN_GRACE);
        }
        has_read = true;
        follower.freshness.on_servers(0);
        kept_to = batch.position;
        let keeps = match keeps_until {
            None => Keeps::None,
            Some(_) if may_have_lapsed => Keeps::Lapsed,
            Some(_) => Keeps::Position,
        };
        apply(&follower, &mut unreadable, batch, keeps);
        time::sleep_until(began + INTERVAL).await;
    }
}

/// What is kept while servers write themselves again after an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Keeps {
    /// Nothing: the store was not away.
    None,
    /// Servers that are missing, as this is the first read after the outage.
    Lapsed,
    /// The position up to which the register counts as known; who is removed after the
    /// outage has left.
    Position,
}

/// Takes over what was read.
fn apply(follower: &StoreFollower, unreadable: &mut Unreadable, batch: Batch, keeps: Keeps) {
    let knowledge = &follower.knowledge;
    let records = batch.records.iter();
    let mut records: Vec<(BackendName, Option<ServerEntry>)> = records
        .map(|record| (BackendName::new(&record.key), unreadable.entry(record)))
        .collect();
    match keeps {
        Keeps::None if batch.is_whole => {
            let listing = records.into_iter().filter_map(|(_, entry)| entry);
            let listing = DirectoryUpdate::Whole(listing.collect());
            knowledge.update_servers(listing, batch.position, "store");
        }
        Keeps::None => knowledge.apply_servers(records, Some(batch.position)),
        Keeps::Lapsed => {
            records.retain(|(_, entry)| entry.is_some());
            knowledge.apply_servers(records, None);
        }
        Keeps::Position => knowledge.apply_servers(records, None),
    }
}

/// Entries of the register that can't be read: they were not written by a server, and
/// name none. A server whose own entry turns unreadable is taken for gone, since
/// nothing says any more that it takes work.
struct Unreadable {
    log: Logger,
    /// What was wrong with each, which is logged once.
    known: HashMap<String, String>,
}

impl Unreadable {
    fn new(log: &Logger) -> Self {
        Self {
            log: log.clone(),
            known: HashMap::new(),
        }
    }

    /// Decodes what a server says of itself.
    fn entry(&mut self, record: &Record) -> Option<ServerEntry> {
        let value = record.value.as_ref()?;
        match servers::decode(&record.key, record.offset, value) {
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
