//! Identifies a request by its content, so that any instance recognizes it under another
//! request identifier.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::WorkspaceName;

/// Length of a digest, in bytes; enough that no caller can find a second request with a given
/// digest.
const DIGEST_BYTES: usize = 16;

/// Digest of a request's caller, method, host, path and body.
///
/// The caller is identified by its workspace, since its keys may be replaced. Requests of routes
/// that need no key have no caller.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Parses a digest from its hexadecimal digits.
    pub fn from_hex(digits: &str) -> Option<Self> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(digits, &mut bytes).ok()?;
        Some(Self(bytes))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// Computes the digest of a request while its body arrives.
#[derive(Clone, Debug)]
pub struct DigestBuilder(Sha256);

impl DigestBuilder {
    /// Creates a builder from the head of a request.
    pub fn new(caller: Option<&WorkspaceName>, method: &str, host: &str, path: &str) -> Self {
        let mut hasher = Sha256::new();
        let caller = caller.map_or("", WorkspaceName::as_str);
        for field in [caller, method, host, path] {
            // The length prefix prevents different heads from hashing the same bytes.
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        Self(hasher)
    }

    /// Adds the next bytes of the body.
    pub fn update(&mut self, body: &[u8]) {
        self.0.update(body);
    }

    /// Returns the digest of the complete request.
    pub fn finish(self) -> RequestDigest {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&self.0.finalize()[..DIGEST_BYTES]);
        RequestDigest(bytes)
    }
}
