//! Connections to other processes, as far as they can be replaced.

use std::{fmt, future::Future, io, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

#[cfg(target_os = "linux")]
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, DuplexStream},
    net::TcpStream,
};

/// An established connection that carries bytes in order.
pub trait Transport: AsyncRead + AsyncWrite + fmt::Debug + Send + Unpin {
    /// Makes the connection discard the bytes that were not delivered when it is dropped.
    /// Otherwise a partition delays them, and they arrive once it ends. Transports that hold
    /// no such bytes need not implement it.
    fn discard_when_dropped(&mut self) {}
}

impl Transport for TcpStream {
    fn discard_when_dropped(&mut self) {
        // Errors are ignored: the connection is closed in any case.
        let _ = self.set_zero_linger();
    }
}

impl Transport for DuplexStream {}

impl Transport for Box<dyn Transport> {
    fn discard_when_dropped(&mut self) {
        (**self).discard_when_dropped();
    }
}

/// Future of a connection attempt.
pub type Connecting<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn Transport>>> + Send + 'a>>;

/// The network between this process and others.
pub trait Network: fmt::Debug + Send + Sync + 'static {
    /// Establishes a connection to `addr`; dropping the future abandons the attempt.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established.
    fn connect(&self, addr: SocketAddr) -> Connecting<'_>;
}

/// Establishes TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpNetwork {
    delivery_timeout: Option<Duration>,
}

impl Network for TcpNetwork {
    fn connect(&self, addr: SocketAddr) -> Connecting<'_> {
        Box::pin(async move {
            let stream = TcpStream::connect(addr).await?;
            // Without TCP_NODELAY, small writes wait for acknowledgements. The call may fail on
            // a closed socket; the exchange then fails as well.
            let _ = stream.set_nodelay(true);
            if let Some(timeout) = self.delivery_timeout {
                set_delivery_timeout(&stream, timeout);
            }
            Ok(Box::new(stream) as Box<dyn Transport>)
        })
    }
}

impl TcpNetwork {
    /// Returns a network whose connections break off when bytes are not acknowledged by the
    /// other end within `timeout`, so that a partition can't delay them for longer.
    pub fn with_delivery_timeout(timeout: Duration) -> Self {
        Self {
            delivery_timeout: Some(timeout),
        }
    }

    /// Returns the network as a shared object.
    pub(crate) fn shared() -> Arc<dyn Network> {
        Arc::new(Self::default())
    }
}

#[cfg(target_os = "linux")]
fn set_delivery_timeout(stream: &TcpStream, timeout: Duration) {
    // Errors are ignored: the deadline of the request bounds its delivery as well.
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(timeout));
}

#[cfg(not(target_os = "linux"))]
fn set_delivery_timeout(_stream: &TcpStream, _timeout: Duration) {}
