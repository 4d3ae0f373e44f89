//! Sharing of workspace quotas among instances.
//!
//! Each instance reports the demand for its active workspaces to the home of
//! their shard in its zone every [`REPORT_INTERVAL_MS`], and the home of a shard reports
//! the zone's demand to the home in the shard's lead zone. Responses are grants
//! that expire. See [`share`](crate::share) for the rate that a claimant may use
//! and [`quota_allocator`](crate::quota_allocator) for the rates that a home may
//! grant.

mod exchange;
mod home;

pub use self::exchange::{NotHome, OutgoingReport, QuotaView, ReportTarget};
use self::home::{HomeQuotas, LeadQuotas};
use crate::{
    bucket::BucketRates,
    ids::{Incarnation, InstanceName, WorkspaceName, ZoneName},
    limiter::{Admission, Limiter},
    quota::{
        ClaimantSize, Level, MIN_ZONE_FLOOR, QuotaClaimant, Rate, UsageGrant, UsageReport,
        WorkspaceKey,
    },
    report_schedule::{REPORT_INTERVAL_MS, ReportSchedule},
    share::Share,
    topology::{SHARDS, Shard},
};

/// Quota sharing of one instance: the rates it uses and the quotas it allocates.
#[derive(Debug)]
pub struct Usage {
    own_name: InstanceName,
    zone: ZoneName,
    incarnation: Incarnation,
    last_term_number: u64,
    view: QuotaView,
    total_instances: u32,
    limiter: Limiter,
    shards: Vec<ShardUsage>,
}

#[derive(Debug)]
struct ShardUsage {
    shard: Shard,
    pace: ReportSchedule,
    share: Share,
    home: Option<HomeQuotas>,
}

impl Usage {
    /// Creates the state of an instance that has just started.
    pub fn new(
        now_ms: u64,
        own_name: InstanceName,
        zone: ZoneName,
        incarnation: Incarnation,
    ) -> Self {
        let shard = |shard: Shard| ShardUsage {
            shard,
            pace: ReportSchedule::new(now_ms, now_ms + first_report_delay_ms(shard)),
            share: Share::starting(now_ms),
            home: None,
        };
        Self {
            own_name,
            zone,
            incarnation,
            last_term_number: 0,
            view: QuotaView::default(),
            total_instances: 1,
            limiter: Limiter::default(),
            shards: Shard::all().map(shard).collect(),
        }
    }

    /// Replaces the quotas, in requests per second over the whole deployment.
    pub fn set_quotas<'a>(&mut self, quotas: impl Iterator<Item = (&'a WorkspaceName, u32)>) {
        self.limiter.set_quotas(quotas);
    }

    /// Replaces the instances that share the quotas.
    pub fn set_view(&mut self, now_ms: u64, view: QuotaView) {
        if view == self.view {
            return;
        }
        self.total_instances = view.zones.values().sum::<u32>().max(1);
        self.view = view;
        for index in 0..self.shards.len() {
            self.update_roles(now_ms, index);
        }
    }

    /// Decides whether a request of a workspace is admitted.
    pub fn admit(&mut self, now_ms: u64, workspace: &WorkspaceName) -> Admission {
        let Some(key) = self.limiter.key(workspace) else {
            return Admission::Unknown;
        };
        let bucket_rates = BucketRates {
            rate: self.rate(now_ms, key),
            safe: self.own_size().safe_share(self.limiter.quota(key)),
        };
        let admission = self.limiter.admit(now_ms, key, bucket_rates);
        if self.limiter.take_low() {
            self.shards[usize::from(key.shard().0)]
                .pace
                .request_urgent();
        }
        admission
    }

    /// Returns the rate that this instance may currently use for a workspace.
    pub fn rate(&self, now_ms: u64, key: WorkspaceKey) -> Rate {
        let quota = self.limiter.quota(key);
        let share = &self.shards[usize::from(key.shard().0)].share;
        share.rate(now_ms, key, quota, self.own_size())
    }

    /// Returns the age of the oldest information on other claimants among all shards,
    /// in ms. Returns `None` if there is none for some shard.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let ages_ms = self.shards.iter().map(|shard| shard.share.age_ms(now_ms));
        ages_ms.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Returns the number of shards with a valid grant.
    pub fn granted_shards(&self, now_ms: u64) -> usize {
        let shards = self.shards.iter();
        shards
            .filter(|shard| shard.share.is_granted(now_ms))
            .count()
    }

    /// Returns the number of workspaces that are active on this instance.
    pub fn active(&self) -> usize {
        self.limiter.active()
    }

    /// Returns the reports that are due. The reports of the shards are spread over
    /// [`REPORT_INTERVAL_MS`].
    pub fn tick(&mut self, now_ms: u64) -> Vec<OutgoingReport> {
        let mut outgoing = Vec::new();
        for index in 0..self.shards.len() {
            let home = self.shards[index].home.as_mut();
            if home.is_some_and(|home| home.pace.take_due(now_ms).is_some()) {
                self.report_zone(now_ms, index, &mut outgoing);
            }
            if let Some(elapsed_ms) = self.shards[index].pace.take_due(now_ms) {
                self.report(now_ms, index, elapsed_ms, &mut outgoing);
            }
        }
        outgoing
    }

    /// Handles a report of an instance of this zone or of a zone's home.
    ///
    /// # Errors
    ///
    /// Returns the shard's home if this instance is not the home.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        report: &UsageReport,
    ) -> Result<UsageGrant, NotHome> {
        let index = usize::from(report.shard.0 % SHARDS);
        let not_home = || NotHome(self.view.homes.get(index).unwrap_or(&self.own_name).clone());
        let unreachable = self.unreachable_instances(now_ms, index);
        let size = self.own_zone_size(unreachable);
        let Some(home) = &mut self.shards[index].home else {
            return Err(not_home());
        };
        let quota = |key| self.limiter.quota(key);
        let response = match &report.claimant {
            QuotaClaimant::Instance => home.on_instance_report(now_ms, from, report, size, quota),
            QuotaClaimant::Zone(zone) => {
                let lead = home.lead.as_mut().ok_or_else(not_home)?;
                lead.on_zone_report(now_ms, zone, report, quota)
            }
        };
        Ok(UsageGrant {
            shard: report.shard,
            stamp_ms: report.stamp_ms,
            term: response.term,
            age_ms: u32::try_from(response.age_ms).unwrap_or(u32::MAX),
            grants: response.grants,
            is_settled: response.is_settled,
        })
    }

    /// Handles the response to a report of `claimant`.
    pub fn on_grant(&mut self, now_ms: u64, claimant: &QuotaClaimant, grant: &UsageGrant) {
        let shard = &mut self.shards[usize::from(grant.shard.0 % SHARDS)];
        match claimant {
            QuotaClaimant::Instance => {
                if shard.share.on_grant(now_ms, grant) {
                    for grant in grant.grants.iter().filter(|grant| grant.made_up > 0) {
                        self.limiter.credit(grant.key, grant.made_up);
                    }
                }
            }
            QuotaClaimant::Zone(_) => {
                if let Some(home) = &mut shard.home {
                    home.zone.on_grant(now_ms, grant);
                }
            }
        }
    }

    fn own_size(&self) -> ClaimantSize {
        ClaimantSize {
            members: 1,
            unreachable_members: 0,
            total_members: self.total_instances,
            level: Level::Instance,
        }
    }

    fn own_zone_size(&self, unreachable: u32) -> ClaimantSize {
        ClaimantSize {
            members: self.view.zones.get(&self.zone).copied().unwrap_or(1),
            unreachable_members: unreachable,
            total_members: self.total_instances,
            level: Level::Zone,
        }
    }

    /// Returns the number of instances of the zone that do not reach this home of the
    /// shard.
    fn unreachable_instances(&self, now_ms: u64, index: usize) -> u32 {
        let home = self.shards[index].home.as_ref();
        home.map_or(0, |home| home.instances.silent_members(now_ms))
    }

    fn update_roles(&mut self, now_ms: u64, index: usize) {
        let is_home = self.view.homes.get(index) == Some(&self.own_name);
        let is_lead = is_home && self.view.leads.get(index) == Some(&self.zone);
        let terms = (self.allocate_term(), self.allocate_term());
        let shard = &mut self.shards[index];
        if !is_home {
            shard.home = None;
            return;
        }
        let home = shard
            .home
            .get_or_insert_with(|| HomeQuotas::new(now_ms, terms.0));
        let members = self.view.members.iter().map(|name| (name.clone(), 1));
        home.instances.set_claimants(members, self.total_instances);
        if !is_lead {
            home.lead = None;
            return;
        }
        let lead = home
            .lead
            .get_or_insert_with(|| LeadQuotas::new(now_ms, terms.1));
        let zones = self.view.zones.iter().map(|(zone, n)| (zone.clone(), *n));
        lead.zones.set_claimants(zones, self.total_instances);
    }

    fn allocate_term(&mut self) -> u64 {
        self.last_term_number += 1;
        self.incarnation.0.rotate_left(17) ^ self.last_term_number
    }

    fn report(
        &mut self,
        now_ms: u64,
        index: usize,
        elapsed_ms: u64,
        outgoing: &mut Vec<OutgoingReport>,
    ) {
        let size = self.own_size();
        let shard = &mut self.shards[index];
        let share = &shard.share;
        let rates_of = |key, quota| BucketRates {
            rate: share.rate(now_ms, key, quota, size),
            safe: size.safe_share(quota),
        };
        let demands = self
            .limiter
            .demands(now_ms, shard.shard, elapsed_ms, rates_of);
        shard.share.on_report(now_ms, &demands);
        let report = UsageReport {
            shard: shard.shard,
            claimant: QuotaClaimant::Instance,
            stamp_ms: now_ms,
            cut: 0,
            demands,
            term: shard.share.term(),
        };
        let own_name = self.own_name.clone();
        match self.on_report(now_ms, &own_name, &report) {
            Ok(grant) => self.on_grant(now_ms, &QuotaClaimant::Instance, &grant),
            Err(NotHome(home)) => outgoing.push(OutgoingReport {
                to: ReportTarget::Home(home),
                report,
            }),
        }
    }

    /// Reports the zone's demand to the lead, as the home of a shard.
    fn report_zone(&mut self, now_ms: u64, index: usize, outgoing: &mut Vec<OutgoingReport>) {
        let Some(lead) = self.view.leads.get(index).cloned() else {
            return;
        };
        let unreachable = self.unreachable_instances(now_ms, index);
        let size = self.own_zone_size(unreachable);
        let Some(home) = &mut self.shards[index].home else {
            return;
        };
        let quota = |key| self.limiter.quota(key);
        let mut demands = home.instances.demands(now_ms, quota);
        // For a small quota the zone's floor equals its safe share, so it needs no
        // grant.
        demands.retain(|demand| size.safe_share(quota(demand.key)) > MIN_ZONE_FLOOR);
        for demand in &mut demands {
            let allowed = home.zone.rate(now_ms, demand.key, quota(demand.key), size);
            demand.held = demand.held.max(allowed);
        }
        home.zone.on_report(now_ms, &demands);
        let claimant = QuotaClaimant::Zone(self.zone.clone());
        let report = UsageReport {
            shard: Shard(index as u8),
            claimant: claimant.clone(),
            stamp_ms: now_ms,
            cut: unreachable,
            demands,
            term: home.zone.term(),
        };
        let own_name = self.own_name.clone();
        match self.on_report(now_ms, &own_name, &report) {
            Ok(grant) => self.on_grant(now_ms, &claimant, &grant),
            Err(_) => outgoing.push(OutgoingReport {
                to: ReportTarget::Lead(lead),
                report,
            }),
        }
    }
}

/// Returns the delay of a shard's first report, which spreads the reports of all
/// shards over the time between two reports, in ms.
fn first_report_delay_ms(shard: Shard) -> u64 {
    u64::from(shard.0) * REPORT_INTERVAL_MS / u64::from(SHARDS)
}
