//! Small stand-ins for the outside systems, with fault switches.
//!
//! Each server starts in-process with `start` and gives a handle with its
//! address; the binary `standin` runs the same servers as processes:
//!
//! | subcommand | stands in for | faults, as JSON for `POST /fault` |
//! |---|---|---|
//! | `log` | the platform's append-only log | [`LogFaults`] |
//! | `list` | the platform's list of instances, which lags | [`ListFaults`] |
//! | `engine`, `service` | backend servers | [`BackendFaults`] |
//! | `weights` | the rate-limited weight store | none |
//! | `balancer` | the platform's balancer | in-process: [`LinkFaults`] |
//! | `relay` | the network before one process | [`LinkFaults`], on its control address |
//!
//! A posted set of faults replaces the one before; `{}` lifts them all.
//! `load` and `ask` play callers and check every answer against
//! [`expected_output`]; `ran` tells what truly ran; `send` sends any request.

mod acceptor;
mod append_limit;
mod backend;
mod backend_faults;
mod backend_settings;
mod balancer;
mod body;
mod cache;
mod caller;
pub mod client;
mod clock;
mod error;
mod history;
mod job;
mod link;
mod list;
mod load;
mod log;
mod log_server;
mod log_settings;
mod models;
mod outbox;
mod ran;
mod relay;
mod report;
mod server;
mod slots;
mod socket;
mod weights;
mod work;

pub use backend::BackendServer;
pub use backend_faults::{BackendFaults, Mislabel};
pub use backend_settings::BackendSettings;
pub use balancer::{Balancer, BalancerSettings};
pub use caller::{Ask, Asked, Caller, CallerSettings, Verdict, Warrant};
pub use error::{Error, Result};
pub use link::LinkFaults;
pub use list::{ListFaults, ListServer, ListSettings};
pub use load::{LoadSettings, Warrants, run_load};
pub use log_server::LogServer;
pub use log_settings::{LogFaults, LogSettings};
pub use ran::{RanCall, RanState, ran_more_than_once};
pub use relay::{Relay, RelaySettings};
pub use report::{Report, StageTotals, usage_table};
pub use savoryvane_wire::backend::prefix_hash;
pub use weights::{WeightServer, WeightSource, WeightStore};
pub use work::{Step, expected_output, stage_output, tokens_of};
