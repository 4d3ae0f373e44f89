//! How many calls an instance had open at a backend server, lately.

use std::collections::VecDeque;

/// Steps that are kept, a step being all changes of one period.
const KEPT: usize = 64;
/// Length of a step, in ms.
const STEP_MS: u64 = 50;

/// Open calls as they changed, in steps of 50 ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightHistory {
    /// Start of the step and open calls at its end.
    steps: VecDeque<(u64, u32)>,
}

impl InFlightHistory {
    pub(crate) fn record(&mut self, now_ms: u64, in_flight: u32) {
        let step = now_ms - now_ms % STEP_MS;
        match self.steps.back_mut() {
            Some((start, value)) if *start == step => *value = in_flight,
            _ => self.steps.push_back((step, in_flight)),
        }
        if self.steps.len() > KEPT {
            self.steps.pop_front();
        }
    }

    /// Returns the calls that were open at a time; the oldest known before.
    pub(crate) fn at(&self, at_ms: u64) -> u32 {
        let before = self.steps.iter().rev().find(|(start, _)| *start <= at_ms);
        before
            .or(self.steps.front())
            .map_or(0, |(_, in_flight)| *in_flight)
    }
}
