//! A request that a backend server has, and what its outcome says about the server.

use std::{sync::Arc, time::Duration};

use savoryvane_core::{
    forwarding::{Route, ServerEntry},
    ids::ZoneName,
    poison::CrashSubject,
};
use slog::info;
use tokio::time::Instant;

use super::forward::Forwarder;

/// Time for which a server goes on with a response after its first bytes before the response
/// counts as alive. A crash that the response causes closes the connection within some ms, but
/// bytes may be on their way.
const ALIVE_AFTER: Duration = Duration::from_millis(300);
/// Counts a request as in flight at a server until its outcome is known.
pub(super) struct InFlight {
    forwarder: Arc<Forwarder>,
    /// The server's registration at the time of the send.
    pub(super) server: ServerEntry,
    route: Arc<Route>,
    began: Instant,
    pub(super) sent_at_ms: u64,
    /// Whether the server may still reject the request.
    is_in_doubt: bool,
    /// Subjects of which no other run takes place.
    pub(super) isolated: Vec<CrashSubject>,
    /// Whether the response is successful; `false` before its head.
    pub(super) is_success: bool,
    /// When the body of a successful response began to arrive.
    body_since: Option<Instant>,
    is_alive: bool,
    has_ended: bool,
}

/// What the outcome of a request says about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerOutcome {
    Answered,
    Full,
    Failing,
    Silent,
    Unreachable,
}

impl InFlight {
    /// Counts a request of `route` that is sent to `server` now. `isolated` are the subjects of
    /// which no other run takes place.
    pub(super) fn begin(
        forwarder: &Arc<Forwarder>,
        server: ServerEntry,
        route: &Arc<Route>,
        isolated: Vec<CrashSubject>,
    ) -> Self {
        Self {
            forwarder: Arc::clone(forwarder),
            server,
            route: Arc::clone(route),
            began: Instant::now(),
            sent_at_ms: forwarder.clock.now_ms(),
            is_in_doubt: true,
            isolated,
            is_success: false,
            body_since: None,
            is_alive: false,
            has_ended: false,
        }
    }

    /// Records that the server has accepted the request, or that it no longer matters.
    pub(super) fn settle(&mut self) {
        if std::mem::take(&mut self.is_in_doubt) {
            let mut fleet = self.forwarder.view.fleet();
            fleet.brittle().on_settled(&self.server.id);
        }
    }

    /// Records that bytes of the response's body have arrived; returns whether they are the first
    /// ones that show it alive.
    pub(super) fn on_body_bytes(&mut self) -> bool {
        let now = Instant::now();
        let since = *self.body_since.get_or_insert(now);
        let is_alive = self.is_success && now.duration_since(since) >= ALIVE_AFTER;
        is_alive && !std::mem::replace(&mut self.is_alive, true)
    }

    /// Returns whether the server went on with the response after it had begun.
    pub(super) fn is_alive(&self) -> bool {
        self.is_alive
    }

    pub(super) fn finish(mut self, outcome: ServerOutcome) {
        self.has_ended = true;
        if outcome == ServerOutcome::Full && std::mem::take(&mut self.is_in_doubt) {
            let now_ms = self.forwarder.clock.now_ms();
            let mut fleet = self.forwarder.view.fleet();
            fleet.brittle().on_rejected(now_ms, &self.server.id);
        }
        self.settle();
        if outcome == ServerOutcome::Answered {
            let elapsed_ms = self.began.elapsed().as_millis() as u64;
            let mut times = self.forwarder.view.response_times();
            times.record(&self.route.name, elapsed_ms);
        }
        let now_ms = self.forwarder.clock.now_ms();
        let mut fleet = self.forwarder.view.fleet();
        let before = fleet.cut_off_zones(now_ms);
        match outcome {
            ServerOutcome::Answered => {
                let elapsed_us = self.began.elapsed().as_micros() as u64;
                fleet.on_answered(now_ms, &self.server.id, elapsed_us);
            }
            ServerOutcome::Full => fleet.on_full(now_ms, &self.server.id),
            ServerOutcome::Failing => fleet.on_failing(now_ms, &self.server.id),
            ServerOutcome::Silent => fleet.on_silent(now_ms, &self.server.id),
            ServerOutcome::Unreachable => fleet.on_unreachable(now_ms, &self.server.id),
        }
        let cut_off = fleet.cut_off_zones(now_ms);
        if cut_off != before {
            info!(self.forwarder.log, "zones passed over"; "zones" => zone_names(&cut_off),
                "before" => zone_names(&before), "server" => %self.server.id, "end" => ?outcome);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.settle();
        if !self.has_ended {
            let now_ms = self.forwarder.clock.now_ms();
            let mut fleet = self.forwarder.view.fleet();
            fleet.on_abandoned(now_ms, &self.server.id);
        }
    }
}

fn zone_names(zones: &[ZoneName]) -> String {
    let names: Vec<&str> = zones.iter().map(ZoneName::as_str).collect();
    names.join(",")
}
