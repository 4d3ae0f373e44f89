//! What an instance holds for a caller's connection and for the requests on it.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use http::{HeaderMap, HeaderValue, Request, Version};
use hyper::body::Body;
use savoryvane_core::caller_memory::{HolderState, Multiplexing};
use tokio::sync::Notify;

use crate::{
    caller_memory::{Held, MemoryCharge, SharedMemory},
    link_meter::ConnectionMeter,
};

/// What an open connection takes besides its buffers, in bytes: its task, and the state of the
/// HTTP library.
const CONNECTION_BYTES: u64 = 12 << 10;
/// Smallest change of a connection's buffers that is charged, in bytes.
const MIN_BUFFER_CHANGE_BYTES: u64 = 4 << 10;
/// What a header takes besides its name and value, in bytes.
const HEADER_BYTES: u64 = 128;
/// Headers that are kept of a refused request, and the longest value of one, in bytes.
const MAX_KEPT_HEADERS: usize = 16;
const MAX_KEPT_VALUE_BYTES: usize = 128;

/// What is held for a request.
#[derive(Debug)]
pub(crate) struct RequestMemory {
    held: Arc<Held>,
    connection: Arc<ConnectionMemory>,
    is_received: AtomicBool,
    _head: MemoryCharge,
}

impl RequestMemory {
    /// Returns a charge for the body of the request.
    pub(crate) fn body_charge(&self) -> MemoryCharge {
        MemoryCharge::new(&self.held)
    }

    /// Returns a charge for the response to the request, which may be delivered after the request
    /// has ended.
    pub(crate) fn response_charge(&self) -> MemoryCharge {
        MemoryCharge::new(&self.connection.held)
    }

    /// Waits until the request is evicted. Only one task may wait.
    pub(crate) async fn evicted(&self) {
        self.held.evicted().await;
    }

    /// Records that the request has been received, and may be sent to a backend server.
    pub(crate) fn on_received(&self) {
        self.is_received.store(true, Ordering::Relaxed);
        self.held.set_state(HolderState::Serving);
        self.connection.meter.on_request();
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        if !self.is_received.load(Ordering::Relaxed) {
            self.connection.on_unread_body();
        }
    }
}

/// What is held for a connection.
#[derive(Debug)]
pub(crate) struct ConnectionMemory {
    held: Arc<Held>,
    meter: Arc<ConnectionMeter>,
    max_head_bytes: u64,
    /// Bytes charged for its buffers.
    buffer_bytes: AtomicU64,
    /// Received bytes of a head that is not complete.
    head_bytes: AtomicU64,
    requests: AtomicUsize,
    has_served: AtomicBool,
    is_stalled: AtomicBool,
    /// Whether a request has ended before its body had arrived.
    has_unread_body: AtomicBool,
    closing: Notify,
}

impl ConnectionMemory {
    /// Adds a connection whose bytes `meter` counts. If there are too many, evicts one that serves
    /// no request; returns `None` if there is none.
    pub(crate) async fn open(
        memory: &Arc<SharedMemory>,
        meter: ConnectionMeter,
        max_head_bytes: u64,
    ) -> Option<Arc<Self>> {
        let held = memory.add_connection().await?;
        held.take(CONNECTION_BYTES);
        Some(Arc::new(Self {
            held: Arc::new(held),
            meter: Arc::new(meter),
            max_head_bytes,
            buffer_bytes: AtomicU64::new(0),
            head_bytes: AtomicU64::new(0),
            requests: AtomicUsize::new(0),
            has_served: AtomicBool::new(false),
            is_stalled: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            closing: Notify::new(),
        }))
    }

    /// Returns the meter of the connection.
    pub(crate) fn meter(&self) -> &Arc<ConnectionMeter> {
        &self.meter
    }

    /// Waits until the connection is evicted. Only one task may wait.
    pub(crate) async fn evicted(&self) {
        self.held.evicted().await;
    }

    /// Returns whether the connection may be closed, once it is evicted. A request that has come
    /// since, or a caller that reads again, takes the eviction back.
    pub(crate) fn may_close(&self) -> bool {
        let is_idle = self.requests.load(Ordering::Relaxed) == 0;
        let may_close = is_idle || self.is_stalled.load(Ordering::Relaxed);
        if !may_close {
            self.held.keep();
        }
        may_close
    }

    /// Records that `read_bytes` were read into a buffer with space for `space_bytes`.
    pub(crate) fn on_read(&self, space_bytes: usize, read_bytes: usize) {
        let head_bytes = if self.requests.load(Ordering::Relaxed) == 0 {
            let read_bytes = read_bytes as u64;
            let head_bytes = self.head_bytes.fetch_add(read_bytes, Ordering::Relaxed) + read_bytes;
            // Frames of HTTP/2 without a request are not kept.
            head_bytes.min(self.max_head_bytes)
        } else {
            0
        };
        self.set_buffer_bytes(space_bytes as u64 + head_bytes);
    }

    fn set_buffer_bytes(&self, bytes: u64) {
        let before = self.buffer_bytes.load(Ordering::Relaxed);
        if bytes.abs_diff(before) < MIN_BUFFER_CHANGE_BYTES {
            return;
        }
        self.buffer_bytes.store(bytes, Ordering::Relaxed);
        if bytes > before {
            self.held.take(bytes - before);
        } else {
            self.held.uncharge(before - bytes);
        }
    }

    /// Records that the caller takes no bytes, or takes some again.
    pub(crate) fn set_stalled(&self, is_stalled: bool) {
        if self.is_stalled.swap(is_stalled, Ordering::Relaxed) != is_stalled {
            self.update_state();
        }
    }

    /// Records that a request ends before its body has arrived.
    fn on_unread_body(&self) {
        self.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Returns whether the caller may still be sending a body that is not read.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }

    /// Records that a request has come; it ends when the returned guard is dropped.
    pub(crate) fn on_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.has_served.store(true, Ordering::Relaxed);
        self.head_bytes.store(0, Ordering::Relaxed);
        self.update_state();
        RequestGuard(Arc::clone(self))
    }

    fn update_state(&self) {
        let has_served = self.has_served.load(Ordering::Relaxed);
        let is_idle = self.requests.load(Ordering::Relaxed) == 0;
        self.held.set_state(match is_idle {
            _ if self.is_stalled.load(Ordering::Relaxed) => HolderState::Stalled,
            true => HolderState::Waiting { has_served },
            false => HolderState::Serving,
        });
    }

    /// Adds a request. Returns `None` if there are too many or its head does not fit; the
    /// connection is then to be closed.
    fn add_request<B: Body>(self: &Arc<Self>, request: &Request<B>) -> Option<Arc<RequestMemory>> {
        let head_bytes = head_bytes(request.headers());
        let (multiplexing, head_bytes) = if request.version() == Version::HTTP_2 {
            // The values were decoded into buffers of twice their length.
            (Multiplexing::Many, 2 * head_bytes)
        } else {
            (Multiplexing::None, head_bytes)
        };
        let held = Arc::new(self.held.memory().add_request(multiplexing)?);
        let mut head = MemoryCharge::new(&held);
        head.grow_at_once(head_bytes).ok()?;
        Some(Arc::new(RequestMemory {
            held,
            connection: Arc::clone(self),
            is_received: AtomicBool::new(request.body().is_end_stream()),
            _head: head,
        }))
    }

    /// Waits until the connection is to be closed once its requests have ended. Only one task may
    /// wait.
    pub(crate) async fn closing(&self) {
        self.closing.notified().await;
    }
}

/// Counts a request of a connection until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<ConnectionMemory>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
        self.0.update_state();
    }
}

/// Adds a request whose head has been read to what is held for `connection`, as an extension that
/// [`of_request`] returns. The head of a request that does not fit is dropped at once, but for a few
/// short headers such as its identifier.
pub(crate) fn begin_request<B: Body>(connection: &Arc<ConnectionMemory>, request: &mut Request<B>) {
    connection.meter.on_head(sent_head_bytes(request));
    match connection.add_request(request) {
        Some(memory) => {
            request.extensions_mut().insert(memory);
        }
        None => {
            connection.closing.notify_one();
            connection.on_unread_body();
            let headers = std::mem::take(request.headers_mut());
            let short = headers
                .iter()
                .filter(|(_, value)| value.len() <= MAX_KEPT_VALUE_BYTES);
            let kept = short.take(MAX_KEPT_HEADERS);
            request
                .headers_mut()
                .extend(kept.map(|(name, value)| (name.clone(), copy(value))));
        }
    }
}

/// Returns a header value that keeps no larger buffer alive.
fn copy(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Returns what is held for a request; `None` if it is to be refused.
pub(crate) fn of_request<B>(request: &mut Request<B>) -> Option<Arc<RequestMemory>> {
    request.extensions_mut().remove()
}

/// Returns the size of a request's head as HTTP/1.1 sends it, in bytes.
pub(crate) fn sent_head_bytes<B>(request: &Request<B>) -> u64 {
    let target_bytes = request
        .uri()
        .path_and_query()
        .map_or(1, |path| path.as_str().len());
    let first_line_bytes = request.method().as_str().len() + target_bytes + "  HTTP/1.1\r\n".len();
    let headers = request.headers().iter();
    let header_bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (first_line_bytes + header_bytes + "\r\n".len()) as u64
}

/// Returns what headers take in memory, in bytes.
fn head_bytes(headers: &HeaderMap) -> u64 {
    let bytes = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() as u64 + value.len() as u64 + HEADER_BYTES
    };
    headers.iter().map(bytes).sum()
}
