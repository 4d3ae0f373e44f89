//! Takes in what backend servers say of themselves in their answers.

use savoryvane_core::{
    forwarding::{BackoffRequest, Departure, ServerSignals},
    ids::{BackendName, RequestId},
    stages::CallId,
};
use slog::{info, warn};

use super::knowledge::Knowledge;

/// What an answer is an answer to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Answered<'a> {
    /// A request of a caller.
    Request(&'a RequestId),
    /// A call with pieces of stages.
    Call(CallId),
}

impl Answered<'_> {
    fn request(self) -> Option<String> {
        match self {
            Self::Request(id) => Some(id.to_string()),
            Self::Call(_) => None,
        }
    }

    fn call(self) -> Option<u64> {
        match self {
            Self::Call(id) => Some(id.0),
            Self::Request(_) => None,
        }
    }
}

impl Knowledge {
    /// Takes in what `server` says of itself in an answer to what was sent at `sent_at_ms`.
    pub(super) fn on_signals(
        &self,
        server: &BackendName,
        sent_at_ms: u64,
        answered: Answered<'_>,
        is_success: bool,
        signals: ServerSignals,
    ) {
        match signals.departure {
            Departure::None => {}
            Departure::Leaving => {
                info!(self.log, "server says that it leaves"; "server" => %server,
                    "request" => answered.request(), "call" => answered.call(),
                    "sent_at_ms" => sent_at_ms);
                metrics::counter!("savoryvane_departures_said_total").increment(1);
            }
            Departure::Unreadable => self.note_unreadable(server, "server-leaving"),
        }
        match signals.backoff {
            BackoffRequest::None => {}
            BackoffRequest::ForMs(backoff_ms) => {
                info!(self.log, "server asks for backoff"; "server" => %server,
                    "backoff_ms" => backoff_ms, "request" => answered.request(),
                    "call" => answered.call(), "sent_at_ms" => sent_at_ms);
                metrics::counter!("savoryvane_backoffs_requested_total").increment(1);
            }
            BackoffRequest::Unreadable => self.note_unreadable(server, "retry-after"),
        }
        if signals.limit.is_meaningful(is_success) {
            self.on_limit(server, sent_at_ms, signals.limit);
        }
    }

    pub(super) fn note_unreadable(&self, server: &BackendName, signal: &'static str) {
        warn!(self.log, "signal not understood"; "server" => %server, "signal" => signal);
        metrics::counter!("savoryvane_signals_unreadable_total", "signal" => signal).increment(1);
    }
}
