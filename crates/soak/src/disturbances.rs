//! Records when instances were frozen and when links to servers had faults.

use std::sync::{Mutex, PoisonError};

use tokio::time::Instant;

/// Target of a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisturbanceTarget {
    /// An instance, by its index.
    Instance(usize),
    /// The link from all instances to a server, by the server's index.
    ServerLink(usize),
}

/// Completed disturbances of one seed.
#[derive(Debug, Default)]
pub(crate) struct Disturbances(Mutex<Vec<(DisturbanceTarget, Instant, Instant)>>);

impl Disturbances {
    /// Records a disturbance that started at `from` and ends now.
    pub(crate) fn add(&self, target: DisturbanceTarget, from: Instant) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push((target, from, Instant::now()));
    }

    /// Returns whether `target` was disturbed at any time between `from` and `to`.
    pub(crate) fn overlaps(&self, target: DisturbanceTarget, from: Instant, to: Instant) -> bool {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = all.iter().filter(|(recorded, ..)| *recorded == target);
        all.any(|(_, started_at, ended_at)| *started_at <= to && *ended_at >= from)
    }
}
