//! The HTTP services of a gateway's listeners.

use std::{convert::Infallible, sync::Arc};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use savoryvane_platform::request::READY_PATH;
use tower::util::BoxCloneSyncService;

use super::forward::Forwarder;
use crate::{
    http_body::{self, Body},
    meters::Meters,
    phase::{Phase, Phases},
    settings::{DEFAULT_MEMORY_MB, Limits},
};

/// Service of a listener.
pub(super) type Service = BoxCloneSyncService<Request<Incoming>, Response<Body>, Infallible>;

/// Media type of metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Limits of a connection. Callers keep to the operator's limits; these bound the cost of
/// a connection. An idle connection is closed long after callers stop using it, since a
/// request that arrives while it is being closed is lost.
pub(super) const LIMITS: Limits = Limits {
    header_bytes: 64 << 10,
    body_bytes: 8 << 20,
    header_timeout_ms: 120_000,
    body_timeout_ms: 10_000,
    max_in_flight: 4_096,
    max_connections: 2_000,
    max_deadline_ms: 120_000,
    write_timeout_ms: 30_000,
    memory_mb: DEFAULT_MEMORY_MB,
};

/// Builds the service of the callers' listener.
pub(super) fn callers(forwarder: Arc<Forwarder>) -> Service {
    BoxCloneSyncService::new(tower::service_fn(move |request| {
        let forwarder = Arc::clone(&forwarder);
        async move { Ok::<_, Infallible>(forwarder.respond(request).await) }
    }))
}

/// Builds the service of the listener for the platform's readiness checks.
pub(super) fn ready(phases: Arc<Phases>) -> Service {
    BoxCloneSyncService::new(tower::service_fn(move |request: Request<Incoming>| {
        let is_ready = phases.current() == Phase::Serving;
        let (status, text) = match (request.uri().path() == READY_PATH, is_ready) {
            (false, _) => (StatusCode::NOT_FOUND, "no such path\n"),
            (true, true) => (StatusCode::OK, "ready\n"),
            (true, false) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        };
        let response = http_body::with_type(status, "text/plain", text);
        async move { Ok::<_, Infallible>(response) }
    }))
}

/// Builds the service of the listener for metrics.
pub(super) fn metrics(meters: Arc<Meters>) -> Service {
    BoxCloneSyncService::new(tower::service_fn(move |request: Request<Incoming>| {
        let is_known = request.uri().path() == METRICS_PATH && request.method() == Method::GET;
        let response = if is_known {
            http_body::with_type(StatusCode::OK, METRICS_TYPE, meters.render())
        } else {
            http_body::with_type(StatusCode::NOT_FOUND, "text/plain", "see /metrics\n")
        };
        async move { Ok::<_, Infallible>(response) }
    }))
}
