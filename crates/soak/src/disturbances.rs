//! When instances stood still and the ways to servers were harmed.

use std::sync::{Mutex, PoisonError};

use tokio::time::Instant;

/// What was disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbed {
    /// An instance, by its index.
    Instance(usize),
    /// The way from all instances to a server, by its index.
    ServerLink(usize),
}

/// All disturbances of one seed that have ended.
#[derive(Debug, Default)]
pub(crate) struct Disturbances(Mutex<Vec<(Disturbed, Instant, Instant)>>);

impl Disturbances {
    /// Notes a disturbance that began at `from` and ends now.
    pub(crate) fn note(&self, disturbed: Disturbed, from: Instant) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push((disturbed, from, Instant::now()));
    }

    /// Tells whether `disturbed` was at any moment from `from` to `to`.
    pub(crate) fn overlap(&self, disturbed: Disturbed, from: Instant, to: Instant) -> bool {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = all.iter().filter(|(other, ..)| *other == disturbed);
        all.any(|(_, began, ended)| *began <= to && *ended >= from)
    }
}
