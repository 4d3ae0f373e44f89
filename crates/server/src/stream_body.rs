//! Response body that is sent while it arrives, and is complete only if its sender finishes it.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Number of parts that are buffered for a slow receiver.
const PART_BUFFER_LEN: usize = 16;
/// Bytes that are buffered for a slow receiver.
pub(crate) const STREAM_BUFFER_BYTES: u64 = 64 << 10;

/// Part of a body.
#[derive(Debug)]
enum Part {
    /// Data, with its space in the buffer.
    Data(Bytes, OwnedSemaphorePermit),
    End,
}

/// Sends the parts of a body. If it is dropped before [`finish`](Self::finish), the body
/// breaks off.
#[derive(Debug)]
pub struct StreamSender {
    parts: mpsc::Sender<Part>,
    /// Space in the buffer, in bytes.
    space: Arc<Semaphore>,
}

/// Body whose parts come from a [`StreamSender`].
#[derive(Debug)]
pub struct StreamBody {
    parts: mpsc::Receiver<Part>,
    has_ended: bool,
}

/// Creates a body and its sender.
pub fn stream_body() -> (StreamSender, StreamBody) {
    let (sender, parts) = mpsc::channel(PART_BUFFER_LEN);
    let body = StreamBody {
        parts,
        has_ended: false,
    };
    let sender = StreamSender {
        parts: sender,
        space: Arc::new(Semaphore::new(STREAM_BUFFER_BYTES as usize)),
    };
    (sender, body)
}

impl StreamSender {
    /// Sends data, waiting while the receiver is slow. Returns `None` if the body has been
    /// dropped.
    pub async fn send(&self, data: Bytes) -> Option<()> {
        if data.is_empty() {
            return Some(());
        }
        // A larger part takes the whole buffer.
        let bytes = u32::try_from(data.len().min(STREAM_BUFFER_BYTES as usize)).ok()?;
        let space = tokio::select! {
            space = Arc::clone(&self.space).acquire_many_owned(bytes) => space.ok()?,
            () = self.parts.closed() => return None,
        };
        self.parts.send(Part::Data(data, space)).await.ok()
    }

    /// Waits until the body is dropped.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Returns a future that waits until the body is dropped, and does not borrow the sender. The
    /// body does not break off as long as the future exists.
    pub fn watch_closed(&self) -> impl Future<Output = ()> + use<> {
        let parts = self.parts.clone();
        async move { parts.closed().await }
    }

    /// Ends the body as complete.
    pub async fn finish(self) {
        // The receiver may have disconnected meanwhile.
        let _ = self.parts.send(Part::End).await;
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let part = ready!(self.parts.poll_recv(cx));
        self.has_ended = !matches!(part, Some(Part::Data(..)));
        Poll::Ready(match part {
            Some(Part::Data(data, space)) => {
                drop(space);
                Some(Ok(Frame::data(data)))
            }
            Some(Part::End) => None,
            None => Some(Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "stream broke off",
            ))),
        })
    }
}
