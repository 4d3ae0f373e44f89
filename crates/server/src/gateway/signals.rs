//! Applies the signals that backend servers send about themselves in the heads of their
//! responses.

use http::HeaderName;
use savoryvane_core::{
    forwarding::{BackoffRequest, Brittleness, Departure},
    ids::{BackendName, RequestId},
    stages::CallId,
};
use savoryvane_platform::response::ResponseHead;
use slog::{info, warn};

use super::routing_view::RoutingView;
use crate::lock::lock;

/// Maximum number of unknown header names that are remembered.
const MAX_UNKNOWN_HEADERS: usize = 64;

/// What a response responds to.
#[derive(Clone, Copy, Debug)]
pub(super) enum ResponseTo<'a> {
    /// A caller's request.
    Request(&'a RequestId),
    /// A call to run pieces of stages.
    Call(CallId),
    /// A call that frees results.
    Free,
}

/// Whether a request or call may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sendable {
    /// It may be sent.
    Yes,
    /// The server is leaving or gone, or its availability zone is evacuated.
    Closed,
    /// The server is backing off until this time, in ms.
    BackingOff(u64),
}

impl ResponseTo<'_> {
    fn request(self) -> Option<String> {
        match self {
            Self::Request(id) => Some(id.to_string()),
            Self::Call(_) | Self::Free => None,
        }
    }

    fn call(self) -> Option<u64> {
        match self {
            Self::Call(id) => Some(id.0),
            Self::Request(_) | Self::Free => None,
        }
    }
}

impl RoutingView {
    /// Applies the signals in the head of the response of `server` to the request or call
    /// that was sent at `sent_at_ms`.
    pub(super) fn on_response_head(
        &self,
        server: &BackendName,
        sent_at_ms: u64,
        responds_to: ResponseTo<'_>,
        head: &ResponseHead,
    ) {
        self.log_unknown_headers(server, &head.unknown_headers);
        if head.is_misdirected {
            // Another run has the address, and its signals describe that run.
            self.on_leaving(server, "another run at its address");
        } else {
            self.on_signals(server, sent_at_ms, responds_to, head);
        }
    }

    fn on_signals(
        &self,
        server: &BackendName,
        sent_at_ms: u64,
        responds_to: ResponseTo<'_>,
        head: &ResponseHead,
    ) {
        let signals = head.signals;
        match signals.departure {
            Departure::None => {}
            Departure::Leaving => {
                info!(self.log, "server announces its shutdown"; "server" => %server,
                    "request" => responds_to.request(), "call" => responds_to.call(),
                    "sent_at_ms" => sent_at_ms);
                metrics::counter!("savoryvane_departures_said_total").increment(1);
                self.on_leaving(server, "response");
            }
            Departure::Unreadable => self.log_unreadable_signal(server, "server-leaving"),
        }
        match signals.backoff {
            BackoffRequest::None => {}
            BackoffRequest::ForMs(backoff_ms) => {
                let now_ms = self.now_ms();
                let count = {
                    let mut fleet = self.fleet();
                    fleet.backoffs().on_request(now_ms, server, backoff_ms);
                    fleet.backoffs().count(now_ms)
                };
                info!(self.log, "server requests backoff"; "server" => %server,
                    "backoff_ms" => backoff_ms, "request" => responds_to.request(),
                    "call" => responds_to.call(), "sent_at_ms" => sent_at_ms,
                    "backing_off" => count);
                metrics::gauge!("savoryvane_servers_backing_off").set(count as f64);
                metrics::counter!("savoryvane_backoffs_requested_total").increment(1);
            }
            BackoffRequest::Unreadable => self.log_unreadable_signal(server, "retry-after"),
        }
        self.on_brittleness(server, signals.brittleness, head.is_success);
        if signals.limit.is_meaningful(head.is_success) {
            self.on_limit(server, sent_at_ms, signals.limit);
        }
    }

    fn on_brittleness(&self, server: &BackendName, said: Brittleness, is_success: bool) {
        if said == Brittleness::Unreadable {
            self.log_unreadable_signal(server, "server-brittle");
        }
        let now_ms = self.now_ms();
        let (has_changed, count) = {
            let mut fleet = self.fleet();
            let brittle = fleet.brittle();
            let has_changed = brittle.on_response(now_ms, server, said, is_success);
            (has_changed, brittle.count())
        };
        if has_changed {
            info!(self.log, "server brittleness changed"; "server" => %server, "said" => ?said,
                "brittle" => count);
            metrics::gauge!("savoryvane_brittle_servers").set(count as f64);
        }
    }

    /// Returns whether a request or call may be sent to a server now.
    pub(super) fn sendable(&self, server: &BackendName) -> Sendable {
        let is_closed = {
            let directory = self.directory();
            let entry = directory.entry(server);
            entry.is_none_or(|entry| directory.is_closed(entry))
        };
        if is_closed {
            return Sendable::Closed;
        }
        let now_ms = self.now_ms();
        match self.fleet().backoffs().until_ms(server) {
            until_ms if until_ms > now_ms => Sendable::BackingOff(until_ms),
            _ => Sendable::Yes,
        }
    }

    /// Logs unknown headers, once per name.
    fn log_unknown_headers(&self, server: &BackendName, names: &[HeaderName]) {
        for name in names {
            let is_new = {
                let mut noted = lock(&self.unknown_headers);
                noted.len() < MAX_UNKNOWN_HEADERS && noted.insert(name.clone())
            };
            if is_new {
                warn!(self.log, "unknown response header"; "server" => %server,
                    "header" => name.as_str());
                metrics::counter!("savoryvane_unknown_headers_total").increment(1);
            }
        }
    }

    pub(super) fn log_unreadable_signal(&self, server: &BackendName, signal: &'static str) {
        warn!(self.log, "invalid server signal"; "server" => %server, "signal" => signal);
        metrics::counter!("savoryvane_signals_unreadable_total", "signal" => signal).increment(1);
    }
}
