//! Sends a request to one server after the other until there is a response to return.

use std::{sync::Arc, time::Duration};

use http::Response;
use savoryvane_core::{
    forwarding::{
        AttemptEnd, FinalResponse, NextStep, RepeatPolicy, next_step, response_timeout_ms,
    },
    ids::{BackendName, PoolName},
};
use slog::info;
use tokio::time::{self, Instant};

use super::{
    attempt::SendOutcome,
    forward::{Forwarder, Inputs},
    local_reply::FailureReason,
    permits::PermitGuard,
    relay,
    request::CallerRequest,
    stage_submission::ResultsGuard,
};
use crate::http_body::{self, Body};

/// Maximum number of servers that a request is tried at, counting those that were not
/// reached or did not run it.
const MAX_TRIED_SERVERS: usize = 4;

impl Forwarder {
    /// Sends a request to servers until there is a response to return.
    pub(super) async fn send(
        self: &Arc<Self>,
        caller: CallerRequest,
        mut inputs: Inputs,
        mut permit: Option<PermitGuard>,
    ) -> Result<Response<Body>, FailureReason> {
        self.view
            .budgets()
            .on_request(self.view.now_ms(), &caller.service);
        let mut tried: Vec<BackendName> = Vec::new();
        let mut sends = 0;
        let mut may_have_run = false;
        loop {
            if let Err(reason) = self.check_quarantine(&caller, &mut permit).await {
                return Err(match reason {
                    FailureReason::EndsServers(_) => reason,
                    // A request that is rejected now may have run at a server before.
                    _ if may_have_run => FailureReason::Lost,
                    _ => reason,
                });
            }
            let chosen = self.choose_granted(&caller, &inputs, &tried, permit.as_ref());
            let server = match chosen.await {
                Ok(server) => server,
                Err(_) if may_have_run => return Err(FailureReason::Lost),
                Err(reason) => return Err(reason),
            };
            if !may_have_run {
                self.wait_budget(&caller, self.usual_response_time(&caller))?;
            }
            tried.push(server.clone());
            let may_fail_over = caller.repeats() == RepeatPolicy::Allowed
                && sends + 1 < caller.route().max_servers
                && tried.len() < MAX_TRIED_SERVERS;
            let guard = inputs.guard.take();
            let sending = self.send_to(
                &caller,
                &inputs,
                &tried,
                &server,
                permit.as_ref(),
                may_fail_over,
            );
            let (sent, guard) = tokio::select! {
                sent = self.release_once_fetched(&caller.service, guard, sending) => sent,
                () = self.shutdown.wait_until_within(Duration::ZERO) =>
                return Err(FailureReason::Overdue),
            };
            inputs.guard = guard;
            let sent = sent.ok_or(FailureReason::Overdue)?;
            let were_released = inputs.are_released();
            self.record_fetch(&caller.service, were_released, &sent);
            let (end, failure) = match sent {
                SendOutcome::Complete(response) => {
                    self.log_answered(&caller, &server, response.status(), sends + 1);
                    return Ok(response.map(http_body::full));
                }
                SendOutcome::Stream(stream) => {
                    return Ok(relay::start(
                        Arc::clone(self),
                        caller,
                        inputs,
                        stream,
                        tried,
                        permit,
                    ));
                }
                SendOutcome::Ended(end, failure) => (end, failure),
            };
            may_have_run |= matches!(
                end,
                AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Silent
            );
            sends += u32::from(end.counts());
            let has_server = || {
                let found = self.find_server(&caller, &inputs, &tried, permit.as_ref());
                found.0.is_some()
            };
            // If an input is gone, the same servers can be used once it is computed
            // again.
            let has_room = sends < caller.route().max_servers
                && tried.len() < MAX_TRIED_SERVERS
                && !caller.time_left().is_zero()
                && (end == AttemptEnd::InputsGone || has_server());
            let spend = || self.try_spend_repeat(&caller);
            let next = next_step(end, caller.repeats(), may_have_run, has_room, spend);
            info!(self.log, "send ended"; "request" => %caller.id, "server" => %server,
                "end" => ?end, "next" => ?next, "sends" => sends,
                "elapsed_ms" => caller.elapsed_ms());
            match (next, failure) {
                (NextStep::SendAgain, _) if end == AttemptEnd::InputsGone || were_released => {
                    inputs = match self.run_stages(&caller).await {
                        Ok(inputs) => inputs,
                        // A request that is rejected now may have run at a server before.
                        Err(_) if may_have_run => return Err(FailureReason::Lost),
                        Err(reason) => return Err(reason),
                    };
                    if end == AttemptEnd::InputsGone {
                        tried.clear();
                    }
                }
                (NextStep::SendAgain, _) => {}
                (NextStep::Give(FinalResponse::Refusal), _) => {
                    return Err(self.no_server_reason(&caller).await);
                }
                (NextStep::Give(FinalResponse::ServersFailure), Some(response)) => {
                    self.log_answered(&caller, &server, response.status(), sends);
                    return Ok(response.map(http_body::full));
                }
                (NextStep::Give(_), _) => return Err(FailureReason::Lost),
            }
        }
    }

    /// Releases results once an engine of `service` has had time to fetch them while
    /// `sending` continues; returns them if it ends first.
    async fn release_once_fetched(
        &self,
        service: &PoolName,
        mut guard: Option<ResultsGuard>,
        sending: impl Future<Output = Option<SendOutcome>>,
    ) -> (Option<SendOutcome>, Option<ResultsGuard>) {
        let within_ms = self.view.fetch_times().release_after_ms(service);
        let fetched = time::sleep(Duration::from_millis(within_ms));
        tokio::pin!(fetched, sending);
        loop {
            tokio::select! {
                biased;
                sent = &mut sending => return (sent, guard),
                () = &mut fetched, if guard.is_some() => guard = None,
            }
        }
    }

    /// Records for the service's fetch times whether the results were released too early
    /// for this send.
    fn record_fetch(&self, service: &PoolName, were_released: bool, sent: &SendOutcome) {
        if !were_released {
            return;
        }
        match sent {
            SendOutcome::Complete(_) | SendOutcome::Stream(_) => {
                self.view.fetch_times().on_fetched(service);
            }
            SendOutcome::Ended(AttemptEnd::InputsGone, _) => {
                self.view.fetch_times().on_missed(service);
            }
            SendOutcome::Ended(..) => {}
        }
    }

    /// Sends a request to one server, until the caller's deadline. If `may_fail_over`, a
    /// server that stays silent is abandoned for another one.
    async fn send_to(
        self: &Arc<Self>,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
        server: &BackendName,
        permit: Option<&PermitGuard>,
        may_fail_over: bool,
    ) -> Option<SendOutcome> {
        let silence_timeout = Duration::from_millis(response_timeout_ms(caller.route().goal_ms));
        let mut sent = Box::pin(self.send_once(caller, inputs, server, permit, None));
        if may_fail_over {
            let until = (Instant::now() + silence_timeout).min(caller.deadline);
            if let Ok(sent) = time::timeout_at(until, &mut sent).await {
                return Some(sent);
            }
            if self.try_repeat_elsewhere(caller, inputs, tried) {
                // Closes the connection, so that the server cancels the request.
                drop(sent);
                self.on_server_abandoned(caller, server, false, silence_timeout);
                return Some(SendOutcome::Ended(AttemptEnd::Silent, None));
            }
        }
        time::timeout_at(caller.deadline, sent).await.ok()
    }

    /// Returns whether another server can take a request and the retry budget allows it;
    /// takes a retry from the budget if so.
    pub(super) fn try_repeat_elsewhere(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
    ) -> bool {
        !caller.time_left().is_zero()
            && self.find_server(caller, inputs, tried, None).0.is_some()
            && self.try_spend_repeat(caller)
    }

    /// Takes a repeat from the budget of the service; returns false if none is left.
    fn try_spend_repeat(&self, caller: &CallerRequest) -> bool {
        let now_ms = self.view.now_ms();
        self.view.budgets().try_spend(now_ms, &caller.service)
    }

    /// Records that a server was abandoned because it stayed silent; `is_alive` tells whether its
    /// response had begun.
    pub(super) fn on_server_abandoned(
        &self,
        caller: &CallerRequest,
        server: &BackendName,
        is_alive: bool,
        waited: Duration,
    ) {
        let now_ms = self.clock.now_ms();
        self.view.fleet().on_silence_timeout(now_ms, server);
        let entry = self.view.directory().entry(server).cloned();
        if let Some(entry) = entry {
            // Other pooled connections to it may be dead too.
            self.servers.close_idle(entry.addr);
            let lost = self.lost_connection(caller, entry, is_alive, &[]);
            self.crash_detector.on_silent(lost);
        }
        info!(self.log, "silent server abandoned"; "request" => %caller.id, "server" => %server,
            "waited_ms" => waited.as_millis() as u64, "elapsed_ms" => caller.elapsed_ms());
    }
}
