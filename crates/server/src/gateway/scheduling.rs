//! Finds the instance that schedules, and hands over to it.

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

/// Time between two questions to the instance that schedules: with two misses
/// it is given up within a second.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// The same while it is not known which one schedules: requests wait for that.
const LOOKING_INTERVAL: Duration = Duration::from_millis(50);
/// Time for such a question to be answered.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a request waits until it is known which instance schedules: twice what
/// it takes where all start at once. Nobody is reached then, and an instance that is
/// alone schedules for itself.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which one that was replaced sends on what comes to it: the others look every
/// 250 ms. What it scheduled beside the next one found servers busy, its inputs gone, and
/// was made up to four times.
const REPLACED_FOR: Duration = Duration::from_millis(1_000);

impl Members {
    /// Waits until it is known which instance schedules, for `longest` at most, and
    /// returns the one that seems to.
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

    /// Notes that the instance that schedules could not be reached or gave no
    /// answer, so that another one is asked.
    pub(super) fn on_scheduler_lost(&self, instance: &InstanceName, err: &PeerError) {
        warn!(self.log, "scheduler lost"; "scheduler" => %instance, "error" => %err);
        self.choice().on_unreachable(self.clock.now_ms(), instance);
        self.heard.send_replace(());
    }

    /// Waits until `instance` is found not to be reached.
    pub(super) async fn lost(&self, instance: &InstanceName) {
        let mut heard = self.heard.subscribe();
        while !self.choice().is_unreachable(instance) {
            // The sender lives as long as `self`.
            let _ = heard.changed().await;
        }
    }

    /// Notes that the instance that scheduled names another one, which it
    /// reaches; whether this one does shows when it is asked.
    pub(super) fn on_scheduler_told(&self, instance: &InstanceName) {
        self.choice().on_response(instance);
    }

    /// Notes that an instance does not schedule for others.
    pub(super) fn on_scheduler_declined(&self, instance: &InstanceName) {
        self.choice().on_declined(self.clock.now_ms(), instance);
    }

    /// Answers the question of whether this instance schedules.
    fn ask_self(&self, phases: &Phases) {
        if phases.is_leaving() {
            self.on_scheduler_declined(&self.me);
        } else {
            self.choice().on_response(&self.me);
        }
    }

    /// Hands over what this instance schedules to the one that does now: also what it
    /// began while it did not know of that one.
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

    /// Returns the instance that has begun to schedule instead of this one a moment ago:
    /// what others still send here is sent on. Later they have a reason to, since they
    /// do not reach that one.
    pub(super) fn replaced_by(&self) -> Option<InstanceName> {
        let replaced = self.replaced();
        let (since, other) = replaced.as_ref()?;
        (since.elapsed() < REPLACED_FOR).then(|| other.clone())
    }

    fn replaced(&self) -> MutexGuard<'_, Option<(Instant, InstanceName)>> {
        lock(&self.replaced)
    }
}

/// Watches which instance schedules, and follows what it knows.
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
    /// Asks the instance that schedules, and those that went before it, whether they are
    /// there.
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
            members.choice().on_probe_round(now_ms);
            let asked = members.choice().probe_targets(now_ms);
            for instance in asked {
                if members.is_me(&instance) {
                    members.ask_self(phases);
                } else {
                    tokio::spawn(Arc::clone(&self).ask(instance));
                }
            }
            // What is heard meanwhile may tell which one schedules.
            loop {
                let now = members.scheduler();
                if now != current {
                    members.on_chosen(current.as_ref(), now.as_ref(), &self.dispatch);
                    // What is kept is read at once by who schedules now.
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
                    choice.on_response(&instance);
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
                        choice.on_no_response(now_ms, &instance);
                    }
                    None
                }
            }
        };
        members.heard.send_replace(());
        // The next one is asked too; it knows what the one that schedules has told it.
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
