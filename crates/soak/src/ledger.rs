//! Records the requests of callers and their responses, in order of completion.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::{
    client::{NoResponse, Response},
    config::Kind,
};

/// What a caller has received of a stream that it takes up.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedPart {
    /// Request that brought the first event.
    pub(crate) first_request: String,
    /// Number of the last event.
    pub(crate) last_event: u32,
    /// Version that wrote the events.
    pub(crate) version: String,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// Request ID.
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) path: String,
    pub(crate) body: String,
    /// The stream that it takes up, if it does.
    pub(crate) resumes: Option<ReceivedPart>,
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

    /// Returns what the caller has received after this request of a stream that broke off.
    pub(crate) fn received_part(&self) -> Option<ReceivedPart> {
        let response = self.outcome.as_ref().ok()?;
        if response.is_complete || !response.status.is_success() {
            return self.resumes.clone();
        }
        let body = String::from_utf8_lossy(&response.body);
        let whole_events = body.rfind("\n\n").map_or("", |end| &body[..end]);
        let mut ids = whole_events
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        let Some(last_event) = ids.next_back().and_then(|id| id.parse().ok()) else {
            return self.resumes.clone();
        };
        let first = self.resumes.as_ref().map(|part| part.first_request.clone());
        Some(ReceivedPart {
            first_request: first.unwrap_or_else(|| self.id.clone()),
            last_event,
            version: first_version(&body).to_owned(),
        })
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

/// Returns the version that wrote the first event of a stream, or nothing if it has none.
pub(crate) fn first_version(body: &str) -> &str {
    let after = body.split_once(" by ").map_or("", |(_, after)| after);
    after.split_once(' ').map_or("", |(version, _)| version)
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
