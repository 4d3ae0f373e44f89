//! Tables of the data that instances return.

use std::{collections::BTreeMap, net::SocketAddr};

use savoryvane_core::{
    ids::PoolName,
    objects::{Fencing, Model, Object, Objective, Pipeline, Pool, Workspace},
};
use savoryvane_wire::admin::{BackendView, HistoryEntry, InstanceView, Reach, Status};

use crate::{
    command::ObjectList,
    table::{
        Align::{Left, Right},
        Table,
    },
};

/// Placeholder for an unknown value.
const UNKNOWN_VALUE: &str = "-";

pub(crate) fn statuses(statuses: &[(SocketAddr, Status)]) -> String {
    let mut table = Table::new(&[
        ("INSTANCE", Left),
        ("ZONE", Left),
        ("ADDRESS", Left),
        ("STATE", Left),
        ("CONFIG NEXT", Right),
        ("CONFIG AGE ms", Right),
        ("IN FLIGHT", Right),
        ("INCARNATION", Left),
    ]);
    for (addr, status) in statuses {
        table.row([
            status.instance.to_string(),
            status.zone.to_string(),
            addr.to_string(),
            state(status).to_owned(),
            status.config_next.to_string(),
            age(status.config_age_ms),
            status.in_flight.to_string(),
            status.incarnation.to_string(),
        ]);
    }
    table.render()
}

fn state(status: &Status) -> &'static str {
    match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

/// Formats the age of the configuration. An instance that never learned the newest
/// offset of the stream reports `u64::MAX`.
fn age(age_ms: u64) -> String {
    if age_ms == u64::MAX {
        "never".to_owned()
    } else {
        age_ms.to_string()
    }
}

pub(crate) fn instances(views: &[InstanceView]) -> String {
    let mut table = Table::new(&[
        ("INSTANCE", Left),
        ("ZONE", Left),
        ("STATE", Left),
        ("CONFIG NEXT", Right),
        ("AGE ms", Right),
    ]);
    for view in views {
        table.row([
            view.name.to_string(),
            view.zone.to_string(),
            view.state.clone(),
            or_unknown(view.config_next),
            or_unknown(view.age_ms),
        ]);
    }
    table.render()
}

pub(crate) fn backends(views: &[BackendView]) -> String {
    let mut table = Table::new(&[
        ("BACKEND SERVER", Left),
        ("POOL", Left),
        ("ZONE", Left),
        ("STATE", Left),
        ("IN FLIGHT HERE", Right),
        ("REPORTED", Right),
        ("AGE ms", Right),
    ]);
    for view in views {
        table.row([
            view.name.to_string(),
            view.pool.to_string(),
            view.zone.to_string(),
            view.state.clone(),
            view.in_flight.to_string(),
            or_unknown(view.reported),
            or_unknown(view.age_ms),
        ]);
    }
    table.render()
}

pub(crate) fn history(entries: &[HistoryEntry]) -> String {
    let mut table = Table::new(&[
        ("OFFSET", Right),
        ("CHANGE", Left),
        ("OPERATOR", Left),
        ("RESULT", Left),
    ]);
    for entry in entries {
        table.row([
            entry.offset.to_string(),
            entry.id.to_string(),
            entry.operator.to_string(),
            entry.result.clone(),
        ]);
    }
    table.render()
}

/// Renders the objects of one kind in `objects`.
pub(crate) fn objects(list: ObjectList, objects: &[Object]) -> String {
    match list {
        ObjectList::Workspaces => workspaces(objects),
        ObjectList::Pipelines => pipelines(objects),
        ObjectList::Pools => pools(objects),
        ObjectList::Models => models(objects),
    }
}

/// Returns whether `object` belongs in `list`.
pub(crate) fn is_listed(list: ObjectList, object: &Object) -> bool {
    matches!(
        (list, object),
        (ObjectList::Workspaces, Object::Workspace(_))
            | (ObjectList::Pipelines, Object::Pipeline(_))
            | (ObjectList::Pools, Object::Pool(_))
            | (ObjectList::Models, Object::Model(_))
    )
}

fn workspaces(objects: &[Object]) -> String {
    let mut table = Table::new(&[
        ("WORKSPACE", Left),
        ("WEIGHT", Right),
        ("QUOTA /s", Right),
        ("OBJECTIVE", Left),
        ("ATTAINMENT per mille", Right),
        ("PIPELINES", Left),
    ]);
    for object in objects {
        if let Object::Workspace(workspace) = object {
            table.row(workspace_cells(workspace));
        }
    }
    table.render()
}

fn workspace_cells(workspace: &Workspace) -> [String; 6] {
    let objective = match workspace.objective {
        Objective::Attainment => "attainment",
        Objective::Cost => "cost",
    };
    let pipelines: Vec<_> = workspace.pipelines.iter().map(|p| p.as_str()).collect();
    [
        workspace.name.to_string(),
        workspace.weight.to_string(),
        workspace.quota_per_s.to_string(),
        objective.to_owned(),
        workspace.attainment_per_mille.to_string(),
        pipelines.join(" "),
    ]
}

fn pipelines(objects: &[Object]) -> String {
    let mut table = Table::new(&[
        ("PIPELINE", Left),
        ("DEADLINE ms", Right),
        ("REPEATABLE", Left),
        ("STAGES", Left),
    ]);
    for object in objects {
        if let Object::Pipeline(pipeline) = object {
            table.row(pipeline_cells(pipeline));
        }
    }
    table.render()
}

fn pipeline_cells(pipeline: &Pipeline) -> [String; 4] {
    let stages: Vec<_> = pipeline
        .stages
        .iter()
        .map(|stage| format!("{}@{}", stage.name, stage.pool))
        .collect();
    let repeatable = if pipeline.is_idempotent() {
        "yes"
    } else {
        "no"
    };
    [
        pipeline.name.to_string(),
        pipeline.deadline_ms.to_string(),
        repeatable.to_owned(),
        stages.join(" > "),
    ]
}

fn pools(objects: &[Object]) -> String {
    let mut backends: BTreeMap<&PoolName, u32> = BTreeMap::new();
    for object in objects {
        if let Object::Backend(backend) = object {
            *backends.entry(&backend.pool).or_default() += 1;
        }
    }
    let mut table = Table::new(&[
        ("POOL", Left),
        ("KIND", Left),
        ("PRICE micros/s", Right),
        ("FENCING", Left),
        ("BACKEND SERVERS", Right),
    ]);
    for object in objects {
        if let Object::Pool(pool) = object {
            let count = backends.get(&pool.name).copied().unwrap_or(0);
            table.row(pool_cells(pool, count));
        }
    }
    table.render()
}

fn pool_cells(pool: &Pool, backends: u32) -> [String; 5] {
    let fencing = match pool.fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    };
    [
        pool.name.to_string(),
        pool.kind.as_str().to_owned(),
        pool.price_micros_per_s.to_string(),
        fencing.to_owned(),
        backends.to_string(),
    ]
}

fn models(objects: &[Object]) -> String {
    let mut table = Table::new(&[
        ("MODEL", Left),
        ("POOL", Left),
        ("SIZE MB", Right),
        ("MIN REPLICAS", Right),
    ]);
    for object in objects {
        if let Object::Model(model) = object {
            table.row(model_cells(model));
        }
    }
    table.render()
}

fn model_cells(model: &Model) -> [String; 4] {
    [
        model.name.to_string(),
        model.pool.to_string(),
        model.size_mb.to_string(),
        model.min_replicas.to_string(),
    ]
}

/// Describes in one line on how many instances a change is in force.
pub(crate) fn reach(reach: &Reach) -> String {
    let counts = format!(
        "in force on {} of {} listed instances",
        reach.in_force, reach.listed
    );
    if reach.missing.is_empty() {
        return counts;
    }
    let missing: Vec<_> = reach.missing.iter().map(|name| name.as_str()).collect();
    format!("{counts}; not yet reported by {}", missing.join(", "))
}

fn or_unknown<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| UNKNOWN_VALUE.to_owned(), |value| value.to_string())
}
