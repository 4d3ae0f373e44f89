//! The operators' interface, on a listener and with a credential of its own.

use std::{convert::Infallible, sync::Arc, time::Duration};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use savoryvane_core::{
    config::Progress,
    ids::{Offset, OperatorName},
    objects::Object,
    roster::ListedInstance,
};
use savoryvane_wire::admin::{
    self, AdminError, BackendView, Confirmation, Drain, HistoryEntry, InstanceView, Intent, Plan,
    Reach, Status,
};
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::time;
use tower::util::BoxCloneSyncService;

use crate::{
    confirm::{self, ConfirmError},
    credential,
    http_body::{self, Body, BodyFault},
    instance::Shared,
    members,
    phase::Phase,
    placement,
};

/// Media type of metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Age of the own state from which a plan carries a warning, in ms.
const OLD_STATE_MS: u64 = 4_000;

/// Time that a plan waits for an instance that has just started.
const START_WAIT: Duration = Duration::from_secs(1);

/// An answer or an error with its status.
type Reply = Result<Response<Body>, Failure>;

/// An error of this interface.
struct Failure {
    status: StatusCode,
    error: String,
    next_step: &'static str,
}

impl Failure {
    fn new(status: StatusCode, error: impl Into<String>, next_step: &'static str) -> Self {
        Self {
            status,
            error: error.into(),
            next_step,
        }
    }
}

impl From<BodyFault> for Failure {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::TooLarge => Self::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
                "split the intent",
            ),
            BodyFault::TooSlow => Self::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
                "send it again",
            ),
            BodyFault::Broken => Self::new(
                StatusCode::BAD_REQUEST,
                "the body broke off",
                "send it again",
            ),
        }
    }
}

impl From<ConfirmError> for Failure {
    fn from(err: ConfirmError) -> Self {
        let (status, next_step) = match err {
            ConfirmError::Invalid(_) => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "make a new plan from the intent",
            ),
            ConfirmError::Conflict(_) => (
                StatusCode::CONFLICT,
                "look at the history, then make a new plan from the intent",
            ),
            ConfirmError::NotAppended(_) | ConfirmError::Unknown => (
                StatusCode::SERVICE_UNAVAILABLE,
                "confirm the same plan again; it takes effect once",
            ),
        };
        Self::new(status, err.to_string(), next_step)
    }
}

/// Builds the service of the operators' listener.
pub(crate) fn service(
    shared: Arc<Shared>,
) -> BoxCloneSyncService<Request<Incoming>, Response<Body>, Infallible> {
    BoxCloneSyncService::new(tower::service_fn(move |request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        async move {
            let path = request.uri().path().to_owned();
            let reply = handle(&shared, request).await;
            Ok::<_, Infallible>(reply.unwrap_or_else(|failure| fail(&shared, &path, failure)))
        }
    }))
}

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    // Metrics carry no secret, and collectors have no credential of operators.
    if path == "/metrics" && request.method() == Method::GET {
        let text = shared.meters.render();
        return Ok(http_body::with_type(StatusCode::OK, METRICS_TYPE, text));
    }
    authenticate(shared, &request)?;
    match (request.method().as_str(), path.as_str()) {
        ("POST", "/admin/v1/plans") => plan(shared, request).await,
        ("POST", "/admin/v1/confirmations") => confirm(shared, request).await,
        ("POST", "/admin/v1/drain") => drain(shared, request).await,
        ("GET", "/admin/v1/status") => ok(&status(shared)),
        ("GET", "/admin/v1/reach") => ok(&reach(shared, asked_offset(&request)?)),
        ("GET", "/admin/v1/objects") => ok(&objects(shared)),
        ("GET", "/admin/v1/history") => ok(&history(shared)),
        ("GET", "/admin/v1/instances") => ok(&instances(shared)),
        ("GET", "/admin/v1/backends") => ok(&backends(shared)),
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
    let is_right = credential::presented(request.headers())
        .is_some_and(|credential| credential::matches(credential, expected));
    if is_right {
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
    let intent: Intent = body(shared, request).await?;
    // One that has just started reads the configuration at this moment.
    let _ = time::timeout(START_WAIT, shared.phases.reached(Phase::Serving)).await;
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

/// Warns when the plan was made from a state that may be old.
fn age_warning(progress: Progress) -> Option<String> {
    match progress.age_ms {
        Some(age_ms) if age_ms <= OLD_STATE_MS => None,
        Some(age_ms) => Some(format!(
            "this instance last knew {} s ago that its configuration is the newest",
            age_ms / 1_000
        )),
        None => Some("this instance never knew its configuration to be the newest".to_owned()),
    }
}

async fn confirm(shared: &Shared, request: Request<Incoming>) -> Reply {
    let plan: Plan = body(shared, request).await?;
    let id = plan.change.id.clone();
    let offset = confirm::confirm(shared, plan).await?;
    let reach = reach(shared, offset);
    ok(&Confirmation { id, offset, reach })
}

async fn drain(shared: &Shared, request: Request<Incoming>) -> Reply {
    let drain: Drain = body(shared, request).await?;
    let own = &shared.settings.instance;
    if drain.instance != *own {
        return Err(Failure::new(
            StatusCode::CONFLICT,
            format!("this is instance {own}, not {}", drain.instance),
            "ask the instance that is meant",
        ));
    }
    info!(shared.log, "drain asked for by an operator");
    shared.phases.advance(Phase::Leaving);
    Ok(http_body::with_type(
        StatusCode::ACCEPTED,
        http_body::JSON,
        "{}",
    ))
}

fn status(shared: &Shared) -> Status {
    let phase = shared.phases.current();
    let progress = shared.configuration.progress(shared.clock.now_ms());
    Status {
        instance: shared.settings.instance.clone(),
        incarnation: shared.incarnation,
        zone: shared.settings.zone.clone(),
        ready: phase == Phase::Serving,
        leaving: phase >= Phase::Leaving,
        config_next: progress.next,
        config_age_ms: progress.age_ms.unwrap_or(u64::MAX),
        in_flight: shared.in_flight(),
    }
}

fn asked_offset(request: &Request<Incoming>) -> Result<Offset, Failure> {
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

/// Counts what is known to have an offset in force. Instances of other zones are
/// known by their zone's digest only.
fn reach(shared: &Shared, offset: Offset) -> Reach {
    members::tell_own_state(shared);
    let spread = shared.members.membership().spread(offset);
    Reach {
        offset,
        in_force: spread.in_force,
        listed: spread.listed,
        missing: spread.missing,
    }
}

fn objects(shared: &Shared) -> Vec<Object> {
    shared.configuration.state().objects().collect()
}

fn history(shared: &Shared) -> Vec<HistoryEntry> {
    let state = shared.configuration.state();
    let entries = state.history().map(|entry| HistoryEntry {
        offset: entry.offset,
        id: entry.id.clone(),
        operator: entry.operator.clone(),
        result: entry.verdict.to_string(),
    });
    entries.collect()
}

fn instances(shared: &Shared) -> Vec<InstanceView> {
    let now_ms = shared.clock.now_ms();
    let membership = shared.members.membership();
    let mut views = vec![own_view(shared)];
    views.extend(
        membership
            .members(now_ms)
            .map(|(name, member, state)| InstanceView {
                name: name.clone(),
                zone: shared.settings.zone.clone(),
                state: state.as_str().to_owned(),
                config_next: member.digest().map(|digest| digest.config_next),
                age_ms: member.age_ms(now_ms),
            }),
    );
    let own_zone = &shared.settings.zone;
    let others = membership.listed().iter().filter(|l| l.zone != *own_zone);
    views.extend(others.map(|listed| {
        let zone = membership.zones().get(&listed.zone);
        let is_known = zone.is_some_and(|zone| zone.digest().silent == 0);
        InstanceView {
            name: listed.instance.clone(),
            zone: listed.zone.clone(),
            state: far_state(listed, is_known).to_owned(),
            config_next: zone.map(|zone| zone.digest().config_min),
            age_ms: zone.map(|zone| zone.age_ms(now_ms)),
        }
    }));
    views
}

/// Of another zone only the digest is known: its instances are live when it says
/// that none is silent.
fn far_state(listed: &ListedInstance, is_known: bool) -> &'static str {
    match (listed.is_leaving, is_known) {
        (true, _) => "leaving",
        (false, true) => "live",
        (false, false) => "listed",
    }
}

fn own_view(shared: &Shared) -> InstanceView {
    let state = if shared.phases.is_leaving() {
        "leaving"
    } else {
        "live"
    };
    InstanceView {
        name: shared.settings.instance.clone(),
        zone: shared.settings.zone.clone(),
        state: state.to_owned(),
        config_next: Some(shared.configuration.state().next()),
        age_ms: Some(0),
    }
}

fn backends(shared: &Shared) -> Vec<BackendView> {
    let now_ms = shared.clock.now_ms();
    let fleet = shared.fleet();
    let views = fleet.statuses(now_ms).map(|status| BackendView {
        name: status.name,
        pool: status.pool,
        zone: status.zone,
        state: status.state.as_str().to_owned(),
        in_flight: status.in_flight,
        reported: status.reported,
        age_ms: status.age_ms,
    });
    views.collect()
}

async fn body<T: DeserializeOwned>(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<T, Failure> {
    let limits = &shared.settings.limits;
    let bytes = http_body::read(
        request.into_body(),
        limits.body_bytes,
        limits.body_timeout(),
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

fn fail(shared: &Shared, path: &str, failure: Failure) -> Response<Body> {
    let Failure {
        status,
        error,
        next_step,
    } = failure;
    warn!(shared.log, "operator's request refused"; "path" => path,
        "status" => status.as_u16(), "error" => &error);
    let body = AdminError {
        error,
        next_step: next_step.to_owned(),
    };
    let mut response = http_body::json(status, &body);
    if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}
