//! Forwards a request: from its head to its final answer.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use savoryvane_core::{
    forwarding::{
        AttemptEnd, Chosen, Giving, NextStep, Placement, Repeats, Route, answer_patience_ms,
        next_step,
    },
    ids::{BackendName, PoolName, RequestId, ZoneName},
    stages::{Refusal, StageOutcome, StageWork, Submission},
};
use savoryvane_platform::request::{self, RequestHead};
use slog::{Logger, info};
use tokio::time::{self, Instant};

use super::{
    answers::{self, Why},
    attempt::Sent,
    departure::Departure,
    knowledge::Knowledge,
    relay,
    request::{CallerRequest, host, service},
    stages::{Held, Stages},
};
use crate::{
    clock::Clock,
    connections::Connections,
    http_body::{self, Body},
};

/// Time for a caller's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a caller waits who does not say how long.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Servers that a request is handed to without any of them being reached.
const MOST_UNREACHED: usize = 4;
/// Tokens of a prompt that an engine reads in a ms, by the engines' sheets.
const TOKENS_PER_MS: u64 = 57;
/// Time of a generation until its first event beside its prompt, in ms: what
/// the engines' sheets say, the way, and a chunk of another prompt.
const FIRST_EVENT_MS: u64 = 60;

/// What forwarding a request needs.
#[derive(Debug)]
pub(super) struct Forwarder {
    pub(super) log: Logger,
    pub(super) clock: Clock,
    pub(super) knowledge: Arc<Knowledge>,
    pub(super) servers: Arc<Connections>,
    pub(super) stages: Arc<Stages>,
    pub(super) departure: Arc<Departure>,
}

/// Results of a request's stages.
#[derive(Debug, Default)]
pub(super) struct Inputs {
    pub(super) handles: Vec<String>,
    /// Where they are, in bytes.
    pub(super) by_zone: Vec<(ZoneName, u64)>,
    /// Lets them go when dropped.
    pub(super) held: Option<Held>,
}

impl Inputs {
    /// Tells whether there were results that have been let go.
    pub(super) fn are_gone(&self) -> bool {
        self.held.is_none() && !self.handles.is_empty()
    }
}

impl Forwarder {
    /// Answers a request of a caller.
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
        let inputs = self.run_stages(&caller).await?;
        self.send(caller, inputs).await
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
        let (parts, body) = request.into_parts();
        let body = http_body::read(body, limits.body_bytes, BODY_TIMEOUT).await?;
        let callers = head
            .deadline_ms
            .map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let routes = Duration::from_millis(matched.route.timeout_ms);
        Ok(CallerRequest {
            id: head.id.clone().unwrap_or_else(|| RequestId::new("none")),
            head,
            method: parts.method,
            path: parts
                .uri
                .path_and_query()
                .cloned()
                .unwrap_or_else(|| http::uri::PathAndQuery::from_static("/")),
            headers: parts.headers,
            body,
            matched,
            service,
            arrived,
            deadline: arrived + callers.min(routes),
        })
    }

    /// Has the stages run that come before a request.
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
            // Whoever runs stages goes on with those that were handed over.
            StageOutcome::Moved { .. } => Err(Why::Stages(Refusal::Failed, 0)),
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

    /// Sends a request to servers until there is an answer to give.
    async fn send(
        self: &Arc<Self>,
        caller: CallerRequest,
        mut inputs: Inputs,
    ) -> Result<Response<Body>, Why> {
        self.knowledge.budgets().on_request(&caller.service);
        let mut tried: Vec<BackendName> = Vec::new();
        let mut sends = 0;
        let mut may_have_run = false;
        loop {
            let Some(server) = self.choose(&caller, &inputs, &tried) else {
                return Err(if may_have_run {
                    Why::Lost
                } else {
                    Why::NoServer
                });
            };
            if !may_have_run {
                self.time_to_wait(&caller, self.answer_time(&caller))?;
            }
            tried.push(server.clone());
            let may_move_on = caller.repeats() == Repeats::Allowed
                && sends + 1 < caller.route().max_servers
                && tried.len() < MOST_UNREACHED;
            let held = inputs.held.take();
            let sending = self.send_to(&caller, &inputs, &tried, &server, may_move_on);
            let (sent, held) = tokio::select! {
                sent = self.while_fetched(&caller.service, held, sending) => sent,
                () = self.departure.nears(Duration::ZERO) => return Err(Why::Overdue),
            };
            inputs.held = held;
            let sent = sent.ok_or(Why::Overdue)?;
            let were_let_go = inputs.are_gone();
            self.note_fetched(&caller.service, were_let_go, &sent);
            let (end, failure) = match sent {
                Sent::Whole(response) => {
                    self.log_answered(&caller, &server, response.status(), sends + 1);
                    return Ok(response.map(http_body::full));
                }
                Sent::Stream(stream) => {
                    return Ok(relay::start(
                        Arc::clone(self),
                        caller,
                        inputs,
                        stream,
                        tried,
                    ));
                }
                Sent::Ended(end, failure) => (end, failure),
            };
            may_have_run |= matches!(
                end,
                AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Silent
            );
            sends += u32::from(end.counts());
            let has_room = sends < caller.route().max_servers
                && tried.len() < MOST_UNREACHED
                && !caller.left().is_zero();
            let spend = || self.knowledge.budgets().try_spend(&caller.service);
            let next = next_step(end, caller.repeats(), may_have_run, has_room, spend);
            info!(self.log, "send ended"; "request" => %caller.id, "server" => %server,
                "end" => ?end, "next" => ?next, "sends" => sends,
                "elapsed_ms" => caller.elapsed_ms());
            match (next, failure) {
                (NextStep::SendAgain, _) if end == AttemptEnd::InputsGone || were_let_go => {
                    inputs = self.run_stages(&caller).await?;
                    if end == AttemptEnd::InputsGone {
                        tried.clear();
                    }
                }
                (NextStep::SendAgain, _) => {}
                (NextStep::Give(Giving::Refusal), _) => return Err(Why::NoServer),
                (NextStep::Give(Giving::ServersFailure), Some(response)) => {
                    self.log_answered(&caller, &server, response.status(), sends);
                    return Ok(response.map(http_body::full));
                }
                (NextStep::Give(_), _) => return Err(Why::Lost),
            }
        }
    }

    /// Lets results go once an engine of `service` has had the time to fetch
    /// them, while `sending` goes on; returns them if it ends before.
    async fn while_fetched(
        &self,
        service: &PoolName,
        mut held: Option<Held>,
        sending: impl Future<Output = Option<Sent>>,
    ) -> (Option<Sent>, Option<Held>) {
        let within_ms = self.knowledge.fetch_times().within_ms(service);
        let fetched = time::sleep(Duration::from_millis(within_ms));
        tokio::pin!(fetched, sending);
        loop {
            tokio::select! {
                biased;
                sent = &mut sending => return (sent, held),
                () = &mut fetched, if held.is_some() => held = None,
            }
        }
    }

    /// Learns from the end of a send whether its results were let go too soon.
    fn note_fetched(&self, service: &PoolName, were_let_go: bool, sent: &Sent) {
        if !were_let_go {
            return;
        }
        match sent {
            Sent::Whole(_) | Sent::Stream(_) => {
                self.knowledge.fetch_times().on_fetched(service);
            }
            Sent::Ended(AttemptEnd::InputsGone, _) => {
                self.knowledge.fetch_times().on_missed(service);
            }
            Sent::Ended(..) => {}
        }
    }

    /// Sends a request to one server until the caller's deadline; where it may
    /// move on, a server that stays silent is given up for another one.
    async fn send_to(
        self: &Arc<Self>,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
        server: &BackendName,
        may_move_on: bool,
    ) -> Option<Sent> {
        let patience = Duration::from_millis(answer_patience_ms(caller.route().goal_ms));
        let mut sent = Box::pin(self.send_once(caller, inputs, server, None));
        if may_move_on {
            let until = (Instant::now() + patience).min(caller.deadline);
            if let Ok(sent) = time::timeout_at(until, &mut sent).await {
                return Some(sent);
            }
            if self.may_repeat_elsewhere(caller, inputs, tried) {
                // Closes the connection, so that the server stops.
                drop(sent);
                self.give_up(caller, server, patience);
                return Some(Sent::Ended(AttemptEnd::Silent, None));
            }
        }
        time::timeout_at(caller.deadline, sent).await.ok()
    }

    /// Returns how long an answer to a request usually takes once it is sent.
    fn answer_time(&self, caller: &CallerRequest) -> Duration {
        let usual_ms = self.knowledge.answer_times().usual_ms(&caller.route().name);
        Duration::from_millis(usual_ms)
    }

    /// Returns how long a request may wait until it is sent: until its caller
    /// gives up or, while this instance leaves, until `answer_time` is left of it.
    fn time_to_wait(&self, caller: &CallerRequest, answer_time: Duration) -> Result<Duration, Why> {
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

    /// Tells whether there is another server for a request and a repeat in the
    /// budget, which it takes.
    pub(super) fn may_repeat_elsewhere(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
    ) -> bool {
        !caller.left().is_zero()
            && self.find(caller, inputs, tried).0.is_some()
            && self.knowledge.budgets().try_spend(&caller.service)
    }

    /// Notes that a server was given up as it stayed silent.
    pub(super) fn give_up(&self, caller: &CallerRequest, server: &BackendName, waited: Duration) {
        let now_ms = self.clock.now_ms();
        self.knowledge.fleet().on_given_up(now_ms, server);
        if let Some(entry) = self.knowledge.directory().entry(server) {
            // Others that are kept may be as silent.
            self.servers.forget(entry.addr);
        }
        info!(self.log, "silent server given up"; "request" => %caller.id, "server" => %server,
            "waited_ms" => waited.as_millis() as u64, "elapsed_ms" => caller.elapsed_ms());
    }

    /// Chooses the server of the next send.
    pub(super) fn choose(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
    ) -> Option<BackendName> {
        let (server, chosen) = self.find(caller, inputs, tried);
        info!(self.log, "server chosen"; "request" => %caller.id, "service" => %caller.service,
            "server" => server.as_ref().map(ToString::to_string),
            "reason" => chosen.reason.as_str(), "considered" => chosen.considered,
            "version" => self.knowledge.version(), "elapsed_ms" => caller.elapsed_ms());
        server
    }

    /// Finds the server for a send, and says why it is that one.
    fn find(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
    ) -> (Option<BackendName>, Chosen) {
        let placement = Placement {
            service: &caller.service,
            tried,
            is_repeatable: caller.repeats() == Repeats::Allowed,
            prompt: caller.prompt(),
            inputs: &inputs.by_zone,
        };
        let now_ms = self.clock.now_ms();
        let chosen = self.knowledge.fleet().choose(now_ms, &placement);
        let untried = chosen.server.clone();
        (untried.filter(|server| !tried.contains(server)), chosen)
    }

    fn log_answered(
        &self,
        caller: &CallerRequest,
        server: &BackendName,
        status: StatusCode,
        sends: u32,
    ) {
        info!(self.log, "request answered"; "request" => %caller.id,
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

/// Estimates the time from the end of a request's stages to its first event.
fn rest_ms(caller: &CallerRequest) -> u64 {
    let tokens = caller.prompt().map_or(0, |prompt| {
        let own = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
        u64::from(own)
    });
    FIRST_EVENT_MS + tokens / TOKENS_PER_MS
}
