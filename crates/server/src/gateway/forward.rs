//! Forwards a request: from its head to its final response.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode, uri::PathAndQuery};
use hyper::body::Incoming;
use savoryvane_core::{
    forwarding::{Chosen, Placement, Repeats, Route},
    ids::{BackendName, RequestId, ZoneName},
    poison::DigestBuilder,
    stages::{Refusal, StageOutcome, StageWork, Submission},
};
use savoryvane_platform::request::{self, RequestHead};
use slog::{Logger, info};
use tokio::time::Instant;

use super::{
    answers::{self, Why},
    crashes::CrashDetector,
    departure::Departure,
    knowledge::Knowledge,
    limits::LimitSharing,
    members::Members,
    quarantine::{HeldPermit, Quarantine},
    request::{CallerRequest, host, service},
    stages::{Held, Stages},
};
use crate::{
    clock::Clock,
    connections::Connections,
    http_body::{self, Body},
};

/// Timeout for a caller's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
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
    pub(super) knowledge: Arc<Knowledge>,
    pub(super) servers: Arc<Connections>,
    pub(super) stages: Arc<Stages>,
    pub(super) departure: Arc<Departure>,
    pub(super) ends: Arc<CrashDetector>,
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) members: Arc<Members>,
    pub(super) limits: Arc<LimitSharing>,
}

/// Results of a request's stages, the inputs of its main call.
#[derive(Debug, Default)]
pub(super) struct Inputs {
    pub(super) handles: Vec<String>,
    /// Size of the results in each availability zone, in bytes.
    pub(super) by_zone: Vec<(ZoneName, u64)>,
    /// Releases the results when dropped.
    pub(super) held: Option<Held>,
}

impl Inputs {
    /// Returns whether there were results that have been released.
    pub(super) fn are_gone(&self) -> bool {
        self.held.is_none() && !self.handles.is_empty()
    }
}

impl Forwarder {
    /// Responds to a caller's request.
    pub(super) async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        let head = request::decode(request.headers());
        let id = head.id.clone();
        let caller = match self.take(request, head, arrived).await {
            Ok(caller) => caller,
            Err(why) => {
                self.log_own(id.as_ref(), None, why, arrived);
                return answers::own(id.as_ref(), why);
            }
        };
        let route = Arc::clone(&caller.matched.route);
        match self.run(caller).await {
            Ok(response) => response,
            Err(why) => {
                self.log_own(id.as_ref(), Some(&route), why, arrived);
                answers::own(id.as_ref(), why)
            }
        }
    }

    async fn run(self: &Arc<Self>, caller: CallerRequest) -> Result<Response<Body>, Why> {
        let mut permit = None;
        self.admit(&caller, &mut permit).await?;
        self.ask_admission(&caller).await?;
        let inputs = self.run_stages(&caller).await?;
        self.send(caller, inputs, permit).await
    }

    /// Finds the route of a request and reads its body.
    async fn take(
        &self,
        request: Request<Incoming>,
        head: RequestHead,
        arrived: Instant,
    ) -> Result<CallerRequest, Why> {
        let table = self.knowledge.table().ok_or(Why::Starting)?;
        let matched = table.find(host(&request), request.uri().path(), head.key.as_deref())?;
        let service = service(&matched.route, &head).ok_or(Why::NoServer)?;
        let limits = table.config().limits;
        let path = request.uri().path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let mut digest = DigestBuilder::new(
            matched.workspace.as_ref(),
            request.method().as_str(),
            host(&request),
            path.as_str(),
        );
        let (parts, body) = request.into_parts();
        let on_part = |part: &[u8]| digest.update(part);
        let body = http_body::read_with(body, limits.body_bytes, BODY_TIMEOUT, on_part).await?;
        let callers = head
            .deadline_ms
            .map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let routes = Duration::from_millis(matched.route.timeout_ms);
        Ok(CallerRequest {
            id: head.id.clone().unwrap_or_else(|| RequestId::new("none")),
            head,
            method: parts.method,
            path,
            headers: parts.headers,
            body,
            digest: digest.finish(),
            matched,
            service,
            arrived,
            deadline: arrived + callers.min(routes),
        })
    }

    /// Runs the stages that precede a request.
    pub(super) async fn run_stages(&self, caller: &CallerRequest) -> Result<Inputs, Why> {
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
        let answer_time = self.answer_time(caller);
        let left_ms = self.time_to_wait(caller, answer_time)?.as_millis() as u64;
        let elapsed_ms = caller.elapsed_ms();
        let submission = Submission {
            key: self.stages.next_key(),
            request: caller.id.clone(),
            stages,
            piece_key: caller.head.piece_key.clone(),
            goal_left_ms: route.goal_ms.saturating_sub(elapsed_ms).min(left_ms),
            deadline_left_ms: left_ms,
            missing_ms: caller.head.deadline_ms.map_or(0, |deadline_ms| {
                let now_ms = self.clock.now_ms();
                self.knowledge.missing_ms(now_ms, &route.name, deadline_ms)
            }),
            rest_ms: rest_ms(caller),
            priority: caller.matched.priority,
            home_zone: caller.prompt().and_then(|prompt| {
                let now_ms = self.clock.now_ms();
                self.knowledge
                    .fleet()
                    .home_zone(now_ms, &caller.service, prompt)
            }),
            done: Vec::new(),
            digest: caller.digest,
            ends: self.quarantine.ends(&caller.digest),
        };
        let ended = tokio::select! {
            ended = self.stages.run(submission) => ended,
            () = self.departure.nears(answer_time) => return Err(Why::Leaving),
        };
        match ended.outcome {
            StageOutcome::Ready(results) => {
                let mut by_zone: BTreeMap<ZoneName, u64> = BTreeMap::new();
                for result in &results {
                    *by_zone.entry(result.zone.clone()).or_default() += result.bytes;
                }
                Ok(Inputs {
                    handles: results.into_iter().map(|result| result.handle).collect(),
                    by_zone: by_zone.into_iter().collect(),
                    held: ended.held,
                })
            }
            // The runner of stages resubmits those that were handed over and never
            // returns this.
            StageOutcome::Moved { .. } => Err(Why::Stages(Refusal::Failed, 0)),
            StageOutcome::Refused {
                reason: Refusal::EndsServers,
                ..
            } => Err(self.learn_why(caller).await),
            StageOutcome::Refused {
                reason,
                retry_after_ms,
                forecast_ms,
            } => {
                info!(self.log, "stages refused"; "request" => %caller.id,
                    "route" => &route.name, "reason" => reason.as_str(),
                    "forecast_ms" => forecast_ms, "goal_ms" => route.goal_ms,
                    "rest_ms" => rest_ms(caller), "elapsed_ms" => elapsed_ms);
                Err(Why::Stages(reason, retry_after_ms))
            }
        }
    }

    /// Returns how long a response to a request of this route usually takes after the
    /// send.
    pub(super) fn answer_time(&self, caller: &CallerRequest) -> Duration {
        let usual_ms = self.knowledge.answer_times().usual_ms(&caller.route().name);
        Duration::from_millis(usual_ms)
    }

    /// Returns how long a request may wait before it is sent: until its deadline or,
    /// while this instance shuts down, until `answer_time` before the final responses are
    /// due.
    pub(super) fn time_to_wait(
        &self,
        caller: &CallerRequest,
        answer_time: Duration,
    ) -> Result<Duration, Why> {
        let left = caller.left();
        let Some(answers_by) = self.departure.answers_by() else {
            return Ok(left);
        };
        let send_by = answers_by.checked_sub(answer_time).unwrap_or(answers_by);
        let leaves_in = send_by.saturating_duration_since(Instant::now());
        if leaves_in.is_zero() {
            return Err(Why::Leaving);
        }
        Ok(left.min(leaves_in))
    }

    /// Chooses the server of the next send.
    pub(super) fn choose(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
        permit: Option<&HeldPermit>,
    ) -> Option<BackendName> {
        let (server, chosen) = self.find(caller, inputs, tried, permit);
        info!(self.log, "server chosen"; "request" => %caller.id, "service" => %caller.service,
            "server" => server.as_ref().map(ToString::to_string),
            "reason" => chosen.reason.as_str(), "considered" => chosen.considered,
            "version" => self.knowledge.version(), "elapsed_ms" => caller.elapsed_ms());
        server
    }

    /// Finds the server for a send, and the reason for the choice.
    pub(super) fn find(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
        permit: Option<&HeldPermit>,
    ) -> (Option<BackendName>, Chosen) {
        let placement = placement(caller, inputs, tried, permit);
        let now_ms = self.clock.now_ms();
        let chosen = self.knowledge.fleet().choose(now_ms, &placement);
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
            "digest" => %caller.digest,
            "route" => &caller.route().name, "server" => %server, "status" => status.as_u16(),
            "sends" => sends, "goal_ms" => caller.route().goal_ms,
            "elapsed_ms" => caller.elapsed_ms());
        metrics::counter!("savoryvane_forwarded_total", "outcome" => "answered").increment(1);
        metrics::histogram!("savoryvane_forwarded_seconds").record(caller.arrived.elapsed());
    }

    fn log_own(&self, id: Option<&RequestId>, route: Option<&Route>, why: Why, arrived: Instant) {
        info!(self.log, "request refused"; "request" => id.map(ToString::to_string),
            "route" => route.map(|route| &route.name),
            "goal_ms" => route.map(|route| route.goal_ms),
            "reason" => why.as_str(), "version" => self.knowledge.version(),
            "elapsed_ms" => arrived.elapsed().as_millis() as u64);
        metrics::counter!("savoryvane_forwarded_total", "outcome" => why.as_str()).increment(1);
    }
}

/// Returns the criteria for the choice of a request's server.
pub(super) fn placement<'a>(
    caller: &'a CallerRequest,
    inputs: &'a Inputs,
    tried: &'a [BackendName],
    permit: Option<&HeldPermit>,
) -> Placement<'a> {
    Placement {
        service: &caller.service,
        tried,
        is_repeatable: caller.repeats() == Repeats::Allowed,
        prompt: caller.prompt(),
        inputs: &inputs.by_zone,
        apart: permit.and_then(HeldPermit::place),
    }
}

/// Estimates the time from the end of a request's stages to its first event.
fn rest_ms(caller: &CallerRequest) -> u64 {
    let tokens = caller.prompt().map_or(0, |prompt| {
        let own = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
        u64::from(own)
    });
    FIRST_EVENT_MS + tokens / TOKENS_PER_MS
}
