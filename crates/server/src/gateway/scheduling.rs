//! Determines which instance is the scheduler, and hands over to it.

use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};

use savoryvane_core::ids::InstanceName;
use savoryvane_wire::peer::{Message, SchedulerQuery};
use slog::{info, warn};
use tokio::time::{self, Instant};

use super::{
    catch_up::CatchUp, dispatch::Dispatch, limits::LimitSharing, members::Members,
    quarantine::Quarantine, store::StoreClient,
};
use crate::{
    lock::lock,
    peer::PeerError,
    phase::{Phase, Phases},
};

/// Interval between two queries to the scheduler: two misses mark it as lost within a
/// second.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval while the scheduler is unknown: requests wait for it.
const LOOKING_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of these queries.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that a request waits for the scheduler to be known: twice as long as it
/// takes when all instances start at once. If that is exceeded, no other instance is
/// reachable, and an isolated instance is its own scheduler.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a replaced scheduler redirects what is submitted to it: the other
/// instances look for the scheduler every 250 ms. Stages that it scheduled in parallel
/// with its successor found servers busy and their inputs gone, and were run up to four
/// times.
const REPLACED_FOR: Duration = Duration::from_millis(1_000);

impl Members {
    /// Waits until the scheduler is known, for `timeout` at most, and returns the current
    /// choice.
    pub(super) async fn settled(&self, longest: Duration) -> Option<InstanceName> {
        let until = Instant::now() + longest.min(SETTLE_TIMEOUT);
        let mut heard = self.heard.subscribe();
        loop {
            if let Some(scheduler) = self.scheduler() {
                return Some(scheduler);
            }
            let look = (Instant::now() + LOOKING_INTERVAL).min(until);
            // The sender lives as long as `self`.
            let _ = time::timeout_at(look, heard.changed()).await;
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
        self.heard.send_replace(());
    }

    /// Waits until `instance` is found unreachable.
    pub(super) async fn lost(&self, instance: &InstanceName) {
        let mut heard = self.heard.subscribe();
        while !self.choice().is_away(instance) {
            // The sender lives as long as `self`.
            let _ = heard.changed().await;
        }
    }

    /// Records that the former scheduler has named its successor, which it can reach;
    /// whether this instance can is found out by its next query.
    pub(super) fn on_scheduler_told(&self, instance: &InstanceName) {
        self.choice().on_answer(instance);
    }

    /// Records that an instance does not schedule for others.
    pub(super) fn on_scheduler_declined(&self, instance: &InstanceName) {
        self.choice().on_declined(self.clock.now_ms(), instance);
    }

    /// Updates the choice by whether this instance itself can schedule.
    fn ask_self(&self, phases: &Phases) {
        if phases.is_leaving() {
            self.on_scheduler_declined(&self.me);
        } else {
            self.choice().on_answer(&self.me);
        }
    }

    /// Reacts to a change of the scheduler: if it is another instance, hands over all
    /// stages scheduled here, including those begun before that scheduler was known.
    fn on_chosen(
        &self,
        before: Option<&InstanceName>,
        now: Option<&InstanceName>,
        dispatch: &Arc<Dispatch>,
    ) {
        info!(self.log, "scheduler chosen"; "scheduler" => now.map(ToString::to_string),
            "before" => before.map(ToString::to_string));
        let other = now.filter(|now| !self.is_me(now));
        *self.replaced() = other.map(|other| (Instant::now(), other.clone()));
        if other.is_some() {
            dispatch.hand_over(other);
        }
    }

    /// Returns the instance that recently replaced this one as the scheduler; submissions
    /// of others are redirected to it. A later submission has a reason to come here: its
    /// sender does not reach that instance.
    pub(super) fn replaced_by(&self) -> Option<InstanceName> {
        let replaced = self.replaced();
        let (since, other) = replaced.as_ref()?;
        (since.elapsed() < REPLACED_FOR).then(|| other.clone())
    }

    fn replaced(&self) -> MutexGuard<'_, Option<(Instant, InstanceName)>> {
        lock(&self.replaced)
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
}

impl SchedulerWatch {
    /// Queries the scheduler, and the instances that rank before it, whether they
    /// schedule.
    pub(super) async fn run(self: Arc<Self>) {
        let (members, phases) = (&self.members, &self.phases);
        let mut heard = members.heard.subscribe();
        let mut current = None;
        loop {
            let interval = match current {
                Some(_) => ASK_INTERVAL,
                None => LOOKING_INTERVAL,
            };
            let next_look = Instant::now() + interval;
            if phases.current() != Phase::Starting {
                self.store.set_reader(members.reader());
            }
            let now_ms = members.clock.now_ms();
            members.choice().on_look(now_ms);
            let asked = members.choice().to_ask(now_ms);
            for instance in asked {
                if members.is_me(&instance) {
                    members.ask_self(phases);
                } else {
                    tokio::spawn(Arc::clone(&self).ask(instance));
                }
            }
            // Responses that arrive meanwhile may determine the scheduler.
            loop {
                let now = members.scheduler();
                if now != current {
                    members.on_chosen(current.as_ref(), now.as_ref(), &self.dispatch);
                    // A new scheduler reads the persisted quarantine at once.
                    self.quarantine.changed.notify_one();
                    let is_lost = now.is_none();
                    current = now;
                    if is_lost {
                        break;
                    }
                }
                tokio::select! {
                    () = time::sleep_until(next_look) => break,
                    _ = heard.changed() => {}
                    () = phases.reached(Phase::Leaving), if !phases.is_leaving() => break,
                }
            }
        }
    }

    async fn ask(self: Arc<Self>, instance: InstanceName) {
        let members = &self.members;
        let question = Message::SchedulerQuery(SchedulerQuery);
        let answer = members
            .peers()
            .request(&instance, None, &question, ASK_TIMEOUT)
            .await;
        let now_ms = members.clock.now_ms();
        let state = {
            let mut choice = members.choice();
            match answer {
                Ok(Message::SchedulerState(state)) if state.is_taking => {
                    choice.on_answer(&instance);
                    Some(state)
                }
                Ok(_) => {
                    choice.on_declined(now_ms, &instance);
                    None
                }
                Err(err) => {
                    if err.is_nothing_done() {
                        choice.on_unreachable(now_ms, &instance);
                    } else {
                        choice.on_miss(now_ms, &instance);
                    }
                    None
                }
            }
        };
        members.heard.send_replace(());
        // The next candidate is queried too; it has its state from the scheduler.
        let schedules = members.scheduler().as_ref() == Some(&instance);
        let Some(state) = state.filter(|_| schedules) else {
            return;
        };
        let incarnation = state.known.incarnation;
        tokio::join!(
            self.catch_up.follow(members, &instance, state.known),
            self.quarantine.follow(&instance, incarnation),
            self.limits
                .follow(members, &instance, incarnation, state.limits_revision),
        );
    }
}
