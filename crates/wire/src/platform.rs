//! The platform's append-only log and its list of instances.
//!
//! - `POST /v1/streams/{stream}/records`, body: the payload's bytes; returns
//!   200 [`Appended`], 413 too large, 429 over the append rate, 503 outage.
//! - `GET /v1/streams/{stream}/records?from=N&limit=M&wait_ms=W`; returns 200
//!   [`Records`] (empty after `wait_ms` without a record), 410 [`Trimmed`] when
//!   `from` is older than the first retained record, 503 outage.
//! - `GET /v1/instances`; returns 200 [`Listing`], 503 outage.

use std::net::SocketAddr;

use savoryvane_core::ids::{Offset, ZoneName};
use serde::{Deserialize, Serialize};

/// Stream that carries the configuration.
pub const CONFIG_STREAM: &str = "config";
/// Stream that carries claims of idempotency keys.
pub const CLAIM_STREAM: &str = "claims";
/// Stream that carries elections of the placer.
pub const PLACER_STREAM: &str = "placer";
/// Stream of requests that crash backend servers.
pub const QUARANTINE_STREAM: &str = "quarantine";

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: Offset,
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Time of the append by the log's clock, in ms since the Unix epoch.
    pub appended_at_ms: u64,
    /// Payload in standard base64.
    pub payload: String,
}

/// Response to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Oldest offset that the stream retains.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Records from the requested offset on, in order.
    pub records: Vec<LogRecord>,
}

impl Records {
    /// Returns whether retained records from `requested` on are missing at the start of
    /// this response; a later read may deliver them.
    pub fn has_gap(&self, requested: Offset) -> bool {
        let first_delivered = self.records.first();
        first_delivered.is_some_and(|record| record.offset > requested) && self.first <= requested
    }
}

/// Response to a read of records that are no longer retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trimmed {
    /// Oldest offset that the stream retains.
    pub first: Offset,
}

/// State of an instance or backend server in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The process is live.
    Live,
    /// The process is leaving.
    Leaving,
}

/// Role of a listed process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// An entry instance; its address is the one for peers.
    Entry,
    /// A backend server.
    Backend,
}

/// One entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name of the instance or backend server.
    pub name: String,
    /// Its role.
    pub role: ListedRole,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address for peers (entry instances) or calls (backend servers).
    pub addr: SocketAddr,
    /// Whether it is live or leaving.
    pub state: ListedState,
}

/// The platform's list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Time that the list describes, in ms since the Unix epoch.
    pub as_of_ms: u64,
    /// Processes listed at that time.
    pub entries: Vec<Listed>,
}
