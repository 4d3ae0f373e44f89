//! Clients that do not behave, and what they must not do to the process that serves them.
//!
//! The sizes are those of the smallest machine that instances run on: nothing here depends on
//! how fast a machine is.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod http2;

use std::{
    fs, io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time,
};

/// Most memory that a process may take, in bytes: that of the smallest machine.
pub const MEMORY_BOUND_BYTES: u64 = 160_000_000;
/// Most descriptors that a process may have open: those that the smallest machine allows for
/// sockets.
pub const DESCRIPTOR_BOUND: usize = 3_900;

/// Number of clients with large bodies.
pub const CLIENTS: usize = 300;
/// Size of a large body, in bytes; the limit of both interfaces is this or a little more.
pub const BODY_BYTES: usize = 1_000_000;
/// Every so manyth client sends its whole body.
const WHOLE_EVERY: usize = 10;
/// Number of clients with bodies in very small chunks, and the size of such a body, in bytes.
pub const TINY_CHUNK_CLIENTS: usize = 40;
pub const TINY_CHUNK_BODY_BYTES: usize = 250_000;
/// Bytes that a client sends of a body over the limit, unless its connection is closed.
const OVERLONG_BYTES: usize = 4 * BODY_BYTES;
/// Length that a client announces for a body over the limit, in bytes.
const ANNOUNCED_BYTES: usize = 100 * BODY_BYTES;
/// Size of a large chunk and of a piece that is sent at once, in bytes.
const PIECE_BYTES: usize = 64_000;
/// Chunks of one byte that are sent at once.
const TINY_CHUNKS_AT_ONCE: usize = 2_000;
/// Number of clients that do not end their heads.
pub const HEAD_CLIENTS: usize = 1_900;
/// Size of the largest head, in bytes; that of an entry process is smaller.
pub const HEAD_BYTES: usize = 62_000;
pub const ENTRY_HEAD_BYTES: usize = 15_000;
/// Receive buffer of a client that does not read its response, in bytes.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Attempts of an ordinary caller that is refused with a promise that its request has not run.
const ORDINARY_ATTEMPTS: usize = 5;
/// Size of the largest body in chunks of one byte that is sent whole, in bytes.
pub const WHOLE_TINY_CHUNK_BODY_BYTES: usize = 50_000;
/// Time after which a crowd counts as settled if it makes no progress, and the process takes no
/// more memory.
const SETTLED_AFTER: Duration = Duration::from_secs(2);
/// Time after which a test gives up.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Held by the test that runs: its figures must not include another one's load.
pub static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// What a client sends after the head of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sending {
    /// A body with a length, one byte short, in one write.
    OneByteShort,
    /// The same in pieces.
    InPieces,
    /// A body in large chunks without the last one.
    LargeChunks,
    /// A body in chunks of one byte without the last one.
    TinyChunks,
    /// A body with a length far over the limit.
    AnnouncedOverLimit,
    /// A body in chunks that exceeds the limit.
    SentOverLimit,
    /// A head of this size, in bytes, that does not end.
    Head(usize),
    /// A few bytes of a head.
    StartOfHead,
    /// The last chunk of a body, and trailers that do not end.
    Trailers,
    /// A chunk whose extension does not end.
    ChunkExtension,
    /// Small whole requests, one after the other, without reading a response.
    RequestsAhead,
}

/// An interface of a process under test.
#[derive(Clone, Debug)]
pub struct Target {
    /// Process that serves it.
    pub process_id: u32,
    pub addr: SocketAddr,
    pub path: &'static str,
    pub headers: Vec<(&'static str, String)>,
    /// Header that names a request.
    pub id_header: &'static str,
}

impl Target {
    /// Returns the head of an HTTP/1.1 request without the empty line that ends it.
    pub fn head(&self, id: &str) -> String {
        let mut head = format!(
            "POST {} HTTP/1.1\r\n{}: {id}\r\n",
            self.path, self.id_header
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head
    }

    /// Returns the value of the host header, or the address.
    pub fn host(&self) -> String {
        let host = self.headers.iter().find(|(name, _)| *name == "host");
        host.map_or_else(|| self.addr.to_string(), |(_, value)| value.clone())
    }

    /// Builds a request without a body.
    pub fn request(&self, id: &str) -> http::request::Builder {
        let mut request = Request::post(self.path).header(self.id_header, id);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request
    }

    /// Checks that the process lives and has stayed within the bounds, and that it answers an
    /// ordinary request now.
    pub async fn check(&self) {
        let answered = self.answers_ordinary_request().await;
        let memory = peak_memory_bytes(self.process_id);
        let descriptors = open_descriptors(self.process_id);
        println!("memory {memory:?} descriptors {descriptors:?} answered {answered:?}");
        let memory = memory.expect("the process has ended");
        let descriptors = descriptors.expect("the process has ended");
        assert!(
            memory <= MEMORY_BOUND_BYTES,
            "the process took {memory} bytes of memory"
        );
        assert!(
            descriptors <= DESCRIPTOR_BOUND,
            "the process has {descriptors} open descriptors"
        );
        assert_eq!(answered, Ok(()), "the ordinary request was not answered");
    }

    /// Sends an ordinary request, again after each promise that it has not run.
    async fn answers_ordinary_request(&self) -> Result<(), String> {
        let mut last = String::new();
        for attempt in 0..ORDINARY_ATTEMPTS {
            let id = format!("ordinary-{attempt}");
            match time::timeout(TEST_TIMEOUT, self.send(&id, small_body())).await {
                Ok(Ok((StatusCode::OK, _))) => return Ok(()),
                Ok(Ok((status, wait))) => {
                    last = format!("{status}");
                    time::sleep(wait.ok_or(last.clone())?).await;
                }
                Ok(Err(err)) => last = err,
                Err(_) => return Err("no answer".to_owned()),
            }
        }
        Err(last)
    }

    /// Sends a request over a new connection. Returns the status and the `Retry-After`.
    pub async fn send(
        &self,
        id: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Option<Duration>), String> {
        let request = self.request(id).body(Full::new(Bytes::from(body))).unwrap();
        let stream = TcpStream::connect(self.addr).await.map_err(to_text)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(to_text)?;
        let connection = tokio::spawn(connection);
        let response = sender.send_request(request).await.map_err(to_text)?;
        let status = response.status();
        let wait = response.headers().get(header::RETRY_AFTER);
        let wait = wait.and_then(|value| value.to_str().ok()?.parse().ok());
        let wait = wait.map(Duration::from_secs_f64);
        response.into_body().collect().await.map_err(to_text)?;
        connection.abort();
        Ok((status, wait))
    }
}

fn to_text(err: impl std::fmt::Display) -> String {
    err.to_string()
}

/// Returns a JSON body of exactly `bytes` bytes.
pub fn body_of(bytes: usize) -> Vec<u8> {
    let (start, end) = (br#"{"input":{"text":""#, br#""}}"#);
    let mut body = start.to_vec();
    body.resize(bytes - end.len(), b'x');
    body.extend_from_slice(end);
    body
}

fn small_body() -> Vec<u8> {
    body_of(1_000)
}

/// Clients that are connected until this is dropped.
pub struct Crowd {
    clients: JoinSet<()>,
    progress: Arc<Progress>,
}

#[derive(Debug, Default)]
pub struct Progress {
    bytes: AtomicU64,
}

impl Progress {
    pub fn on_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Crowd {
    /// Connects `count` clients to `target` and lets them send until each has sent all that it
    /// sends, its connection is closed, or nothing of what they send is read any more.
    pub async fn gather(target: &Target, count: usize, sending: Sending) -> Self {
        let mut crowd = Self::empty();
        for index in 0..count {
            let client = Client {
                target: target.clone(),
                id: format!("crowd-{index}"),
                sending,
                is_whole: index % WHOLE_EVERY == 0,
                progress: Arc::clone(&crowd.progress),
            };
            crowd.add(client.run());
        }
        crowd.settle(target).await;
        crowd
    }

    /// Connects clients that send a whole request with `body` each and do not read the response.
    pub async fn gather_without_reading(target: &Target, body: &str) -> Self {
        let mut crowd = Self::empty();
        for index in 0..CLIENTS {
            let (target, progress) = (target.clone(), crowd.progress());
            let request = format!(
                "{}content-length: {}\r\n\r\n{body}",
                target.head(&format!("crowd-{index}")),
                body.len()
            );
            crowd.add(async move {
                // Keeps the connection open without reading from it.
                let _stream = send_without_reading(&target, &request).await;
                progress.on_bytes(1);
                std::future::pending::<()>().await;
            });
        }
        crowd.settle(target).await;
        crowd
    }

    pub fn empty() -> Self {
        Self {
            clients: JoinSet::new(),
            progress: Arc::default(),
        }
    }

    pub fn progress(&self) -> Arc<Progress> {
        Arc::clone(&self.progress)
    }

    pub fn add(&mut self, client: impl Future<Output = ()> + Send + 'static) {
        self.clients.spawn(client);
    }

    /// Waits until no client makes progress, and the process has read what it reads.
    pub async fn settle(&self, target: &Target) {
        let state = || {
            let bytes = self.progress.bytes.load(Ordering::Relaxed);
            (bytes, peak_memory_bytes(target.process_id))
        };
        let settled = async {
            let mut before = state();
            loop {
                time::sleep(SETTLED_AFTER).await;
                let now = state();
                if now == before {
                    return;
                }
                before = now;
            }
        };
        // A crowd that is still sending is checked as it is.
        let _ = time::timeout(TEST_TIMEOUT, settled).await;
    }
}

async fn send_without_reading(target: &Target, request: &str) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)?;
    let mut stream = socket.connect(target.addr).await?;
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

struct Client {
    target: Target,
    id: String,
    sending: Sending,
    is_whole: bool,
    progress: Arc<Progress>,
}

impl Client {
    /// Sends, then stays connected until the connection is closed.
    async fn run(self) {
        let Ok(mut stream) = TcpStream::connect(self.target.addr).await else {
            return;
        };
        let sent = self.send(&mut stream).await;
        if self.sending == Sending::RequestsAhead {
            return std::future::pending().await;
        }
        if sent.is_some() {
            let mut unread = [0; 1_024];
            while stream.read(&mut unread).await.is_ok_and(|count| count > 0) {}
        }
    }

    async fn send(&self, stream: &mut TcpStream) -> Option<()> {
        let head = self.target.head(&self.id);
        match self.sending {
            Sending::OneByteShort => self.send_sized(stream, &head, BODY_BYTES).await,
            Sending::InPieces => self.send_sized(stream, &head, PIECE_BYTES).await,
            Sending::LargeChunks => self.send_chunked(stream, &head, PIECE_BYTES, 1).await,
            Sending::TinyChunks => {
                self.send_chunked(stream, &head, 1, TINY_CHUNKS_AT_ONCE)
                    .await
            }
            Sending::AnnouncedOverLimit => {
                let head = format!("{head}content-length: {ANNOUNCED_BYTES}\r\n\r\n");
                self.write(stream, head.as_bytes()).await?;
                let piece = vec![b'x'; PIECE_BYTES];
                for _ in 0..OVERLONG_BYTES / PIECE_BYTES {
                    self.write(stream, &piece).await?;
                }
                Some(())
            }
            Sending::SentOverLimit => {
                let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
                self.write(stream, head.as_bytes()).await?;
                let piece = chunk(&vec![b'x'; PIECE_BYTES]);
                for _ in 0..OVERLONG_BYTES / PIECE_BYTES {
                    self.write(stream, &piece).await?;
                }
                Some(())
            }
            Sending::Head(head_bytes) => {
                // Each line is short: no limit on lines ends the head early.
                let line = format!("x-long: {}\r\n", "x".repeat(990));
                let lines = head_bytes / line.len();
                self.write(stream, head.as_bytes()).await?;
                self.write(stream, line.repeat(lines).as_bytes()).await
            }
            Sending::StartOfHead => self.write(stream, b"POST /").await,
            Sending::Trailers => {
                let line = format!("x-long: {}\r\n", "x".repeat(990));
                let start = format!("{head}transfer-encoding: chunked\r\n\r\n0\r\n");
                self.write(stream, start.as_bytes()).await?;
                self.write(stream, line.repeat(BODY_BYTES / line.len()).as_bytes())
                    .await
            }
            Sending::ChunkExtension => {
                let start = format!("{head}transfer-encoding: chunked\r\n\r\n1;");
                self.write(stream, start.as_bytes()).await?;
                self.write(stream, "x".repeat(BODY_BYTES).as_bytes()).await
            }
            Sending::RequestsAhead => {
                let request = format!("{head}content-length: 0\r\n\r\n");
                let requests = request.repeat(BODY_BYTES / request.len());
                self.write(stream, requests.as_bytes()).await
            }
        }
    }

    async fn send_sized(&self, stream: &mut TcpStream, head: &str, at_once: usize) -> Option<()> {
        let head = format!("{head}content-length: {BODY_BYTES}\r\n\r\n");
        self.write(stream, head.as_bytes()).await?;
        let body = body_of(BODY_BYTES);
        let sent = if self.is_whole {
            &body[..]
        } else {
            &body[..BODY_BYTES - 1]
        };
        for piece in sent.chunks(at_once) {
            self.write(stream, piece).await?;
        }
        Some(())
    }

    /// Sends chunks of `chunk_bytes`, `at_once` of them in a write.
    async fn send_chunked(
        &self,
        stream: &mut TcpStream,
        head: &str,
        chunk_bytes: usize,
        at_once: usize,
    ) -> Option<()> {
        let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
        self.write(stream, head.as_bytes()).await?;
        let total_bytes = if chunk_bytes == 1 {
            TINY_CHUNK_BODY_BYTES
        } else {
            BODY_BYTES
        };
        let body = body_of(total_bytes);
        for pieces in body.chunks(chunk_bytes * at_once) {
            let chunks: Vec<u8> = pieces.chunks(chunk_bytes).flat_map(chunk).collect();
            self.write(stream, &chunks).await?;
        }
        if self.is_whole {
            self.write(stream, b"0\r\n\r\n").await?;
        }
        Some(())
    }

    async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
        let mut unsent = bytes;
        while !unsent.is_empty() {
            let count = stream.write(unsent).await.ok()?;
            self.progress.on_bytes(count);
            unsent = &unsent[count..];
        }
        Some(())
    }
}

/// Returns `bytes` as one chunk.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Sends one whole request with a body of `body_bytes`, in chunks of `chunk_bytes` or with a
/// length. Returns the status line of the response.
pub async fn send_whole(target: &Target, body_bytes: usize, chunk_bytes: Option<usize>) -> String {
    let head = target.head("whole");
    let body = body_of(body_bytes);
    let mut request = match chunk_bytes {
        None => format!("{head}content-length: {body_bytes}\r\n\r\n").into_bytes(),
        Some(_) => format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes(),
    };
    match chunk_bytes {
        None => request.extend_from_slice(&body),
        Some(bytes) => {
            request.extend(body.chunks(bytes).flat_map(chunk));
            request.extend_from_slice(b"0\r\n\r\n");
        }
    }
    let exchange = async {
        let mut stream = TcpStream::connect(target.addr).await.unwrap();
        stream.write_all(&request).await.unwrap();
        let mut response = vec![0; 1_024];
        let count = stream.read(&mut response).await.unwrap();
        let text = String::from_utf8_lossy(&response[..count]).into_owned();
        text.lines().next().unwrap_or_default().to_owned()
    };
    time::timeout(TEST_TIMEOUT, exchange).await.unwrap()
}

/// Returns the most memory that a process has taken since its start, in bytes.
pub fn peak_memory_bytes(process_id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}

/// Returns the number of descriptors that a process has open.
pub fn open_descriptors(process_id: u32) -> Option<usize> {
    let entries = fs::read_dir(format!("/proc/{process_id}/fd")).ok()?;
    Some(entries.count())
}
