//! Clients that send most of a request of legal size, stop, and keep their connections open.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

use crate::{
    config::{API_KEY, HOST, Kind, MAX_BODY_BYTES},
    deployment::Deployment,
};

/// Size of a large chunk, in bytes.
const LARGE_CHUNK_BYTES: usize = 64_000;
/// Size of a body in chunks of one byte, in bytes: what the chunks take is several times as much.
const TINY_CHUNK_BODY_BYTES: usize = 100_000;
/// Size of a head that does not end, in bytes.
const HEAD_BYTES: usize = 15_000;

/// What a client sends before it stops.
#[derive(Clone, Copy, Debug)]
enum Sending {
    /// A body with a length, one byte short.
    OneByteShort,
    /// A body in large chunks without the last one.
    LargeChunks,
    /// A body in chunks of one byte without the last one.
    TinyChunks,
    /// A head that does not end.
    Head,
}

/// Kinds of clients, which take turns.
const SENDINGS: [Sending; 4] = [
    Sending::OneByteShort,
    Sending::LargeChunks,
    Sending::TinyChunks,
    Sending::Head,
];

/// Connects `clients` to `instance` for `lasts`.
pub(crate) async fn connect(
    deployment: &Deployment,
    instance: usize,
    clients: usize,
    lasts: Duration,
) {
    let addr = deployment.addresses[instance].caller;
    let mut running = JoinSet::new();
    for sending in SENDINGS.into_iter().cycle().take(clients) {
        running.spawn(async move {
            // An instance that is not running, or closes the connection, ends the client.
            let _ = time::timeout(lasts, stall(addr, sending)).await;
        });
    }
    while running.join_next().await.is_some() {}
}

async fn stall(addr: SocketAddr, sending: Sending) -> io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(&unfinished_request(sending)).await?;
    let mut unread = [0; 256];
    while stream.read(&mut unread).await? > 0 {}
    Ok(())
}

/// Returns all that a client sends.
fn unfinished_request(sending: Sending) -> Vec<u8> {
    let head = format!(
        "POST /{}/stalled HTTP/1.1\r\nhost: {HOST}\r\nx-api-key: {API_KEY}\r\n\
         request-id: stalled\r\n",
        Kind::Lookup.prefix(),
    );
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let (rest_of_head, body) = match sending {
        Sending::OneByteShort => (
            format!("content-length: {MAX_BODY_BYTES}\r\n\r\n"),
            vec![b'x'; MAX_BODY_BYTES - 1],
        ),
        Sending::LargeChunks => (
            chunked.to_owned(),
            chunks(LARGE_CHUNK_BYTES, MAX_BODY_BYTES / LARGE_CHUNK_BYTES),
        ),
        Sending::TinyChunks => (chunked.to_owned(), chunks(1, TINY_CHUNK_BODY_BYTES)),
        Sending::Head => (format!("x-long: {}", "x".repeat(HEAD_BYTES)), Vec::new()),
    };
    [head.as_bytes(), rest_of_head.as_bytes(), &body].concat()
}

/// Returns `count` chunks of `bytes` each, without the last chunk.
fn chunks(bytes: usize, count: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes))
        .repeat(count)
        .into_bytes()
}
