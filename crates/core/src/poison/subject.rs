//! What crashes are counted for: a request by its content, or a part that many prompts share.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::RequestDigest;

/// Tag of a prompt part where a digest could stand; no digest begins with it, but for one in
/// 2^64.
const PART_TAG: [u8; 8] = [0xff; 8];
/// Prefix of a prompt part in keys and logs.
const PART_PREFIX: &str = "part-";
/// Most shared parts of a prompt that are considered, in the order of the prompt.
pub const MAX_PARTS: usize = 64;

/// What a crash may be attributed to.
///
/// Encoded as 16 bytes, in which a part is distinguished from a digest by its tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "[u8; 16]", from = "[u8; 16]")]
pub enum CrashSubject {
    /// A request, identified by its content.
    Request(RequestDigest),
    /// A part of a prompt, by the hash that callers send.
    PromptPart(u64),
}

impl CrashSubject {
    /// Parses a subject from the text that it is displayed as.
    pub fn from_text(text: &str) -> Option<Self> {
        match text.strip_prefix(PART_PREFIX) {
            Some(hash) => u64::from_str_radix(hash, 16).ok().map(Self::PromptPart),
            None => RequestDigest::from_hex(text).map(Self::Request),
        }
    }

    /// Tells whether this is a part of a prompt.
    pub fn is_part(self) -> bool {
        matches!(self, Self::PromptPart(_))
    }
}

impl From<RequestDigest> for CrashSubject {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

impl From<[u8; 16]> for CrashSubject {
    fn from(bytes: [u8; 16]) -> Self {
        let (tag, hash) = bytes.split_at(PART_TAG.len());
        match hash.try_into() {
            Ok(hash) if tag == PART_TAG => Self::PromptPart(u64::from_be_bytes(hash)),
            _ => Self::Request(RequestDigest(bytes)),
        }
    }
}

impl From<CrashSubject> for [u8; 16] {
    fn from(subject: CrashSubject) -> Self {
        match subject {
            CrashSubject::Request(digest) => digest.0,
            CrashSubject::PromptPart(hash) => {
                let mut bytes = [0; 16];
                bytes[..PART_TAG.len()].copy_from_slice(&PART_TAG);
                bytes[PART_TAG.len()..].copy_from_slice(&hash.to_be_bytes());
                bytes
            }
        }
    }
}

impl fmt::Display for CrashSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => digest.fmt(f),
            Self::PromptPart(hash) => write!(f, "{PART_PREFIX}{hash:x}"),
        }
    }
}

/// All subjects to which a crash under one request may be attributed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSubjects {
    digest: RequestDigest,
    /// Shared parts of its prompt, sorted, each once.
    parts: Vec<u64>,
}

impl RequestSubjects {
    /// Creates the subjects of a request from its digest and the hashes of the shared parts of
    /// its prompt.
    pub fn new(digest: RequestDigest, shared_parts: impl IntoIterator<Item = u64>) -> Self {
        let mut parts: Vec<u64> = shared_parts.into_iter().take(MAX_PARTS).collect();
        parts.sort_unstable();
        parts.dedup();
        Self { digest, parts }
    }

    /// Returns the digest of the request.
    pub fn digest(&self) -> RequestDigest {
        self.digest
    }

    /// Iterates over the request and the parts of its prompt.
    pub fn iter(&self) -> impl Iterator<Item = CrashSubject> {
        std::iter::once(CrashSubject::Request(self.digest)).chain(self.parts())
    }

    /// Iterates over the parts of its prompt.
    pub fn parts(&self) -> impl Iterator<Item = CrashSubject> {
        self.parts.iter().copied().map(CrashSubject::PromptPart)
    }

    /// Tells whether `subject` is the request or a part of its prompt.
    pub fn contains(&self, subject: &CrashSubject) -> bool {
        match subject {
            CrashSubject::Request(digest) => *digest == self.digest,
            CrashSubject::PromptPart(hash) => self.parts.contains(hash),
        }
    }
}

/// Formats subjects for a log line.
pub fn format_subjects(subjects: impl IntoIterator<Item = CrashSubject>) -> String {
    let texts = subjects.into_iter().map(|subject| subject.to_string());
    texts.collect::<Vec<String>>().join(",")
}
