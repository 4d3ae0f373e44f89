//! The phases an instance goes through from its start to its end.

use tokio::sync::watch;

/// Phase of an instance's life; phases only ever advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It has no configuration yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It is not ready any more but still takes what comes, so that the
    /// balancer has time to notice.
    Leaving,
    /// It accepts no connections and finishes what it has.
    Draining,
}

/// Publishes the phase of this instance.
#[derive(Debug)]
pub(crate) struct Phases {
    sender: watch::Sender<Phase>,
}

impl Phases {
    /// Begins in [`Phase::Starting`].
    pub(crate) fn new() -> Self {
        Self {
            sender: watch::Sender::new(Phase::Starting),
        }
    }

    /// Advances to `phase`; does nothing when that one is reached or passed.
    pub(crate) fn advance(&self, phase: Phase) {
        self.sender.send_if_modified(|current| {
            let advances = phase > *current;
            if advances {
                *current = phase;
            }
            advances
        });
    }

    /// Returns the current phase.
    pub(crate) fn current(&self) -> Phase {
        *self.sender.borrow()
    }

    /// Tells whether the instance has begun to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.current() >= Phase::Leaving
    }

    /// Watches the phase.
    pub(crate) fn watch(&self) -> watch::Receiver<Phase> {
        self.sender.subscribe()
    }

    /// Waits until `phase` is reached or passed.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut watch = self.watch();
        // The sender lives as long as `self`, so that this can't fail.
        let _ = watch.wait_for(|current| *current >= phase).await;
    }
}
