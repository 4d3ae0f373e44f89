//! HTTP/2 clients that do not end their requests.

use std::{
    future::poll_fn,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use h2::{SendStream, client};
use http::Request;
use tokio::net::TcpStream;

use super::{BODY_BYTES, Crowd, HEAD_BYTES, Progress, Target, body_of};

/// Requests on one connection.
const STREAMS: usize = 200;
/// Number of connections whose requests have large bodies.
const BODY_CONNECTIONS: usize = 2;
/// Number of connections whose requests have bodies in very small frames, and the size of such a
/// body, in bytes.
const SMALL_FRAME_CONNECTIONS: usize = 40;
const SMALL_FRAME_BODY_BYTES: usize = 250_000;
/// Number of connections whose requests have large heads.
const HEAD_CONNECTIONS: usize = 40;
/// Number of connections whose requests are whole.
const WHOLE_CONNECTIONS: usize = 20;
/// Largest frame that a client sends, in bytes.
const FRAME_BYTES: usize = 16_000;

/// What the requests of a connection are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requests {
    /// Bodies that stop one byte short.
    OneByteShort,
    /// Bodies in frames of one byte that stop one byte short; one request a connection.
    SmallFrames,
    /// Large heads that are sent once and referred to from then on, without an end of the body.
    LargeHeads,
    /// Small and whole.
    Whole,
}

impl Requests {
    fn connections(self) -> usize {
        match self {
            Self::OneByteShort => BODY_CONNECTIONS,
            Self::SmallFrames => SMALL_FRAME_CONNECTIONS,
            Self::LargeHeads => HEAD_CONNECTIONS,
            Self::Whole => WHOLE_CONNECTIONS,
        }
    }

    fn streams(self) -> usize {
        match self {
            Self::SmallFrames => 1,
            _ => STREAMS,
        }
    }
}

/// Connects clients to `target` and lets them send as [`Crowd::gather`] does.
pub async fn gather(target: &Target, requests: Requests) -> Crowd {
    let mut crowd = Crowd::empty();
    for index in 0..requests.connections() {
        let (target, progress) = (target.clone(), crowd.progress());
        crowd.add(async move {
            let ended = Arc::new(AtomicUsize::new(0));
            // A connection that the process closes has ended.
            let _ = run(&target, index, requests, &progress, &ended).await;
            std::future::pending::<()>().await;
        });
    }
    crowd.settle(target).await;
    crowd
}

async fn run(
    target: &Target,
    index: usize,
    requests: Requests,
    progress: &Arc<Progress>,
    ended: &Arc<AtomicUsize>,
) -> Result<(), h2::Error> {
    let stream = TcpStream::connect(target.addr).await;
    let stream = stream.map_err(|_| h2::Error::from(h2::Reason::CONNECT_ERROR))?;
    let (mut sender, connection) = client::handshake(stream).await?;
    tokio::spawn(connection);
    for number in 0..requests.streams() {
        sender = sender.ready().await?;
        let request = build(target, &format!("crowd-{index}-{number}"), requests);
        let has_body = requests != Requests::Whole;
        let (response, body) = sender.send_request(request, !has_body)?;
        tokio::spawn(response);
        progress.on_bytes(1);
        if has_body {
            let (progress, ended) = (Arc::clone(progress), Arc::clone(ended));
            tokio::spawn(async move {
                let _ = send_body(body, requests, &progress).await;
                ended.fetch_add(1, Ordering::Relaxed);
                std::future::pending::<()>().await;
            });
        }
    }
    while requests != Requests::Whole && ended.load(Ordering::Relaxed) < requests.streams() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    Ok(())
}

fn build(target: &Target, id: &str, requests: Requests) -> Request<()> {
    let mut request = target.request(id);
    request = request.uri(format!("http://{}{}", target.host(), target.path));
    if requests == Requests::LargeHeads {
        for line in 0..HEAD_BYTES / 1_000 {
            request = request.header(format!("x-long-{line:03}"), "x".repeat(950));
        }
    }
    request.body(()).unwrap()
}

async fn send_body(
    mut body: SendStream<Bytes>,
    requests: Requests,
    progress: &Progress,
) -> Result<(), h2::Error> {
    let (total_bytes, frame_bytes) = match requests {
        Requests::OneByteShort => (BODY_BYTES, FRAME_BYTES),
        Requests::SmallFrames => (SMALL_FRAME_BODY_BYTES, 1),
        Requests::LargeHeads | Requests::Whole => return Ok(()),
    };
    let mut unsent = Bytes::from(body_of(total_bytes)).slice(..total_bytes - 1);
    while !unsent.is_empty() {
        let wanted_bytes = unsent.len().min(FRAME_BYTES);
        body.reserve_capacity(wanted_bytes);
        let capacity_bytes = match poll_fn(|cx| body.poll_capacity(cx)).await {
            Some(capacity_bytes) => capacity_bytes?,
            None => return Ok(()),
        };
        let mut allowed = unsent.split_to(capacity_bytes.min(wanted_bytes));
        progress.on_bytes(allowed.len());
        while !allowed.is_empty() {
            let frame = allowed.split_to(frame_bytes.min(allowed.len()));
            body.send_data(frame, false)?;
        }
    }
    Ok(())
}
