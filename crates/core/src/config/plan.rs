//! Computes a plan from an intent and reports all errors at once.

use std::collections::{BTreeMap, BTreeSet};

use quick_error::quick_error;
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{
    change::{Change, ChangeOp, Intent, Plan},
    config::{
        rules::{self, Violation},
        state::apply_ops,
        store::Store,
    },
    ids::{ChangeId, Offset, OperatorName, is_valid_name},
    objects::{Model, Object, ObjectKey, ObjectKind},
};

/// Maximum size of a change as JSON, in bytes, so that it fits a record.
pub const MAX_CHANGE_BYTES: usize = 250 * 1024;

quick_error! {
    /// Error in an intent.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlanError {
        /// The operator's name is not valid.
        BadOperator(name: OperatorName) {
            display("operator {:?}: allowed are 1 to 63 lower-case letters, digits, `-` or `.`", name.as_str())
        }
        /// The intent names an object more than once.
        Duplicate(key: ObjectKey) {
            display("{}: named more than once", key)
        }
        /// The intent both puts and removes an object.
        PutAndRemoved(key: ObjectKey) {
            display("{}: both configured and removed", key)
        }
        /// The intent removes an object that does not exist.
        UnknownRemoved(key: ObjectKey) {
            display("{}: to be removed, but not configured", key)
        }
        /// The result would not be a valid configuration.
        Rule(violation: Violation) {
            display("{}", violation)
        }
        /// The change does not fit a record. The intent can be split.
        TooLarge(bytes: usize) {
            display("the change takes {} bytes, at most {} fit a record: split the intent", bytes, MAX_CHANGE_BYTES)
        }
    }
}

/// Computes the identifier of a change, which is a digest of its content.
pub fn change_id(base: Offset, operator: &OperatorName, ops: &[ChangeOp]) -> ChangeId {
    #[derive(Serialize)]
    struct Content<'a> {
        base: Offset,
        operator: &'a OperatorName,
        ops: &'a [ChangeOp],
    }
    let content = Content {
        base,
        operator,
        ops,
    };
    let digest = Sha256::digest(to_json(&content));
    ChangeId::new(hex::encode(digest))
}

/// Serialises a value of this crate's types as JSON.
///
/// # Panics
///
/// Panics if the value has no JSON form, which is impossible for these types.
pub(crate) fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("own types have string keys and finite numbers only")
}

/// Plans the change of `store` that `intent` describes.
pub(crate) fn plan(
    store: &Store,
    base: Offset,
    intent: &Intent,
    operator: &OperatorName,
) -> Result<Plan, Vec<PlanError>> {
    let mut errors = Vec::new();
    if !is_valid_name(operator.as_str()) {
        errors.push(PlanError::BadOperator(operator.clone()));
    }
    let puts = puts(intent, &mut errors);
    let removed = removed(store, intent, &puts, &mut errors);
    let ops: Vec<ChangeOp> = puts
        .into_values()
        .filter(|object| !store.contains_identical(object))
        .map(ChangeOp::Put)
        .chain(removed.into_iter().map(ChangeOp::Delete))
        .collect();

    let mut result = store.clone();
    apply_ops(&mut result, &ops);
    let touched = ops.iter().map(ChangeOp::key).collect();
    let violations = rules::check(&result, &touched);
    errors.extend(violations.into_iter().map(PlanError::Rule));

    let change = Change {
        id: change_id(base, operator, &ops),
        base,
        operator: operator.clone(),
        ops,
    };
    let bytes = to_json(&change).len();
    if bytes > MAX_CHANGE_BYTES {
        errors.push(PlanError::TooLarge(bytes));
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    Ok(Plan {
        summary: summary(store, &change.ops),
        moves: moves(store, &change.ops),
        warnings: warnings(&result, &change.ops),
        change,
    })
}

fn puts(intent: &Intent, errors: &mut Vec<PlanError>) -> BTreeMap<ObjectKey, Object> {
    let pools = intent.pools.iter().cloned().map(Object::Pool);
    let backends = intent.backends.iter().cloned().map(Object::Backend);
    let models = intent.models.iter().cloned().map(Object::Model);
    let pipelines = intent.pipelines.iter().cloned().map(Object::Pipeline);
    let workspaces = intent.workspaces.iter().cloned().map(Object::Workspace);
    let mut puts = BTreeMap::new();
    for object in pools
        .chain(backends)
        .chain(models)
        .chain(pipelines)
        .chain(workspaces)
    {
        let key = object.key();
        if puts.insert(key.clone(), object).is_some() {
            errors.push(PlanError::Duplicate(key));
        }
    }
    puts
}

fn removed(
    store: &Store,
    intent: &Intent,
    puts: &BTreeMap<ObjectKey, Object>,
    errors: &mut Vec<PlanError>,
) -> BTreeSet<ObjectKey> {
    let mut removed = BTreeSet::new();
    for key in &intent.remove {
        if !removed.insert(key.clone()) {
            errors.push(PlanError::Duplicate(key.clone()));
        } else if puts.contains_key(key) {
            errors.push(PlanError::PutAndRemoved(key.clone()));
        } else if !store.contains(key) {
            errors.push(PlanError::UnknownRemoved(key.clone()));
        }
    }
    removed
}

fn summary(store: &Store, ops: &[ChangeOp]) -> Vec<String> {
    let line = |op: &ChangeOp| {
        let key = op.key();
        match op {
            ChangeOp::Delete(_) => format!("remove {key}"),
            ChangeOp::Put(_) if store.contains(&key) => format!("replace {key}"),
            ChangeOp::Put(_) => format!("create {key}"),
        }
    };
    ops.iter().map(line).collect()
}

fn moves(store: &Store, ops: &[ChangeOp]) -> Vec<String> {
    ops.iter().filter_map(|op| model_move(store, op)).collect()
}

fn model_move(store: &Store, op: &ChangeOp) -> Option<String> {
    match op {
        ChangeOp::Put(Object::Model(model)) => {
            let old = store.models.get(&model.name).map(|x| &**x);
            placement_move(old, model)
        }
        ChangeOp::Delete(key) if key.kind == ObjectKind::Model => {
            let old = store.models.get(key.name.as_str())?;
            Some(format!("unload {key} from pool {:?}", old.pool.as_str()))
        }
        ChangeOp::Put(_) | ChangeOp::Delete(_) => None,
    }
}

fn placement_move(old: Option<&Model>, new: &Model) -> Option<String> {
    let (name, pool) = (new.name.as_str(), new.pool.as_str());
    let (size_mb, replicas) = (new.size_mb, new.min_replicas);
    let load = format!(
        "load model {name:?} ({size_mb} MB) on at least {replicas} engines of pool {pool:?} in each availability zone"
    );
    match old {
        None => Some(load),
        Some(old) if old.pool != new.pool => {
            let old_pool = old.pool.as_str();
            Some(format!("{load}; unload it from pool {old_pool:?}"))
        }
        Some(old) if old.size_mb != new.size_mb => Some(format!("{load}, anew")),
        Some(old) if old.min_replicas != replicas => {
            let old_replicas = old.min_replicas;
            Some(format!("{load}, {old_replicas} before"))
        }
        Some(_) => None,
    }
}

fn warnings(result: &Store, ops: &[ChangeOp]) -> Vec<String> {
    let mut warnings = Vec::new();
    if ops.is_empty() {
        warnings.push("nothing would change".to_owned());
    }
    let pools_with_backends: BTreeSet<_> = result.backends.values().map(|x| &x.pool).collect();
    for pool in result
        .pools
        .keys()
        .filter(|pool| !pools_with_backends.contains(pool))
    {
        let pool = pool.as_str();
        warnings.push(format!("pool {pool:?} has no backend server"));
    }
    let mut addrs = BTreeMap::new();
    for backend in result.backends.values() {
        if let Some(other) = addrs.insert(backend.addr, &backend.name) {
            let (name, other, addr) = (backend.name.as_str(), other.as_str(), backend.addr);
            warnings.push(format!("backends {other:?} and {name:?} share {addr}"));
        }
    }
    warnings
}
