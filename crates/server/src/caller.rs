//! The callers' interface: from an HTTP request to an HTTP answer.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use savoryvane_core::{
    execution::Completion,
    ids::{IdempotencyKey, PipelineName, RequestId, WorkspaceName, is_valid_name},
    outcome::Outcome,
    ticket::TicketId,
};
use savoryvane_wire::caller::{self, Answer, AnswerEvent, Submission, Ticket};
use tokio::sync::mpsc;
use tower::{ServiceBuilder, ServiceExt, load_shed::error::Overloaded, util::BoxCloneSyncService};

use crate::{
    controller::{self, Head},
    credential,
    exclusive::Warrant,
    http_body::{self, Body, BodyFault, JSON, NDJSON},
    instance::Shared,
    phase::Phase,
    refusal::{self, Refusal},
    runner::Update,
};

/// Path of the tickets.
const TICKETS_PATH: &str = "/v1/tickets";
/// Longest request id or idempotency key, in bytes.
const MAX_TOKEN_BYTES: usize = 128;
/// Reason of an answer whose request ended without one.
const LOST: &str = "internal: the request ended without an answer";

/// Builds the service of the callers' listener.
pub(crate) fn service(
    shared: Arc<Shared>,
) -> BoxCloneSyncService<Request<Incoming>, Response<Body>, Infallible> {
    let max_requests = usize::try_from(shared.settings.limits.max_in_flight).unwrap_or(usize::MAX);
    let handler = {
        let shared = Arc::clone(&shared);
        tower::service_fn(move |request| {
            let shared = Arc::clone(&shared);
            async move { Ok::<_, Infallible>(submit(&shared, request).await) }
        })
    };
    let bounded = ServiceBuilder::new()
        .load_shed()
        .layer(tower::limit::GlobalConcurrencyLimitLayer::new(max_requests))
        .service(handler);
    BoxCloneSyncService::new(tower::service_fn(move |request: Request<Incoming>| {
        let (shared, bounded) = (Arc::clone(&shared), bounded.clone());
        async move {
            // Probes are answered under any load.
            if let Some(answer) = probe(&shared, &request) {
                return Ok(answer);
            }
            let id = request_id(request.headers()).unwrap_or_else(|_| new_request_id());
            let has_key = has_warrant(request.headers());
            match bounded.oneshot(request).await {
                Ok(answer) => Ok(answer),
                Err(err) => {
                    debug_assert!(err.is::<Overloaded>());
                    Ok(refuse(&shared, &id, has_key, Refusal::Overloaded))
                }
            }
        }
    }))
}

fn probe(shared: &Shared, request: &Request<Incoming>) -> Option<Response<Body>> {
    let is_ready = shared.phases.current() == Phase::Serving;
    let is_well = match request.uri().path() {
        "/live" => true,
        "/ready" => is_ready,
        _ => return None,
    };
    let (status, text) = match is_well {
        _ if request.method() != Method::GET => (StatusCode::METHOD_NOT_ALLOWED, "use GET\n"),
        true => (StatusCode::OK, "ok\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    Some(http_body::with_type(status, "text/plain", text))
}

async fn submit(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived_at_ms = shared.clock.now_ms();
    let has_key = has_warrant(request.headers());
    let id = match request_id(request.headers()) {
        Ok(id) => id,
        Err(refusal) => return refuse(shared, &new_request_id(), has_key, refusal),
    };
    match run(shared, request, &id, arrived_at_ms).await {
        Ok(answer) => answer,
        Err(refusal) => refuse(shared, &id, has_key, refusal),
    }
}

async fn run(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    id: &RequestId,
    arrived_at_ms: u64,
) -> Result<Response<Body>, Refusal> {
    if request.uri().path() == TICKETS_PATH {
        return issue_ticket(shared, &request);
    }
    let pipeline = pipeline(request.uri().path()).ok_or(Refusal::NoPath)?;
    if request.method() != Method::POST {
        return Err(Refusal::BadMethod);
    }
    let head = head(request.headers(), pipeline, id, arrived_at_ms)?;
    let is_streamed = wants_stream(request.headers());
    let admitted = controller::admit(shared, head)?;
    let limits = &shared.settings.limits;
    let body = http_body::read(
        request.into_body(),
        limits.body_bytes,
        limits.body_timeout(),
    )
    .await
    .map_err(body_refusal)?;
    let submission: Submission = serde_json::from_slice(&body).map_err(|_| Refusal::BadBody)?;
    let updates = controller::execute(shared, admitted, submission.input);
    Ok(if is_streamed {
        stream(shared, id, updates).await
    } else {
        whole(shared, id, updates).await
    })
}

fn issue_ticket(shared: &Shared, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    if request.method() != Method::POST {
        return Err(Refusal::BadMethod);
    }
    let workspace = workspace(request.headers())?;
    let credential = credential::presented(request.headers()).ok_or(Refusal::Unauthorized)?;
    controller::authenticate(shared, &workspace, Some(credential))?;
    if shared.phases.is_leaving() {
        return Err(Refusal::NotReady);
    }
    let issued = shared.tickets.issue(shared.clock.now_ms(), &workspace);
    let ticket = Ticket {
        ticket: issued.ok_or(Refusal::Overloaded)?.to_string(),
        valid_ms: shared.tickets.valid_ms(),
    };
    Ok(http_body::json(StatusCode::CREATED, &ticket))
}

async fn whole(
    shared: &Shared,
    id: &RequestId,
    mut updates: mpsc::UnboundedReceiver<Update>,
) -> Response<Body> {
    while let Some(update) = updates.recv().await {
        match update {
            Update::Token { .. } => {}
            Update::Final(completion) => {
                let status = refusal::status(&completion);
                return answer(shared, status, &final_answer(id, *completion));
            }
            Update::Given(given) => return answer(shared, refusal::given_status(&given), &given),
        }
    }
    answer(shared, StatusCode::INTERNAL_SERVER_ERROR, &lost(id))
}

/// Waits for the first event, so that a request that fails before it has a
/// token is answered with the status of its failure.
async fn stream(
    shared: &Shared,
    id: &RequestId,
    mut updates: mpsc::UnboundedReceiver<Update>,
) -> Response<Body> {
    let first = updates.recv().await;
    let status = match &first {
        Some(Update::Token { .. }) => StatusCode::OK,
        Some(Update::Final(completion)) => refusal::status(completion),
        Some(Update::Given(given)) => refusal::given_status(given),
        None => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let outcome = match &first {
        Some(Update::Token { .. }) => None,
        Some(Update::Final(completion)) => Some(completion.outcome),
        Some(Update::Given(given)) => Some(given.outcome),
        None => Some(Outcome::Unknown),
    };
    let body = EventBody {
        id: id.clone(),
        first,
        updates,
        is_ended: false,
    };
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(NDJSON));
    put_common(shared, headers, id, outcome);
    response
}

/// The events of a request, one JSON value a line.
struct EventBody {
    id: RequestId,
    first: Option<Update>,
    updates: mpsc::UnboundedReceiver<Update>,
    is_ended: bool,
}

impl hyper::body::Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let update = match self.first.take() {
            Some(first) => Some(first),
            None => std::task::ready!(self.updates.poll_recv(cx)),
        };
        let event = match update {
            Some(Update::Token { index, text }) => AnswerEvent::Token { index, text },
            Some(Update::Final(completion)) => {
                AnswerEvent::Final(final_answer(&self.id, *completion))
            }
            Some(Update::Given(given)) => AnswerEvent::Final(*given),
            None => AnswerEvent::Final(lost(&self.id)),
        };
        self.is_ended = matches!(event, AnswerEvent::Final(_));
        let mut line = serde_json::to_vec(&event).unwrap_or_default();
        line.push(b'\n');
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(line)))))
    }
}

/// Puts an answer into the form that callers get.
pub(crate) fn final_answer(id: &RequestId, completion: Completion) -> Answer {
    Answer {
        request_id: id.clone(),
        outcome: completion.outcome,
        reason: completion.reason.map(|reason| reason.to_string()),
        output: completion.output,
        retry_after_ms: completion.retry_after_ms,
        stages: completion.stages,
    }
}

fn lost(id: &RequestId) -> Answer {
    Answer {
        request_id: id.clone(),
        outcome: Outcome::Unknown,
        reason: Some(LOST.to_owned()),
        output: None,
        retry_after_ms: None,
        stages: Vec::new(),
    }
}

fn refuse(shared: &Shared, id: &RequestId, has_key: bool, refusal: Refusal) -> Response<Body> {
    let body = Answer {
        request_id: id.clone(),
        outcome: refusal.outcome(has_key),
        reason: Some(refusal.code()),
        output: None,
        retry_after_ms: refusal.retry_after_ms(),
        stages: Vec::new(),
    };
    let mut response = answer(shared, refusal.status(), &body);
    let headers = response.headers_mut();
    match refusal {
        Refusal::Unauthorized => {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        Refusal::BadMethod => {
            headers.insert(header::ALLOW, HeaderValue::from_static("POST"));
        }
        _ => {}
    }
    response
}

fn answer(shared: &Shared, status: StatusCode, body: &Answer) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = http_body::with_type(status, JSON, bytes);
    let headers = response.headers_mut();
    put_common(shared, headers, &body.request_id, Some(body.outcome));
    if let Some(retry_after_ms) = body.retry_after_ms {
        headers.insert(header::RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
    }
    response
}

fn put_common(shared: &Shared, headers: &mut HeaderMap, id: &RequestId, outcome: Option<Outcome>) {
    let instance = shared.settings.instance.as_str();
    let outcome = outcome.map(Outcome::as_str);
    let values = [
        (caller::REQUEST_ID, Some(id.as_str())),
        (caller::INSTANCE, Some(instance)),
        (caller::OUTCOME, outcome),
    ];
    for (name, value) in values {
        if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
}

fn pipeline(path: &str) -> Option<PipelineName> {
    let name = path
        .strip_prefix("/v1/pipelines/")?
        .strip_suffix("/requests")?;
    is_valid_name(name).then(|| PipelineName::new(name))
}

fn head(
    headers: &HeaderMap,
    pipeline: PipelineName,
    id: &RequestId,
    arrived_at_ms: u64,
) -> Result<Head, Refusal> {
    let workspace = workspace(headers)?;
    let credential = credential::presented(headers).ok_or(Refusal::Unauthorized)?;
    let deadline_ms = single(headers, caller::DEADLINE_MS)?
        .map(|text| text.parse().ok().filter(|ms| *ms > 0))
        .map(|ms| ms.ok_or(Refusal::BadHeader(caller::DEADLINE_MS)))
        .transpose()?;
    Ok(Head {
        request: id.clone(),
        workspace,
        credential: Some(credential.to_owned()),
        pipeline,
        deadline_ms,
        warrant: warrant(headers)?,
        arrived_at_ms,
    })
}

fn workspace(headers: &HeaderMap) -> Result<WorkspaceName, Refusal> {
    single(headers, caller::WORKSPACE)?
        .filter(|name| is_valid_name(name))
        .map(WorkspaceName::new)
        .ok_or(Refusal::BadHeader(caller::WORKSPACE))
}

/// A request is run under a key or a ticket, not both: they know nothing of
/// each other.
fn warrant(headers: &HeaderMap) -> Result<Option<Warrant>, Refusal> {
    let key = token(headers, caller::IDEMPOTENCY_KEY)?.map(IdempotencyKey::new);
    let ticket = single(headers, caller::TICKET)?
        .map(|text| TicketId::parse(text).ok_or(Refusal::BadHeader(caller::TICKET)))
        .transpose()?;
    match (key, ticket) {
        (Some(_), Some(_)) => Err(Refusal::BadHeader(caller::TICKET)),
        (Some(key), None) => Ok(Some(Warrant::Key(key))),
        (None, ticket) => Ok(ticket.map(Warrant::Ticket)),
    }
}

fn has_warrant(headers: &HeaderMap) -> bool {
    headers.contains_key(caller::IDEMPOTENCY_KEY) || headers.contains_key(caller::TICKET)
}

fn request_id(headers: &HeaderMap) -> Result<RequestId, Refusal> {
    let given = token(headers, caller::REQUEST_ID)?;
    Ok(given.map_or_else(new_request_id, RequestId::new))
}

fn new_request_id() -> RequestId {
    RequestId::new(format!("{:032x}", rand::random::<u128>()))
}

fn token<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    match single(headers, name)? {
        Some(text) if text.is_empty() || text.len() > MAX_TOKEN_BYTES => {
            Err(Refusal::BadHeader(name))
        }
        Some(text) if !text.bytes().all(|byte| byte.is_ascii_graphic()) => {
            Err(Refusal::BadHeader(name))
        }
        found => Ok(found),
    }
}

/// Returns the value of a header that may come once at most.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let (first, second) = (values.next(), values.next());
    match (first, second) {
        (None, _) => Ok(None),
        (Some(value), None) => match value.to_str() {
            Ok(text) => Ok(Some(text.trim())),
            Err(_) => Err(Refusal::BadHeader(name)),
        },
        (Some(_), Some(_)) => Err(Refusal::BadHeader(name)),
    }
}

fn wants_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::ACCEPT)
        .and_then(|accept| accept.to_str().ok())
        .is_some_and(|accept| accept.contains(NDJSON))
}

fn body_refusal(fault: BodyFault) -> Refusal {
    match fault {
        BodyFault::TooLarge => Refusal::LargeBody,
        BodyFault::TooSlow => Refusal::SlowBody,
        BodyFault::Broken => Refusal::BadBody,
    }
}
