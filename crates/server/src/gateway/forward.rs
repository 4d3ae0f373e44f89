//! Forwards a request: from its head to its final response.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode, uri::PathAndQuery};
use hyper::body::Incoming;
use savoryvane_core::{
    forwarding::{Placement, RepeatPolicy, Route, ServerChoice, SoftwareBinding},
    ids::{BackendName, RequestId, SoftwareVersion, ZoneName},
    poison::{DigestBuilder, RequestSubjects},
    stages::{Refusal, StageOutcome, StageWork, Submission},
};
use savoryvane_platform::request::{self, RequestHead};
use savoryvane_wire::peer::MAX_PIECES;
use slog::{Logger, info};
use tokio::time::Instant;

use super::{
    crashes::CrashDetector,
    departure::ShutdownDeadline,
    limits::LimitSharing,
    local_reply::{self, FailureReason},
    members::Members,
    permits::PermitGuard,
    quarantine::Quarantine,
    request::{CallerRequest, SentTo, choose_service, request_host, shared_part_hashes},
    routing_view::RoutingView,
    stage_submission::{ResultsGuard, StageSubmitter},
    stream_origins::StreamOrigins,
};
use crate::{
    clock::Clock,
    connection_memory,
    connections::Connections,
    http_body::{self, Body},
};

/// Timeout for a caller's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Deadline of a request that names none.
pub(super) const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Prompt tokens that an engine processes per ms, by the engines' data sheets.
const TOKENS_PER_MS: u64 = 57;
/// Time from sending a request to its first event without its prompt's processing, in ms:
/// what the engines' data sheets say, network latency, and one chunk of another prompt.
const FIRST_EVENT_MS: u64 = 60;

/// Dependencies for forwarding requests.
#[derive(Debug)]
pub(super) struct Forwarder {
    pub(super) log: Logger,
    pub(super) clock: Clock,
    pub(super) view: Arc<RoutingView>,
    pub(super) servers: Arc<Connections>,
    pub(super) stages: Arc<StageSubmitter>,
    pub(super) shutdown: Arc<ShutdownDeadline>,
    pub(super) crash_detector: Arc<CrashDetector>,
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) members: Arc<Members>,
    pub(super) limits: Arc<LimitSharing>,
    pub(super) origins: Arc<StreamOrigins>,
}

/// Results of a request's stages, the inputs of its main call.
#[derive(Debug, Default)]
pub(super) struct Inputs {
    pub(super) handles: Vec<String>,
    /// Size of the results in each availability zone, in bytes.
    pub(super) bytes_by_zone: Vec<(ZoneName, u64)>,
    /// Releases the results when dropped.
    pub(super) guard: Option<ResultsGuard>,
}

impl Inputs {
    /// Returns whether there were results that have been released.
    pub(super) fn are_released(&self) -> bool {
        self.guard.is_none() && !self.handles.is_empty()
    }
}

impl Forwarder {
    /// Responds to a caller's request.
    pub(super) async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        let head = request::decode(request.headers());
        let id = head.id.clone();
        let caller = match self.read_request(request, head, arrived).await {
            Ok(caller) => caller,
            Err(reason) => {
                self.log_failure(id.as_ref(), None, reason, arrived);
                return local_reply::build(id.as_ref(), reason);
            }
        };
        let route = Arc::clone(&caller.matched.route);
        match self.run(caller).await {
            Ok(response) => response,
            Err(reason) => {
                self.log_failure(id.as_ref(), Some(&route), reason, arrived);
                local_reply::build(id.as_ref(), reason)
            }
        }
    }

    async fn run(
        self: &Arc<Self>,
        mut caller: CallerRequest,
    ) -> Result<Response<Body>, FailureReason> {
        self.bind_taken_up(&mut caller).await?;
        let mut permit = None;
        self.check_quarantine(&caller, &mut permit).await?;
        self.request_admission(&caller).await?;
        let inputs = self.run_stages(&caller).await?;
        self.send(caller, inputs, permit).await
    }

    /// Finds the route of a request and reads its body.
    async fn read_request(
        &self,
        mut request: Request<Incoming>,
        head: RequestHead,
        arrived: Instant,
    ) -> Result<CallerRequest, FailureReason> {
        let memory =
            connection_memory::of_request(&mut request).ok_or(FailureReason::Overloaded)?;
        let table = self.view.table().ok_or(FailureReason::Starting)?;
        let limits = table.config().limits;
        if connection_memory::sent_head_bytes(&request) > limits.header_bytes {
            return Err(FailureReason::LargeHead);
        }
        let matched = table.find(
            request_host(&request),
            request.uri().path(),
            head.key.as_deref(),
        )?;
        let service = choose_service(&matched.route, &head).ok_or(FailureReason::NoServer)?;
        let path = request.uri().path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let mut digest = DigestBuilder::new(
            matched.workspace.as_ref(),
            request.method().as_str(),
            request_host(&request),
            path.as_str(),
        );
        let (parts, body) = request.into_parts();
        let on_part = |part: &[u8]| digest.update(part);
        let max_bytes = limits.body_bytes;
        let body = http_body::receive(body, max_bytes, BODY_TIMEOUT, &memory, on_part).await?;
        let shared_parts = shared_part_hashes(&matched.route, &head);
        let subjects = RequestSubjects::new(digest.finish(), shared_parts);
        let caller_timeout = head
            .deadline_ms
            .map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let route_timeout = Duration::from_millis(matched.route.timeout_ms);
        Ok(CallerRequest {
            id: head.id.clone().unwrap_or_else(|| RequestId::new("none")),
            head,
            method: parts.method,
            path,
            headers: parts.headers,
            body,
            memory,
            subjects,
            matched,
            service,
            software: SoftwareBinding::Free,
            arrived,
            deadline: arrived + caller_timeout.min(route_timeout),
            sent_to: SentTo::default(),
        })
    }

    /// Runs the stages that precede a request.
    pub(super) async fn run_stages(&self, caller: &CallerRequest) -> Result<Inputs, FailureReason> {
        let route = caller.route();
        let stages: Vec<StageWork> = route
            .stages
            .iter()
            .enumerate()
            .map(|(index, stage)| StageWork {
                service: stage.service.clone(),
                after: stage.after.clone(),
                pieces: caller.head.pieces.get(index).copied().unwrap_or(0),
                result_bytes: stage.result_bytes,
            })
            .collect();
        if stages.iter().all(|stage| stage.pieces == 0) {
            return Ok(Inputs::default());
        }
        let usual_response_time = self.usual_response_time(caller);
        let left_ms = self.wait_budget(caller, usual_response_time)?.as_millis() as u64;
        let elapsed_ms = caller.elapsed_ms();
        // The goal is for the first event, which the caller of a resumed stream has received.
        let goal_elapsed_ms = if caller.has_events() { 0 } else { elapsed_ms };
        let submission = Submission {
            key: self.stages.next_key(),
            request: caller.id.clone(),
            stages,
            piece_key: caller.head.piece_key.clone(),
            goal_left_ms: route.goal_ms.saturating_sub(goal_elapsed_ms).min(left_ms),
            deadline_left_ms: left_ms,
            missing_ms: self.missing_ms(caller),
            rest_ms: estimate_rest_ms(caller),
            priority: caller.matched.priority,
            home_zone: caller.prompt().and_then(|prompt| {
                let now_ms = self.clock.now_ms();
                let fleet = self.view.fleet();
                fleet.home_zone(now_ms, &caller.service, prompt, &caller.software)
            }),
            done: Vec::new(),
            digest: caller.digest(),
            ends: self.quarantine.crash_count(&caller.digest()),
        };
        if submission.piece_count() > MAX_PIECES {
            return Err(FailureReason::TooManyPieces);
        }
        let ended = tokio::select! {
            ended = self.stages.run(submission) => ended,
            () = self.shutdown.wait_until_within(usual_response_time) =>
                return Err(FailureReason::Leaving),
        };
        match ended.outcome {
            StageOutcome::Ready(results) => {
                let mut bytes_by_zone: BTreeMap<ZoneName, u64> = BTreeMap::new();
                for result in &results {
                    *bytes_by_zone.entry(result.zone.clone()).or_default() += result.bytes;
                }
                Ok(Inputs {
                    handles: results.into_iter().map(|result| result.handle).collect(),
                    bytes_by_zone: bytes_by_zone.into_iter().collect(),
                    guard: ended.guard,
                })
            }
            // The runner of stages resubmits those that were handed over and never
            // returns this.
            StageOutcome::Moved { .. } => Err(FailureReason::Stages(Refusal::Failed, 0)),
            StageOutcome::Refused {
                reason: Refusal::EndsServers,
                ..
            } => Err(self.query_quarantine_reason(caller).await),
            StageOutcome::Refused {
                reason,
                retry_after_ms,
                forecast_ms,
            } => {
                info!(self.log, "stages refused"; "request" => %caller.id,
                    "route" => &route.name, "reason" => reason.as_str(),
                    "forecast_ms" => forecast_ms, "goal_ms" => route.goal_ms,
                    "rest_ms" => estimate_rest_ms(caller), "elapsed_ms" => elapsed_ms);
                Err(FailureReason::Stages(reason, retry_after_ms))
            }
        }
    }

    /// Returns by how much a caller's deadline is shorter than is usual on its route, in ms.
    fn missing_ms(&self, caller: &CallerRequest) -> u64 {
        let deadline_ms = caller.head.deadline_ms.filter(|_| !caller.has_events());
        deadline_ms.map_or(0, |deadline_ms| {
            let now_ms = self.clock.now_ms();
            self.view
                .missing_ms(now_ms, &caller.route().name, deadline_ms)
        })
    }

    /// Returns how long a response to a request of this route usually takes after the
    /// send.
    pub(super) fn usual_response_time(&self, caller: &CallerRequest) -> Duration {
        let usual_ms = self.view.response_times().typical_ms(&caller.route().name);
        Duration::from_millis(usual_ms)
    }

    /// Returns how long a request may wait before it is sent: until its deadline or,
    /// while this instance shuts down, until `usual_response_time` before the final responses are
    /// due.
    pub(super) fn wait_budget(
        &self,
        caller: &CallerRequest,
        usual_response_time: Duration,
    ) -> Result<Duration, FailureReason> {
        let left = caller.time_left();
        let Some(respond_by) = self.shutdown.respond_by() else {
            return Ok(left);
        };
        let send_by = respond_by
            .checked_sub(usual_response_time)
            .unwrap_or(respond_by);
        let leaves_in = send_by.saturating_duration_since(Instant::now());
        if leaves_in.is_zero() {
            return Err(FailureReason::Leaving);
        }
        Ok(left.min(leaves_in))
    }

    /// Chooses the server of the next send.
    pub(super) fn choose_server(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
        permit: Option<&PermitGuard>,
    ) -> Option<BackendName> {
        let (server, chosen) = self.find_server(caller, inputs, tried, permit);
        let software = server.as_ref().and_then(|server| self.software_of(server));
        info!(self.log, "server chosen"; "request" => %caller.id, "service" => %caller.service,
            "server" => server.as_ref().map(ToString::to_string),
            "software" => software.as_ref().map(ToString::to_string),
            "resumes" => caller.head.resumes.as_ref().map(ToString::to_string),
            "reason" => chosen.reason.as_str(), "considered" => chosen.considered,
            "version" => self.view.version(), "elapsed_ms" => caller.elapsed_ms());
        server
    }

    pub(super) fn software_of(&self, server: &BackendName) -> Option<SoftwareVersion> {
        let directory = self.view.directory();
        directory.entry(server)?.software.clone()
    }

    /// Finds the server for a send, and the reason for the choice.
    pub(super) fn find_server(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
        permit: Option<&PermitGuard>,
    ) -> (Option<BackendName>, ServerChoice) {
        let placement = placement(caller, inputs, tried, permit);
        let now_ms = self.clock.now_ms();
        let chosen = self.view.fleet().choose(now_ms, &placement);
        let untried = chosen.server.clone();
        (untried.filter(|server| !tried.contains(server)), chosen)
    }

    pub(super) fn log_answered(
        &self,
        caller: &CallerRequest,
        server: &BackendName,
        status: StatusCode,
        sends: u32,
    ) {
        info!(self.log, "request answered"; "request" => %caller.id,
            "digest" => %caller.digest(),
            "route" => &caller.route().name, "server" => %server, "status" => status.as_u16(),
            "sends" => sends, "goal_ms" => caller.route().goal_ms,
            "elapsed_ms" => caller.elapsed_ms());
        metrics::counter!("savoryvane_forwarded_total", "outcome" => "answered").increment(1);
        metrics::histogram!("savoryvane_forwarded_seconds").record(caller.arrived.elapsed());
    }

    fn log_failure(
        &self,
        id: Option<&RequestId>,
        route: Option<&Route>,
        reason: FailureReason,
        arrived: Instant,
    ) {
        info!(self.log, "request refused"; "request" => id.map(ToString::to_string),
            "route" => route.map(|route| &route.name),
            "goal_ms" => route.map(|route| route.goal_ms),
            "reason" => reason.as_str(), "version" => self.view.version(),
            "elapsed_ms" => arrived.elapsed().as_millis() as u64);
        metrics::counter!("savoryvane_forwarded_total", "outcome" => reason.as_str()).increment(1);
    }
}

/// Returns the criteria for the choice of a request's server.
pub(super) fn placement<'a>(
    caller: &'a CallerRequest,
    inputs: &'a Inputs,
    tried: &'a [BackendName],
    permit: Option<&PermitGuard>,
) -> Placement<'a> {
    Placement {
        service: &caller.service,
        tried,
        is_repeatable: caller.repeats() == RepeatPolicy::Allowed,
        prompt: caller.prompt(),
        inputs: &inputs.bytes_by_zone,
        isolation_index: permit.and_then(PermitGuard::place),
        software: &caller.software,
    }
}

/// Estimates the time from the end of a request's stages to its first event.
fn estimate_rest_ms(caller: &CallerRequest) -> u64 {
    let tokens = caller.prompt().map_or(0, |prompt| {
        let own_tokens = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
        u64::from(own_tokens)
    });
    FIRST_EVENT_MS + tokens / TOKENS_PER_MS
}
