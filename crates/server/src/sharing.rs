//! Enforces workspace quotas and shares usage reports with the other instances.

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

/// Maximum time for the response to a report.
const REPORT_TIMEOUT_MS: u64 = 800;
/// Maximum number of instances of another zone that one report is sent to in turn.
const MAX_LEAD_ATTEMPTS: usize = 2;

/// Workspace quotas, and the configuration offset that they were read at.
#[derive(Debug)]
pub(crate) struct Sharing {
    usage: Mutex<Usage>,
    configured_offset: Mutex<Option<Offset>>,
}

impl Sharing {
    /// Creates the quotas of a starting instance.
    pub(crate) fn new(usage: Usage) -> Self {
        Self {
            usage: Mutex::new(usage),
            configured_offset: Mutex::default(),
        }
    }

    /// Locks the quotas. The guard must not be held across an `await`.
    pub(crate) fn usage(&self) -> MutexGuard<'_, Usage> {
        lock(&self.usage)
    }

    /// Stores the offset of the configuration and returns whether it changed.
    fn replace_offset(&self, next: Offset) -> bool {
        let mut configured_offset = lock(&self.configured_offset);
        configured_offset.replace(next) != Some(next)
    }
}

/// Returns whether a request of a workspace is within its quota.
pub(crate) fn admit(shared: &Shared, workspace: &WorkspaceName) -> Admission {
    refresh_quotas(shared);
    let now_ms = shared.clock.now_ms();
    shared.members.sharing().usage().admit(now_ms, workspace)
}

/// Updates the quotas and the fleet from the membership.
pub(crate) fn refresh_view(shared: &Shared) {
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
    refresh_quotas(shared);
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

/// Returns the response to a report of a peer.
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

/// Returns whether a report is relayed to its home. Only reports from other zones are
/// relayed, and only once: another zone knows this zone only from the platform's list.
fn is_relayed(shared: &Shared, from: &InstanceName, report: &UsageReport) -> bool {
    let is_own_zone = || shared.members.membership().is_in_zone(from);
    matches!(report.claimant, QuotaClaimant::Zone(_)) && !is_own_zone()
}

async fn relay(shared: &Shared, home: &InstanceName, report: UsageReport) -> Message {
    let timeout = Duration::from_millis(REPORT_TIMEOUT_MS / 2);
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
    let attempts = targets.len().max(1) as u64;
    let timeout = Duration::from_millis(REPORT_TIMEOUT_MS / attempts);
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
                debug!(shared.log, "no response to usage report";
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
    order.into_iter().take(MAX_LEAD_ATTEMPTS).cloned().collect()
}

/// Applies the configured quotas if the configuration has changed.
fn refresh_quotas(shared: &Shared) {
    let state = shared.configuration.state();
    let sharing = shared.members.sharing();
    if !sharing.replace_offset(state.next()) {
        return;
    }
    let quotas = state.workspaces().map(|w| (&w.name, w.quota_per_s));
    sharing.usage().set_quotas(quotas);
    shared.fleet().configure_workspaces(state.workspaces());
}
