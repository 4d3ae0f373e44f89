//! Payloads of the placer's stream: versioned JSON.

use savoryvane_core::{
    ids::{InstanceName, Offset},
    placer::PlacerRecord,
};
use serde::{Deserialize, Serialize};

use crate::{
    payload::{Format, PayloadError},
    platform::LogRecord,
};

pub use crate::payload::Result;

/// Version that this program writes and the only one that it reads.
pub const PLACER_VERSION: u32 = 1;
/// Largest payload, in bytes.
pub const MAX_PLACER_PAYLOAD_BYTES: usize = 4 * 1024;

/// Why a payload of the stream can't be encoded or decoded.
pub type PlacerPayloadError = PayloadError;

const FORMAT: Format = Format {
    version: PLACER_VERSION,
    max_bytes: MAX_PLACER_PAYLOAD_BYTES,
};

/// The current placer, as read from the stream by an instance; response to
/// `GET /admin/v1/placer`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacerView {
    /// Instance that holds the placer role.
    pub instance: Option<InstanceName>,
    /// Its term, used as the fencing number of its orders.
    pub term: Option<Offset>,
    /// Whether the responding instance issues orders now.
    pub gives_orders: bool,
}

/// Encodes a record as the bytes to append.
///
/// # Errors
///
/// Returns `TooLarge` when the record does not fit into a payload, and `Json` when
/// it can't be serialised.
pub fn encode(record: &PlacerRecord) -> Result<Vec<u8>> {
    FORMAT.encode(record)
}

/// Decodes the bytes of a payload.
///
/// # Errors
///
/// Returns an error when the payload is too large, has another version or is not
/// the JSON of a record.
pub fn decode(payload: &[u8]) -> Result<PlacerRecord> {
    FORMAT.decode(payload)
}

/// Decodes the payload of a record that the log returned.
///
/// # Errors
///
/// Returns the errors of [`decode`], and `Base64` when the payload is not base64.
pub fn decode_record(record: &LogRecord) -> Result<PlacerRecord> {
    FORMAT.decode_record(record)
}
