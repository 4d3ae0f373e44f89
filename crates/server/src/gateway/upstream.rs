//! Copies updates from the scheduler of the cell that reads the store to the scheduler of
//! another cell, whose members get them from there.

use std::sync::{Arc, MutexGuard};

use savoryvane_core::{ids::InstanceName, stages::SchedulerSelector};
use savoryvane_wire::peer::{Message, SchedulerQuery, SchedulerState};
use slog::info;
use tokio::time;

use super::{
    catch_up::CatchUp,
    members::Members,
    quarantine::Quarantine,
    scheduler_watch::{QUERY_INTERVAL, QUERY_TIMEOUT, SEARCH_INTERVAL},
};

/// Copies updates while this instance schedules for a cell that does not read the store.
pub(super) struct UpstreamWatch {
    pub(super) members: Arc<Members>,
    pub(super) catch_up: Arc<CatchUp>,
    pub(super) quarantine: Arc<Quarantine>,
}

impl UpstreamWatch {
    /// Queries the scheduler of the reading cell, and the instances that rank before it.
    pub(super) async fn run(self: Arc<Self>) {
        let members = &self.members;
        let mut current = None;
        loop {
            let is_needed = members.needs_upstream();
            time::sleep(match current {
                None if is_needed => SEARCH_INTERVAL,
                _ => QUERY_INTERVAL,
            })
            .await;
            if !is_needed {
                current = None;
                continue;
            }
            let now_ms = members.clock.now_ms();
            let targets = {
                let mut upstream = members.upstream();
                upstream.on_probe_round(now_ms);
                upstream.probe_targets(now_ms)
            };
            for instance in targets {
                tokio::spawn(Arc::clone(&self).query_instance(instance));
            }
            let now = members.upstream().settled(now_ms).cloned();
            if now != current {
                info!(members.log, "upstream chosen";
                    "upstream" => now.as_ref().map(ToString::to_string));
                current = now;
            }
        }
    }

    async fn query_instance(self: Arc<Self>, instance: InstanceName) {
        let members = &self.members;
        let state = members.query_candidate(&instance, Members::upstream).await;
        let is_upstream = members.upstream().settled(members.clock.now_ms()) == Some(&instance);
        let Some(state) = state.filter(|_| is_upstream) else {
            return;
        };
        let incarnation = state.known.incarnation;
        tokio::join!(
            self.catch_up
                .follow_scheduler(members, &instance, state.known),
            self.quarantine.sync(&instance, incarnation),
        );
    }
}

impl Members {
    /// Queries whether an instance schedules, and records the outcome with a selector. Returns
    /// its state if it does.
    pub(super) async fn query_candidate(
        &self,
        instance: &InstanceName,
        selector: fn(&Self) -> MutexGuard<'_, SchedulerSelector>,
    ) -> Option<SchedulerState> {
        let query = Message::SchedulerQuery(SchedulerQuery);
        let began_ms = self.clock.now_ms();
        let response = self
            .peers()
            .request(instance, None, &query, QUERY_TIMEOUT)
            .await;
        let now_ms = self.clock.now_ms();
        let mut selector = selector(self);
        match response {
            Ok(Message::SchedulerState(mut state)) if state.is_taking => {
                selector.on_response(instance);
                state.known = state.known.aged_by(now_ms - began_ms);
                return Some(state);
            }
            Ok(_) => selector.on_declined(now_ms, instance),
            Err(err) if err.is_not_processed() => selector.on_unreachable(now_ms, instance),
            Err(_) => selector.on_no_response(now_ms, instance),
        }
        None
    }
}
