//! Fault switches of a backend server.

use savoryvane_core::call::RefusalReason;
use serde::{Deserialize, Serialize};

/// Identifier of an event that is made wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mislabel {
    /// Another request's identifiers, where one ran here.
    Request,
    /// Another stage.
    Stage,
    /// Another attempt.
    Attempt,
}

/// Faults of a backend server; `POST /fault` replaces them all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Factor on every service time, per mille.
    pub slow_per_mille: u32,
    /// Share of calls that fail after they started, per mille.
    pub fail_per_mille: u32,
    /// Refuses every call for this reason.
    pub refuse: Option<RefusalReason>,
    /// Time for which it asks for backoff in each refusal, in ms.
    pub retry_after_ms: Option<u64>,
    /// Takes no new work and finishes what it has.
    pub leaving: bool,
    /// Holds every event until the fault is lifted; the work goes on.
    pub freeze: bool,
    /// Makes the connections that are established now silent for good, once.
    pub silence_established: bool,
    /// Makes events carry a wrong identifier.
    pub mislabel: Option<Mislabel>,
    /// Share of events that are mislabelled, per mille.
    pub mislabel_per_mille: u32,
    /// Share of events that are sent twice, per mille.
    pub duplicate_per_mille: u32,
    /// Swaps each pair of neighbouring events.
    pub reorder: bool,
    /// Cuts the connection after this many events of a call.
    pub cut_after_events: Option<u32>,
    /// Most bytes of one write; 0 for no limit.
    pub max_write_bytes: usize,
    /// Bytes of garbage sent as a line before each event; 0 for none.
    pub garbage_bytes: usize,
    /// Ends the server with all that it runs when a call has this text in its input.
    pub ends_under: Option<String>,
    /// Bytes that are appended to the output of a generation; 0 for none.
    pub padding_bytes: usize,
}

impl Default for BackendFaults {
    fn default() -> Self {
        Self {
            slow_per_mille: 1000,
            fail_per_mille: 0,
            refuse: None,
            retry_after_ms: None,
            leaving: false,
            freeze: false,
            silence_established: false,
            mislabel: None,
            mislabel_per_mille: 1000,
            duplicate_per_mille: 0,
            reorder: false,
            cut_after_events: None,
            max_write_bytes: 0,
            garbage_bytes: 0,
            ends_under: None,
            padding_bytes: 0,
        }
    }
}
