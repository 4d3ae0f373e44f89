//! Policy bench: the real core over small fakes at its interfaces.
//!
//! A backend server is a queue with seeded service times, a lagging load report
//! and a fault switch. Events run on a simulated clock, so that a run repeats
//! exactly. [`peer_net`] joins many membership cores in the same way.

pub mod backoff_load;
pub mod deployment;
pub mod figures;
pub mod limit_load;
pub mod peer_net;
pub mod poison_day;
pub mod policy;
pub mod quota_net;
pub mod record_load;
pub mod report;
pub mod scenario;
pub mod server;
pub mod stage_load;
pub mod traffic;
pub mod world;
