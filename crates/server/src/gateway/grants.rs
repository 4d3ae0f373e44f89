//! Obtains the grants that a request needs for rate-limited servers, and explains why no
//! server accepts it.

use std::time::Duration;

use savoryvane_core::{
    forwarding::{GrantPurpose, GrantQuery, GrantState, Placement},
    ids::BackendName,
};
use slog::info;
use tokio::time::{self, Instant};

use super::{
    forward::{Forwarder, Inputs, placement},
    local_reply::FailureReason,
    permits::PermitGuard,
    request::CallerRequest,
};

/// Grant queries before a request is rejected: one for the best server, two for any.
const MAX_GRANT_QUERIES: u32 = 3;
/// Interval at which a request checks whether brittle servers have room for it.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Part of a request's latency goal for which it waits for brittle servers, as a divisor.
const ROOM_WAIT_DIVISOR: u64 = 2;

impl Forwarder {
    /// Rejects a request before its stages run if all servers of its service have rate
    /// limits and none has capacity for it.
    pub(super) async fn request_admission(
        &self,
        caller: &CallerRequest,
    ) -> Result<(), FailureReason> {
        if caller.route().stages.is_empty() {
            return Ok(());
        }
        let now_ms = self.clock.now_ms();
        let servers = {
            let fleet = self.view.fleet();
            fleet.limits_if_all_limited(now_ms, &caller.service, &caller.software)
        };
        if servers.is_empty() {
            return Ok(());
        }
        let state = self.request_grant(caller, GrantPurpose::Admission, servers);
        match state.await {
            GrantState::Granted(_) => Ok(()),
            GrantState::Closed { retry_after_ms, .. } => {
                Err(FailureReason::Limited(retry_after_ms))
            }
        }
    }

    /// Chooses the server of the next send, with a grant if the server has a rate limit.
    pub(super) async fn choose_granted(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
        permit: Option<&PermitGuard>,
    ) -> Result<BackendName, FailureReason> {
        let placement = placement(caller, inputs, tried, permit);
        let mut reason = FailureReason::NoServer;
        for query in 0..MAX_GRANT_QUERIES {
            self.wait_for_room(caller, &placement).await;
            let Some(chosen) = self.choose_server(caller, inputs, tried, permit) else {
                break;
            };
            let servers = self.grant_candidates(&placement, &chosen, query > 0);
            if servers.is_empty() {
                return Ok(chosen);
            }
            let requested = servers.iter().map(|(server, _)| server.clone());
            let requested: Vec<BackendName> = requested.collect();
            let state = self.request_grant(caller, GrantPurpose::Send, servers);
            match state.await {
                GrantState::Granted(server) => return Ok(server),
                GrantState::Closed {
                    retry_in_ms,
                    retry_after_ms,
                } => {
                    self.view.on_limits_closed(&requested, retry_in_ms);
                    reason = FailureReason::Limited(retry_after_ms);
                }
            }
        }
        if reason == FailureReason::NoServer {
            reason = self.no_server_reason(caller).await;
        }
        Err(reason)
    }

    /// Waits while no server may be sent the request but a brittle one may be soon, for a part of
    /// the latency goal at most.
    async fn wait_for_room(&self, caller: &CallerRequest, placement: &Placement<'_>) {
        let max_wait = Duration::from_millis(caller.route().goal_ms / ROOM_WAIT_DIVISOR);
        let until = Instant::now() + max_wait.min(caller.time_left());
        while Instant::now() < until {
            let now_ms = self.clock.now_ms();
            if !self.view.fleet().awaits_room(now_ms, placement) {
                return;
            }
            time::sleep(ROOM_CHECK_INTERVAL).await;
        }
    }

    /// Returns the rate-limited servers to request a grant for; empty if `chosen` needs
    /// none. While some servers need no grant, these are only `chosen`, unless
    /// `includes_all`.
    fn grant_candidates(
        &self,
        placement: &Placement<'_>,
        chosen: &BackendName,
        includes_all: bool,
    ) -> Vec<(BackendName, f64)> {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.view.fleet();
        if fleet.limits().limit_per_s(chosen).is_none() {
            return Vec::new();
        }
        fleet.grant_candidates(now_ms, placement, chosen, includes_all)
    }

    /// Returns why no server accepts a request, and when one will: after a backoff or, if
    /// all servers have rate limits, when the scheduler expects capacity. No time is known for
    /// a server of a software version that has none.
    pub(super) async fn no_server_reason(&self, caller: &CallerRequest) -> FailureReason {
        let now_ms = self.clock.now_ms();
        let (servers, return_after_ms) = {
            let mut fleet = self.view.fleet();
            if fleet.lacks_version(now_ms, &caller.service, &caller.software) {
                return FailureReason::VersionGone;
            }
            let servers = fleet.limits_if_all_limited(now_ms, &caller.service, &caller.software);
            (
                servers,
                fleet.return_after_backoff_ms(now_ms, &caller.service, &caller.software),
            )
        };
        if let Some(retry_after_ms) = return_after_ms {
            return FailureReason::BackingOff(retry_after_ms);
        }
        if servers.is_empty() {
            return FailureReason::NoServer;
        }
        let state = self.request_grant(caller, GrantPurpose::ReturnTime, servers);
        match state.await {
            GrantState::Granted(_) => FailureReason::NoServer,
            GrantState::Closed { retry_after_ms, .. } => FailureReason::Limited(retry_after_ms),
        }
    }

    async fn request_grant(
        &self,
        caller: &CallerRequest,
        purpose: GrantPurpose,
        servers: Vec<(BackendName, f64)>,
    ) -> GrantState {
        let requested = servers.len();
        let query = GrantQuery {
            service: caller.service.clone(),
            purpose,
            servers,
            priority: caller.matched.priority,
        };
        let state = self.limits.request_grant(&self.members, query).await;
        let (granted, retry_in_ms, retry_after_ms) = match &state {
            GrantState::Granted(server) => (Some(server.to_string()), None, None),
            GrantState::Closed {
                retry_in_ms,
                retry_after_ms,
            } => (None, Some(*retry_in_ms), Some(*retry_after_ms)),
        };
        info!(self.log, "grant requested"; "request" => %caller.id, "purpose" => purpose.as_str(),
            "service" => %caller.service, "servers" => requested, "granted" => granted,
            "retry_in_ms" => retry_in_ms, "retry_after_ms" => retry_after_ms,
            "elapsed_ms" => caller.elapsed_ms());
        let outcome = match state {
            GrantState::Granted(_) => "granted",
            GrantState::Closed { .. } => "closed",
        };
        metrics::counter!("savoryvane_limit_grants_total", "outcome" => outcome).increment(1);
        state
    }
}
