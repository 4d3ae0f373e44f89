//! Checks that instances respect the signals that servers send in their responses (leaving,
//! backoff), also during other faults.

use std::{collections::HashMap, time::Duration};

use savoryvane_platform_standin::ReceivedRequest;
use tokio::time::Instant;

use crate::{
    config::LEAVING_HEADER, deployment::Deployment, disturbances::DisturbanceTarget,
    ledger::RequestRecord, promises::id_of,
};

/// Platform's bound on the time from a response that announces that a server leaves until the
/// server receives no later requests.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Platform's bound on the time until an instance respects a requested backoff.
pub(crate) const BACKOFF_REACTION_BOUND: Duration = Duration::from_millis(500);
/// Platform's bound on the requests that may reach a server during a backoff.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// One run of an instance: its index and the number of its start.
type InstanceRun = (usize, u32);

/// Checks the requests of callers against the requests that reached servers.
pub(crate) struct SignalCheck<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) records: &'a [RequestRecord],
    pub(crate) by_id: &'a HashMap<&'a str, &'a RequestRecord>,
}

impl SignalCheck<'_> {
    /// Checks that an instance sends no later requests to a server that has announced to it that
    /// it leaves. Skips instances that were frozen meanwhile.
    pub(crate) fn leaving_is_respected(&self, violations: &mut Vec<String>) {
        let leaving_known_at = self.leaving_known_at();
        for server in &self.deployment.servers {
            for seen in server.standin.arrived() {
                let Some(record) = self.by_id.get(id_of(&seen)) else {
                    continue;
                };
                let server_id = seen.header("expect-instance").unwrap_or_default();
                let instance_run = (record.instance, record.start_number);
                let since = leaving_known_at.get(&(server_id, instance_run)).copied();
                let is_late = since.is_some_and(|since| {
                    let target = DisturbanceTarget::Instance(record.instance);
                    let disturbances = &self.deployment.disturbances;
                    record.sent_at > since + DRAIN_BOUND
                        && !disturbances.overlaps(target, since, seen.received_at)
                });
                if is_late {
                    let (id, instance) = (&record.id, record.instance);
                    violations.push(format!(
                        "{server_id} received {id} from instance {instance} after announcing \
                         that it leaves"
                    ));
                }
            }
        }
    }

    /// Returns when each run of an instance forwarded its first response that announces that a
    /// server leaves.
    fn leaving_known_at(&self) -> HashMap<(&str, InstanceRun), Instant> {
        let mut leaving_known_at: HashMap<(&str, InstanceRun), Instant> = HashMap::new();
        for record in self.records {
            let Ok(response) = &record.outcome else {
                continue;
            };
            let signature = response.header("server-seal").unwrap_or_default();
            let Some(server_id) = signature.strip_prefix("seal.") else {
                continue;
            };
            if response.header(LEAVING_HEADER) == Some("1") {
                let key = (server_id, (record.instance, record.start_number));
                let first = leaving_known_at.entry(key).or_insert(record.ended_at);
                *first = (*first).min(record.ended_at);
            }
        }
        leaving_known_at
    }

    /// Checks that an instance sends almost no requests to a server during the backoff that the
    /// server requested from it. Skips frozen instances and links with faults.
    pub(crate) fn backoff_is_respected(&self, violations: &mut Vec<String>) {
        for (index, server) in self.deployment.servers.iter().enumerate() {
            let arrived = server.standin.arrived();
            for first in &arrived {
                let Some((instance_run, until)) = self.backoff(first) else {
                    continue;
                };
                let disturbances = &self.deployment.disturbances;
                let is_disturbed = [
                    DisturbanceTarget::Instance(instance_run.0),
                    DisturbanceTarget::ServerLink(index),
                ]
                .into_iter()
                .any(|target| disturbances.overlaps(target, first.received_at, until));
                let from = first.received_at + BACKOFF_REACTION_BOUND;
                let in_backoff = arrived.iter().filter(|seen| {
                    (from..until).contains(&seen.received_at)
                        && self.instance_run_of(seen) == Some(instance_run)
                        && server_run_of(seen) == server_run_of(first)
                });
                let count = in_backoff.count();
                if count > MAX_REQUESTS_IN_BACKOFF && !is_disturbed {
                    let (id, instance) = (server.run_id(), instance_run.0);
                    violations.push(format!(
                        "{id} received {count} requests from instance {instance} during the \
                         backoff that it requested"
                    ));
                    break;
                }
            }
        }
    }

    /// Returns the instance run that the rejection of a request asks to back off, and the end of
    /// the backoff.
    fn backoff(&self, seen: &ReceivedRequest) -> Option<(InstanceRun, Instant)> {
        let backoff_s: f64 = seen.retry_after.as_ref()?.parse().ok()?;
        let until = seen.received_at + Duration::from_secs_f64(backoff_s);
        Some((self.instance_run_of(seen)?, until))
    }

    /// Returns the instance run that sent a request, or `None` for calls with pieces, which
    /// another instance may have made.
    fn instance_run_of(&self, seen: &ReceivedRequest) -> Option<InstanceRun> {
        let record = self.by_id.get(id_of(seen))?;
        Some((record.instance, record.start_number))
    }
}

/// Returns the run of the server that a request is for. Another run at the same address has
/// requested no backoff.
fn server_run_of(seen: &ReceivedRequest) -> Option<&str> {
    seen.header("expect-instance")
}
