//! Bounds the bytes that a peer may send in response to one request.
//!
//! Limits of the HTTP library hold for one head. The bytes of interim responses, of chunk
//! framing and of a body without end are bounded here, where they are read.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// Most bytes up to the end of the final head: interim responses, the head, and what is read of
/// the body with it.
const MAX_BYTES_TO_HEAD: u64 = 512 << 10;

/// Bytes received on a connection in response to the current request.
#[derive(Clone, Debug)]
pub(crate) struct ResponseBudget {
    max_bytes: u64,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    received_bytes: AtomicU64,
    has_head: AtomicBool,
}

impl ResponseBudget {
    /// Allows `max_bytes` for each response.
    pub(crate) fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            state: Arc::default(),
        }
    }

    /// Begins the response to another request.
    pub(crate) fn begin(&self) {
        self.state.received_bytes.store(0, Ordering::Relaxed);
        self.state.has_head.store(false, Ordering::Relaxed);
    }

    /// Records that the final head has arrived.
    pub(crate) fn on_head(&self) {
        self.state.has_head.store(true, Ordering::Relaxed);
    }

    /// Records that `bytes` have been received.
    ///
    /// # Errors
    ///
    /// Fails once the response exceeds its bound.
    pub(crate) fn spend(&self, bytes: usize) -> io::Result<()> {
        let bytes = bytes as u64;
        let received_bytes = self
            .state
            .received_bytes
            .fetch_add(bytes, Ordering::Relaxed)
            + bytes;
        let max_bytes = if self.state.has_head.load(Ordering::Relaxed) {
            self.max_bytes
        } else {
            self.max_bytes.min(MAX_BYTES_TO_HEAD)
        };
        if received_bytes <= max_bytes {
            return Ok(());
        }
        metrics::counter!("savoryvane_responses_too_large_total").increment(1);
        Err(io::Error::new(
            io::ErrorKind::FileTooLarge,
            format!("response exceeds {max_bytes} bytes"),
        ))
    }
}
