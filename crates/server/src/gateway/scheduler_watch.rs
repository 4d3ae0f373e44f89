//! Determines which instance is the scheduler, and hands over to it.

use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};

use savoryvane_core::ids::InstanceName;
use slog::{info, warn};
use tokio::time::{self, Instant};

use super::{
    catch_up::CatchUp, dispatch::Dispatch, limits::LimitSharing, members::Members,
    quarantine::Quarantine, routing_view::RoutingView, store::StoreClient,
};
use crate::{
    lock::lock,
    peer::PeerError,
    phase::{Phase, Phases},
};

/// Interval between two queries to the scheduler: two misses mark it as lost within a
/// second.
pub(super) const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval while the scheduler is unknown: requests wait for it.
pub(super) const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of these queries.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that a request waits for the scheduler to be known: twice as long as it
/// takes when all instances start at once. If that is exceeded, no other instance is
/// reachable, and an isolated instance is its own scheduler.
const SCHEDULER_WAIT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a replaced scheduler redirects what is submitted to it: the other
/// instances look for the scheduler every 250 ms. Stages that it scheduled in parallel
/// with its successor found servers busy and their inputs gone, and were run up to four
/// times.
const REDIRECT_WINDOW: Duration = Duration::from_millis(1_000);

impl Members {
    /// Waits until the scheduler is known, for `timeout` at most, and returns the current
    /// choice.
    pub(super) async fn wait_for_scheduler(&self, timeout: Duration) -> Option<InstanceName> {
        let until = Instant::now() + timeout.min(SCHEDULER_WAIT_TIMEOUT);
        let mut reachability_changed = self.reachability_changed.subscribe();
        loop {
            if let Some(scheduler) = self.scheduler() {
                return Some(scheduler);
            }
            let next_check = (Instant::now() + SEARCH_INTERVAL).min(until);
            // The sender lives as long as `self`.
            let _ = time::timeout_at(next_check, reachability_changed.changed()).await;
            if Instant::now() >= until {
                return self.choice().current().cloned();
            }
        }
    }

    /// Records that the scheduler was unreachable or gave no response, so that another
    /// instance is chosen.
    pub(super) fn on_scheduler_lost(&self, instance: &InstanceName, err: &PeerError) {
        warn!(self.log, "scheduler lost"; "scheduler" => %instance, "error" => %err);
        self.choice().on_unreachable(self.clock.now_ms(), instance);
        self.reachability_changed.send_replace(());
    }

    /// Waits until `instance` is found unreachable.
    pub(super) async fn wait_unreachable(&self, instance: &InstanceName) {
        let mut reachability_changed = self.reachability_changed.subscribe();
        while !self.choice().is_unreachable(instance) {
            // The sender lives as long as `self`.
            let _ = reachability_changed.changed().await;
        }
    }

    /// Records that the former scheduler has named its successor, which it can reach;
    /// whether this instance can is found out by its next query.
    pub(super) fn on_successor_named(&self, instance: &InstanceName) {
        self.choice().on_response(instance);
    }

    /// Records that an instance does not schedule for others.
    pub(super) fn on_scheduler_declined(&self, instance: &InstanceName) {
        self.choice().on_declined(self.clock.now_ms(), instance);
    }

    /// Updates the choice by whether this instance itself can schedule.
    fn check_self(&self, phases: &Phases) {
        if phases.is_leaving() {
            self.on_scheduler_declined(&self.me);
        } else {
            self.choice().on_response(&self.me);
        }
    }

    /// Reacts to a change of the scheduler: if it is another instance, hands over all
    /// stages scheduled here, including those begun before that scheduler was known.
    fn on_scheduler_changed(
        &self,
        before: Option<&InstanceName>,
        now: Option<&InstanceName>,
        dispatch: &Arc<Dispatch>,
    ) {
        info!(self.log, "scheduler chosen"; "scheduler" => now.map(ToString::to_string),
            "before" => before.map(ToString::to_string));
        let successor = now.filter(|now| !self.is_self(now));
        *self.replacement() = successor.map(|successor| (Instant::now(), successor.clone()));
        if successor.is_some() {
            dispatch.hand_over(successor);
        }
    }

    /// Returns the instance that recently replaced this one as the scheduler; submissions
    /// of others are redirected to it. A later submission has a reason to come here: its
    /// sender does not reach that instance.
    pub(super) fn successor(&self) -> Option<InstanceName> {
        let replacement = self.replacement();
        let (since, successor) = replacement.as_ref()?;
        (since.elapsed() < REDIRECT_WINDOW).then(|| successor.clone())
    }

    fn replacement(&self) -> MutexGuard<'_, Option<(Instant, InstanceName)>> {
        lock(&self.replacement)
    }
}

/// Tracks which instance is the scheduler, and copies its state.
pub(super) struct SchedulerWatch {
    pub(super) members: Arc<Members>,
    pub(super) catch_up: Arc<CatchUp>,
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) limits: Arc<LimitSharing>,
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) phases: Arc<Phases>,
    pub(super) store: StoreClient,
    pub(super) view: Arc<RoutingView>,
}

impl SchedulerWatch {
    /// Queries the scheduler, and the instances that rank before it, whether they
    /// schedule.
    pub(super) async fn run(self: Arc<Self>) {
        let (members, phases) = (&self.members, &self.phases);
        let mut reachability_changed = members.reachability_changed.subscribe();
        let mut current = None;
        loop {
            let interval = match current {
                Some(_) => QUERY_INTERVAL,
                None => SEARCH_INTERVAL,
            };
            let next_check = Instant::now() + interval;
            if phases.current() != Phase::Starting {
                self.store.set_reader(members.reader());
            }
            let now_ms = members.clock.now_ms();
            members.choice().on_probe_round(now_ms);
            let to_query = members.choice().probe_targets(now_ms);
            for instance in to_query {
                if members.is_self(&instance) {
                    members.check_self(phases);
                } else {
                    tokio::spawn(Arc::clone(&self).query_instance(instance));
                }
            }
            // Responses that arrive meanwhile may determine the scheduler.
            loop {
                let now = members.scheduler();
                if now != current {
                    members.on_scheduler_changed(current.as_ref(), now.as_ref(), &self.dispatch);
                    // A new scheduler reads the persisted quarantine at once.
                    self.quarantine.changed.notify_one();
                    let is_lost = now.is_none();
                    current = now;
                    if is_lost {
                        break;
                    }
                }
                tokio::select! {
                    () = time::sleep_until(next_check) => break,
                    _ = reachability_changed.changed() => {}
                    () = phases.reached(Phase::Leaving), if !phases.is_leaving() => break,
                }
            }
        }
    }

    async fn query_instance(self: Arc<Self>, instance: InstanceName) {
        let members = &self.members;
        let state = members.query_candidate(&instance, Members::choice).await;
        members.reachability_changed.send_replace(());
        // The next candidate is queried too; it has its state from the scheduler.
        let schedules = members.scheduler().as_ref() == Some(&instance);
        let Some(state) = state.filter(|_| schedules) else {
            return;
        };
        let now_ms = members.clock.now_ms();
        let zones = state.cut_off_zones;
        self.view.fleet().on_cut_off_advised(now_ms, zones);
        let incarnation = state.known.incarnation;
        tokio::join!(
            self.catch_up
                .follow_scheduler(members, &instance, state.known),
            self.quarantine.sync(&instance, incarnation),
            self.limits
                .exchange(members, &instance, incarnation, state.limits_revision),
        );
    }
}
