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
    let mut told = HashSet::new();
    loop {
        match shared.platform.listing().await {
            Ok(listing) => take(&shared, &mut told, listing),
            Err(err) => debug!(shared.log, "list of instances not read"; "error" => %err),
        }
        let jittered_ms = random_range(INTERVAL_MS * 3 / 4..=INTERVAL_MS * 5 / 4);
        time::sleep(Duration::from_millis(jittered_ms)).await;
    }
}

/// A backend server is told leaving once for each time that the list begins to
/// say so: the list lags, and what the server says itself is newer.
fn take(shared: &Shared, told: &mut HashSet<BackendName>, listing: Listing) {
    let leaving: HashSet<BackendName> = listing
        .entries
        .iter()
        .filter(|entry| entry.role == ListedRole::Backend && entry.state == ListedState::Leaving)
        .map(|entry| BackendName::new(&entry.name))
        .collect();
    for backend in leaving.difference(told) {
        shared.fleet().on_leaving(backend);
    }
    *told = leaving;
    members::take_list(shared, &listing);
    shared.listing.store(Some(Arc::new(listing)));
}
