//! Transport between instances: `h2` connections, one towards each peer, with
//! streams for gossip and for requests, and tunnels to backend servers.

mod error;
mod handle;
mod link;
mod server;
mod tunnel;

pub use error::{PeerError, Result};
pub use handle::PeerHandle;
pub use link::PeerId;
pub use server::{PeerAnswer, PeerHandler, PeerServer, ServerConnecting, ServerConnection};
pub use tunnel::TunnelRefusal;
pub(crate) use tunnel::{TunnelError, TunnelStream, open as open_tunnel};
