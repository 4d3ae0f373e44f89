//! The HTTP interface for callers.

mod answer;
mod head;

use std::{convert::Infallible, sync::Arc};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use savoryvane_core::{ids::RequestId, json_cost};
use savoryvane_wire::caller::{Submission, Ticket};
use tower::{ServiceBuilder, ServiceExt, load_shed::error::Overloaded, util::BoxCloneSyncService};

pub(crate) use self::answer::final_answer;
use self::{
    answer::{respond_refused, respond_stream, respond_whole},
    head::{
        accepts_stream, has_warrant, new_request_id, parse_head, parse_pipeline, parse_request_id,
        parse_workspace,
    },
};
use crate::{
    caller_memory::{Evicted, MemoryCharge},
    connection_memory, controller, credential,
    http_body::{self, Body, BodyError},
    instance::Shared,
    phase::Phase,
    refusal::Refusal,
};

/// Path on which tickets are issued.
const TICKETS_PATH: &str = "/v1/tickets";
/// Builds the service for the callers' listener.
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
    let limited = ServiceBuilder::new()
        .load_shed()
        .layer(tower::limit::GlobalConcurrencyLimitLayer::new(max_requests))
        .service(handler);
    BoxCloneSyncService::new(tower::service_fn(move |request: Request<Incoming>| {
        let (shared, limited) = (Arc::clone(&shared), limited.clone());
        async move {
            // Probes bypass the concurrency limit so that they work under overload.
            if let Some(answer) = probe(&shared, &request) {
                return Ok(answer);
            }
            let id = parse_request_id(request.headers()).unwrap_or_else(|_| new_request_id());
            let has_warrant_header = has_warrant(request.headers());
            match limited.oneshot(request).await {
                Ok(answer) => Ok(answer),
                Err(err) => {
                    debug_assert!(err.is::<Overloaded>());
                    Ok(respond_refused(
                        &shared,
                        &id,
                        has_warrant_header,
                        Refusal::Overloaded,
                    ))
                }
            }
        }
    }))
}

fn probe(shared: &Shared, request: &Request<Incoming>) -> Option<Response<Body>> {
    let is_ready = shared.phases.current() == Phase::Serving;
    let is_healthy = match request.uri().path() {
        "/live" => true,
        "/ready" => is_ready,
        _ => return None,
    };
    let (status, text) = match is_healthy {
        _ if request.method() != Method::GET => (StatusCode::METHOD_NOT_ALLOWED, "use GET\n"),
        true => (StatusCode::OK, "ok\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    Some(http_body::with_type(status, "text/plain", text))
}

async fn submit(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived_at_ms = shared.clock.now_ms();
    let has_warrant_header = has_warrant(request.headers());
    let id = match parse_request_id(request.headers()) {
        Ok(id) => id,
        Err(refusal) => {
            return respond_refused(shared, &new_request_id(), has_warrant_header, refusal);
        }
    };
    match run(shared, request, &id, arrived_at_ms).await {
        Ok(answer) => answer,
        Err(refusal) => respond_refused(shared, &id, has_warrant_header, refusal),
    }
}

async fn run(
    shared: &Arc<Shared>,
    mut request: Request<Incoming>,
    id: &RequestId,
    arrived_at_ms: u64,
) -> Result<Response<Body>, Refusal> {
    let memory = connection_memory::of_request(&mut request).ok_or(Refusal::Overloaded)?;
    if request.uri().path() == TICKETS_PATH {
        return issue_ticket(shared, &request);
    }
    let pipeline = parse_pipeline(request.uri().path()).ok_or(Refusal::NoPath)?;
    if request.method() != Method::POST {
        return Err(Refusal::BadMethod);
    }
    let head = parse_head(request.headers(), pipeline, id, arrived_at_ms)?;
    let is_streamed = accepts_stream(request.headers());
    let mut admitted = controller::admit(shared, head)?;
    let limits = &shared.settings.limits;
    let mut digest = admitted.digest();
    let body = http_body::receive(
        request.into_body(),
        limits.body_bytes,
        limits.body_timeout(),
        &memory,
        |chunk| digest.update(chunk),
    )
    .await
    .map_err(body_refusal)?;
    let (submission, charge) = parse_submission(&body, memory.body_charge())?;
    drop(body);
    admitted.hold(memory);
    admitted.hold_input(charge);
    let updates = controller::execute(shared, admitted, submission.input, digest.finish());
    Ok(if is_streamed {
        respond_stream(shared, id, updates).await
    } else {
        respond_whole(shared, id, updates).await
    })
}

fn issue_ticket(shared: &Shared, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    if request.method() != Method::POST {
        return Err(Refusal::BadMethod);
    }
    let workspace = parse_workspace(request.headers())?;
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

/// Parses a body, and charges what the value takes before it exists.
pub(crate) fn parse_submission(
    body: &[u8],
    mut charge: MemoryCharge,
) -> Result<(Submission, MemoryCharge), Refusal> {
    let value_bytes = json_cost::value_bytes(body);
    if !charge.can_hold(value_bytes + body.len() as u64) {
        return Err(Refusal::LargeBody);
    }
    charge
        .try_grow(value_bytes)
        .map_err(|Evicted| Refusal::Overloaded)?;
    let submission = serde_json::from_slice(body).map_err(|_| Refusal::BadBody)?;
    Ok((submission, charge))
}

fn body_refusal(err: BodyError) -> Refusal {
    match err {
        BodyError::TooLarge => Refusal::LargeBody,
        BodyError::TooSlow => Refusal::SlowBody,
        BodyError::Broken => Refusal::BadBody,
        BodyError::Evicted => Refusal::Overloaded,
    }
}
