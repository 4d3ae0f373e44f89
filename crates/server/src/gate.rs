//! The last check before a call's first byte is written to its socket.
//!
//! Between the decision to send and the write the process may have been frozen
//! for any time. So the right to send is asked for in the write itself, not
//! when the request is handed to the HTTP library.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
};

use savoryvane_core::{
    claimant::Permit,
    progress::{CallKind, Retraction},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{lock::lock, run_right::RunRight};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Open,
    Shut,
}

/// Lets one call through when the run may send it.
#[derive(Debug)]
pub(crate) struct Gate {
    right: Arc<RunRight>,
    stage: u32,
    kind: CallKind,
    state: Mutex<State>,
}

impl Gate {
    /// Creates the gate of a call of the stage with index `stage`.
    pub(crate) fn new(right: Arc<RunRight>, stage: u32, kind: CallKind) -> Self {
        Self {
            right,
            stage,
            kind,
            state: Mutex::new(State::Waiting),
        }
    }

    /// Asks for the right to send, once; tells whether bytes may be written.
    fn open(&self) -> bool {
        let mut state = self.lock();
        if *state == State::Waiting {
            *state = match self.right.permit(self.stage, self.kind) {
                Permit::Send => State::Open,
                Permit::Refused(_) => State::Shut,
            };
        }
        *state == State::Open
    }

    /// Lets nothing through from here on, unless it is open; tells whether it
    /// is, so that bytes may have been written.
    pub(crate) fn close(&self) -> bool {
        let mut state = self.lock();
        if *state == State::Waiting {
            *state = State::Shut;
        }
        *state == State::Open
    }

    /// Notes that the backend server refused the call.
    pub(crate) fn on_refused(&self) {
        if self.kind == CallKind::NonIdempotent {
            self.right.retract(Retraction::Refused);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Gate of the request that is about to be written to a connection, if it has
/// one.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateSlot(Arc<Mutex<Option<Arc<Gate>>>>);

impl GateSlot {
    /// Sets the gate of the next request.
    pub(crate) fn set(&self, gate: Option<Arc<Gate>>) {
        *self.lock() = gate;
    }

    fn check(&self) -> io::Result<()> {
        let mut slot = self.lock();
        match slot.as_ref() {
            Some(gate) if !gate.open() => Err(io::Error::other("the run may not send")),
            _ => {
                *slot = None;
                Ok(())
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<Gate>>> {
        lock(&self.0)
    }
}

/// A TCP stream whose writes pass a gate.
#[derive(Debug)]
pub(crate) struct GatedStream {
    stream: TcpStream,
    slot: GateSlot,
}

impl GatedStream {
    /// Puts the gates of `slot` before the writes to `stream`.
    pub(crate) fn new(stream: TcpStream, slot: GateSlot) -> Self {
        Self { stream, slot }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.slot.check()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.slot.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
