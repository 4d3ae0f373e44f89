//! One deployment: platform stand-ins, relays in front of them, and instances as processes.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use savoryvane_platform_standin::{Behaviour, RestartingServers, ServerStandIn, StoreStandIn};
use savoryvane_standins::{Relay, RelaySettings};
use tokio::time::Instant;

use crate::{
    config::{
        self, EVENTS_PER_STREAM, FIRST_ZONE, MAX_DESCRIPTORS, RETRY_RATIO, RETRY_SLACK, SERVICES,
        VERSIONS,
    },
    disturbances::Disturbances,
    error::Result,
    ledger::Ledger,
    ports::Ports,
    presses,
    process::{Addresses, Instance},
};

/// Availability zones, assigned to instances and servers in rotation.
const ZONES: [&str; 3] = [FIRST_ZONE, "amersfoort", "gouda"];
/// Bandwidth of an instance's link by its settings, in Mbit/s: enough for the callers, and half of
/// what a crowd sends in addition.
const LINK_MBPS: f64 = 4.0;
/// Number of instances that are configured as seeds for joining the group.
const PEER_SEED_COUNT: usize = 3;

/// A server, its relay, service and availability zone.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) standin: ServerStandIn,
    pub(crate) relay: Relay,
    pub(crate) service: &'static str,
    zone: &'static str,
    /// Number of runs of the server so far.
    run_count: AtomicU32,
    /// Index of the software version of its next run in [`VERSIONS`].
    next_version: AtomicUsize,
}

impl Server {
    /// Returns the behaviour of the server while it has no fault.
    pub(crate) fn default_behaviour(&self) -> Behaviour {
        match self.service {
            "engine" => Behaviour::Streams(EVENTS_PER_STREAM),
            _ => Behaviour::Healthy,
        }
    }

    /// Returns the software version of its next run.
    pub(crate) fn version(&self) -> &'static str {
        VERSIONS[self.next_version.load(Ordering::Relaxed) % VERSIONS.len()]
    }

    /// Returns the ID of the current run.
    pub(crate) fn run_id(&self) -> String {
        format!(
            "{}-{}",
            self.standin.id,
            self.run_count.load(Ordering::Relaxed)
        )
    }
}

/// The configuration that the operator has published.
#[derive(Clone, Debug, Default)]
pub(crate) struct AppliedConfig {
    version: u64,
    /// Versions that added a route, with the times at which they were created.
    pub(crate) added_routes: Vec<(u64, Instant)>,
}

/// A running deployment.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) store: StoreStandIn,
    /// Relays between the instances and the store, by instance.
    pub(crate) store_relays: Vec<Relay>,
    pub(crate) servers: Vec<Server>,
    pub(crate) press_servers: RestartingServers,
    pub(crate) addresses: Vec<Addresses>,
    pub(crate) ledger: Ledger,
    pub(crate) disturbances: Disturbances,
    instances: Vec<Mutex<Instance>>,
    is_ready: Vec<AtomicBool>,
    applied_config: Mutex<AppliedConfig>,
    /// Most memory and descriptors that a process was seen to take, in bytes and by number.
    max_usage: Mutex<(u64, usize)>,
    /// Reserves the addresses for as long as instances may restart.
    _ports: Ports,
}

impl Deployment {
    /// Starts all parts of the deployment, without waiting for the instances to become ready.
    pub(crate) async fn start(
        program: &Path,
        folder: &Path,
        instances: usize,
        memory_mb: u64,
    ) -> Result<Self> {
        let store = StoreStandIn::start().await;
        let mut servers = Vec::new();
        for (service, count) in SERVICES {
            for index in 0..count {
                let standin = ServerStandIn::start(&format!("{service}-{index}")).await;
                let relay = start_relay(standin.addr).await?;
                servers.push(Server {
                    standin,
                    relay,
                    service,
                    zone: ZONES[index % ZONES.len()],
                    run_count: AtomicU32::new(0),
                    next_version: AtomicUsize::new(0),
                });
            }
        }
        let mut ports = Ports::claim()?;
        let addresses = (0..instances).map(|_| ports.next_addresses());
        let addresses: Vec<Addresses> = addresses.collect::<Result<_>>()?;
        let mut store_relays = Vec::new();
        let mut processes = Vec::new();
        for (index, own) in addresses.iter().enumerate() {
            let relay = start_relay(store.addr).await?;
            let name = format!("entry-{index}");
            let settings = settings_yaml(&name, index, own, &relay, &addresses, memory_mb);
            let instance = Instance::new(program, folder, &name, &settings)?;
            processes.push(Mutex::new(instance));
            store_relays.push(relay);
        }
        let deployment = Self {
            press_servers: presses::start(&store).await,
            store,
            store_relays,
            servers,
            is_ready: addresses.iter().map(|_| AtomicBool::new(false)).collect(),
            addresses,
            ledger: Ledger::default(),
            disturbances: Disturbances::default(),
            instances: processes,
            applied_config: Mutex::default(),
            max_usage: Mutex::default(),
            _ports: ports,
        };
        for server in 0..deployment.servers.len() {
            deployment.start_server_run(server);
        }
        deployment.configure();
        for index in 0..instances {
            deployment.instance(index).start()?;
        }
        Ok(deployment)
    }

    /// Records what the process of an instance takes now.
    pub(crate) fn sample_usage(&self, index: usize) {
        let Some((memory_bytes, descriptors)) = self.instance(index).usage() else {
            return;
        };
        let mut max = self
            .max_usage
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *max = (max.0.max(memory_bytes), max.1.max(descriptors));
    }

    /// Returns the most memory and descriptors that a process was seen to take, in bytes and by
    /// number.
    pub(crate) fn max_usage(&self) -> (u64, usize) {
        *self
            .max_usage
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn instance(&self, index: usize) -> MutexGuard<'_, Instance> {
        let instance = self.instances[index].lock();
        instance.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of times that an instance was started.
    pub(crate) fn start_number(&self, index: usize) -> u32 {
        self.instance(index).start_count
    }

    pub(crate) fn set_ready(&self, index: usize, is_ready: bool) {
        self.is_ready[index].store(is_ready, Ordering::Relaxed);
    }

    pub(crate) fn ready_instances(&self) -> Vec<usize> {
        let instances = 0..self.is_ready.len();
        instances
            .filter(|index| self.is_ready[*index].load(Ordering::Relaxed))
            .collect()
    }

    /// Draws one of the ready instances.
    pub(crate) fn draw_ready(&self, rng: &mut Pcg64Mcg) -> Option<usize> {
        let ready = self.ready_instances();
        (!ready.is_empty()).then(|| ready[rng.random_range(0..ready.len())])
    }

    /// Publishes the next configuration version, which adds a route, and returns the version.
    pub(crate) fn configure(&self) -> u64 {
        let (version, config) = self.next_version();
        let text = config.to_string();
        self.store.put("keyed.op", "config", &text);
        version
    }

    /// Creates the next configuration version without writing it to the store.
    pub(crate) fn next_version(&self) -> (u64, serde_json::Value) {
        let mut applied_config = self.applied_config();
        applied_config.version += 3;
        let version = applied_config.version;
        applied_config.added_routes.push((version, Instant::now()));
        let added: Vec<u64> = applied_config
            .added_routes
            .iter()
            .map(|(added, _)| *added)
            .collect();
        (version, config::config_json(version, &added))
    }

    pub(crate) fn applied_config(&self) -> MutexGuard<'_, AppliedConfig> {
        let applied_config = self.applied_config.lock();
        applied_config.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the versions that added a route.
    pub(crate) fn added_versions(&self) -> Vec<u64> {
        let applied_config = self.applied_config();
        applied_config
            .added_routes
            .iter()
            .map(|(added, _)| *added)
            .collect()
    }

    /// Starts a new run of a server and registers it.
    pub(crate) fn start_server_run(&self, index: usize) {
        let server = &self.servers[index];
        server.run_count.fetch_add(1, Ordering::Relaxed);
        server.standin.restart_as(&server.run_id());
        if server.service == "engine" {
            server.standin.set_software(server.version());
        }
        server.standin.set(server.default_behaviour());
        self.register(index, "ready");
    }

    /// Replaces the run of a server by one with another software version.
    pub(crate) fn release(&self, index: usize, version: usize) {
        self.deregister(index);
        self.servers[index]
            .next_version
            .store(version, Ordering::Relaxed);
        self.start_server_run(index);
    }

    /// Returns the address of an engine whose software has another version.
    pub(crate) fn engine_of_another(&self, version: &str) -> SocketAddr {
        let mut engines = self.servers.iter().filter(|s| s.service == "engine");
        let other = engines.find(|server| server.version() != version);
        other.unwrap_or(&self.servers[0]).standin.addr
    }

    /// Registers the current run of a server with a state.
    pub(crate) fn register(&self, index: usize, state: &str) {
        let server = &self.servers[index];
        let addr = server.relay.addr();
        let entry = server
            .standin
            .entry_at(addr, server.service, server.zone, state);
        self.store.put("keyed.servers", &server.run_id(), &entry);
    }

    /// Removes the current run of a server from the register.
    pub(crate) fn deregister(&self, index: usize) {
        let id = self.servers[index].run_id();
        self.store.put("keyed.servers", &id, "");
    }
}

async fn start_relay(to: SocketAddr) -> Result<Relay> {
    let loopback = ([127, 0, 0, 1], 0).into();
    let settings = RelaySettings {
        addr: loopback,
        to,
        control: loopback,
    };
    Ok(Relay::start(settings).await?)
}

fn settings_yaml(
    name: &str,
    index: usize,
    own: &Addresses,
    store: &Relay,
    all: &[Addresses],
    memory_mb: u64,
) -> String {
    let seeds = all.iter().take(PEER_SEED_COUNT);
    let seeds: Vec<String> = seeds.map(|other| format!("\"{}\"", other.peer)).collect();
    format!(
        "instance: {name}\nzone: {}\nregion: one\nlisten:\n  caller: {}\n  ready: {}\n  \
         peer: {}\n  admin: {}\nstore: {}\nseeds: [{}]\ncores: 0.25\nlink_mbps: {LINK_MBPS}\n\
         memory_mb: {memory_mb}\nmax_descriptors: {MAX_DESCRIPTORS}\nrepeats:\n  \
         ratio: {RETRY_RATIO}\n  slack: {RETRY_SLACK}\n  instances: {}\nlog:\n  form: json\n  \
         level: info\ndrain:\n  grace_ms: 700\n  kill_after_s: 5.2\n",
        ZONES[index % ZONES.len()],
        own.caller,
        own.ready,
        own.peer,
        own.admin,
        store.addr(),
        seeds.join(","),
        all.len(),
    )
}
