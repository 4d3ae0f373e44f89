//! stub

pub mod peer;
