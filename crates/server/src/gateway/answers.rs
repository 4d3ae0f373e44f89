//! Answers that an instance gives by itself, without a backend server.

use http::{Response, StatusCode, header};
use savoryvane_core::{forwarding::Unroutable, ids::RequestId, stages::Refusal};
use savoryvane_platform::request;

use crate::http_body::{self, Body, BodyFault};

/// Time to come back after to an instance that has just started, in ms: it
/// learns routes within a few calls of the store.
const STARTING_RETRY_AFTER_MS: u64 = 300;
/// Time to come back after to another instance while this one leaves, in ms:
/// at once, as the balancer sends new connections elsewhere.
const LEAVING_RETRY_AFTER_MS: u64 = 50;
/// Time to come back after when no server takes a request, in ms: about as long
/// as a server is left alone after a failure.
const NO_SERVER_RETRY_AFTER_MS: u64 = 500;

/// What a caller is told of a request that is quarantined.
const ENDS_SERVERS_TEXT: &str = "backend servers ended each time they ran this request, so \
    it is not sent again before the time given; other requests are served";

/// Why a request has no answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Why {
    /// The instance knows no routes yet.
    Starting,
    /// No route takes it.
    NoRoute,
    /// Its key is missing or not known.
    UnknownKey,
    /// Its body is larger than allowed.
    LargeBody,
    /// Its body did not arrive in time.
    SlowBody,
    /// Its body broke off or is framed wrongly.
    BadBody,
    /// Its stages would not be done in time, or failed.
    Stages(Refusal, u64),
    /// Too many servers have ended under it, and it is not sent again for this time, in
    /// ms, where that is known.
    EndsServers(Option<u64>),
    /// A server has ended under it, and another copy of it runs; when to come back, in
    /// ms.
    CopyRuns(u64),
    /// This instance ends before it would be done; no server has it.
    Leaving,
    /// No server takes it now, and none has run it.
    NoServer,
    /// Servers would take it but for the limits that they name, and none has run it; when
    /// to come back, in ms.
    Limited(u64),
    /// All servers that would take it are backing off, and none has run it; with the
    /// `Retry-After`, in ms.
    BackingOff(u64),
    /// Its answer was lost; it may have run.
    Lost,
    /// Its time was over while a server had it; it may have run.
    Overdue,
}

impl Why {
    /// Returns the name used in logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::LargeBody => "large_body",
            Self::SlowBody => "slow_body",
            Self::BadBody => "bad_body",
            Self::Stages(refusal, _) => refusal.as_str(),
            Self::EndsServers(_) => "ends_servers",
            Self::CopyRuns(_) => "copy_runs",
            Self::Leaving => "leaving",
            Self::NoServer => "no_server",
            Self::Limited(_) => "servers_limited",
            Self::BackingOff(_) => "servers_backing_off",
            Self::Lost => "answer_lost",
            Self::Overdue => "overdue",
        }
    }

    /// Returns the status of the answer. 503 promises that the request was not
    /// run and never will be; 502 and 504 promise nothing.
    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::Starting
            | Self::Stages(..)
            | Self::CopyRuns(_)
            | Self::Leaving
            | Self::NoServer
            | Self::Limited(_)
            | Self::BackingOff(_) => StatusCode::SERVICE_UNAVAILABLE,
            // It has run, under other identifiers or this one.
            Self::Lost | Self::EndsServers(_) => StatusCode::BAD_GATEWAY,
            Self::Overdue => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::Starting => Some(STARTING_RETRY_AFTER_MS),
            Self::Stages(_, retry_after_ms) => Some(retry_after_ms),
            Self::EndsServers(retry_after_ms) => retry_after_ms,
            Self::CopyRuns(retry_after_ms)
            | Self::Limited(retry_after_ms)
            | Self::BackingOff(retry_after_ms) => Some(retry_after_ms),
            Self::Leaving => Some(LEAVING_RETRY_AFTER_MS),
            Self::NoServer => Some(NO_SERVER_RETRY_AFTER_MS),
            _ => None,
        }
    }
}

impl From<Unroutable> for Why {
    fn from(unroutable: Unroutable) -> Self {
        match unroutable {
            Unroutable::NoRoute => Self::NoRoute,
            Unroutable::UnknownKey => Self::UnknownKey,
        }
    }
}

impl From<BodyFault> for Why {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::TooLarge => Self::LargeBody,
            BodyFault::TooSlow => Self::SlowBody,
            BodyFault::Broken => Self::BadBody,
        }
    }
}

/// Builds the answer that tells a caller why there is no other.
pub(super) fn own(id: Option<&RequestId>, why: Why) -> Response<Body> {
    let text = match why {
        Why::EndsServers(_) => format!("{}: {ENDS_SERVERS_TEXT}\n", why.as_str()),
        _ => format!("{}\n", why.as_str()),
    };
    let mut response = http_body::with_type(why.status(), "text/plain", text);
    request::put_own_answer(response.headers_mut(), id, why.retry_after_ms());
    if why == Why::BadBody || why == Why::SlowBody || why == Why::LargeBody {
        // What is left of the body is not read.
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
