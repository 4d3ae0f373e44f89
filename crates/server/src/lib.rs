//! The server processes of savoryvane: entry instances and gateways. This crate
//! does the I/O and timing; `savoryvane-core` makes the decisions.

mod admin;
mod answers;
mod caller;
mod caller_memory;
mod calls;
mod claims;
mod clock;
mod configuration;
mod confirm;
mod connection_memory;
mod connections;
mod controller;
mod crashes;
mod credential;
mod endpoint;
mod error;
mod exclusive;
mod follower;
mod gate;
mod gateway;
mod held_stream;
mod http_body;
mod instance;
mod link_meter;
mod listener;
mod listing;
mod load_monitor;
mod loads;
mod lock;
mod logging;
mod members;
mod meters;
mod network;
mod orders;
pub mod peer;
mod peering;
mod phase;
mod placement;
mod placement_settings;
mod placer;
mod platform;
mod prefixes;
mod probing;
mod quarantine_log;
mod refusal;
mod relay;
mod response_budget;
mod run_right;
mod runner;
mod settings;
mod shared_stream;
mod sharing;
mod snapshot;
mod stream_body;
mod suspects;
mod tickets;

pub use crate::{
    error::{Error, Result},
    gateway::{Gateway, GatewayDrain, GatewayListen, GatewaySettings},
    instance::{Addresses, DrainOutcome, Instance},
    network::{Connecting, Network, TcpNetwork, Transport},
    placement_settings::Placement,
    settings::{
        Backends, Claims, Drain, Limits, Listen, Log, LogForm, LogLevel, Platform, Settings,
    },
    stream_body::{StreamBody, StreamSender, stream_body},
};
