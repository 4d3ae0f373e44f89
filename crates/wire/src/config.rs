//! Payloads of the configuration stream: versioned JSON.

use savoryvane_core::config::ConfigRecord;

use crate::{
    payload::{Format, PayloadError},
    platform::LogRecord,
};

pub use crate::payload::Result;

/// Version that this program writes and the only one that it reads.
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
/// Returns `TooLarge` when the record does not fit into a payload, and `Json` when
/// it can't be serialised.
pub fn encode(record: &ConfigRecord) -> Result<Vec<u8>> {
    FORMAT.encode(record)
}

/// Decodes the bytes of a payload.
///
/// # Errors
///
/// Returns an error when the payload is too large, has another version or is not
/// the JSON of a record.
pub fn decode(payload: &[u8]) -> Result<ConfigRecord> {
    FORMAT.decode(payload)
}

/// Decodes the payload of a record that the log returned.
///
/// # Errors
///
/// Returns the errors of [`decode`], and `Base64` when the payload is not base64.
pub fn decode_record(record: &LogRecord) -> Result<ConfigRecord> {
    FORMAT.decode_record(record)
}
