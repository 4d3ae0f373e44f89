//! Extracts credentials from requests and checks them against stored digests.

use http::{HeaderMap, header};
use sha2::{Digest, Sha256};

/// Prefix of the `Authorization` header value.
const BEARER_PREFIX: &str = "Bearer ";

/// Returns the bearer credential in the headers of a request.
pub(crate) fn presented(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let credential = value.strip_prefix(BEARER_PREFIX)?.trim();
    (!credential.is_empty()).then_some(credential)
}

/// Returns whether the SHA-256 digest of `credential` is `sha256_hex`. Compares in
/// constant time, so that timing does not reveal where the digests differ.
pub(crate) fn matches(credential: &str, sha256_hex: &str) -> bool {
    let digest = hex::encode(Sha256::digest(credential.as_bytes()));
    let differences = digest
        .bytes()
        .zip(sha256_hex.bytes())
        .fold(0, |acc, (a, b)| acc | (a ^ b));
    digest.len() == sha256_hex.len() && differences == 0
}
