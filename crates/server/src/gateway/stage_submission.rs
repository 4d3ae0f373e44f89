//! Submits the stages of requests to the scheduler.

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

/// Margin added to the time left for a request, for the scheduler to respond that it has
/// run out.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Maximum number of schedulers that a request is submitted to.
const MAX_SCHEDULERS: u32 = 6;
/// Timeout of a message that releases results.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Submits stages to the scheduler, at this or another instance.
#[derive(Debug)]
pub(super) struct StageSubmitter {
    instance: InstanceName,
    incarnation: Incarnation,
    members: Arc<Members>,
    dispatch: Arc<Dispatch>,
    log: Logger,
    submissions: AtomicU64,
}

/// Outcome of a request's stages, with the guard of their results.
#[derive(Debug)]
pub(super) struct StagesEnd {
    pub(super) outcome: StageOutcome,
    /// Releases the results at the scheduler when dropped.
    pub(super) guard: Option<ResultsGuard>,
}

/// Keeps the results of a request's stages; releases them when dropped.
#[derive(Debug)]
pub(super) struct ResultsGuard {
    submitter: Arc<StageSubmitter>,
    scheduler: Option<InstanceName>,
    key: RequestKey,
}

impl Drop for ResultsGuard {
    fn drop(&mut self) {
        let Some(scheduler) = self.scheduler.take() else {
            return self.submitter.dispatch.release(&self.key);
        };
        let submitter = Arc::clone(&self.submitter);
        let message = Message::StageRelease(self.key.clone());
        tokio::spawn(async move {
            let peers = submitter.members.peers();
            let response = peers
                .request(&scheduler, None, &message, RELEASE_TIMEOUT)
                .await;
            if let Err(err) = response {
                // The scheduler drops them itself once the request's deadline has passed.
                debug!(submitter.log, "results not released"; "error" => %err);
            }
        });
    }
}

impl StageSubmitter {
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

    /// Returns a new key of a request at its scheduler.
    pub(super) fn next_key(&self) -> RequestKey {
        RequestKey {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            number: self.submissions.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Runs the stages of a request; dropping the future cancels them. If the scheduler
    /// is lost, they start over at the next one.
    pub(super) async fn run(self: &Arc<Self>, mut submission: Submission) -> StagesEnd {
        let began = Instant::now();
        let (goal_ms, deadline_ms) = (submission.goal_left_ms, submission.deadline_left_ms);
        let mut next = None;
        for _ in 0..MAX_SCHEDULERS {
            let scheduler = match next.take() {
                Some(next) => Some(next),
                None => {
                    let left = Duration::from_millis(submission.deadline_left_ms);
                    self.members.wait_for_scheduler(left).await
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
                        self.members.on_successor_named(to);
                    }
                    next = to;
                }
                (Ok(outcome), scheduler) => {
                    return self.build_end(outcome, scheduler, submission.key);
                }
                (Err(SchedulerError::Declined), Some(scheduler)) => {
                    self.members.on_scheduler_declined(&scheduler);
                }
                (Err(SchedulerError::Failed(err)), Some(scheduler)) => {
                    self.members.on_scheduler_lost(&scheduler, &err);
                }
                // Scheduling at this instance does not fail.
                (Err(_), None) => {}
            }
            // The previous scheduler may still finish the submission under the old key.
            submission.key = self.next_key();
        }
        StagesEnd {
            outcome: StageOutcome::Refused {
                reason: Refusal::Failed,
                retry_after_ms: 0,
                forecast_ms: 0,
            },
            guard: None,
        }
    }

    fn build_end(
        self: &Arc<Self>,
        outcome: StageOutcome,
        scheduler: Option<InstanceName>,
        key: RequestKey,
    ) -> StagesEnd {
        let guard = matches!(outcome, StageOutcome::Ready(_)).then(|| ResultsGuard {
            submitter: Arc::clone(self),
            scheduler: scheduler.filter(|name| !self.members.is_self(name)),
            key,
        });
        StagesEnd { outcome, guard }
    }

    /// Runs the stages at `scheduler`, or at this instance if there is none.
    async fn run_at(
        &self,
        scheduler: Option<&InstanceName>,
        submission: &Submission,
    ) -> Result<StageOutcome, SchedulerError> {
        let Some(scheduler) = scheduler.filter(|name| !self.members.is_self(name)) else {
            return Ok(self.dispatch.run(submission.clone()).await);
        };
        let message = Message::StageSubmission(submission.clone());
        let timeout = Duration::from_millis(submission.deadline_left_ms) + RESPONSE_MARGIN;
        let request = self
            .members
            .peers()
            .request(scheduler, None, &message, timeout);
        let response = tokio::select! {
            response = time::timeout(timeout, request) => response,
            () = self.members.wait_unreachable(scheduler) => {
                return Err(SchedulerError::Failed(PeerError::Unanswered("not reached".to_owned())));
            }
        };
        match response {
            Ok(Ok(Message::StageOutcome(outcome))) => Ok(outcome),
            Ok(Ok(_)) => Err(SchedulerError::Declined),
            Ok(Err(err)) => Err(SchedulerError::Failed(err)),
            Err(_) => Err(SchedulerError::Failed(PeerError::Unanswered(
                "timeout".to_owned(),
            ))),
        }
    }
}

/// Why a scheduler did not report the outcome of stages.
enum SchedulerError {
    /// It does not schedule for others now.
    Declined,
    /// It was unreachable or gave no response.
    Failed(PeerError),
}
