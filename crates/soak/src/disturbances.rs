//! When instances stood still and the ways to servers were harmed.

use std::sync::{Mutex, PoisonError};

use tokio::time::Instant;

/// What was disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisturbanceTarget {
    /// An instance, by its index.
    Instance(usize),
    /// The way from all instances to a server, by its index.
    ServerLink(usize),
}

/// All disturbances of one seed that have ended.
#[derive(Debug, Default)]
pub(crate) struct Disturbances(Mutex<Vec<(DisturbanceTarget, Instant, Instant)>>);

impl Disturbances {
    /// Notes a disturbance that began at `from` and ends now.
    pub(crate) fn add(&self, disturbed: DisturbanceTarget, from: Instant) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push((disturbed, from, Instant::now()));
    }

    /// Tells whether `disturbed` was at any moment from `from` to `to`.
    pub(crate) fn overlaps(
        &self,
        disturbed: DisturbanceTarget,
        from: Instant,
        to: Instant,
    ) -> bool {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = all.iter().filter(|(recorded, ..)| *recorded == disturbed);
        all.any(|(_, started_at, ended_at)| *started_at <= to && *ended_at >= from)
    }
}
