//! Routing configuration of forwarded requests.

use serde::{Deserialize, Serialize};

use crate::ids::{PoolName, WorkspaceName};

/// One complete version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Version number, which increases with each version.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services that routes and stages refer to.
    pub services: Vec<Service>,
    /// Workspaces with their keys, which admit requests. An empty list and workspaces without
    /// keys admit none; if there is no list, no request needs a key.
    pub workspaces: Option<Vec<WorkspaceKeys>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Limits for the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the head of a request, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Idle timeout of a connection, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 64 << 10,
            body_bytes: 4 << 20,
            idle_timeout_ms: 60_000,
        }
    }
}

/// A workspace and the keys that authenticate its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceKeys {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Rank that overrides that of a route, 0 being the most urgent.
    pub priority: Option<u8>,
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once for each request of a caller.
    Mutating,
    /// Its response is a stream of events. It runs at most once unless the route is resumable.
    Stream,
}

/// Destination of the requests to a host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the request.
    pub host: String,
    /// Prefix of the request path.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Services that share the requests by weight.
    pub targets: Vec<Target>,
    /// Most backend servers that one request may be sent to.
    pub max_servers: u32,
    /// Longest time that a caller waits for a response, in ms.
    pub timeout_ms: u64,
    /// Latency goal within which a response has its full value, in ms.
    pub goal_ms: u64,
    /// Rank of its requests, 0 being the most urgent.
    pub priority: u8,
    /// Whether its requests are accepted without a key.
    pub is_public: bool,
    /// Whether its requests carry prompts of a model engine.
    pub has_prompts: bool,
    /// Whether another engine may resume an interrupted stream.
    pub is_resumable: bool,
    /// Longest gap between two events of a stream that counts as in time, in ms.
    pub event_gap_ms: Option<u64>,
    /// Stages that run before the request itself.
    pub stages: Vec<RouteStage>,
}

impl Route {
    /// Tells whether a request may be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Mutating => false,
            RouteKind::Stream => self.is_resumable,
        }
    }
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: PoolName,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// Work before a request, in pieces that backend servers process in batches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStage {
    /// Service that runs the stage.
    pub service: PoolName,
    /// Indices of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Typical size of one result, in bytes.
    pub result_bytes: u64,
}

/// Interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: PoolName,
    /// Connections that one server accepts from all instances together.
    pub max_connections: u32,
    /// Batching parameters, for a service of stages.
    pub batching: Option<Batching>,
    /// Capacity of each engine, for a service of prompts.
    pub engine: Option<Engine>,
    /// Limits after the start of a server, if it has a cold start.
    pub cold_start: Option<ColdStart>,
}

/// Limits of a server while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time from the start for which the server is cold, in ms.
    pub duration_ms: u64,
    /// Requests per second that it accepts from all instances together until then.
    pub requests_per_s: f64,
}

/// How a server processes pieces of stages.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batching {
    /// Calls that it processes concurrently.
    pub slots: u32,
    /// Calls that may wait for a slot.
    pub queue: u32,
    /// Most pieces of one call.
    pub batch_pieces: usize,
    /// Fixed duration of a call, without its pieces, in ms.
    pub call_ms: f64,
    /// Typical duration of one piece, in ms.
    pub piece_ms: f64,
    /// Memory for results, in bytes.
    pub room_bytes: u64,
    /// Time for which a result is retained after its call unless it is freed earlier, in ms.
    pub result_ttl_ms: u64,
}

impl Batching {
    /// Returns the expected duration of a call with `pieces`, in ms.
    pub fn duration_ms(&self, pieces: usize) -> f64 {
        self.call_ms + self.piece_ms * pieces as f64
    }
}

/// Capacity of one model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Capacity of its memory, in tokens.
    pub memory_tokens: u64,
}
