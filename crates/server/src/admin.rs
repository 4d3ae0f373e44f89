//! The operators' HTTP interface, which has its own listener and credential.

mod failure;
mod views;

use std::{convert::Infallible, sync::Arc, time::Duration};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use savoryvane_core::{
    config::Progress,
    ids::{Offset, OperatorName},
};
use savoryvane_wire::admin::{self, Confirmation, Drain, Intent, Plan};
use serde::de::DeserializeOwned;
use slog::info;
use tokio::time;
use tower::util::BoxCloneSyncService;

use self::failure::Failure;
use crate::{
    confirm, connection_memory, credential,
    http_body::{self, Body, BodyError},
    instance::Shared,
    phase::Phase,
    placement,
};

/// Media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Age of the configuration above which a plan carries a warning, in ms.
const STALE_STATE_MS: u64 = 4_000;

/// Time that a plan request waits for the instance to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Response to an operator, or an error with its HTTP status.
type Reply = Result<Response<Body>, Failure>;

/// Builds the service for the operators' listener.
pub(crate) fn service(
    shared: Arc<Shared>,
) -> BoxCloneSyncService<Request<Incoming>, Response<Body>, Infallible> {
    BoxCloneSyncService::new(tower::service_fn(move |request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        async move {
            let path = request.uri().path().to_owned();
            let reply = handle(&shared, request).await;
            Ok::<_, Infallible>(
                reply.unwrap_or_else(|failure| failure::answer(&shared, &path, failure)),
            )
        }
    }))
}

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    // Metrics contain no secrets, and collectors don't have the operators' credential.
    if path == "/metrics" && request.method() == Method::GET {
        let text = shared.meters.render();
        return Ok(http_body::with_type(StatusCode::OK, METRICS_TYPE, text));
    }
    authenticate(shared, &request)?;
    match (request.method().as_str(), path.as_str()) {
        ("POST", "/admin/v1/plans") => plan(shared, request).await,
        ("POST", "/admin/v1/confirmations") => confirm(shared, request).await,
        ("POST", "/admin/v1/drain") => drain(shared, request).await,
        ("GET", "/admin/v1/status") => ok(&views::status(shared)),
        ("GET", "/admin/v1/reach") => ok(&views::reach(shared, query_offset(&request)?)),
        ("GET", "/admin/v1/objects") => ok(&views::objects(shared)),
        ("GET", "/admin/v1/history") => ok(&views::history(shared)),
        ("GET", "/admin/v1/instances") => ok(&views::instances(shared)),
        ("GET", "/admin/v1/backends") => ok(&views::backends(shared)),
        ("GET", "/admin/v1/placer") => ok(&shared.candidacy.view(shared.clock.now_ms())),
        ("GET", "/admin/v1/costs") => ok(&shared.fleet().costs().lines().collect::<Vec<_>>()),
        _ => Err(Failure::new(
            StatusCode::NOT_FOUND,
            format!("there is no {} {path}", request.method()),
            "see docs/API.md for the paths of this interface",
        )),
    }
}

fn authenticate(shared: &Shared, request: &Request<Incoming>) -> Result<(), Failure> {
    let expected = &shared.settings.admin_credential_sha256;
    let is_valid = credential::presented(request.headers())
        .is_some_and(|credential| credential::matches(credential, expected));
    if is_valid {
        return Ok(());
    }
    metrics::counter!("savoryvane_admin_unauthorized_total").increment(1);
    Err(Failure::new(
        StatusCode::UNAUTHORIZED,
        "the operators' credential is missing or wrong",
        "send it as `Authorization: Bearer <credential>`",
    ))
}

async fn plan(shared: &Shared, request: Request<Incoming>) -> Reply {
    let operator = request
        .headers()
        .get(admin::OPERATOR)
        .map_or(Ok(admin::DEFAULT_OPERATOR), |value| value.to_str())
        .map(OperatorName::new)
        .map_err(|_| {
            Failure::new(
                StatusCode::BAD_REQUEST,
                "the operator's name is not text",
                "name the operator with lower-case letters, digits, `-` or `.`",
            )
        })?;
    let intent: Intent = parse_body(shared, request).await?;
    // An instance that has just started is still reading the configuration.
    let _ = time::timeout(READY_TIMEOUT, shared.phases.reached(Phase::Serving)).await;
    let progress = shared.configuration.progress(shared.clock.now_ms());
    if !progress.has_started {
        return Err(Failure::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "this instance has no configuration yet, so it can't tell what would change",
            "ask another instance, or again when this one is ready",
        ));
    }
    let state = shared.configuration.state();
    match state.plan(&intent, &operator) {
        Ok(mut plan) => {
            placement::add_moves(shared, &state, &mut plan);
            plan.warnings.extend(age_warning(progress));
            info!(shared.log, "plan made"; "change" => %plan.change.id, "operator" => %operator,
                "base" => plan.change.base.0, "steps" => plan.change.ops.len());
            ok(&plan)
        }
        Err(errors) => {
            let lines: Vec<_> = errors.iter().map(|err| err.to_string()).collect();
            Err(Failure::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                lines.join("\n"),
                "correct the intent and plan again",
            ))
        }
    }
}

/// Returns a warning if the plan is based on a configuration that may be stale.
fn age_warning(progress: Progress) -> Option<String> {
    match progress.age_ms {
        Some(age_ms) if age_ms <= STALE_STATE_MS => None,
        Some(age_ms) => Some(format!(
            "this instance last knew {} s ago that its configuration is the newest",
            age_ms / 1_000
        )),
        None => Some("this instance never knew its configuration to be the newest".to_owned()),
    }
}

async fn confirm(shared: &Shared, request: Request<Incoming>) -> Reply {
    let plan: Plan = parse_body(shared, request).await?;
    let id = plan.change.id.clone();
    let offset = confirm::confirm(shared, plan).await?;
    let reach = views::reach(shared, offset);
    ok(&Confirmation { id, offset, reach })
}

async fn drain(shared: &Shared, request: Request<Incoming>) -> Reply {
    let drain: Drain = parse_body(shared, request).await?;
    let own = &shared.settings.instance;
    if drain.instance != *own {
        return Err(Failure::new(
            StatusCode::CONFLICT,
            format!("this is instance {own}, not {}", drain.instance),
            "ask the instance that is meant",
        ));
    }
    info!(shared.log, "drain requested by an operator");
    shared.phases.advance(Phase::Leaving);
    Ok(http_body::with_type(
        StatusCode::ACCEPTED,
        http_body::JSON,
        "{}",
    ))
}

fn query_offset(request: &Request<Incoming>) -> Result<Offset, Failure> {
    request
        .uri()
        .query()
        .and_then(|query| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix("offset="))
        })
        .and_then(|text| text.parse().ok())
        .map(Offset)
        .ok_or_else(|| {
            Failure::new(
                StatusCode::BAD_REQUEST,
                "the query has no offset",
                "ask for /admin/v1/reach?offset=N",
            )
        })
}

async fn parse_body<T: DeserializeOwned>(
    shared: &Shared,
    mut request: Request<Incoming>,
) -> Result<T, Failure> {
    let limits = &shared.settings.limits;
    let memory = connection_memory::of_request(&mut request).ok_or(BodyError::Evicted)?;
    let bytes = http_body::receive(
        request.into_body(),
        limits.body_bytes,
        limits.body_timeout(),
        &memory,
        |_| {},
    )
    .await?;
    serde_json::from_slice(&bytes).map_err(|err| {
        Failure::new(
            StatusCode::BAD_REQUEST,
            format!("the body is not what is asked for here: {err}"),
            "see docs/API.md for the body of this request",
        )
    })
}

fn ok<T: serde::Serialize>(value: &T) -> Reply {
    Ok(http_body::json(StatusCode::OK, value))
}
