//! The operator's command line of savoryvane, as a library: settings, commands,
//! the controller that runs them and the errors with their exit codes.

mod account;
mod admin;
mod books;
mod chart;
mod client;
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
pub use command::{Command, Confirmed, Costs, Grouping, ObjectList, Planned, ReportForm};
pub use controller::Controller;
pub use error::{Error, Exit, Result};
pub use explain::explain;
pub use settings::{Credential, Format, Settings};
