//! Relays the configuration stream between neighbours.

use savoryvane_core::config::{Content, Event, Head, Received};
use savoryvane_wire::{
    config,
    peer::{ConfigHead, ConfigRecords, Message, RelayedRecord},
};
use slog::warn;

use crate::{clock::unix_ms, follower, instance::Shared};

/// Maximum total size of the records in one message.
const MAX_MESSAGE_BYTES: usize = 512 << 10;
/// Maximum number of records in one message.
const MAX_MESSAGE_RECORDS: usize = 256;

/// Relays the head and the records to every neighbour.
pub(crate) fn send(shared: &Shared, head: Head, records: &[Received]) {
    let neighbours = shared.members.membership().neighbours().to_vec();
    for message in messages(shared, head, records) {
        for to in &neighbours {
            shared.members.peers().send(to, message.clone());
        }
    }
}

/// Applies a head relayed by a neighbour.
pub(crate) fn apply_head(shared: &Shared, head: ConfigHead) {
    let head = from_wire(head);
    let records = Vec::new();
    follower::apply(shared, Event::Relayed { head, records });
}

/// Applies records relayed by a neighbour.
pub(crate) fn apply_records(shared: &Shared, relayed: ConfigRecords) {
    let now_ms = unix_ms();
    let received = |record: RelayedRecord| Received {
        offset: record.offset,
        age_ms: now_ms.saturating_sub(record.appended_at_ms),
        content: follower::content(&shared.log, record.offset, config::decode(&record.payload)),
    };
    let head = from_wire(relayed.head);
    let records = relayed.records.into_iter().map(received).collect();
    follower::apply(shared, Event::Relayed { head, records });
}

/// Splits the head and the records into messages of bounded size, in order.
pub(crate) fn messages(shared: &Shared, head: Head, records: &[Received]) -> Vec<Message> {
    let head = to_wire(head);
    if records.is_empty() {
        return vec![Message::ConfigHead(head)];
    }
    let mut batches: Vec<Vec<RelayedRecord>> = vec![Vec::new()];
    let mut bytes = 0;
    for record in records.iter().map(|record| to_relayed(shared, record)) {
        let batch = batches.last().map_or(0, Vec::len);
        bytes += record.payload.len();
        if batch > 0 && (bytes > MAX_MESSAGE_BYTES || batch >= MAX_MESSAGE_RECORDS) {
            bytes = record.payload.len();
            batches.push(Vec::new());
        }
        if let Some(batch) = batches.last_mut() {
            batch.push(record);
        }
    }
    let message = |records| Message::ConfigRecords(ConfigRecords { head, records });
    batches.into_iter().map(message).collect()
}

fn to_relayed(shared: &Shared, record: &Received) -> RelayedRecord {
    RelayedRecord {
        offset: record.offset,
        appended_at_ms: unix_ms().saturating_sub(record.age_ms),
        payload: payload(shared, record),
    }
}

/// Encodes a record. An undecodable record is relayed as an empty payload, which can't be
/// decoded either.
fn payload(shared: &Shared, record: &Received) -> Vec<u8> {
    match &record.content {
        Content::Undecodable => Vec::new(),
        Content::Record(content) => config::encode(content).unwrap_or_else(|err| {
            warn!(shared.log, "configuration record not relayed";
                "offset" => record.offset.0, "error" => %err);
            Vec::new()
        }),
    }
}

fn to_wire(head: Head) -> ConfigHead {
    ConfigHead {
        next: head.next,
        age_ms: u32::try_from(head.age_ms).unwrap_or(u32::MAX),
    }
}

fn from_wire(head: ConfigHead) -> Head {
    Head {
        next: head.next,
        age_ms: head.age_ms.into(),
    }
}
