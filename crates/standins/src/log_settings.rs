//! Settings and fault switches of the log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Settings of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Age up to which a record is kept, in ms.
    pub retention_ms: u64,
    /// Records that a stream keeps at most.
    pub retention_records: usize,
    /// Appends accepted in a second over all streams.
    pub appends_per_s: u32,
    /// Largest payload, in bytes.
    pub max_payload_bytes: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            retention_ms: 3_600_000,
            retention_records: 100_000,
            appends_per_s: 400,
            max_payload_bytes: 1024 * 1024,
        }
    }
}

/// Faults of the log; `POST /fault` replaces them all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Answers 503 to everything.
    pub outage: bool,
    /// Waits before each exchange, in ms.
    pub slow_ms: u64,
    /// Holds each exchange until the fault is lifted; it is carried out then.
    pub hang: bool,
    /// Appends take effect, and the connection closes without an answer.
    pub lose_append_answers: bool,
    /// Delivers records only this long after their append, in ms.
    pub delivery_delay_ms: u64,
    /// Delivers no record that was appended since the fault was set.
    pub pause_delivery: bool,
    /// Drops every kept record, once.
    pub trim: bool,
}
