//! The work of each kind of stage as a pure function of its input, so that a
//! caller can compute the answer that it must get.

use savoryvane_core::objects::StageKind;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Documents that a retrieval finds.
const RETRIEVED_DOCUMENTS: u8 = 6;

/// Documents that a reranking leaves.
const RERANKED_DOCUMENTS: usize = 3;

/// Fewest tokens that a generation gives, unless it is told fewer.
const MIN_TOKENS: u32 = 8;

/// Tokens that a generation may give beyond the fewest.
const TOKEN_SPREAD: u32 = 17;

/// Numbers of an encoded vector.
const VECTOR_LENGTH: usize = 8;

/// Bytes of a digest that name a document or a reference.
const NAME_BYTES: usize = 6;

const WORDS: [&str; 16] = [
    "enamel",
    "gilded",
    "letter",
    "facade",
    "studio",
    "drum",
    "booking",
    "quote",
    "panel",
    "serif",
    "rehearsal",
    "deposit",
    "restored",
    "evening",
    "shop",
    "room",
];

/// One stage as the expected output depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Work of the stage.
    pub kind: StageKind,
    /// Most tokens that it may generate; 0 for no limit.
    pub max_tokens: u32,
}

impl From<StageKind> for Step {
    fn from(kind: StageKind) -> Self {
        Self {
            kind,
            max_tokens: 0,
        }
    }
}

/// Returns the output that `stages` give for `input`, run one after the other.
pub fn expected_output(stages: &[Step], input: &Value) -> Value {
    stages.iter().fold(Value::Null, |previous, step| {
        stage_output(*step, input, &previous)
    })
}

/// Returns the output of one stage.
pub fn stage_output(step: Step, input: &Value, previous: &Value) -> Value {
    let digest = digest(step.kind, input, previous);
    match step.kind {
        StageKind::Encode => json!({ "vector": &digest[..VECTOR_LENGTH] }),
        StageKind::Retrieve => json!({ "documents": retrieved(&digest) }),
        StageKind::Rerank => json!({ "documents": reranked(&digest, previous) }),
        StageKind::Generate => Value::String(tokens_of(step, input, previous).concat()),
        StageKind::Call => json!({ "reference": hex::encode(&digest[..NAME_BYTES]) }),
    }
}

/// Returns the tokens of a generation; the output is their concatenation.
pub fn tokens_of(step: Step, input: &Value, previous: &Value) -> Vec<String> {
    let digest = digest(step.kind, input, previous);
    let count = MIN_TOKENS + u32::from(digest[0]) % TOKEN_SPREAD;
    let count = match step.max_tokens {
        0 => count,
        limit => count.min(limit),
    };
    let mark = hex::encode(&digest[..NAME_BYTES]);
    (0..count as usize)
        .map(|index| match index {
            0 => format!("[{mark}]"),
            _ => format!(" {}", word(&digest, index)),
        })
        .collect()
}

/// Returns the first eight bytes of a digest as a number.
pub(crate) fn first_u64(digest: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(bytes)
}

fn digest(kind: StageKind, input: &Value, previous: &Value) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [kind.as_str(), &input.to_string(), &previous.to_string()] {
        // The length keeps two different splits from hashing alike.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().into()
}

fn word(digest: &[u8; 32], index: usize) -> &'static str {
    let byte = digest[index % digest.len()].rotate_left(index as u32 / 32);
    WORDS[usize::from(byte) % WORDS.len()]
}

fn retrieved(digest: &[u8; 32]) -> Vec<String> {
    (0..RETRIEVED_DOCUMENTS)
        .map(|number| {
            let digest = Sha256::new()
                .chain_update(digest)
                .chain_update([number])
                .finalize();
            format!("doc-{}", hex::encode(&digest[..NAME_BYTES]))
        })
        .collect()
}

fn reranked(digest: &[u8; 32], previous: &Value) -> Vec<String> {
    let mut documents: Vec<String> = previous
        .get("documents")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .filter_map(|document| document.as_str().map(str::to_owned))
        .collect();
    documents.sort_by_cached_key(|document| {
        let score = Sha256::new()
            .chain_update(digest)
            .chain_update(document)
            .finalize();
        first_u64(&score)
    });
    documents.truncate(RERANKED_DOCUMENTS);
    documents
}
