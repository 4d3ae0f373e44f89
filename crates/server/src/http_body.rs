//! HTTP bodies: bounded reads of requests and constructors of responses.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use savoryvane_core::forwarding::Framing;
use serde::Serialize;
use tokio::time;

use crate::{
    caller_memory::{Evicted, MemoryCharge},
    connection_memory::RequestMemory,
};

/// Body of every response. A body that fails ends its connection, so that the
/// receiver can't mistake it for a complete one.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Media type of JSON.
pub(crate) const JSON: &str = "application/json";
/// Media type of newline-delimited JSON.
pub(crate) const NDJSON: &str = "application/x-ndjson";

/// Smallest buffer for a body, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Error of reading a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive within the timeout.
    TooSlow,
    /// The sender closed the connection early, or the framing is invalid.
    Broken,
    /// There is no memory for it.
    Evicted,
}

/// Reads a whole body of at most `max_bytes` that arrives within `timeout`, charges it to `memory`
/// and calls `on_chunk` with each chunk as it arrives.
pub(crate) async fn receive(
    mut body: Incoming,
    max_bytes: u64,
    timeout: Duration,
    memory: &RequestMemory,
    mut on_chunk: impl FnMut(&[u8]),
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let mut buffer = ChargedBuffer::new(memory.body_charge(), max_bytes);
    let complete = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Some(chunk) = frame.data_ref() else {
                continue;
            };
            let added_bytes = buffer.space_for(chunk.len())?;
            buffer
                .charge
                .grow(added_bytes as u64)
                .await
                .map_err(|Evicted| BodyError::Evicted)?;
            on_chunk(chunk);
            buffer.push(chunk, added_bytes);
        }
        Ok(())
    };
    tokio::select! {
        biased;
        () = memory.evicted() => return Err(BodyError::Evicted),
        ended = time::timeout(timeout, complete) => ended.map_err(|_| BodyError::TooSlow)??,
    }
    memory.on_received();
    Ok(buffer.finish())
}

/// A buffer in one piece that is charged by its capacity. Chunks are copied: a chunk keeps the
/// buffer alive that it was read into, which may be many times as large.
#[derive(Debug)]
pub(crate) struct ChargedBuffer {
    bytes: Vec<u8>,
    charge: MemoryCharge,
    max_bytes: usize,
}

impl ChargedBuffer {
    /// Creates an empty buffer for at most `max_bytes`.
    pub(crate) fn new(charge: MemoryCharge, max_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            charge,
            max_bytes,
        }
    }

    /// Returns by how much the capacity has to grow for `chunk_bytes` more.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLarge`] if they are too many.
    fn space_for(&self, chunk_bytes: usize) -> Result<usize, BodyError> {
        let needed_bytes = self.bytes.len() + chunk_bytes;
        if needed_bytes > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let capacity_bytes = self.bytes.capacity();
        if needed_bytes <= capacity_bytes {
            return Ok(0);
        }
        let doubled_bytes =
            (2 * capacity_bytes).clamp(MIN_BUFFER_BYTES, self.max_bytes.max(MIN_BUFFER_BYTES));
        Ok(needed_bytes.max(doubled_bytes) - capacity_bytes)
    }

    fn push(&mut self, chunk: &[u8], added_bytes: usize) {
        if added_bytes > 0 {
            let capacity_bytes = self.bytes.capacity() + added_bytes;
            self.bytes.reserve_exact(capacity_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
    }

    /// Adds a chunk if there is memory for it now; returns whether there was.
    pub(crate) fn try_push(&mut self, chunk: &[u8]) -> bool {
        let Ok(added_bytes) = self.space_for(chunk.len()) else {
            return false;
        };
        if self.charge.try_grow(added_bytes as u64).is_err() {
            return false;
        }
        self.push(chunk, added_bytes);
        true
    }

    /// Returns the bytes, which stay charged until they are dropped.
    pub(crate) fn finish(self) -> Bytes {
        self.charge.attach(self.bytes.into())
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

/// A body that keeps `guard` until it is dropped.
#[derive(Debug)]
pub(crate) struct WithGuard<G> {
    body: Body,
    _guard: G,
}

impl<G> WithGuard<G> {
    /// Keeps `guard` as long as `body`.
    pub(crate) fn new(body: Body, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> hyper::body::Body for WithGuard<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
