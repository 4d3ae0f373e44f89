//! Allocation of quotas by the home of a shard.

use crate::{
    ids::{InstanceName, ZoneName},
    quota::{
        ClaimantSize, Demand, GRANT_VALIDITY_MS, Grant, Level, Rate, UsageReport, WorkspaceKey,
    },
    quota_allocator::{AllocatableQuota, QuotaAllocator},
    report_schedule::ReportSchedule,
    share::Share,
};

/// Time without a report after which a zone's home counts an instance with its safe
/// share, in ms.
const INSTANCE_EXPIRY_MS: u64 = GRANT_VALIDITY_MS;
/// Time without a report after which the lead counts a zone with its safe share, in
/// ms. Grants of the zone's home stay valid for [`GRANT_VALIDITY_MS`] after the
/// home's own grant has expired.
const ZONE_EXPIRY_MS: u64 = 2 * GRANT_VALIDITY_MS;

/// State of the home of a shard in this zone.
#[derive(Debug)]
pub(super) struct HomeQuotas {
    /// Term of this home, which differs from earlier terms.
    pub(super) term: u64,
    /// Pace of the zone's reports to the lead.
    pub(super) pace: ReportSchedule,
    /// Allocation among the instances of the zone.
    pub(super) instances: QuotaAllocator<InstanceName>,
    /// Grants of the lead to the zone.
    pub(super) zone: Share,
    /// Allocation among zones, if this is the lead zone.
    pub(super) lead: Option<LeadQuotas>,
}

/// State of the home of a shard in its lead zone.
#[derive(Debug)]
pub(super) struct LeadQuotas {
    /// Term of this lead, which differs from earlier terms.
    pub(super) term: u64,
    /// Allocation among the zones.
    pub(super) zones: QuotaAllocator<ZoneName>,
}

/// Response of a home to one report.
#[derive(Debug)]
pub(super) struct ReportResponse {
    /// Term that the grants belong to.
    pub(super) term: u64,
    /// Age of the information on other zones, in ms.
    pub(super) age_ms: u64,
    /// Grants, in the order of the report's demands.
    pub(super) grants: Vec<Grant>,
    /// Whether the rates held by all other claimants are known.
    pub(super) is_settled: bool,
}

impl HomeQuotas {
    /// Creates the state of a home that has received no report.
    pub(super) fn new(now_ms: u64, term: u64) -> Self {
        Self {
            term,
            pace: ReportSchedule::new(now_ms, now_ms),
            instances: QuotaAllocator::new(now_ms, INSTANCE_EXPIRY_MS, Level::Instance),
            zone: Share::default(),
            lead: None,
        }
    }

    /// Handles a report of an instance of this zone. An unmet demand triggers an
    /// early report to the lead.
    pub(super) fn on_instance_report(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        report: &UsageReport,
        size: ClaimantSize,
        quota: impl Fn(WorkspaceKey) -> Rate,
    ) -> ReportResponse {
        if report.term != Some(self.term) {
            self.instances.on_join(now_ms, from);
        }
        let zone = &self.zone;
        let workspace_quota = |key| AllocatableQuota {
            quota: quota(key),
            allocatable: zone.rate(now_ms, key, quota(key), size),
        };
        let grants = self
            .instances
            .on_report(now_ms, from, 0, &report.demands, workspace_quota);
        let is_unmet = |(grant, demand): (&Grant, &Demand)| grant.rate < demand.wanted;
        if grants.iter().zip(&report.demands).any(is_unmet) {
            self.pace.request_urgent();
        }
        ReportResponse {
            term: self.term,
            age_ms: self.zone.age_ms(now_ms).unwrap_or(0),
            grants,
            is_settled: self.zone.is_granted(now_ms) && self.instances.is_settled(now_ms, from),
        }
    }
}

impl LeadQuotas {
    /// Creates the state of a lead that has received no report.
    pub(super) fn new(now_ms: u64, term: u64) -> Self {
        Self {
            term,
            zones: QuotaAllocator::new(now_ms, ZONE_EXPIRY_MS, Level::Zone),
        }
    }

    /// Handles a report of a zone's home.
    pub(super) fn on_zone_report(
        &mut self,
        now_ms: u64,
        zone: &ZoneName,
        report: &UsageReport,
        quota: impl Fn(WorkspaceKey) -> Rate,
    ) -> ReportResponse {
        if report.term != Some(self.term) {
            self.zones.on_join(now_ms, zone);
        }
        let workspace_quota = |key| AllocatableQuota {
            quota: quota(key),
            allocatable: quota(key),
        };
        let grants =
            self.zones
                .on_report(now_ms, zone, report.cut, &report.demands, workspace_quota);
        ReportResponse {
            term: self.term,
            age_ms: 0,
            grants,
            is_settled: self.zones.is_settled(now_ms, zone),
        }
    }
}
