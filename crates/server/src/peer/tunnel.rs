//! Connections to backend servers through a peer: a stream of `h2` that carries the bytes of one
//! connection, over a connection to the peer of its own, so that a receiver that reads slowly
//! holds up nothing else.

use std::{
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use h2::{Reason, RecvStream, SendStream, client};
use http::{Request, StatusCode};
use savoryvane_core::ids::InstanceName;
use savoryvane_wire::peer::{FROM, FROM_INCARNATION, SERVER, TO, TUNNEL_PATH};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time,
};

use super::link::PeerId;
use crate::{network::Transport, shared_stream::SharedStream};

/// Most bytes that are handed to the HTTP library in one write.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// Why a peer did not connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelRefusal {
    /// It does not relay connections now, or not to this server.
    Declined,
    /// The server refused the connection.
    ServerRefused,
    /// The server did not accept the connection in time.
    ServerUnreachable,
}

impl TunnelRefusal {
    /// Returns the status of the response to the other instance.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Declined => StatusCode::SERVICE_UNAVAILABLE,
            Self::ServerRefused => StatusCode::BAD_GATEWAY,
            Self::ServerUnreachable => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn from_status(status: StatusCode) -> Self {
        match status {
            StatusCode::BAD_GATEWAY => Self::ServerRefused,
            StatusCode::GATEWAY_TIMEOUT => Self::ServerUnreachable,
            _ => Self::Declined,
        }
    }
}

/// Why there is no connection through a peer.
#[derive(Debug)]
pub(crate) enum TunnelError {
    /// The peer was not reached or did not answer.
    Peer(io::Error),
    /// The peer answered that it has no connection.
    Refused(TunnelRefusal),
}

impl fmt::Display for TunnelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Peer(err) => write!(f, "instance not reached: {err}"),
            Self::Refused(refusal) => write!(f, "{refusal:?}"),
        }
    }
}

/// The bytes of one connection within an `h2` stream.
pub(crate) struct TunnelStream {
    send: SendStream<Bytes>,
    recv: RecvStream,
    /// Received bytes that have not been read.
    unread: Bytes,
    has_ended: bool,
    /// The connection to the peer, at the end that opened it.
    socket: Option<SharedStream>,
}

impl fmt::Debug for TunnelStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TunnelStream")
            .field("stream", &self.recv.stream_id())
            .finish_non_exhaustive()
    }
}

impl TunnelStream {
    pub(super) fn new(send: SendStream<Bytes>, recv: RecvStream) -> Self {
        Self {
            send,
            recv,
            unread: Bytes::new(),
            has_ended: false,
            socket: None,
        }
    }

    /// Breaks the stream off, so that the other end does not take it as complete.
    pub(super) fn reset(&mut self) {
        self.send.send_reset(Reason::CANCEL);
    }
}

/// Connects to the server at `server` through `peer`, which listens at `addr`, within `timeout`.
pub(crate) async fn open(
    me: &PeerId,
    peer: &InstanceName,
    addr: SocketAddr,
    server: SocketAddr,
    timeout: Duration,
) -> Result<TunnelStream, TunnelError> {
    let opening = open_stream(me, peer, addr, server);
    let timed_out = |_| Err(TunnelError::Peer(io::ErrorKind::TimedOut.into()));
    time::timeout(timeout, opening)
        .await
        .unwrap_or_else(timed_out)
}

async fn open_stream(
    me: &PeerId,
    peer: &InstanceName,
    addr: SocketAddr,
    server: SocketAddr,
) -> Result<TunnelStream, TunnelError> {
    let socket = TcpStream::connect(addr).await.map_err(TunnelError::Peer)?;
    let _ = socket.set_nodelay(true);
    let socket = SharedStream::new(socket);
    let handshake = client::handshake(socket.clone());
    let (sender, connection) = handshake.await.map_err(peer_error)?;
    tokio::spawn(async move {
        // The stream gets the errors of its connection.
        let _ = connection.await;
    });
    let request = Request::post(format!("http://{addr}{TUNNEL_PATH}"))
        .header(FROM, me.instance.as_str())
        .header(FROM_INCARNATION, me.incarnation.to_string())
        .header(TO, peer.as_str())
        .header(SERVER, server.to_string())
        .body(())
        .map_err(|err| TunnelError::Peer(io::Error::other(err)))?;
    let mut sender = sender.ready().await.map_err(peer_error)?;
    let (response, send) = sender.send_request(request, false).map_err(peer_error)?;
    let response = response.await.map_err(peer_error)?;
    match response.status() {
        StatusCode::OK => Ok(TunnelStream {
            socket: Some(socket),
            ..TunnelStream::new(send, response.into_body())
        }),
        status => Err(TunnelError::Refused(TunnelRefusal::from_status(status))),
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() && !self.has_ended {
            match ready!(self.recv.poll_data(cx)) {
                Some(Ok(bytes)) => self.unread = bytes,
                Some(Err(err)) => return Poll::Ready(Err(stream_error(err))),
                None => self.has_ended = true,
            }
        }
        let length = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        // Fails only for a stream that has ended.
        let _ = self.recv.flow_control().release_capacity(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.send.reserve_capacity(buf.len().min(MAX_WRITE_BYTES));
        let capacity_bytes = match ready!(self.send.poll_capacity(cx)) {
            Some(Ok(capacity_bytes)) => capacity_bytes,
            Some(Err(err)) => return Poll::Ready(Err(stream_error(err))),
            None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        };
        let length = capacity_bytes.min(buf.len());
        let bytes = Bytes::copy_from_slice(&buf[..length]);
        let sent = self.send.send_data(bytes, false);
        Poll::Ready(sent.map(|()| length).map_err(stream_error))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let sent = self.send.send_data(Bytes::new(), true);
        Poll::Ready(sent.map_err(stream_error))
    }
}

impl Transport for TunnelStream {
    fn discard_when_dropped(&mut self) {
        if let Some(socket) = &self.socket {
            socket.reset_when_dropped();
        }
    }
}

fn peer_error(err: h2::Error) -> TunnelError {
    TunnelError::Peer(io::Error::other(err))
}

fn stream_error(err: h2::Error) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, err)
}
