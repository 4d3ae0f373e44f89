//! Stand-in for the platform's store, as PROTOCOL.md describes it: topics of one partition, and
//! the newest record of each key of a topic with keys.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{response, Conn, Message};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Newest record of each key, with its offset.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// Whether every call is answered with 503: the store is down.
    is_busy: bool,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    /// Its address.
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts it on a free port of loopback.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            shared: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let _ = store.serve(Conn::new(stream));
                });
            }
        });
        store
    }

    /// Writes the newest record of a key; an empty value removes it.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, vec![record]);
        Instant::now()
    }

    /// Writes a record like [`put`](Self::put), if the store serves.
    pub fn beat(&self, topic: &str, key: &str, value: &str) {
        if !self.is_busy() {
            self.put(topic, key, value);
        }
    }

    /// Makes the store answer every call with 503, or serve again.
    pub fn set_busy(&self, is_busy: bool) {
        let (state, changed) = &*self.shared;
        state.lock().expect("the state").is_busy = is_busy;
        changed.notify_all();
    }

    fn is_busy(&self) -> bool {
        self.shared.0.lock().expect("the state").is_busy
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let (state, added) = &*self.shared;
        let mut state = state.lock().expect("the state");
        let kept = state.topics.entry(topic.to_owned()).or_default();
        let first = kept.records.len() as u64;
        for record in records {
            let offset = kept.records.len() as u64;
            if topic.starts_with("keyed.") && !record.is_empty() {
                let length = usize::from(record[0]).min(record.len() - 1);
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = record[1 + length..].to_vec();
                if value.is_empty() {
                    kept.newest.remove(&key);
                } else {
                    kept.newest.insert(key, (offset, value));
                }
            }
            kept.records.push(record);
        }
        let end = kept.records.len() as u64;
        added.notify_all();
        (first, end)
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(request) = conn.read(false)? {
            let answer = self.answer(&request);
            conn.write(&answer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("Topic").copied().unwrap_or_default();
        let json = [("Content-Type", "application/json")];
        if self.is_busy() {
            return response("503 Service Unavailable", &[], b"");
        }
        match path {
            "/savoryvane/log-append" => {
                let mut rest = request.body.as_slice();
                let mut records = Vec::new();
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let end = (4 + length).min(rest.len());
                    records.push(rest[4..end].to_vec());
                    rest = &rest[end..];
                }
                let (first, end) = self.append(topic, records);
                response("200 OK", &json, format!("{{\"Offset\":{first},\"End\":{end}}}").as_bytes())
            }
            "/savoryvane/log-read" => {
                let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
                self.read(topic, number("From"), number("WaitMs"))
            }
            "/savoryvane/log-newest" => {
                let after = query.get("After").map(|text| decode(text));
                response("200 OK", &json, self.newest(topic, after).as_bytes())
            }
            _ => response("404 Not Found", &[], b""),
        }
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (state, added) = &*self.shared;
        let mut state = state.lock().expect("the state");
        loop {
            if state.is_busy {
                return response("503 Service Unavailable", &[], b"");
            }
            let empty = Topic::default();
            let kept = state.topics.get(topic).unwrap_or(&empty);
            let end = kept.records.len() as u64;
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = Vec::new();
                body.extend_from_slice(&end.to_be_bytes());
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in kept.records.iter().skip(from as usize) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return response("200 OK", &[("Content-Type", "application/octet-stream")], &body);
            }
            state = added.wait_timeout(state, left).expect("the state").0;
        }
    }

    fn newest(&self, topic: &str, after: Option<String>) -> String {
        let (state, _) = &*self.shared;
        let state = state.lock().expect("the state");
        let empty = Topic::default();
        let kept = state.topics.get(topic).unwrap_or(&empty);
        let later = kept.newest.iter().filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let items: Vec<String> = later
            .map(|(key, (offset, value))| {
                format!("{{\"Key\":{},\"Value\":\"{}\",\"Offset\":{offset}}}", quote(key), base64(value))
            })
            .collect();
        let end = kept.records.len();
        format!("{{\"Items\":[{}],\"More\":false,\"End\":{end}}}", items.join(","))
    }
}

fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
