//! Takes one request from its arrival to its answer.

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
    credential,
    exclusive::{self, DedupKey},
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
    /// Credential that the caller presents; none when a peer passes the request
    /// on, which has checked it.
    pub(crate) credential: Option<String>,
    /// Pipeline that the caller asks for.
    pub(crate) pipeline: PipelineName,
    /// Time that the caller gives the request, in ms.
    pub(crate) deadline_ms: Option<u64>,
    /// What it is run under when it may not be run twice.
    pub(crate) warrant: Option<DedupKey>,
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
    digest: RequestDigest,
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
    let admitted = find(shared, &head)
        .and_then(|found| check_warrant(&found.0, &head).map(|()| found))
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

impl Admitted {
    /// Begins to digest what the request asks for, which its body follows.
    pub(crate) fn digest(&self) -> DigestBuilder {
        let head = &self.head;
        DigestBuilder::new(Some(&head.workspace), "POST", "", head.pipeline.as_str())
    }
}

/// Runs a request that was admitted, and returns what happens to it.
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
    // Of what may not be run twice, the claim or ticket says what ran before.
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
    // Only engines cache prefixes, and hashing a whole input is not free.
    let has_engine = pipeline.stages.iter().any(|stage| stage.model.is_some());
    let prefix = has_engine.then(|| prefix_hash(&input));
    let spec = ExecutionSpec {
        request: head.request,
        workspace: head.workspace,
        pipeline,
        input,
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
    /// Returns what the request asks for, under whichever identifier.
    pub(crate) fn digest(&self) -> RequestDigest {
        self.digest
    }

    /// Returns the request that it is for.
    pub(crate) fn request(&self) -> &RequestId {
        &self.request
    }

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

/// Returns the workspace that a caller proves to belong to. One that does not
/// exist and a wrong credential look alike.
///
/// # Errors
///
/// Returns [`Refusal::Unauthorized`] for either.
pub(crate) fn authenticate(
    shared: &Shared,
    workspace: &WorkspaceName,
    credential: Option<&str>,
) -> Result<Workspace, Refusal> {
    if shared.phases.current() == Phase::Starting {
        return Err(Refusal::NotReady);
    }
    let state = shared.configuration.state();
    let is_known = |found: &&Workspace| {
        credential.is_none_or(|text| credential::matches(text, &found.credential_sha256))
    };
    let found = state.workspace(workspace.as_str()).filter(is_known);
    found.cloned().ok_or(Refusal::Unauthorized)
}

/// A pipeline that does not exist and one of another workspace look alike.
fn find(shared: &Shared, head: &Head) -> Result<(Arc<Pipeline>, Objective), Refusal> {
    let workspace = authenticate(shared, &head.workspace, head.credential.as_deref())?;
    let state = shared.configuration.state();
    let is_allowed = workspace.pipelines.contains(&head.pipeline);
    let pipeline = state
        .pipeline(head.pipeline.as_str())
        .filter(|_| is_allowed)
        .ok_or(Refusal::NoPipeline)?;
    Ok((Arc::new(pipeline.clone()), workspace.objective))
}

/// A pipeline that may not be run twice needs a key to claim or a ticket.
fn check_warrant(pipeline: &Pipeline, head: &Head) -> Result<(), Refusal> {
    if pipeline.is_idempotent() || head.warrant.is_some() {
        Ok(())
    } else {
        Err(Refusal::NoClaim)
    }
}

fn check_quota(shared: &Shared, head: &Head) -> Result<(), Refusal> {
    if head.credential.is_none() {
        // The peer that passes it on has counted it.
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
