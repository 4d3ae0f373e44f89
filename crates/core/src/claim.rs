//! Records of the claim stream: who may run a non-idempotent request.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    ids::{
        IdempotencyKey, Incarnation, InstanceName, MAX_NAME_BYTES, Offset, PipelineName,
        WorkspaceName,
    },
    outcome::Outcome,
};

/// Largest answer that a [`Completion`] carries, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1024;

const HASH_BYTES: usize = 16;

/// Hash of a workspace and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub [u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes the key of one workspace.
    pub fn of(workspace: &WorkspaceName, key: &IdempotencyKey) -> Self {
        Self(digest(&[
            workspace.as_str().as_bytes(),
            key.as_str().as_bytes(),
        ]))
    }
}

/// Hash of what a request asks for; two requests under one key have to agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; HASH_BYTES]);

impl Fingerprint {
    /// Hashes the pipeline and the input of a request.
    pub fn of(pipeline: &PipelineName, input: &[u8]) -> Self {
        Self(digest(&[pipeline.as_str().as_bytes(), input]))
    }
}

/// Hashes the parts with their lengths, so that no two lists of parts collide
/// by where they are cut.
fn digest(parts: &[&[u8]]) -> [u8; HASH_BYTES] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let full = hasher.finalize();
    let mut short = [0; HASH_BYTES];
    short.copy_from_slice(&full[..HASH_BYTES]);
    short
}

/// Identifies one claim; a repeated append of it is the same claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Incarnation of the claimant.
    pub incarnation: Incarnation,
    /// Number of the claim, unique within the incarnation.
    pub seq: u64,
}

/// Place of an entry in the claim stream; the lowest one wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Offset of the batch.
    pub offset: Offset,
    /// Index of the entry within it.
    pub index: u32,
}

/// How the run of a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Outcome that its caller was told.
    pub outcome: Outcome,
    /// Body of its answer, when it is small enough to be kept.
    pub answer: Option<Vec<u8>>,
}

impl Completion {
    /// Keeps `answer` when it is at most [`MAX_ANSWER_BYTES`] long.
    pub fn new(outcome: Outcome, answer: &[u8]) -> Self {
        let fits = answer.len() <= MAX_ANSWER_BYTES;
        Self {
            outcome,
            answer: fits.then(|| answer.to_vec()),
        }
    }

    /// Tells whether there is an answer that is not kept here.
    pub fn is_answer_missing(&self) -> bool {
        self.outcome == Outcome::Complete && self.answer.is_none()
    }
}

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Claims a key.
    Claim {
        /// Key that is claimed.
        key: KeyHash,
        /// Claim, unique to this attempt.
        id: ClaimId,
        /// What the request asks for.
        fingerprint: Fingerprint,
        /// Instance of the claimant, which has the answer.
        instance: InstanceName,
    },
    /// Gives a claim up; its claimant has sent no non-idempotent call on it and
    /// never will.
    Release {
        /// Key that was claimed.
        key: KeyHash,
        /// Claim that is given up.
        id: ClaimId,
        /// Whether an idempotent call was sent on it.
        ran: bool,
    },
    /// Says how the run of a claim ended.
    Done {
        /// Key that was claimed.
        key: KeyHash,
        /// Claim that was run.
        id: ClaimId,
        /// How it ended.
        completion: Completion,
    },
}

impl Entry {
    /// Returns the key that this entry is about.
    pub fn key(&self) -> KeyHash {
        match self {
            Self::Claim { key, .. } | Self::Release { key, .. } | Self::Done { key, .. } => *key,
        }
    }

    /// Returns the claim that this entry is about.
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

/// Payload of one record of the claim stream. An empty one only shows what time
/// the log's clock has reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Entries in the order in which they take effect.
    pub entries: Vec<Entry>,
}
