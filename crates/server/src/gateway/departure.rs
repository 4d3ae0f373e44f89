//! When this process exits, and how much time that leaves for requests.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// Time before the process exits at which unanswered requests get their final response:
/// enough for some scheduling delays of a busy process and the network latency to the
/// caller.
const ANSWER_SPARE: Duration = Duration::from_millis(300);

/// Deadline of the shutdown, once one has been requested.
#[derive(Debug)]
pub(super) struct Departure {
    answers_by: watch::Sender<Option<Instant>>,
}

impl Departure {
    pub(super) fn new() -> Self {
        Self {
            answers_by: watch::Sender::new(None),
        }
    }

    /// Sets the time at which the process exits.
    pub(super) fn set(&self, at: Instant) {
        self.answers_by.send_replace(Some(at - ANSWER_SPARE));
    }

    /// Returns the time by which every request gets its final response, if a shutdown has
    /// been requested.
    pub(super) fn answers_by(&self) -> Option<Instant> {
        *self.answers_by.borrow()
    }

    /// Waits until at most `left` remains before the final responses; waits forever while
    /// no shutdown has been requested.
    pub(super) async fn nears(&self, left: Duration) {
        let mut answers_by = self.answers_by.subscribe();
        // The sender lives as long as `self`.
        if let Ok(at) = answers_by.wait_for(Option::is_some).await.map(|at| *at)
            && let Some(at) = at
        {
            time::sleep_until(at.checked_sub(left).unwrap_or(at)).await;
        }
    }
}
