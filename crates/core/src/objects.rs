//! Configurable objects: pools, backend servers, models, pipelines and workspaces.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::ids::{
    BackendName, ModelName, PipelineName, PoolName, StageName, WorkspaceName, ZoneName,
};

/// Kind of work that a pool does and a stage requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageKind {
    /// Turns text into a vector.
    Encode,
    /// Finds documents for a vector.
    Retrieve,
    /// Orders documents by relevance.
    Rerank,
    /// Generates text on a model engine.
    Generate,
    /// Calls a plain service, such as a calendar or a payment service.
    Call,
}

impl StageKind {
    /// Returns the name used in configuration, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Encode => "encode",
            Self::Retrieve => "retrieve",
            Self::Rerank => "rerank",
            Self::Generate => "generate",
            Self::Call => "call",
        }
    }
}

/// Whether the engines of a pool refuse orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with an old number are refused.
    Checked,
    /// The number is ignored.
    #[default]
    Ignored,
}

/// Backend servers that do the same work at the same price.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Work that its backend servers do.
    pub kind: StageKind,
    /// Price of a busy second, in millionths of the accounting currency.
    pub price_micros_per_s: u64,
    /// Whether its engines check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
}

/// A backend server as declared by the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the backend server.
    pub name: BackendName,
    /// Pool of the backend server.
    pub pool: PoolName,
    /// Availability zone of the backend server.
    pub zone: ZoneName,
    /// Address of the backend server.
    pub addr: SocketAddr,
    /// Maximum number of concurrent calls.
    pub slots: u32,
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Pool whose engines can serve it.
    pub pool: PoolName,
    /// Size of its weights, in MB.
    pub size_mb: u64,
    /// Minimum number of engines in each availability zone that keep the model loaded.
    pub min_replicas: u32,
}

/// One step of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name of the stage.
    pub name: StageName,
    /// Pool whose backend servers run the stage. Its kind is the stage's kind.
    pub pool: PoolName,
    /// Model that the stage needs, for generation.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Whether a call may be retried after an earlier one may have run.
    #[serde(default = "idempotent_by_default")]
    pub idempotent: bool,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: u32,
}

fn idempotent_by_default() -> bool {
    true
}

/// A sequence of stages that share one deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Name of the pipeline.
    pub name: PipelineName,
    /// Maximum time from the arrival of a request to its complete response, in ms.
    pub deadline_ms: u64,
    /// Stages in the order in which they run.
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// Returns whether every stage may be retried.
    pub fn is_idempotent(&self) -> bool {
        self.stages.iter().all(|stage| stage.idempotent)
    }
}

/// Objective that has priority for a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Responses within the deadline, at a higher cost where necessary.
    #[default]
    Attainment,
    /// Low cost of each stage, with responses still within the deadline.
    Cost,
}

/// Share of the system for one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// SHA-256 of the credential that its callers present, in lower-case hex.
    pub credential_sha256: String,
    /// Pipelines that its callers may use.
    pub pipelines: Vec<PipelineName>,
    /// Weight of its share under overload.
    pub weight: u32,
    /// Maximum requests per second over the whole deployment.
    pub quota_per_s: u32,
    /// Objective that has priority.
    #[serde(default)]
    pub objective: Objective,
    /// Target share of requests with a complete response within the deadline, per mille.
    #[serde(default = "default_attainment_per_mille")]
    pub attainment_per_mille: u32,
}

fn default_attainment_per_mille() -> u32 {
    950
}

/// Any object of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// A pool.
    Pool(Pool),
    /// A backend server.
    Backend(Backend),
    /// A model.
    Model(Model),
    /// A pipeline.
    Pipeline(Pipeline),
    /// A workspace.
    Workspace(Workspace),
}

/// Kind of an object of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A pool.
    Pool,
    /// A backend server.
    Backend,
    /// A model.
    Model,
    /// A pipeline.
    Pipeline,
    /// A workspace.
    Workspace,
}

impl ObjectKind {
    /// Returns the name used in intents, logs and errors.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pool => "pool",
            Self::Backend => "backend",
            Self::Model => "model",
            Self::Pipeline => "pipeline",
            Self::Workspace => "workspace",
        }
    }
}

/// Identifies an object of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object, unique among its kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.kind.as_str(), self.name)
    }
}

impl Object {
    /// Returns the key that identifies this object.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Self::Pool(pool) => (ObjectKind::Pool, pool.name.as_str()),
            Self::Backend(backend) => (ObjectKind::Backend, backend.name.as_str()),
            Self::Model(model) => (ObjectKind::Model, model.name.as_str()),
            Self::Pipeline(pipeline) => (ObjectKind::Pipeline, pipeline.name.as_str()),
            Self::Workspace(workspace) => (ObjectKind::Workspace, workspace.name.as_str()),
        };
        ObjectKey {
            kind,
            name: name.to_owned(),
        }
    }
}
