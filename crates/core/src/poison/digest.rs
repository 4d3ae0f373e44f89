//! Names a request by what it asks for, so that it is known again under another
//! identifier and at another instance.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::WorkspaceName;

/// Bytes of a digest: enough that no caller finds a second request with the
/// digest of another one.
const DIGEST_BYTES: usize = 16;

/// Digest of a request's caller, method, host, path and body.
///
/// The caller is a workspace, as its keys may be replaced; requests of routes that
/// need no key have none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Reads a digest from its hexadecimal digits.
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

/// Takes a request in, its body as it arrives.
#[derive(Clone, Debug)]
pub struct DigestBuilder(Sha256);

impl DigestBuilder {
    /// Begins with the head of a request.
    pub fn new(caller: Option<&WorkspaceName>, method: &str, host: &str, path: &str) -> Self {
        let mut hasher = Sha256::new();
        let caller = caller.map_or("", WorkspaceName::as_str);
        for field in [caller, method, host, path] {
            // With its length, so that no two heads run together alike.
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        Self(hasher)
    }

    /// Takes in the next bytes of the body.
    pub fn update(&mut self, body: &[u8]) {
        self.0.update(body);
    }

    /// Returns the digest once the body is in.
    pub fn finish(self) -> RequestDigest {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&self.0.finalize()[..DIGEST_BYTES]);
        RequestDigest(bytes)
    }
}
