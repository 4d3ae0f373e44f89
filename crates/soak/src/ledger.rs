//! Records the requests of callers and their responses, in order of completion.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::{
    client::{NoResponse, Response},
    config::Kind,
};

/// One request and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// Request ID.
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) path: String,
    pub(crate) body: String,
    /// Instance that received the request, and the number of its start.
    pub(crate) instance: usize,
    pub(crate) start_number: u32,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: Result<Response, NoResponse>,
}

impl RequestRecord {
    pub(crate) fn status(&self) -> Option<u16> {
        self.outcome
            .as_ref()
            .ok()
            .map(|response| response.status.as_u16())
    }

    /// Returns whether the response guarantees that the request has not run.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self.status(), Some(408 | 421 | 429 | 503))
    }

    /// Returns whether the response is successful and complete.
    pub(crate) fn is_served(&self) -> bool {
        self.outcome
            .as_ref()
            .is_ok_and(|response| response.status.is_success() && response.is_complete)
    }
}

/// All completed requests of one seed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger(Arc<Mutex<Vec<RequestRecord>>>);

impl Ledger {
    pub(crate) fn add(&self, record: RequestRecord) {
        self.lock().push(record);
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Vec<RequestRecord>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) total: usize,
    pub(crate) served: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    pub(crate) unanswered: usize,
}

impl Counts {
    pub(crate) fn of(records: &[RequestRecord]) -> Self {
        let count = |matches: &dyn Fn(&RequestRecord) -> bool| {
            records.iter().filter(|record| matches(record)).count()
        };
        let served = count(&RequestRecord::is_served);
        let refused = count(&RequestRecord::is_refused);
        let unanswered = count(&|record| record.outcome.is_err());
        Self {
            total: records.len(),
            served,
            refused,
            failed: records.len() - served - refused - unanswered,
            unanswered,
        }
    }
}
