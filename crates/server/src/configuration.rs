//! The configuration in force on this instance: one follower that changes it,
//! any number of readers that never wait.

use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use savoryvane_core::{
    config::{
        Action, Event, Follower, FollowerSettings, Head, IgnoredCounts, Progress, Received, State,
    },
    fleet::Fleet,
    ids::Offset,
};
use tokio::sync::{mpsc, watch};

use crate::lock::lock;

/// Publishes the state of the follower.
#[derive(Debug)]
pub(crate) struct Configuration {
    fleet: Arc<Mutex<Fleet>>,
    published: ArcSwap<State>,
    next: watch::Sender<Offset>,
    follower: Mutex<Follower>,
    work: mpsc::UnboundedSender<Action>,
}

impl Configuration {
    /// Starts with the state before the first record; `fleet` is told of every
    /// change before anyone can read it. The receiver gets the actions that
    /// take time, at most one of each kind at once.
    pub(crate) fn new(
        settings: FollowerSettings,
        fleet: Arc<Mutex<Fleet>>,
    ) -> (Self, mpsc::UnboundedReceiver<Action>) {
        let (work, asked) = mpsc::unbounded_channel();
        let configuration = Self {
            fleet,
            published: ArcSwap::from_pointee(State::new()),
            next: watch::Sender::new(Offset::default()),
            follower: Mutex::new(Follower::new(settings)),
            work,
        };
        (configuration, asked)
    }

    /// Returns the configuration in force.
    pub(crate) fn state(&self) -> Arc<State> {
        self.published.load_full()
    }

    /// Watches the offset that is expected next.
    pub(crate) fn watch(&self) -> watch::Receiver<Offset> {
        self.next.subscribe()
    }

    /// Returns how far the follower is.
    pub(crate) fn progress(&self, now_ms: u64) -> Progress {
        self.lock().progress(now_ms)
    }

    /// Returns what the follower has ignored.
    pub(crate) fn ignored(&self) -> IgnoredCounts {
        self.lock().ignored()
    }

    /// Returns the head of the stream and the last records from `from` on, if
    /// they are all kept.
    pub(crate) fn recent(&self, now_ms: u64, from: Offset) -> Option<(Head, Vec<Received>)> {
        let follower = self.lock();
        let records = follower.recent(now_ms, from);
        let head = follower.head(now_ms)?;
        (!records.is_empty()).then_some((head, records))
    }

    /// Gives the follower an event and publishes the state when it changed.
    pub(crate) fn on_event(&self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut follower = self.lock();
        let before = follower.state().next();
        let actions = follower.on_event(now_ms, event);
        if follower.state().next() != before {
            self.publish(follower.state());
        }
        actions
    }

    /// Hands an action that takes time to the task that does such actions.
    pub(crate) fn ask(&self, action: Action) {
        // The receiver is gone only when the instance ends.
        let _ = self.work.send(action);
    }

    fn publish(&self, state: &State) {
        lock(&self.fleet).configure(state.pools(), state.backends());
        self.published.store(Arc::new(state.clone()));
        self.next.send_replace(state.next());
    }

    fn lock(&self) -> MutexGuard<'_, Follower> {
        lock(&self.follower)
    }
}
