//! Shares with the other instances which servers name a limit.
//!
//! The instance that schedules gathers what servers have said to all others. They ask it
//! whenever it knows more than it has told them, or they know more than they have told it.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use savoryvane_core::{
    forwarding::LimitReport,
    ids::{Incarnation, InstanceName},
};
use savoryvane_wire::peer::{LimitQuery, LimitState, Message};
use slog::{Logger, info};
use tokio::time::Instant;

use super::{knowledge::Knowledge, members::Members};
use crate::lock::lock;

/// Shortest time between two questions: instances without a part send nothing that could
/// matter meanwhile.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Time for a question to be answered: a way there and back takes a few ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// How far this instance and the one that schedules know what the other does.
#[derive(Clone, Copy, Debug)]
struct Exchanged {
    /// Run of the other instance.
    incarnation: Incarnation,
    /// Revision up to which it was asked.
    theirs: u64,
    /// Own revision up to which it was told.
    ours: u64,
    at: Instant,
}

/// Shares which servers name a limit.
#[derive(Debug)]
pub(super) struct LimitSharing {
    log: Logger,
    knowledge: Arc<Knowledge>,
    last: Mutex<Option<Exchanged>>,
}

impl LimitSharing {
    pub(super) fn new(knowledge: Arc<Knowledge>, log: Logger) -> Self {
        Self {
            log,
            knowledge,
            last: Mutex::default(),
        }
    }

    /// Returns the revision of what this instance knows.
    pub(super) fn revision(&self) -> u64 {
        self.knowledge.fleet().limits().revision()
    }

    /// Exchanges what is new with the run `incarnation` of the instance that schedules,
    /// which is at the revision `theirs`.
    pub(super) async fn follow(
        &self,
        members: &Members,
        scheduler: &InstanceName,
        incarnation: Incarnation,
        theirs: u64,
    ) {
        let last = *lock(&self.last);
        let last = last.filter(|last| last.incarnation == incarnation);
        let (known, told) = last.map_or((0, 0), |last| (last.theirs, last.ours));
        let is_recent = last.is_some_and(|last| last.at.elapsed() < ASK_INTERVAL);
        let (ours, reports) = self.own_since(told);
        if is_recent || (known == theirs && reports.is_empty()) {
            return;
        }
        let question = LimitQuery {
            known_revision: known,
            reports,
        };
        let answer = members
            .peers()
            .request(
                scheduler,
                Some(incarnation),
                &Message::LimitQuery(question),
                ANSWER_TIMEOUT,
            )
            .await;
        match answer {
            Ok(Message::LimitState(state)) => {
                *lock(&self.last) = Some(Exchanged {
                    incarnation,
                    theirs: state.revision,
                    ours,
                    at: Instant::now(),
                });
                self.knowledge.update_limits(state.reports);
            }
            Ok(_) => {}
            Err(err) => {
                // The next look asks again.
                info!(self.log, "limits not exchanged"; "with" => %scheduler, "error" => %err);
            }
        }
    }

    /// Takes over what a peer tells, and tells it what it does not know.
    pub(super) fn on_query(&self, question: LimitQuery) -> LimitState {
        let LimitQuery {
            known_revision,
            reports,
        } = question;
        let (revision, reports) = self.knowledge.exchange_limits(known_revision, reports);
        LimitState { revision, reports }
    }

    fn own_since(&self, revision: u64) -> (u64, Vec<LimitReport>) {
        let now_ms = self.knowledge.now_ms();
        let mut fleet = self.knowledge.fleet();
        let limits = fleet.limits();
        (limits.revision(), limits.own_since(now_ms, revision))
    }
}
