//! Allocation of a shard's quotas by its home: the demand of each claimant, the
//! rate it may hold, and its grants.
//!
//! For each workspace, the rates that the claimants may hold add up to at most the
//! allocatable quota: a grant is at most that quota minus the rates that all other
//! claimants may hold. A claimant with a recent report may hold the rate that it
//! reported or was granted since, and at least its floor. Any other claimant may
//! hold its safe share.

use std::{
    collections::{BTreeMap, HashMap},
    hash::Hash,
};

use crate::{
    bucket::{BucketRates, TokenBucket},
    quota::{ClaimantSize, Demand, Grant, Level, Rate, WorkspaceKey},
};

/// Divisor of the unrequested rate that gives the part granted in excess of demand.
/// The rest stays free for new demand, which would otherwise have to wait until
/// claimants return it.
const SPARE_DIVISOR: u64 = 4;
/// Maximum time for which a report is in transit, in ms. The sender has timed out by
/// then.
const MAX_TRANSIT_MS: u64 = 1_000;

/// Claimants of a shard's quotas and their demands.
#[derive(Clone, Debug)]
pub struct QuotaAllocator<C> {
    since_ms: u64,
    expiry_ms: u64,
    level: Level,
    total_instances: u32,
    claimants: BTreeMap<C, ClaimantState>,
    demands: HashMap<WorkspaceKey, Vec<ClaimantDemand<C>>>,
    reserves: HashMap<WorkspaceKey, Reserve>,
    earlier_grants: HashMap<WorkspaceKey, Vec<EarlierGrant<C>>>,
}

/// Unallocated rate of a workspace, accumulated to grant tokens for single
/// requests.
#[derive(Clone, Copy, Debug)]
struct Reserve {
    bucket: TokenBucket,
    rate: Rate,
    /// Tokens requested since the last [`take_requested_rate`](Self::take_requested_rate), in
    /// thousandths of a request.
    requested_milli: u64,
    requested_rate: Rate,
}

#[derive(Clone, Debug, Default)]
struct ClaimantState {
    members: u32,
    unreachable_members: u32,
    last_report_ms: Option<u64>,
    /// Time at which the claimant switched to this home, in ms.
    joined_ms: Option<u64>,
    keys: Vec<WorkspaceKey>,
}

#[derive(Clone, Debug)]
struct ClaimantDemand<C> {
    claimant: C,
    wanted: Rate,
    held: Rate,
}

/// Rate that a claimant held when it switched to this home again.
#[derive(Clone, Debug)]
struct EarlierGrant<C> {
    claimant: C,
    held: Rate,
    until_ms: u64,
}

/// Quota of one workspace and the part of it that can be allocated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocatableQuota {
    /// Quota of the whole deployment, from which safe shares are computed.
    pub quota: Rate,
    /// Part of the quota that this home may allocate.
    pub allocatable: Rate,
}

impl<C: Clone + Ord + Hash> QuotaAllocator<C> {
    /// Creates an allocator without claimants. The grants of an earlier home are not
    /// known, so no claimant gets more than it holds until all have reported the
    /// rates they hold or those grants have expired. A claimant without a report for
    /// `expiry_ms` counts with its safe share.
    pub fn new(now_ms: u64, expiry_ms: u64, level: Level) -> Self {
        Self {
            since_ms: now_ms,
            expiry_ms,
            level,
            total_instances: 0,
            claimants: BTreeMap::new(),
            demands: HashMap::new(),
            reserves: HashMap::new(),
            earlier_grants: HashMap::new(),
        }
    }

    /// Sets the claimants, each with its number of instances, and the number of
    /// instances of the whole deployment.
    pub fn set_claimants(
        &mut self,
        claimants: impl Iterator<Item = (C, u32)>,
        total_instances: u32,
    ) {
        self.total_instances = total_instances;
        let mut previous = std::mem::take(&mut self.claimants);
        for (name, members) in claimants {
            let mut claimant = previous.remove(&name).unwrap_or_default();
            claimant.members = members;
            self.claimants.insert(name, claimant);
        }
        for (name, removed) in previous {
            self.remove_demands(&name, &removed.keys);
        }
    }

    /// Notes that a claimant switches to this home with its next report. Another
    /// home may have sent it grants until then.
    pub fn on_join(&mut self, now_ms: u64, from: &C) {
        let claimant = self.claimants.entry(from.clone()).or_default();
        claimant.joined_ms = Some(now_ms);
    }

    /// Returns whether the rates held by all other claimants are known, because each
    /// has reported after `from` switched to this home.
    pub fn is_settled(&self, now_ms: u64, from: &C) -> bool {
        let joined_ms = self.claimants.get(from).and_then(|c| c.joined_ms);
        let all_reported = |joined_ms| self.all_reported_since(joined_ms, Some(from));
        self.is_earlier_known(now_ms) && joined_ms.is_some_and(all_reported)
    }

    /// Returns whether all grants of an earlier home are known or have expired. An
    /// instance that knows no other instance may not have discovered them yet.
    fn is_earlier_known(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + self.expiry_ms
            || (self.total_instances > 1 && self.all_reported_since(self.since_ms, None))
    }

    /// Returns whether each claimant other than `except` has, after `from_ms`, sent a
    /// report with the rates it holds.
    fn all_reported_since(&self, from_ms: u64, except: Option<&C>) -> bool {
        let has_reported = |last_report_ms| last_report_ms >= from_ms + MAX_TRANSIT_MS;
        let mut others = self.claimants.iter().filter(|(c, _)| Some(*c) != except);
        others.all(|(_, claimant)| {
            claimant.unreachable_members == 0 && claimant.last_report_ms.is_some_and(has_reported)
        })
    }

    /// Handles a report and returns the grants for its demands.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        from: &C,
        unreachable_members: u32,
        demands: &[Demand],
        workspace_quota: impl Fn(WorkspaceKey) -> AllocatableQuota,
    ) -> Vec<Grant> {
        let claimant = self.claimants.entry(from.clone()).or_default();
        claimant.last_report_ms = Some(now_ms);
        let has_joined = claimant.joined_ms == Some(now_ms);
        claimant.unreachable_members = unreachable_members;
        let keys = demands.iter().map(|demand| demand.key).collect();
        let old_keys = std::mem::replace(&mut claimant.keys, keys);
        if has_joined {
            self.retain_earlier(now_ms, from, &old_keys);
        }
        self.remove_demands(from, &old_keys);
        let grant = |demand: &Demand| {
            let workspace_quota = workspace_quota(demand.key);
            Grant {
                key: demand.key,
                rate: self.grant(now_ms, from, demand, workspace_quota),
                made_up: self.grant_tokens(now_ms, demand, workspace_quota),
            }
        };
        demands.iter().map(grant).collect()
    }

    /// Removes full reserves, because a new reserve starts full.
    fn remove_full_reserves(&mut self, now_ms: u64) {
        self.reserves.retain(|_, reserve| {
            let bucket_rates = reserve.bucket_rates();
            reserve.bucket.refill(now_ms, bucket_rates);
            reserve.bucket.missing_milli(bucket_rates) > 0 || reserve.requested_milli > 0
        });
    }

    /// Grants tokens for single requests from the unallocated rate, in thousandths of
    /// a request.
    fn grant_tokens(
        &mut self,
        now_ms: u64,
        demand: &Demand,
        workspace_quota: AllocatableQuota,
    ) -> u32 {
        if demand.missing == 0 || now_ms < self.since_ms + self.expiry_ms {
            return 0;
        }
        let AllocatableQuota { quota, allocatable } = workspace_quota;
        let rate = allocatable.saturating_sub(self.held(now_ms, demand.key, quota, None));
        let reserve = self.reserves.entry(demand.key).or_insert_with(|| Reserve {
            bucket: TokenBucket::new(now_ms, BucketRates { rate, safe: rate }),
            rate,
            requested_milli: 0,
            requested_rate: Rate::default(),
        });
        reserve.requested_milli += u64::from(demand.missing);
        // The rate may have been lower at any time since the last refill.
        reserve.rate = reserve.rate.min(rate);
        reserve.bucket.refill(now_ms, reserve.bucket_rates());
        reserve.rate = rate;
        reserve.bucket.take_up_to_milli(demand.missing)
    }

    /// Returns the workspaces with demand, each with the total requested rate and the
    /// total rate that the claimants may hold.
    pub fn demands(&mut self, now_ms: u64, quota: impl Fn(WorkspaceKey) -> Rate) -> Vec<Demand> {
        self.remove_full_reserves(now_ms);
        let mut wanted: HashMap<WorkspaceKey, Rate> = HashMap::new();
        for (key, claimant_demands) in &self.demands {
            let sum = claimant_demands
                .iter()
                .fold(Rate::default(), |sum, demand| {
                    sum.saturating_add(demand.wanted)
                });
            wanted.insert(*key, sum);
        }
        for (key, reserve) in &mut self.reserves {
            let entry = wanted.entry(*key).or_default();
            *entry = entry.saturating_add(reserve.take_requested_rate());
        }
        let demand = |(key, wanted)| Demand {
            key,
            wanted,
            held: self.held(now_ms, key, quota(key), None),
            missing: 0,
        };
        wanted.into_iter().map(demand).collect()
    }

    fn grant(
        &mut self,
        now_ms: u64,
        from: &C,
        demand: &Demand,
        workspace_quota: AllocatableQuota,
    ) -> Rate {
        let AllocatableQuota { quota, allocatable } = workspace_quota;
        let size = self.size(from);
        let floor = size.floor(quota);
        if demand.wanted == Rate::default() && demand.held <= floor {
            return floor;
        }
        let others = self.held(now_ms, demand.key, quota, Some(from));
        self.demands
            .entry(demand.key)
            .or_default()
            .push(ClaimantDemand {
                claimant: from.clone(),
                wanted: demand.wanted,
                held: demand.held,
            });
        let mut rate = self.fair_rate(now_ms, from, demand.key, workspace_quota);
        if !self.is_earlier_known(now_ms) {
            rate = rate.min(demand.held);
        }
        let rate = rate.min(allocatable.saturating_sub(others)).max(floor);
        let claimant_demands = self.demands.entry(demand.key).or_default();
        if let Some(claimant_demand) = claimant_demands.last_mut() {
            claimant_demand.held = demand.held.max(rate);
        }
        rate
    }

    fn size(&self, claimant: &C) -> ClaimantSize {
        let state = self.claimants.get(claimant);
        self.size_of_state(state.unwrap_or(&ClaimantState::default()))
    }

    fn has_recent_report(&self, now_ms: u64, claimant: &ClaimantState) -> bool {
        claimant
            .last_report_ms
            .is_some_and(|last_report_ms| now_ms < last_report_ms + self.expiry_ms)
    }

    /// Returns the sum of the rates that the claimants other than `except` may hold.
    fn held(&self, now_ms: u64, key: WorkspaceKey, quota: Rate, except: Option<&C>) -> Rate {
        let claimant_demands = self.demands.get(&key).map_or(&[][..], Vec::as_slice);
        let mut sum = self.sum_of_floors(now_ms, quota, except);
        for claimant_demand in claimant_demands
            .iter()
            .filter(|claimant_demand| Some(&claimant_demand.claimant) != except)
        {
            let Some(claimant) = self.claimants.get(&claimant_demand.claimant) else {
                continue;
            };
            if self.has_recent_report(now_ms, claimant) {
                let floor = self.size(&claimant_demand.claimant).floor(quota);
                sum = sum.saturating_add(claimant_demand.held.saturating_sub(floor));
            }
        }
        sum.saturating_add(self.held_earlier(now_ms, key, quota, except))
    }

    /// Returns the number of instances of claimants without a recent report.
    pub fn silent_members(&self, now_ms: u64) -> u32 {
        let claimants = self.claimants.values();
        let silent_members = claimants.filter(|claimant| !self.has_recent_report(now_ms, claimant));
        silent_members.map(|claimant| claimant.members).sum()
    }

    /// Returns the sum of the floors of the claimants with a recent report and the
    /// safe shares of the others, without `except`.
    fn sum_of_floors(&self, now_ms: u64, quota: Rate, except: Option<&C>) -> Rate {
        let mut sum = Rate::default();
        for (name, claimant) in &self.claimants {
            if Some(name) == except {
                continue;
            }
            let size = self.size_of_state(claimant);
            sum = sum.saturating_add(match self.has_recent_report(now_ms, claimant) {
                true => size.floor(quota),
                false => size.safe_share(quota),
            });
        }
        sum
    }

    fn size_of_state(&self, claimant: &ClaimantState) -> ClaimantSize {
        ClaimantSize {
            members: claimant.members,
            unreachable_members: claimant.unreachable_members,
            total_members: self.total_instances,
            level: self.level,
        }
    }

    /// Returns the fair rate of one claimant: its floor and a part of the rate left by
    /// all floors. If the demand can be met, each claimant gets its demand and a part
    /// of the rest. Otherwise the rest is divided equally, up to the demand of each.
    fn fair_rate(
        &self,
        now_ms: u64,
        from: &C,
        key: WorkspaceKey,
        workspace_quota: AllocatableQuota,
    ) -> Rate {
        let AllocatableQuota { quota, allocatable } = workspace_quota;
        let pool = allocatable.saturating_sub(self.sum_of_floors(now_ms, quota, None));
        let mut excesses: Vec<(u64, u32)> = Vec::new();
        let mut mine = (0, 1);
        for claimant_demand in self.demands.get(&key).map_or(&[][..], Vec::as_slice) {
            let claimant = self.claimants.get(&claimant_demand.claimant);
            if !claimant.is_some_and(|claimant| self.has_recent_report(now_ms, claimant)) {
                continue;
            }
            let size = self.size(&claimant_demand.claimant);
            let weight = size.members.max(1);
            let excess = claimant_demand.wanted.saturating_sub(size.floor(quota)).0;
            excesses.push((excess, weight));
            if claimant_demand.claimant == *from {
                mine = (excess, weight);
            }
        }
        let floor = self.size(from).floor(quota);
        floor.saturating_add(Rate(max_min_share(pool.0, &mut excesses, mine)))
    }

    /// Continues to count the rates that a claimant held before it switched to this
    /// home again, because a new home of a zone does not know the grants of the old
    /// one.
    fn retain_earlier(&mut self, now_ms: u64, from: &C, keys: &[WorkspaceKey]) {
        self.earlier_grants.retain(|_, grants| {
            grants.retain(|grant| now_ms < grant.until_ms);
            !grants.is_empty()
        });
        let until_ms = now_ms + self.expiry_ms;
        for key in keys {
            let claimant_demands = self.demands.get(key).map_or(&[][..], Vec::as_slice);
            if let Some(claimant_demand) = claimant_demands
                .iter()
                .find(|claimant_demand| claimant_demand.claimant == *from)
            {
                self.earlier_grants
                    .entry(*key)
                    .or_default()
                    .push(EarlierGrant {
                        claimant: from.clone(),
                        held: claimant_demand.held,
                        until_ms,
                    });
            }
        }
    }

    /// Returns the sum of the rates that the claimants other than `except` may still
    /// hold by earlier grants, beyond the rates they have reported since.
    fn held_earlier(
        &self,
        now_ms: u64,
        key: WorkspaceKey,
        quota: Rate,
        except: Option<&C>,
    ) -> Rate {
        let claimant_demands = self.demands.get(&key).map_or(&[][..], Vec::as_slice);
        let grants = self.earlier_grants.get(&key).map_or(&[][..], Vec::as_slice);
        let others = grants
            .iter()
            .filter(|grant| now_ms < grant.until_ms && Some(&grant.claimant) != except);
        others.fold(Rate::default(), |sum, grant| {
            let claimant_demand = claimant_demands
                .iter()
                .find(|claimant_demand| claimant_demand.claimant == grant.claimant);
            let counted = claimant_demand
                .map_or(self.size(&grant.claimant).floor(quota), |claimant_demand| {
                    claimant_demand.held
                });
            sum.saturating_add(grant.held.saturating_sub(counted))
        })
    }

    fn remove_demands(&mut self, claimant: &C, keys: &[WorkspaceKey]) {
        for key in keys {
            if let Some(claimant_demands) = self.demands.get_mut(key) {
                claimant_demands.retain(|claimant_demand| claimant_demand.claimant != *claimant);
                if claimant_demands.is_empty() {
                    self.demands.remove(key);
                }
            }
        }
    }
}

impl Reserve {
    /// Returns the rate of the tokens requested in the second since the last call,
    /// with headroom and decay.
    fn take_requested_rate(&mut self) -> Rate {
        let requested = Rate(std::mem::take(&mut self.requested_milli) * 1_000);
        self.requested_rate = requested
            .saturating_add(requested.fraction(1, 4))
            .max(self.requested_rate.fraction(1, 2));
        self.requested_rate
    }

    fn bucket_rates(&self) -> BucketRates {
        BucketRates {
            rate: self.rate,
            safe: self.rate,
        }
    }
}

/// Divides `pool` among weighted demands by max-min fairness. Returns the share of
/// `mine`, including its part of the unrequested rate that is not left for new
/// demand.
fn max_min_share(pool: u64, claimant_demands: &mut [(u64, u32)], mine: (u64, u32)) -> u64 {
    let weights: u64 = claimant_demands
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    let sum: u128 = claimant_demands
        .iter()
        .map(|(excess, _)| u128::from(*excess))
        .sum();
    let (my_excess, my_weight) = (mine.0, u64::from(mine.1));
    if sum <= u128::from(pool) {
        let spare_rate = pool - sum as u64;
        return my_excess + spare_rate / SPARE_DIVISOR / weights.max(1) * my_weight;
    }
    claimant_demands.sort_unstable_by_key(|(excess, weight)| excess / u64::from((*weight).max(1)));
    let (mut remaining, mut remaining_weight) = (pool, weights);
    for (excess, weight) in claimant_demands {
        let level = remaining / remaining_weight.max(1);
        if *excess > level * u64::from(*weight) {
            return my_excess.min(level * my_weight);
        }
        remaining -= *excess;
        remaining_weight -= u64::from(*weight);
    }
    my_excess
}
