//! Follows the configuration stream of the platform's log.

use std::{sync::Arc, time::Duration};

use rand::random_range;
use savoryvane_core::ids::Offset;
use savoryvane_wire::platform::{CONFIG_STREAM, Records};
use slog::{debug, warn};
use tokio::time;

use crate::{instance::Shared, phase::Phase, platform::PlatformError};

/// Time between two attempts while the log does not answer, in ms.
const RETRY_MS: u64 = 200;

/// Reads the stream for as long as the instance lives.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut cursor = Offset::default();
    loop {
        cursor = cursor.max(shared.configuration.state().next());
        let wait_ms = shared.platform.wait_ms();
        match shared.platform.read(CONFIG_STREAM, cursor, wait_ms).await {
            Ok(records) => cursor = take(&shared, cursor, &records),
            Err(PlatformError::Trimmed(first)) => {
                warn!(shared.log, "configuration records are no longer kept";
                    "expected" => cursor.0, "first" => first.0);
                cursor = first.max(cursor.next());
            }
            Err(err) => {
                metrics::counter!("savoryvane_log_read_errors_total").increment(1);
                debug!(shared.log, "configuration stream not read"; "error" => %err);
                pause().await;
            }
        }
    }
}

fn take(shared: &Shared, cursor: Offset, records: &Records) -> Offset {
    let read_next = shared.configuration.apply(&records.records);
    let cursor = read_next.unwrap_or(cursor);
    let is_at_head = cursor >= records.next;
    let is_whole = shared.configuration.state().next() >= records.next;
    if is_at_head && is_whole {
        shared.configuration.heard_head();
        shared.phases.advance(Phase::Serving);
    }
    cursor
}

async fn pause() {
    let jittered_ms = random_range(RETRY_MS / 2..=RETRY_MS);
    time::sleep(Duration::from_millis(jittered_ms)).await;
}
