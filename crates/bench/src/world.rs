//! One run: instances with the real core, servers and the network between them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    call::{CallId, LoadReport},
    execution::{Event, Execution},
    fleet::Fleet,
    ids::BackendName,
};

use crate::{
    deployment::Deployment,
    figures::{Figures, PoolCost},
    policy::Policy,
    scenario::{FAULT_FROM_US, Fault, RUN_US, SECOND_US, Scenario},
    server::{FakeServer, Job, Output},
    traffic::{Arrival, arrivals},
};

mod faults;
mod network;
mod requests;

use network::Network;

const US_PER_MS: u64 = 1_000;
const REPORT_EVERY_US: u64 = SECOND_US / 2;
/// One refused caller in so many comes back when it was told to.
const RETURN_ONE_IN: usize = 3;

/// Something that happens at a time.
#[derive(Debug)]
enum Happening {
    Arrive(Arrival),
    Call {
        server: usize,
        job: Job,
    },
    Cancel {
        server: usize,
        id: CallId,
    },
    Step {
        server: usize,
        key: u64,
    },
    ToRequest {
        request: usize,
        event: Event,
    },
    Timer {
        request: usize,
        at_us: u64,
    },
    Report {
        server: usize,
    },
    ReportArrives {
        instance: usize,
        report: LoadReport,
    },
    CacheEventArrives {
        instance: usize,
        server: usize,
        prefix: u64,
        cached: bool,
    },
    FaultBegins(Fault),
    FaultEnds(Fault),
}

#[derive(Debug)]
struct Scheduled {
    at_us: u64,
    seq: u64,
    happening: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.seq).cmp(&(other.at_us, other.seq))
    }
}

/// A request at its instance.
#[derive(Debug)]
struct Running {
    arrival: Arrival,
    execution: Execution,
    timer_at_us: u64,
    sent: u64,
    stages: HashSet<String>,
    /// Attempts whose answer was not used.
    unused: HashSet<u64>,
    /// Busy time by server and attempt.
    spent: Vec<(usize, u64, u64)>,
    is_attained: bool,
    is_over_share: bool,
    is_over: bool,
}

#[derive(Debug)]
struct Instance {
    fleet: Fleet,
    is_alive: bool,
}

/// The state of a run.
#[derive(Debug)]
pub struct World<'a> {
    deployment: &'a Deployment,
    scenario: Scenario,
    seed: u64,
    now_us: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    instances: Vec<Instance>,
    servers: Vec<FakeServer>,
    server_index: HashMap<BackendName, usize>,
    network: Network,
    requests: Vec<Running>,
    next_job: u64,
    rng: Pcg64Mcg,
    figures: Figures,
}

/// Runs a scenario and returns its figures.
pub fn run(deployment: &Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Figures {
    let mut world = World::new(deployment, scenario, policy, seed);
    world.schedule_all();
    while let Some(Reverse(next)) = world.queue.pop() {
        if next.at_us > RUN_US + 10 * SECOND_US {
            break;
        }
        world.now_us = next.at_us;
        world.happen(next.happening);
    }
    world.into_figures()
}

impl<'a> World<'a> {
    fn new(deployment: &'a Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let instances = deployment
            .instances
            .iter()
            .enumerate()
            .map(|(index, spec)| {
                let mut fleet = Fleet::new(
                    spec.name.clone(),
                    deployment.zones[spec.zone].clone(),
                    policy.settings(),
                    seed + index as u64,
                );
                fleet.configure(
                    &deployment.pools,
                    deployment.servers.iter().map(|server| &server.backend),
                );
                let peers = deployment.instances.len() - 1;
                fleet.set_peers(u32::try_from(peers).unwrap_or(u32::MAX));
                fleet.configure_workspaces(deployment.workspaces.iter().map(|w| &w.workspace));
                Instance {
                    fleet,
                    is_alive: true,
                }
            })
            .collect();
        let server_index = deployment
            .servers
            .iter()
            .enumerate()
            .map(|(index, server)| (server.backend.name.clone(), index))
            .collect();
        Self {
            deployment,
            scenario,
            seed,
            now_us: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            instances,
            servers: deployment
                .servers
                .iter()
                .cloned()
                .map(FakeServer::new)
                .collect(),
            server_index,
            network: Network::new(deployment),
            requests: Vec::new(),
            next_job: 0,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xbe7c),
            figures: Figures::new(deployment.workspaces.len()),
        }
    }

    fn schedule_all(&mut self) {
        for arrival in arrivals(self.deployment, self.scenario, self.seed) {
            self.schedule(arrival.at_us, Happening::Arrive(arrival));
        }
        for server in 0..self.servers.len() {
            let first_us = REPORT_EVERY_US * server as u64 / self.servers.len() as u64;
            self.schedule(first_us, Happening::Report { server });
        }
        for fault in self.scenario.faults(self.deployment) {
            self.schedule(FAULT_FROM_US, Happening::FaultBegins(fault));
            self.schedule(self.scenario.fault_until_us(), Happening::FaultEnds(fault));
        }
    }

    fn schedule(&mut self, at_us: u64, happening: Happening) {
        self.seq += 1;
        self.queue.push(Reverse(Scheduled {
            at_us,
            seq: self.seq,
            happening,
        }));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / US_PER_MS
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(arrival) => self.arrive(arrival),
            Happening::Call { server, job } => {
                let outputs = self.servers[server].on_call(self.now_us, job);
                self.carry_out(server, outputs);
            }
            Happening::Cancel { server, id } => {
                let outputs = self.servers[server].cancel(self.now_us, |job| job.id == id);
                self.carry_out(server, outputs);
            }
            Happening::Step { server, key } => {
                let outputs = self.servers[server].step(self.now_us, key);
                self.carry_out(server, outputs);
            }
            Happening::ToRequest { request, event } => self.hand_in(request, event),
            Happening::Timer { request, at_us } => {
                if self.requests[request].timer_at_us == at_us {
                    self.hand_in(request, Event::Timer);
                }
            }
            Happening::Report { server } => self.report(server),
            Happening::ReportArrives { instance, report } => {
                let now_ms = self.now_ms();
                self.instances[instance]
                    .fleet
                    .on_load_report(now_ms, &report);
            }
            Happening::CacheEventArrives {
                instance,
                server,
                prefix,
                cached,
            } => {
                let backend = &self.deployment.servers[server].backend.name;
                let fleet = &mut self.instances[instance].fleet;
                fleet.on_cache_event(backend, prefix, cached);
            }
            Happening::FaultBegins(fault) => self.begin_fault(fault),
            Happening::FaultEnds(fault) => self.end_fault(fault),
        }
    }

    fn carry_out(&mut self, server: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Refuse { job, reason } => {
                    let attempt = job.id.attempt;
                    let event = Event::Refused {
                        attempt,
                        reason,
                        retry_after_ms: None,
                    };
                    self.answer(server, job.instance, job.request, event);
                }
                Output::Answer {
                    instance,
                    request,
                    event,
                } => self.answer(server, instance, request, Event::Answered(event)),
                Output::StepAt { at_us, key } => {
                    self.schedule(at_us, Happening::Step { server, key });
                }
                Output::Cache { prefix, cached } => self.tell_cache(server, prefix, cached),
                Output::Spent {
                    request,
                    attempt,
                    busy_us,
                } => self.requests[request]
                    .spent
                    .push((server, attempt, busy_us)),
            }
        }
    }

    fn answer(&mut self, server: usize, instance: usize, request: usize, event: Event) {
        if let Some(delay_us) = self.network.delay_us(instance, server) {
            self.schedule(
                self.now_us + delay_us,
                Happening::ToRequest { request, event },
            );
        }
    }

    fn tell_cache(&mut self, server: usize, prefix: u64, cached: bool) {
        for instance in 0..self.instances.len() {
            let is_lost = self.rng.random::<f64>() < self.scenario.cache_event_loss();
            if is_lost || self.network.delay_us(instance, server).is_none() {
                continue;
            }
            self.schedule(
                self.now_us + self.scenario.cache_event_lag_us(),
                Happening::CacheEventArrives {
                    instance,
                    server,
                    prefix,
                    cached,
                },
            );
        }
    }

    fn report(&mut self, server: usize) {
        if self.now_us + REPORT_EVERY_US < RUN_US {
            self.schedule(self.now_us + REPORT_EVERY_US, Happening::Report { server });
        }
        let lag_us = self.scenario.report_lag_us();
        for instance in 0..self.instances.len() {
            let Some(delay_us) = self.network.delay_us(instance, server) else {
                continue;
            };
            let mut report = self.servers[server].report();
            report.age_ms = (lag_us + delay_us) / US_PER_MS;
            self.schedule(
                self.now_us + lag_us + delay_us,
                Happening::ReportArrives { instance, report },
            );
        }
    }

    fn into_figures(mut self) -> Figures {
        let mut costs = BTreeMap::new();
        for running in &self.requests {
            for (server, attempt, busy_us) in &running.spent {
                let spec = &self.deployment.servers[*server].backend;
                let price = self
                    .deployment
                    .pools
                    .iter()
                    .find(|pool| pool.name == spec.pool)
                    .map_or(0, |pool| pool.price_micros_per_s);
                let micros = *busy_us as f64 * price as f64 / SECOND_US as f64;
                let cost: &mut PoolCost = costs.entry(spec.pool.clone()).or_default();
                cost.total_micros += micros;
                if !running.is_attained || running.unused.contains(attempt) {
                    cost.wasted_micros += micros;
                }
            }
        }
        self.figures.costs = costs;
        self.figures.booked_micros = self
            .instances
            .iter()
            .flat_map(|instance| instance.fleet.costs().lines())
            .map(|line| line.cost_micros)
            .sum();
        self.figures
    }
}
