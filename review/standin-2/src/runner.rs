//! Base of a stand-in for a backend server: accepts connections and gives each request to a
//! handler, which writes the answer itself.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use crate::http::{Conn, Message};

/// What a connection has carried.
#[derive(Default)]
pub struct Kept {
    /// Bytes to write before the answer to the next request.
    pub extra: Option<Vec<u8>>,
    /// Requests so far.
    pub requests: u64,
}

/// Answers a request; returns whether the connection is kept.
pub type Handler = dyn Fn(&mut Conn, &mut Kept, Message) -> io::Result<bool> + Send + Sync;

/// Serves `handler` on a free port of loopback.
pub fn serve(handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                let mut kept = Kept::default();
                while let Ok(Some(request)) = conn.read(false) {
                    kept.requests += 1;
                    match handler(&mut conn, &mut kept, request) {
                        Ok(true) => {}
                        _ => return,
                    }
                }
            });
        }
    });
    addr
}
