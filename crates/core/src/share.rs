//! The claimant's side of the quotas of a shard: the rates that it may use by
//! the last grant and by grants of an earlier home, and its fallback when
//! grants stop.
//!
//! While the last grant is valid, a workspace has its granted rate, or the
//! floor if none was requested for it. When grants stop, it has the lower of
//! that rate and its safe share until [`GRANT_HOLD_MS`] after the last grant, and its
//! safe share from then on.

use std::collections::HashMap;

use crate::quota::{
    ClaimantSize, Demand, GRANT_HOLD_MS, GRANT_VALIDITY_MS, Rate, UsageGrant, WorkspaceKey,
};

/// The rates granted to a claimant for the workspaces of one shard.
#[derive(Clone, Debug, Default)]
pub struct Share {
    started_ms: Option<u64>,
    term: Option<u64>,
    reported_ms: Option<u64>,
    last_grant: Option<LastGrant>,
    granted: HashMap<WorkspaceKey, Rate>,
    earlier_term: Option<EarlierTerm>,
}

#[derive(Clone, Copy, Debug)]
struct LastGrant {
    stamp_ms: u64,
    received_ms: u64,
    age_ms: u64,
}

#[derive(Clone, Debug)]
struct EarlierTerm {
    until_ms: u64,
    granted: HashMap<WorkspaceKey, Rate>,
}

impl Share {
    /// Creates the share of a claimant that has just started without a grant.
    /// An earlier run of it may have lent its share, so it begins with the
    /// floor.
    pub fn starting(now_ms: u64) -> Self {
        Self {
            started_ms: Some(now_ms),
            ..Self::default()
        }
    }

    /// Returns the rate that may be used for a workspace with `quota`.
    pub fn rate(&self, now_ms: u64, key: WorkspaceKey, quota: Rate, part: ClaimantSize) -> Rate {
        let safe = part.safe_share(quota);
        let Some(last_grant) = self.last_grant else {
            let is_starting = self
                .started_ms
                .is_some_and(|at| now_ms < at + GRANT_HOLD_MS);
            return if is_starting { part.floor(quota) } else { safe };
        };
        let granted = self.granted.get(&key).copied();
        let granted = granted.unwrap_or(part.floor(quota));
        let rate = if now_ms < last_grant.stamp_ms + GRANT_VALIDITY_MS {
            granted
        } else if now_ms < last_grant.received_ms + GRANT_HOLD_MS {
            granted.min(safe)
        } else {
            safe
        };
        match self.earlier_term.as_ref().filter(|e| now_ms < e.until_ms) {
            Some(earlier_term) => {
                let retained = earlier_term.granted.get(&key).copied();
                rate.min(retained.unwrap_or(part.floor(quota)).min(safe))
            }
            None => rate,
        }
    }

    /// Returns the age of the claimant's information on usage elsewhere, in ms;
    /// `None` before the first grant.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let last_grant = self.last_grant?;
        Some(now_ms.saturating_sub(last_grant.stamp_ms) + last_grant.age_ms)
    }

    /// Returns the term of the home that sent the last grant.
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// Returns whether the last grant is valid.
    pub fn is_granted(&self, now_ms: u64) -> bool {
        self.last_grant
            .is_some_and(|last_grant| now_ms < last_grant.stamp_ms + GRANT_VALIDITY_MS)
    }

    /// Records a report made now; workspaces that it does not contain fall back
    /// to the floor.
    pub fn on_report(&mut self, now_ms: u64, demands: &[Demand]) {
        self.reported_ms = Some(now_ms);
        let granted = &self.granted;
        let retained = demands.iter().filter_map(|demand| {
            let rate = granted.get(&demand.key)?;
            Some((demand.key, *rate))
        });
        self.granted = retained.collect();
    }

    /// Applies a grant and returns whether it responds to the newest report.
    /// Other grants are dropped, since the newest report states the rates held
    /// without them.
    pub fn on_grant(&mut self, now_ms: u64, grant: &UsageGrant) -> bool {
        if self.reported_ms != Some(grant.stamp_ms) {
            return false;
        }
        self.reported_ms = None;
        if self.term != Some(grant.term) {
            self.begin_term(now_ms, grant.term);
        }
        if grant.is_settled {
            self.earlier_term = None;
        }
        let pairs = grant.grants.iter().map(|grant| (grant.key, grant.rate));
        self.granted = pairs.collect();
        self.last_grant = Some(LastGrant {
            stamp_ms: grant.stamp_ms,
            received_ms: now_ms,
            age_ms: u64::from(grant.age_ms),
        });
        true
    }

    /// Begins a new term of the home, which may not know what the earlier home
    /// has lent.
    fn begin_term(&mut self, now_ms: u64, term: u64) {
        let is_first = self.term.replace(term).is_none();
        let Some(last_grant) = self.last_grant.filter(|_| !is_first) else {
            return;
        };
        let until_ms = last_grant.received_ms + GRANT_HOLD_MS;
        let unexpired = self.earlier_term.take().filter(|e| now_ms < e.until_ms);
        let mut granted = std::mem::take(&mut self.granted);
        if let Some(earlier_term) = unexpired {
            granted.retain(|key, rate| match earlier_term.granted.get(key) {
                Some(retained) => {
                    *rate = (*rate).min(*retained);
                    true
                }
                None => false,
            });
        }
        self.earlier_term = Some(EarlierTerm { until_ms, granted });
    }
}
