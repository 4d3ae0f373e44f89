//! The configuration in force on this instance, updated by one follower and read
//! without blocking.

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

/// Runs the configuration follower and publishes its state.
#[derive(Debug)]
pub(crate) struct Configuration {
    fleet: Arc<Mutex<Fleet>>,
    published: ArcSwap<State>,
    next: watch::Sender<Offset>,
    follower: Mutex<Follower>,
    actions: mpsc::UnboundedSender<Action>,
}

impl Configuration {
    /// Starts with the state before the first record. Every change is applied to
    /// `fleet` before it becomes readable. The receiver gets the actions to run
    /// asynchronously, at most one of each kind at a time.
    pub(crate) fn new(
        settings: FollowerSettings,
        fleet: Arc<Mutex<Fleet>>,
    ) -> (Self, mpsc::UnboundedReceiver<Action>) {
        let (actions, action_receiver) = mpsc::unbounded_channel();
        let configuration = Self {
            fleet,
            published: ArcSwap::from_pointee(State::new()),
            next: watch::Sender::new(Offset::default()),
            follower: Mutex::new(Follower::new(settings)),
            actions,
        };
        (configuration, action_receiver)
    }

    /// Returns the configuration in force.
    pub(crate) fn state(&self) -> Arc<State> {
        self.published.load_full()
    }

    /// Returns a receiver of the next expected offset.
    pub(crate) fn watch(&self) -> watch::Receiver<Offset> {
        self.next.subscribe()
    }

    /// Returns the progress of the follower.
    pub(crate) fn progress(&self, now_ms: u64) -> Progress {
        self.lock().progress(now_ms)
    }

    /// Returns the counts of ignored records.
    pub(crate) fn ignored(&self) -> IgnoredCounts {
        self.lock().ignored()
    }

    /// Returns the head of the stream and the records from `from` on, or `None` if
    /// the follower no longer retains all of them.
    pub(crate) fn recent(&self, now_ms: u64, from: Offset) -> Option<(Head, Vec<Received>)> {
        let follower = self.lock();
        let records = follower.recent(now_ms, from);
        let head = follower.head(now_ms)?;
        (!records.is_empty()).then_some((head, records))
    }

    /// Passes an event to the follower and publishes the state if it changed.
    pub(crate) fn on_event(&self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut follower = self.lock();
        let previous_next = follower.state().next();
        let actions = follower.on_event(now_ms, event);
        if follower.state().next() != previous_next {
            self.publish(follower.state());
        }
        actions
    }

    /// Queues an action for the task that runs actions asynchronously.
    pub(crate) fn enqueue(&self, action: Action) {
        // The receiver is dropped only when the instance ends.
        let _ = self.actions.send(action);
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
