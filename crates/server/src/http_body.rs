//! Bodies of HTTP messages: bounded reads and answers in JSON.

use std::{io, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time;

/// Body of every answer of this instance; one that breaks off ends its
/// connection, so that it can't be taken for a whole one.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Media type of JSON.
pub(crate) const JSON: &str = "application/json";
/// Media type of one JSON value a line.
pub(crate) const NDJSON: &str = "application/x-ndjson";

/// Why the body of a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It did not arrive in time.
    TooSlow,
    /// Its sender broke off or its framing is wrong.
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

/// Reads a body like [`read`], and shows each part of it to `on_part` as it comes.
pub(crate) async fn read_with(
    body: Incoming,
    max_bytes: u64,
    timeout: Duration,
    mut on_part: impl FnMut(&[u8]),
) -> Result<Bytes, BodyError> {
    let body = body.map_frame(|frame| {
        frame.data_ref().into_iter().for_each(|part| on_part(part));
        frame
    });
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let whole = time::timeout(timeout, Limited::new(body, max_bytes).collect());
    match whole.await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// Wraps bytes as a body.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds an answer with `value` as JSON.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    with_type(status, JSON, bytes)
}

/// Builds an answer with a body of the given media type.
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
