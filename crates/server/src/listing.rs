//! Reads the platform's list of instances and backend servers, which lags, and stores the
//! newest version.

use std::{collections::HashSet, sync::Arc, time::Duration};

use rand::random_range;
use savoryvane_core::{ids::BackendName, roster::list_interval_ms};
use savoryvane_wire::platform::{ListedRole, ListedState, Listing};
use slog::debug;
use tokio::time;

use crate::{instance::Shared, members};

/// Reads the list until the instance stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut interval_ms = list_interval_ms(0);
    loop {
        match shared.platform.listing().await {
            Ok(listing) => {
                interval_ms = list_interval_ms(listing.entries.len());
                apply(&shared, listing);
            }
            Err(err) => debug!(shared.log, "failed to read the list of instances"; "error" => %err),
        }
        let jittered_ms = random_range(interval_ms * 3 / 4..=interval_ms * 5 / 4);
        time::sleep(Duration::from_millis(jittered_ms)).await;
    }
}

fn apply(shared: &Shared, listing: Listing) {
    let leaving: HashSet<BackendName> = listing
        .entries
        .iter()
        .filter(|entry| entry.role == ListedRole::Backend && entry.state == ListedState::Leaving)
        .map(|entry| BackendName::new(&entry.name))
        .collect();
    shared.fleet().on_listed_leaving(&leaving);
    // Other instances may read the list much later.
    for backend in &leaving {
        members::announce_backend_leaving(shared, backend);
    }
    members::apply_listing(shared, &listing);
    shared.listing.store(Some(Arc::new(listing)));
}
