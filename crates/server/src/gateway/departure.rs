//! When this process exits, and how much time that leaves for requests.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// Time before the process exits at which unanswered requests get their final response:
/// enough for some scheduling delays of a busy process and the network latency to the
/// caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Deadline of the shutdown, once one has been requested.
#[derive(Debug)]
pub(super) struct ShutdownDeadline {
    respond_by: watch::Sender<Option<Instant>>,
}

impl ShutdownDeadline {
    pub(super) fn new() -> Self {
        Self {
            respond_by: watch::Sender::new(None),
        }
    }

    /// Sets the time at which the process exits.
    pub(super) fn set(&self, at: Instant) {
        self.respond_by.send_replace(Some(at - RESPONSE_MARGIN));
    }

    /// Returns the time by which every request gets its final response, if a shutdown has
    /// been requested.
    pub(super) fn respond_by(&self) -> Option<Instant> {
        *self.respond_by.borrow()
    }

    /// Waits until at most `left` remains before the final responses; waits forever while
    /// no shutdown has been requested.
    pub(super) async fn wait_until_within(&self, left: Duration) {
        let mut respond_by = self.respond_by.subscribe();
        // The sender lives as long as `self`.
        if let Ok(at) = respond_by.wait_for(Option::is_some).await.map(|at| *at)
            && let Some(at) = at
        {
            time::sleep_until(at.checked_sub(left).unwrap_or(at)).await;
        }
    }
}
