//! Shares of the workspaces: weighted fairness under pressure, and quotas.

use std::collections::BTreeMap;

use super::Fleet;
use crate::{
    ids::WorkspaceName,
    objects::Workspace,
    settings::{Fairness, PolicySettings},
};

/// Time in which what a workspace has used counts half, in ms.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Part of all use below which a workspace counts as idle.
const IDLE_PART: f64 = 0.002;
/// Seconds of its quota that a workspace may save up.
const QUOTA_BURST_S: f64 = 2.0;
const MS_PER_S: f64 = 1_000.0;
/// Part of the usual wait that is left to any workspace, so that a short wait
/// refuses nobody.
const LEAST_WAIT_PART: f64 = 0.1;

/// What a workspace has used and may use.
#[derive(Clone, Debug)]
struct Account {
    weight: f64,
    /// Work of the requests taken, fading, in µs.
    used_us: f64,
    /// Requests a second that this instance may take.
    quota_per_s: f64,
    /// Requests that it may take now.
    quota_left: f64,
    updated_ms: u64,
}

impl Account {
    fn new(workspace: &Workspace, instances: f64) -> Self {
        let quota_per_s = f64::from(workspace.quota_per_s) / instances;
        Self {
            weight: f64::from(workspace.weight.max(1)),
            used_us: 0.0,
            quota_per_s,
            quota_left: quota_per_s * QUOTA_BURST_S,
            updated_ms: 0,
        }
    }

    fn bring_up_to(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        self.used_us *= (-passed_ms / HALF_LIFE_MS).exp2();
        let most = (self.quota_per_s * QUOTA_BURST_S).max(1.0);
        self.quota_left = (self.quota_left + self.quota_per_s * passed_ms / MS_PER_S).min(most);
    }
}

/// Accounts of all workspaces at one instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    accounts: BTreeMap<WorkspaceName, Account>,
}

impl Shares {
    /// Returns how many times its share a workspace has used lately, by weight
    /// among those that are active.
    pub(crate) fn excess(&mut self, now_ms: u64, workspace: &WorkspaceName) -> f64 {
        for account in self.accounts.values_mut() {
            account.bring_up_to(now_ms);
        }
        let Some(own) = self.accounts.get(workspace) else {
            return 1.0;
        };
        let used_us: f64 = self.accounts.values().map(|account| account.used_us).sum();
        if used_us <= 0.0 {
            return 0.0;
        }
        let weights: f64 = self
            .accounts
            .iter()
            .filter(|(name, account)| *name == workspace || account.used_us > IDLE_PART * used_us)
            .map(|(_, account)| account.weight)
            .sum();
        (own.used_us / used_us) / (own.weight / weights)
    }

    /// Takes a request out of a workspace's quota, or tells when one is due.
    pub(crate) fn take_quota(&mut self, now_ms: u64, workspace: &WorkspaceName) -> Result<(), u64> {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Ok(());
        };
        account.bring_up_to(now_ms);
        if account.quota_left >= 1.0 {
            account.quota_left -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - account.quota_left;
        let due_ms = missing * MS_PER_S / account.quota_per_s.max(f64::MIN_POSITIVE);
        Err(due_ms.min(MS_PER_S * MS_PER_S) as u64 + 1)
    }

    pub(crate) fn on_taken(&mut self, workspace: &WorkspaceName, work_us: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.used_us += work_us as f64;
        }
    }
}

impl Fleet {
    /// Takes over the configured workspaces. Each gets an even part of its
    /// quota at this instance until [`Fleet::set_quota`] says otherwise.
    pub fn configure_workspaces<'a>(
        &mut self,
        workspaces: impl IntoIterator<Item = &'a Workspace>,
    ) {
        let instances = f64::from(self.peers) + 1.0;
        let mut old = std::mem::take(&mut self.shares.accounts);
        for workspace in workspaces {
            let mut account = Account::new(workspace, instances);
            if let Some(known) = old.remove(&workspace.name) {
                account.used_us = known.used_us;
                account.quota_left = known.quota_left;
                account.updated_ms = known.updated_ms;
            }
            self.shares.accounts.insert(workspace.name.clone(), account);
        }
    }

    /// Sets the part of a workspace's quota that this instance may use, as the
    /// instances have shared it out.
    pub fn set_quota(&mut self, workspace: &WorkspaceName, quota_per_s: f64) {
        if let Some(account) = self.shares.accounts.get_mut(workspace) {
            account.quota_per_s = quota_per_s;
        }
    }
}

/// Returns the part of the usual wait in queues that a workspace may cause when
/// it has used `excess` times its share.
pub(crate) fn wait_part(settings: &PolicySettings, excess: f64) -> f64 {
    match settings.fairness {
        Fairness::Off => 1.0,
        Fairness::Weighted if excess <= 1.0 => 1.0,
        Fairness::Weighted => (2.0 - excess).max(LEAST_WAIT_PART),
    }
}
