//! A connection passed on between two sockets, with fault switches.

use std::{
    future,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{
    io::{self, AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Mutex as AsyncMutex, watch},
    time,
};

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Faults of the network between two processes; `POST /fault` replaces them all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Nothing moves, and new connections wait, until the fault is lifted.
    pub cut: bool,
    /// Closes every connection, new ones too.
    pub close: bool,
    /// Makes the connections that are established now silent for good, once.
    pub silence_established: bool,
    /// Time that each piece of data takes, in ms.
    pub delay_ms: u64,
    /// Sends the last response of a connection, or this one, a second time in front of the response
    /// to the next request: whole, without its identifier, or a part of it.
    pub second_copies: Option<String>,
}

/// Most bytes of a response that are kept for a second copy.
const MAX_COPIED_BYTES: usize = 64 * 1024;
/// Header of a response that names its request.
const IDENTIFIER: &str = "request-id:";

/// The last response of a connection.
#[derive(Debug, Default)]
struct LastResponse {
    bytes: Vec<u8>,
    /// Whether a request has begun since.
    has_next_request: bool,
}

/// Second copies so far, of all links: connections seldom last for a second one.
static COPIES: AtomicUsize = AtomicUsize::new(0);

impl LastResponse {
    fn on_response_bytes(&mut self, bytes: &[u8]) {
        if std::mem::take(&mut self.has_next_request) {
            self.bytes.clear();
        }
        let room = MAX_COPIED_BYTES.saturating_sub(self.bytes.len());
        self.bytes
            .extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Returns the bytes that precede the response to the request that begins now, if any.
    fn on_request_bytes(&mut self, other: Option<&str>) -> Option<Vec<u8>> {
        if self.bytes.is_empty() || std::mem::replace(&mut self.has_next_request, true) {
            return None;
        }
        let other = other?;
        let number = COPIES.fetch_add(1, Ordering::Relaxed);
        let own = String::from_utf8_lossy(&self.bytes).into_owned();
        let kinds = [own.clone(), other.to_owned(), without_identifier(&own)];
        let copy = &kinds[number % kinds.len()];
        // Every other one stops somewhere.
        let length = match number % 2 {
            0 => copy.len(),
            _ => 1 + number * 37 % copy.len().max(1),
        };
        Some(copy.as_bytes()[..length.min(copy.len())].to_vec())
    }
}

/// Returns a response without the line that names its request.
fn without_identifier(response: &str) -> String {
    let lines = response.split_inclusive('\n');
    let others = lines.filter(|line| !line.to_lowercase().starts_with(IDENTIFIER));
    others.collect()
}

/// State of a link, which its connections follow.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkState {
    faults: LinkFaults,
    /// Connections of an earlier epoch are silent.
    epoch: u64,
}

/// Switch of a link.
#[derive(Debug, Default)]
pub(crate) struct LinkSwitch(watch::Sender<LinkState>);

impl LinkSwitch {
    /// Replaces the faults.
    pub(crate) fn set(&self, mut faults: LinkFaults) {
        self.0.send_modify(|state| {
            state.epoch += u64::from(std::mem::take(&mut faults.silence_established));
            state.faults = faults;
        });
    }

    /// Follows the state.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LinkState> {
        self.0.subscribe()
    }
}

/// Waits while the link is cut; tells whether it takes connections then.
pub(crate) async fn opens(state: &mut watch::Receiver<LinkState>) -> bool {
    let passing = state.wait_for(|state| !state.faults.cut).await;
    passing.is_ok_and(|state| !state.faults.close)
}

/// Passes bytes on between `near` and `far` until both directions have ended.
pub(crate) async fn forward(near: TcpStream, far: TcpStream, state: watch::Receiver<LinkState>) {
    // Small writes must not wait for each other; a failure only costs time.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let epoch = state.borrow().epoch;
    let (mut near_read, near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let near_write = AsyncMutex::new(near_write);
    let last = Mutex::new(LastResponse::default());
    let there = async {
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut state = state.clone();
        loop {
            let length = read_passing(&mut near_read, &mut chunk, &mut state, epoch).await?;
            if length == 0 {
                return far_write.shutdown().await;
            }
            let other = state.borrow().faults.second_copies.clone();
            let copy = lock(&last).on_request_bytes(other.as_deref());
            if let Some(copy) = copy {
                near_write.lock().await.write_all(&copy).await?;
            }
            far_write.write_all(&chunk[..length]).await?;
        }
    };
    let back = async {
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut state = state.clone();
        loop {
            let length = read_passing(&mut far_read, &mut chunk, &mut state, epoch).await?;
            let mut near_write = near_write.lock().await;
            if length == 0 {
                return near_write.shutdown().await;
            }
            lock(&last).on_response_bytes(&chunk[..length]);
            near_write.write_all(&chunk[..length]).await?;
        }
    };
    let both = async { tokio::try_join!(there, back) };
    let mut closing = state.clone();
    tokio::select! {
        // Either end may go away at any time, which ends the other one too.
        _ = both => {}
        () = closed(&mut closing) => {}
    }
}

fn lock(last: &Mutex<LastResponse>) -> std::sync::MutexGuard<'_, LastResponse> {
    last.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn closed(state: &mut watch::Receiver<LinkState>) {
    let _ = state.wait_for(|state| state.faults.close).await;
}

/// Reads a piece of data once the link lets it pass; returns its length, 0 at the end.
async fn read_passing<R: AsyncRead + Unpin>(
    reader: &mut R,
    chunk: &mut [u8],
    state: &mut watch::Receiver<LinkState>,
    epoch: u64,
) -> io::Result<usize> {
    let length = reader.read(chunk).await?;
    pass(state, epoch).await;
    Ok(length)
}

/// Waits until the link lets a piece of data pass, for a silent one forever.
async fn pass(state: &mut watch::Receiver<LinkState>, epoch: u64) {
    let delay_ms = match state.wait_for(|state| !state.faults.cut).await {
        Ok(state) if state.epoch == epoch => Some(state.faults.delay_ms),
        Ok(_) => None,
        Err(_) => Some(0),
    };
    match delay_ms {
        Some(0) => {}
        Some(delay_ms) => time::sleep(Duration::from_millis(delay_ms)).await,
        None => future::pending().await,
    }
}
