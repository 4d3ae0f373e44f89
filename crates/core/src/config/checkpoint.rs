//! Checkpoints: the whole state, written to the stream again in parts before
//! the records that it came from expire.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    config::{plan::to_json, state::State, verdict::HistoryEntry},
    ids::Offset,
    objects::{Object, ObjectKey},
};

/// Largest part, as JSON, in bytes.
pub const MAX_PART_BYTES: usize = 256 * 1024;

/// Room in a part for everything but its items.
const PART_FRAME_BYTES: usize = 1024;
/// Most parts of a checkpoint.
const MAX_PARTS: u32 = 1_024;
/// Most checkpoints that are put together at the same time.
const MAX_OPEN: usize = 4;

/// One entry of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckpointItem {
    /// An object in force.
    Object(Object),
    /// The last change of an object, which may be gone.
    Changed {
        /// Object that was changed.
        key: ObjectKey,
        /// Offset of the change.
        offset: Offset,
    },
    /// A decided change.
    Decided(HistoryEntry),
}

/// One part of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointPart {
    /// Next offset of the state that the checkpoint carries.
    pub covers: Offset,
    /// Digest of the whole checkpoint, the same in each part.
    pub digest: String,
    /// Index of the part, from 0.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Entries of this part.
    pub items: Vec<CheckpointItem>,
}

impl CheckpointPart {
    /// Tells whether this is the last part by its index.
    pub fn is_last(&self) -> bool {
        self.index.checked_add(1) == Some(self.count)
    }
}

impl State {
    /// Writes the state as the parts of a checkpoint, each at most
    /// [`MAX_PART_BYTES`] long.
    ///
    /// # Panics
    ///
    /// Panics when there are 2^32 parts or more, which no log could keep.
    pub fn checkpoint(&self) -> Vec<CheckpointPart> {
        let mut groups = vec![Vec::new()];
        let mut bytes = PART_FRAME_BYTES;
        for item in self.checkpoint_items() {
            let item_bytes = to_json(&item).len() + 1;
            if bytes + item_bytes > MAX_PART_BYTES {
                groups.push(Vec::new());
                bytes = PART_FRAME_BYTES;
            }
            bytes += item_bytes;
            groups.last_mut().expect("never empty").push(item);
        }
        let digest = digest(self.next(), groups.iter().flatten());
        let count = u32::try_from(groups.len()).expect("parts are far fewer than 2^32");
        let part = |(index, items)| CheckpointPart {
            covers: self.next(),
            digest: digest.clone(),
            index,
            count,
            items,
        };
        (0..).zip(groups).map(part).collect()
    }
}

fn digest<'a>(covers: Offset, items: impl Iterator<Item = &'a CheckpointItem>) -> String {
    let mut hasher = Sha256::new();
    hasher.update(covers.0.to_be_bytes());
    for item in items {
        let json = to_json(item);
        hasher.update((json.len() as u64).to_be_bytes());
        hasher.update(json);
    }
    hex::encode(hasher.finalize())
}

/// Why a part or a complete checkpoint is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartFault {
    /// Index or count is out of range.
    BadIndex,
    /// It claims to cover offsets after its own.
    CoversAhead,
    /// It disagrees with an earlier part of the same checkpoint.
    Mismatch,
    /// All parts are there, but the digest is another one.
    BadDigest,
    /// The digest is right, but the entries are no valid state.
    BadState,
}

/// What [`Assembler::add`] made of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assembly {
    /// More parts have to come.
    Incomplete,
    /// The checkpoint is complete and right.
    Complete(Box<State>),
    /// The part, or the checkpoint that it completes, is ignored.
    Ignored(PartFault),
}

/// Puts parts together again, of several writers at the same time.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    open: BTreeMap<(Offset, String), Vec<Option<CheckpointPart>>>,
    ignored: u64,
}

impl Assembler {
    /// Creates an assembler without parts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many parts or checkpoints were ignored as wrong.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Adds the part of the record at `offset`.
    pub fn add(&mut self, offset: Offset, part: CheckpointPart) -> Assembly {
        let assembly = self.assemble(offset, part);
        if matches!(assembly, Assembly::Ignored(_)) {
            self.ignored += 1;
        }
        assembly
    }

    fn assemble(&mut self, offset: Offset, part: CheckpointPart) -> Assembly {
        if part.count > MAX_PARTS || part.index >= part.count {
            return Assembly::Ignored(PartFault::BadIndex);
        }
        if part.covers > offset {
            return Assembly::Ignored(PartFault::CoversAhead);
        }
        let (covers, count) = (part.covers, part.count as usize);
        let id = (covers, part.digest.clone());
        let slots = self
            .open
            .entry(id.clone())
            .or_insert_with(|| vec![None; count]);
        let Some(slot) = slots.get_mut(part.index as usize) else {
            return Assembly::Ignored(PartFault::Mismatch);
        };
        if slot.as_ref().is_some_and(|old| *old != part) {
            return Assembly::Ignored(PartFault::Mismatch);
        }
        *slot = Some(part);
        if !slots.iter().all(Option::is_some) {
            self.drop_oldest();
            return Assembly::Incomplete;
        }
        let slots = self.open.remove(&id).unwrap_or_default();
        let parts: Vec<_> = slots.into_iter().flatten().collect();
        complete(covers, &id.1, &parts)
    }

    fn drop_oldest(&mut self) {
        while self.open.len() > MAX_OPEN {
            self.open.pop_first();
            self.ignored += 1;
        }
    }
}

fn complete(covers: Offset, expected: &str, parts: &[CheckpointPart]) -> Assembly {
    if digest(covers, parts.iter().flat_map(|part| &part.items)) != expected {
        return Assembly::Ignored(PartFault::BadDigest);
    }
    match State::from_checkpoint(covers, parts) {
        Some(state) => Assembly::Complete(Box::new(state)),
        None => Assembly::Ignored(PartFault::BadState),
    }
}
