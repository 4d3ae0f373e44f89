//! One deployment: stand-ins of the platform, proxies before them, and instances
//! as processes.

use std::{
    path::Path,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use savoryvane_platform_standin::{Behaviour, RestartingServers, ServerStandIn, StoreStandIn};
use savoryvane_standins::{Relay, RelaySettings};
use tokio::time::Instant;

use crate::{
    config::{self, EVENTS, FIRST_ZONE, REPEAT_RATIO, REPEAT_SLACK, SERVICES},
    disturbances::Disturbances,
    error::Result,
    ledger::Ledger,
    ports::Ports,
    presses,
    process::{Addresses, Instance},
};

/// Availability zones that instances and servers stand in by turns.
const ZONES: [&str; 3] = [FIRST_ZONE, "amersfoort", "gouda"];
/// Instances that others are told of at their start.
const SEEDS: usize = 3;

/// A server, the proxy before it, and where it belongs.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) standin: ServerStandIn,
    pub(crate) relay: Relay,
    pub(crate) service: &'static str,
    zone: &'static str,
    /// Runs of it so far.
    runs: AtomicU32,
}

impl Server {
    /// Returns what it does while nothing is wrong with it.
    pub(crate) fn usual(&self) -> Behaviour {
        match self.service {
            "engine" => Behaviour::Streams(EVENTS),
            _ => Behaviour::Healthy,
        }
    }

    /// Names its current run.
    pub(crate) fn id(&self) -> String {
        format!("{}-{}", self.standin.id, self.runs.load(Ordering::Relaxed))
    }
}

/// What the operator has put in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configured {
    version: u64,
    /// Versions that added a route, and when they were acknowledged.
    pub(crate) added: Vec<(u64, Instant)>,
}

/// A deployment that is played.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) store: StoreStandIn,
    /// The way of each instance to the store.
    pub(crate) store_relays: Vec<Relay>,
    pub(crate) servers: Vec<Server>,
    pub(crate) presses: RestartingServers,
    pub(crate) addresses: Vec<Addresses>,
    pub(crate) ledger: Ledger,
    pub(crate) disturbances: Disturbances,
    instances: Vec<Mutex<Instance>>,
    ready: Vec<AtomicBool>,
    configured: Mutex<Configured>,
    /// Holds the addresses for as long as the instances may start again.
    _ports: Ports,
}

impl Deployment {
    /// Starts everything; the instances are not ready yet.
    pub(crate) async fn start(program: &Path, folder: &Path, instances: usize) -> Result<Self> {
        let store = StoreStandIn::start().await;
        let mut servers = Vec::new();
        for (service, count) in SERVICES {
            for index in 0..count {
                let standin = ServerStandIn::start(&format!("{service}-{index}")).await;
                let relay = relay_to(standin.addr).await?;
                servers.push(Server {
                    standin,
                    relay,
                    service,
                    zone: ZONES[index % ZONES.len()],
                    runs: AtomicU32::new(0),
                });
            }
        }
        let mut ports = Ports::claim()?;
        let addresses = (0..instances).map(|_| ports.addresses());
        let addresses: Vec<Addresses> = addresses.collect::<Result<_>>()?;
        let mut store_relays = Vec::new();
        let mut processes = Vec::new();
        for (index, own) in addresses.iter().enumerate() {
            let relay = relay_to(store.addr).await?;
            let name = format!("entry-{index}");
            let settings = settings(&name, index, own, &relay, &addresses);
            let instance = Instance::new(program, folder, &name, &settings)?;
            processes.push(Mutex::new(instance));
            store_relays.push(relay);
        }
        let deployment = Self {
            presses: presses::start(&store).await,
            store,
            store_relays,
            servers,
            ready: addresses.iter().map(|_| AtomicBool::new(false)).collect(),
            addresses,
            ledger: Ledger::default(),
            disturbances: Disturbances::default(),
            instances: processes,
            configured: Mutex::default(),
            _ports: ports,
        };
        for server in 0..deployment.servers.len() {
            deployment.start_run(server);
        }
        deployment.configure();
        for index in 0..instances {
            deployment.instance(index).start()?;
        }
        Ok(deployment)
    }

    pub(crate) fn instance(&self, index: usize) -> MutexGuard<'_, Instance> {
        let instance = self.instances[index].lock();
        instance.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of an instance's last start.
    pub(crate) fn boot(&self, index: usize) -> u32 {
        self.instance(index).boots
    }

    pub(crate) fn set_ready(&self, index: usize, is_ready: bool) {
        self.ready[index].store(is_ready, Ordering::Relaxed);
    }

    pub(crate) fn ready(&self) -> Vec<usize> {
        let instances = 0..self.ready.len();
        instances
            .filter(|index| self.ready[*index].load(Ordering::Relaxed))
            .collect()
    }

    /// Draws one of the instances that take requests.
    pub(crate) fn draw_ready(&self, rng: &mut Pcg64Mcg) -> Option<usize> {
        let ready = self.ready();
        (!ready.is_empty()).then(|| ready[rng.random_range(0..ready.len())])
    }

    /// Puts the next version in force, which adds a route; returns it.
    pub(crate) fn configure(&self) -> u64 {
        let (version, config) = self.next_version();
        let text = config.to_string();
        self.store.put("keyed.op", "config", &text);
        version
    }

    /// Draws the next version up without writing it.
    pub(crate) fn next_version(&self) -> (u64, serde_json::Value) {
        let mut configured = self.configured();
        configured.version += 3;
        let version = configured.version;
        configured.added.push((version, Instant::now()));
        let added: Vec<u64> = configured.added.iter().map(|(added, _)| *added).collect();
        (version, config::describe(version, &added))
    }

    pub(crate) fn configured(&self) -> MutexGuard<'_, Configured> {
        let configured = self.configured.lock();
        configured.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the versions that added a route.
    pub(crate) fn added(&self) -> Vec<u64> {
        let configured = self.configured();
        configured.added.iter().map(|(added, _)| *added).collect()
    }

    /// Starts a new run of a server, which registers itself.
    pub(crate) fn start_run(&self, index: usize) {
        let server = &self.servers[index];
        server.runs.fetch_add(1, Ordering::Relaxed);
        server.standin.restart_as(&server.id());
        server.standin.set(server.usual());
        self.register(index, "ready");
    }

    /// Registers the current run of a server with a state.
    pub(crate) fn register(&self, index: usize, state: &str) {
        let server = &self.servers[index];
        let addr = server.relay.addr();
        let entry = server
            .standin
            .entry_at(addr, server.service, server.zone, state);
        self.store.put("keyed.servers", &server.id(), &entry);
    }

    /// Takes the current run of a server out of the register.
    pub(crate) fn deregister(&self, index: usize) {
        let id = self.servers[index].id();
        self.store.put("keyed.servers", &id, "");
    }
}

async fn relay_to(to: std::net::SocketAddr) -> Result<Relay> {
    let any = ([127, 0, 0, 1], 0).into();
    let settings = RelaySettings {
        addr: any,
        to,
        control: any,
    };
    Ok(Relay::start(settings).await?)
}

fn settings(name: &str, index: usize, own: &Addresses, store: &Relay, all: &[Addresses]) -> String {
    let seeds = all.iter().take(SEEDS);
    let seeds: Vec<String> = seeds.map(|other| format!("\"{}\"", other.peer)).collect();
    format!(
        "instance: {name}\nzone: {}\nregion: one\nlisten:\n  caller: {}\n  ready: {}\n  \
         peer: {}\n  admin: {}\nstore: {}\nseeds: [{}]\ncores: 0.25\nrepeats:\n  \
         ratio: {REPEAT_RATIO}\n  slack: {REPEAT_SLACK}\n  instances: {}\nlog:\n  form: json\n  \
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
