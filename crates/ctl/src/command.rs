//! What the operator asks for.

use std::path::PathBuf;

use savoryvane_core::ids::{InstanceName, OperatorName};

/// One command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Shows the state of every instance that was given.
    Status,
    /// Lists the entry instances.
    Instances,
    /// Lists the backend servers.
    Backends,
    /// Lists configured objects of one kind.
    Objects(ObjectList),
    /// Makes a plan from an intent.
    Plan(Planned),
    /// Puts a plan in force.
    Confirm(Confirmed),
    /// Lists the changes.
    History,
    /// Reports costs.
    Costs(Costs),
    /// Asks an instance to leave.
    Drain(InstanceName),
}

/// Kinds of configured objects that have a list of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectList {
    /// Workspaces.
    Workspaces,
    /// Pipelines.
    Pipelines,
    /// Pools.
    Pools,
    /// Models.
    Models,
}

/// What to plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// File with the intent, in YAML.
    pub intent: PathBuf,
    /// File to write the plan to.
    pub output: Option<PathBuf>,
    /// Who asks for it.
    pub operator: Option<OperatorName>,
}

/// What to confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// File with the plan.
    pub plan: PathBuf,
    /// Whether to go on without asking, also on a terminal.
    pub yes: bool,
    /// Longest wait for every listed instance to have it in force, in ms.
    pub wait_ms: u64,
}

/// What to report on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Costs {
    /// Which lines are summed into one.
    pub grouping: Grouping,
    /// Form of the report.
    pub form: ReportForm,
    /// File to write the report to.
    pub output: Option<PathBuf>,
    /// Whether to report also when an instance can't be reached.
    pub partial: bool,
}

/// Which cost lines are summed into one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Grouping {
    /// None: one line for each workspace, pipeline and stage.
    #[default]
    Full,
    /// Those of the same pipeline and stage.
    Stage,
    /// Those of the same pipeline.
    Pipeline,
    /// Those of the same workspace.
    Workspace,
}

/// Form of a cost report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportForm {
    /// As [`Format`](crate::Format) says: a table or JSON.
    #[default]
    AsFormat,
    /// Comma-separated values.
    Csv,
}
