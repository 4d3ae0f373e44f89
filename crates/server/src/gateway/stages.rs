//! Has the stages of a request run, by whichever instance schedules.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use savoryvane_core::{
    ids::{Incarnation, InstanceName},
    stages::{Refusal, RequestKey, StageOutcome, Submission},
};
use savoryvane_wire::peer::Message;
use slog::{Logger, debug};
use tokio::time::{self, Instant};

use super::{dispatch::Dispatch, members::Members};
use crate::peer::PeerError;

/// Time on top of a request's own for its scheduler to tell that it has run out.
const ANSWER_SPARE: Duration = Duration::from_millis(200);
/// Schedulers that a request is handed to one after the other.
const MOST_SCHEDULERS: u32 = 6;
/// Time for a scheduler to be told that results are not needed.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Has stages run, here or at another instance.
#[derive(Debug)]
pub(super) struct Stages {
    instance: InstanceName,
    incarnation: Incarnation,
    members: Arc<Members>,
    dispatch: Arc<Dispatch>,
    log: Logger,
    submissions: AtomicU64,
}

/// The end of a request's stages, and who scheduled them.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) outcome: StageOutcome,
    /// Tells the scheduler when it is dropped that the results are not needed
    /// any more.
    pub(super) held: Option<Held>,
}

/// Results that are kept for a request.
#[derive(Debug)]
pub(super) struct Held {
    stages: Arc<Stages>,
    scheduler: Option<InstanceName>,
    key: RequestKey,
}

impl Drop for Held {
    fn drop(&mut self) {
        let Some(scheduler) = self.scheduler.take() else {
            return self.stages.dispatch.release(&self.key);
        };
        let stages = Arc::clone(&self.stages);
        let message = Message::StageRelease(self.key.clone());
        tokio::spawn(async move {
            let peers = stages.members.peers();
            let told = peers
                .request(&scheduler, None, &message, RELEASE_TIMEOUT)
                .await;
            if let Err(err) = told {
                // It drops them by itself once the request's time is over.
                debug!(stages.log, "results not released"; "error" => %err);
            }
        });
    }
}

impl Stages {
    pub(super) fn new(
        instance: InstanceName,
        incarnation: Incarnation,
        members: Arc<Members>,
        dispatch: Arc<Dispatch>,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            instance,
            incarnation,
            members,
            dispatch,
            log,
            submissions: AtomicU64::new(0),
        })
    }

    /// Returns a new name for a request at its scheduler.
    pub(super) fn next_key(&self) -> RequestKey {
        RequestKey {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            number: self.submissions.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Runs the stages of a request; dropping the future gives them up. When
    /// its scheduler is lost, the next one starts over.
    pub(super) async fn run(self: &Arc<Self>, mut submission: Submission) -> Ended {
        let began = Instant::now();
        let (goal_ms, deadline_ms) = (submission.goal_left_ms, submission.deadline_left_ms);
        let mut next = None;
        for _ in 0..MOST_SCHEDULERS {
            let scheduler = match next.take() {
                Some(next) => Some(next),
                None => {
                    let left = Duration::from_millis(submission.deadline_left_ms);
                    self.members.settled(left).await
                }
            };
            let elapsed_ms = began.elapsed().as_millis() as u64;
            submission.goal_left_ms = goal_ms.saturating_sub(elapsed_ms);
            submission.deadline_left_ms = deadline_ms.saturating_sub(elapsed_ms);
            if submission.deadline_left_ms == 0 {
                break;
            }
            let outcome = self.run_at(scheduler.as_ref(), &submission).await;
            match (outcome, scheduler) {
                (Ok(StageOutcome::Moved { done, to }), _) => {
                    submission.done = done;
                    if let Some(to) = &to {
                        self.members.on_scheduler_told(to);
                    }
                    next = to;
                }
                (Ok(outcome), scheduler) => {
                    return self.ended(outcome, scheduler, submission.key);
                }
                (Err(Lost::Declined), Some(scheduler)) => {
                    self.members.on_scheduler_declined(&scheduler);
                }
                (Err(Lost::Failed(err)), Some(scheduler)) => {
                    self.members.on_scheduler_lost(&scheduler, &err);
                }
                // This instance itself loses nothing.
                (Err(_), None) => {}
            }
            // What the one before may still finish is not this one.
            submission.key = self.next_key();
        }
        Ended {
            outcome: StageOutcome::Refused {
                reason: Refusal::Failed,
                retry_after_ms: 0,
                forecast_ms: 0,
            },
            held: None,
        }
    }

    fn ended(
        self: &Arc<Self>,
        outcome: StageOutcome,
        scheduler: Option<InstanceName>,
        key: RequestKey,
    ) -> Ended {
        let held = matches!(outcome, StageOutcome::Ready(_)).then(|| Held {
            stages: Arc::clone(self),
            scheduler: scheduler.filter(|name| !self.members.is_me(name)),
            key,
        });
        Ended { outcome, held }
    }

    /// Has the stages run by `scheduler`, or here when there is none.
    async fn run_at(
        &self,
        scheduler: Option<&InstanceName>,
        submission: &Submission,
    ) -> Result<StageOutcome, Lost> {
        let Some(scheduler) = scheduler.filter(|name| !self.members.is_me(name)) else {
            return Ok(self.dispatch.run(submission.clone()).await);
        };
        let message = Message::StageSubmission(submission.clone());
        let timeout = Duration::from_millis(submission.deadline_left_ms) + ANSWER_SPARE;
        let request = self
            .members
            .peers()
            .request(scheduler, None, &message, timeout);
        let answer = tokio::select! {
            answer = time::timeout(timeout, request) => answer,
            () = self.members.lost(scheduler) => {
                return Err(Lost::Failed(PeerError::Unanswered("not reached".to_owned())));
            }
        };
        match answer {
            Ok(Ok(Message::StageOutcome(outcome))) => Ok(outcome),
            Ok(Ok(_)) => Err(Lost::Declined),
            Ok(Err(err)) => Err(Lost::Failed(err)),
            Err(_) => Err(Lost::Failed(PeerError::Unanswered("timeout".to_owned()))),
        }
    }
}

/// Why a scheduler did not tell how stages ended.
enum Lost {
    /// It does not schedule for others now.
    Declined,
    /// It was not reached or gave no answer.
    Failed(PeerError),
}
