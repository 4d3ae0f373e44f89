//! An instance that forwards callers' requests to backend servers unmodified, by routes
//! that the operator maintains in the platform's store.

mod admitting;
mod answers;
mod attempt;
mod batch;
mod calls;
mod catch_up;
mod crashes;
mod departure;
mod dispatch;
mod follow;
mod forward;
mod freshness;
mod granting;
mod ingress;
mod instance;
mod keeping;
mod knowledge;
mod limits;
mod listing;
mod members;
mod peering;
mod quarantine;
mod register;
mod relay;
mod request;
mod scheduling;
mod sending;
mod settings;
mod signals;
mod stages;
mod store;

pub use instance::Gateway;
pub use settings::{GatewayDrain, GatewayListen, GatewaySettings};
