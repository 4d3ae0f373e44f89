//! The two deployments of today, at their sizes and latencies.

use std::{net::SocketAddr, sync::Arc};

use savoryvane_core::{
    ids::{InstanceName, PipelineName, WorkspaceName, ZoneName},
    objects::{Backend, Fencing, Objective, Pipeline, Pool, Stage, StageKind, Workspace},
};

/// How a backend server spends time on a call.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// A plain service: log-normal around a median.
    Plain {
        /// Median time, in µs.
        median_us: u64,
        /// Spread: standard deviation of the logarithm.
        sigma: f64,
    },
    /// A model engine. One of its tokens stands for about ten real ones.
    Engine {
        /// Time to take in a prompt, in µs.
        prefill_us: u64,
        /// The same when the prompt's prefix is cached, in µs.
        cached_prefill_us: u64,
        /// Time for a token, in µs.
        token_us: u64,
        /// Fewest tokens of an answer.
        min_tokens: u32,
        /// Most tokens of an answer.
        max_tokens: u32,
        /// Prefixes that its cache holds.
        cache_entries: usize,
    },
}

impl Work {
    /// Returns the mean busy time of a call without any cached prefix, in s.
    pub fn mean_s(self) -> f64 {
        match self {
            Self::Plain { median_us, sigma } => {
                median_us as f64 * (sigma * sigma / 2.0).exp() / 1e6
            }
            Self::Engine {
                prefill_us,
                token_us,
                min_tokens,
                max_tokens,
                ..
            } => {
                let tokens = f64::from(min_tokens + max_tokens) / 2.0;
                (prefill_us as f64 + tokens * token_us as f64) / 1e6
            }
        }
    }
}

/// A backend server and how it works.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Its declaration.
    pub backend: Backend,
    /// Time that its calls take.
    pub work: Work,
}

/// A workspace and the traffic that it sends.
#[derive(Clone, Debug)]
pub struct WorkspaceSpec {
    /// Its declaration.
    pub workspace: Workspace,
    /// Its share of the requests on a normal day.
    pub share: f64,
    /// Prompt prefixes that its requests share.
    pub prefixes: u64,
}

/// An entry instance.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone, as an index.
    pub zone: usize,
}

/// Everything that a run needs to know of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name used in figures.
    pub name: &'static str,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
    /// One-way latency between availability zones, in µs.
    pub zone_one_way_us: u64,
    /// One-way latency to callers, in µs.
    pub client_one_way_us: u64,
    /// Entry instances.
    pub instances: Vec<InstanceSpec>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Backend servers.
    pub servers: Vec<ServerSpec>,
    /// Pipelines, each with its share of every workspace's requests.
    pub pipelines: Vec<(Arc<Pipeline>, f64)>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Pool whose stage is slowed in the scenario of a slow stage.
    pub slow_pool: &'static str,
    /// What its users weigh more heavily.
    pub objective: Objective,
}

/// Pool of the language model runners, in both deployments.
pub const LM_POOL: &str = "lm";

const ENTRY_INSTANCES: usize = 9;
const LM_SLOTS: u32 = 8;

impl Deployment {
    /// Returns the request rate that keeps every language model runner busy.
    pub fn full_rate_per_s(&self) -> f64 {
        let capacity: f64 = self
            .servers
            .iter()
            .filter(|server| server.backend.pool.as_str() == LM_POOL)
            .map(|server| f64::from(server.backend.slots) / server.work.mean_s())
            .sum();
        let lm_share: f64 = self
            .pipelines
            .iter()
            .filter(|(pipeline, _)| {
                pipeline
                    .stages
                    .iter()
                    .any(|stage| stage.pool.as_str() == LM_POOL)
            })
            .map(|(_, share)| share)
            .sum();
        capacity / lm_share
    }

    /// Returns the deployment with every workspace set to `objective`.
    #[must_use]
    pub fn with_objective(&self, objective: Objective) -> Self {
        let mut changed = self.clone();
        changed.objective = objective;
        for spec in &mut changed.workspaces {
            spec.workspace.objective = objective;
        }
        changed
    }

    /// Stichting Uithangbord Vakwerk: three availability zones, 12 runners.
    pub fn uithangbord() -> Self {
        let zones = zones(&["hal-utrecht", "hal-amersfoort", "hal-gouda"]);
        let mut builder = Builder::new(&zones);
        let engine = Work::Engine {
            prefill_us: 300_000,
            cached_prefill_us: 60_000,
            token_us: 80_000,
            min_tokens: 8,
            max_tokens: 24,
            cache_entries: 24,
        };
        builder.pool(LM_POOL, StageKind::Generate, 900, 12, LM_SLOTS, engine);
        builder.pool(
            "member-counter",
            StageKind::Call,
            60,
            4,
            4,
            plain(8_000, 0.4),
        );
        builder.pool(
            "photo-archive",
            StageKind::Retrieve,
            200,
            5,
            2,
            plain(60_000, 0.5),
        );
        builder.pool(
            "appointments",
            StageKind::Call,
            60,
            3,
            4,
            plain(12_000, 0.4),
        );
        builder.pool("invoicing", StageKind::Call, 80, 3, 4, plain(15_000, 0.4));
        let quotation = pipeline(
            "quotation",
            6_000,
            &[
                ("member-counter", true),
                ("photo-archive", true),
                (LM_POOL, true),
                ("invoicing", false),
            ],
        );
        let lettering = pipeline(
            "lettering",
            6_000,
            &[("photo-archive", true), (LM_POOL, true)],
        );
        let visit = pipeline(
            "visit",
            1_000,
            &[("member-counter", true), ("appointments", false)],
        );
        Self {
            name: "uithangbord",
            instances: instances(&zones),
            zone_one_way_us: 500,
            client_one_way_us: 1_000,
            pools: builder.pools,
            servers: builder.servers,
            workspaces: workspaces(
                &["rijnmond", "noord", "gelderland", "zeeland", "limburg"],
                &[&quotation, &lettering, &visit],
                Objective::Cost,
            ),
            pipelines: vec![(quotation, 0.5), (lettering, 0.3), (visit, 0.2)],
            slow_pool: "photo-archive",
            objective: Objective::Cost,
            zones,
        }
    }

    /// Taalghar Rooms: four availability zones, 18 runners.
    pub fn taalghar() -> Self {
        let zones = zones(&["salt-lake", "new-town", "howrah", "behala"]);
        let mut builder = Builder::new(&zones);
        let engine = Work::Engine {
            prefill_us: 250_000,
            cached_prefill_us: 50_000,
            token_us: 70_000,
            min_tokens: 6,
            max_tokens: 22,
            cache_entries: 24,
        };
        builder.pool(LM_POOL, StageKind::Generate, 700, 18, LM_SLOTS, engine);
        builder.pool("booking", StageKind::Call, 90, 5, 4, plain(20_000, 0.4));
        builder.pool(
            "room-calendar",
            StageKind::Retrieve,
            150,
            5,
            3,
            plain(50_000, 0.5),
        );
        builder.pool(
            "owner-alerts",
            StageKind::Call,
            40,
            4,
            4,
            plain(10_000, 0.4),
        );
        builder.pool(
            "gear-list",
            StageKind::Retrieve,
            40,
            4,
            4,
            plain(12_000, 0.4),
        );
        let chat = pipeline("chat", 4_000, &[("gear-list", true), (LM_POOL, true)]);
        let hold = pipeline(
            "hold",
            4_500,
            &[
                ("room-calendar", true),
                (LM_POOL, true),
                ("booking", false),
                ("owner-alerts", true),
            ],
        );
        let confirm = pipeline(
            "confirm",
            1_500,
            &[("room-calendar", true), ("booking", false)],
        );
        Self {
            name: "taalghar",
            instances: instances(&zones),
            zone_one_way_us: 1_500,
            client_one_way_us: 3_000,
            pools: builder.pools,
            servers: builder.servers,
            workspaces: workspaces(
                &["studios", "colleges", "weddings", "drummers", "repairs"],
                &[&chat, &hold, &confirm],
                Objective::Attainment,
            ),
            pipelines: vec![(chat, 0.5), (hold, 0.3), (confirm, 0.2)],
            slow_pool: "room-calendar",
            objective: Objective::Attainment,
            zones,
        }
    }
}

/// Collects pools and their backend servers, spread over the zones.
struct Builder<'a> {
    zones: &'a [ZoneName],
    pools: Vec<Pool>,
    servers: Vec<ServerSpec>,
}

impl<'a> Builder<'a> {
    fn new(zones: &'a [ZoneName]) -> Self {
        Self {
            zones,
            pools: Vec::new(),
            servers: Vec::new(),
        }
    }

    fn pool(
        &mut self,
        name: &str,
        kind: StageKind,
        price: u64,
        count: u16,
        slots: u32,
        work: Work,
    ) {
        let first_zone = self.pools.len();
        for number in 0..count {
            let port = 10_000 + u16::try_from(self.servers.len()).unwrap_or(0);
            let zone = (first_zone + usize::from(number)) % self.zones.len();
            self.servers.push(ServerSpec {
                backend: Backend {
                    name: format!("{name}-{number}").as_str().into(),
                    pool: name.into(),
                    zone: self.zones[zone].clone(),
                    addr: SocketAddr::from(([127, 0, 0, 1], port)),
                    slots,
                },
                work,
            });
        }
        self.pools.push(Pool {
            name: name.into(),
            kind,
            price_micros_per_s: price,
            fencing: Fencing::Ignored,
        });
    }
}

fn zones(names: &[&str]) -> Vec<ZoneName> {
    names.iter().map(ZoneName::new).collect()
}

fn instances(zones: &[ZoneName]) -> Vec<InstanceSpec> {
    (0..ENTRY_INSTANCES)
        .map(|number| InstanceSpec {
            name: format!("entry-{number}").as_str().into(),
            zone: number % zones.len(),
        })
        .collect()
}

fn plain(median_us: u64, sigma: f64) -> Work {
    Work::Plain { median_us, sigma }
}

fn pipeline(name: &str, deadline_ms: u64, stages: &[(&str, bool)]) -> Arc<Pipeline> {
    let stages = stages
        .iter()
        .map(|(pool, idempotent)| Stage {
            name: (*pool).into(),
            pool: (*pool).into(),
            model: None,
            idempotent: *idempotent,
            max_tokens: if *pool == LM_POOL { 32 } else { 0 },
        })
        .collect();
    Arc::new(Pipeline {
        name: PipelineName::new(name),
        deadline_ms,
        stages,
    })
}

/// Five workspaces, a few of them large.
fn workspaces(
    names: &[&str; 5],
    pipelines: &[&Arc<Pipeline>],
    objective: Objective,
) -> Vec<WorkspaceSpec> {
    let shares = [0.45, 0.30, 0.15, 0.07, 0.03];
    let weights = [4, 3, 2, 1, 1];
    names
        .iter()
        .zip(shares.iter().zip(weights))
        .map(|(name, (share, weight))| WorkspaceSpec {
            workspace: Workspace {
                name: WorkspaceName::new(name),
                credential_sha256: String::new(),
                pipelines: pipelines.iter().map(|p| p.name.clone()).collect(),
                weight,
                quota_per_s: 10_000,
                objective,
                attainment_per_mille: 950,
            },
            share: *share,
            prefixes: 12,
        })
        .collect()
}
