//! Sends a request to one server after the other until there is a response to return.

use std::{sync::Arc, time::Duration};

use http::Response;
use savoryvane_core::{
    forwarding::{AttemptEnd, Giving, NextStep, Repeats, answer_timeout_ms, next_step},
    ids::{BackendName, PoolName},
};
use slog::info;
use tokio::time::{self, Instant};

use super::{
    answers::Why,
    attempt::Sent,
    forward::{Forwarder, Inputs},
    quarantine::HeldPermit,
    relay,
    request::CallerRequest,
    stages::Held,
};
use crate::http_body::{self, Body};

/// Maximum number of servers that a request is tried at.
const MOST_UNREACHED: usize = 4;

impl Forwarder {
    /// Sends a request to servers until there is a response to return.
    pub(super) async fn send(
        self: &Arc<Self>,
        caller: CallerRequest,
        mut inputs: Inputs,
        mut permit: Option<HeldPermit>,
    ) -> Result<Response<Body>, Why> {
        self.knowledge.budgets().on_request(&caller.service);
        let mut tried: Vec<BackendName> = Vec::new();
        let mut sends = 0;
        let mut may_have_run = false;
        loop {
            if let Err(why) = self.admit(&caller, &mut permit).await {
                return Err(match why {
                    Why::EndsServers(_) => why,
                    // A request that is rejected now may have run at a server before.
                    _ if may_have_run => Why::Lost,
                    _ => why,
                });
            }
            let chosen = self.choose_granted(&caller, &inputs, &tried, permit.as_ref());
            let server = match chosen.await {
                Ok(server) => server,
                Err(_) if may_have_run => return Err(Why::Lost),
                Err(why) => return Err(why),
            };
            if !may_have_run {
                self.time_to_wait(&caller, self.answer_time(&caller))?;
            }
            tried.push(server.clone());
            let may_move_on = caller.repeats() == Repeats::Allowed
                && sends + 1 < caller.route().max_servers
                && tried.len() < MOST_UNREACHED;
            let held = inputs.held.take();
            let sending = self.send_to(&caller, &inputs, &tried, &server, may_move_on);
            let (sent, held) = tokio::select! {
                sent = self.while_fetched(&caller.service, held, sending) => sent,
                () = self.departure.nears(Duration::ZERO) => return Err(Why::Overdue),
            };
            inputs.held = held;
            let sent = sent.ok_or(Why::Overdue)?;
            let were_let_go = inputs.are_gone();
            self.note_fetched(&caller.service, were_let_go, &sent);
            let (end, failure) = match sent {
                Sent::Whole(response) => {
                    self.log_answered(&caller, &server, response.status(), sends + 1);
                    return Ok(response.map(http_body::full));
                }
                Sent::Stream(stream) => {
                    return Ok(relay::start(
                        Arc::clone(self),
                        caller,
                        inputs,
                        stream,
                        tried,
                        permit,
                    ));
                }
                Sent::Ended(end, failure) => (end, failure),
            };
            may_have_run |= matches!(
                end,
                AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Silent
            );
            sends += u32::from(end.counts());
            let has_server = || {
                let found = self.find(&caller, &inputs, &tried, permit.as_ref());
                found.0.is_some()
            };
            // If an input is gone, the same servers can be used once it is computed
            // again.
            let has_room = sends < caller.route().max_servers
                && tried.len() < MOST_UNREACHED
                && !caller.left().is_zero()
                && (end == AttemptEnd::InputsGone || has_server());
            let spend = || self.knowledge.budgets().try_spend(&caller.service);
            let next = next_step(end, caller.repeats(), may_have_run, has_room, spend);
            info!(self.log, "send ended"; "request" => %caller.id, "server" => %server,
                "end" => ?end, "next" => ?next, "sends" => sends,
                "elapsed_ms" => caller.elapsed_ms());
            match (next, failure) {
                (NextStep::SendAgain, _) if end == AttemptEnd::InputsGone || were_let_go => {
                    inputs = match self.run_stages(&caller).await {
                        Ok(inputs) => inputs,
                        // A request that is rejected now may have run at a server before.
                        Err(_) if may_have_run => return Err(Why::Lost),
                        Err(why) => return Err(why),
                    };
                    if end == AttemptEnd::InputsGone {
                        tried.clear();
                    }
                }
                (NextStep::SendAgain, _) => {}
                (NextStep::Give(Giving::Refusal), _) => {
                    return Err(self.why_no_server(&caller).await);
                }
                (NextStep::Give(Giving::ServersFailure), Some(response)) => {
                    self.log_answered(&caller, &server, response.status(), sends);
                    return Ok(response.map(http_body::full));
                }
                (NextStep::Give(_), _) => return Err(Why::Lost),
            }
        }
    }

    /// Releases results once an engine of `service` has had time to fetch them while
    /// `sending` continues; returns them if it ends first.
    async fn while_fetched(
        &self,
        service: &PoolName,
        mut held: Option<Held>,
        sending: impl Future<Output = Option<Sent>>,
    ) -> (Option<Sent>, Option<Held>) {
        let within_ms = self.knowledge.fetch_times().within_ms(service);
        let fetched = time::sleep(Duration::from_millis(within_ms));
        tokio::pin!(fetched, sending);
        loop {
            tokio::select! {
                biased;
                sent = &mut sending => return (sent, held),
                () = &mut fetched, if held.is_some() => held = None,
            }
        }
    }

    /// Records for the service's fetch times whether the results were released too early
    /// for this send.
    fn note_fetched(&self, service: &PoolName, were_let_go: bool, sent: &Sent) {
        if !were_let_go {
            return;
        }
        match sent {
            Sent::Whole(_) | Sent::Stream(_) => {
                self.knowledge.fetch_times().on_fetched(service);
            }
            Sent::Ended(AttemptEnd::InputsGone, _) => {
                self.knowledge.fetch_times().on_missed(service);
            }
            Sent::Ended(..) => {}
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
        may_move_on: bool,
    ) -> Option<Sent> {
        let silence = Duration::from_millis(answer_timeout_ms(caller.route().goal_ms));
        let mut sent = Box::pin(self.send_once(caller, inputs, server, None));
        if may_move_on {
            let until = (Instant::now() + silence).min(caller.deadline);
            if let Ok(sent) = time::timeout_at(until, &mut sent).await {
                return Some(sent);
            }
            if self.may_repeat_elsewhere(caller, inputs, tried) {
                // Closes the connection, so that the server cancels the request.
                drop(sent);
                self.give_up(caller, server, silence);
                return Some(Sent::Ended(AttemptEnd::Silent, None));
            }
        }
        time::timeout_at(caller.deadline, sent).await.ok()
    }

    /// Returns whether another server can take a request and the retry budget allows it;
    /// takes a retry from the budget if so.
    pub(super) fn may_repeat_elsewhere(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
    ) -> bool {
        !caller.left().is_zero()
            && self.find(caller, inputs, tried, None).0.is_some()
            && self.knowledge.budgets().try_spend(&caller.service)
    }

    /// Records that a server was abandoned because it stayed silent.
    pub(super) fn give_up(&self, caller: &CallerRequest, server: &BackendName, waited: Duration) {
        let now_ms = self.clock.now_ms();
        self.knowledge.fleet().on_given_up(now_ms, server);
        let entry = self.knowledge.directory().entry(server).cloned();
        if let Some(entry) = entry {
            // Other pooled connections to it may be dead too.
            self.servers.forget(entry.addr);
            let lost = self.lost(caller, entry);
            self.ends.on_silent(lost);
        }
        info!(self.log, "silent server given up"; "request" => %caller.id, "server" => %server,
            "waited_ms" => waited.as_millis() as u64, "elapsed_ms" => caller.elapsed_ms());
    }
}
