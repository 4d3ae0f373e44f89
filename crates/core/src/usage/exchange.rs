//! What quotas go by, and the reports that they send.

use std::collections::BTreeMap;

use crate::{
    ids::{InstanceName, ZoneName},
    quota::UsageReport,
};

/// Who the instances are, as far as quotas go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaView {
    /// Instances of this zone, listed or heard of, this one included.
    pub members: Vec<InstanceName>,
    /// Number of instances of each zone, this one included.
    pub zones: BTreeMap<ZoneName, u32>,
    /// Home of each shard in this zone.
    pub homes: Vec<InstanceName>,
    /// Lead zone of each shard.
    pub leads: Vec<ZoneName>,
}

/// Whom a report goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportTarget {
    /// An instance of this zone.
    Home(InstanceName),
    /// The shard's home in another zone.
    Lead(ZoneName),
}

/// A report to send as a request; its answer goes to
/// [`Usage::on_grant`](crate::usage::Usage::on_grant).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingReport {
    /// Whom it goes to.
    pub to: ReportTarget,
    /// The report.
    pub report: UsageReport,
}

/// This instance is not the home of a report's shard; that one is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotHome(pub InstanceName);
