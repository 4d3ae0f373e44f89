//! The platform's store: topics that keep the newest record of each key.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Topic>>,
    appended: Condvar,
}

/// A store on loopback.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record, or removes its key if `value` is empty.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut topics = self.shared.topics.lock().expect("topics");
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        topic.records.push((key.to_owned(), value.to_vec()));
        match value.is_empty() {
            true => topic.newest.remove(key),
            false => topic
                .newest
                .insert(key.to_owned(), (offset, value.to_vec())),
        };
        self.shared.appended.notify_all();
        offset
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let response = self.respond(&request);
            writer.write_all(&response)?;
        }
        Ok(())
    }

    fn respond(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("Topic").unwrap_or_default().to_owned();
        let number = |name: &str| request.query(name).and_then(|text| text.parse().ok());
        match request.path().split('?').next().unwrap_or_default() {
            "/savoryvane/log-read" => {
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                let from = number("From").unwrap_or(0) as usize;
                http::response("200 OK", &[], &self.read(&topic, from, wait))
            }
            "/savoryvane/log-newest" => {
                let body = self.newest(&topic, request.query("After"));
                let json = [("Content-Type", "application/json")];
                http::response("200 OK", &json, body.as_bytes())
            }
            "/savoryvane/log-append" => match split_record(&request.body) {
                Some((key, value)) => {
                    let offset = self.put(&topic, &key, &value);
                    let body = format!("{{\"Offset\":{offset},\"End\":{}}}", offset + 1);
                    http::response("200 OK", &[], body.as_bytes())
                }
                None => http::response("400 Bad Request", &[], b""),
            },
            _ => http::response("404 Not Found", &[], b""),
        }
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.shared.topics.lock().expect("topics");
        loop {
            let known = topics.entry(topic.to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if known.records.len() > from || left.is_zero() {
                let mut body = (known.records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for (key, value) in known.records.iter().skip(from) {
                    body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return body;
            }
            topics = self
                .shared
                .appended
                .wait_timeout(topics, left)
                .expect("topics")
                .0;
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> String {
        let mut topics = self.shared.topics.lock().expect("topics");
        let known = topics.entry(topic.to_owned()).or_default();
        let items = known.newest.iter();
        let items = items.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = known.records.len();
        format!(
            "{{\"Items\":[{}],\"More\":false,\"End\":{end}}}",
            items.join(",")
        )
    }
}

/// Splits the single record of an append into its key and value.
fn split_record(body: &[u8]) -> Option<(String, Vec<u8>)> {
    let key_len = usize::from(*body.get(4)?);
    let key = String::from_utf8(body.get(5..5 + key_len)?.to_vec()).ok()?;
    Some((key, body[5 + key_len..].to_vec()))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0u8; 4];
        word[1..=part.len()].copy_from_slice(part);
        let word = u32::from_be_bytes(word);
        for digit in 0..4 {
            let is_padding = digit > part.len();
            let index = (word >> (18 - 6 * digit)) as usize & 63;
            text.push(if is_padding {
                '='
            } else {
                DIGITS[index] as char
            });
        }
    }
    text
}
