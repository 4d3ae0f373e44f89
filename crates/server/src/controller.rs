//! Takes one request from its arrival to its answer.

use std::{sync::Arc, time::Duration};

use savoryvane_core::{
    execution::{Completion, ExecutionSpec},
    ids::{IdempotencyKey, PipelineName, RequestId, WorkspaceName},
    limiter::Admission,
    objects::{Objective, Pipeline},
    outcome::Outcome,
};
use serde_json::Value;
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::{
    credential,
    instance::{InFlight, Shared},
    phase::Phase,
    refusal::Refusal,
    runner::{self, Update},
    sharing,
};

/// Priority of a call whose workspace asks for attainment.
const ATTAINMENT_PRIORITY: u8 = 1;
/// Priority of a call whose workspace weighs cost.
const COST_PRIORITY: u8 = 0;

/// Who sends a request and how, from its head.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// Identifier of the request, the caller's or one made for it.
    pub(crate) request: RequestId,
    /// Workspace that the caller names.
    pub(crate) workspace: WorkspaceName,
    /// Credential that the caller presents.
    pub(crate) credential: String,
    /// Pipeline that the caller asks for.
    pub(crate) pipeline: PipelineName,
    /// Time that the caller gives the request, in ms.
    pub(crate) deadline_ms: Option<u64>,
    /// The caller's idempotency key.
    pub(crate) key: Option<IdempotencyKey>,
    /// Time at which the request arrived, in ms.
    pub(crate) arrived_at_ms: u64,
}

/// A request whose caller is known and may use its pipeline.
#[derive(Debug)]
pub(crate) struct Admitted {
    head: Head,
    pipeline: Arc<Pipeline>,
    objective: Objective,
    deadline_at_ms: u64,
    guard: InFlight,
}

/// What is needed to account for a request at its end.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    shared: Arc<Shared>,
    request: RequestId,
    workspace: WorkspaceName,
    pipeline: PipelineName,
    arrived_at_ms: u64,
    deadline_at_ms: u64,
}

/// Decides by the head alone whether a request is taken, so that the body of
/// one that is not need not be read.
///
/// # Errors
///
/// Returns why it is not.
pub(crate) fn admit(shared: &Arc<Shared>, head: Head) -> Result<Admitted, Refusal> {
    let admitted = authenticate(shared, &head)
        .and_then(|(pipeline, objective)| claim(&pipeline).map(|()| (pipeline, objective)))
        .and_then(|found| shared.enter().map(|guard| (found, guard)))
        .and_then(|found| check_quota(shared, &head).map(|()| found));
    log_admission(shared, &head, admitted.as_ref().err());
    let ((pipeline, objective), guard) = admitted?;
    let asked_ms = head.deadline_ms.unwrap_or(pipeline.deadline_ms);
    let deadline_ms = asked_ms.min(shared.settings.limits.max_deadline_ms);
    Ok(Admitted {
        deadline_at_ms: head.arrived_at_ms.saturating_add(deadline_ms),
        head,
        pipeline,
        objective,
        guard,
    })
}

/// Runs a request that was admitted, and returns what happens to it.
pub(crate) fn execute(
    shared: &Arc<Shared>,
    admitted: Admitted,
    input: Value,
) -> mpsc::UnboundedReceiver<Update> {
    let Admitted {
        head,
        pipeline,
        objective,
        deadline_at_ms,
        guard,
    } = admitted;
    let account = Account {
        shared: Arc::clone(shared),
        request: head.request.clone(),
        workspace: head.workspace.clone(),
        pipeline: head.pipeline,
        arrived_at_ms: head.arrived_at_ms,
        deadline_at_ms,
    };
    let spec = ExecutionSpec {
        request: head.request,
        workspace: head.workspace,
        pipeline,
        input,
        deadline_at_ms,
        attempt_base: attempt_base(),
        objective,
        priority: priority(objective),
        earlier_may_have_run: head.key.is_some(),
        prefix: None,
    };
    runner::start(shared, spec, account, guard)
}

impl Account {
    /// Counts and logs the final answer.
    pub(crate) fn close(&self, completion: &Completion) {
        let now_ms = self.shared.clock.now_ms();
        let elapsed_ms = now_ms.saturating_sub(self.arrived_at_ms);
        let is_in_time = now_ms <= self.deadline_at_ms;
        let meters = &self.shared.meters;
        for usage in &completion.stages {
            meters.stage(&self.workspace, &self.pipeline, usage);
        }
        meters.answered(
            &self.workspace,
            &self.pipeline,
            completion.outcome,
            is_in_time,
            Duration::from_millis(elapsed_ms),
        );
        info!(self.shared.log, "request answered"; "request" => %self.request,
            "workspace" => %self.workspace, "pipeline" => %self.pipeline,
            "outcome" => completion.outcome.as_str(),
            "reason" => completion.reason.as_ref().map(|reason| reason.to_string()),
            "elapsed_ms" => elapsed_ms, "in_time" => is_in_time,
            "cost_micros" => completion.stages.iter().map(|usage| usage.cost_micros).sum::<u64>());
    }
}

/// A workspace that does not exist and a wrong credential look alike, and so
/// do a pipeline that does not exist and one of another workspace.
fn authenticate(shared: &Shared, head: &Head) -> Result<(Arc<Pipeline>, Objective), Refusal> {
    if shared.phases.current() == Phase::Starting {
        return Err(Refusal::NotReady);
    }
    let state = shared.configuration.state();
    let workspace = state
        .workspace(head.workspace.as_str())
        .filter(|found| credential::matches(&head.credential, &found.credential_sha256))
        .ok_or(Refusal::Unauthorized)?;
    let is_allowed = workspace.pipelines.contains(&head.pipeline);
    let pipeline = state
        .pipeline(head.pipeline.as_str())
        .filter(|_| is_allowed)
        .ok_or(Refusal::NoPipeline)?;
    Ok((Arc::new(pipeline.clone()), workspace.objective))
}

/// A pipeline that may not be repeated needs a claim of its key first.
fn claim(pipeline: &Pipeline) -> Result<(), Refusal> {
    if pipeline.is_idempotent() {
        Ok(())
    } else {
        Err(Refusal::NoClaim)
    }
}

fn check_quota(shared: &Shared, head: &Head) -> Result<(), Refusal> {
    match sharing::admit(shared, &head.workspace) {
        Admission::Admitted => Ok(()),
        Admission::Refused { retry_after_ms } => Err(Refusal::OverQuota(retry_after_ms)),
        Admission::Unknown => Err(Refusal::Unauthorized),
    }
}

fn priority(objective: Objective) -> u8 {
    match objective {
        Objective::Attainment => ATTAINMENT_PRIORITY,
        Objective::Cost => COST_PRIORITY,
    }
}

/// Attempts are numbered from a random base: a caller may send the same
/// request id again, to another instance too.
fn attempt_base() -> u64 {
    u64::from(rand::random::<u32>()) << 16
}

fn log_admission(shared: &Shared, head: &Head, refusal: Option<&Refusal>) {
    match refusal {
        None => info!(shared.log, "decision"; "kind" => "admission",
            "request" => %head.request, "workspace" => %head.workspace,
            "pipeline" => %head.pipeline, "choice" => "take"),
        Some(refusal) => {
            let outcome: Outcome = refusal.outcome(head.key.is_some());
            metrics::counter!("savoryvane_refused_total", "status" => refusal.status().as_str().to_owned())
                .increment(1);
            warn!(shared.log, "decision"; "kind" => "admission",
                "request" => %head.request, "workspace" => %head.workspace,
                "pipeline" => %head.pipeline, "choice" => "refuse",
                "reason" => refusal.code(), "outcome" => outcome.as_str());
        }
    }
}
