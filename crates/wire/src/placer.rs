//! Payloads of the placer's stream: JSON with a version.

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

/// Version that this program writes, and the only one that it reads.
pub const PLACER_VERSION: u32 = 1;
/// Largest payload, in bytes.
pub const MAX_PLACER_PAYLOAD_BYTES: usize = 4 * 1024;

/// Why a payload of the stream can't be encoded or decoded.
pub type PlacerPayloadError = PayloadError;

const FORMAT: Format = Format {
    version: PLACER_VERSION,
    max_bytes: MAX_PLACER_PAYLOAD_BYTES,
};

/// The placer as an instance has read it; answer to `GET /admin/v1/placer`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacerView {
    /// Instance that is the placer.
    pub instance: Option<InstanceName>,
    /// Fencing number of its orders.
    pub term: Option<Offset>,
    /// Whether the instance that answers gives orders now.
    pub gives_orders: bool,
}

/// Encodes a record as the bytes to append.
///
/// # Errors
///
/// Returns `TooLarge` when the record does not fit a payload, and `Json` when
/// it has no JSON form.
pub fn encode(record: &PlacerRecord) -> Result<Vec<u8>> {
    FORMAT.encode(record)
}

/// Decodes the bytes of a payload.
///
/// # Errors
///
/// Returns an error when the payload is too large, of another version or not
/// the JSON of a record.
pub fn decode(payload: &[u8]) -> Result<PlacerRecord> {
    FORMAT.decode(payload)
}

/// Decodes the payload of a record as the log returned it.
///
/// # Errors
///
/// Returns the errors of [`decode`], and `Base64` when the payload is not that.
pub fn decode_record(record: &LogRecord) -> Result<PlacerRecord> {
    FORMAT.decode_record(record)
}
