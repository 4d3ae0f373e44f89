//! Small stand-ins for the outside systems, with fault switches.
//!
//! Each server starts in-process with `start` and gives a handle with its
//! address; the binary `standin` runs the same servers as processes.

mod acceptor;
mod backend;
mod backend_faults;
mod balancer;
mod body;
mod cache;
mod caller;
pub mod client;
mod clock;
mod error;
mod history;
mod link;
mod list;
mod load;
mod log;
mod log_server;
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

pub use backend::{BackendServer, BackendSettings};
pub use backend_faults::{BackendFaults, Mislabel};
pub use balancer::{Balancer, BalancerSettings};
pub use caller::{Ask, Asked, Caller, CallerSettings, Verdict, Warrant};
pub use error::{Error, Result};
pub use link::LinkFaults;
pub use list::{ListFaults, ListServer, ListSettings};
pub use load::{LoadSettings, Warrants, run_load};
pub use log_server::{LogFaults, LogServer, LogSettings};
pub use ran::{RanCall, RanState, ran_more_than_once};
pub use relay::{Relay, RelaySettings};
pub use report::{Report, StageTotals, usage_table};
pub use weights::{WeightServer, WeightSource, WeightStore};
pub use work::{Step, expected_output, prefix_hash, stage_output, tokens_of};
