//! Which requests of a workspace an instance takes, by the rate that it may use.

use std::collections::HashMap;

use crate::{
    bucket::{BucketRates, TokenBucket},
    ids::WorkspaceName,
    quota::{Demand, Rate, WorkspaceKey},
    topology::Shard,
};

/// Most workspaces of a shard with a bucket of their own; a request of a further
/// one is refused. One whose bucket is full needs none.
const MAX_ACTIVE: usize = 4_096;
/// Least rate that is asked for as a rate.
const LEAST_RATE: Rate = Rate(1_000_000);
/// Requests that are asked for, per hundred of those that came.
const HEADROOM_PERCENT: u64 = 125;
/// Shortest time until a refused request may come again, in ms.
const LEAST_RETRY_MS: u64 = 50;
/// Longest time until a refused request may come again, in ms.
const LONGEST_RETRY_MS: u64 = 10_000;

/// Answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run.
    Admitted,
    /// The workspace is at the rate that this instance may use for it.
    Refused {
        /// When to come back, in ms.
        retry_after_ms: u64,
    },
    /// There is no such workspace.
    Unknown,
}

/// Quotas and buckets of the workspaces.
#[derive(Debug)]
pub struct Limiter {
    quotas: HashMap<WorkspaceName, WorkspaceKey>,
    rates: HashMap<WorkspaceKey, Rate>,
    active: Vec<HashMap<WorkspaceKey, Active>>,
    has_low: bool,
}

#[derive(Clone, Copy, Debug)]
struct Active {
    bucket: TokenBucket,
    came: u64,
    wanted: Rate,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            quotas: HashMap::new(),
            rates: HashMap::new(),
            active: Shard::all().map(|_| HashMap::new()).collect(),
            has_low: false,
        }
    }
}

impl Limiter {
    /// Replaces the quotas, in requests a second over the whole deployment.
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

    /// Decides on one request, by the rates that hold now.
    pub fn admit(&mut self, now_ms: u64, key: WorkspaceKey, flow: BucketRates) -> Admission {
        let of_shard = &mut self.active[usize::from(key.shard().0)];
        if of_shard.len() >= MAX_ACTIVE && !of_shard.contains_key(&key) {
            let retry_after_ms = LONGEST_RETRY_MS;
            return Admission::Refused { retry_after_ms };
        }
        let active = of_shard.entry(key).or_insert_with(|| Active {
            bucket: TokenBucket::new(now_ms, flow),
            came: 0,
            wanted: Rate::default(),
        });
        active.came += 1;
        active.bucket.refill(now_ms, flow);
        let is_taken = active.bucket.try_take();
        self.has_low |= active.bucket.is_low(flow);
        if is_taken {
            return Admission::Admitted;
        }
        let wait_ms = active.bucket.wait_ms(flow);
        let retry_after_ms = wait_ms.clamp(LEAST_RETRY_MS, LONGEST_RETRY_MS);
        Admission::Refused { retry_after_ms }
    }

    /// Tells whether a deep bucket ran low since the last call.
    pub fn take_low(&mut self) -> bool {
        std::mem::take(&mut self.has_low)
    }

    /// Returns the demand for the active workspaces of a shard, counted since the
    /// last call for it `elapsed_ms` ago, and drops those that are idle.
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
            let came = std::mem::take(&mut active.came);
            if came == 0 && missing == 0 {
                return false;
            }
            demands.push(active.demand(*key, flow, came, missing, elapsed_ms));
            true
        });
        demands
    }

    /// Adds requests that were made up for, in thousandths.
    pub fn make_up(&mut self, key: WorkspaceKey, milli: u32) {
        if let Some(active) = self.active[usize::from(key.shard().0)].get_mut(&key) {
            active.bucket.add_milli(milli);
        }
    }

    /// Returns how many workspaces are active.
    pub fn active(&self) -> usize {
        self.active.iter().map(HashMap::len).sum()
    }
}

impl Active {
    fn demand(
        &mut self,
        key: WorkspaceKey,
        flow: BucketRates,
        came: u64,
        missing: u32,
        elapsed_ms: u64,
    ) -> Demand {
        let came = came * 1_000_000 * 1_000 / elapsed_ms.max(1);
        self.wanted = Rate(came * HEADROOM_PERCENT / 100).max(self.wanted.fraction(1, 2));
        let is_rate = flow.has_rate_capacity() || self.wanted >= LEAST_RATE.fraction(2, 1);
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
