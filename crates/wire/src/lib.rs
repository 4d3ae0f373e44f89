//! Messages of savoryvane's interfaces: JSON for callers, operators, the platform
//! and backend servers, `bincode` between instances and in the claim stream.

pub mod admin;
pub mod backend;
pub mod caller;
pub mod claims;
pub mod config;
pub mod payload;
pub mod peer;
pub mod placer;
pub mod platform;
pub mod quarantine;
