//! Stand-ins of servers that run pieces of stages, and the results that they keep.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{response, Message};
use crate::runner::serve;
use crate::world::Record;

/// Results that servers keep: handle, and the request that it was made for.
pub type Results = Arc<Mutex<HashMap<String, String>>>;

/// Returns the values of the string field `name` in JSON text, in order.
pub fn strings(text: &str, name: &str) -> Vec<String> {
    let mark = format!("\"{name}\":\"");
    let rest = text.split(&mark).skip(1);
    rest.map(|rest| rest.split('"').next().unwrap_or_default().to_owned()).collect()
}

/// Starts a server of pieces that takes `call_ms` a call and `piece_ms` a piece, and honours
/// `Expect-Instance`.
pub fn start(id: &str, record: &Record, results: &Results, call_ms: u64, piece_ms: u64) -> SocketAddr {
    let (id, record, results) = (id.to_owned(), record.clone(), Arc::clone(results));
    let made = AtomicU64::new(0);
    let own: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let shared = Arc::clone(&own);
    let addr = serve(Arc::new(move |conn, _, request: Message| {
        let echo = request.header("request-id").unwrap_or_default().to_owned();
        let headers = [("Request-Id", echo.as_str()), ("Instance-Load", "1,0,1"), ("Content-Type", "application/json")];
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            conn.write(&response("421 Misdirected Request", &[("Instance-Id", &id)], b""))?;
            return Ok(true);
        }
        let text = request.text();
        match request.target() {
            "/savoryvane/stage-run" => {
                let requests = strings(&text, "Id");
                thread::sleep(Duration::from_millis(call_ms + piece_ms * requests.len() as u64));
                let addr = shared.lock().expect("the address").expect("an address");
                let mut items = Vec::new();
                for request in &requests {
                    let handle = format!("{addr}/{:x}", made.fetch_add(1, Ordering::Relaxed) + 0x5c1e);
                    results.lock().expect("results").insert(handle.clone(), request.clone());
                    record.line(&format!("stage server {id}: piece of {request} done, result {handle}"));
                    items.push(format!("{{\"Handle\":\"{handle}\"}}"));
                }
                conn.write(&response("200 OK", &headers, format!("{{\"Items\":[{}]}}", items.join(",")).as_bytes()))?;
            }
            "/savoryvane/stage-free" => {
                let mut kept = results.lock().expect("results");
                for handle in text.split('"').filter(|part| part.contains('/')) {
                    kept.remove(handle);
                    record.line(&format!("stage server {id}: told to free {handle}"));
                }
                drop(kept);
                conn.write(&response("200 OK", &headers, b"{}"))?;
            }
            _ => conn.write(&response("200 OK", &[("Instance-Id", &id)], b""))?,
        }
        Ok(true)
    }));
    *own.lock().expect("the address") = Some(addr);
    addr
}
