//! Forwards requests to backend servers as their callers sent them: matches a route, chooses
//! a server and decides what follows a failure.

mod attribution;
mod backoff;
mod body_end;
mod brittle;
mod budget;
mod cells;
mod cold_servers;
mod deadlines;
mod directory;
mod engine_demand;
mod entry;
mod evacuation;
mod event_splitter;
mod event_stream;
mod fetch_times;
mod grants;
mod limits;
mod objects;
mod placement;
mod position;
mod record_backlog;
mod record_keepers;
mod relays;
mod removed_servers;
mod response_times;
mod served_software;
mod server_paths;
mod signals;
mod software;
mod steps;
mod store_reads;
mod store_uptime;
mod stream_records;
mod table;
mod take_up;
mod timeouts;

pub use attribution::{Attribution, ConnectionHistory, NamedRequest, holds_status_line};
pub(crate) use backoff::return_after_ms;
pub use backoff::{MAX_BACKOFF_MS, ServerBackoffs};
pub use body_end::{BodyEnd, Framing};
pub use brittle::{BrittleServers, Brittleness};
pub use budget::{BudgetSettings, RepeatBudgets};
pub use cells::{CellLayout, FleetSize, Scope};
pub use cold_servers::{ColdServers, MAX_ARRIVAL_MS, WINDOW_MS};
pub use deadlines::RouteDeadlines;
pub use directory::{CopySource, Directory, PeerUpdate};
pub use engine_demand::EngineDemand;
pub use entry::{DirectoryUpdate, ExpiringServer, ServerEntry, ServerState, SyncPoint};
pub use evacuation::{
    EvacuationState, Evacuations, MAX_ZONES, MISSING_GRACE_MS, REINSTATE_DELAY_MS, ZoneOrder,
};
pub use event_splitter::{EventSplitter, MAX_EVENT_BYTES, ResumePoint};
pub use event_stream::EventPosition;
pub use fetch_times::FetchTimes;
pub(crate) use grants::MIN_LIMIT_PER_S;
pub use grants::{GrantPurpose, GrantQuery, GrantState, LimitGrants};
pub use limits::{LimitChange, LimitReport, NamedLimit, ServerLimits};
pub use objects::{
    Batching, CallerLimits, ColdStart, Engine, Route, RouteKind, RouteStage, RoutingConfig,
    Service, Target, WorkspaceKeys,
};
pub use placement::{MAX_GRANT_CANDIDATES, Placement, Prompt, PromptPart, ServerChoice};
pub use position::{Cursor, Position};
pub use record_backlog::RecordBacklog;
pub use record_keepers::{RECORD_READERS, RECORD_REPLICAS, record_keepers};
pub use relays::{RelayCandidate, Relays};
pub use response_times::ResponseTimes;
pub use served_software::{ServedSoftware, ServedVersions, SoleVersions};
pub use server_paths::{ConnectPlan, PathChange, ServerPaths};
pub use signals::{BackoffRequest, Departure, ServerSignals};
pub use software::SoftwareBinding;
pub use steps::{AttemptEnd, FinalResponse, NextStep, RepeatPolicy, next_step};
pub use store_reads::{
    ListingBudget, PropagationBounds, StoreRetry, StoreRole, is_relayed_to_peers, reserves,
};
pub use store_uptime::{REWRITE_WINDOW_MS, StoreUptime};
pub use stream_records::{
    MAX_CALLER_WAIT_MS, RecordedOrigin, StreamKey, StreamOrigin, StreamRecord, StreamRecords,
    record_left_ms,
};
pub use table::{Matched, RouteTable, Unroutable};
pub use take_up::{StreamKnowledge, TakeUp, TakeUpSearch};
pub use timeouts::{event_timeout_ms, response_timeout_ms};
