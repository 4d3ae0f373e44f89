//! Error responses of the operators' interface.

use http::{HeaderValue, Response, StatusCode, header};
use savoryvane_wire::admin::AdminError;
use slog::warn;

use crate::{
    confirm::ConfirmError,
    http_body::{self, Body, BodyError},
    instance::Shared,
};

/// An error response.
#[derive(Debug)]
pub(super) struct Failure {
    status: StatusCode,
    error: String,
    next_step: &'static str,
}

impl Failure {
    /// Creates an error; `next_step` says what the operator can do about it.
    pub(super) fn new(
        status: StatusCode,
        error: impl Into<String>,
        next_step: &'static str,
    ) -> Self {
        Self {
            status,
            error: error.into(),
            next_step,
        }
    }
}

impl From<BodyError> for Failure {
    fn from(err: BodyError) -> Self {
        match err {
            BodyError::TooLarge => Self::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
                "split the intent",
            ),
            BodyError::TooSlow => Self::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
                "send it again",
            ),
            BodyError::Evicted => Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "there are too many requests",
                "send it again",
            ),
            BodyError::Broken => Self::new(
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

/// Logs an error and builds its response.
pub(super) fn answer(shared: &Shared, path: &str, failure: Failure) -> Response<Body> {
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
