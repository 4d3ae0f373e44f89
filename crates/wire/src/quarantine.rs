//! Payloads of the stream of requests that crash backend servers: versioned JSON.

use savoryvane_core::poison::StoredCrashes;

use crate::{
    payload::{Format, PayloadError},
    platform::LogRecord,
};

pub use crate::payload::Result;

/// Version that this program writes and the only one that it reads.
pub const QUARANTINE_VERSION: u32 = 1;
/// Largest payload, in bytes; fits ten crashes of servers with the longest names.
pub const MAX_QUARANTINE_PAYLOAD_BYTES: usize = 8 * 1024;

/// Why a payload of the stream can't be encoded or decoded.
pub type QuarantinePayloadError = PayloadError;

const FORMAT: Format = Format {
    version: QUARANTINE_VERSION,
    max_bytes: MAX_QUARANTINE_PAYLOAD_BYTES,
};

/// Encodes the stored crashes of a request as the bytes to append.
///
/// # Errors
///
/// Returns `TooLarge` when they do not fit into a payload, and `Json` when they can't be
/// serialised.
pub fn encode(stored: &StoredCrashes) -> Result<Vec<u8>> {
    FORMAT.encode(stored)
}

/// Decodes the bytes of a payload.
///
/// # Errors
///
/// Returns an error when the payload is too large, has another version or is not the
/// JSON of a record.
pub fn decode(payload: &[u8]) -> Result<StoredCrashes> {
    FORMAT.decode(payload)
}

/// Decodes the payload of a record that the log returned.
///
/// # Errors
///
/// Returns the errors of [`decode`], and `Base64` when the payload is not base64.
pub fn decode_record(record: &LogRecord) -> Result<StoredCrashes> {
    FORMAT.decode_record(record)
}
