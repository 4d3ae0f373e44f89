//! Exchanges rate limits of backend servers with the scheduler, and requests its grants.
//!
//! The scheduler collects the limits that servers have named to any instance. An instance
//! queries it whenever either side has changes that the other has not seen, and requests a
//! grant before it sends to a rate-limited server.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    forwarding::{GrantQuery, GrantState, LimitGrants, LimitReport},
    ids::{Incarnation, InstanceName},
};
use savoryvane_wire::peer::{LimitQuery, LimitState, Message};
use slog::{Logger, info};
use tokio::time::Instant;

use super::{members::Members, routing_view::RoutingView};
use crate::lock::lock;

/// Shortest time between two exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a query; a round trip takes a few ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Response assumed when the scheduler cannot be reached; the next one is known by then.
const SCHEDULER_UNREACHABLE: GrantState = GrantState::Closed {
    retry_in_ms: 250,
    retry_after_ms: 500,
};

/// Revisions up to which this instance and the scheduler know each other's reports.
#[derive(Clone, Copy, Debug)]
struct Exchanged {
    /// Run of the scheduler.
    incarnation: Incarnation,
    /// Revision of the scheduler that was received last.
    remote_revision: u64,
    /// Own revision that was sent last.
    local_revision: u64,
    at: Instant,
}

/// Shares the rate limits that servers name.
#[derive(Debug)]
pub(super) struct LimitSharing {
    log: Logger,
    view: Arc<RoutingView>,
    grants: Mutex<LimitGrants>,
    last_exchange: Mutex<Option<Exchanged>>,
}

impl LimitSharing {
    pub(super) fn new(instance: InstanceName, view: Arc<RoutingView>, log: Logger) -> Self {
        Self {
            log,
            view,
            grants: Mutex::new(LimitGrants::new(instance)),
            last_exchange: Mutex::default(),
        }
    }

    /// Returns the revision of this instance's rate limit reports.
    pub(super) fn revision(&self) -> u64 {
        self.view.fleet().limits().revision()
    }

    /// Exchanges changes with the run `incarnation` of the scheduler, which is at
    /// `remote_revision`.
    pub(super) async fn exchange(
        &self,
        members: &Members,
        scheduler: &InstanceName,
        incarnation: Incarnation,
        remote_revision: u64,
    ) {
        let last_exchange = *lock(&self.last_exchange);
        let last_exchange = last_exchange.filter(|exchanged| exchanged.incarnation == incarnation);
        let (received, sent) = last_exchange.map_or((0, 0), |exchanged| {
            (exchanged.remote_revision, exchanged.local_revision)
        });
        let is_recent =
            last_exchange.is_some_and(|exchanged| exchanged.at.elapsed() < EXCHANGE_INTERVAL);
        let (local_revision, reports) = self.own_since(sent);
        if is_recent || (received == remote_revision && reports.is_empty()) {
            return;
        }
        let query = LimitQuery {
            known_revision: received,
            reports,
        };
        let response = members
            .peers()
            .request(
                scheduler,
                Some(incarnation),
                &Message::LimitQuery(query),
                RESPONSE_TIMEOUT,
            )
            .await;
        match response {
            Ok(Message::LimitState(state)) => {
                *lock(&self.last_exchange) = Some(Exchanged {
                    incarnation,
                    remote_revision: state.revision,
                    local_revision,
                    at: Instant::now(),
                });
                self.view.update_limits(state.reports);
            }
            Ok(_) => {}
            Err(err) => {
                // Retried at the next follow-up.
                info!(self.log, "limits not exchanged"; "with" => %scheduler, "error" => %err);
            }
        }
    }

    /// Merges the reports of a peer, and returns those that it has not seen.
    pub(super) fn on_query(&self, query: LimitQuery) -> LimitState {
        let LimitQuery {
            known_revision,
            reports,
        } = query;
        let (revision, reports) = self.view.exchange_limits(known_revision, reports);
        LimitState { revision, reports }
    }

    fn own_since(&self, revision: u64) -> (u64, Vec<LimitReport>) {
        let now_ms = self.view.now_ms();
        let mut fleet = self.view.fleet();
        let limits = fleet.limits();
        (
            limits.revision(),
            limits.local_reports_since(now_ms, revision),
        )
    }

    /// Sets the list of instances.
    pub(super) fn set_listed(&self, instances: &[InstanceName]) {
        self.grants().set_listed(self.view.now_ms(), instances);
    }

    /// Records a query of an instance, which shows that it is alive.
    pub(super) fn on_seen(&self, instance: &InstanceName) {
        self.grants().on_seen(self.view.now_ms(), instance);
    }

    /// Returns the share of all limits that this instance grants.
    pub(super) fn share(&self) -> f64 {
        self.grants().share(self.view.now_ms())
    }

    /// Decides on a grant by the limits and buckets of this instance.
    pub(super) fn grant(&self, query: &GrantQuery) -> GrantState {
        let now_ms = self.view.now_ms();
        let mut fleet = self.view.fleet();
        let limits = fleet.limits();
        self.grants()
            .grant(now_ms, query, |server, reported_per_s| {
                limits.limit_or(server, reported_per_s)
            })
    }

    /// Requests a grant from the scheduler, or decides on it here where there is none.
    pub(super) async fn request_grant(&self, members: &Members, query: GrantQuery) -> GrantState {
        let scheduler = members.scheduler();
        let Some(scheduler) = scheduler.filter(|name| !members.is_self(name)) else {
            return self.grant(&query);
        };
        let message = Message::GrantQuery(query);
        let peers = members.peers();
        let response = peers
            .request(&scheduler, None, &message, RESPONSE_TIMEOUT)
            .await;
        match response {
            Ok(Message::GrantState(state)) => state,
            Ok(_) => SCHEDULER_UNREACHABLE,
            Err(err) => {
                info!(self.log, "grant query failed"; "of" => %scheduler, "error" => %err);
                SCHEDULER_UNREACHABLE
            }
        }
    }

    fn grants(&self) -> MutexGuard<'_, LimitGrants> {
        lock(&self.grants)
    }
}
