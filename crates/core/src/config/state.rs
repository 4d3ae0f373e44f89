//! The configuration in force, and the rule by which records change it.

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

/// Offsets back for which the state remembers what changed and which changes
/// were decided. A change whose base is older is rejected, so forgetting never
/// alters a verdict.
pub const RETAINED_OFFSETS: u64 = 4_096;
/// Most keys or reasons that a verdict names.
pub const MAX_REASONS: usize = 8;

/// The configuration after every record below [`State::next`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    next: Offset,
    store: Store,
    /// Offset of the last change of each object, removed ones included.
    changed: BTreeMap<ObjectKey, Offset>,
    changed_order: BTreeSet<(Offset, ObjectKey)>,
    /// Decided changes by offset; `decided` finds them by identifier.
    history: VecDeque<HistoryEntry>,
    decided: BTreeMap<ChangeId, Offset>,
}

impl State {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the record that has to come next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Applies the record at `offset`. The same records in the same order give
    /// the same state and results everywhere.
    pub fn apply(&mut self, offset: Offset, record: &ConfigRecord) -> Applied {
        if let Some(refused) = self.out_of_order(offset) {
            return refused;
        }
        let applied = match record {
            ConfigRecord::Change(change) => self.decide(offset, change),
            ConfigRecord::Checkpoint(part) if part.is_last() => Applied::Checkpoint,
            ConfigRecord::Checkpoint(_) => Applied::CheckpointPart,
        };
        self.advance(offset);
        applied
    }

    /// Passes over a record whose payload can't be decoded.
    pub fn apply_undecodable(&mut self, offset: Offset) -> Applied {
        if let Some(refused) = self.out_of_order(offset) {
            return refused;
        }
        self.advance(offset);
        Applied::Invalid {
            reasons: vec![InvalidReason::Undecodable],
        }
    }

    /// Plans the change that `intent` asks for.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with the intent, not only the first.
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

    /// Copies every object in force, in the order of kind and name.
    pub fn objects(&self) -> impl Iterator<Item = Object> + '_ {
        self.store.objects()
    }

    /// Iterates over the decided changes of the last [`RETAINED_OFFSETS`]
    /// offsets, newest first.
    pub fn history(&self) -> impl ExactSizeIterator<Item = &HistoryEntry> {
        self.history.iter().rev()
    }

    /// Finds how a change was decided, while it is remembered.
    pub fn decision(&self, id: &ChangeId) -> Option<&HistoryEntry> {
        let offset = self.decided.get(id)?;
        let index = self
            .history
            .binary_search_by_key(offset, |entry| entry.offset)
            .ok()?;
        self.history.get(index)
    }

    fn out_of_order(&self, offset: Offset) -> Option<Applied> {
        if offset < self.next {
            return Some(Applied::Old);
        }
        (offset > self.next).then_some(Applied::Gap {
            expected: self.next,
        })
    }

    fn decide(&mut self, offset: Offset, change: &Change) -> Applied {
        if let Some(reason) = forged(offset, change) {
            return Applied::Invalid {
                reasons: vec![reason],
            };
        }
        if let Some(first) = self.decided.get(&change.id) {
            return Applied::Repeat { first: *first };
        }
        let verdict = self.verdict(offset, change);
        self.remember(HistoryEntry {
            offset,
            id: change.id.clone(),
            operator: change.operator.clone(),
            verdict: verdict.clone(),
        });
        verdict.into()
    }

    fn verdict(&mut self, offset: Offset, change: &Change) -> Verdict {
        if change.base < remembered_from(offset) {
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
        if let Err(reasons) = self.store_ops(&change.ops, &touched) {
            return Verdict::Invalid { reasons };
        }
        for key in touched {
            self.mark_changed(key, offset);
        }
        Verdict::InForce
    }

    fn conflicts(&self, base: Offset, touched: &BTreeSet<ObjectKey>) -> Vec<ObjectKey> {
        let changed_since = |key: &&ObjectKey| self.changed.get(*key).is_some_and(|at| *at >= base);
        let conflicts = touched.iter().filter(changed_since);
        conflicts.take(MAX_REASONS).cloned().collect()
    }

    /// Puts the steps in force together, or leaves everything as it was.
    fn store_ops(
        &mut self,
        ops: &[ChangeOp],
        touched: &BTreeSet<ObjectKey>,
    ) -> Result<(), Vec<InvalidReason>> {
        let unknown = ops.iter().filter_map(|op| match op {
            ChangeOp::Delete(key) if !self.store.contains(key) => Some(key.clone()),
            ChangeOp::Delete(_) | ChangeOp::Put(_) => None,
        });
        let mut reasons: Vec<_> = unknown.map(InvalidReason::UnknownRemoved).collect();
        let undo = swap_ops(&mut self.store, ops);
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
        if let Some(old) = self.changed.insert(key.clone(), offset) {
            self.changed_order.remove(&(old, key.clone()));
        }
        self.changed_order.insert((offset, key));
    }

    fn remember(&mut self, entry: HistoryEntry) {
        self.decided.insert(entry.id.clone(), entry.offset);
        self.history.push_back(entry);
    }

    fn advance(&mut self, offset: Offset) {
        self.next = offset.next();
        let from = remembered_from(self.next);
        while let Some(entry) = self.history.pop_front_if(|entry| entry.offset < from) {
            self.decided.remove(&entry.id);
        }
        while self.changed_order.first().is_some_and(|x| x.0 < from) {
            if let Some((_, key)) = self.changed_order.pop_first() {
                self.changed.remove(&key);
            }
        }
    }

    /// Lists everything that a checkpoint carries.
    pub(crate) fn checkpoint_items(&self) -> impl Iterator<Item = CheckpointItem> + '_ {
        let objects = self.store.objects().map(CheckpointItem::Object);
        let changed = self.changed_order.iter();
        let changed = changed.map(|(offset, key)| CheckpointItem::Changed {
            key: key.clone(),
            offset: *offset,
        });
        let history = self.history.iter().cloned().map(CheckpointItem::Decided);
        objects.chain(changed).chain(history)
    }

    /// Builds the state that a checkpoint carries; `None` when it could not
    /// have been the state of any instance.
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
                    let is_new = !state.changed.contains_key(key);
                    state.mark_changed(key.clone(), *offset);
                    is_new && state.is_remembered(*offset)
                }
                CheckpointItem::Decided(entry) => {
                    let is_later = state.history.back().is_none_or(|x| x.offset < entry.offset);
                    let is_new = !state.decided.contains_key(&entry.id);
                    state.remember(entry.clone());
                    is_new && is_later && state.is_remembered(entry.offset)
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

    fn is_remembered(&self, offset: Offset) -> bool {
        offset < self.next && offset >= remembered_from(self.next)
    }
}

/// Returns the oldest offset that the state at `next` remembers.
fn remembered_from(next: Offset) -> Offset {
    Offset(next.0.saturating_sub(RETAINED_OFFSETS))
}

/// Finds what no plan could have produced; such a record leaves no trace, so
/// that nobody can use up another change's identifier.
fn forged(offset: Offset, change: &Change) -> Option<InvalidReason> {
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
    let mut twice = Vec::new();
    for op in ops {
        let key = op.key();
        if touched.contains(&key) {
            twice.push(InvalidReason::DuplicateStep(key));
        } else {
            touched.insert(key);
        }
    }
    if twice.is_empty() {
        return Ok(touched);
    }
    twice.truncate(MAX_REASONS);
    Err(twice)
}

/// What has to be put back to undo steps; the keys are all different.
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

/// Carries out the steps and returns how to undo them.
pub(crate) fn swap_ops(store: &mut Store, ops: &[ChangeOp]) -> Undo {
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
