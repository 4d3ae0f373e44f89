//! Checkpoints: the complete state, written to the stream in parts before the
//! records that it was built from expire.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    config::{plan::to_json, state::State, verdict::HistoryEntry},
    ids::Offset,
    objects::{Object, ObjectKey},
};

/// Maximum size of a part as JSON, in bytes.
pub const MAX_PART_BYTES: usize = 256 * 1024;

/// Size reserved in a part for all fields other than its items, in bytes.
const PART_OVERHEAD_BYTES: usize = 1024;
/// Maximum number of parts of a checkpoint.
const MAX_PARTS: u32 = 1_024;
/// Maximum number of checkpoints that are assembled at the same time.
const MAX_ASSEMBLED: usize = 4;

/// One entry of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckpointItem {
    /// An object in force.
    Object(Object),
    /// The last change of an object, which may have been removed.
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
    /// Returns whether this is the last part by its index.
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
    /// Panics if there are 2^32 parts or more, which no log could store.
    pub fn checkpoint(&self) -> Vec<CheckpointPart> {
        let mut groups = vec![Vec::new()];
        let mut bytes = PART_OVERHEAD_BYTES;
        for item in self.checkpoint_items() {
            let item_bytes = to_json(&item).len() + 1;
            if bytes + item_bytes > MAX_PART_BYTES {
                groups.push(Vec::new());
                bytes = PART_OVERHEAD_BYTES;
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

/// Reason why a part or an assembled checkpoint is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartFault {
    /// The index or the count is out of range.
    BadIndex,
    /// The part claims to cover offsets after its own.
    CoversAhead,
    /// The part conflicts with an earlier part of the same checkpoint.
    Mismatch,
    /// All parts arrived, but their digest differs from the stated one.
    BadDigest,
    /// The digest is correct, but the entries are not a valid state.
    BadState,
}

/// Result of [`Assembler::add`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assembly {
    /// Parts are missing.
    Incomplete,
    /// The checkpoint is complete and valid.
    Complete(Box<State>),
    /// The part, or the checkpoint that it completes, is ignored.
    Ignored(PartFault),
}

/// Assembles checkpoints from parts, which may come from several writers at the same
/// time.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    incomplete: BTreeMap<(Offset, String), Vec<Option<CheckpointPart>>>,
    ignored: u64,
}

impl Assembler {
    /// Creates an assembler without parts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of parts and checkpoints that were ignored.
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
            .incomplete
            .entry(id.clone())
            .or_insert_with(|| vec![None; count]);
        let Some(slot) = slots.get_mut(part.index as usize) else {
            return Assembly::Ignored(PartFault::Mismatch);
        };
        if slot.as_ref().is_some_and(|existing| *existing != part) {
            return Assembly::Ignored(PartFault::Mismatch);
        }
        *slot = Some(part);
        if !slots.iter().all(Option::is_some) {
            self.evict_oldest();
            return Assembly::Incomplete;
        }
        let slots = self.incomplete.remove(&id).unwrap_or_default();
        let parts: Vec<_> = slots.into_iter().flatten().collect();
        finish_assembly(covers, &id.1, &parts)
    }

    fn evict_oldest(&mut self) {
        while self.incomplete.len() > MAX_ASSEMBLED {
            self.incomplete.pop_first();
            self.ignored += 1;
        }
    }
}

fn finish_assembly(covers: Offset, expected: &str, parts: &[CheckpointPart]) -> Assembly {
    if digest(covers, parts.iter().flat_map(|part| &part.items)) != expected {
        return Assembly::Ignored(PartFault::BadDigest);
    }
    match State::from_checkpoint(covers, parts) {
        Some(state) => Assembly::Complete(Box::new(state)),
        None => Assembly::Ignored(PartFault::BadState),
    }
}
