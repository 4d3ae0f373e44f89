//! Lifecycle phases of an instance.

use tokio::sync::watch;

/// Lifecycle phase of an instance. Phases only advance, in the order given here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The instance has no configuration yet.
    Starting,
    /// The instance is ready and accepts requests.
    Serving,
    /// The instance reports itself as not ready but still accepts requests, so that
    /// the load balancer has time to notice.
    Leaving,
    /// The instance accepts no connections and finishes the requests in flight.
    Draining,
}

/// Holds the current phase and notifies tasks that wait for a phase.
#[derive(Debug)]
pub(crate) struct Phases {
    sender: watch::Sender<Phase>,
}

impl Phases {
    /// Starts in [`Phase::Starting`].
    pub(crate) fn new() -> Self {
        Self {
            sender: watch::Sender::new(Phase::Starting),
        }
    }

    /// Advances to `phase`, unless that phase is already reached or passed.
    pub(crate) fn advance(&self, phase: Phase) {
        self.sender.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        });
    }

    /// Returns the current phase.
    pub(crate) fn current(&self) -> Phase {
        *self.sender.borrow()
    }

    /// Returns whether the instance has begun to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.current() >= Phase::Leaving
    }

    /// Returns a receiver of the phase's changes.
    pub(crate) fn watch(&self) -> watch::Receiver<Phase> {
        self.sender.subscribe()
    }

    /// Waits until `phase` is reached or passed.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut watch = self.watch();
        // The sender lives as long as `self`, so this can't fail.
        let _ = watch.wait_for(|current| *current >= phase).await;
    }
}
