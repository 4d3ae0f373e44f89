//! Persists the crash records of pipeline requests on the log, so that quarantines survive
//! the loss of all instances.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use savoryvane_core::{
    ids::Offset,
    poison::{Renewal, StoredCrashes, StoredRecords},
    topology::Duty,
};
use savoryvane_wire::{
    platform::{QUARANTINE_STREAM, Records},
    quarantine,
};
use slog::{info, warn};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    crashes,
    instance::Shared,
    members,
    platform::{PlatformError, Result},
};

/// Interval at which the stream is read and new records are written.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed read or write.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Consecutive reads with a gap after which the missing records are skipped.
const MAX_GAP_READS: u32 = 10;
/// Number of instances that write at the same time, so that one of them may be lost
/// before the loss is detected. All of them write the same records.
const WRITERS: u64 = 2;

/// State of an instance that reads and writes the quarantine stream.
struct QuarantineWriter {
    records: StoredRecords,
    cursor: Offset,
    /// Consecutive reads with a gap.
    gap_reads: u32,
    renewal: Renewal,
}

impl QuarantineWriter {
    fn new(shared: &Shared) -> Self {
        Self {
            records: StoredRecords::default(),
            cursor: Offset::default(),
            gap_reads: 0,
            renewal: Renewal::new(shared.settings.platform.retention_ms),
        }
    }
}

/// Runs until the instance stops. Only writers use the log: they read it once a second,
/// as it may deliver the records of others late, and write once per request and renewal.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = time::interval(SYNC_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut writer = None;
    loop {
        ticks.tick().await;
        shared.ends.forget_expired(shared.clock.now_ms());
        if !is_writer(&shared) {
            writer = None;
            continue;
        }
        let writer = writer.get_or_insert_with(|| QuarantineWriter::new(&shared));
        if let Err(err) = synchronize(&shared, writer).await {
            warn!(shared.log, "failed to synchronize the quarantine stream"; "error" => %err);
            time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns whether this instance is a writer. It is not until it has read the list of
/// instances.
fn is_writer(shared: &Shared) -> bool {
    let has_listing = shared.listing.load().is_some();
    has_listing && members::rank_of_all(shared, Duty::Quarantine) < WRITERS
}

/// Reads new records from the log, and writes those that are missing there.
async fn synchronize(shared: &Shared, writer: &mut QuarantineWriter) -> Result<()> {
    while let Some(page) = read(shared, writer).await? {
        apply_page(shared, writer, &page);
    }
    let now_ms = shared.clock.now_ms();
    for stored in shared.ends.records_to_write(now_ms, &writer.renewal) {
        write(shared, &stored).await?;
        info!(shared.log, "quarantine kept"; "subject" => %stored.subject,
            "ends" => stored.ends.len());
        shared.ends.on_persisted(&stored);
    }
    writer.renewal.on_written(now_ms);
    Ok(())
}

/// Reads the next page of the stream, if one is available.
async fn read(shared: &Shared, writer: &mut QuarantineWriter) -> Result<Option<Records>> {
    let cursor = writer.cursor;
    let read = shared.platform.read(QUARANTINE_STREAM, cursor, 0).await;
    let page = match read {
        Err(PlatformError::Trimmed(first)) if first > cursor => {
            writer.cursor = first;
            let read = shared.platform.read(QUARANTINE_STREAM, first, 0);
            read.await?
        }
        read => read?,
    };
    if page.has_gap(writer.cursor) && writer.gap_reads < MAX_GAP_READS {
        writer.gap_reads += 1;
        return Ok(None);
    }
    Ok((!page.records.is_empty()).then_some(page))
}

/// Applies a whole page in one step, so that no record is skipped if the next page can't
/// be read.
fn apply_page(shared: &Shared, writer: &mut QuarantineWriter, page: &Records) {
    let mut changes = Vec::new();
    for record in &page.records {
        match quarantine::decode_record(record) {
            Ok(stored) => changes.push(writer.records.add(stored)),
            Err(err) => {
                warn!(shared.log, "quarantine record could not be decoded";
                    "offset" => record.offset.0, "error" => %err);
            }
        }
        writer.cursor = writer.cursor.max(record.offset.next());
    }
    writer.gap_reads = 0;
    crashes::on_log_changes(shared, changes);
    info!(shared.log, "quarantine read"; "records" => page.records.len(),
        "next" => writer.cursor.0);
}

async fn write(shared: &Shared, stored: &StoredCrashes) -> Result<()> {
    let payload =
        quarantine::encode(stored).map_err(|err| PlatformError::Malformed(err.to_string()))?;
    let payload = Bytes::from(payload);
    shared.platform.append(QUARANTINE_STREAM, payload).await?;
    Ok(())
}
