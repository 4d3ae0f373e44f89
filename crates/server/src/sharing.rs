//! Workspace quotas as this instance uses them and shares them with the others.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    ids::{InstanceName, Offset, WorkspaceName, ZoneName},
    limiter::Admission,
    quota::{QuotaClaimant, UsageReport},
    topology::{Duty, Shard, ranked},
    usage::{NotHome, OutgoingReport, ReportTarget, Usage},
};
use savoryvane_wire::peer::{Declined, Message};
use slog::debug;

use crate::{
    instance::Shared,
    lock::lock,
    peer::{PeerAnswer, PeerId},
};

/// Time for a report to be answered, in ms.
const TIMEOUT_MS: u64 = 800;
/// Instances of another zone that are tried with one report.
const LEAD_TRIES: usize = 2;

/// Quotas of the workspaces.
#[derive(Debug)]
pub(crate) struct Sharing {
    usage: Mutex<Usage>,
    configured: Mutex<Option<Offset>>,
}

impl Sharing {
    /// Creates the quotas of an instance that has just started.
    pub(crate) fn new(usage: Usage) -> Self {
        Self {
            usage: Mutex::new(usage),
            configured: Mutex::default(),
        }
    }

    /// Locks the quotas, for a few steps without waiting.
    pub(crate) fn usage(&self) -> MutexGuard<'_, Usage> {
        lock(&self.usage)
    }

    /// Notes the position of the configuration; tells whether it is another one.
    fn begin_configuration(&self, next: Offset) -> bool {
        let mut configured = lock(&self.configured);
        configured.replace(next) != Some(next)
    }
}

/// Decides whether a request of a workspace is within its quota.
pub(crate) fn admit(shared: &Shared, workspace: &WorkspaceName) -> Admission {
    renew_quotas(shared);
    let now_ms = shared.clock.now_ms();
    shared.members.sharing().usage().admit(now_ms, workspace)
}

/// Takes over who the instances are.
pub(crate) fn renew_view(shared: &Shared) {
    let (view, peers) = {
        let membership = shared.members.membership();
        let peers = membership.live().len().saturating_sub(1);
        (membership.quota_view(), peers)
    };
    let now_ms = shared.clock.now_ms();
    shared.members.sharing().usage().set_view(now_ms, view);
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    shared.fleet().set_peers(peers);
}

/// Sends the reports that are due.
pub(crate) fn tick(shared: &Arc<Shared>) {
    renew_quotas(shared);
    let now_ms = shared.clock.now_ms();
    let (outgoing, age_ms) = {
        let mut usage = shared.members.sharing().usage();
        (usage.tick(now_ms), usage.age_ms(now_ms))
    };
    if let Some(age_ms) = age_ms {
        metrics::gauge!("savoryvane_quota_age_ms").set(age_ms as f64);
    }
    for report in outgoing {
        tokio::spawn(send(Arc::clone(shared), report));
    }
}

/// Answers a peer's report.
pub(crate) fn answer(shared: Arc<Shared>, from: PeerId, report: UsageReport) -> PeerAnswer {
    Box::pin(async move {
        let now_ms = shared.clock.now_ms();
        let answer = {
            let mut usage = shared.members.sharing().usage();
            usage.on_report(now_ms, &from.instance, &report)
        };
        match answer {
            Ok(grant) => Message::UsageGrant(grant),
            Err(NotHome(home)) if is_relayed(&shared, &from.instance, &report) => {
                relay(&shared, &home, report).await
            }
            Err(NotHome(_)) => Message::Declined(Declined::NotMine),
        }
    })
}

/// Only reports from other zones are passed on, and only once: another zone
/// knows of this one no more than the platform's list says.
fn is_relayed(shared: &Shared, from: &InstanceName, report: &UsageReport) -> bool {
    let is_own_zone = || shared.members.membership().is_in_zone(from);
    matches!(report.claimant, QuotaClaimant::Zone(_)) && !is_own_zone()
}

async fn relay(shared: &Shared, home: &InstanceName, report: UsageReport) -> Message {
    let timeout = Duration::from_millis(TIMEOUT_MS / 2);
    let message = Message::UsageReport(report);
    let peers = shared.members.peers();
    let answer = peers.request(home, None, &message, timeout).await;
    answer.unwrap_or(Message::Declined(Declined::NotMine))
}

async fn send(shared: Arc<Shared>, outgoing: OutgoingReport) {
    let OutgoingReport { to, report } = outgoing;
    let targets = match to {
        ReportTarget::Home(home) => vec![home],
        ReportTarget::Lead(zone) => lead_targets(&shared, &zone, report.shard),
    };
    let claimant = report.claimant.clone();
    let message = Message::UsageReport(report);
    let tries = targets.len().max(1) as u64;
    let timeout = Duration::from_millis(TIMEOUT_MS / tries);
    for target in targets {
        let peers = shared.members.peers();
        match peers.request(&target, None, &message, timeout).await {
            Ok(Message::UsageGrant(grant)) => {
                let now_ms = shared.clock.now_ms();
                let mut usage = shared.members.sharing().usage();
                usage.on_grant(now_ms, &claimant, &grant);
                return;
            }
            Ok(_) => metrics::counter!("savoryvane_quota_declined_total").increment(1),
            Err(err) => {
                metrics::counter!("savoryvane_quota_unanswered_total").increment(1);
                debug!(shared.log, "report of demand not answered";
                    "peer" => %target, "error" => %err);
            }
        }
    }
}

fn lead_targets(shared: &Shared, zone: &ZoneName, shard: Shard) -> Vec<InstanceName> {
    let membership = shared.members.membership();
    let listed = membership.listed().iter();
    let names = listed
        .filter(|listed| listed.zone == *zone && !listed.is_leaving)
        .map(|listed| &listed.instance);
    let order = ranked(Duty::Home(shard), names);
    order.into_iter().take(LEAD_TRIES).cloned().collect()
}

/// Takes over the quotas when the configuration has changed.
fn renew_quotas(shared: &Shared) {
    let state = shared.configuration.state();
    let sharing = shared.members.sharing();
    if !sharing.begin_configuration(state.next()) {
        return;
    }
    let quotas = state.workspaces().map(|w| (&w.name, w.quota_per_s));
    sharing.usage().set_quotas(quotas);
    shared.fleet().configure_workspaces(state.workspaces());
}
