//! The view that one instance has of the backend servers, and its choice among
//! them.

use std::collections::{BTreeMap, HashMap, HashSet};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    call::{LoadReport, RefusalReason, ServingState},
    cost::CostLedger,
    forwarding::{BrittleServers, ColdServers, EngineDemand, ServerBackoffs, ServerLimits},
    ids::{BackendName, InstanceName, PoolName, SoftwareVersion, ZoneName},
    objects::{Backend, Pool},
    quantile::Quantiles,
    settings::PolicySettings,
    zone_reach::ZonesReach,
};

mod admission;
mod engine_reports;
mod health;
mod in_flight;
mod known;
mod prefixes;
mod reach;
mod refusals;
mod retry_budget;
mod route;
mod score;
mod shares;
mod timeouts;

use admission::Overload;
pub(crate) use admission::{AdmitQuery, Admitted};
pub(crate) use health::Fault;
pub use known::{BackendState, BackendStatus};
pub(crate) use known::{KnownBackend, KnownPool, Report};
use prefixes::Prefixes;
use reach::CutOffAdvice;
pub(crate) use retry_budget::RetryBudget;
pub(crate) use route::{RouteQuery, Routed};
use shares::Shares;
pub(crate) use timeouts::ResponsePhase;

/// The end of a call, as feedback for routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// It completed after `elapsed_us`, of which it was busy for `busy_us`.
    Done {
        elapsed_us: u64,
        busy_us: u64,
        /// Whether it took longer than usual.
        was_overdue: bool,
    },
    /// It was refused.
    Refused(RefusalReason),
    /// The call or its connection failed.
    Failed(Fault),
    /// It was abandoned before it ended.
    Abandoned,
}

/// The state that one instance has of the backend servers.
#[derive(Debug)]
pub struct Fleet {
    instance: InstanceName,
    zone: ZoneName,
    pub(crate) settings: PolicySettings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) backends: Vec<KnownBackend>,
    by_name: HashMap<BackendName, usize>,
    pools: BTreeMap<PoolName, KnownPool>,
    /// Time outside of work, by availability zone of the backend server.
    network_times: BTreeMap<ZoneName, Quantiles>,
    /// Availability zones with recent connection failures.
    reach: ZonesReach,
    cut_off_advice: CutOffAdvice,
    /// Number of other instances that use the same backend servers.
    peers: u32,
    prefixes: Prefixes,
    overload: Overload,
    shares: Shares,
    cold: ColdServers,
    pub(crate) demand: EngineDemand,
    pub(crate) limits: ServerLimits,
    pub(crate) backoffs: ServerBackoffs,
    pub(crate) brittle: BrittleServers,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) costs: CostLedger,
}

impl Fleet {
    /// Creates the view of `instance` in `zone`; `seed` drives its random
    /// choices.
    pub fn new(
        instance: InstanceName,
        zone: ZoneName,
        settings: PolicySettings,
        seed: u64,
    ) -> Self {
        Self {
            cold: ColdServers::new(instance.clone()),
            demand: EngineDemand::default(),
            limits: ServerLimits::default(),
            backoffs: ServerBackoffs::default(),
            brittle: BrittleServers::default(),
            instance,
            zone,
            retry_budget: RetryBudget::new(&settings),
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            backends: Vec::new(),
            by_name: HashMap::new(),
            pools: BTreeMap::new(),
            network_times: BTreeMap::new(),
            reach: ZonesReach::default(),
            cut_off_advice: CutOffAdvice::default(),
            peers: 0,
            prefixes: Prefixes::default(),
            overload: Overload::default(),
            shares: Shares::default(),
            costs: CostLedger::default(),
        }
    }

    /// Applies the configured pools and backend servers. Observations of the
    /// remaining ones are retained; removed ones get no new calls.
    pub fn configure<'a>(
        &mut self,
        pools: impl IntoIterator<Item = &'a Pool>,
        backends: impl IntoIterator<Item = &'a Backend>,
    ) {
        let mut known: HashMap<BackendName, KnownBackend> = std::mem::take(&mut self.backends)
            .into_iter()
            .map(|backend| (backend.name.clone(), backend))
            .collect();
        let mut old_pools = std::mem::take(&mut self.pools);
        for pool in pools {
            let mut known_pool = old_pools
                .remove(&pool.name)
                .unwrap_or_else(|| KnownPool::new(pool));
            known_pool.pool = pool.clone();
            self.pools.insert(pool.name.clone(), known_pool);
        }
        for backend in backends {
            let mut entry = known
                .remove(&backend.name)
                .unwrap_or_else(|| KnownBackend::new(backend));
            entry.pool = backend.pool.clone();
            entry.zone = backend.zone.clone();
            entry.slots = backend.slots.max(1);
            self.backends.push(entry);
        }
        self.backends.sort_by(|a, b| a.name.cmp(&b.name));
        self.by_name = self
            .backends
            .iter()
            .enumerate()
            .map(|(index, backend)| (backend.name.clone(), index))
            .collect();
        let by_name = &self.by_name;
        self.limits.retain(|server| by_name.contains_key(server));
        self.brittle.retain(|server| by_name.contains_key(server));
        self.assign_subsets();
    }

    /// Selects the backend servers that this instance uses of each pool: the
    /// first of each availability zone by rendezvous hash.
    fn assign_subsets(&mut self) {
        let seed = xxh3_64_with_seed(self.instance.as_str().as_bytes(), 0);
        for known in self.pools.values_mut() {
            let mut zones: BTreeMap<&ZoneName, Vec<(u64, usize)>> = BTreeMap::new();
            for (index, backend) in self.backends.iter().enumerate() {
                if backend.pool == known.pool.name {
                    let rank = xxh3_64_with_seed(backend.name.as_str().as_bytes(), seed);
                    zones.entry(&backend.zone).or_default().push((rank, index));
                }
            }
            known.members = zones
                .into_values()
                .flat_map(|mut ranked| {
                    ranked.sort_unstable();
                    ranked.truncate(self.settings.subset_size);
                    ranked.into_iter().map(|(_, index)| index)
                })
                .collect();
        }
    }

    /// Returns the cold servers, and which of them this instance may send to.
    pub fn cold(&mut self) -> &mut ColdServers {
        &mut self.cold
    }

    /// Returns the estimate of the demand for engines.
    pub fn demand(&mut self) -> &mut EngineDemand {
        &mut self.demand
    }

    /// Returns the rate limits that servers declare.
    pub fn limits(&mut self) -> &mut ServerLimits {
        &mut self.limits
    }

    /// Returns the backoffs that servers have requested from this instance.
    pub fn backoffs(&mut self) -> &mut ServerBackoffs {
        &mut self.backoffs
    }

    /// Returns the servers that fail when they have to reject too many requests.
    pub fn brittle(&mut self) -> &mut BrittleServers {
        &mut self.brittle
    }

    /// Sets how many other instances use the same backend servers.
    pub fn set_peers(&mut self, peers: u32) {
        self.peers = peers;
    }

    /// Applies a load report, which may be stale.
    pub fn on_load_report(&mut self, now_ms: u64, report: &LoadReport) {
        let Some(backend) = self.known_mut(&report.server) else {
            return;
        };
        let measured_at_ms = now_ms.saturating_sub(report.age_ms);
        if backend
            .report
            .as_ref()
            .is_some_and(|known| known.measured_at_ms > measured_at_ms)
        {
            return;
        }
        backend.is_confirmed = true;
        backend.leaving = report.state == ServingState::Leaving;
        backend.slots = report.slots.max(1);
        backend.models = Some(report.models.clone());
        backend.report = Some(Report {
            load: report.running + report.queued,
            own_in_flight: backend.recent.at(measured_at_ms),
            measured_at_ms,
        });
    }

    /// Sets the backend servers that the platform's list marks as leaving; they
    /// get no new calls while it does. A load report of such a server does not
    /// undo this: the server may not know yet that it is leaving.
    pub fn on_listed_leaving(&mut self, leaving: &HashSet<BackendName>) {
        for backend in &mut self.backends {
            backend.listed_leaving = leaving.contains(&backend.name);
        }
    }

    /// Sets the versions of the backend servers' software by the platform's list.
    pub fn on_listed_software(&mut self, versions: &HashMap<BackendName, SoftwareVersion>) {
        for backend in &mut self.backends {
            backend.software = versions.get(&backend.name).cloned();
        }
    }

    /// Marks a backend server as leaving, as reported by a peer or by its own
    /// response; it gets no new calls. A later load report of the server can
    /// revoke this.
    pub fn on_leaving(&mut self, backend: &BackendName) {
        if let Some(known) = self.known_mut(backend) {
            known.leaving = true;
        }
    }

    /// Returns the status of each backend server, ordered by name.
    pub fn statuses(&self, now_ms: u64) -> impl Iterator<Item = BackendStatus> {
        self.backends
            .iter()
            .map(move |backend| backend.status(now_ms, self.backoffs.until_ms(&backend.name)))
    }

    /// Returns the names of the backend servers that this instance uses, pool
    /// by pool.
    pub fn members(&self) -> impl Iterator<Item = &BackendName> {
        let members = self.pools.values().flat_map(|known| &known.members);
        members.map(|index| &self.backends[*index].name)
    }

    /// Returns the costs of the requests of this instance.
    pub fn costs(&self) -> &CostLedger {
        &self.costs
    }

    /// Returns whether a backend server gets new calls.
    pub fn takes_new_work(&self, now_ms: u64, backend: &BackendName) -> bool {
        self.known(backend).is_some_and(|known| {
            matches!(
                known.state(now_ms),
                BackendState::Serving | BackendState::Unknown
            )
        })
    }

    pub(crate) fn pool(&self, name: &PoolName) -> Option<&KnownPool> {
        self.pools.get(name)
    }

    /// Returns whether a backend server is known to be leaving.
    pub fn is_leaving(&self, name: &BackendName) -> bool {
        let known = self.known(name);
        known.is_some_and(|backend| backend.leaving || backend.listed_leaving)
    }

    /// Returns the number of open calls of this instance at a backend server.
    pub fn in_flight(&self, name: &BackendName) -> u32 {
        self.known(name).map_or(0, |backend| backend.in_flight)
    }

    pub(crate) fn known(&self, name: &BackendName) -> Option<&KnownBackend> {
        self.by_name.get(name).map(|index| &self.backends[*index])
    }

    fn known_mut(&mut self, name: &BackendName) -> Option<&mut KnownBackend> {
        self.by_name
            .get(name)
            .map(|index| &mut self.backends[*index])
    }

    pub(crate) fn on_call_sent(&mut self, now_ms: u64, name: &BackendName) {
        self.cold.on_sent(now_ms, name);
        if let Some(backend) = self.known_mut(name) {
            backend.in_flight += 1;
            backend.recent.record(now_ms, backend.in_flight);
        }
    }

    pub(crate) fn on_call_ended(&mut self, now_ms: u64, name: &BackendName, end: CallEnd) {
        match end {
            CallEnd::Failed(Fault::Unreachable) => self.on_connect_failed(now_ms, name),
            CallEnd::Failed(Fault::Silent) | CallEnd::Abandoned => {}
            CallEnd::Done { .. } | CallEnd::Refused(_) | CallEnd::Failed(Fault::Failing) => {
                self.on_response(name);
            }
        }
        let Some(backend) = self.known_mut(name) else {
            return;
        };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        backend.recent.record(now_ms, backend.in_flight);
        let pool = backend.pool.clone();
        match end {
            CallEnd::Refused(RefusalReason::Leaving) => backend.leaving = true,
            CallEnd::Refused(RefusalReason::Full | RefusalReason::NoModel) => {
                backend.refusals.on_refusal(now_ms);
            }
            CallEnd::Done {
                elapsed_us,
                busy_us,
                was_overdue,
            } => {
                backend.is_confirmed = true;
                backend.refusals.on_success();
                if !was_overdue {
                    backend.health.on_success();
                }
                let zone = backend.zone.clone();
                let network_us = elapsed_us.saturating_sub(busy_us);
                self.network_times
                    .entry(zone)
                    .or_default()
                    .record(network_us);
                if let Some(known) = self.pools.get_mut(&pool) {
                    known.busy_times.record(busy_us);
                }
            }
            CallEnd::Failed(fault) => self.on_fault(now_ms, name, fault),
            CallEnd::Refused(_) | CallEnd::Abandoned => {}
        }
    }
}
