//! Responses that the gateway generates itself, without a backend server.

use http::{Response, StatusCode, header};
use savoryvane_core::{forwarding::Unroutable, ids::RequestId, stages::Refusal};
use savoryvane_platform::request;

use crate::http_body::{self, Body, BodyError};

/// `Retry-After` while the instance starts, in ms: it learns the routes within a few
/// store calls.
const STARTING_RETRY_AFTER_MS: u64 = 300;
/// `Retry-After` while this instance shuts down, in ms: short, as the balancer sends new
/// connections to other instances.
const LEAVING_RETRY_AFTER_MS: u64 = 50;
/// `Retry-After` when there is no memory for a request, in ms: callers that stop midway are
/// evicted at once, and others release theirs as soon as they are served.
const OVERLOADED_RETRY_AFTER_MS: u64 = 500;
/// `Retry-After` when no server accepts a request, in ms: about as long as a server is
/// ejected after a failure.
const NO_SERVER_RETRY_AFTER_MS: u64 = 500;

/// Response text for a quarantined request.
const ENDS_SERVERS_TEXT: &str = "backend servers ended each time they ran this request, so \
    it is not sent again before the time given; other requests are served";

/// Response text for a request with a quarantined prompt part.
const PART_ENDS_SERVERS_TEXT: &str = "backend servers ended each time they began to answer a \
    request with one of the parts of this prompt, so it was not sent; requests without that part \
    are served";

/// Why a request has no response from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureReason {
    /// The instance knows no routes yet.
    Starting,
    /// No route matches the request.
    NoRoute,
    /// Its API key is missing or unknown.
    UnknownKey,
    /// Its head is larger than allowed.
    LargeHead,
    /// Its body is larger than allowed.
    LargeBody,
    /// Its body did not arrive in time.
    SlowBody,
    /// Its body was truncated or its framing is invalid.
    BadBody,
    /// Its stages have more pieces than any instance schedules.
    TooManyPieces,
    /// There is no memory for it, or there are too many requests.
    Overloaded,
    /// Its stages would miss the deadline, or failed; with the `Retry-After`, in ms.
    Stages(Refusal, u64),
    /// Too many servers crashed under it; with the time for which it is not sent again,
    /// in ms, if that is known.
    EndsServers(Option<u64>),
    /// Too many servers crashed under a part of its prompt, and none has run it; with the
    /// time for which no request with the part is sent, in ms, if that is known.
    PartEndsServers(Option<u64>),
    /// A server crashed under it or a part of its prompt, and another request with the same
    /// is running; with the `Retry-After`, in ms.
    CopyRuns(u64),
    /// This instance exits before the request would complete; no server has it.
    Leaving,
    /// No server accepts it now, and none has run it.
    NoServer,
    /// All eligible servers are at their rate limits, and none has run it; with the
    /// `Retry-After`, in ms.
    Limited(u64),
    /// All eligible servers are backing off, and none has run it; with the `Retry-After`,
    /// in ms.
    BackingOff(u64),
    /// It takes up a stream, and it is unknown at which software version that began.
    StreamUnknown,
    /// It takes up a stream of a software version that no server has any more.
    VersionGone,
    /// Its response was lost; it may have run.
    Lost,
    /// Its deadline passed while a server had it; it may have run.
    Overdue,
}

impl FailureReason {
    /// Returns the name used in logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::LargeHead => "large_head",
            Self::LargeBody => "large_body",
            Self::SlowBody => "slow_body",
            Self::BadBody => "bad_body",
            Self::TooManyPieces => "too_many_pieces",
            Self::Overloaded => "overloaded",
            Self::Stages(refusal, _) => refusal.as_str(),
            Self::EndsServers(_) => "ends_servers",
            Self::PartEndsServers(_) => "part_ends_servers",
            Self::CopyRuns(_) => "copy_runs",
            Self::Leaving => "leaving",
            Self::NoServer => "no_server",
            Self::Limited(_) => "servers_limited",
            Self::BackingOff(_) => "servers_backing_off",
            Self::StreamUnknown => "stream_unknown",
            Self::VersionGone => "version_gone",
            Self::Lost => "answer_lost",
            Self::Overdue => "overdue",
        }
    }

    /// Returns the HTTP status. 503 guarantees that the request has not run and never
    /// will; 502 and 504 guarantee nothing.
    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::LargeHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::BadBody | Self::TooManyPieces => StatusCode::BAD_REQUEST,
            Self::Starting
            | Self::Overloaded
            | Self::Stages(..)
            | Self::PartEndsServers(_)
            | Self::CopyRuns(_)
            | Self::Leaving
            | Self::NoServer
            | Self::StreamUnknown
            | Self::VersionGone
            | Self::Limited(_)
            | Self::BackingOff(_) => StatusCode::SERVICE_UNAVAILABLE,
            // The request has run, under this identifier or another.
            Self::Lost | Self::EndsServers(_) => StatusCode::BAD_GATEWAY,
            Self::Overdue => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::Starting => Some(STARTING_RETRY_AFTER_MS),
            Self::Stages(_, retry_after_ms) => Some(retry_after_ms),
            Self::EndsServers(retry_after_ms) | Self::PartEndsServers(retry_after_ms) => {
                retry_after_ms
            }
            Self::CopyRuns(retry_after_ms)
            | Self::Limited(retry_after_ms)
            | Self::BackingOff(retry_after_ms) => Some(retry_after_ms),
            Self::Overloaded => Some(OVERLOADED_RETRY_AFTER_MS),
            Self::Leaving => Some(LEAVING_RETRY_AFTER_MS),
            Self::NoServer => Some(NO_SERVER_RETRY_AFTER_MS),
            _ => None,
        }
    }
}

impl From<Unroutable> for FailureReason {
    fn from(unroutable: Unroutable) -> Self {
        match unroutable {
            Unroutable::NoRoute => Self::NoRoute,
            Unroutable::UnknownKey => Self::UnknownKey,
        }
    }
}

impl From<BodyError> for FailureReason {
    fn from(fault: BodyError) -> Self {
        match fault {
            BodyError::TooLarge => Self::LargeBody,
            BodyError::TooSlow => Self::SlowBody,
            BodyError::Broken => Self::BadBody,
            BodyError::Evicted => Self::Overloaded,
        }
    }
}

/// Builds the response for a request that has none from a backend server.
pub(super) fn build(id: Option<&RequestId>, reason: FailureReason) -> Response<Body> {
    let text = match reason {
        FailureReason::EndsServers(_) => format!("{}: {ENDS_SERVERS_TEXT}\n", reason.as_str()),
        FailureReason::PartEndsServers(_) => {
            format!("{}: {PART_ENDS_SERVERS_TEXT}\n", reason.as_str())
        }
        _ => format!("{}\n", reason.as_str()),
    };
    let mut response = http_body::with_type(reason.status(), "text/plain", text);
    request::insert_local_reply_headers(response.headers_mut(), id, reason.retry_after_ms());
    if matches!(
        reason,
        FailureReason::BadBody
            | FailureReason::SlowBody
            | FailureReason::LargeBody
            | FailureReason::LargeHead
            | FailureReason::Overloaded
    ) {
        // The rest of the body is not read.
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
