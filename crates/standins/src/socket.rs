//! A socket that can go silent for good or write in small pieces.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Switches over all sockets of one server.
#[derive(Debug, Default)]
pub(crate) struct SocketSwitches {
    /// Sockets accepted in an earlier epoch are silent.
    epoch: AtomicU64,
    /// Most bytes of one write; 0 for no limit.
    max_write_bytes: AtomicUsize,
}

impl SocketSwitches {
    /// Makes every established connection silent for good; new ones work.
    pub(crate) fn silence_established(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Limits each write to `bytes`, or lifts the limit with 0.
    pub(crate) fn set_max_write_bytes(&self, bytes: usize) {
        self.max_write_bytes.store(bytes, Ordering::SeqCst);
    }
}

/// A connection under the switches of its server.
#[derive(Debug)]
pub(crate) struct SwitchedSocket {
    stream: TcpStream,
    switches: Arc<SocketSwitches>,
    epoch: u64,
    exemption: Exemption,
}

/// Keeps one connection from going silent: the one that carries the order to
/// silence the others must still answer it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exemption(Arc<AtomicBool>);

impl Exemption {
    /// Exempts the connection.
    pub(crate) fn grant(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

impl SwitchedSocket {
    /// Puts `stream` under `switches`.
    pub(crate) fn new(
        stream: TcpStream,
        switches: Arc<SocketSwitches>,
        exemption: Exemption,
    ) -> Self {
        let epoch = switches.epoch.load(Ordering::SeqCst);
        Self {
            stream,
            switches,
            epoch,
            exemption,
        }
    }

    fn is_silent(&self) -> bool {
        let is_exempt = self.exemption.0.load(Ordering::SeqCst);
        !is_exempt && self.switches.epoch.load(Ordering::SeqCst) != self.epoch
    }
}

// A silent socket stays pending without a waker: it never moves again, and its
// task ends when the server stops.
impl AsyncRead for SwitchedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for SwitchedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        let limit = match self.switches.max_write_bytes.load(Ordering::SeqCst) {
            0 => buf.len(),
            limit => limit.min(buf.len()),
        };
        Pin::new(&mut self.stream).poll_write(cx, &buf[..limit])
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
