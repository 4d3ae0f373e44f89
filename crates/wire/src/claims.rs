//! Payload of the claim stream: a version byte and a bincode [`Batch`].

use base64::{Engine, engine::general_purpose::STANDARD};
use quick_error::quick_error;
pub use savoryvane_core::claim::{
    Batch, ClaimId, Completion, Entry, Fingerprint, KeyHash, MAX_ANSWER_BYTES,
};
use savoryvane_core::ids::is_valid_name;

use crate::platform::LogRecord;

/// Version of the payload that this program reads and writes.
pub const VERSION: u8 = 1;
/// Largest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;
/// Maximum number of entries in one payload.
pub const MAX_ENTRIES: usize = 1024;

quick_error! {
    /// Why a payload can't be encoded or decoded.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ClaimsError {
        /// The payload exceeds a limit.
        TooLarge {
            display("claim batch is over its limit")
        }
        /// The payload has an unsupported version or none.
        Version(found: Option<u8>) {
            display("claim batch has version {:?}, expected {}", found, VERSION)
        }
        /// The payload is not a batch.
        Malformed {
            display("claim batch is malformed")
        }
    }
}

/// Result of encoding or decoding a payload.
pub type Result<T> = std::result::Result<T, ClaimsError>;

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_PAYLOAD_BYTES>()
}

/// Encodes a batch.
///
/// # Errors
///
/// Returns [`ClaimsError::TooLarge`] for a batch that exceeds the limits.
pub fn encode(batch: &Batch) -> Result<Vec<u8>> {
    check_limits(batch)?;
    let body = bincode::serde::encode_to_vec(batch, codec()).map_err(|_| ClaimsError::Malformed)?;
    if body.len() >= MAX_PAYLOAD_BYTES {
        return Err(ClaimsError::TooLarge);
    }
    let mut payload = Vec::with_capacity(1 + body.len());
    payload.push(VERSION);
    payload.extend_from_slice(&body);
    Ok(payload)
}

/// Decodes a payload that holds exactly one batch.
///
/// # Errors
///
/// Returns a [`ClaimsError`] for a payload that exceeds the limits, has another
/// version or is not exactly one batch.
pub fn decode(payload: &[u8]) -> Result<Batch> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(ClaimsError::TooLarge);
    }
    let body = match payload.split_first() {
        Some((&VERSION, body)) => body,
        other => return Err(ClaimsError::Version(other.map(|(version, _)| *version))),
    };
    let (batch, read_bytes): (Batch, usize) =
        bincode::serde::decode_from_slice(body, codec()).map_err(|_| ClaimsError::Malformed)?;
    if read_bytes != body.len() {
        return Err(ClaimsError::Malformed);
    }
    check_limits(&batch)?;
    Ok(batch)
}

/// Decodes the batch of a record that the log returned.
///
/// # Errors
///
/// Returns the errors of [`decode`], and [`ClaimsError::Malformed`] for a payload
/// that is not base64.
pub fn decode_record(record: &LogRecord) -> Result<Batch> {
    if record.payload.len() > MAX_PAYLOAD_BYTES * 2 {
        return Err(ClaimsError::TooLarge);
    }
    let payload = STANDARD.decode(&record.payload);
    decode(&payload.map_err(|_| ClaimsError::Malformed)?)
}

fn check_limits(batch: &Batch) -> Result<()> {
    let is_within_limits = |entry: &Entry| match entry {
        Entry::Done { completion, .. } => completion
            .answer
            .as_ref()
            .is_none_or(|answer| answer.len() <= MAX_ANSWER_BYTES),
        Entry::Claim { instance, .. } => is_valid_name(instance.as_str()),
        Entry::Release { .. } => true,
    };
    if batch.entries.len() <= MAX_ENTRIES && batch.entries.iter().all(is_within_limits) {
        Ok(())
    } else {
        Err(ClaimsError::TooLarge)
    }
}
