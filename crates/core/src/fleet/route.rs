//! Chooses the backend server for one call.

use rand::{Rng, RngExt};

use super::{BackendState, Fleet, KnownBackend};
use crate::{
    decision::{Candidate, DecisionReason},
    forwarding::SoftwareBinding,
    ids::{BackendName, ModelName, PoolName},
    objects::Objective,
    settings::{Affinity, Routing, Spill},
};

/// The requirements of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteQuery<'a> {
    pub(crate) pool: &'a PoolName,
    pub(crate) model: Option<&'a ModelName>,
    /// Backend servers that the stage has tried; others are preferred.
    pub(crate) tried: &'a [BackendName],
    /// Prompt prefix that an engine may have cached.
    pub(crate) prefix: Option<u64>,
    /// Whether the call may be retried after a failure.
    pub(crate) idempotent: bool,
    /// Objective that the operator prioritises.
    pub(crate) objective: Objective,
    /// Backend servers that may take the call, by the version of their software.
    pub(crate) software: &'a SoftwareBinding,
}

/// The result of a routing decision.
#[derive(Clone, Debug)]
pub(crate) struct Routed {
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) choice: Option<BackendName>,
    pub(crate) reason: DecisionReason,
}

impl Fleet {
    /// Chooses a backend server for a call.
    pub(crate) fn route(&mut self, now_ms: u64, query: &RouteQuery<'_>) -> Routed {
        let eligible = self.eligible(now_ms, query);
        match self.settings.routing {
            Routing::RoundRobin => self.choose_round_robin(now_ms, query, &eligible),
            Routing::TwoChoices => self.choose_least_loaded(now_ms, query, &eligible),
        }
    }

    /// Returns whether an untried backend server can take the call.
    pub(crate) fn has_untried(&self, now_ms: u64, query: &RouteQuery<'_>) -> bool {
        let is_untried = |index: &usize| !query.tried.contains(&self.backends[*index].name);
        self.available(now_ms, query).iter().any(is_untried)
    }

    /// Returns the preferred members for the call by health: untried ones in
    /// reachable zones without recent refusals, if there are any.
    pub(crate) fn eligible(&self, now_ms: u64, query: &RouteQuery<'_>) -> Vec<usize> {
        let mut available = self.available(now_ms, query);
        if available.is_empty() && query.idempotent {
            available = self.fallbacks(now_ms, query);
        }
        let untried = prefer(available, |index| {
            !query.tried.contains(&self.backends[index].name)
        });
        let reachable = prefer(untried, |index| {
            !self.is_cut_off(now_ms, &self.backends[index].zone)
        });
        let accepting = prefer(reachable, |index| {
            !self.backends[index].refusals.is_avoided(now_ms)
        });
        if query.idempotent {
            return accepting;
        }
        prefer(accepting, |index| self.backends[index].health.is_healthy())
    }

    /// Returns the members that can take the call.
    fn available(&self, now_ms: u64, query: &RouteQuery<'_>) -> Vec<usize> {
        let mut available = self.available_ignoring_grants(now_ms, query);
        available.retain(|index| self.limits.is_open(now_ms, &self.backends[*index].name));
        available
    }

    /// Returns the members that can take the call, including those without an
    /// available grant.
    fn available_ignoring_grants(&self, now_ms: u64, query: &RouteQuery<'_>) -> Vec<usize> {
        let Some(pool) = self.pools.get(query.pool) else {
            return Vec::new();
        };
        let can_serve = |index: &usize| {
            let backend = &self.backends[*index];
            takes_work(now_ms, backend, query) && self.allows(now_ms, &backend.name)
        };
        pool.members.iter().copied().filter(can_serve).collect()
    }

    /// Returns whether cold start limits, backoffs and the bound on rejections
    /// permit a call to a server.
    fn allows(&self, now_ms: u64, server: &BackendName) -> bool {
        self.cold.allows(now_ms, server)
            && self.backoffs.allows(now_ms, server)
            && self.brittle.allows(now_ms, server)
    }

    /// Returns whether a member would take the call but for the bound on its
    /// rejections, which ends as soon as requests in doubt are accepted.
    pub(crate) fn awaits_brittle(&self, now_ms: u64, query: &RouteQuery<'_>) -> bool {
        let Some(pool) = self.pools.get(query.pool) else {
            return false;
        };
        if self.brittle.count() == 0 {
            return false;
        }
        let mut members = pool.members.iter().map(|index| &self.backends[*index]);
        members.any(|backend| {
            takes_work(now_ms, backend, query)
                && self.backoffs.allows(now_ms, &backend.name)
                && !self.brittle.allows(now_ms, &backend.name)
        })
    }

    /// Returns the members that can take the call and their rate limits, if all
    /// of them declare one.
    pub(crate) fn all_limited(
        &self,
        now_ms: u64,
        query: &RouteQuery<'_>,
    ) -> Vec<(BackendName, f64)> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        let available = self.available_ignoring_grants(now_ms, query).into_iter();
        let limits = available.map(|index| {
            let name = &self.backends[index].name;
            Some((name.clone(), self.limits.limit_per_s(name)?))
        });
        let limits: Option<Vec<(BackendName, f64)>> = limits.collect();
        limits.unwrap_or_default()
    }

    /// Returns the time until the first backoff of a server ends, in ms, if
    /// backoffs are the only reason why no member can take the call.
    pub(crate) fn backoff_ends_in_ms(&self, now_ms: u64, query: &RouteQuery<'_>) -> Option<u64> {
        if !self.available_ignoring_grants(now_ms, query).is_empty() {
            return None;
        }
        let pool = self.pools.get(query.pool)?;
        let members = pool.members.iter().map(|index| &self.backends[*index]);
        let staying = members.filter(|backend| {
            backend.state(now_ms) != BackendState::Leaving && has_software(backend, query)
        });
        let ends_in = staying.map(|backend| {
            let until_ms = self.backoffs.until_ms(&backend.name);
            until_ms.saturating_sub(now_ms)
        });
        ends_in.filter(|ends_in_ms| *ends_in_ms > 0).min()
    }

    /// Returns whether the call is bound to a software version that no member has that stays.
    pub(crate) fn lacks_software(&self, now_ms: u64, query: &RouteQuery<'_>) -> bool {
        if *query.software == SoftwareBinding::Free {
            return false;
        }
        let pool = self.pools.get(query.pool);
        let mut members = pool.into_iter().flat_map(|pool| &pool.members);
        !members.any(|index| {
            let backend = &self.backends[*index];
            backend.state(now_ms) != BackendState::Leaving && has_software(backend, query)
        })
    }

    /// Returns the members that can take the call regardless of their health:
    /// without a healthy one, an idempotent call is still worth an attempt, and
    /// a slow or unlucky server continues to serve when the others leave.
    fn fallbacks(&self, now_ms: u64, query: &RouteQuery<'_>) -> Vec<usize> {
        let Some(pool) = self.pools.get(query.pool) else {
            return Vec::new();
        };
        let can_serve = |index: &usize| {
            let backend = &self.backends[*index];
            backend.state(now_ms) != BackendState::Leaving
                && has_model(backend, query.model)
                && has_software(backend, query)
                && self.allows(now_ms, &backend.name)
                && self.limits.is_open(now_ms, &backend.name)
        };
        pool.members.iter().copied().filter(can_serve).collect()
    }

    fn choose_round_robin(
        &mut self,
        now_ms: u64,
        query: &RouteQuery<'_>,
        eligible: &[usize],
    ) -> Routed {
        let Some(pool) = self.pools.get_mut(query.pool) else {
            return no_backend();
        };
        if eligible.is_empty() {
            return no_backend();
        }
        let position = pool.round_robin_index;
        pool.round_robin_index = position.wrapping_add(1);
        self.routed(
            now_ms,
            query,
            &[eligible[position % eligible.len()]],
            DecisionReason::RoundRobin,
        )
    }

    fn choose_least_loaded(
        &mut self,
        now_ms: u64,
        query: &RouteQuery<'_>,
        eligible: &[usize],
    ) -> Routed {
        let (near, far): (Vec<usize>, Vec<usize>) = eligible
            .iter()
            .partition(|index| self.backends[**index].zone == self.zone);
        let mut considered = pick_two(&mut self.rng, &near);
        if near.is_empty() || self.settings.spill == Spill::ByWait {
            considered.extend(pick_two(&mut self.rng, &far));
        }
        for holder in self.holders(query) {
            if eligible.contains(&holder) && !considered.contains(&holder) {
                considered.push(holder);
            }
        }
        match considered.len() {
            0 => no_backend(),
            1 => self.routed(now_ms, query, &considered, DecisionReason::Only),
            _ => self.routed(now_ms, query, &considered, DecisionReason::LeastLoad),
        }
    }

    /// Returns the engines that may have the prefix of the call cached.
    fn holders(&self, query: &RouteQuery<'_>) -> Vec<usize> {
        let Some(prefix) = query.prefix else {
            return Vec::new();
        };
        if self.settings.affinity == Affinity::Off {
            return Vec::new();
        }
        let holders = self.prefixes.holders(prefix);
        holders
            .iter()
            .filter_map(|name| self.by_name.get(name).copied())
            .collect()
    }

    /// Scores `considered` and chooses the lowest score.
    fn routed(
        &self,
        now_ms: u64,
        query: &RouteQuery<'_>,
        considered: &[usize],
        reason: DecisionReason,
    ) -> Routed {
        let holders = self.holders(query);
        let mut candidates: Vec<Candidate> = considered
            .iter()
            .map(|index| {
                let mut candidate = self.candidate(now_ms, &self.backends[*index]);
                if !holders.is_empty() && !holders.contains(index) {
                    candidate.score_us += self.affinity_us(query);
                }
                candidate
            })
            .collect();
        candidates.sort_by_key(|candidate| candidate.score_us);
        Routed {
            choice: candidates
                .first()
                .map(|candidate| candidate.backend.clone()),
            candidates,
            reason,
        }
    }

    fn candidate(&self, now_ms: u64, backend: &KnownBackend) -> Candidate {
        Candidate {
            backend: backend.name.clone(),
            zone: backend.zone.clone(),
            score_us: self.score_us(now_ms, backend),
        }
    }
}

/// Returns the indices that satisfy `is_better`, or all if none does.
fn prefer(indices: Vec<usize>, is_better: impl Fn(usize) -> bool) -> Vec<usize> {
    let better: Vec<usize> = indices
        .iter()
        .copied()
        .filter(|index| is_better(*index))
        .collect();
    if better.is_empty() { indices } else { better }
}

fn no_backend() -> Routed {
    Routed {
        candidates: Vec::new(),
        choice: None,
        reason: DecisionReason::NoBackend,
    }
}

fn takes_work(now_ms: u64, backend: &KnownBackend, query: &RouteQuery<'_>) -> bool {
    let is_serving = matches!(
        backend.state(now_ms),
        BackendState::Serving | BackendState::Unknown
    );
    is_serving
        && backend.may_get_call(now_ms)
        && has_model(backend, query.model)
        && has_software(backend, query)
}

fn has_software(backend: &KnownBackend, query: &RouteQuery<'_>) -> bool {
    query.software.allows(backend.software.as_ref())
}

fn has_model(backend: &KnownBackend, model: Option<&ModelName>) -> bool {
    match (model, &backend.models) {
        (Some(model), Some(models)) => models.contains(model),
        (None, _) | (Some(_), None) => true,
    }
}

/// Picks two of `choices` at random, or all if there are fewer.
fn pick_two(rng: &mut impl Rng, choices: &[usize]) -> Vec<usize> {
    if choices.len() <= 2 {
        return choices.to_vec();
    }
    let first = rng.random_range(0..choices.len());
    let second = (first + rng.random_range(1..choices.len())) % choices.len();
    vec![choices[first], choices[second]]
}
