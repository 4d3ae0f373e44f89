//! Admits requests, starts their execution and records their completion.

use std::{sync::Arc, time::Duration};

use savoryvane_core::{
    execution::{Completion, ExecutionSpec},
    ids::{PipelineName, RequestId, WorkspaceName},
    limiter::Admission,
    objects::{Objective, Pipeline, Workspace},
    outcome::Outcome,
    poison::{DigestBuilder, RequestDigest},
};
use savoryvane_wire::backend::prefix_hash;
use serde_json::Value;
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::{
    caller_memory::MemoryCharge,
    connection_memory::RequestMemory,
    credential,
    exclusive::{self, DedupKey},
    instance::{InFlight, Shared},
    phase::Phase,
    refusal::Refusal,
    runner::{self, Update},
    sharing,
};

/// Priority of calls for a workspace whose objective is deadline attainment.
const ATTAINMENT_PRIORITY: u8 = 1;
/// Priority of calls for a workspace whose objective is cost.
const COST_PRIORITY: u8 = 0;

/// Sender and parameters of a request, parsed from its path and headers.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// Request identifier, given by the caller or generated.
    pub(crate) request: RequestId,
    /// Workspace named by the caller.
    pub(crate) workspace: WorkspaceName,
    /// Credential of the caller; `None` for a request forwarded by a peer, which
    /// has already checked the credential.
    pub(crate) credential: Option<String>,
    /// Requested pipeline.
    pub(crate) pipeline: PipelineName,
    /// Requested time limit, relative to the arrival, in ms.
    pub(crate) deadline_ms: Option<u64>,
    /// Idempotency key or ticket; required for a pipeline that is not idempotent.
    pub(crate) warrant: Option<DedupKey>,
    /// Arrival time of the request, in ms.
    pub(crate) arrived_at_ms: u64,
}

/// A request that passed authentication, authorisation and admission.
#[derive(Debug)]
pub(crate) struct Admitted {
    head: Head,
    pipeline: Arc<Pipeline>,
    objective: Objective,
    deadline_at_ms: u64,
    guard: InFlight,
}

/// Data for the metrics and the log line of a completed request.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    shared: Arc<Shared>,
    request: RequestId,
    digest: RequestDigest,
    workspace: WorkspaceName,
    pipeline: PipelineName,
    arrived_at_ms: u64,
    deadline_at_ms: u64,
}

/// Decides from the head alone whether to admit a request, so that the body of a
/// refused request need not be read.
///
/// # Errors
///
/// Returns the reason for the refusal.
pub(crate) fn admit(shared: &Arc<Shared>, head: Head) -> Result<Admitted, Refusal> {
    let admitted = resolve_pipeline(shared, &head)
        .and_then(|resolved| check_warrant(&resolved.0, &head).map(|()| resolved))
        .and_then(|resolved| shared.track_request().map(|guard| (resolved, guard)))
        .and_then(|resolved| check_quota(shared, &head).map(|()| resolved));
    log_admission(shared, &head, admitted.as_ref().err());
    let ((pipeline, objective), guard) = admitted?;
    let requested_ms = head.deadline_ms.unwrap_or(pipeline.deadline_ms);
    let deadline_ms = requested_ms.min(shared.settings.limits.max_deadline_ms);
    Ok(Admitted {
        deadline_at_ms: head.arrived_at_ms.saturating_add(deadline_ms),
        head,
        pipeline,
        objective,
        guard,
    })
}

impl Admitted {
    /// Holds the memory of the request until it ends.
    pub(crate) fn hold(&mut self, memory: Arc<RequestMemory>) {
        self.guard.hold(memory);
    }

    /// Holds the charge for the input of the request until it ends.
    pub(crate) fn hold_input(&mut self, input: MemoryCharge) {
        self.guard.hold_input(input);
    }

    /// Starts the request digest with the head; the caller adds the body.
    pub(crate) fn digest(&self) -> DigestBuilder {
        let head = &self.head;
        DigestBuilder::new(Some(&head.workspace), "POST", "", head.pipeline.as_str())
    }
}

/// Starts an admitted request and returns the channel of its updates.
pub(crate) fn execute(
    shared: &Arc<Shared>,
    admitted: Admitted,
    input: Value,
    digest: RequestDigest,
) -> mpsc::UnboundedReceiver<Update> {
    let Admitted {
        head,
        pipeline,
        objective,
        deadline_at_ms,
        guard,
    } = admitted;
    // For a pipeline that is not idempotent, the claim or ticket records whether an
    // earlier run was started.
    let has_warrant = head.warrant.is_some();
    let warrant = head.warrant.filter(|_| !pipeline.is_idempotent());
    let earlier_may_have_run = has_warrant && warrant.is_none();
    let account = Account {
        shared: Arc::clone(shared),
        request: head.request.clone(),
        digest,
        workspace: head.workspace.clone(),
        pipeline: head.pipeline,
        arrived_at_ms: head.arrived_at_ms,
        deadline_at_ms,
    };
    // Only stages with a model cache prefixes. Hashing a whole input is costly, so
    // other pipelines skip it.
    let has_model_stage = pipeline.stages.iter().any(|stage| stage.model.is_some());
    let prefix = has_model_stage.then(|| prefix_hash(&input));
    let spec = ExecutionSpec {
        request: head.request,
        workspace: head.workspace,
        pipeline,
        input: Arc::new(input),
        deadline_at_ms,
        attempt_base: attempt_base(),
        objective,
        priority: priority(objective),
        earlier_may_have_run,
        prefix,
    };
    match warrant {
        None => runner::start(shared, spec, account, guard),
        Some(warrant) => exclusive::start(shared, warrant, spec, account, guard),
    }
}

impl Account {
    /// Returns the digest of the request's content, which does not depend on its
    /// identifier.
    pub(crate) fn digest(&self) -> RequestDigest {
        self.digest
    }

    /// Returns the request's identifier.
    pub(crate) fn request(&self) -> &RequestId {
        &self.request
    }

    /// Updates the metrics and logs the final answer.
    pub(crate) fn record_completion(&self, completion: &Completion) {
        let now_ms = self.shared.clock.now_ms();
        let elapsed_ms = now_ms.saturating_sub(self.arrived_at_ms);
        let is_on_time = now_ms <= self.deadline_at_ms;
        let meters = &self.shared.meters;
        for usage in &completion.stages {
            meters.record_stage(&self.workspace, &self.pipeline, usage);
        }
        meters.record_answer(
            &self.workspace,
            &self.pipeline,
            completion.outcome,
            is_on_time,
            Duration::from_millis(elapsed_ms),
        );
        info!(self.shared.log, "request answered"; "request" => %self.request,
            "workspace" => %self.workspace, "pipeline" => %self.pipeline,
            "outcome" => completion.outcome.as_str(),
            "reason" => completion.reason.as_ref().map(|reason| reason.to_string()),
            "elapsed_ms" => elapsed_ms, "in_time" => is_on_time,
            "cost_micros" => completion.stages.iter().map(|usage| usage.cost_micros).sum::<u64>());
    }
}

/// Returns the workspace that the caller authenticates for. An unknown workspace
/// and a wrong credential give the same error.
///
/// # Errors
///
/// Returns [`Refusal::Unauthorized`] for either, and [`Refusal::NotReady`] while
/// the instance has no configuration.
pub(crate) fn authenticate(
    shared: &Shared,
    workspace: &WorkspaceName,
    credential: Option<&str>,
) -> Result<Workspace, Refusal> {
    if shared.phases.current() == Phase::Starting {
        return Err(Refusal::NotReady);
    }
    let state = shared.configuration.state();
    let has_credential = |found: &&Workspace| {
        credential.is_none_or(|text| credential::matches(text, &found.credential_sha256))
    };
    let found = state.workspace(workspace.as_str()).filter(has_credential);
    found.cloned().ok_or(Refusal::Unauthorized)
}

/// Returns the requested pipeline and the workspace's objective. An unknown
/// pipeline and a pipeline of another workspace give the same error.
fn resolve_pipeline(shared: &Shared, head: &Head) -> Result<(Arc<Pipeline>, Objective), Refusal> {
    let workspace = authenticate(shared, &head.workspace, head.credential.as_deref())?;
    let state = shared.configuration.state();
    let is_allowed = workspace.pipelines.contains(&head.pipeline);
    let pipeline = state
        .pipeline(head.pipeline.as_str())
        .filter(|_| is_allowed)
        .ok_or(Refusal::NoPipeline)?;
    Ok((Arc::new(pipeline.clone()), workspace.objective))
}

/// Checks that a request for a pipeline that is not idempotent has an idempotency
/// key or a ticket.
fn check_warrant(pipeline: &Pipeline, head: &Head) -> Result<(), Refusal> {
    if pipeline.is_idempotent() || head.warrant.is_some() {
        Ok(())
    } else {
        Err(Refusal::NoClaim)
    }
}

fn check_quota(shared: &Shared, head: &Head) -> Result<(), Refusal> {
    if head.credential.is_none() {
        // The peer that forwarded the request has already counted it.
        return Ok(());
    }
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

/// Returns a random base for attempt numbers, because a caller may reuse a request
/// id, also on another instance.
fn attempt_base() -> u64 {
    u64::from(rand::random::<u32>()) << 16
}

fn log_admission(shared: &Shared, head: &Head, refusal: Option<&Refusal>) {
    match refusal {
        None => info!(shared.log, "decision"; "kind" => "admission",
            "request" => %head.request, "workspace" => %head.workspace,
            "pipeline" => %head.pipeline, "choice" => "take"),
        Some(refusal) => {
            let outcome: Outcome = refusal.outcome(head.warrant.is_some());
            metrics::counter!("savoryvane_refused_total", "status" => refusal.status().as_str().to_owned())
                .increment(1);
            warn!(shared.log, "decision"; "kind" => "admission",
                "request" => %head.request, "workspace" => %head.workspace,
                "pipeline" => %head.pipeline, "choice" => "refuse",
                "reason" => refusal.code(), "outcome" => outcome.as_str());
        }
    }
}
