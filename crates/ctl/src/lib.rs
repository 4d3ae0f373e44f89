//! Library of the operators' command line of savoryvane: settings, commands, the
//! controller that executes them, and errors with their exit codes.

mod account;
mod admin;
mod chart;
mod client;
mod collected_costs;
mod command;
mod confirm;
mod controller;
mod costs;
mod error;
mod explain;
mod file;
mod intent;
mod log_line;
mod plan;
mod report;
mod settings;
mod table;
mod view;

pub use account::account;
pub use command::{Command, ConfirmArgs, CostsArgs, Grouping, ObjectList, PlanArgs, ReportForm};
pub use controller::Controller;
pub use error::{Error, Exit, Result};
pub use explain::explain;
pub use settings::{Credential, Format, Settings};
