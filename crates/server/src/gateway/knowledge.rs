//! What an instance knows of routes and backend servers.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use http::HeaderName;
use savoryvane_core::{
    fleet::Fleet,
    forwarding::{
        ColdServers, ColdStart, Cursor, Directory, DirectoryUpdate, EvacuationState, Evacuations,
        ExpiringServer, FetchTimes, LimitChange, LimitReport, NamedLimit, Position, RepeatBudgets,
        ResponseTimes, RouteDeadlines, RouteTable, RoutingConfig, ServerEntry,
    },
    ids::{BackendName, PoolName},
    settings::PolicySettings,
};
use savoryvane_platform::store;
use slog::{Logger, info};
use tokio::sync::Notify;

use super::{batch::Batch, settings::GatewaySettings};
use crate::{clock::Clock, lock::lock};

/// Servers of a service and availability zone that one instance uses: all, so
/// that every instance finds the same home for a session.
const ALL_SERVERS: usize = 4_096;
/// Most servers of a service that are left alone for failing, in per cent: with more,
/// the fault is more likely on the way to them.
const EJECTED_PERCENT_MAX: u32 = 50;

/// Time for servers to write themselves again after the store was away or came back from a
/// copy, in ms: the 2 s of the platform, and a read, a question to the instance that reads
/// and an answer of a slow store, until what one writes last in that time is known to all.
pub(super) const WRITTEN_AGAIN_WITHIN_MS: u64 = 3_200;

/// What an instance knows of routes and backend servers.
#[derive(Debug)]
pub(super) struct Knowledge {
    pub(super) log: Logger,
    clock: Clock,
    table: ArcSwapOption<RouteTable>,
    /// Latest version of the routes that another instance knows.
    told_version: AtomicU64,
    directory: Mutex<Directory>,
    evacuations: Mutex<Evacuations>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<RepeatBudgets>,
    deadlines: Mutex<RouteDeadlines>,
    answer_times: Mutex<ResponseTimes>,
    fetch_times: Mutex<FetchTimes>,
    /// Headers of servers' answers that were noted as unknown.
    pub(super) unknown_headers: Mutex<HashSet<HeaderName>>,
    /// Told after every change of routes or servers.
    changed: Notify,
    /// Told after every change of a server's limit.
    limits_changed: Notify,
}

impl Knowledge {
    pub(super) fn new(settings: &GatewaySettings, clock: Clock, log: Logger) -> Self {
        let policy = PolicySettings {
            subset_size: ALL_SERVERS,
            ejected_percent_max: EJECTED_PERCENT_MAX,
            ..PolicySettings::default()
        };
        let fleet = Fleet::new(
            settings.instance.clone(),
            settings.zone.clone(),
            policy,
            rand::random(),
        );
        Self {
            log,
            clock,
            table: ArcSwapOption::empty(),
            told_version: AtomicU64::new(0),
            directory: Mutex::default(),
            evacuations: Mutex::default(),
            fleet: Mutex::new(fleet),
            budgets: Mutex::new(RepeatBudgets::new(settings.repeats)),
            deadlines: Mutex::default(),
            answer_times: Mutex::default(),
            fetch_times: Mutex::default(),
            unknown_headers: Mutex::default(),
            changed: Notify::new(),
            limits_changed: Notify::new(),
        }
    }

    /// Returns the time of this instance's clock, in ms.
    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the routes, once they are known.
    pub(super) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Returns the version of the routes, 0 before any is known.
    pub(super) fn version(&self) -> u64 {
        self.table
            .load()
            .as_ref()
            .map_or(0, |table| table.version())
    }

    /// Notes that another instance knows the version `version` of the routes.
    pub(super) fn on_version_told(&self, version: u64) {
        self.told_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Tells whether another instance knows later routes.
    pub(super) fn is_behind(&self) -> bool {
        self.told_version.load(Ordering::Relaxed) > self.version()
    }

    /// Locks the backend servers, for a few steps without waiting.
    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the register of servers, for a few steps without waiting.
    pub(super) fn directory(&self) -> MutexGuard<'_, Directory> {
        lock(&self.directory)
    }

    /// Returns how far it is known which availability zones are evacuated.
    pub(super) fn evacuations_cursor(&self) -> Cursor {
        lock(&self.evacuations).cursor()
    }

    /// Returns what is known of evacuations, for another instance.
    pub(super) fn evacuation_state(&self) -> EvacuationState {
        lock(&self.evacuations).state(self.clock.now_ms())
    }

    /// Locks the budgets of repeats, for a few steps without waiting.
    pub(super) fn budgets(&self) -> MutexGuard<'_, RepeatBudgets> {
        lock(&self.budgets)
    }

    /// Takes in the deadline of a request and returns how much longer callers of
    /// its route usually give, in ms.
    pub(super) fn missing_ms(&self, now_ms: u64, route: &str, deadline_ms: u64) -> u64 {
        let mut deadlines = lock(&self.deadlines);
        deadlines.shortfall_ms(now_ms, route, deadline_ms)
    }

    /// Locks how long answers take, for a few steps without waiting.
    pub(super) fn answer_times(&self) -> MutexGuard<'_, ResponseTimes> {
        lock(&self.answer_times)
    }

    /// Locks how long engines need results, for a few steps without waiting.
    pub(super) fn fetch_times(&self) -> MutexGuard<'_, FetchTimes> {
        lock(&self.fetch_times)
    }

    /// Waits for the next change of routes or servers.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Puts `config` in force, unless a later version is.
    pub(super) fn apply_config(&self, config: RoutingConfig, source: &'static str) {
        let before = self.version();
        if config.version <= before && before > 0 {
            return;
        }
        info!(self.log, "configuration in force"; "version" => config.version,
            "before" => before, "routes" => config.routes.len(), "source" => source);
        metrics::gauge!("savoryvane_routing_version").set(config.version as f64);
        let table = RouteTable::new(Arc::new(config));
        self.table.store(Some(Arc::new(table)));
        self.configure_fleet();
    }

    /// Takes over what a read of the operator's records says of evacuations.
    pub(super) fn apply_evacuations(&self, batch: &Batch) {
        let records = batch.records.iter().filter_map(|record| {
            let zone = store::evacuated_zone(&record.key)?;
            Some((zone, record.value.is_some(), batch.position(record)))
        });
        let now_ms = self.clock.now_ms();
        self.change_evacuations("store", |evacuations| {
            let cursor = batch.cursor(evacuations.cursor());
            if batch.is_whole {
                let listed = records.filter(|(_, is_evacuated, _)| *is_evacuated);
                let listed = listed.map(|(zone, _, position)| (zone, position));
                evacuations.apply_listing(now_ms, listed, cursor);
            } else if batch.era == evacuations.cursor().era {
                for (zone, is_evacuated, position) in records {
                    evacuations.apply(zone, is_evacuated, position);
                }
                evacuations.advance_cursor(cursor);
            }
        });
    }

    /// Takes over what a peer knows of evacuations, if that is more.
    pub(super) fn update_evacuations(&self, told: EvacuationState) {
        let now_ms = self.clock.now_ms();
        self.change_evacuations("peer", |evacuations| evacuations.update(now_ms, told));
    }

    fn change_evacuations(&self, source: &'static str, change: impl FnOnce(&mut Evacuations)) {
        let (before, after, cursor) = {
            let mut evacuations = lock(&self.evacuations);
            let before = evacuations.zones();
            change(&mut evacuations);
            let after = evacuations.zones();
            if after != before {
                // Under the lock, so that the register gets changes in their order.
                self.directory().set_evacuated(after.clone());
            }
            (before, after, evacuations.cursor())
        };
        if before == after {
            return;
        }
        for zone in after.difference(&before) {
            info!(self.log, "availability zone evacuated"; "evacuated" => %zone,
                "position" => %cursor, "source" => source);
        }
        for zone in before.difference(&after) {
            info!(self.log, "availability zone in service again"; "returned" => %zone,
                "position" => %cursor, "source" => source);
        }
        metrics::counter!("savoryvane_evacuation_changes_total").increment(1);
        metrics::gauge!("savoryvane_evacuated_zones").set(after.len() as f64);
        self.configure_fleet();
        // Servers may have become cold while nothing was sent to them.
        self.for_cold_starts(|cold, now_ms, entry, cold_start| {
            if before.contains(&entry.zone) && !after.contains(&entry.zone) {
                let left_ms = cold_start.duration_ms;
                cold.on_cold(now_ms, &entry.id, left_ms, cold_start.requests_per_s);
            }
        });
    }

    /// Takes over what the store says of servers and evacuations whose time to be written
    /// again after an outage is over.
    pub(super) fn settle(&self) {
        let now_ms = self.clock.now_ms();
        let lapsed = self.directory().remove_expired(now_ms);
        if !lapsed.is_empty() {
            for server in &lapsed {
                info!(self.log, "server changed"; "server" => %server, "source" => "lapse",
                    "state" => "gone");
            }
            self.configure_fleet();
        }
        self.change_evacuations("copy", |evacuations| evacuations.apply_due_changes(now_ms));
    }

    /// Applies the records that a read of the register of servers gave.
    pub(super) fn apply_servers(
        &self,
        records: Vec<(BackendName, Position, Option<ServerEntry>)>,
        batch: &Batch,
    ) {
        let mut has_changed = false;
        {
            let mut directory = self.directory();
            if batch.era != directory.cursor().era {
                return;
            }
            let cursor = batch.cursor(directory.cursor());
            for (id, position, entry) in records {
                let state = entry.as_ref().map(|entry| entry.state);
                if directory.apply_record(&id, entry, position, cursor) {
                    has_changed = true;
                    info!(self.log, "server changed"; "server" => %id, "source" => "store",
                        "state" => state.map_or("gone".to_owned(), |state| format!("{state:?}")));
                }
            }
            directory.advance_cursor(cursor);
        }
        if has_changed {
            self.configure_fleet();
        }
    }

    /// Takes over the first listing of the register after an outage of the store: servers
    /// that it lacks are gone after a while unless they write themselves again.
    pub(super) fn update_servers_after_outage(&self, listing: Vec<ServerEntry>, cursor: Cursor) {
        let count = listing.len();
        let now_ms = self.clock.now_ms();
        let (has_changed, lapsing) = {
            let mut directory = self.directory();
            let has_changed =
                directory.update_after_outage(listing, cursor, now_ms + WRITTEN_AGAIN_WITHIN_MS);
            (has_changed, directory.expiring(now_ms).len())
        };
        info!(self.log, "servers after an outage"; "servers" => count, "lapsing" => lapsing,
            "position" => %cursor);
        if has_changed {
            self.configure_fleet();
        }
    }

    /// Takes over from a peer which servers have lapsed.
    pub(super) fn on_lapsing_told(&self, lapsing: &[ExpiringServer]) {
        let now_ms = self.clock.now_ms();
        self.directory().on_expiring(now_ms, lapsing);
    }

    /// Takes over the register of servers from the store or a peer that knows it up
    /// to `cursor`.
    pub(super) fn update_servers(
        &self,
        update: DirectoryUpdate,
        cursor: Cursor,
        source: &'static str,
    ) {
        let (count, is_whole) = match &update {
            DirectoryUpdate::Whole(listing) => (listing.len(), true),
            DirectoryUpdate::Changes(changes) => (changes.len(), false),
        };
        let now_ms = self.clock.now_ms();
        let mut directory = self.directory();
        let known = directory.cursor();
        let is_of_copy = cursor.is_less_complete_copy_than(known);
        let has_changed = match update {
            DirectoryUpdate::Whole(listing) if is_of_copy => {
                // Who has only read the copy says no more than that does.
                let gone_at_ms = now_ms + WRITTEN_AGAIN_WITHIN_MS;
                directory.update_after_outage(listing, cursor.continued_from(known), gone_at_ms)
            }
            update => directory.update_to(update, cursor),
        };
        let revision = directory.revision();
        drop(directory);
        if has_changed {
            info!(self.log, "servers changed"; "servers" => count, "whole" => is_whole,
                "revision" => revision, "position" => %cursor, "source" => source);
            self.configure_fleet();
        }
    }

    /// Takes in what the answer to a request sent at `sent_at_ms` says of its server's
    /// limit.
    pub(super) fn on_limit(&self, server: &BackendName, sent_at_ms: u64, named: NamedLimit) {
        if named == NamedLimit::Unreadable {
            self.note_unreadable(server, "server-limit");
        }
        let now_ms = self.clock.now_ms();
        let change = {
            let mut fleet = self.fleet();
            fleet
                .limits()
                .on_response(now_ms, sent_at_ms, server, named)
        };
        if let Some(change) = change {
            self.note_limit(server, change, "its answer");
        }
    }

    /// Takes over what another instance knows of servers' limits.
    pub(super) fn update_limits(&self, reports: Vec<LimitReport>) {
        let now_ms = self.clock.now_ms();
        let changes = self.fleet().limits().on_reports(now_ms, reports);
        self.note_limits(&changes);
    }

    /// Takes over what another instance knows of servers' limits, which knows this one up
    /// to `known_revision`; returns what it does not know, and up to which revision it does
    /// with that.
    pub(super) fn exchange_limits(
        &self,
        known_revision: u64,
        reports: Vec<LimitReport>,
    ) -> (u64, Vec<LimitReport>) {
        let now_ms = self.clock.now_ms();
        let (unknown, changes, revision) = {
            let mut fleet = self.fleet();
            let limits = fleet.limits();
            let unknown = limits.reports_since(now_ms, known_revision);
            let changes = limits.on_reports(now_ms, reports);
            (unknown, changes, limits.revision())
        };
        self.note_limits(&changes);
        (revision, unknown)
    }

    /// Notes that no grant for `servers` is to be had for `retry_in_ms`.
    pub(super) fn on_limits_closed(&self, servers: &[BackendName], retry_in_ms: u64) {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        for server in servers {
            fleet.limits().on_closed(now_ms, server, retry_in_ms);
        }
    }

    fn note_limits(&self, changes: &[(BackendName, LimitChange)]) {
        for (server, change) in changes {
            self.note_limit(server, *change, "peer");
        }
    }

    fn note_limit(&self, server: &BackendName, change: LimitChange, source: &'static str) {
        let limited = self.fleet().limits().count();
        info!(self.log, "server limit changed"; "server" => %server,
            "limit_per_s" => change.after, "before" => change.before, "source" => source,
            "limited" => limited);
        metrics::gauge!("savoryvane_limited_servers").set(limited as f64);
        self.limits_changed.notify_one();
    }

    /// Waits for the next change of a server's limit.
    pub(super) async fn limits_changed(&self) {
        self.limits_changed.notified().await;
    }

    /// Notes that a run of a server leaves or is gone.
    pub(super) fn on_leaving(&self, id: &BackendName, source: &'static str) {
        if self.directory().on_leaving(id) {
            info!(self.log, "server changed"; "server" => %id, "state" => "leaving",
                "source" => source);
            self.configure_fleet();
        }
    }

    /// Looks at each server whose service bounds what it takes while it is cold.
    fn for_cold_starts(&self, look: impl Fn(&mut ColdServers, u64, &ServerEntry, ColdStart)) {
        let Some(table) = self.table() else {
            return;
        };
        let services = table.config().services.iter();
        let cold_starts: BTreeMap<&PoolName, ColdStart> = services
            .filter_map(|service| Some((&service.name, service.cold_start?)))
            .collect();
        if cold_starts.is_empty() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let directory = self.directory();
        let mut fleet = self.fleet();
        let cold = fleet.cold();
        cold.retain(|server| directory.entry(server).is_some());
        for entry in directory.entries() {
            if let Some(cold_start) = cold_starts.get(&entry.service) {
                look(cold, now_ms, entry, *cold_start);
            }
        }
        metrics::gauge!("savoryvane_cold_servers").set(cold.count(now_ms) as f64);
    }

    fn configure_fleet(&self) {
        let Some(table) = self.table() else {
            return;
        };
        let (pools, backends, closed) = {
            let directory = self.directory();
            let (pools, backends) = directory.for_fleet(table.config());
            (pools, backends, directory.closed())
        };
        let mut fleet = self.fleet();
        fleet.configure(&pools, &backends);
        fleet.on_listed_leaving(&closed);
        drop(fleet);
        self.for_cold_starts(|cold, now_ms, entry, cold_start| {
            cold.on_entry(now_ms, entry, cold_start);
        });
        self.changed.notify_waiters();
        self.changed.notify_one();
    }
}
