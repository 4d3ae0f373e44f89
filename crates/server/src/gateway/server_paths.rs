//! Applies changes of the paths to backend servers, and tries the direct ones again.

use std::{sync::Arc, time::Duration};

use savoryvane_core::forwarding::PathChange;
use tokio::{
    sync::mpsc::UnboundedReceiver,
    time::{self, MissedTickBehavior},
};

use super::{dialer::ServerDialer, routing_view::RoutingView};
use crate::connections::Connections;

/// Interval between two direct attempts to servers that are reached through other instances.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Watches the paths of an instance to backend servers.
pub(super) struct PathWatch {
    pub(super) dialer: Arc<ServerDialer>,
    pub(super) servers: Arc<Connections>,
    pub(super) view: Arc<RoutingView>,
}

impl PathWatch {
    /// Applies `changes` as they come.
    pub(super) async fn run(self, mut changes: UnboundedReceiver<PathChange>) {
        let mut retries = time::interval(RETRY_INTERVAL);
        retries.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut turn = 0;
        let mut has_relayed = false;
        loop {
            tokio::select! {
                change = changes.recv() => match change {
                    Some(change) => {
                        self.apply(&change);
                        has_relayed = true;
                    }
                    None => return,
                },
                _ = retries.tick(), if has_relayed => {
                    has_relayed = self.dialer.retry_directly(turn).await;
                    turn = turn.wrapping_add(1);
                }
            }
        }
    }

    /// Closes idle connections that may be dead or take a detour.
    fn apply(&self, change: &PathChange) {
        if change.is_newly_cut_off {
            self.servers.close_all_idle();
        }
        let mut services = Vec::new();
        let directory = self.view.directory();
        for addr in &change.servers {
            self.servers.close_idle(*addr);
            services.extend(directory.service_at(*addr).cloned());
        }
        services.sort();
        services.dedup();
        // Open connections to other servers of the service have probably failed as well.
        for entry in directory.used_entries() {
            if services.contains(&entry.service) {
                self.servers.close_idle(entry.addr);
            }
        }
    }
}
