//! Counts the bytes that an instance exchanges with callers and backend servers.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::network::{Connecting, Network, Transport};

/// Bytes received and sent since the start, on all metered connections.
#[derive(Debug, Default)]
pub(crate) struct LinkMeter {
    received_bytes: AtomicU64,
    /// Part of the received bytes that belongs to complete requests.
    complete_bytes: AtomicU64,
    sent_bytes: AtomicU64,
}

/// Bytes that passed a meter in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkBytes {
    pub(crate) received: u64,
    /// Received bytes of requests that have become complete, whenever they were received.
    pub(crate) complete: u64,
    pub(crate) sent: u64,
}

impl LinkBytes {
    /// Returns the bytes since `before`.
    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            received: self.received - before.received,
            complete: self.complete - before.complete,
            sent: self.sent - before.sent,
        }
    }
}

impl LinkMeter {
    /// Returns the bytes since the start.
    pub(crate) fn total(&self) -> LinkBytes {
        LinkBytes {
            received: self.received_bytes.load(Ordering::Relaxed),
            complete: self.complete_bytes.load(Ordering::Relaxed),
            sent: self.sent_bytes.load(Ordering::Relaxed),
        }
    }

    fn on_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Counts the bytes of one connection in a meter.
#[derive(Debug, Default)]
pub(crate) struct ConnectionMeter {
    meter: Arc<LinkMeter>,
    /// Received bytes of requests that are not complete.
    incomplete_bytes: AtomicU64,
}

impl ConnectionMeter {
    /// Creates a counter of a new connection.
    pub(crate) fn new(meter: Arc<LinkMeter>) -> Self {
        Self {
            meter,
            incomplete_bytes: AtomicU64::new(0),
        }
    }

    fn on_received(&self, bytes: usize) {
        let bytes = bytes as u64;
        self.meter
            .received_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        self.incomplete_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Records that the head of a request of about `head_bytes` has arrived. Part of its body may
    /// have been received with it.
    pub(crate) fn on_head(&self, head_bytes: u64) {
        // Requests of HTTP/2 become complete on other threads.
        let subtract = |incomplete_bytes: u64| Some(incomplete_bytes.saturating_sub(head_bytes));
        let order = Ordering::Relaxed;
        let updated = self.incomplete_bytes.fetch_update(order, order, subtract);
        let incomplete_bytes = updated.unwrap_or(0);
        let head_bytes = head_bytes.min(incomplete_bytes);
        self.meter.complete_bytes.fetch_add(head_bytes, order);
    }

    /// Records that a request has arrived whole.
    pub(crate) fn on_request(&self) {
        let bytes = self.incomplete_bytes.swap(0, Ordering::Relaxed);
        self.meter
            .complete_bytes
            .fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub(crate) struct MeteredStream<S> {
    inner: S,
    connection: Arc<ConnectionMeter>,
}

impl<S> MeteredStream<S> {
    /// Counts the bytes of `inner` in `connection`.
    pub(crate) fn new(inner: S, connection: Arc<ConnectionMeter>) -> Self {
        Self { inner, connection }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.connection
            .on_received(buf.filled().len() - filled_before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, bytes))?;
        self.connection.meter.on_sent(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, slices))?;
        self.connection.meter.on_sent(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl<S: Transport> Transport for MeteredStream<S> {
    fn discard_when_dropped(&mut self) {
        self.inner.discard_when_dropped();
    }
}

/// A network whose connections are metered.
#[derive(Debug)]
pub(crate) struct MeteredNetwork {
    inner: Arc<dyn Network>,
    meter: Arc<LinkMeter>,
}

impl MeteredNetwork {
    /// Counts the bytes on the connections of `inner` in `meter`.
    pub(crate) fn new(inner: Arc<dyn Network>, meter: Arc<LinkMeter>) -> Self {
        Self { inner, meter }
    }
}

impl Network for MeteredNetwork {
    fn connect(&self, addr: SocketAddr) -> Connecting<'_> {
        Box::pin(async move {
            let stream = self.inner.connect(addr).await?;
            let connection = ConnectionMeter::new(Arc::clone(&self.meter));
            let stream = MeteredStream::new(stream, Arc::new(connection));
            Ok(Box::new(stream) as Box<dyn Transport>)
        })
    }
}
