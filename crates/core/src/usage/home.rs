//! How the home of a shard divides quotas.

use crate::{
    ids::{InstanceName, ZoneName},
    quota::{Demand, GRANT_MS, Grant, Level, Part, Rate, UsageReport, WorkspaceKey},
    report_schedule::ReportSchedule,
    share::Share,
    split::{Divided, Split},
};

/// Time after which a zone's home counts an instance with its safe share, in ms.
const INSTANCE_LAPSE_MS: u64 = GRANT_MS;
/// Time after which the lead counts a zone with its safe share, in ms; what the
/// zone's home granted holds on for [`GRANT_MS`] after its own grant.
const ZONE_LAPSE_MS: u64 = 2 * GRANT_MS;

/// Quotas of one shard as its home in this zone divides them.
#[derive(Debug)]
pub(super) struct HomeUsage {
    /// Time as home, told from earlier ones.
    pub(super) term: u64,
    /// Pace of the zone's reports to the lead.
    pub(super) pace: ReportSchedule,
    /// What the instances of the zone want and hold.
    pub(super) instances: Split<InstanceName>,
    /// What the lead granted to the zone.
    pub(super) zone: Share,
    /// What it divides among zones, when this is the lead zone.
    pub(super) lead: Option<LeadUsage>,
}

/// Quotas of one shard as the home in its lead zone divides them.
#[derive(Debug)]
pub(super) struct LeadUsage {
    /// Time as home, told from earlier ones.
    pub(super) term: u64,
    /// What the zones want and hold.
    pub(super) zones: Split<ZoneName>,
}

/// What a home answers to one report.
#[derive(Debug)]
pub(super) struct Answer {
    /// Time as home that the grants belong to.
    pub(super) term: u64,
    /// Age of what is known of the use elsewhere, in ms.
    pub(super) age_ms: u64,
    /// Grants, in the order of the report's demands.
    pub(super) grants: Vec<Grant>,
    /// Whether it is known what all others hold.
    pub(super) is_settled: bool,
}

impl HomeUsage {
    /// Creates the quotas of a home that has heard nobody.
    pub(super) fn new(now_ms: u64, term: u64) -> Self {
        Self {
            term,
            pace: ReportSchedule::new(now_ms, now_ms),
            instances: Split::new(now_ms, INSTANCE_LAPSE_MS, Level::Instance),
            zone: Share::default(),
            lead: None,
        }
    }

    /// Answers a report of an instance of this zone. A demand that is not met
    /// urges the next report to the lead.
    pub(super) fn answer_instance(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        report: &UsageReport,
        part: Part,
        quota: impl Fn(WorkspaceKey) -> Rate,
    ) -> Answer {
        if report.term != Some(self.term) {
            self.instances.on_join(now_ms, from);
        }
        let zone = &self.zone;
        let divided = |key| Divided {
            quota: quota(key),
            total: zone.rate(now_ms, key, quota(key), part),
        };
        let grants = self
            .instances
            .on_report(now_ms, from, 0, &report.demands, divided);
        let is_short = |(grant, demand): (&Grant, &Demand)| grant.rate < demand.wanted;
        if grants.iter().zip(&report.demands).any(is_short) {
            self.pace.request_urgent();
        }
        Answer {
            term: self.term,
            age_ms: self.zone.age_ms(now_ms).unwrap_or(0),
            grants,
            is_settled: self.zone.is_granted(now_ms) && self.instances.is_settled(now_ms, from),
        }
    }
}

impl LeadUsage {
    /// Creates the quotas of a lead that has heard no zone.
    pub(super) fn new(now_ms: u64, term: u64) -> Self {
        Self {
            term,
            zones: Split::new(now_ms, ZONE_LAPSE_MS, Level::Zone),
        }
    }

    /// Answers a report of a zone's home.
    pub(super) fn answer_zone(
        &mut self,
        now_ms: u64,
        zone: &ZoneName,
        report: &UsageReport,
        quota: impl Fn(WorkspaceKey) -> Rate,
    ) -> Answer {
        if report.term != Some(self.term) {
            self.zones.on_join(now_ms, zone);
        }
        let divided = |key| Divided {
            quota: quota(key),
            total: quota(key),
        };
        let grants = self
            .zones
            .on_report(now_ms, zone, report.cut, &report.demands, divided);
        Answer {
            term: self.term,
            age_ms: 0,
            grants,
            is_settled: self.zones.is_settled(now_ms, zone),
        }
    }
}
