//! A home's side of a shard's quotas: what each claimant wants and may hold, and
//! what it is granted.
//!
//! For each workspace, what the claimants may hold adds up to no more than the
//! quota to divide: a grant is at most the quota less what all others may hold.
//! One that reported lately may hold what it said or was granted since, and at
//! least its floor; one that did not may hold its safe share.

use std::{
    collections::{BTreeMap, HashMap},
    hash::Hash,
};

use crate::{
    bucket::{BucketRates, TokenBucket},
    quota::{ClaimantSize, Demand, Grant, Level, Rate, WorkspaceKey},
};

/// Part of what nobody wants that is granted on top; the rest is left for new
/// demand, which would have to wait until it is given back.
const SPARE_PARTS: u64 = 4;
/// Longest time for which a report is on its way, in ms; its sender has given it
/// up by then.
const TRANSIT_MS: u64 = 1_000;

/// Claimants of a shard's quotas and what they want.
#[derive(Clone, Debug)]
pub struct QuotaAllocator<C> {
    since_ms: u64,
    lapse_ms: u64,
    level: Level,
    whole: u32,
    claimants: BTreeMap<C, Claimant>,
    wants: HashMap<WorkspaceKey, Vec<Want<C>>>,
    reserves: HashMap<WorkspaceKey, Reserve>,
    earlier: HashMap<WorkspaceKey, Vec<Earlier<C>>>,
}

/// What is held by nobody, saved up to make up for single requests.
#[derive(Clone, Copy, Debug)]
struct Reserve {
    bucket: TokenBucket,
    rate: Rate,
    /// Requests asked for since the last look, in thousandths.
    asked_milli: u64,
    wanted: Rate,
}

#[derive(Clone, Debug, Default)]
struct Claimant {
    members: u32,
    cut: u32,
    heard_ms: Option<u64>,
    /// When it turned to this home, in ms.
    joined_ms: Option<u64>,
    keys: Vec<WorkspaceKey>,
}

#[derive(Clone, Debug)]
struct Want<C> {
    claimant: C,
    wanted: Rate,
    held: Rate,
}

/// What a claimant held when it turned to a home anew.
#[derive(Clone, Debug)]
struct Earlier<C> {
    claimant: C,
    held: Rate,
    until_ms: u64,
}

/// What is to be divided for one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocatableQuota {
    /// Quota over the whole deployment, by which safe shares are counted.
    pub quota: Rate,
    /// Part of it that this home may divide.
    pub total: Rate,
}

impl<C: Clone + Ord + Hash> QuotaAllocator<C> {
    /// Begins to divide. What an earlier home granted is not known, so nobody gets
    /// more than it holds until all have said what that is, or it has lapsed. A claimant that was not heard of for `lapse_ms` counts
    /// with its safe share.
    pub fn new(now_ms: u64, lapse_ms: u64, level: Level) -> Self {
        Self {
            since_ms: now_ms,
            lapse_ms,
            level,
            whole: 0,
            claimants: BTreeMap::new(),
            wants: HashMap::new(),
            reserves: HashMap::new(),
            earlier: HashMap::new(),
        }
    }

    /// Sets who the claimants are, each with its number of instances, and the
    /// number of instances of the whole deployment.
    pub fn set_claimants(&mut self, claimants: impl Iterator<Item = (C, u32)>, whole: u32) {
        self.whole = whole;
        let mut old = std::mem::take(&mut self.claimants);
        for (name, members) in claimants {
            let mut claimant = old.remove(&name).unwrap_or_default();
            claimant.members = members;
            self.claimants.insert(name, claimant);
        }
        for (name, gone) in old {
            self.drop_wants(&name, &gone.keys);
        }
    }

    /// Notes that a claimant turns to this home with its next report; until then
    /// another one may have granted to it.
    pub fn on_join(&mut self, now_ms: u64, from: &C) {
        let claimant = self.claimants.entry(from.clone()).or_default();
        claimant.joined_ms = Some(now_ms);
    }

    /// Tells whether it is known what all others hold: each has said so after
    /// `from` turned to this home.
    pub fn is_settled(&self, now_ms: u64, from: &C) -> bool {
        let joined_ms = self.claimants.get(from).and_then(|c| c.joined_ms);
        let has_heard = |joined_ms| self.has_heard_all(joined_ms, Some(from));
        self.is_known(now_ms) && joined_ms.is_some_and(has_heard)
    }

    /// Tells whether all that an earlier home granted is known or has lapsed. An
    /// instance that knows of no other may not have learnt of them yet.
    fn is_known(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + self.lapse_ms
            || (self.whole > 1 && self.has_heard_all(self.since_ms, None))
    }

    /// Tells whether each claimant, `except` one, has said what it holds in a
    /// report sent after `from_ms`.
    fn has_heard_all(&self, from_ms: u64, except: Option<&C>) -> bool {
        let has_said = |heard_ms| heard_ms >= from_ms + TRANSIT_MS;
        let mut others = self.claimants.iter().filter(|(c, _)| Some(*c) != except);
        others.all(|(_, claimant)| claimant.cut == 0 && claimant.heard_ms.is_some_and(has_said))
    }

    /// Takes a report and grants what can be granted now.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        from: &C,
        cut: u32,
        demands: &[Demand],
        divided: impl Fn(WorkspaceKey) -> AllocatableQuota,
    ) -> Vec<Grant> {
        let claimant = self.claimants.entry(from.clone()).or_default();
        claimant.heard_ms = Some(now_ms);
        let has_joined = claimant.joined_ms == Some(now_ms);
        claimant.cut = cut;
        let keys = demands.iter().map(|demand| demand.key).collect();
        let before = std::mem::replace(&mut claimant.keys, keys);
        if has_joined {
            self.keep_earlier(now_ms, from, &before);
        }
        self.drop_wants(from, &before);
        let grant = |demand: &Demand| {
            let divided = divided(demand.key);
            Grant {
                key: demand.key,
                rate: self.grant(now_ms, from, demand, divided),
                made_up: self.make_up(now_ms, demand, divided),
            }
        };
        demands.iter().map(grant).collect()
    }

    /// Forgets reserves that are full, which a new one would be as well.
    fn forget_full(&mut self, now_ms: u64) {
        self.reserves.retain(|_, reserve| {
            let flow = reserve.flow();
            reserve.bucket.refill(now_ms, flow);
            reserve.bucket.missing_milli(flow) > 0 || reserve.asked_milli > 0
        });
    }

    /// Makes up for single requests out of what nobody holds.
    fn make_up(&mut self, now_ms: u64, demand: &Demand, divided: AllocatableQuota) -> u32 {
        if demand.missing == 0 || now_ms < self.since_ms + self.lapse_ms {
            return 0;
        }
        let AllocatableQuota { quota, total } = divided;
        let rate = total.saturating_sub(self.held(now_ms, demand.key, quota, None));
        let reserve = self.reserves.entry(demand.key).or_insert_with(|| Reserve {
            bucket: TokenBucket::new(now_ms, BucketRates { rate, safe: rate }),
            rate,
            asked_milli: 0,
            wanted: Rate::default(),
        });
        reserve.asked_milli += u64::from(demand.missing);
        // It may have been less at any time since it was filled last.
        reserve.rate = reserve.rate.min(rate);
        reserve.bucket.refill(now_ms, reserve.flow());
        reserve.rate = rate;
        reserve.bucket.take_up_to_milli(demand.missing)
    }

    /// Returns the workspaces that anyone wants, each with what is wanted and what
    /// may be held by all.
    pub fn demands(&mut self, now_ms: u64, quota: impl Fn(WorkspaceKey) -> Rate) -> Vec<Demand> {
        self.forget_full(now_ms);
        let mut wanted: HashMap<WorkspaceKey, Rate> = HashMap::new();
        for (key, wants) in &self.wants {
            let sum = wants
                .iter()
                .fold(Rate::default(), |sum, w| sum.saturating_add(w.wanted));
            wanted.insert(*key, sum);
        }
        for (key, reserve) in &mut self.reserves {
            let entry = wanted.entry(*key).or_default();
            *entry = entry.saturating_add(reserve.take_wanted());
        }
        let demand = |(key, wanted)| Demand {
            key,
            wanted,
            held: self.held(now_ms, key, quota(key), None),
            missing: 0,
        };
        wanted.into_iter().map(demand).collect()
    }

    fn grant(&mut self, now_ms: u64, from: &C, demand: &Demand, divided: AllocatableQuota) -> Rate {
        let AllocatableQuota { quota, total } = divided;
        let part = self.part(from);
        let floor = part.floor(quota);
        if demand.wanted == Rate::default() && demand.held <= floor {
            return floor;
        }
        let others = self.held(now_ms, demand.key, quota, Some(from));
        self.wants.entry(demand.key).or_default().push(Want {
            claimant: from.clone(),
            wanted: demand.wanted,
            held: demand.held,
        });
        let mut rate = self.fair(now_ms, from, demand.key, divided);
        if !self.is_known(now_ms) {
            rate = rate.min(demand.held);
        }
        let rate = rate.min(total.saturating_sub(others)).max(floor);
        let wants = self.wants.entry(demand.key).or_default();
        if let Some(want) = wants.last_mut() {
            want.held = demand.held.max(rate);
        }
        rate
    }

    fn part(&self, claimant: &C) -> ClaimantSize {
        let known = self.claimants.get(claimant);
        self.part_of(known.unwrap_or(&Claimant::default()))
    }

    fn is_heard(&self, now_ms: u64, claimant: &Claimant) -> bool {
        claimant
            .heard_ms
            .is_some_and(|heard_ms| now_ms < heard_ms + self.lapse_ms)
    }

    /// Adds up what the claimants may hold, `except` one.
    fn held(&self, now_ms: u64, key: WorkspaceKey, quota: Rate, except: Option<&C>) -> Rate {
        let wants = self.wants.get(&key).map_or(&[][..], Vec::as_slice);
        let mut sum = self.floors(now_ms, quota, except);
        for want in wants.iter().filter(|want| Some(&want.claimant) != except) {
            let Some(claimant) = self.claimants.get(&want.claimant) else {
                continue;
            };
            if self.is_heard(now_ms, claimant) {
                let floor = self.part(&want.claimant).floor(quota);
                sum = sum.saturating_add(want.held.saturating_sub(floor));
            }
        }
        sum.saturating_add(self.held_earlier(now_ms, key, quota, except))
    }

    /// Returns how many instances were not heard of lately.
    pub fn unheard(&self, now_ms: u64) -> u32 {
        let claimants = self.claimants.values();
        let unheard = claimants.filter(|claimant| !self.is_heard(now_ms, claimant));
        unheard.map(|claimant| claimant.members).sum()
    }

    /// Adds up the floors of the claimants that were heard of and the safe shares
    /// of those that were not, `except` one.
    fn floors(&self, now_ms: u64, quota: Rate, except: Option<&C>) -> Rate {
        let mut sum = Rate::default();
        for (name, claimant) in &self.claimants {
            if Some(name) == except {
                continue;
            }
            let part = self.part_of(claimant);
            sum = sum.saturating_add(match self.is_heard(now_ms, claimant) {
                true => part.floor(quota),
                false => part.safe_share(quota),
            });
        }
        sum
    }

    fn part_of(&self, claimant: &Claimant) -> ClaimantSize {
        ClaimantSize {
            members: claimant.members,
            unreachable_members: claimant.cut,
            total_members: self.whole,
            level: self.level,
        }
    }

    /// Returns the fair rate of one claimant: its floor and a part of what the
    /// floors leave. Each gets what it wants while there is enough, and a little
    /// more; otherwise equal parts up to what it wants.
    fn fair(&self, now_ms: u64, from: &C, key: WorkspaceKey, divided: AllocatableQuota) -> Rate {
        let AllocatableQuota { quota, total } = divided;
        let pool = total.saturating_sub(self.floors(now_ms, quota, None));
        let mut extras: Vec<(u64, u32)> = Vec::new();
        let mut mine = (0, 1);
        for want in self.wants.get(&key).map_or(&[][..], Vec::as_slice) {
            let claimant = self.claimants.get(&want.claimant);
            if !claimant.is_some_and(|claimant| self.is_heard(now_ms, claimant)) {
                continue;
            }
            let part = self.part(&want.claimant);
            let weight = part.members.max(1);
            let extra = want.wanted.saturating_sub(part.floor(quota)).0;
            extras.push((extra, weight));
            if want.claimant == *from {
                mine = (extra, weight);
            }
        }
        let floor = self.part(from).floor(quota);
        floor.saturating_add(Rate(fill(pool.0, &mut extras, mine)))
    }

    /// Goes on counting what a claimant held before it turned to this home anew:
    /// a zone's new home does not know what the old one granted.
    fn keep_earlier(&mut self, now_ms: u64, from: &C, keys: &[WorkspaceKey]) {
        self.earlier.retain(|_, all| {
            all.retain(|earlier| now_ms < earlier.until_ms);
            !all.is_empty()
        });
        let until_ms = now_ms + self.lapse_ms;
        for key in keys {
            let wants = self.wants.get(key).map_or(&[][..], Vec::as_slice);
            if let Some(want) = wants.iter().find(|want| want.claimant == *from) {
                self.earlier.entry(*key).or_default().push(Earlier {
                    claimant: from.clone(),
                    held: want.held,
                    until_ms,
                });
            }
        }
    }

    /// Adds up what claimants, `except` one, may still hold of earlier grants
    /// beyond what they have said since.
    fn held_earlier(
        &self,
        now_ms: u64,
        key: WorkspaceKey,
        quota: Rate,
        except: Option<&C>,
    ) -> Rate {
        let wants = self.wants.get(&key).map_or(&[][..], Vec::as_slice);
        let all = self.earlier.get(&key).map_or(&[][..], Vec::as_slice);
        let others = all
            .iter()
            .filter(|e| now_ms < e.until_ms && Some(&e.claimant) != except);
        others.fold(Rate::default(), |sum, earlier| {
            let want = wants.iter().find(|want| want.claimant == earlier.claimant);
            let counted = want.map_or(self.part(&earlier.claimant).floor(quota), |want| want.held);
            sum.saturating_add(earlier.held.saturating_sub(counted))
        })
    }

    fn drop_wants(&mut self, claimant: &C, keys: &[WorkspaceKey]) {
        for key in keys {
            if let Some(wants) = self.wants.get_mut(key) {
                wants.retain(|want| want.claimant != *claimant);
                if wants.is_empty() {
                    self.wants.remove(key);
                }
            }
        }
    }
}

impl Reserve {
    /// Returns the rate that is asked for, over the second since the last look.
    fn take_wanted(&mut self) -> Rate {
        let asked = Rate(std::mem::take(&mut self.asked_milli) * 1_000);
        self.wanted = asked
            .saturating_add(asked.fraction(1, 4))
            .max(self.wanted.fraction(1, 2));
        self.wanted
    }

    fn flow(&self) -> BucketRates {
        BucketRates {
            rate: self.rate,
            safe: self.rate,
        }
    }
}

/// Divides `pool` by max-min fairness among wants with weights, and returns what
/// `mine` gets, with its part of what nobody wants and is not left for new demand.
fn fill(pool: u64, wants: &mut [(u64, u32)], mine: (u64, u32)) -> u64 {
    let weights: u64 = wants.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let sum: u128 = wants.iter().map(|(extra, _)| u128::from(*extra)).sum();
    let (my_extra, my_weight) = (mine.0, u64::from(mine.1));
    if sum <= u128::from(pool) {
        let spare = pool - sum as u64;
        return my_extra + spare / SPARE_PARTS / weights.max(1) * my_weight;
    }
    wants.sort_unstable_by_key(|(extra, weight)| extra / u64::from((*weight).max(1)));
    let (mut left, mut left_weight) = (pool, weights);
    for (extra, weight) in wants {
        let level = left / left_weight.max(1);
        if *extra > level * u64::from(*weight) {
            return my_extra.min(level * my_weight);
        }
        left -= *extra;
        left_weight -= u64::from(*weight);
    }
    my_extra
}
