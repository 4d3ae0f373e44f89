//! Shares of the workspaces: weighted fairness under pressure.

use std::collections::{HashMap, VecDeque};

use super::Fleet;
use crate::{
    ids::WorkspaceName,
    objects::Workspace,
    settings::{Fairness, PolicySettings},
};

/// Time in which what a workspace has used counts half, in ms.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Half-lives after which the scale of what was used is brought back to one.
const RESCALE_AFTER: f64 = 400.0;
/// Time for which a workspace counts as active after a request, in ms.
const ACTIVE_MS: u64 = 10_000;
/// Part of the others' shares that a workspace may use and still cause the whole
/// wait.
const TOLERATED_OVERUSE: f64 = 0.25;
/// Part of the others' shares from which it may cause none, but for the part
/// below.
const FULL_OVERUSE: f64 = 0.4;
/// Part of the usual wait that is left to any workspace, so that a short wait
/// refuses nobody.
const LEAST_WAIT_PART: f64 = 0.1;

/// What a workspace has used.
#[derive(Clone, Debug)]
struct Account {
    weight: f64,
    /// Work of the requests taken, in µs at the current scale.
    used: f64,
    taken_at_ms: u64,
    is_active: bool,
}

impl Account {
    fn new(workspace: &Workspace) -> Self {
        Self {
            weight: f64::from(workspace.weight.max(1)),
            used: 0.0,
            taken_at_ms: 0,
            is_active: false,
        }
    }
}

/// Accounts of all workspaces at one instance.
///
/// What was used fades for all alike, so that instead of fading each account,
/// new work is added at a scale that grows; only the ratios matter.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    accounts: HashMap<WorkspaceName, Account>,
    used: f64,
    /// Weights of the active workspaces together.
    active_weight: f64,
    /// Active workspaces, in the order in which they are looked at again.
    active: VecDeque<(u64, WorkspaceName)>,
    /// Time at which the scale is one, in ms.
    scale_from_ms: u64,
}

impl Shares {
    /// Returns how much of the others' shares a workspace has used lately, from
    /// none (0) to all (1); shares go by weight among those that are active.
    pub(crate) fn overuse(&mut self, now_ms: u64, workspace: &WorkspaceName) -> f64 {
        self.expire(now_ms);
        let Some(own) = self.accounts.get(workspace) else {
            return 0.0;
        };
        let own_weight = if own.is_active { 0.0 } else { own.weight };
        let share = own.weight / (self.active_weight + own_weight);
        if self.used <= 0.0 || share >= 1.0 {
            return 0.0;
        }
        let used = own.used / self.used;
        ((used - share) / (1.0 - share)).max(0.0)
    }

    /// Counts the work of a request that was taken.
    pub(crate) fn on_taken(&mut self, now_ms: u64, workspace: &WorkspaceName, work_us: u64) {
        let scale = self.scale(now_ms);
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        let work = work_us as f64 * scale;
        account.used += work;
        account.taken_at_ms = now_ms;
        self.used += work;
        if !account.is_active {
            account.is_active = true;
            self.active_weight += account.weight;
            self.active
                .push_back((now_ms + ACTIVE_MS, workspace.clone()));
        }
    }

    fn scale(&mut self, now_ms: u64) -> f64 {
        let half_lives = now_ms.saturating_sub(self.scale_from_ms) as f64 / HALF_LIFE_MS;
        if half_lives <= RESCALE_AFTER {
            return half_lives.exp2();
        }
        let shrink = (-half_lives).exp2();
        for account in self.accounts.values_mut() {
            account.used *= shrink;
        }
        self.used *= shrink;
        self.scale_from_ms = now_ms;
        1.0
    }

    /// Takes out the workspaces that have sent nothing for a while.
    fn expire(&mut self, now_ms: u64) {
        while self.active.front().is_some_and(|(at, _)| *at <= now_ms) {
            let Some((_, name)) = self.active.pop_front() else {
                return;
            };
            let Some(account) = self.accounts.get_mut(&name) else {
                continue;
            };
            let until_ms = account.taken_at_ms + ACTIVE_MS;
            if until_ms > now_ms {
                self.active.push_back((until_ms, name));
            } else {
                account.is_active = false;
                self.active_weight -= account.weight;
            }
        }
    }

    /// Adds the accounts up again after they have changed.
    fn add_up(&mut self) {
        self.used = self.accounts.values().map(|account| account.used).sum();
        let active = self.accounts.values().filter(|account| account.is_active);
        self.active_weight = active.map(|account| account.weight).sum();
        let accounts = &self.accounts;
        self.active.retain(|(_, name)| accounts.contains_key(name));
    }
}

impl Fleet {
    /// Takes over the configured workspaces.
    pub fn configure_workspaces<'a>(
        &mut self,
        workspaces: impl IntoIterator<Item = &'a Workspace>,
    ) {
        let mut old = std::mem::take(&mut self.shares.accounts);
        for workspace in workspaces {
            let fresh = Account::new(workspace);
            let account = match old.remove(&workspace.name) {
                Some(known) => Account {
                    weight: fresh.weight,
                    ..known
                },
                None => fresh,
            };
            self.shares.accounts.insert(workspace.name.clone(), account);
        }
        self.shares.add_up();
    }
}

/// Returns the part of the usual wait in queues that a workspace may cause when
/// it has used so much of the others' shares.
pub(crate) fn wait_part(settings: &PolicySettings, overuse: f64) -> f64 {
    match settings.fairness {
        Fairness::Off => 1.0,
        Fairness::Weighted => {
            let part = (FULL_OVERUSE - overuse) / (FULL_OVERUSE - TOLERATED_OVERUSE);
            part.clamp(LEAST_WAIT_PART, 1.0)
        }
    }
}
