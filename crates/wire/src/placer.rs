//! Payloads of the placer's stream: JSON with a version.

use base64::{Engine, engine::general_purpose::STANDARD};
use quick_error::quick_error;
use savoryvane_core::{
    ids::{InstanceName, Offset},
    placer::PlacerRecord,
};
use serde::{Deserialize, Serialize};

use crate::platform::LogRecord;

/// Version that this program writes, and the only one that it reads.
pub const PLACER_VERSION: u32 = 1;
/// Largest payload, in bytes.
pub const MAX_PLACER_PAYLOAD_BYTES: usize = 4 * 1024;

quick_error! {
    /// Why a payload can't be decoded.
    #[derive(Debug)]
    pub enum PlacerPayloadError {
        /// The payload is larger than allowed.
        TooLarge(bytes: usize) {
            display("payload of {} bytes, at most {} are allowed", bytes, MAX_PLACER_PAYLOAD_BYTES)
        }
        /// The payload is not base64.
        Base64(err: base64::DecodeError) {
            display("payload is not base64: {}", err)
            source(err)
            from()
        }
        /// The payload is not the JSON of a record.
        Json(err: serde_json::Error) {
            display("payload is not a placer record: {}", err)
            source(err)
            from()
        }
        /// The payload has a version that this program does not read.
        Version(found: u32) {
            display("payload of version {}, this program reads {}", found, PLACER_VERSION)
        }
    }
}

/// Result of encoding or decoding.
pub type Result<T> = std::result::Result<T, PlacerPayloadError>;

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

#[derive(Serialize)]
struct PayloadRef<'a> {
    version: u32,
    record: &'a PlacerRecord,
}

#[derive(Deserialize)]
struct Version {
    version: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Payload {
    #[serde(rename = "version")]
    _version: u32,
    record: PlacerRecord,
}

/// Encodes a record as the bytes to append.
///
/// # Errors
///
/// Returns `Json` when the record has no JSON form.
pub fn encode(record: &PlacerRecord) -> Result<Vec<u8>> {
    let version = PLACER_VERSION;
    Ok(serde_json::to_vec(&PayloadRef { version, record })?)
}

/// Decodes the bytes of a payload.
///
/// # Errors
///
/// Returns an error when the payload is too large, of another version or not
/// the JSON of a record.
pub fn decode(payload: &[u8]) -> Result<PlacerRecord> {
    check_size(payload.len())?;
    let Version { version } = serde_json::from_slice(payload)?;
    if version != PLACER_VERSION {
        return Err(PlacerPayloadError::Version(version));
    }
    let Payload { record, .. } = serde_json::from_slice(payload)?;
    Ok(record)
}

/// Decodes the payload of a record as the log returned it.
///
/// # Errors
///
/// Returns the errors of [`decode`], and `Base64` when the payload is not that.
pub fn decode_record(record: &LogRecord) -> Result<PlacerRecord> {
    let encoded = record.payload.as_bytes();
    check_size(encoded.len() / 4 * 3)?;
    decode(&STANDARD.decode(encoded)?)
}

fn check_size(bytes: usize) -> Result<()> {
    if bytes > MAX_PLACER_PAYLOAD_BYTES {
        return Err(PlacerPayloadError::TooLarge(bytes));
    }
    Ok(())
}
