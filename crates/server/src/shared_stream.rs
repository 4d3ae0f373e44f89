//! TCP stream that can be written to after its connection was dropped.

use std::{
    io,
    net::Shutdown,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Handle of a shared stream, which is closed when the last handle is dropped.
#[derive(Clone, Debug)]
pub(crate) struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// Shares `stream`.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Writes a few final bytes, as far as the send buffer has space.
    pub(crate) fn try_write_final(&self, bytes: &[u8]) {
        // Errors are ignored: a closed peer does not need the bytes.
        let _ = self.0.try_write(bytes);
    }

    /// Ends the bytes to the peer, which may still send.
    pub(crate) fn end_writing(&self) {
        // Errors are ignored: a closed peer does not need the end.
        let _ = SockRef::from(&*self.0).shutdown(Shutdown::Write);
    }

    /// Makes the last handle reset the connection instead of closing it.
    pub(crate) fn reset_when_dropped(&self) {
        // Errors are ignored: the connection is closed in any case.
        let _ = self.0.set_zero_linger();
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(slices) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing: dropping the last handle closes the stream.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
