//! Stand-in of a server of a plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{response, Message};
use crate::runner::serve;
use crate::world::Record;

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its identifier.
    pub request: String,
    /// Server that ran it.
    pub server: String,
    /// When it reached the server, in ms since the start.
    pub at_ms: u64,
}

/// All runs.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts a server that takes `work_ms` for a request and honours `Expect-Instance`.
pub fn start(id: &str, record: &Record, runs: &Runs, work_ms: u64) -> SocketAddr {
    let (id, record, runs) = (id.to_owned(), record.clone(), Arc::clone(runs));
    serve(Arc::new(move |conn, _, request: Message| {
        let at_ms = record.now_ms();
        let name = request.header("request-id").unwrap_or_default().to_owned();
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            conn.write(&response("421 Misdirected Request", &[("Instance-Id", &id)], b""))?;
            return Ok(true);
        }
        if request.target() == "/healthz" {
            conn.write(&response("200 OK", &[("Instance-Id", &id)], b""))?;
            return Ok(true);
        }
        let run = Run { request: name.clone(), server: id.clone(), at_ms };
        runs.lock().expect("runs").push(run);
        thread::sleep(Duration::from_millis(work_ms));
        let seal = format!("3e1b.{id}.{name}");
        let headers = [("Request-Id", name.as_str()), ("Server-Seal", seal.as_str()), ("Instance-Load", "1,0,6")];
        conn.write(&response("200 OK", &headers, format!("answer to {name}").as_bytes()))?;
        Ok(true)
    }))
}
