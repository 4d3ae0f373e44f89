//! Reads the platform's list, which lags, and keeps the newest one.

use std::{collections::HashSet, sync::Arc, time::Duration};

use rand::random_range;
use savoryvane_core::ids::BackendName;
use savoryvane_wire::platform::{ListedRole, ListedState, Listing};
use slog::debug;
use tokio::time;

use crate::{instance::Shared, members};

/// Time between two reads of the list, in ms.
const INTERVAL_MS: u64 = 500;

/// Reads the list for as long as the instance lives.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        match shared.platform.listing().await {
            Ok(listing) => take(&shared, listing),
            Err(err) => debug!(shared.log, "list of instances not read"; "error" => %err),
        }
        let jittered_ms = random_range(INTERVAL_MS * 3 / 4..=INTERVAL_MS * 5 / 4);
        time::sleep(Duration::from_millis(jittered_ms)).await;
    }
}

fn take(shared: &Shared, listing: Listing) {
    let leaving: HashSet<BackendName> = listing
        .entries
        .iter()
        .filter(|entry| entry.role == ListedRole::Backend && entry.state == ListedState::Leaving)
        .map(|entry| BackendName::new(&entry.name))
        .collect();
    shared.fleet().on_listed_leaving(&leaving);
    members::take_list(shared, &listing);
    shared.listing.store(Some(Arc::new(listing)));
}
