//! Keeps requests of pipelines that are quarantined on the log, for the case that all
//! instances are lost.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use savoryvane_core::{
    ids::Offset,
    poison::{Renewal, StoredEnds, StoredRecords},
    topology::Duty,
};
use savoryvane_wire::{platform::QUARANTINE_STREAM, quarantine};
use slog::{info, warn};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    ends,
    instance::Shared,
    members,
    platform::{PlatformError, Result},
};

/// Time between two looks at what is to be kept.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the log has failed.
const FAILED_PAUSE: Duration = Duration::from_secs(2);
/// Instances that write beside each other, so that one of them may be lost and not yet
/// missed. What both write is the same.
const KEEPERS: u64 = 2;

/// Runs for as long as the instance does. Only the keepers read and write the log: a read
/// when one becomes that, a write for each request and renewal, none in between.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut looks = time::interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut renewal: Option<Renewal> = None;
    loop {
        looks.tick().await;
        shared.ends.forget_old(shared.clock.now_ms());
        if !is_keeper(&shared) {
            renewal = None;
            continue;
        }
        if let Err(err) = keep(&shared, &mut renewal).await {
            warn!(shared.log, "quarantine neither read nor kept"; "error" => %err);
            time::sleep(FAILED_PAUSE).await;
        }
    }
}

/// Tells whether this instance is a keeper. One that does not know the list yet is none.
fn is_keeper(shared: &Shared) -> bool {
    let knows_others = shared.listing.load().is_some();
    knows_others && members::rank_of_all(shared, Duty::Quarantine) < KEEPERS
}

/// Reads the log if this instance has just become a keeper, and writes what is not there.
async fn keep(shared: &Shared, renewal: &mut Option<Renewal>) -> Result<()> {
    let renewal = match renewal {
        Some(renewal) => renewal,
        None => {
            ends::on_stored(shared, read(shared).await?);
            renewal.insert(Renewal::new(shared.settings.platform.retention_ms))
        }
    };
    let now_ms = shared.clock.now_ms();
    for stored in shared.ends.to_write(now_ms, renewal) {
        write(shared, &stored).await?;
        info!(shared.log, "quarantine kept"; "digest" => %stored.digest,
            "ends" => stored.ends.len());
        shared.ends.on_kept(&stored);
    }
    renewal.on_written(now_ms);
    Ok(())
}

/// Reads the whole stream.
async fn read(shared: &Shared) -> Result<Vec<StoredEnds>> {
    let mut kept = StoredRecords::default();
    let mut cursor = Offset::default();
    loop {
        let answer = match shared.platform.read(QUARANTINE_STREAM, cursor, 0).await {
            Err(PlatformError::Trimmed(first)) if first > cursor => {
                cursor = first;
                continue;
            }
            answer => answer?,
        };
        let Some(last) = answer.records.last() else {
            break;
        };
        for record in &answer.records {
            match quarantine::decode_record(record) {
                Ok(stored) => kept.add(stored),
                Err(err) => {
                    warn!(shared.log, "quarantined request not understood";
                        "offset" => record.offset.0, "error" => %err);
                }
            }
        }
        cursor = last.offset.next();
    }
    let kept = kept.into_requests();
    info!(shared.log, "quarantine read"; "requests" => kept.len(), "next" => cursor.0);
    Ok(kept)
}

async fn write(shared: &Shared, stored: &StoredEnds) -> Result<()> {
    let payload =
        quarantine::encode(stored).map_err(|err| PlatformError::Malformed(err.to_string()))?;
    let payload = Bytes::from(payload);
    shared.platform.append(QUARANTINE_STREAM, payload).await?;
    Ok(())
}
