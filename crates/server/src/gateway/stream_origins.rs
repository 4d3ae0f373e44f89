//! Records at which software versions the streams of callers began, so that a stream that its
//! caller takes up again continues at the same version.
//!
//! An instance keeps a record of each resumable stream that it begins. While more than one version
//! may serve, it also sends the record to a few instances of its cell as soon as the first event is
//! forwarded: callers use another instance mostly because the first one is gone. The scheduler stores
//! these records, so that they outlast all instances.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    forwarding::{
        RECORD_READERS, RECORD_REPLICAS, RecordBacklog, RecordedOrigin, ServedVersions, StreamKey,
        StreamKnowledge, StreamOrigin, StreamRecord, StreamRecords, TakeUp, TakeUpSearch,
    },
    ids::{InstanceName, PoolName},
};
use savoryvane_wire::peer::{Message, StreamQuery};
use slog::{Logger, info};
use tokio::{
    sync::{Notify, watch},
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use super::{
    freshness::Freshness,
    members::Members,
    record_outbox::{Keepers, RecordOutbox},
    routing_view::RoutingView,
};
use crate::{clock::Clock, lock::lock};

/// Interval at which the age of the register is checked, and which records are needed elsewhere.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a query to other instances about a stream, for which its caller waits.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for a scheduler that has just been chosen to read the stored records: some calls of the
/// store, after routes and servers.
const STORED_RECORDS_TIMEOUT: Duration = Duration::from_millis(700);
/// The same until the scheduler's answer, also while all instances start and it is not known yet.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a take-up waits for a register that is current since its caller has asked: an
/// interval between two reads of the scheduler, and a read.
const CURRENT_REGISTER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval between two checks of the register's age meanwhile.
const REGISTER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two attempts to ask the scheduler.
const SCHEDULER_RETRY_INTERVAL: Duration = Duration::from_millis(30);

/// The records of this instance, and their exchange with others.
#[derive(Debug)]
pub(super) struct StreamOrigins {
    log: Logger,
    clock: Clock,
    members: Arc<Members>,
    view: Arc<RoutingView>,
    freshness: Arc<Freshness>,
    records: Mutex<StreamRecords>,
    outbox: Arc<RecordOutbox>,
    /// Records that wait to be stored.
    backlog: Mutex<RecordBacklog>,
    /// Notified when a record is added to the backlog.
    pub(super) backlog_added: Notify,
    /// Whether this instance is the scheduler and has read the stored records.
    has_stored_records: watch::Sender<bool>,
}

/// What the scheduler of this instance's cell knows of a stream.
enum SchedulerKnowledge {
    /// It is this instance.
    Own(StreamKnowledge),
    /// It is another one.
    Other(StreamKnowledge),
}

impl SchedulerKnowledge {
    fn into_inner(self) -> StreamKnowledge {
        match self {
            Self::Own(knowledge) | Self::Other(knowledge) => knowledge,
        }
    }
}

/// Response to a query about a stream.
struct QueryResponse {
    /// Cell of the instance that has responded.
    cell: u32,
    knowledge: StreamKnowledge,
    /// Whether that instance is the scheduler of this one's cell, and another one.
    is_from_scheduler: bool,
}

/// A stream that its caller takes up.
#[derive(Clone, Debug)]
pub(super) struct TakenUpStream<'a> {
    /// The stream, if the caller names it.
    pub(super) key: Option<StreamKey>,
    /// Route of the caller's request.
    pub(super) route: &'a str,
    /// Service of the route.
    pub(super) service: &'a PoolName,
}

impl StreamOrigins {
    pub(super) fn new(
        members: Arc<Members>,
        view: Arc<RoutingView>,
        freshness: Arc<Freshness>,
        clock: Clock,
        log: Logger,
    ) -> Self {
        let outbox = Arc::new(RecordOutbox::new(Arc::clone(&members)));
        Self {
            log,
            clock,
            members,
            view,
            freshness,
            records: Mutex::default(),
            outbox,
            backlog: Mutex::default(),
            backlog_added: Notify::new(),
            has_stored_records: watch::Sender::new(false),
        }
    }

    /// Records a stream of `route` whose first event is being forwarded.
    pub(super) fn on_begun(self: &Arc<Self>, route: &str, record: StreamRecord) {
        let now_ms = self.clock.now_ms();
        let versions = self.served_versions(route, &record.origin.service);
        if matches!(versions, ServedVersions::One(_)) && record.is_short() {
            self.records().insert_own(now_ms, record);
            return;
        }
        self.records().insert_shared(now_ms, record.clone());
        self.add_to_backlog([record.clone()]);
        self.outbox.send(vec![record], RECORD_REPLICAS);
    }

    /// Keeps records of other instances, and stores them if this one is the scheduler.
    pub(super) fn on_received(&self, records: Vec<StreamRecord>) {
        if self.members.is_scheduler() {
            self.add_to_backlog(records.iter().cloned());
        }
        self.insert_shared(records);
    }

    /// Keeps records that other instances have, or that are stored.
    pub(super) fn insert_shared(&self, records: Vec<StreamRecord>) {
        let now_ms = self.clock.now_ms();
        let mut kept = self.records();
        for record in records {
            kept.insert_shared(now_ms, record);
        }
        metrics::gauge!("savoryvane_stream_records").set(kept.count() as f64);
    }

    pub(super) fn add_to_backlog(&self, records: impl IntoIterator<Item = StreamRecord>) {
        let mut backlog = lock(&self.backlog);
        let dropped: usize = records.into_iter().map(|record| backlog.push(record)).sum();
        metrics::counter!("savoryvane_stream_records_dropped_total").increment(dropped as u64);
        self.backlog_added.notify_one();
    }

    /// Takes up to `count` records that wait to be stored.
    pub(super) fn take_from_backlog(&self, count: usize) -> Vec<StreamRecord> {
        lock(&self.backlog).take(count)
    }

    /// Records whether this instance is the scheduler and has read the stored records.
    pub(super) fn set_stored_records_read(&self, is_read: bool) {
        self.has_stored_records.send_replace(is_read);
    }

    /// Returns what this instance knows of a stream. For an instance of another cell, which does
    /// not know the scheduler of this one, it asks the scheduler if it has started recently.
    pub(super) async fn on_query(
        &self,
        query: &StreamQuery,
        from: &InstanceName,
    ) -> StreamKnowledge {
        if self.members.is_scheduler() {
            self.wait_stored_records_read().await;
        }
        let knowledge = self.knowledge_for(query);
        let is_from_other_cell = !self.members.cell().has_instance(from);
        if is_from_other_cell && knowledge.is_empty() {
            let scheduler = self.ask_scheduler(query).await;
            return scheduler.map_or(knowledge, SchedulerKnowledge::into_inner);
        }
        knowledge
    }

    fn knowledge_for(&self, query: &StreamQuery) -> StreamKnowledge {
        self.knowledge(&TakenUpStream {
            key: query.key.clone(),
            route: &query.route,
            service: &query.service,
        })
    }

    /// Waits until this instance has read the stored records, for a limited time.
    async fn wait_stored_records_read(&self) {
        let mut is_read = self.has_stored_records.subscribe();
        // The sender lives as long as `self`.
        let _ = time::timeout(STORED_RECORDS_TIMEOUT, is_read.wait_for(|is_read| *is_read)).await;
    }

    /// Asks the scheduler of this instance's cell, as soon as it is known and reachable.
    async fn ask_scheduler(&self, query: &StreamQuery) -> Option<SchedulerKnowledge> {
        let message = Message::StreamQuery(query.clone());
        let until = time::Instant::now() + SCHEDULER_TIMEOUT;
        while time::Instant::now() < until {
            if self.members.is_scheduler() {
                self.wait_stored_records_read().await;
                return Some(SchedulerKnowledge::Own(self.knowledge_for(query)));
            }
            if let Some(scheduler) = self.members.scheduler() {
                let left = until.saturating_duration_since(time::Instant::now());
                let peers = self.members.peers();
                let response = peers.request(&scheduler, None, &message, left).await;
                if let Ok(Message::StreamState(knowledge)) = response {
                    return Some(SchedulerKnowledge::Other(knowledge));
                }
            }
            time::sleep(SCHEDULER_RETRY_INTERVAL).await;
        }
        None
    }

    /// Asks the next instance that has not been asked, until one responds.
    async fn ask(&self, keepers: &Keepers, query: &StreamQuery) -> Option<StreamKnowledge> {
        let message = Message::StreamQuery(query.clone());
        while let Some(keeper) = keepers.next() {
            let response = self
                .members
                .peers()
                .request(keeper, None, &message, QUERY_TIMEOUT)
                .await;
            if let Ok(Message::StreamState(knowledge)) = response {
                return Some(knowledge);
            }
        }
        None
    }

    fn knowledge(&self, stream: &TakenUpStream<'_>) -> StreamKnowledge {
        let now_ms = self.clock.now_ms();
        let key = stream.key.as_ref();
        StreamKnowledge {
            origin: key.map_or(RecordedOrigin::Absent, |key| {
                self.records().origin(now_ms, key)
            }),
            served: self.served_versions(stream.route, stream.service),
        }
    }

    fn served_versions(&self, route: &str, service: &PoolName) -> ServedVersions {
        self.check_register_age();
        let now_ms = self.clock.now_ms();
        self.view.served_software().versions(now_ms, route, service)
    }

    /// Records the age of the register. It is checked at each use, too: an instance that was frozen
    /// may be asked before its timers run.
    fn check_register_age(&self) {
        let register_age_ms = self.freshness.servers_age_ms();
        let now_ms = self.clock.now_ms();
        self.view
            .served_software()
            .on_register_age(now_ms, register_age_ms);
    }

    /// Finds out where a stream began that its caller takes up.
    pub(super) async fn find(self: &Arc<Self>, stream: TakenUpStream<'_>) -> TakeUp {
        let asked_at = time::Instant::now();
        let layout = self.members.layout();
        let mut search = TakeUpSearch::new(stream.service.clone(), layout.cells());
        let own_cell = self.members.cell().cell();
        if let Some(found) = search.on_knowledge(own_cell, self.knowledge(&stream)) {
            return found;
        }
        let query = Arc::new(StreamQuery {
            key: stream.key.clone(),
            route: stream.route.to_owned(),
            service: stream.service.clone(),
        });
        let mut queries = JoinSet::new();
        {
            let (origins, query) = (Arc::clone(self), Arc::clone(&query));
            queries.spawn(async move {
                let knowledge = origins.ask_scheduler(&query).await?;
                Some(QueryResponse {
                    cell: own_cell,
                    is_from_scheduler: matches!(knowledge, SchedulerKnowledge::Other(_)),
                    knowledge: knowledge.into_inner(),
                })
            });
        }
        for cell in 0..layout.cells() {
            let keepers = Arc::new(self.outbox.keepers(stream.key.as_ref(), Some(cell)));
            for _ in 0..RECORD_READERS {
                let (origins, query) = (Arc::clone(self), Arc::clone(&query));
                let keepers = Arc::clone(&keepers);
                queries.spawn(async move {
                    let asked = time::timeout(QUERY_TIMEOUT, origins.ask(&keepers, &query));
                    Some(QueryResponse {
                        cell,
                        knowledge: asked.await.ok()??,
                        is_from_scheduler: false,
                    })
                });
            }
        }
        while let Some(response) = queries.join_next().await {
            let Ok(Some(response)) = response else {
                continue;
            };
            let found = if response.is_from_scheduler {
                search.on_current_knowledge(response.cell, response.knowledge)
            } else {
                search.on_knowledge(response.cell, response.knowledge)
            };
            if let Some(found) = found {
                return found;
            }
        }
        if search.lacks_confirmation() && self.wait_register_current(asked_at).await {
            let knowledge = self.knowledge(&stream);
            if let Some(found) = search.on_current_knowledge(own_cell, knowledge) {
                return found;
            }
        }
        if search.lacks_confirmation() {
            info!(self.log, "version of a stream not confirmed"; "service" => %stream.service,
                "register_age_ms" => self.freshness.servers_age_ms());
        }
        search.conclude()
    }

    /// Waits until the register is known to be current since `at`, for a limited time. Returns
    /// whether it is.
    async fn wait_register_current(&self, at: time::Instant) -> bool {
        let is_current = || u128::from(self.freshness.servers_age_ms()) <= at.elapsed().as_millis();
        while !is_current() && at.elapsed() < CURRENT_REGISTER_TIMEOUT {
            time::sleep(REGISTER_CHECK_INTERVAL).await;
        }
        is_current()
    }

    /// Sends the records that others have to the instances that are asked for them, since this
    /// one leaves.
    pub(super) fn hand_over(self: &Arc<Self>) {
        let now_ms = self.clock.now_ms();
        let records = self.records().shared(now_ms);
        info!(self.log, "stream records handed over"; "records" => records.len());
        self.outbox.send(records, RECORD_READERS);
    }

    /// Sends the records of services whose version is no longer known without a record.
    fn send_pending(self: &Arc<Self>) {
        let now_ms = self.clock.now_ms();
        let pending = {
            let served = self.view.served_software();
            let mut records = self.records();
            records.remove_expired(now_ms);
            let is_needed = |origin: &StreamOrigin| {
                let versions = served.versions_of(now_ms, &origin.service);
                !matches!(versions, ServedVersions::One(_))
            };
            let pending = records.take_pending(now_ms, is_needed);
            metrics::gauge!("savoryvane_stream_records").set(records.count() as f64);
            pending
        };
        if !pending.is_empty() {
            info!(self.log, "stream records sent"; "records" => pending.len());
            self.add_to_backlog(pending.iter().cloned());
            self.outbox.send(pending, RECORD_REPLICAS);
        }
    }

    fn records(&self) -> MutexGuard<'_, StreamRecords> {
        lock(&self.records)
    }
}

/// Keeps track of the age of the register, and sends records once several versions may serve.
pub(super) async fn watch(origins: Arc<StreamOrigins>) {
    let mut checks = time::interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        origins.check_register_age();
        origins.send_pending();
    }
}
