//! Answers of requests that may not be run twice, for whoever repeats them.

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

/// Most bytes of answers that are kept.
const MAX_KEPT_BYTES: usize = 32 << 20;
/// Most answers that are kept.
const MAX_KEPT: usize = 65_536;

/// What an answer is kept under.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AnswerKey {
    /// An idempotency key.
    Key(KeyHash),
    /// A ticket.
    Ticket(TicketId),
}

/// What is known under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// Nothing.
    Absent,
    /// A run that has not ended in time.
    InFlight,
    /// The JSON body of its answer.
    Ended(Bytes),
}

/// How far a run is.
#[derive(Clone, Debug)]
enum Run {
    InFlight,
    Answered(Bytes),
    Withdrawn,
}

#[derive(Debug, Default)]
struct Kept {
    running: HashMap<AnswerKey, watch::Receiver<Run>>,
    ended: HashMap<AnswerKey, Bytes>,
    order: VecDeque<AnswerKey>,
    bytes: usize,
}

impl Kept {
    fn keep(&mut self, key: AnswerKey, body: Bytes) {
        self.bytes += body.len();
        if let Some(before) = self.ended.insert(key.clone(), body) {
            self.bytes -= before.len();
        } else {
            self.order.push_back(key);
        }
        while (self.bytes > MAX_KEPT_BYTES || self.order.len() > MAX_KEPT)
            && let Some(oldest) = self.order.pop_front()
        {
            let dropped = self.ended.remove(&oldest);
            self.bytes -= dropped.map_or(0, |body| body.len());
        }
    }
}

/// Runs in flight and answers given on this instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers(Arc<Mutex<Kept>>);

impl Answers {
    /// Notes that a run begins.
    pub(crate) fn begin(&self, key: AnswerKey) -> Publisher {
        let (sender, receiver) = watch::channel(Run::InFlight);
        self.lock().running.insert(key.clone(), receiver);
        Publisher {
            answers: self.clone(),
            key,
            sender,
        }
    }

    /// Returns what is known under `key`, and waits for a run until `deadline`.
    pub(crate) async fn wait(&self, key: &AnswerKey, deadline: Instant) -> Found {
        let mut running = {
            let kept = self.lock();
            match (kept.ended.get(key), kept.running.get(key)) {
                (Some(body), _) => return Found::Ended(body.clone()),
                (None, Some(running)) => running.clone(),
                (None, None) => return Found::Absent,
            }
        };
        let has_ended = |run: &Run| !matches!(run, Run::InFlight);
        let ended = time::timeout_at(deadline, running.wait_for(has_ended)).await;
        match ended.map(|run| run.map(|run| run.clone())) {
            Ok(Ok(Run::Answered(body))) => Found::Ended(body),
            Ok(Ok(Run::InFlight | Run::Withdrawn) | Err(_)) => Found::Absent,
            Err(_) => Found::InFlight,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        lock(&self.0)
    }
}

/// Publishes the answer of one run; dropped without one, whoever waits is told
/// that there is none.
#[derive(Debug)]
pub(crate) struct Publisher {
    answers: Answers,
    key: AnswerKey,
    sender: watch::Sender<Run>,
}

impl Publisher {
    /// Gives the answer to whoever waits, and keeps it.
    pub(crate) fn publish(&self, body: Vec<u8>) {
        let body = Bytes::from(body);
        self.answers.lock().keep(self.key.clone(), body.clone());
        self.end(Run::Answered(body));
    }

    /// Ends the run without an answer.
    pub(crate) fn withdraw(&self) {
        self.end(Run::Withdrawn);
    }

    fn end(&self, run: Run) {
        self.sender.send_if_modified(|current| {
            let ends = matches!(current, Run::InFlight);
            if ends {
                *current = run;
            }
            ends
        });
        let mut kept = self.answers.lock();
        let is_own = kept
            .running
            .get(&self.key)
            .is_some_and(|running| running.same_channel(&self.sender.subscribe()));
        if is_own {
            kept.running.remove(&self.key);
        }
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        self.withdraw();
    }
}
