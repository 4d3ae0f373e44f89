//! A connection of a caller whose buffers are charged, which ends if the caller does not read, and
//! is closed such that the caller receives the last response.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{self, Instant, Sleep},
};

use crate::{connection_memory::ConnectionMemory, shared_stream::SharedStream};

/// Bytes that are read before other tasks run, in bytes: what is read of a connection may take many
/// times as much before its requests are charged or refused.
const MAX_UNBROKEN_BYTES: usize = 64 << 10;

/// Time for which the rest of an unread body is discarded after the last response. The system resets
/// a connection that is closed with unread bytes, and the caller may lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are discarded then at most.
const MAX_LINGER_BYTES: usize = 4 << 20;
/// Size of the buffer for bytes to discard.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// A stream of a caller.
#[derive(Debug)]
pub(crate) struct HeldStream<S> {
    inner: S,
    socket: SharedStream,
    memory: Arc<ConnectionMemory>,
    write_timeout: Duration,
    /// Bytes read since the caller's task last let others run.
    unbroken_bytes: usize,
    /// Ends when the caller has read nothing for too long, or has sent for too long after the last
    /// response.
    timer: Pin<Box<Sleep>>,
    is_stalled: bool,
    /// Bytes discarded after the last response, once it has been sent.
    discarded_bytes: Option<usize>,
}

impl<S> HeldStream<S> {
    /// Charges the buffers of `inner`, which reads and writes `socket`, to `memory`. A write that
    /// makes no progress within `write_timeout` fails.
    pub(crate) fn new(
        inner: S,
        socket: SharedStream,
        memory: Arc<ConnectionMemory>,
        write_timeout: Duration,
    ) -> Self {
        Self {
            inner,
            socket,
            memory,
            write_timeout,
            unbroken_bytes: 0,
            timer: Box::pin(time::sleep(write_timeout)),
            is_stalled: false,
            discarded_bytes: None,
        }
    }

    /// Handles the result of a write.
    fn on_written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            if std::mem::take(&mut self.is_stalled) {
                self.memory.set_stalled(false);
            }
            return written;
        }
        if !std::mem::replace(&mut self.is_stalled, true) {
            self.memory.set_stalled(true);
            self.timer
                .as_mut()
                .reset(Instant::now() + self.write_timeout);
        }
        self.timer
            .as_mut()
            .poll(cx)
            .map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> HeldStream<S> {
    /// Discards what the caller still sends, until it closes the connection or a bound is reached.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.discarded_bytes.is_none() {
            self.socket.end_writing();
            self.timer.as_mut().reset(Instant::now() + LINGER_TIMEOUT);
        }
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        let mut discarded_bytes = self.discarded_bytes.unwrap_or(0);
        while self.timer.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut bytes);
            let read = Pin::new(&mut *self).poll_read(cx, &mut buf);
            discarded_bytes += buf.filled().len();
            self.discarded_bytes = Some(discarded_bytes);
            let is_ended = buf.filled().is_empty() || discarded_bytes > MAX_LINGER_BYTES;
            if ready!(read).is_err() || is_ended {
                break;
            }
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeldStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unbroken_bytes >= MAX_UNBROKEN_BYTES {
            self.unbroken_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let (space, filled_before) = (buf.remaining(), buf.filled().len());
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read_bytes = buf.filled().len() - filled_before;
        self.memory.on_read(space, read_bytes);
        self.unbroken_bytes = match read {
            Poll::Ready(_) => self.unbroken_bytes + read_bytes,
            Poll::Pending => 0,
        };
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for HeldStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.on_written(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.on_written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discarded_bytes.is_none() {
            ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
        }
        if self.memory.has_unread_body() {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
