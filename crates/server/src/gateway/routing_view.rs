//! An instance's view of routes and backend servers.

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
        ExpiringServer, FetchTimes, PeerUpdate, Position, REWRITE_WINDOW_MS, RepeatBudgets,
        ResponseTimes, RouteDeadlines, RouteTable, RoutingConfig, Scope, ServedSoftware,
        ServerEntry,
    },
    ids::{BackendName, PoolName},
    settings::PolicySettings,
};
use slog::{Logger, info};
use tokio::sync::Notify;

use super::{batch::Batch, settings::GatewaySettings};
use crate::{clock::Clock, lock::lock};

/// Servers of a service and availability zone that one instance uses: all, so that every
/// instance finds the same home server for a session.
const SUBSET_SIZE: usize = 4_096;
/// Largest part of a service's servers that is ejected for failing, in per cent: with
/// more, the fault is more likely on the network path to them.
const MAX_EJECTED_PERCENT: u32 = 50;

/// An instance's view of routes and backend servers.
#[derive(Debug)]
pub(super) struct RoutingView {
    pub(super) log: Logger,
    clock: Clock,
    table: ArcSwapOption<RouteTable>,
    /// Latest version of the routes that another instance has advertised.
    advertised_version: AtomicU64,
    directory: Mutex<Directory>,
    pub(super) evacuations: Mutex<Evacuations>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<RepeatBudgets>,
    deadlines: Mutex<RouteDeadlines>,
    response_times: Mutex<ResponseTimes>,
    fetch_times: Mutex<FetchTimes>,
    served_software: Mutex<ServedSoftware>,
    /// Unknown header names in servers' responses that have been logged.
    pub(super) unknown_headers: Mutex<HashSet<HeaderName>>,
    /// Notified after every change of routes or servers.
    changed: Notify,
    /// Notified after every change of a server's rate limit.
    pub(super) limits_changed: Notify,
}

impl RoutingView {
    pub(super) fn new(settings: &GatewaySettings, clock: Clock, log: Logger) -> Self {
        let policy = PolicySettings {
            subset_size: SUBSET_SIZE,
            ejected_percent_max: MAX_EJECTED_PERCENT,
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
            advertised_version: AtomicU64::new(0),
            directory: Mutex::default(),
            evacuations: Mutex::default(),
            fleet: Mutex::new(fleet),
            budgets: Mutex::new(RepeatBudgets::new(settings.repeats)),
            deadlines: Mutex::default(),
            response_times: Mutex::default(),
            fetch_times: Mutex::default(),
            served_software: Mutex::default(),
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

    /// Returns the version of the routes, 0 before any are known.
    pub(super) fn version(&self) -> u64 {
        self.table
            .load()
            .as_ref()
            .map_or(0, |table| table.version())
    }

    /// Records that another instance has version `version` of the routes.
    pub(super) fn on_version_advertised(&self, version: u64) {
        self.advertised_version
            .fetch_max(version, Ordering::Relaxed);
    }

    /// Returns whether another instance has later routes.
    pub(super) fn is_behind(&self) -> bool {
        self.advertised_version.load(Ordering::Relaxed) > self.version()
    }

    /// Locks the state of the backend servers. Must not be held across an await.
    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the register of servers. Must not be held across an await.
    pub(super) fn directory(&self) -> MutexGuard<'_, Directory> {
        lock(&self.directory)
    }

    /// Returns the cursor of the known evacuations of availability zones.
    pub(super) fn evacuations_cursor(&self) -> Cursor {
        lock(&self.evacuations).cursor()
    }

    /// Returns the known evacuations, for another instance.
    pub(super) fn evacuation_state(&self) -> EvacuationState {
        lock(&self.evacuations).state(self.clock.now_ms())
    }

    /// Locks the retry budgets. Must not be held across an await.
    pub(super) fn budgets(&self) -> MutexGuard<'_, RepeatBudgets> {
        lock(&self.budgets)
    }

    /// Records the deadline of a request and returns by how much it is shorter than the
    /// usual deadline on its route, in ms.
    pub(super) fn missing_ms(&self, now_ms: u64, route: &str, deadline_ms: u64) -> u64 {
        let mut deadlines = lock(&self.deadlines);
        deadlines.shortfall_ms(now_ms, route, deadline_ms)
    }

    /// Locks the response times of the routes. Must not be held across an await.
    pub(super) fn response_times(&self) -> MutexGuard<'_, ResponseTimes> {
        lock(&self.response_times)
    }

    /// Locks the times that engines need to fetch results. Must not be held across an
    /// await.
    pub(super) fn fetch_times(&self) -> MutexGuard<'_, FetchTimes> {
        lock(&self.fetch_times)
    }

    /// Locks the software versions that have served. Must not be held across an await.
    pub(super) fn served_software(&self) -> MutexGuard<'_, ServedSoftware> {
        lock(&self.served_software)
    }

    /// Waits for the next change of routes or servers.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Applies `config`, unless a later version is in force.
    pub(super) fn apply_config(&self, config: RoutingConfig, source: &'static str) {
        let before = self.version();
        if config.version <= before && before > 0 {
            return;
        }
        info!(self.log, "configuration in force"; "version" => config.version,
            "before" => before, "routes" => config.routes.len(), "source" => source);
        metrics::gauge!("savoryvane_routing_version").set(config.version as f64);
        self.served_software()
            .on_routes(self.clock.now_ms(), &config);
        let table = RouteTable::new(Arc::new(config));
        self.table.store(Some(Arc::new(table)));
        self.configure_fleet();
    }

    /// Removes the servers and evacuations that were not written again in time after an
    /// outage.
    pub(super) fn remove_expired(&self) {
        let now_ms = self.clock.now_ms();
        let expired = self.directory().remove_expired(now_ms);
        if !expired.is_empty() {
            for server in &expired {
                info!(self.log, "server changed"; "server" => %server, "source" => "lapse",
                    "state" => "gone");
            }
            self.configure_fleet();
        }
        self.change_evacuations("copy", |evacuations| evacuations.apply_due_changes(now_ms));
    }

    /// Applies records read from the register of servers.
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

    /// Applies the first listing of the register after an outage of the store: servers
    /// that it lacks are removed at `rewrites_end_ms` unless they write themselves again.
    pub(super) fn update_servers_after_outage(
        &self,
        listing: Vec<ServerEntry>,
        cursor: Cursor,
        rewrites_end_ms: Option<u64>,
    ) {
        let count = listing.len();
        let now_ms = self.clock.now_ms();
        let expires_at_ms = rewrites_end_ms.unwrap_or(now_ms + REWRITE_WINDOW_MS);
        let (has_changed, lapsing) = {
            let mut directory = self.directory();
            let has_changed = directory.update_after_outage(listing, cursor, expires_at_ms);
            (has_changed, directory.expiring(now_ms).len())
        };
        info!(self.log, "servers listed after an outage"; "servers" => count, "lapsing" => lapsing,
            "left_ms" => expires_at_ms.saturating_sub(now_ms), "position" => %cursor);
        if has_changed {
            self.configure_fleet();
        }
    }

    /// Merges a peer's set of lapsing servers, which may register again until
    /// `rewrites_end_ms` as far as this instance knows.
    pub(super) fn on_lapsing_advertised(
        &self,
        lapsing: &[ExpiringServer],
        rewrites_end_ms: Option<u64>,
    ) {
        let now_ms = self.clock.now_ms();
        self.directory()
            .on_expiring(now_ms, lapsing, rewrites_end_ms);
    }

    /// Returns whether servers are kept that the register lacks.
    pub(super) fn has_lapsing(&self) -> bool {
        !self.directory().expiring_names().is_empty()
    }

    /// Sets of which servers entries are kept, and which of these this instance uses.
    pub(super) fn set_scopes(&self, scope: Scope, used: Scope) {
        let has_changed = self.directory().set_scopes(scope, used);
        if has_changed {
            info!(self.log, "cell changed"; "cell" => used.cell(), "keeps_all" => scope == Scope::ALL);
            self.configure_fleet();
        }
    }

    /// Applies the register of servers from the store, which knows it up to `cursor`.
    pub(super) fn update_servers_from_store(&self, listing: Vec<ServerEntry>, cursor: Cursor) {
        let update = DirectoryUpdate::Whole(listing);
        self.merge_servers(self.directory(), update, cursor, "store");
    }

    /// Applies the servers of `scope` from a peer. Returns false if this instance keeps the
    /// entries of other servers by now, or has learnt of servers that the update does not cover.
    pub(super) fn update_servers(&self, update: PeerUpdate, scope: Scope) -> bool {
        let mut directory = self.directory();
        if directory.scope() != scope {
            return false;
        }
        if !directory.is_covered_by(&update) {
            drop(directory);
            info!(self.log, "update of servers is incomplete"; "since" => %update.since,
                "changes_from" => %update.changes_from, "position" => %update.cursor);
            return false;
        }
        let known = directory.cursor();
        directory.on_copied_changes(known, update.changes_from);
        self.merge_servers(directory, update.servers, update.cursor, "peer");
        true
    }

    fn merge_servers(
        &self,
        mut directory: MutexGuard<'_, Directory>,
        update: DirectoryUpdate,
        cursor: Cursor,
        source: &'static str,
    ) {
        let (count, is_snapshot) = match &update {
            DirectoryUpdate::Whole(listing) => (listing.len(), true),
            DirectoryUpdate::Changes(changes) => (changes.len(), false),
        };
        let now_ms = self.clock.now_ms();
        let known = directory.cursor();
        let is_of_copy = cursor.is_less_complete_copy_than(known);
        let has_changed = match update {
            DirectoryUpdate::Whole(listing) if is_of_copy => {
                // A peer that has only read the copy knows no more than the copy.
                let gone_at_ms = now_ms + REWRITE_WINDOW_MS;
                directory.update_after_outage(listing, cursor.continued_from(known), gone_at_ms)
            }
            update => directory.update_to(update, cursor),
        };
        let revision = directory.revision();
        drop(directory);
        if has_changed {
            info!(self.log, "servers changed"; "servers" => count, "whole" => is_snapshot,
                "revision" => revision, "position" => %cursor, "source" => source);
            self.configure_fleet();
        }
    }

    /// Records that a run of a server is leaving or gone.
    pub(super) fn on_leaving(&self, id: &BackendName, source: &'static str) {
        if self.directory().on_leaving(id) {
            info!(self.log, "server changed"; "server" => %id, "state" => "leaving",
                "source" => source);
            self.configure_fleet();
        }
    }

    /// Calls `visit` for each server whose service limits the request rate of cold
    /// servers.
    pub(super) fn for_each_cold_start(
        &self,
        visit: impl Fn(&mut ColdServers, u64, &ServerEntry, ColdStart),
    ) {
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
        for entry in directory.used_entries() {
            if let Some(cold_start) = cold_starts.get(&entry.service) {
                visit(cold, now_ms, entry, *cold_start);
            }
        }
        metrics::gauge!("savoryvane_cold_servers").set(cold.count(now_ms) as f64);
    }

    pub(super) fn configure_fleet(&self) {
        let Some(table) = self.table() else {
            return;
        };
        let (pools, backends, closed, software) = {
            let directory = self.directory();
            let servers = directory.used_entries();
            let servers = servers.map(|entry| (&entry.service, entry.software.as_ref()));
            self.served_software()
                .on_registered(self.clock.now_ms(), servers);
            let (pools, backends) = directory.for_fleet(table.config());
            (pools, backends, directory.closed(), directory.software())
        };
        let mut fleet = self.fleet();
        fleet.configure(&pools, &backends);
        fleet.on_listed_leaving(&closed);
        fleet.on_listed_software(&software);
        drop(fleet);
        self.for_each_cold_start(|cold, now_ms, entry, cold_start| {
            cold.on_entry(now_ms, entry, cold_start);
        });
        self.changed.notify_waiters();
        self.changed.notify_one();
    }
}
