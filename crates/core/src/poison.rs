//! Requests that end each backend server that runs them ("poison requests").
//!
//! A caller who comes again with one has a new request identifier, and reaches
//! another instance. What is known of it therefore goes by a digest of what the
//! request asks for.

mod digest;
mod evidence;

pub use digest::{DigestBuilder, RequestDigest};
pub use evidence::{Evidence, Fate, Probe, Registered, fate_at_loss, fate_later};
