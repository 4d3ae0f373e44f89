//! Response body that is sent while it arrives, and is complete only if its sender finishes it.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Number of parts that are buffered for a slow receiver.
const PART_BUFFER_LEN: usize = 16;

/// Part of a body.
#[derive(Debug)]
enum Part {
    Data(Bytes),
    End,
}

/// Sends the parts of a body. If it is dropped before [`finish`](Self::finish), the body
/// breaks off.
#[derive(Debug)]
pub struct StreamSender(mpsc::Sender<Part>);

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
    (StreamSender(sender), body)
}

impl StreamSender {
    /// Sends data, waiting while the receiver is slow. Returns `None` if the body has been
    /// dropped.
    pub async fn send(&self, data: Bytes) -> Option<()> {
        if data.is_empty() {
            return Some(());
        }
        self.0.send(Part::Data(data)).await.ok()
    }

    /// Waits until the body is dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Returns a future that waits until the body is dropped, and does not borrow the sender. The
    /// body does not break off as long as the future exists.
    pub fn watch_closed(&self) -> impl Future<Output = ()> + use<> {
        let parts = self.0.clone();
        async move { parts.closed().await }
    }

    /// Ends the body as complete.
    pub async fn finish(self) {
        // The receiver may have disconnected meanwhile.
        let _ = self.0.send(Part::End).await;
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
        self.has_ended = !matches!(part, Some(Part::Data(_)));
        Poll::Ready(match part {
            Some(Part::Data(data)) => Some(Ok(Frame::data(data))),
            Some(Part::End) => None,
            None => Some(Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "stream broke off",
            ))),
        })
    }
}
