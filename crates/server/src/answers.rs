//! Cached answers of non-idempotent requests, returned when a request is repeated.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use savoryvane_core::{claim::KeyHash, ticket::TicketId};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::lock::lock;

/// Maximum total size of the cached answers, in bytes.
const MAX_CACHED_BYTES: usize = 32 << 20;
/// Maximum number of cached answers.
const MAX_CACHED_ANSWERS: usize = 65_536;

/// Cache key of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AnswerKey {
    /// An idempotency key.
    Key(KeyHash),
    /// A ticket.
    Ticket(TicketId),
}

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// There is neither a run nor an answer.
    Absent,
    /// The run has not ended by the deadline of the lookup.
    InFlight,
    /// The run has ended with this answer, a JSON body.
    Ended(Bytes),
}

/// State of a run.
#[derive(Clone, Debug)]
enum RunState {
    InFlight,
    Answered(Bytes),
    Withdrawn,
}

#[derive(Debug, Default)]
struct AnswerCache {
    running: HashMap<AnswerKey, watch::Receiver<RunState>>,
    ended: HashMap<AnswerKey, Bytes>,
    order: VecDeque<AnswerKey>,
    bytes: usize,
}

impl AnswerCache {
    fn insert(&mut self, key: AnswerKey, body: Bytes) {
        self.bytes += body.len();
        if let Some(replaced) = self.ended.insert(key.clone(), body) {
            self.bytes -= replaced.len();
        } else {
            self.order.push_back(key);
        }
        while (self.bytes > MAX_CACHED_BYTES || self.order.len() > MAX_CACHED_ANSWERS)
            && let Some(oldest) = self.order.pop_front()
        {
            let evicted = self.ended.remove(&oldest);
            self.bytes -= evicted.map_or(0, |body| body.len());
        }
    }
}

/// Runs in flight and cached answers of this instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers(Arc<Mutex<AnswerCache>>);

impl Answers {
    /// Registers a run as in flight.
    pub(crate) fn begin(&self, key: AnswerKey) -> Publisher {
        let (sender, receiver) = watch::channel(RunState::InFlight);
        self.lock().running.insert(key.clone(), receiver);
        Publisher {
            answers: self.clone(),
            key,
            sender,
        }
    }

    /// Looks up the answer for `key`; waits for a run in flight until `deadline`.
    pub(crate) async fn wait(&self, key: &AnswerKey, deadline: Instant) -> Found {
        let mut running = {
            let cache = self.lock();
            match (cache.ended.get(key), cache.running.get(key)) {
                (Some(body), _) => return Found::Ended(body.clone()),
                (None, Some(running)) => running.clone(),
                (None, None) => return Found::Absent,
            }
        };
        let has_ended = |run: &RunState| !matches!(run, RunState::InFlight);
        let ended = time::timeout_at(deadline, running.wait_for(has_ended)).await;
        match ended.map(|run| run.map(|run| run.clone())) {
            Ok(Ok(RunState::Answered(body))) => Found::Ended(body),
            Ok(Ok(RunState::InFlight | RunState::Withdrawn) | Err(_)) => Found::Absent,
            Err(_) => Found::InFlight,
        }
    }

    fn lock(&self) -> MutexGuard<'_, AnswerCache> {
        lock(&self.0)
    }
}

/// Publishes the answer of one run. Dropping it without an answer makes waiting
/// lookups return [`Found::Absent`].
#[derive(Debug)]
pub(crate) struct Publisher {
    answers: Answers,
    key: AnswerKey,
    sender: watch::Sender<RunState>,
}

impl Publisher {
    /// Caches the answer and sends it to waiting lookups.
    pub(crate) fn publish(&self, body: Vec<u8>) {
        let body = Bytes::from(body);
        self.answers.lock().insert(self.key.clone(), body.clone());
        self.end(RunState::Answered(body));
    }

    /// Ends the run without an answer.
    pub(crate) fn withdraw(&self) {
        self.end(RunState::Withdrawn);
    }

    fn end(&self, state: RunState) {
        self.sender.send_if_modified(|current| {
            let is_first_end = matches!(current, RunState::InFlight);
            if is_first_end {
                *current = state;
            }
            is_first_end
        });
        let mut cache = self.answers.lock();
        let is_own = cache
            .running
            .get(&self.key)
            .is_some_and(|running| running.same_channel(&self.sender.subscribe()));
        if is_own {
            cache.running.remove(&self.key);
        }
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        self.withdraw();
    }
}
