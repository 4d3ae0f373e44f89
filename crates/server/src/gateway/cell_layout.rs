//! Adapts the number of cells to the listed instances and the registered servers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use savoryvane_core::{
    forwarding::{CellLayout, FleetSize, RoutingConfig, Scope, StoreRole},
    ids::PoolName,
};
use savoryvane_platform::store as platform_store;
use slog::{Logger, info, warn};
use tokio::{sync::Notify, time};

use super::{members::Members, routing_view::RoutingView, store::StoreClient};

/// Interval between two checks of the number of cells.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Adapts the number of cells while this instance reads the store for all others.
pub(super) struct CellPlanner {
    pub(super) members: Arc<Members>,
    pub(super) view: Arc<RoutingView>,
    pub(super) store: StoreClient,
    /// Notified when the list of instances has to be read again.
    pub(super) list_written: Arc<Notify>,
    pub(super) log: Logger,
}

impl CellPlanner {
    pub(super) async fn run(self) {
        let mut checked_instances = 0;
        loop {
            time::sleep(CHECK_INTERVAL).await;
            let instances = self.members.count();
            // While many start, the list grows from check to check.
            let is_stable = std::mem::replace(&mut checked_instances, instances) == instances;
            if is_stable && self.members.reader() == StoreRole::Scheduler {
                self.check(instances).await;
            }
        }
    }

    async fn check(&self, instances: usize) {
        let Some(size) = self.fleet_size(instances) else {
            return;
        };
        let current = self.members.layout();
        let layout = current.adapted_to(&size);
        if !self.is_outdated(layout) || self.store.try_begin().is_err() {
            return;
        }
        info!(self.log, "number of cells chosen"; "cells" => layout.cells(),
            "before" => current.cells(), "instances" => instances,
            "batched" => ?size.batched_servers, "unbatched" => ?size.unbatched_servers);
        let written = match platform_store::write_cells(layout) {
            Ok(call) => self.store.write(call).await,
            Err(err) => return warn!(self.log, "number of cells not encoded"; "error" => %err),
        };
        match written {
            Ok(()) => self.list_written.notify_one(),
            Err(err) => warn!(self.log, "number of cells not written yet"; "error" => %err),
        }
    }

    /// Returns whether the list has another layout, or lost it with a restore of the store.
    fn is_outdated(&self, layout: CellLayout) -> bool {
        match self.members.listed_layout() {
            None => layout != CellLayout::SINGLE,
            Some(listed) => {
                let era = self.members.list_cursor().era;
                listed.layout != layout || listed.position.era < era
            }
        }
    }

    /// Returns the size of the fleet, once the whole register is known.
    fn fleet_size(&self, instances: usize) -> Option<FleetSize> {
        let table = self.view.table()?;
        let counts = {
            let directory = self.view.directory();
            let is_complete = directory.scope() == Scope::ALL && !directory.cursor().is_start();
            is_complete.then(|| directory.counts_by_service())?
        };
        Some(size_of(table.config(), &counts, instances))
    }
}

fn size_of(
    config: &RoutingConfig,
    counts: &HashMap<PoolName, usize>,
    instances: usize,
) -> FleetSize {
    let count = |name: &PoolName| counts.get(name).copied().unwrap_or_default();
    let services = config.services.iter();
    let (batched, unbatched): (Vec<_>, Vec<_>) =
        services.partition(|service| service.batching.is_some());
    FleetSize {
        instances,
        batched_servers: batched.iter().map(|service| count(&service.name)).collect(),
        unbatched_servers: unbatched
            .iter()
            .map(|service| count(&service.name))
            .collect(),
    }
}
