//! Sharing of workspace quotas among the instances.
//!
//! Each instance reports the demand for its active workspaces to the home of
//! their shard in its zone every [`REPORT_INTERVAL_MS`], and the home of a shard reports
//! the zone's demand to the home in the shard's lead zone. Answers are grants
//! that lapse. See [`share`](crate::share) and [`split`](crate::split) for what
//! a claimant may use and what a home may grant.

mod exchange;
mod home;

pub use self::exchange::{NotHome, Outgoing, QuotaView, Target};
use self::home::{HomeUsage, LeadUsage};
use crate::{
    bucket::Flow,
    ids::{Incarnation, InstanceName, WorkspaceName, ZoneName},
    limiter::{Admission, Limiter},
    quota::{Claimant, LEAST_ZONE_FLOOR, Level, Part, Rate, UsageGrant, UsageReport, WorkspaceKey},
    report_schedule::{REPORT_INTERVAL_MS, ReportSchedule},
    share::Share,
    topology::{SHARDS, Shard},
};

/// Quotas as one instance uses and divides them.
#[derive(Debug)]
pub struct Usage {
    me: InstanceName,
    zone: ZoneName,
    incarnation: Incarnation,
    terms: u64,
    view: QuotaView,
    whole: u32,
    limiter: Limiter,
    shards: Vec<ShardUsage>,
}

#[derive(Debug)]
struct ShardUsage {
    shard: Shard,
    pace: ReportSchedule,
    share: Share,
    home: Option<HomeUsage>,
}

impl Usage {
    /// Creates the quotas of an instance that has just started.
    pub fn new(now_ms: u64, me: InstanceName, zone: ZoneName, incarnation: Incarnation) -> Self {
        let shard = |shard: Shard| ShardUsage {
            shard,
            pace: ReportSchedule::new(now_ms, now_ms + first_ms(shard)),
            share: Share::starting(now_ms),
            home: None,
        };
        Self {
            me,
            zone,
            incarnation,
            terms: 0,
            view: QuotaView::default(),
            whole: 1,
            limiter: Limiter::default(),
            shards: Shard::all().map(shard).collect(),
        }
    }

    /// Replaces the quotas.
    pub fn set_quotas<'a>(&mut self, quotas: impl Iterator<Item = (&'a WorkspaceName, u32)>) {
        self.limiter.set_quotas(quotas);
    }

    /// Replaces who the instances are.
    pub fn set_view(&mut self, now_ms: u64, view: QuotaView) {
        if view == self.view {
            return;
        }
        self.whole = view.zones.values().sum::<u32>().max(1);
        self.view = view;
        for index in 0..self.shards.len() {
            self.renew_roles(now_ms, index);
        }
    }

    /// Decides whether a request of a workspace may run.
    pub fn admit(&mut self, now_ms: u64, workspace: &WorkspaceName) -> Admission {
        let Some(key) = self.limiter.key(workspace) else {
            return Admission::Unknown;
        };
        let flow = Flow {
            rate: self.rate(now_ms, key),
            safe: self.own_part().safe_share(self.limiter.quota(key)),
        };
        let admission = self.limiter.admit(now_ms, key, flow);
        if self.limiter.take_low() {
            self.shards[usize::from(key.shard().0)]
                .pace
                .request_urgent();
        }
        admission
    }

    /// Returns the rate that this instance may use for a workspace now.
    pub fn rate(&self, now_ms: u64, key: WorkspaceKey) -> Rate {
        let quota = self.limiter.quota(key);
        let share = &self.shards[usize::from(key.shard().0)].share;
        share.rate(now_ms, key, quota, self.own_part())
    }

    /// Returns the age of the oldest shard's knowledge of the use elsewhere, in
    /// ms; none when of some shard nothing is known.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let ages = self.shards.iter().map(|shard| shard.share.age_ms(now_ms));
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Returns how many shards have a grant that is valid.
    pub fn granted_shards(&self, now_ms: u64) -> usize {
        let shards = self.shards.iter();
        shards
            .filter(|shard| shard.share.is_granted(now_ms))
            .count()
    }

    /// Returns how many workspaces are active here.
    pub fn active(&self) -> usize {
        self.limiter.active()
    }

    /// Returns the reports that are due. Shards take turns within
    /// [`REPORT_INTERVAL_MS`].
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
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

    /// Answers a report of an instance of this zone, or of another zone's home.
    ///
    /// # Errors
    ///
    /// Names the shard's home when this instance is not it.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        report: &UsageReport,
    ) -> Result<UsageGrant, NotHome> {
        let index = usize::from(report.shard.0 % SHARDS);
        let not_home = || NotHome(self.view.homes.get(index).unwrap_or(&self.me).clone());
        let cut = self.cut(now_ms, index);
        let part = self.own_zone_part(cut);
        let Some(home) = &mut self.shards[index].home else {
            return Err(not_home());
        };
        let quota = |key| self.limiter.quota(key);
        let answer = match &report.claimant {
            Claimant::Instance => home.answer_instance(now_ms, from, report, part, quota),
            Claimant::Zone(zone) => {
                let lead = home.lead.as_mut().ok_or_else(not_home)?;
                lead.answer_zone(now_ms, zone, report, quota)
            }
        };
        Ok(UsageGrant {
            shard: report.shard,
            stamp_ms: report.stamp_ms,
            term: answer.term,
            age_ms: u32::try_from(answer.age_ms).unwrap_or(u32::MAX),
            grants: answer.grants,
            is_settled: answer.is_settled,
        })
    }

    /// Takes the answer to a report of `claimant`.
    pub fn on_grant(&mut self, now_ms: u64, claimant: &Claimant, grant: &UsageGrant) {
        let shard = &mut self.shards[usize::from(grant.shard.0 % SHARDS)];
        match claimant {
            Claimant::Instance => {
                if shard.share.on_grant(now_ms, grant) {
                    for grant in grant.grants.iter().filter(|grant| grant.made_up > 0) {
                        self.limiter.credit(grant.key, grant.made_up);
                    }
                }
            }
            Claimant::Zone(_) => {
                if let Some(home) = &mut shard.home {
                    home.zone.on_grant(now_ms, grant);
                }
            }
        }
    }

    fn own_part(&self) -> Part {
        Part {
            members: 1,
            cut: 0,
            whole: self.whole,
            level: Level::Instance,
        }
    }

    fn own_zone_part(&self, cut: u32) -> Part {
        Part {
            members: self.view.zones.get(&self.zone).copied().unwrap_or(1),
            cut,
            whole: self.whole,
            level: Level::Zone,
        }
    }

    /// Counts the instances of the zone that this home of a shard does not hear.
    fn cut(&self, now_ms: u64, index: usize) -> u32 {
        let home = self.shards[index].home.as_ref();
        home.map_or(0, |home| home.instances.unheard(now_ms))
    }

    fn renew_roles(&mut self, now_ms: u64, index: usize) {
        let is_home = self.view.homes.get(index) == Some(&self.me);
        let is_lead = is_home && self.view.leads.get(index) == Some(&self.zone);
        let terms = (self.next_term(), self.next_term());
        let shard = &mut self.shards[index];
        if !is_home {
            shard.home = None;
            return;
        }
        let home = shard
            .home
            .get_or_insert_with(|| HomeUsage::new(now_ms, terms.0));
        let members = self.view.members.iter().map(|name| (name.clone(), 1));
        home.instances.set_claimants(members, self.whole);
        if !is_lead {
            home.lead = None;
            return;
        }
        let lead = home
            .lead
            .get_or_insert_with(|| LeadUsage::new(now_ms, terms.1));
        let zones = self.view.zones.iter().map(|(zone, n)| (zone.clone(), *n));
        lead.zones.set_claimants(zones, self.whole);
    }

    fn next_term(&mut self) -> u64 {
        self.terms += 1;
        self.incarnation.0.rotate_left(17) ^ self.terms
    }

    fn report(&mut self, now_ms: u64, index: usize, elapsed_ms: u64, outgoing: &mut Vec<Outgoing>) {
        let part = self.own_part();
        let shard = &mut self.shards[index];
        let share = &shard.share;
        let flow_of = |key, quota| Flow {
            rate: share.rate(now_ms, key, quota, part),
            safe: part.safe_share(quota),
        };
        let demands = self
            .limiter
            .demands(now_ms, shard.shard, elapsed_ms, flow_of);
        shard.share.on_report(now_ms, &demands);
        let report = UsageReport {
            shard: shard.shard,
            claimant: Claimant::Instance,
            stamp_ms: now_ms,
            cut: 0,
            demands,
            term: shard.share.term(),
        };
        let me = self.me.clone();
        match self.on_report(now_ms, &me, &report) {
            Ok(grant) => self.on_grant(now_ms, &Claimant::Instance, &grant),
            Err(NotHome(home)) => outgoing.push(Outgoing {
                to: Target::Home(home),
                report,
            }),
        }
    }

    /// As the home of a shard, reports the zone's demand to the lead.
    fn report_zone(&mut self, now_ms: u64, index: usize, outgoing: &mut Vec<Outgoing>) {
        let Some(lead) = self.view.leads.get(index).cloned() else {
            return;
        };
        let cut = self.cut(now_ms, index);
        let part = self.own_zone_part(cut);
        let Some(home) = &mut self.shards[index].home else {
            return;
        };
        let quota = |key| self.limiter.quota(key);
        let mut demands = home.instances.demands(now_ms, quota);
        // The floor of a zone is all that it may have of a small quota.
        demands.retain(|demand| part.safe_share(quota(demand.key)) > LEAST_ZONE_FLOOR);
        for demand in &mut demands {
            let allowed = home.zone.rate(now_ms, demand.key, quota(demand.key), part);
            demand.held = demand.held.max(allowed);
        }
        home.zone.on_report(now_ms, &demands);
        let claimant = Claimant::Zone(self.zone.clone());
        let report = UsageReport {
            shard: Shard(index as u8),
            claimant: claimant.clone(),
            stamp_ms: now_ms,
            cut,
            demands,
            term: home.zone.term(),
        };
        let me = self.me.clone();
        match self.on_report(now_ms, &me, &report) {
            Ok(grant) => self.on_grant(now_ms, &claimant, &grant),
            Err(_) => outgoing.push(Outgoing {
                to: Target::Lead(lead),
                report,
            }),
        }
    }
}

/// Shards take turns within the time between two reports.
fn first_ms(shard: Shard) -> u64 {
    u64::from(shard.0) * REPORT_INTERVAL_MS / u64::from(SHARDS)
}
