//! Admits the requests of workspaces at an instance by the rates that it may
//! use.

use std::collections::HashMap;

use crate::{
    bucket::{BucketRates, TokenBucket},
    ids::WorkspaceName,
    quota::{Demand, Rate, WorkspaceKey},
    topology::Shard,
};

/// Maximum workspaces of a shard with a bucket; requests of further ones are
/// refused. A workspace with a full bucket needs none.
const MAX_ACTIVE: usize = 4_096;
/// Half of the rate from which a demand is requested as a rate; lower demands
/// with a shallow bucket are requested as missing requests.
const MIN_RATE: Rate = Rate(1_000_000);
/// Requested rate in per cent of the observed one.
const HEADROOM_PERCENT: u64 = 125;
/// Minimum retry time given to a refused request, in ms.
const MIN_RETRY_MS: u64 = 50;
/// Maximum retry time given to a refused request, in ms.
const MAX_RETRY_MS: u64 = 10_000;

/// The result of an admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run.
    Admitted,
    /// The workspace has reached the rate that this instance may use for it.
    Refused {
        /// Time after which to retry, in ms.
        retry_after_ms: u64,
    },
    /// The workspace does not exist.
    Unknown,
}

/// The quotas and buckets of the workspaces.
#[derive(Debug)]
pub struct Limiter {
    quotas: HashMap<WorkspaceName, WorkspaceKey>,
    rates: HashMap<WorkspaceKey, Rate>,
    active: Vec<HashMap<WorkspaceKey, ActiveWorkspace>>,
    has_low_bucket: bool,
}

#[derive(Clone, Copy, Debug)]
struct ActiveWorkspace {
    bucket: TokenBucket,
    arrivals: u64,
    wanted: Rate,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            quotas: HashMap::new(),
            rates: HashMap::new(),
            active: Shard::all().map(|_| HashMap::new()).collect(),
            has_low_bucket: false,
        }
    }
}

impl Limiter {
    /// Replaces the quotas, in requests per second over the whole deployment.
    pub fn set_quotas<'a>(&mut self, quotas: impl Iterator<Item = (&'a WorkspaceName, u32)>) {
        self.quotas.clear();
        self.rates.clear();
        for (name, per_s) in quotas {
            let key = WorkspaceKey::of(name);
            self.quotas.insert(name.clone(), key);
            self.rates.insert(key, Rate::per_s(per_s));
        }
        let rates = &self.rates;
        for active in &mut self.active {
            active.retain(|key, _| rates.contains_key(key));
        }
    }

    /// Returns the quota of a workspace.
    pub fn quota(&self, key: WorkspaceKey) -> Rate {
        self.rates.get(&key).copied().unwrap_or_default()
    }

    /// Returns the key of a workspace.
    pub fn key(&self, workspace: &WorkspaceName) -> Option<WorkspaceKey> {
        self.quotas.get(workspace).copied()
    }

    /// Decides on one request by the current rates.
    pub fn admit(&mut self, now_ms: u64, key: WorkspaceKey, flow: BucketRates) -> Admission {
        let shard_buckets = &mut self.active[usize::from(key.shard().0)];
        if shard_buckets.len() >= MAX_ACTIVE && !shard_buckets.contains_key(&key) {
            let retry_after_ms = MAX_RETRY_MS;
            return Admission::Refused { retry_after_ms };
        }
        let active = shard_buckets.entry(key).or_insert_with(|| ActiveWorkspace {
            bucket: TokenBucket::new(now_ms, flow),
            arrivals: 0,
            wanted: Rate::default(),
        });
        active.arrivals += 1;
        active.bucket.refill(now_ms, flow);
        let is_admitted = active.bucket.try_take();
        self.has_low_bucket |= active.bucket.is_low(flow);
        if is_admitted {
            return Admission::Admitted;
        }
        let wait_ms = active.bucket.wait_ms(flow);
        let retry_after_ms = wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        Admission::Refused { retry_after_ms }
    }

    /// Returns whether a deep bucket has run low since the last call.
    pub fn take_low(&mut self) -> bool {
        std::mem::take(&mut self.has_low_bucket)
    }

    /// Returns the demands of the active workspaces of a shard, counted since
    /// the last call for it `elapsed_ms` ago, and removes the idle ones.
    pub fn demands(
        &mut self,
        now_ms: u64,
        shard: Shard,
        elapsed_ms: u64,
        flow_of: impl Fn(WorkspaceKey, Rate) -> BucketRates,
    ) -> Vec<Demand> {
        let rates = &self.rates;
        let mut demands = Vec::new();
        self.active[usize::from(shard.0)].retain(|key, active| {
            let flow = flow_of(*key, rates.get(key).copied().unwrap_or_default());
            active.bucket.refill(now_ms, flow);
            let missing = active.bucket.missing_milli(flow);
            let arrivals = std::mem::take(&mut active.arrivals);
            if arrivals == 0 && missing == 0 {
                return false;
            }
            demands.push(active.demand(*key, flow, arrivals, missing, elapsed_ms));
            true
        });
        demands
    }

    /// Credits requests to the bucket of a workspace, in thousandths.
    pub fn credit(&mut self, key: WorkspaceKey, milli: u32) {
        if let Some(active) = self.active[usize::from(key.shard().0)].get_mut(&key) {
            active.bucket.add_milli(milli);
        }
    }

    /// Returns the number of active workspaces.
    pub fn active(&self) -> usize {
        self.active.iter().map(HashMap::len).sum()
    }
}

impl ActiveWorkspace {
    fn demand(
        &mut self,
        key: WorkspaceKey,
        flow: BucketRates,
        arrivals: u64,
        missing: u32,
        elapsed_ms: u64,
    ) -> Demand {
        let arrival_rate = arrivals * 1_000_000 * 1_000 / elapsed_ms.max(1);
        self.wanted = Rate(arrival_rate * HEADROOM_PERCENT / 100).max(self.wanted.fraction(1, 2));
        let is_rate = flow.has_rate_capacity() || self.wanted >= MIN_RATE.fraction(2, 1);
        let held = flow.rate;
        if is_rate {
            let wanted = self.wanted.max(self.bucket.refill_rate(flow));
            let missing = 0;
            return Demand {
                key,
                wanted,
                held,
                missing,
            };
        }
        let wanted = Rate::default();
        Demand {
            key,
            wanted,
            held,
            missing,
        }
    }
}
