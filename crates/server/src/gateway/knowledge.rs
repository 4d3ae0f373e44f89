//! What an instance knows of routes and backend servers.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::ArcSwapOption;
use savoryvane_core::{
    fleet::Fleet,
    forwarding::{
        AnswerTimes, Directory, DirectoryUpdate, FetchTimes, RepeatBudgets, RouteTable,
        RoutingConfig, ServerEntry, UsualDeadlines,
    },
    ids::BackendName,
    settings::PolicySettings,
};
use slog::{Logger, info};
use tokio::sync::Notify;

use super::settings::GatewaySettings;
use crate::lock::lock;

/// Servers of a service and availability zone that one instance uses: all, so
/// that every instance finds the same home for a session.
const ALL_SERVERS: usize = 4_096;
/// Most servers of a service that are left alone for failing, in per cent: with more,
/// the fault is more likely on the way to them.
const EJECTED_PERCENT_MAX: u32 = 50;

/// What an instance knows of routes and backend servers.
#[derive(Debug)]
pub(super) struct Knowledge {
    log: Logger,
    table: ArcSwapOption<RouteTable>,
    /// Latest version of the routes that another instance knows.
    told_version: AtomicU64,
    directory: Mutex<Directory>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<RepeatBudgets>,
    deadlines: Mutex<UsualDeadlines>,
    answer_times: Mutex<AnswerTimes>,
    fetch_times: Mutex<FetchTimes>,
    /// Told after every change of routes or servers.
    changed: Notify,
}

impl Knowledge {
    pub(super) fn new(settings: &GatewaySettings, log: Logger) -> Self {
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
            table: ArcSwapOption::empty(),
            told_version: AtomicU64::new(0),
            directory: Mutex::default(),
            fleet: Mutex::new(fleet),
            budgets: Mutex::new(RepeatBudgets::new(settings.repeats)),
            deadlines: Mutex::default(),
            answer_times: Mutex::default(),
            fetch_times: Mutex::default(),
            changed: Notify::new(),
        }
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

    /// Locks the budgets of repeats, for a few steps without waiting.
    pub(super) fn budgets(&self) -> MutexGuard<'_, RepeatBudgets> {
        lock(&self.budgets)
    }

    /// Takes in the deadline of a request and returns how much longer callers of
    /// its route usually give, in ms.
    pub(super) fn missing_ms(&self, now_ms: u64, route: &str, deadline_ms: u64) -> u64 {
        let mut deadlines = lock(&self.deadlines);
        deadlines.missing_ms(now_ms, route, deadline_ms)
    }

    /// Locks how long answers take, for a few steps without waiting.
    pub(super) fn answer_times(&self) -> MutexGuard<'_, AnswerTimes> {
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

    /// Applies records of the register of servers, after which it is known up to
    /// `position`.
    pub(super) fn apply_servers(
        &self,
        records: Vec<(BackendName, Option<ServerEntry>)>,
        position: Option<u64>,
    ) {
        let mut has_changed = false;
        {
            let mut directory = self.directory();
            for (id, entry) in records {
                let state = entry.as_ref().map(|entry| entry.state);
                let update = DirectoryUpdate::Changes(vec![(id.clone(), entry)]);
                let known_to = position.unwrap_or(directory.position());
                if directory.update_to(update, known_to) {
                    has_changed = true;
                    info!(self.log, "server changed"; "server" => %id, "source" => "store",
                        "state" => state.map_or("gone".to_owned(), |state| format!("{state:?}")));
                }
            }
            if let Some(position) = position {
                directory.on_known_to(position);
            }
        }
        if has_changed {
            self.configure_fleet();
        }
    }

    /// Takes over the register of servers from the store or a peer that knows it up
    /// to `position`.
    pub(super) fn update_servers(
        &self,
        update: DirectoryUpdate,
        position: u64,
        source: &'static str,
    ) {
        let (count, is_whole) = match &update {
            DirectoryUpdate::Whole(listing) => (listing.len(), true),
            DirectoryUpdate::Changes(changes) => (changes.len(), false),
        };
        let mut directory = self.directory();
        let has_changed = directory.update_to(update, position);
        let revision = directory.revision();
        drop(directory);
        if has_changed {
            info!(self.log, "servers changed"; "servers" => count, "whole" => is_whole,
                "revision" => revision, "position" => position, "source" => source);
            self.configure_fleet();
        }
    }

    /// Notes that a server says that it is leaving or that it is gone.
    pub(super) fn on_leaving(&self, id: &BackendName) {
        if self.directory().on_leaving(id) {
            info!(self.log, "server changed"; "server" => %id, "state" => "leaving",
                "source" => "its answer");
            self.configure_fleet();
        }
    }

    fn configure_fleet(&self) {
        let Some(table) = self.table() else {
            return;
        };
        let (pools, backends, leaving) = {
            let directory = self.directory();
            let (pools, backends) = directory.for_fleet(table.config());
            (pools, backends, directory.leaving())
        };
        let mut fleet = self.fleet();
        fleet.configure(&pools, &backends);
        fleet.on_listed_leaving(&leaving);
        drop(fleet);
        self.changed.notify_waiters();
        self.changed.notify_one();
    }
}
