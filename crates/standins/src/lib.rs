//! Small stand-ins for the outside systems, with fault switches.
//!
//! Each server starts in-process with `start` and gives a handle with its
//! address; the binary `standin` runs the same servers as processes.

mod backend;
mod backend_faults;
mod balancer;
mod body;
mod cache;
pub mod client;
mod error;
mod history;
mod list;
mod log;
mod log_server;
mod models;
mod outbox;
mod ran;
mod server;
mod slots;
mod socket;
mod work;

pub use backend::{BackendServer, BackendSettings};
pub use backend_faults::{BackendFaults, Mislabel};
pub use balancer::{Balancer, BalancerSettings};
pub use error::{Error, Result};
pub use list::{ListFaults, ListServer, ListSettings};
pub use log_server::{LogFaults, LogServer, LogSettings};
pub use models::WeightStore;
pub use ran::{RanCall, RanState};
pub use work::{Step, expected_output, prefix_hash, stage_output, tokens_of};
