//! Transport between instances: `h2` connections, one towards each peer, with
//! streams for gossip and for requests.

mod error;
mod handle;
mod link;
mod server;

pub use error::{PeerError, Result};
pub use handle::PeerHandle;
pub use link::PeerId;
pub use server::{PeerAnswer, PeerHandler, PeerServer};
