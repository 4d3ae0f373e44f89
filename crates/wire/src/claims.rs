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
/// Most entries of one payload.
pub const MAX_ENTRIES: usize = 1024;

quick_error! {
    /// Why a payload can't be read or written.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ClaimsError {
        /// It is over a limit.
        TooLarge {
            display("claim batch is over its limit")
        }
        /// It has another version, or none.
        Version(found: Option<u8>) {
            display("claim batch has version {:?}, expected {}", found, VERSION)
        }
        /// It is not a batch.
        Malformed {
            display("claim batch is malformed")
        }
    }
}

/// Result of reading or writing a payload.
pub type Result<T> = std::result::Result<T, ClaimsError>;

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_PAYLOAD_BYTES>()
}

/// Writes a batch.
///
/// # Errors
///
/// Returns [`ClaimsError::TooLarge`] for a batch over the limits.
pub fn encode(batch: &Batch) -> Result<Vec<u8>> {
    check(batch)?;
    let body =
        bincode::serde::encode_to_vec(batch, config()).map_err(|_| ClaimsError::Malformed)?;
    if body.len() >= MAX_PAYLOAD_BYTES {
        return Err(ClaimsError::TooLarge);
    }
    let mut payload = Vec::with_capacity(1 + body.len());
    payload.push(VERSION);
    payload.extend_from_slice(&body);
    Ok(payload)
}

/// Reads a batch, and nothing but a batch.
///
/// # Errors
///
/// Returns a [`ClaimsError`] for a payload over the limits, of another version,
/// or that is not exactly one batch.
pub fn decode(payload: &[u8]) -> Result<Batch> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(ClaimsError::TooLarge);
    }
    let body = match payload.split_first() {
        Some((&VERSION, body)) => body,
        other => return Err(ClaimsError::Version(other.map(|(version, _)| *version))),
    };
    let (batch, read): (Batch, usize) =
        bincode::serde::decode_from_slice(body, config()).map_err(|_| ClaimsError::Malformed)?;
    if read != body.len() {
        return Err(ClaimsError::Malformed);
    }
    check(&batch)?;
    Ok(batch)
}

/// Reads the batch of a record as the log returned it.
///
/// # Errors
///
/// Returns the errors of [`decode`], and [`ClaimsError::Malformed`] for what is
/// not base64.
pub fn decode_record(record: &LogRecord) -> Result<Batch> {
    if record.payload.len() > MAX_PAYLOAD_BYTES * 2 {
        return Err(ClaimsError::TooLarge);
    }
    let payload = STANDARD.decode(&record.payload);
    decode(&payload.map_err(|_| ClaimsError::Malformed)?)
}

fn check(batch: &Batch) -> Result<()> {
    let is_within = |entry: &Entry| match entry {
        Entry::Done { completion, .. } => completion
            .answer
            .as_ref()
            .is_none_or(|answer| answer.len() <= MAX_ANSWER_BYTES),
        Entry::Claim { instance, .. } => is_valid_name(instance.as_str()),
        Entry::Release { .. } => true,
    };
    if batch.entries.len() <= MAX_ENTRIES && batch.entries.iter().all(is_within) {
        Ok(())
    } else {
        Err(ClaimsError::TooLarge)
    }
}
