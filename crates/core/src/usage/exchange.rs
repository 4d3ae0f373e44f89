//! Membership view used by quota sharing, and the reports that it sends.

use std::collections::BTreeMap;

use crate::{
    ids::{InstanceName, ZoneName},
    quota::UsageReport,
};

/// Instances that share the quotas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaView {
    /// Instances of this zone, listed by the platform or known by gossip, including
    /// this one.
    pub members: Vec<InstanceName>,
    /// Number of instances of each zone, including this zone.
    pub zones: BTreeMap<ZoneName, u32>,
    /// Home of each shard in this zone, by shard index.
    pub homes: Vec<InstanceName>,
    /// Lead zone of each shard, by shard index.
    pub leads: Vec<ZoneName>,
}

/// Receiver of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportTarget {
    /// The shard's home in this zone.
    Home(InstanceName),
    /// The shard's home in another zone.
    Lead(ZoneName),
}

/// A report to send as a request. The response is passed to
/// [`Usage::on_grant`](crate::usage::Usage::on_grant).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingReport {
    /// Receiver.
    pub to: ReportTarget,
    /// Report to send.
    pub report: UsageReport,
}

/// Error for a report to an instance that is not the home of its shard. Contains the
/// home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotHome(pub InstanceName);
