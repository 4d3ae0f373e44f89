//! Payloads of the configuration stream: JSON with a version.

use savoryvane_core::config::ConfigRecord;

use crate::{
    payload::{Format, PayloadError},
    platform::LogRecord,
};

pub use crate::payload::Result;

/// Version that this program writes, and the only one that it reads.
pub const CONFIG_VERSION: u32 = 1;
/// Largest payload, in bytes.
pub const MAX_CONFIG_PAYLOAD_BYTES: usize = 257 * 1024;

/// Why a payload of the stream can't be encoded or decoded.
pub type ConfigPayloadError = PayloadError;

const FORMAT: Format = Format {
    version: CONFIG_VERSION,
    max_bytes: MAX_CONFIG_PAYLOAD_BYTES,
};

/// Encodes a record as the bytes to append.
///
/// # Errors
///
/// Returns `TooLarge` when the record does not fit a payload, and `Json` when
/// it has no JSON form.
pub fn encode(record: &ConfigRecord) -> Result<Vec<u8>> {
    FORMAT.encode(record)
}

/// Decodes the bytes of a payload.
///
/// # Errors
///
/// Returns an error when the payload is too large, of another version or not
/// the JSON of a record.
pub fn decode(payload: &[u8]) -> Result<ConfigRecord> {
    FORMAT.decode(payload)
}

/// Decodes the payload of a record as the log returned it.
///
/// # Errors
///
/// Returns the errors of [`decode`], and `Base64` when the payload is not that.
pub fn decode_record(record: &LogRecord) -> Result<ConfigRecord> {
    FORMAT.decode_record(record)
}
