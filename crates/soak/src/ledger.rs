//! What callers were told, in the order of their answers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::{
    client::{Answer, NoAnswer},
    config::Kind,
};

/// One request and what its caller got.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    /// Its identifier.
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) path: String,
    pub(crate) body: String,
    /// Instance that was asked, and its start.
    pub(crate) instance: usize,
    pub(crate) boot: u32,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) got: Result<Answer, NoAnswer>,
}

impl Asked {
    pub(crate) fn status(&self) -> Option<u16> {
        self.got.as_ref().ok().map(|answer| answer.status.as_u16())
    }

    /// Tells whether the answer promises that the request has not run.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self.status(), Some(408 | 421 | 429 | 503))
    }

    /// Tells whether it was answered well and whole.
    pub(crate) fn is_served(&self) -> bool {
        self.got
            .as_ref()
            .is_ok_and(|answer| answer.status.is_success() && answer.is_whole)
    }
}

/// All requests of one seed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger(Arc<Mutex<Vec<Asked>>>);

impl Ledger {
    pub(crate) fn add(&self, asked: Asked) {
        self.lock().push(asked);
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Vec<Asked>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How many requests ended in which way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) asked: usize,
    pub(crate) served: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    pub(crate) unanswered: usize,
}

impl Counts {
    pub(crate) fn of(asked: &[Asked]) -> Self {
        let count = |is_so: &dyn Fn(&Asked) -> bool| asked.iter().filter(|a| is_so(a)).count();
        let served = count(&Asked::is_served);
        let refused = count(&Asked::is_refused);
        let unanswered = count(&|asked| asked.got.is_err());
        Self {
            asked: asked.len(),
            served,
            refused,
            failed: asked.len() - served - refused - unanswered,
            unanswered,
        }
    }
}
