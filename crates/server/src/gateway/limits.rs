//! Shares with the other instances which servers name a limit, and what these take.
//!
//! The instance that schedules gathers what servers have said to all others. They ask it
//! whenever it knows more than it has told them, or they know more than they have told it,
//! and for a grant before they send to a server that names a limit.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    forwarding::{GrantPurpose, GrantQuery, GrantState, LimitGrants, LimitReport, Placement},
    ids::{BackendName, Incarnation, InstanceName},
};
use savoryvane_wire::peer::{LimitQuery, LimitState, Message};
use slog::{Logger, info};
use tokio::time::Instant;

use super::{
    answers::Why,
    forward::{Forwarder, Inputs, placement},
    knowledge::Knowledge,
    members::Members,
    quarantine::HeldPermit,
    request::CallerRequest,
};
use crate::lock::lock;

/// Shortest time between two questions for what is new.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Time for a question to be answered: a way there and back takes a few ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Questions for a grant before one request is refused: for the best server, and twice for
/// any.
const MAX_QUESTIONS: u32 = 3;
/// What is reckoned with where the instance that schedules gives no answer: the next one is
/// known within this time.
const NOT_ASKED: GrantState = GrantState::Closed {
    opens_in_ms: 250,
    retry_after_ms: 500,
};

/// How far this instance and the one that schedules know what the other does.
#[derive(Clone, Copy, Debug)]
struct Exchanged {
    /// Run of the other instance.
    incarnation: Incarnation,
    /// Revision up to which it was asked.
    theirs: u64,
    /// Own revision up to which it was told.
    ours: u64,
    at: Instant,
}

/// Shares which servers name a limit.
#[derive(Debug)]
pub(super) struct LimitSharing {
    log: Logger,
    knowledge: Arc<Knowledge>,
    grants: Mutex<LimitGrants>,
    last: Mutex<Option<Exchanged>>,
}

impl LimitSharing {
    pub(super) fn new(instance: InstanceName, knowledge: Arc<Knowledge>, log: Logger) -> Self {
        Self {
            log,
            knowledge,
            grants: Mutex::new(LimitGrants::new(instance)),
            last: Mutex::default(),
        }
    }

    /// Returns the revision of what this instance knows.
    pub(super) fn revision(&self) -> u64 {
        self.knowledge.fleet().limits().revision()
    }

    /// Exchanges what is new with the run `incarnation` of the instance that schedules,
    /// which is at the revision `theirs`.
    pub(super) async fn follow(
        &self,
        members: &Members,
        scheduler: &InstanceName,
        incarnation: Incarnation,
        theirs: u64,
    ) {
        let last = *lock(&self.last);
        let last = last.filter(|last| last.incarnation == incarnation);
        let (known, told) = last.map_or((0, 0), |last| (last.theirs, last.ours));
        let is_recent = last.is_some_and(|last| last.at.elapsed() < ASK_INTERVAL);
        let (ours, reports) = self.own_since(told);
        if is_recent || (known == theirs && reports.is_empty()) {
            return;
        }
        let question = LimitQuery {
            known_revision: known,
            reports,
        };
        let answer = members
            .peers()
            .request(
                scheduler,
                Some(incarnation),
                &Message::LimitQuery(question),
                ANSWER_TIMEOUT,
            )
            .await;
        match answer {
            Ok(Message::LimitState(state)) => {
                *lock(&self.last) = Some(Exchanged {
                    incarnation,
                    theirs: state.revision,
                    ours,
                    at: Instant::now(),
                });
                self.knowledge.update_limits(state.reports);
            }
            Ok(_) => {}
            Err(err) => {
                // The next look asks again.
                info!(self.log, "limits not exchanged"; "with" => %scheduler, "error" => %err);
            }
        }
    }

    /// Takes over what a peer tells, and tells it what it does not know.
    pub(super) fn on_query(&self, question: LimitQuery) -> LimitState {
        let LimitQuery {
            known_revision,
            reports,
        } = question;
        let (revision, reports) = self.knowledge.exchange_limits(known_revision, reports);
        LimitState { revision, reports }
    }

    fn own_since(&self, revision: u64) -> (u64, Vec<LimitReport>) {
        let now_ms = self.knowledge.now_ms();
        let mut fleet = self.knowledge.fleet();
        let limits = fleet.limits();
        (limits.revision(), limits.own_since(now_ms, revision))
    }

    /// Takes over the list of instances.
    pub(super) fn set_listed(&self, instances: &[InstanceName]) {
        self.grants().set_listed(self.knowledge.now_ms(), instances);
    }

    /// Notes that an instance has asked whether this one schedules.
    pub(super) fn on_seen(&self, instance: &InstanceName) {
        self.grants().on_seen(self.knowledge.now_ms(), instance);
    }

    /// Returns the part of all limits that this instance gives out.
    pub(super) fn share(&self) -> f64 {
        self.grants().share(self.knowledge.now_ms())
    }

    /// Gives a grant by what this instance knows and has given out.
    pub(super) fn grant(&self, query: &GrantQuery) -> GrantState {
        let now_ms = self.knowledge.now_ms();
        let mut fleet = self.knowledge.fleet();
        let limits = fleet.limits();
        self.grants()
            .grant(now_ms, query, |server, reported_per_s| {
                limits.limit_or(server, reported_per_s)
            })
    }

    /// Asks the instance that schedules for a grant, or gives it here where none does.
    async fn ask(&self, members: &Members, query: GrantQuery) -> GrantState {
        let scheduler = members.scheduler();
        let Some(scheduler) = scheduler.filter(|name| !members.is_me(name)) else {
            return self.grant(&query);
        };
        let message = Message::GrantQuery(query);
        let peers = members.peers();
        let answer = peers
            .request(&scheduler, None, &message, ANSWER_TIMEOUT)
            .await;
        match answer {
            Ok(Message::GrantState(state)) => state,
            Ok(_) => NOT_ASKED,
            Err(err) => {
                info!(self.log, "grant not asked"; "of" => %scheduler, "error" => %err);
                NOT_ASKED
            }
        }
    }

    fn grants(&self) -> MutexGuard<'_, LimitGrants> {
        lock(&self.grants)
    }
}

impl Forwarder {
    /// Refuses a request before its stages where all servers of its service name limits and
    /// they have no place for it.
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

    /// Chooses the server of the next send, with a grant where it names a limit.
    pub(super) async fn choose_granted(
        &self,
        caller: &CallerRequest,
        inputs: &Inputs,
        tried: &[BackendName],
        permit: Option<&HeldPermit>,
    ) -> Result<BackendName, Why> {
        let placement = placement(caller, inputs, tried, permit);
        let mut refusal = Why::NoServer;
        for question in 0..MAX_QUESTIONS {
            let Some(chosen) = self.choose(caller, inputs, tried, permit) else {
                break;
            };
            let servers = self.grant_candidates(&placement, &chosen, question > 0);
            if servers.is_empty() {
                return Ok(chosen);
            }
            let asked = servers.iter().map(|(server, _)| server.clone());
            let asked: Vec<BackendName> = asked.collect();
            let state = self.ask_grant(caller, GrantPurpose::Send, servers);
            match state.await {
                GrantState::Granted(server) => return Ok(server),
                GrantState::Closed {
                    opens_in_ms,
                    retry_after_ms,
                } => {
                    self.knowledge.on_limits_closed(&asked, opens_in_ms);
                    refusal = Why::Limited(retry_after_ms);
                }
            }
        }
        if refusal == Why::NoServer {
            refusal = self.why_no_server(caller).await;
        }
        Err(refusal)
    }

    /// Returns the servers that a grant is asked for; none where `chosen` needs none.
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

    /// Tells why no server takes a request, and when one will: after a backoff, or, where all
    /// have a limit, as the instance says that schedules.
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
        let state = self.limits.ask(&self.members, query).await;
        let (granted, opens_in_ms, retry_after_ms) = match &state {
            GrantState::Granted(server) => (Some(server.to_string()), None, None),
            GrantState::Closed {
                opens_in_ms,
                retry_after_ms,
            } => (None, Some(*opens_in_ms), Some(*retry_after_ms)),
        };
        info!(self.log, "grant asked"; "request" => %caller.id, "purpose" => purpose.as_str(),
            "service" => %caller.service, "servers" => asked, "granted" => granted,
            "opens_in_ms" => opens_in_ms, "retry_after_ms" => retry_after_ms,
            "elapsed_ms" => caller.elapsed_ms());
        let outcome = match state {
            GrantState::Granted(_) => "granted",
            GrantState::Closed { .. } => "closed",
        };
        metrics::counter!("savoryvane_limit_grants_total", "outcome" => outcome).increment(1);
        state
    }
}
