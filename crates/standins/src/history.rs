//! Values as they were some time ago, for reports that lag.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// A value with its past, for as long as a lag needs it.
#[derive(Debug)]
pub(crate) struct History<T> {
    lag: Duration,
    entries: VecDeque<(Instant, T)>,
}

impl<T: Clone> History<T> {
    /// Starts with `value`, which counts as always known.
    pub(crate) fn new(lag_ms: u64, value: T) -> Self {
        Self {
            lag: Duration::from_millis(lag_ms),
            entries: VecDeque::from([(Instant::now(), value)]),
        }
    }

    /// Returns the value as it is now.
    pub(crate) fn newest(&self) -> &T {
        let (_, value) = self.entries.back().expect("a history is never empty");
        value
    }

    /// Returns the value as it was one lag ago.
    pub(crate) fn lagged(&mut self) -> &T {
        let now = Instant::now();
        while self
            .entries
            .get(1)
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            self.entries.pop_front();
        }
        let (_, value) = &self.entries[0];
        value
    }

    /// Sets the value.
    pub(crate) fn set(&mut self, value: T) {
        self.lagged();
        self.entries.push_back((Instant::now(), value));
    }
}
