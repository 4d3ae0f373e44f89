//! Checks that instances keep to what servers say of themselves in their answers, also while
//! other faults go on.

use std::{collections::HashMap, time::Duration};

use savoryvane_platform_standin::ReceivedRequest;
use tokio::time::Instant;

use crate::{
    config::LEAVING, deployment::Deployment, disturbances::Disturbed, ledger::Asked,
    promises::id_of,
};

/// Time from an answer in which a server says that it leaves until it gets no requests that
/// are sent later, by the platform's bound.
const DRAINS_WITHIN: Duration = Duration::from_secs(2);
/// Time from a request for backoff until it has to be kept, by the platform's bound.
pub(crate) const SETTLES_WITHIN: Duration = Duration::from_millis(500);
/// Requests that may reach a server within a backoff, by the platform's bound.
const MAX_IN_BACKOFF: usize = 2;

/// One run of one instance.
type Boot = (usize, u32);

/// Checks what callers asked against what came to servers.
pub(crate) struct SignalCheck<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) asked: &'a [Asked],
    pub(crate) by_id: &'a HashMap<&'a str, &'a Asked>,
}

impl SignalCheck<'_> {
    /// A server that has said so to an instance gets no requests that come later from it.
    pub(crate) fn leaving_is_kept(&self, broken: &mut Vec<String>) {
        let announced = self.announced();
        for server in &self.deployment.servers {
            for seen in server.standin.arrived() {
                let Some(asked) = self.by_id.get(id_of(&seen)) else {
                    continue;
                };
                let run = seen.header("expect-instance").unwrap_or_default();
                let boot = (asked.instance, asked.boot);
                let since = announced.get(&(run, boot)).copied();
                let is_late = since.is_some_and(|since| {
                    let frozen = Disturbed::Instance(asked.instance);
                    let disturbances = &self.deployment.disturbances;
                    asked.sent_at > since + DRAINS_WITHIN
                        && !disturbances.overlap(frozen, since, seen.received_at)
                });
                if is_late {
                    let (id, instance) = (&asked.id, asked.instance);
                    broken.push(format!(
                        "{run} got {id} of instance {instance} after it had said that it leaves"
                    ));
                }
            }
        }
    }

    /// Returns when each run of an instance had passed on that a server leaves.
    fn announced(&self) -> HashMap<(&str, Boot), Instant> {
        let mut announced: HashMap<(&str, Boot), Instant> = HashMap::new();
        for asked in self.asked {
            let Ok(answer) = &asked.got else {
                continue;
            };
            let seal = answer.header("server-seal").unwrap_or_default();
            let Some(run) = seal.strip_prefix("seal.") else {
                continue;
            };
            if answer.header(LEAVING) == Some("1") {
                let key = (run, (asked.instance, asked.boot));
                let first = announced.entry(key).or_insert(asked.ended_at);
                *first = (*first).min(asked.ended_at);
            }
        }
        announced
    }

    /// A server that has asked an instance for backoff gets hardly anything from it meanwhile.
    pub(crate) fn backoff_is_kept(&self, broken: &mut Vec<String>) {
        for (index, server) in self.deployment.servers.iter().enumerate() {
            let arrived = server.standin.arrived();
            for first in &arrived {
                let Some((boot, until)) = self.backoff(first) else {
                    continue;
                };
                let disturbances = &self.deployment.disturbances;
                let is_excused = [Disturbed::Instance(boot.0), Disturbed::ServerLink(index)]
                    .into_iter()
                    .any(|disturbed| disturbances.overlap(disturbed, first.received_at, until));
                let from = first.received_at + SETTLES_WITHIN;
                let within = arrived.iter().filter(|seen| {
                    (from..until).contains(&seen.received_at) && self.boot_of(seen) == Some(boot)
                });
                let count = within.count();
                if count > MAX_IN_BACKOFF && !is_excused {
                    let (id, instance) = (server.id(), boot.0);
                    broken.push(format!(
                        "{id} got {count} of instance {instance} within the backoff that it \
                         asked for"
                    ));
                    break;
                }
            }
        }
    }

    /// Returns the instance that a rejected request asks for backoff, and until when.
    fn backoff(&self, seen: &ReceivedRequest) -> Option<(Boot, Instant)> {
        let backoff_s: f64 = seen.retry_after.as_ref()?.parse().ok()?;
        let until = seen.received_at + Duration::from_secs_f64(backoff_s);
        Some((self.boot_of(seen)?, until))
    }

    /// Returns the run of the instance that sent a request; none for calls with pieces, which
    /// another instance may have made.
    fn boot_of(&self, seen: &ReceivedRequest) -> Option<Boot> {
        let asked = self.by_id.get(id_of(seen))?;
        Some((asked.instance, asked.boot))
    }
}
