//! Payloads of the JSON streams: a version and one record.

use base64::{Engine, engine::general_purpose::STANDARD};
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::platform::LogRecord;

quick_error! {
    /// Why a payload can't be encoded or decoded.
    #[derive(Debug)]
    pub enum PayloadError {
        /// The payload is larger than its stream allows.
        TooLarge(bytes: usize) {
            display("payload of {} bytes is larger than its stream allows", bytes)
        }
        /// The payload is not base64.
        Base64(err: base64::DecodeError) {
            display("payload is not base64: {}", err)
            source(err)
            from()
        }
        /// The payload is not the JSON of a record.
        Json(err: serde_json::Error) {
            display("payload is not a record of its stream: {}", err)
            source(err)
            from()
        }
        /// The payload has a version that this program does not read.
        Version(found: u32) {
            display("payload of version {}, which this program does not read", found)
        }
    }
}

/// Result of encoding or decoding.
pub type Result<T> = std::result::Result<T, PayloadError>;

/// Payload format of one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Format {
    /// Version that is written and the only one that is read.
    pub(crate) version: u32,
    /// Largest payload, in bytes.
    pub(crate) max_bytes: usize,
}

#[derive(Deserialize)]
struct Version {
    version: u32,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Payload<R> {
    version: u32,
    record: R,
}

impl Format {
    /// Encodes a record as the bytes to append.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` when the record does not fit into a payload, and `Json`
    /// when it can't be serialised.
    pub(crate) fn encode<R: Serialize>(self, record: &R) -> Result<Vec<u8>> {
        let version = self.version;
        let payload = serde_json::to_vec(&Payload { version, record })?;
        self.check_size(payload.len())?;
        Ok(payload)
    }

    /// Decodes the bytes of a payload.
    ///
    /// # Errors
    ///
    /// Returns an error when the payload is too large, has another version or is
    /// not the JSON of a record.
    pub(crate) fn decode<R: DeserializeOwned>(self, payload: &[u8]) -> Result<R> {
        self.check_size(payload.len())?;
        let Version { version } = serde_json::from_slice(payload)?;
        if version != self.version {
            return Err(PayloadError::Version(version));
        }
        let Payload { record, .. } = serde_json::from_slice(payload)?;
        Ok(record)
    }

    /// Decodes the payload of a record that the log returned.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Format::decode`], and `Base64` when the payload
    /// is not base64.
    pub(crate) fn decode_record<R: DeserializeOwned>(self, record: &LogRecord) -> Result<R> {
        let encoded = record.payload.as_bytes();
        self.check_size(encoded.len() / 4 * 3)?;
        self.decode(&STANDARD.decode(encoded)?)
    }

    fn check_size(self, bytes: usize) -> Result<()> {
        if bytes > self.max_bytes {
            return Err(PayloadError::TooLarge(bytes));
        }
        Ok(())
    }
}
