//! Checks credentials against the digests that are stored of them.

use http::{HeaderMap, header};
use sha2::{Digest, Sha256};

/// Scheme of the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// Returns the credential that a request presents.
pub(crate) fn presented(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let credential = value.strip_prefix(SCHEME)?.trim();
    (!credential.is_empty()).then_some(credential)
}

/// Tells whether `credential` has the digest `sha256_hex`; takes the same time
/// wherever the two differ.
pub(crate) fn matches(credential: &str, sha256_hex: &str) -> bool {
    let digest = hex::encode(Sha256::digest(credential.as_bytes()));
    let differences = digest
        .bytes()
        .zip(sha256_hex.bytes())
        .fold(0, |seen, (a, b)| seen | (a ^ b));
    digest.len() == sha256_hex.len() && differences == 0
}
