//! A claimant's side of a shard's quotas: what it may use by the last grant, by
//! grants of an earlier home, and when it is cut off.
//!
//! With a grant that is valid a workspace has the rate that was granted, or the
//! floor when it was not asked for. When grants stop coming it has the lower of
//! that and its safe share, and [`GRANT_HOLD_MS`] after the last grant its safe share.

use std::collections::HashMap;

use crate::quota::{
    ClaimantSize, Demand, GRANT_HOLD_MS, GRANT_VALIDITY_MS, Rate, UsageGrant, WorkspaceKey,
};

/// What a claimant was granted for the workspaces of one shard.
#[derive(Clone, Debug, Default)]
pub struct Share {
    started_ms: Option<u64>,
    term: Option<u64>,
    reported_ms: Option<u64>,
    last: Option<LastGrant>,
    granted: HashMap<WorkspaceKey, Rate>,
    earlier: Option<EarlierTerm>,
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
    /// Creates a claimant that has just started and knows of no grant. An earlier
    /// run may have lent its share, so it begins with the floor.
    pub fn starting(now_ms: u64) -> Self {
        Self {
            started_ms: Some(now_ms),
            ..Self::default()
        }
    }

    /// Returns the rate that may be used for a workspace with `quota`.
    pub fn rate(&self, now_ms: u64, key: WorkspaceKey, quota: Rate, part: ClaimantSize) -> Rate {
        let safe = part.safe_share(quota);
        let Some(last) = self.last else {
            let is_new = self
                .started_ms
                .is_some_and(|at| now_ms < at + GRANT_HOLD_MS);
            return if is_new { part.floor(quota) } else { safe };
        };
        let granted = self.granted.get(&key).copied();
        let granted = granted.unwrap_or(part.floor(quota));
        let rate = if now_ms < last.stamp_ms + GRANT_VALIDITY_MS {
            granted
        } else if now_ms < last.received_ms + GRANT_HOLD_MS {
            granted.min(safe)
        } else {
            safe
        };
        match self.earlier.as_ref().filter(|e| now_ms < e.until_ms) {
            Some(earlier) => {
                let kept = earlier.granted.get(&key).copied();
                rate.min(kept.unwrap_or(part.floor(quota)).min(safe))
            }
            None => rate,
        }
    }

    /// Returns the age of what the claimant knows of the use elsewhere, in ms;
    /// none when it has never been told.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let last = self.last?;
        Some(now_ms.saturating_sub(last.stamp_ms) + last.age_ms)
    }

    /// Returns the term of the home that granted last.
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// Tells whether the last grant is valid.
    pub fn is_granted(&self, now_ms: u64) -> bool {
        self.last
            .is_some_and(|last| now_ms < last.stamp_ms + GRANT_VALIDITY_MS)
    }

    /// Takes note of a report made now; what it does not name falls to the floor.
    pub fn on_report(&mut self, now_ms: u64, demands: &[Demand]) {
        self.reported_ms = Some(now_ms);
        let granted = &self.granted;
        let kept = demands.iter().filter_map(|demand| {
            let rate = granted.get(&demand.key)?;
            Some((demand.key, *rate))
        });
        self.granted = kept.collect();
    }

    /// Takes a grant. Returns whether it answers the newest report; an older one
    /// is dropped, since the newest report says what is held without it.
    pub fn on_grant(&mut self, now_ms: u64, grant: &UsageGrant) -> bool {
        if self.reported_ms != Some(grant.stamp_ms) {
            return false;
        }
        self.reported_ms = None;
        if self.term != Some(grant.term) {
            self.begin_term(now_ms, grant.term);
        }
        if grant.is_settled {
            self.earlier = None;
        }
        let pairs = grant.grants.iter().map(|grant| (grant.key, grant.rate));
        self.granted = pairs.collect();
        self.last = Some(LastGrant {
            stamp_ms: grant.stamp_ms,
            received_ms: now_ms,
            age_ms: u64::from(grant.age_ms),
        });
        true
    }

    /// A home with another term may not know what the earlier one had lent.
    fn begin_term(&mut self, now_ms: u64, term: u64) {
        let is_first = self.term.replace(term).is_none();
        let Some(last) = self.last.filter(|_| !is_first) else {
            return;
        };
        let until_ms = last.received_ms + GRANT_HOLD_MS;
        let still_held = self.earlier.take().filter(|e| now_ms < e.until_ms);
        let mut granted = std::mem::take(&mut self.granted);
        if let Some(earlier) = still_held {
            granted.retain(|key, rate| match earlier.granted.get(key) {
                Some(kept) => {
                    *rate = (*rate).min(*kept);
                    true
                }
                None => false,
            });
        }
        self.earlier = Some(EarlierTerm { until_ms, granted });
    }
}
