//! HTTP bodies: bounded reads of requests and constructors of responses.

use std::{io, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use savoryvane_core::forwarding::Framing;
use serde::Serialize;
use tokio::time;

/// Body of every response. A body that fails ends its connection, so that the
/// receiver can't mistake it for a complete one.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Media type of JSON.
pub(crate) const JSON: &str = "application/json";
/// Media type of newline-delimited JSON.
pub(crate) const NDJSON: &str = "application/x-ndjson";

/// Error of reading a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive within the timeout.
    TooSlow,
    /// The sender closed the connection early, or the framing is invalid.
    Broken,
}

/// Reads a whole body of at most `max_bytes` that arrives within `timeout`.
pub(crate) async fn read(
    body: Incoming,
    max_bytes: u64,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    read_with(body, max_bytes, timeout, |_| {}).await
}

/// Reads a body like [`read`] and calls `on_chunk` with each chunk as it arrives.
pub(crate) async fn read_with(
    body: Incoming,
    max_bytes: u64,
    timeout: Duration,
    mut on_chunk: impl FnMut(&[u8]),
) -> Result<Bytes, BodyError> {
    let body = body.map_frame(|frame| {
        frame
            .data_ref()
            .into_iter()
            .for_each(|chunk| on_chunk(chunk));
        frame
    });
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let complete = time::timeout(timeout, Limited::new(body, max_bytes).collect());
    match complete.await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// Returns the framing of a response body with these headers.
pub(crate) fn framing(headers: &HeaderMap) -> Framing {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        Framing::Chunked
    } else if headers.contains_key(header::CONTENT_LENGTH) {
        Framing::Length
    } else {
        Framing::Connection
    }
}

/// Wraps `bytes` as a body.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a response with `value` as JSON.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    with_type(status, JSON, bytes)
}

/// Builds a response with a body of the given media type.
pub(crate) fn with_type(
    status: StatusCode,
    media_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
