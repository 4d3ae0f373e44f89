//! An instance that forwards callers' requests to backend servers unmodified, by routes
//! that the operator maintains in the platform's store.

mod admitting;
mod attempt;
mod batch;
mod catch_up;
mod cell_layout;
mod crashes;
mod departure;
mod dialer;
mod dispatch;
mod evacuations;
mod failover;
mod forward;
mod freshness;
mod grants;
mod in_flight;
mod ingress;
mod instance;
mod instance_list;
mod limits;
mod local_reply;
mod members;
mod peer_messages;
mod permits;
mod quarantine;
mod quarantine_store;
mod record_outbox;
mod relay;
mod request;
mod routing_view;
mod scheduler_watch;
mod server_limits;
mod server_paths;
mod server_register;
mod settings;
mod signals;
mod stage_calls;
mod stage_submission;
mod store;
mod store_follower;
mod stream_origins;
mod stream_store;
mod take_ups;
mod upstream;

pub use instance::Gateway;
pub use settings::{GatewayDrain, GatewayListen, GatewaySettings};
