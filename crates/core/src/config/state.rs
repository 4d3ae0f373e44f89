//! The configuration in force and the rule by which records change it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{
    change::{Change, ChangeOp, Intent, Plan},
    config::{
        checkpoint::{CheckpointItem, CheckpointPart},
        plan::{self, PlanError, change_id},
        record::ConfigRecord,
        rules,
        store::Store,
        verdict::{Applied, HistoryEntry, InvalidReason, Verdict},
    },
    ids::{ChangeId, Offset, OperatorName, is_valid_name},
    objects::{Backend, Model, Object, ObjectKey, Pipeline, Pool, Workspace},
};

/// Number of past offsets for which the state retains changed objects and decided
/// changes. A change with an older base is rejected, so eviction never alters a
/// verdict.
pub const RETAINED_OFFSETS: u64 = 4_096;
/// Maximum number of keys or reasons in a verdict.
pub const MAX_REASONS: usize = 8;

/// The configuration after all records below [`State::next`] are applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    next: Offset,
    store: Store,
    /// Offset of the last change of each object, including removed objects.
    last_changes: BTreeMap<ObjectKey, Offset>,
    last_changes_by_offset: BTreeSet<(Offset, ObjectKey)>,
    /// Decided changes by offset; `decided_offsets` maps identifiers to offsets.
    history: VecDeque<HistoryEntry>,
    decided_offsets: BTreeMap<ChangeId, Offset>,
}

impl State {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Applies the record at `offset`. The same records in the same order give the same
    /// state and results on every instance.
    pub fn apply(&mut self, offset: Offset, record: &ConfigRecord) -> Applied {
        if let Some(rejected) = self.check_order(offset) {
            return rejected;
        }
        let applied = match record {
            ConfigRecord::Change(change) => self.decide(offset, change),
            ConfigRecord::Checkpoint(part) if part.is_last() => Applied::Checkpoint,
            ConfigRecord::Checkpoint(_) => Applied::CheckpointPart,
        };
        self.advance(offset);
        applied
    }

    /// Skips the record at `offset`, whose payload cannot be decoded.
    pub fn apply_undecodable(&mut self, offset: Offset) -> Applied {
        if let Some(rejected) = self.check_order(offset) {
            return rejected;
        }
        self.advance(offset);
        Applied::Invalid {
            reasons: vec![InvalidReason::Undecodable],
        }
    }

    /// Plans the change that `intent` describes.
    ///
    /// # Errors
    ///
    /// Returns all errors in the intent, not only the first.
    pub fn plan(&self, intent: &Intent, operator: &OperatorName) -> Result<Plan, Vec<PlanError>> {
        plan::plan(&self.store, self.next, intent, operator)
    }

    /// Finds a workspace.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.store.workspaces.get(name).map(|x| &**x)
    }

    /// Finds a pipeline.
    pub fn pipeline(&self, name: &str) -> Option<&Pipeline> {
        self.store.pipelines.get(name).map(|x| &**x)
    }

    /// Finds a pool.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.store.pools.get(name).map(|x| &**x)
    }

    /// Finds a model.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.store.models.get(name).map(|x| &**x)
    }

    /// Finds a backend server.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.store.backends.get(name).map(|x| &**x)
    }

    /// Iterates over the workspaces by name.
    pub fn workspaces(&self) -> impl ExactSizeIterator<Item = &Workspace> {
        self.store.workspaces.values().map(|x| &**x)
    }

    /// Iterates over the pipelines by name.
    pub fn pipelines(&self) -> impl ExactSizeIterator<Item = &Pipeline> {
        self.store.pipelines.values().map(|x| &**x)
    }

    /// Iterates over the pools by name.
    pub fn pools(&self) -> impl ExactSizeIterator<Item = &Pool> {
        self.store.pools.values().map(|x| &**x)
    }

    /// Iterates over the models by name.
    pub fn models(&self) -> impl ExactSizeIterator<Item = &Model> {
        self.store.models.values().map(|x| &**x)
    }

    /// Iterates over the backend servers by name.
    pub fn backends(&self) -> impl ExactSizeIterator<Item = &Backend> {
        self.store.backends.values().map(|x| &**x)
    }

    /// Returns copies of all objects in force, ordered by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = Object> + '_ {
        self.store.objects()
    }

    /// Iterates over the decided changes of the last [`RETAINED_OFFSETS`]
    /// offsets, newest first.
    pub fn history(&self) -> impl ExactSizeIterator<Item = &HistoryEntry> {
        self.history.iter().rev()
    }

    /// Returns the decision on a change, if it is still retained.
    pub fn decision(&self, id: &ChangeId) -> Option<&HistoryEntry> {
        let offset = self.decided_offsets.get(id)?;
        let index = self
            .history
            .binary_search_by_key(offset, |entry| entry.offset)
            .ok()?;
        self.history.get(index)
    }

    fn check_order(&self, offset: Offset) -> Option<Applied> {
        if offset < self.next {
            return Some(Applied::Old);
        }
        (offset > self.next).then_some(Applied::Gap {
            expected: self.next,
        })
    }

    fn decide(&mut self, offset: Offset, change: &Change) -> Applied {
        if let Some(reason) = find_forgery(offset, change) {
            return Applied::Invalid {
                reasons: vec![reason],
            };
        }
        if let Some(first) = self.decided_offsets.get(&change.id) {
            return Applied::Repeat { first: *first };
        }
        let verdict = self.verdict(offset, change);
        self.add_to_history(HistoryEntry {
            offset,
            id: change.id.clone(),
            operator: change.operator.clone(),
            verdict: verdict.clone(),
        });
        verdict.into()
    }

    fn verdict(&mut self, offset: Offset, change: &Change) -> Verdict {
        if change.base < retained_from(offset) {
            return Verdict::TooOld;
        }
        let touched = match touched_keys(&change.ops) {
            Ok(touched) => touched,
            Err(reasons) => return Verdict::Invalid { reasons },
        };
        let conflicts = self.conflicts(change.base, &touched);
        if !conflicts.is_empty() {
            return Verdict::Conflict { touched: conflicts };
        }
        if let Err(reasons) = self.try_apply_ops(&change.ops, &touched) {
            return Verdict::Invalid { reasons };
        }
        for key in touched {
            self.mark_changed(key, offset);
        }
        Verdict::InForce
    }

    fn conflicts(&self, base: Offset, touched: &BTreeSet<ObjectKey>) -> Vec<ObjectKey> {
        let changed_since = |key: &&ObjectKey| {
            self.last_changes
                .get(*key)
                .is_some_and(|offset| *offset >= base)
        };
        let conflicts = touched.iter().filter(changed_since);
        conflicts.take(MAX_REASONS).cloned().collect()
    }

    /// Applies all steps, or none if the result is not valid.
    fn try_apply_ops(
        &mut self,
        ops: &[ChangeOp],
        touched: &BTreeSet<ObjectKey>,
    ) -> Result<(), Vec<InvalidReason>> {
        let unknown = ops.iter().filter_map(|op| match op {
            ChangeOp::Delete(key) if !self.store.contains(key) => Some(key.clone()),
            ChangeOp::Delete(_) | ChangeOp::Put(_) => None,
        });
        let mut reasons: Vec<_> = unknown.map(InvalidReason::UnknownRemoved).collect();
        let undo = apply_ops(&mut self.store, ops);
        let violations = rules::check(&self.store, touched);
        reasons.extend(violations.into_iter().map(InvalidReason::Rule));
        if reasons.is_empty() {
            return Ok(());
        }
        undo.restore(&mut self.store);
        reasons.truncate(MAX_REASONS);
        Err(reasons)
    }

    fn mark_changed(&mut self, key: ObjectKey, offset: Offset) {
        if let Some(old) = self.last_changes.insert(key.clone(), offset) {
            self.last_changes_by_offset.remove(&(old, key.clone()));
        }
        self.last_changes_by_offset.insert((offset, key));
    }

    fn add_to_history(&mut self, entry: HistoryEntry) {
        self.decided_offsets.insert(entry.id.clone(), entry.offset);
        self.history.push_back(entry);
    }

    fn advance(&mut self, offset: Offset) {
        self.next = offset.next();
        let oldest = retained_from(self.next);
        while let Some(entry) = self.history.pop_front_if(|entry| entry.offset < oldest) {
            self.decided_offsets.remove(&entry.id);
        }
        while self
            .last_changes_by_offset
            .first()
            .is_some_and(|x| x.0 < oldest)
        {
            if let Some((_, key)) = self.last_changes_by_offset.pop_first() {
                self.last_changes.remove(&key);
            }
        }
    }

    /// Iterates over the items of a checkpoint.
    pub(crate) fn checkpoint_items(&self) -> impl Iterator<Item = CheckpointItem> + '_ {
        let objects = self.store.objects().map(CheckpointItem::Object);
        let last_changes = self.last_changes_by_offset.iter();
        let last_changes = last_changes.map(|(offset, key)| CheckpointItem::Changed {
            key: key.clone(),
            offset: *offset,
        });
        let history = self.history.iter().cloned().map(CheckpointItem::Decided);
        objects.chain(last_changes).chain(history)
    }

    /// Builds the state from the parts of a checkpoint. Returns `None` if no instance could
    /// have had this state.
    pub(crate) fn from_checkpoint(next: Offset, parts: &[CheckpointPart]) -> Option<Self> {
        let mut state = Self {
            next,
            ..Self::default()
        };
        let mut touched = BTreeSet::new();
        for item in parts.iter().flat_map(|part| &part.items) {
            let is_new = match item {
                CheckpointItem::Object(object) => {
                    touched.insert(object.key()) && state.store.put(object.clone()).is_none()
                }
                CheckpointItem::Changed { key, offset } => {
                    let is_new = !state.last_changes.contains_key(key);
                    state.mark_changed(key.clone(), *offset);
                    is_new && state.is_retained(*offset)
                }
                CheckpointItem::Decided(entry) => {
                    let is_later = state.history.back().is_none_or(|x| x.offset < entry.offset);
                    let is_new = !state.decided_offsets.contains_key(&entry.id);
                    state.add_to_history(entry.clone());
                    is_new && is_later && state.is_retained(entry.offset)
                }
            };
            if !is_new {
                return None;
            }
        }
        rules::check(&state.store, &touched)
            .is_empty()
            .then_some(state)
    }

    fn is_retained(&self, offset: Offset) -> bool {
        offset < self.next && offset >= retained_from(self.next)
    }
}

/// Returns the oldest offset that the state at `next` retains.
fn retained_from(next: Offset) -> Offset {
    Offset(next.0.saturating_sub(RETAINED_OFFSETS))
}

/// Returns a defect that no planned change can have. A record with such a defect is not
/// added to the history, so that it cannot occupy the identifier of another change.
fn find_forgery(offset: Offset, change: &Change) -> Option<InvalidReason> {
    if !is_valid_name(change.operator.as_str()) {
        return Some(InvalidReason::BadOperator);
    }
    if change.id != change_id(change.base, &change.operator, &change.ops) {
        return Some(InvalidReason::IdMismatch);
    }
    (change.base > offset).then_some(InvalidReason::BaseAhead)
}

fn touched_keys(ops: &[ChangeOp]) -> Result<BTreeSet<ObjectKey>, Vec<InvalidReason>> {
    let mut touched = BTreeSet::new();
    let mut duplicates = Vec::new();
    for op in ops {
        let key = op.key();
        if touched.contains(&key) {
            duplicates.push(InvalidReason::DuplicateStep(key));
        } else {
            touched.insert(key);
        }
    }
    if duplicates.is_empty() {
        return Ok(touched);
    }
    duplicates.truncate(MAX_REASONS);
    Err(duplicates)
}

/// Data to undo applied steps. All keys are different.
pub(crate) struct Undo {
    replaced: Vec<Object>,
    created: Vec<ObjectKey>,
}

impl Undo {
    fn restore(self, store: &mut Store) {
        for key in &self.created {
            store.remove(key);
        }
        for object in self.replaced {
            store.put(object);
        }
    }
}

/// Applies the steps and returns the data to undo them.
pub(crate) fn apply_ops(store: &mut Store, ops: &[ChangeOp]) -> Undo {
    let mut undo = Undo {
        replaced: Vec::new(),
        created: Vec::new(),
    };
    for op in ops {
        let old = match op {
            ChangeOp::Put(object) => store.put(object.clone()),
            ChangeOp::Delete(key) => store.remove(key),
        };
        match old {
            Some(object) => undo.replaced.push(object),
            None => undo.created.push(op.key()),
        }
    }
    undo
}
