//! Sends records of streams to the instances that keep them.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use savoryvane_core::{
    forwarding::{StreamKey, StreamRecord, record_keepers},
    ids::InstanceName,
};
use savoryvane_wire::peer::{MAX_STREAM_RECORDS, Message};

use super::members::Members;
use crate::lock::lock;

/// Timeout for an instance to accept records.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);
/// Most instances of a cell that a record is sent to or asked for, counting those that do not
/// respond.
const MAX_TRIED: usize = 8;
/// Most records that wait for one instance.
const MAX_QUEUED: usize = 1_024;

/// Sends records, those that wait for one instance together.
#[derive(Debug)]
pub(super) struct RecordOutbox {
    members: Arc<Members>,
    queues: Mutex<Queues>,
}

/// Records that wait to be sent.
#[derive(Debug, Default)]
struct Queues {
    by_keeper: HashMap<InstanceName, Vec<Arc<OutgoingRecord>>>,
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
pub(super) struct Keepers {
    instances: Vec<InstanceName>,
    tried: AtomicUsize,
}

impl Keepers {
    /// Returns the next instance that was not tried yet, up to a limit.
    pub(super) fn next(&self) -> Option<&InstanceName> {
        let index = self.tried.fetch_add(1, Ordering::Relaxed);
        self.instances.get(index).filter(|_| index < MAX_TRIED)
    }
}

impl RecordOutbox {
    pub(super) fn new(members: Arc<Members>) -> Self {
        Self {
            members,
            queues: Mutex::default(),
        }
    }

    /// Returns the other instances of `cell`, or of this instance's one, that keep the record of
    /// a stream.
    pub(super) fn keepers(&self, key: Option<&StreamKey>, cell: Option<u32>) -> Keepers {
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
    pub(super) fn send(self: &Arc<Self>, records: Vec<StreamRecord>, copies: usize) {
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
        let mut queues = lock(&self.queues);
        let queue = queues.by_keeper.entry(keeper.clone()).or_default();
        if queue.len() >= MAX_QUEUED {
            metrics::counter!("savoryvane_stream_records_dropped_total").increment(1);
            return;
        }
        queue.push(Arc::clone(outgoing));
        if queues.busy.insert(keeper.clone()) {
            let (outbox, keeper) = (Arc::clone(self), keeper.clone());
            tokio::spawn(async move { outbox.empty_queue(keeper).await });
        }
    }

    /// Sends the records that wait for `keeper`, those that come meanwhile together.
    async fn empty_queue(self: Arc<Self>, keeper: InstanceName) {
        loop {
            let batch = {
                let mut queues = lock(&self.queues);
                let queue = queues.by_keeper.entry(keeper.clone()).or_default();
                let count = queue.len().min(MAX_STREAM_RECORDS);
                let batch: Vec<Arc<OutgoingRecord>> = queue.drain(..count).collect();
                if batch.is_empty() {
                    queues.by_keeper.remove(&keeper);
                    queues.busy.remove(&keeper);
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
}
