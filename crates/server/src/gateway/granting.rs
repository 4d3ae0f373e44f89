//! Obtains the grants that a request needs for rate-limited servers, and explains why no
//! server accepts it.

use savoryvane_core::{
    forwarding::{GrantPurpose, GrantQuery, GrantState, Placement},
    ids::BackendName,
};
use slog::info;

use super::{
    answers::Why,
    forward::{Forwarder, Inputs, placement},
    quarantine::HeldPermit,
    request::CallerRequest,
};

/// Grant queries before a request is rejected: one for the best server, two for any.
const MAX_GRANT_QUERIES: u32 = 3;
impl Forwarder {
    /// Rejects a request before its stages run if all servers of its service have rate
    /// limits and none has capacity for it.
    pub(super) async fn ask_admission(&self, caller: &CallerRequest) -> Result<(), Why> {
        if caller.route().stages.is_empty() {
            return Ok(());
        }
        let now_ms = self.clock.now_ms();
        let servers = {
            let fleet = self.knowledge.fleet();
            fleet.limits_of_all(now_ms, &caller.service)
        };
        if servers.is_empty() {
            return Ok(());
        }
        let state = self.ask_grant(caller, GrantPurpose::Admission, servers);
        match state.await {
            GrantState::Granted(_) => Ok(()),
            GrantState::Closed { retry_after_ms, .. } => Err(Why::Limited(retry_after_ms)),
        }
    }

    /// Chooses the server of the next send, with a grant if the server has a rate limit.
    pub(super) async fn choose_granted(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
        permit: Option<&HeldPermit>,
    ) -> Result<BackendName, Why> {
        let placement = placement(caller, inputs, tried, permit);
        let mut refusal = Why::NoServer;
        for query in 0..MAX_GRANT_QUERIES {
            let Some(chosen) = self.choose(caller, inputs, tried, permit) else {
                break;
            };
            let servers = self.grant_candidates(&placement, &chosen, query > 0);
            if servers.is_empty() {
                return Ok(chosen);
            }
            let asked = servers.iter().map(|(server, _)| server.clone());
            let asked: Vec<BackendName> = asked.collect();
            let state = self.ask_grant(caller, GrantPurpose::Send, servers);
            match state.await {
                GrantState::Granted(server) => return Ok(server),
                GrantState::Closed {
                    retry_in_ms,
                    retry_after_ms,
                } => {
                    self.knowledge.on_limits_closed(&asked, retry_in_ms);
                    refusal = Why::Limited(retry_after_ms);
                }
            }
        }
        if refusal == Why::NoServer {
            refusal = self.why_no_server(caller).await;
        }
        Err(refusal)
    }

    /// Returns the servers to request a grant for; empty if `chosen` needs none.
    fn grant_candidates(
        &self,
        placement: &Placement<'_>,
        chosen: &BackendName,
        is_any_wanted: bool,
    ) -> Vec<(BackendName, f64)> {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.knowledge.fleet();
        if fleet.limits().limit_per_s(chosen).is_none() {
            return Vec::new();
        }
        fleet.grant_candidates(now_ms, placement, chosen, is_any_wanted)
    }

    /// Returns why no server accepts a request, and when one will: after a backoff or, if
    /// all servers have rate limits, when the scheduler expects capacity.
    pub(super) async fn why_no_server(&self, caller: &CallerRequest) -> Why {
        let now_ms = self.clock.now_ms();
        let (servers, return_after_ms) = {
            let mut fleet = self.knowledge.fleet();
            let servers = fleet.limits_of_all(now_ms, &caller.service);
            (
                servers,
                fleet.return_after_backoff_ms(now_ms, &caller.service),
            )
        };
        if let Some(retry_after_ms) = return_after_ms {
            return Why::BackingOff(retry_after_ms);
        }
        if servers.is_empty() {
            return Why::NoServer;
        }
        let state = self.ask_grant(caller, GrantPurpose::ReturnTime, servers);
        match state.await {
            GrantState::Granted(_) => Why::NoServer,
            GrantState::Closed { retry_after_ms, .. } => Why::Limited(retry_after_ms),
        }
    }

    async fn ask_grant(
        &self,
        caller: &CallerRequest,
        purpose: GrantPurpose,
        servers: Vec<(BackendName, f64)>,
    ) -> GrantState {
        let asked = servers.len();
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
        info!(self.log, "grant asked"; "request" => %caller.id, "purpose" => purpose.as_str(),
            "service" => %caller.service, "servers" => asked, "granted" => granted,
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
