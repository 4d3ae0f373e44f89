//! Records of the claim stream, which decides which attempt may run a
//! non-idempotent request.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    ids::{
        IdempotencyKey, Incarnation, InstanceName, MAX_NAME_BYTES, Offset, PipelineName,
        WorkspaceName,
    },
    outcome::Outcome,
};

/// Largest response body that a [`Completion`] stores, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1024;

const HASH_BYTES: usize = 16;

/// Hash of a workspace and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub [u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a key together with the workspace that scopes it.
    pub fn of(workspace: &WorkspaceName, key: &IdempotencyKey) -> Self {
        Self(digest(&[
            workspace.as_str().as_bytes(),
            key.as_str().as_bytes(),
        ]))
    }
}

/// Hash of a request's content. Requests under the same key must have the same
/// fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; HASH_BYTES]);

impl Fingerprint {
    /// Hashes the pipeline and the input of a request.
    pub fn of(pipeline: &PipelineName, input: &[u8]) -> Self {
        Self(digest(&[pipeline.as_str().as_bytes(), input]))
    }
}

/// Hashes each part prefixed with its length, so that lists that differ only in
/// where the parts are split have different hashes.
fn digest(parts: &[&[u8]]) -> [u8; HASH_BYTES] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let full = hasher.finalize();
    let mut truncated = [0; HASH_BYTES];
    truncated.copy_from_slice(&full[..HASH_BYTES]);
    truncated
}

/// Identifies one claim. Repeated appends of the claim carry the same ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Incarnation of the instance that claims the key.
    pub incarnation: Incarnation,
    /// Sequence number of the claim, unique within the incarnation.
    pub seq: u64,
}

/// Position of an entry in the claim stream. The claim with the lowest position
/// wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Offset of the batch.
    pub offset: Offset,
    /// Index of the entry within the batch.
    pub index: u32,
}

/// Result of the run of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Outcome that was returned to the caller.
    pub outcome: Outcome,
    /// Response body; `None` when it is larger than [`MAX_ANSWER_BYTES`].
    pub answer: Option<Vec<u8>>,
}

impl Completion {
    /// Creates a completion that stores `answer` if it is at most
    /// [`MAX_ANSWER_BYTES`] long.
    pub fn new(outcome: Outcome, answer: &[u8]) -> Self {
        let fits = answer.len() <= MAX_ANSWER_BYTES;
        Self {
            outcome,
            answer: fits.then(|| answer.to_vec()),
        }
    }

    /// Returns whether the run has a response body that is not stored here.
    pub fn is_answer_omitted(&self) -> bool {
        self.outcome == Outcome::Complete && self.answer.is_none()
    }
}

/// An entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Claims a key.
    Claim {
        /// Claimed key.
        key: KeyHash,
        /// ID of the claim, unique to this attempt.
        id: ClaimId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Instance that made the claim and has the response.
        instance: InstanceName,
    },
    /// Releases a claim. The claimant has sent no non-idempotent call under it
    /// and never will.
    Release {
        /// Claimed key.
        key: KeyHash,
        /// ID of the released claim.
        id: ClaimId,
        /// Whether an idempotent call was sent under it.
        ran: bool,
    },
    /// Records the result of the run of a claim.
    Done {
        /// Claimed key.
        key: KeyHash,
        /// ID of the claim that was run.
        id: ClaimId,
        /// Result of the run.
        completion: Completion,
    },
}

impl Entry {
    /// Returns the key that this entry applies to.
    pub fn key(&self) -> KeyHash {
        match self {
            Self::Claim { key, .. } | Self::Release { key, .. } | Self::Done { key, .. } => *key,
        }
    }

    /// Returns the ID of the claim that this entry applies to.
    pub fn id(&self) -> ClaimId {
        match self {
            Self::Claim { id, .. } | Self::Release { id, .. } | Self::Done { id, .. } => *id,
        }
    }

    /// Returns an upper bound of the encoded size, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 64;
        match self {
            Self::Claim { .. } => FIXED_BYTES + MAX_NAME_BYTES,
            Self::Release { .. } => FIXED_BYTES,
            Self::Done { completion, .. } => {
                FIXED_BYTES + completion.answer.as_ref().map_or(0, Vec::len)
            }
        }
    }
}

/// Payload of one record of the claim stream. An empty batch only advances the
/// time of the log's clock as seen by readers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Entries in the order in which they take effect.
    pub entries: Vec<Entry>,
}
