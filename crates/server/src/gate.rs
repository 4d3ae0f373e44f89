//! The last check before a call's first byte is written to its socket.
//!
//! The process may be suspended for any length of time between the decision to
//! send and the write. The permission to send is therefore requested in the
//! write itself, not when the request is handed to the HTTP library.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};

use savoryvane_core::{
    claimant::Permit,
    progress::{CallKind, Retraction},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{lock::lock, network::Transport, response_budget::ResponseBudget, run_right::RunRight};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Pending,
    Open,
    Closed,
}

/// Allows one call to be written if its run has permission to send it.
#[derive(Debug)]
pub(crate) struct Gate {
    run_right: Arc<RunRight>,
    stage_index: u32,
    kind: CallKind,
    state: Mutex<State>,
}

impl Gate {
    /// Creates the gate of a call for the stage with index `stage_index`.
    pub(crate) fn new(run_right: Arc<RunRight>, stage_index: u32, kind: CallKind) -> Self {
        Self {
            run_right,
            stage_index,
            kind,
            state: Mutex::new(State::Pending),
        }
    }

    /// Requests permission to send on the first use and returns whether bytes may
    /// be written.
    fn try_open(&self) -> bool {
        let mut state = self.lock();
        if *state == State::Pending {
            *state = match self.run_right.permit(self.stage_index, self.kind) {
                Permit::Send => State::Open,
                Permit::Refused(_) => State::Closed,
            };
        }
        *state == State::Open
    }

    /// Closes the gate unless it is already open. Returns whether it is open, in
    /// which case bytes may have been written.
    pub(crate) fn close(&self) -> bool {
        let mut state = self.lock();
        if *state == State::Pending {
            *state = State::Closed;
        }
        *state == State::Open
    }

    /// Returns whether the call must not run a second time.
    pub(crate) fn allows_one_run(&self) -> bool {
        self.kind == CallKind::NonIdempotent
    }

    /// Withdraws the record that a non-idempotent call was sent, because the
    /// backend server refused it.
    pub(crate) fn on_refused(&self) {
        if self.allows_one_run() {
            self.run_right.retract(Retraction::Refused);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Holds the gate of the request that is about to be written to a connection, if
/// that request has one.
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
            Some(gate) if !gate.try_open() => {
                Err(io::Error::other("the run has no permission to send"))
            }
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

/// Whether a connection discards the bytes that were not delivered when it is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiscardFlag(Arc<AtomicBool>);

impl DiscardFlag {
    /// Makes the connection discard them.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A connection that checks a gate before each write, and a bound after each read.
#[derive(Debug)]
pub(crate) struct GatedStream {
    stream: Box<dyn Transport>,
    slot: GateSlot,
    budget: ResponseBudget,
    discard: DiscardFlag,
}

impl Drop for GatedStream {
    fn drop(&mut self) {
        if self.discard.0.load(Ordering::Relaxed) {
            self.stream.discard_when_dropped();
        }
    }
}

impl GatedStream {
    /// Wraps `stream` so that its writes check the gate in `slot` and its reads are taken from
    /// `budget`, and so that `discard` decides how it is closed.
    pub(crate) fn new(
        stream: Box<dyn Transport>,
        slot: GateSlot,
        budget: ResponseBudget,
        discard: DiscardFlag,
    ) -> Self {
        Self {
            stream,
            slot,
            budget,
            discard,
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received_bytes = buf.filled().len() - filled_before;
        Poll::Ready(self.budget.spend(received_bytes))
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
