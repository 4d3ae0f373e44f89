//! Weighted fair sharing among workspaces under load.

use std::collections::{HashMap, VecDeque};

use super::Fleet;
use crate::{
    ids::WorkspaceName,
    objects::Workspace,
    settings::{Fairness, PolicySettings},
};

/// Half-life of the recorded usage of a workspace, in ms.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Half-lives after which the scale of recorded usage is reset to one.
const RESCALE_AFTER_HALF_LIVES: f64 = 400.0;
/// Time for which a workspace counts as active after a request, in ms.
const ACTIVE_MS: u64 = 10_000;
/// Fraction of the others' shares that a workspace may use without any
/// reduction of the wait that it may cause.
const TOLERATED_OVERUSE: f64 = 0.25;
/// Fraction of the others' shares from which the permitted wait is at its
/// minimum.
const MAX_OVERUSE: f64 = 0.4;
/// Minimum fraction of the normal wait permitted to any workspace, so that a
/// short wait causes no refusals.
const MIN_WAIT_FRACTION: f64 = 0.1;

/// The recorded usage of a workspace.
#[derive(Clone, Debug)]
struct Account {
    weight: f64,
    /// Work of admitted requests, in µs at the current scale.
    used: f64,
    admitted_at_ms: u64,
    is_active: bool,
}

impl Account {
    fn new(workspace: &Workspace) -> Self {
        Self {
            weight: f64::from(workspace.weight.max(1)),
            used: 0.0,
            admitted_at_ms: 0,
            is_active: false,
        }
    }
}

/// The accounts of all workspaces at one instance.
///
/// Usage decays at the same rate for all workspaces. Instead of reducing each
/// account, new work is added at a growing scale; only the ratios matter.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    accounts: HashMap<WorkspaceName, Account>,
    used: f64,
    /// Sum of the weights of active workspaces.
    active_weight: f64,
    /// Active workspaces with the time of their next expiry check in ms, in
    /// that order.
    active: VecDeque<(u64, WorkspaceName)>,
    /// Time at which the scale is one, in ms.
    scale_origin_ms: u64,
}

impl Shares {
    /// Returns the fraction of the others' shares that a workspace has used
    /// recently, from 0 to 1; shares are divided by weight among active
    /// workspaces.
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

    /// Records the work of an admitted request.
    pub(crate) fn on_admitted(&mut self, now_ms: u64, workspace: &WorkspaceName, work_us: u64) {
        let scale = self.scale(now_ms);
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        let work = work_us as f64 * scale;
        account.used += work;
        account.admitted_at_ms = now_ms;
        self.used += work;
        if !account.is_active {
            account.is_active = true;
            self.active_weight += account.weight;
            self.active
                .push_back((now_ms + ACTIVE_MS, workspace.clone()));
        }
    }

    fn scale(&mut self, now_ms: u64) -> f64 {
        let half_lives = now_ms.saturating_sub(self.scale_origin_ms) as f64 / HALF_LIFE_MS;
        if half_lives <= RESCALE_AFTER_HALF_LIVES {
            return half_lives.exp2();
        }
        let shrink = (-half_lives).exp2();
        for account in self.accounts.values_mut() {
            account.used *= shrink;
        }
        self.used *= shrink;
        self.scale_origin_ms = now_ms;
        1.0
    }

    /// Marks workspaces as inactive that have sent no requests for a while.
    fn expire(&mut self, now_ms: u64) {
        while self.active.front().is_some_and(|(at, _)| *at <= now_ms) {
            let Some((_, name)) = self.active.pop_front() else {
                return;
            };
            let Some(account) = self.accounts.get_mut(&name) else {
                continue;
            };
            let until_ms = account.admitted_at_ms + ACTIVE_MS;
            if until_ms > now_ms {
                self.active.push_back((until_ms, name));
            } else {
                account.is_active = false;
                self.active_weight -= account.weight;
            }
        }
    }

    /// Recomputes the totals after the accounts have changed.
    fn recompute_totals(&mut self) {
        self.used = self.accounts.values().map(|account| account.used).sum();
        let active = self.accounts.values().filter(|account| account.is_active);
        self.active_weight = active.map(|account| account.weight).sum();
        let accounts = &self.accounts;
        self.active.retain(|(_, name)| accounts.contains_key(name));
    }
}

impl Fleet {
    /// Applies the configured workspaces.
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
        self.shares.recompute_totals();
    }
}

/// Returns the fraction of the normal queue wait that a workspace with the
/// given overuse may cause.
pub(crate) fn wait_fraction(settings: &PolicySettings, overuse: f64) -> f64 {
    match settings.fairness {
        Fairness::Off => 1.0,
        Fairness::Weighted => {
            let fraction = (MAX_OVERUSE - overuse) / (MAX_OVERUSE - TOLERATED_OVERUSE);
            fraction.clamp(MIN_WAIT_FRACTION, 1.0)
        }
    }
}
