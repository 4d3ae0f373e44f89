//! Records at which software versions the streams of callers began, so that a stream that its
//! caller takes up again continues at the same version.
//!
//! An instance keeps a record of each resumable stream that it begins. While more than one version
//! may serve, it also sends the record to a few instances of its cell as soon as the first event is
//! forwarded: callers use another instance mostly because the first one is gone.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use savoryvane_core::{
    forwarding::{
        RECORD_READERS, RECORD_REPLICAS, RecordedOrigin, ServedVersions, StreamKey,
        StreamKnowledge, StreamOrigin, StreamRecord, StreamRecords, TakeUp, TakeUpSearch,
        record_keepers,
    },
    ids::{InstanceName, PoolName},
};
use savoryvane_wire::peer::{MAX_STREAM_RECORDS, Message, StreamQuery};
use slog::{Logger, info};
use tokio::{
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use super::{freshness::Freshness, members::Members, routing_view::RoutingView};
use crate::{clock::Clock, lock::lock};

/// Interval at which the age of the register is checked, and which records are needed elsewhere.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for an instance to accept records.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a query to other instances about a stream, for which its caller waits.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Most instances of a cell that a record is sent to or asked for, counting those that do not
/// respond.
const MAX_TRIED: usize = 8;
/// Most records that wait for one instance.
const MAX_QUEUED: usize = 1_024;

/// The records of this instance, and their exchange with others.
#[derive(Debug)]
pub(super) struct StreamOrigins {
    log: Logger,
    clock: Clock,
    members: Arc<Members>,
    view: Arc<RoutingView>,
    freshness: Arc<Freshness>,
    records: Mutex<StreamRecords>,
    outbox: Mutex<Outbox>,
}

/// Records that wait to be sent.
#[derive(Debug, Default)]
struct Outbox {
    queues: HashMap<InstanceName, Vec<Arc<OutgoingRecord>>>,
    /// Instances that are being sent records.
    busy: HashSet<InstanceName>,
}

/// A record that is being sent to the instances that keep it.
#[derive(Debug)]
struct OutgoingRecord {
    record: StreamRecord,
    keepers: Keepers,
}

/// Instances that keep a record, each of which is sent to or asked once.
#[derive(Debug)]
struct Keepers {
    instances: Vec<InstanceName>,
    tried: AtomicUsize,
}

impl Keepers {
    fn next(&self) -> Option<&InstanceName> {
        let index = self.tried.fetch_add(1, Ordering::Relaxed);
        self.instances.get(index).filter(|_| index < MAX_TRIED)
    }
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
        Self {
            log,
            clock,
            members,
            view,
            freshness,
            records: Mutex::default(),
            outbox: Mutex::default(),
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
        self.send_to_keepers(vec![record], RECORD_REPLICAS);
    }

    /// Keeps records of other instances.
    pub(super) fn on_received(&self, records: Vec<StreamRecord>) {
        let now_ms = self.clock.now_ms();
        let mut kept = self.records();
        for record in records {
            kept.insert_shared(now_ms, record);
        }
        metrics::gauge!("savoryvane_stream_records").set(kept.count() as f64);
    }

    /// Returns what this instance knows of a stream.
    pub(super) fn on_query(&self, query: &StreamQuery) -> StreamKnowledge {
        self.knowledge(&TakenUpStream {
            key: query.key.clone(),
            route: &query.route,
            service: &query.service,
        })
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
        let now_ms = self.clock.now_ms();
        self.view.served_software().versions(now_ms, route, service)
    }

    /// Finds out where a stream began that its caller takes up.
    pub(super) async fn find(self: &Arc<Self>, stream: TakenUpStream<'_>) -> TakeUp {
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
        for cell in 0..layout.cells() {
            let keepers = Arc::new(self.keepers(stream.key.as_ref(), Some(cell)));
            for _ in 0..RECORD_READERS {
                let (origins, query) = (Arc::clone(self), Arc::clone(&query));
                let keepers = Arc::clone(&keepers);
                queries.spawn(async move { (cell, origins.ask(&keepers, &query).await) });
            }
        }
        let until = time::Instant::now() + QUERY_TIMEOUT;
        while let Ok(Some(response)) = time::timeout_at(until, queries.join_next()).await {
            let Ok((cell, Some(knowledge))) = response else {
                continue;
            };
            if let Some(found) = search.on_knowledge(cell, knowledge) {
                return found;
            }
        }
        search.conclude()
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

    /// Returns the other instances of `cell`, or of this instance's one, that keep the record of
    /// a stream.
    fn keepers(&self, key: Option<&StreamKey>, cell: Option<u32>) -> Keepers {
        let listed = self.members.listed_in_cell(cell);
        let listed = listed.iter().map(|(instance, zone)| (instance, zone));
        let mut instances = record_keepers(key, listed);
        instances.retain(|instance| !self.members.is_self(instance));
        Keepers {
            instances,
            tried: AtomicUsize::new(0),
        }
    }

    /// Sends each record to the first `copies` instances that keep it and respond.
    fn send_to_keepers(self: &Arc<Self>, records: Vec<StreamRecord>, copies: usize) {
        for record in records {
            let outgoing = Arc::new(OutgoingRecord {
                keepers: self.keepers(Some(&record.key), None),
                record,
            });
            for _ in 0..copies {
                self.send_to_next(&outgoing);
            }
        }
    }

    fn send_to_next(self: &Arc<Self>, outgoing: &Arc<OutgoingRecord>) {
        let Some(keeper) = outgoing.keepers.next() else {
            return;
        };
        let mut outbox = lock(&self.outbox);
        let queue = outbox.queues.entry(keeper.clone()).or_default();
        if queue.len() >= MAX_QUEUED {
            metrics::counter!("savoryvane_stream_records_dropped_total").increment(1);
            return;
        }
        queue.push(Arc::clone(outgoing));
        if outbox.busy.insert(keeper.clone()) {
            let (origins, keeper) = (Arc::clone(self), keeper.clone());
            tokio::spawn(async move { origins.empty_queue(keeper).await });
        }
    }

    /// Sends the records that wait for `keeper`, those that come meanwhile together.
    async fn empty_queue(self: Arc<Self>, keeper: InstanceName) {
        loop {
            let batch = {
                let mut outbox = lock(&self.outbox);
                let queue = outbox.queues.entry(keeper.clone()).or_default();
                let count = queue.len().min(MAX_STREAM_RECORDS);
                let batch: Vec<Arc<OutgoingRecord>> = queue.drain(..count).collect();
                if batch.is_empty() {
                    outbox.queues.remove(&keeper);
                    outbox.busy.remove(&keeper);
                    return;
                }
                batch
            };
            let records = batch.iter().map(|outgoing| outgoing.record.clone());
            let message = Message::StreamRecords(records.collect());
            let response = self
                .members
                .peers()
                .request(&keeper, None, &message, RECORD_TIMEOUT)
                .await;
            let outcome = match response {
                Ok(Message::Ack(_)) => "kept",
                Ok(_) | Err(_) => "failed",
            };
            metrics::counter!("savoryvane_stream_records_sent_total", "outcome" => outcome)
                .increment(batch.len() as u64);
            if outcome == "failed" {
                batch
                    .iter()
                    .for_each(|outgoing| self.send_to_next(outgoing));
            }
        }
    }

    /// Sends the records that others have to the instances that are asked for them, since this
    /// one leaves.
    pub(super) fn hand_over(self: &Arc<Self>) {
        let now_ms = self.clock.now_ms();
        let records = self.records().shared(now_ms);
        info!(self.log, "stream records handed over"; "records" => records.len());
        self.send_to_keepers(records, RECORD_READERS);
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
            self.send_to_keepers(pending, RECORD_REPLICAS);
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
        let register_age_ms = origins.freshness.servers_age_ms();
        let now_ms = origins.clock.now_ms();
        origins
            .view
            .served_software()
            .on_register_age(now_ms, register_age_ms);
        origins.send_pending();
    }
}
