//! The callers' interface: from an HTTP request to an HTTP answer.

mod answer;
mod head;

use std::{convert::Infallible, sync::Arc};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use savoryvane_core::ids::RequestId;
use savoryvane_wire::caller::{Submission, Ticket};
use tower::{ServiceBuilder, ServiceExt, load_shed::error::Overloaded, util::BoxCloneSyncService};

pub(crate) use self::answer::final_answer;
use self::{
    answer::{refuse, stream, whole},
    head::{has_warrant, head, new_request_id, pipeline, request_id, wants_stream, workspace},
};
use crate::{
    controller, credential,
    http_body::{self, Body, BodyError},
    instance::Shared,
    phase::Phase,
    refusal::Refusal,
};

/// Path of the tickets.
const TICKETS_PATH: &str = "/v1/tickets";
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
    let mut digest = admitted.digest();
    let body = http_body::read_with(
        request.into_body(),
        limits.body_bytes,
        limits.body_timeout(),
        |part| digest.update(part),
    )
    .await
    .map_err(body_refusal)?;
    let submission: Submission = serde_json::from_slice(&body).map_err(|_| Refusal::BadBody)?;
    let updates = controller::execute(shared, admitted, submission.input, digest.finish());
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

fn body_refusal(fault: BodyError) -> Refusal {
    match fault {
        BodyError::TooLarge => Refusal::LargeBody,
        BodyError::TooSlow => Refusal::SlowBody,
        BodyError::Broken => Refusal::BadBody,
    }
}
