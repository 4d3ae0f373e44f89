//! When this instance ends, and what time that leaves its requests.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// Time before the end of the process at which requests that no server has
/// answered get their final answer: some turns of a busy process, and the way to
/// the caller.
const ANSWER_SPARE: Duration = Duration::from_millis(300);

/// The end of this instance, once it was told to stop.
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

    /// Notes that the process ends at `at`.
    pub(super) fn set(&self, at: Instant) {
        self.answers_by.send_replace(Some(at - ANSWER_SPARE));
    }

    /// Returns the time by which every request has its final answer, once it is
    /// known.
    pub(super) fn answers_by(&self) -> Option<Instant> {
        *self.answers_by.borrow()
    }

    /// Waits until only `left` remains for answers; for ever while this instance
    /// is not to stop.
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
