//! The recent history of open calls of an instance at a backend server.

use std::collections::VecDeque;

/// Maximum steps in the history; a step combines all changes of one period.
const MAX_STEPS: usize = 64;
/// Length of a step, in ms.
const STEP_MS: u64 = 50;

/// The history of open calls, in steps of 50 ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightHistory {
    /// Start of each step in ms and open calls at its end.
    steps: VecDeque<(u64, u32)>,
}

impl InFlightHistory {
    pub(crate) fn record(&mut self, now_ms: u64, in_flight: u32) {
        let step_start_ms = now_ms - now_ms % STEP_MS;
        match self.steps.back_mut() {
            Some((start_ms, value)) if *start_ms == step_start_ms => *value = in_flight,
            _ => self.steps.push_back((step_start_ms, in_flight)),
        }
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    /// Returns the open calls at a time; times before the history yield its
    /// oldest value.
    pub(crate) fn at(&self, at_ms: u64) -> u32 {
        let before = self
            .steps
            .iter()
            .rev()
            .find(|(start_ms, _)| *start_ms <= at_ms);
        before
            .or(self.steps.front())
            .map_or(0, |(_, in_flight)| *in_flight)
    }
}
