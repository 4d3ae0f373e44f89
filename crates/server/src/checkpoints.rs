//! Writes the configuration to the log again before its records expire.
//!
//! Any instance may write a checkpoint; each waits for as long as its rank, so
//! that usually one does. A second one is harmless.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use savoryvane_core::config::ConfigRecord;
use savoryvane_wire::{
    config,
    platform::{CONFIG_STREAM, ListedRole, ListedState},
};
use sha2::{Digest, Sha256};
use slog::{info, warn};
use tokio::time;

use crate::{clock::unix_ms, instance::Shared, phase::Phase, platform::PlatformError};

/// Share of the retention after which a checkpoint is due.
const DUE_SHARE: u64 = 3;
/// Share of the retention between two looks.
const LOOK_SHARE: u64 = 30;
/// Shortest and longest time between two looks, in ms.
const LOOK_MS: (u64, u64) = (100, 60_000);
/// Time that an instance leaves to each one that ranks before it, in ms.
const RANK_DELAY_MS: u64 = 1_000;

/// Looks after checkpoints for as long as the instance lives.
pub(crate) async fn run(shared: Arc<Shared>) {
    let look_ms = (shared.settings.platform.retention_ms / LOOK_SHARE).clamp(LOOK_MS.0, LOOK_MS.1);
    loop {
        time::sleep(Duration::from_millis(look_ms)).await;
        if !is_due(&shared) {
            continue;
        }
        time::sleep(Duration::from_millis(rank(&shared) * RANK_DELAY_MS)).await;
        if is_due(&shared) {
            write_and_note(&shared).await;
        }
    }
}

fn is_due(shared: &Shared) -> bool {
    let due_ms = shared.settings.platform.retention_ms / DUE_SHARE;
    shared.phases.current() == Phase::Serving
        && shared
            .configuration
            .checkpoint_at_ms()
            .is_some_and(|at_ms| unix_ms().saturating_sub(at_ms) > due_ms)
}

/// Counts the live instances that rank before this one, by rendezvous hash
/// over the offset that the checkpoint would cover.
fn rank(shared: &Shared) -> u64 {
    let covers = shared.configuration.state().next().0;
    let score = |name: &str| {
        let digest = Sha256::new().chain_update(covers.to_be_bytes());
        digest.chain_update(name.as_bytes()).finalize()
    };
    let own = shared.settings.instance.as_str();
    let own_score = score(own);
    let listing = shared.listing.load();
    let before = listing
        .iter()
        .flat_map(|listing| &listing.entries)
        .filter(|entry| entry.role == ListedRole::Entry && entry.state == ListedState::Live)
        .filter(|entry| entry.name != own && score(&entry.name) < own_score)
        .count();
    u64::try_from(before).unwrap_or(u64::MAX)
}

async fn write_and_note(shared: &Shared) {
    match write(shared).await {
        Ok(parts) => info!(shared.log, "checkpoint written"; "parts" => parts),
        Err(err) => warn!(shared.log, "checkpoint not written"; "error" => %err),
    }
}

async fn write(shared: &Shared) -> Result<usize, PlatformError> {
    let parts = shared.configuration.state().checkpoint();
    let count = parts.len();
    for part in parts {
        let payload = config::encode(&ConfigRecord::Checkpoint(part))
            .map_err(|err| PlatformError::Malformed(err.to_string()))?;
        shared
            .platform
            .append(CONFIG_STREAM, Bytes::from(payload))
            .await?;
    }
    Ok(count)
}
