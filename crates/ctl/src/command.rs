//! Commands of the operator.

use std::path::PathBuf;

use savoryvane_core::ids::{InstanceName, OperatorName};

/// One command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Shows the state of every given instance.
    Status,
    /// Lists the entry instances.
    Instances,
    /// Lists the backend servers.
    Backends,
    /// Lists configured objects of one kind.
    Objects(ObjectList),
    /// Creates a plan from an intent.
    Plan(PlanArgs),
    /// Puts a plan in force.
    Confirm(ConfirmArgs),
    /// Lists the changes.
    History,
    /// Reports costs.
    Costs(CostsArgs),
    /// Drains an instance.
    Drain(InstanceName),
}

/// Kinds of configured objects that can be listed.
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

/// Arguments of [`Command::Plan`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanArgs {
    /// File with the intent, in YAML.
    pub intent: PathBuf,
    /// File to write the plan to.
    pub output: Option<PathBuf>,
    /// Name of the operator.
    pub operator: Option<OperatorName>,
}

/// Arguments of [`Command::Confirm`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmArgs {
    /// File with the plan.
    pub plan: PathBuf,
    /// Whether to skip the prompt on a terminal.
    pub yes: bool,
    /// Maximum time to wait until every listed instance has it in force, in ms.
    pub wait_ms: u64,
}

/// Arguments of [`Command::Costs`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CostsArgs {
    /// Which lines are summed into one.
    pub grouping: Grouping,
    /// Output form of the report.
    pub form: ReportForm,
    /// File to write the report to.
    pub output: Option<PathBuf>,
    /// Whether to report even if an instance can't be reached.
    pub partial: bool,
}

/// Which cost lines are summed into one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Grouping {
    /// Lines of the same workspace, pipeline and stage.
    #[default]
    Full,
    /// Lines of the same pipeline and stage.
    Stage,
    /// Lines of the same pipeline.
    Pipeline,
    /// Lines of the same workspace.
    Workspace,
}

/// Output form of a cost report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportForm {
    /// A table or JSON, as set by [`Format`](crate::Format).
    #[default]
    AsFormat,
    /// Comma-separated values.
    Csv,
}
