//! A small pool of HTTP/1.1 connections to backend servers and the platform.
//!
//! A connection goes back to the pool only after a whole answer. One whose
//! exchange was given up is closed: it may have gone silent, and what would
//! still come over it has no receiver.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use savoryvane_core::poison::Probe;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{self, Instant},
};

use crate::{
    gate::{Gate, GateSlot, GatedStream},
    lock::lock,
};

/// Largest head of an answer that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

quick_error! {
    /// Why an exchange has no answer.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of the request was handed to a socket.
        NotSent(reason: String) {
            display("not sent: {reason}")
        }
        /// The request was handed over; what became of it is not known.
        Sent(reason: String) {
            display("sent, then: {reason}")
        }
    }
}

/// How connections are made and kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionSettings {
    /// Time for a connection to be made.
    pub(crate) connect_timeout: Duration,
    /// Idle connections that are kept to one address.
    pub(crate) max_idle: usize,
    /// Time after which an idle connection is closed.
    pub(crate) idle_timeout: Duration,
}

/// Which kept connections a request may be sent over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Any that is open.
    Any,
    /// One that was used this short a time ago: a request that can't be repeated
    /// is lost with a connection that its server closes at this moment.
    Within(Duration),
}

/// Connections to any number of addresses.
#[derive(Debug)]
pub(crate) struct Connections {
    settings: ConnectionSettings,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// One connection; closed when dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    gates: GateSlot,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The answer.
    pub(crate) response: Response<Incoming>,
    /// Connection that it comes over.
    pub(crate) lease: Lease,
}

/// Holds a connection while an answer comes over it; closes it when dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    pool: Arc<Connections>,
    addr: SocketAddr,
    connection: Connection,
}

impl Lease {
    /// Gives the connection back for reuse, after the whole answer was read.
    pub(crate) async fn keep(self) {
        self.keep_for(Duration::MAX).await;
    }

    /// Gives the connection back like [`keep`](Self::keep), to be reused only
    /// within `limit`, after which the other end closes it.
    pub(crate) async fn keep_for(self, limit: Duration) {
        let Self {
            pool,
            addr,
            mut connection,
        } = self;
        if connection.sender.ready().await.is_ok() {
            pool.put(addr, connection, limit);
        }
    }
}

impl Connections {
    /// Creates an empty pool.
    pub(crate) fn new(settings: ConnectionSettings) -> Arc<Self> {
        Arc::new(Self {
            settings,
            idle: Mutex::default(),
        })
    }

    /// Sends `request` to `addr`, unless `not_after` has passed before it can be
    /// handed over, and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only when nothing of the request was
    /// handed to a socket.
    pub(crate) async fn send(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        not_after: Instant,
    ) -> Result<Exchange, SendError> {
        self.send_gated(addr, request, not_after, None).await
    }

    /// Sends `request` like [`send`](Self::send), over kept connections only as
    /// `reuse` allows, if `may_send` says so once a connection is there.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only when nothing of the request was
    /// handed to a socket.
    pub(crate) async fn send_reusing(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        not_after: Instant,
        reuse: Reuse,
        may_send: impl Fn() -> bool,
    ) -> Result<Exchange, SendError> {
        self.try_send(addr, request, not_after, None, reuse, may_send)
            .await
    }

    /// Sends `request` like [`send`](Self::send) if `gate`, which is asked
    /// directly before the first byte is written, lets it through.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only when nothing of the request was
    /// handed to a socket; with a gate, only when it never opened.
    pub(crate) async fn send_gated(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        not_after: Instant,
        gate: Option<&Arc<Gate>>,
    ) -> Result<Exchange, SendError> {
        let sent = self
            .try_send(addr, request, not_after, gate, Reuse::Any, || true)
            .await;
        match (sent, gate) {
            // Once shut, a write that is still on its way does not happen.
            (Err(SendError::Sent(reason)), Some(gate)) if !gate.close() => {
                Err(SendError::NotSent(reason))
            }
            (Err(SendError::NotSent(reason)), Some(gate)) if gate.close() => {
                Err(SendError::Sent(reason))
            }
            (sent, _) => sent,
        }
    }

    async fn try_send(
        self: &Arc<Self>,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
        not_after: Instant,
        gate: Option<&Arc<Gate>>,
        reuse: Reuse,
        may_send: impl Fn() -> bool,
    ) -> Result<Exchange, SendError> {
        while let Some(connection) = self.take(addr, reuse) {
            connection.gates.set(gate.cloned());
            match self.send_over(addr, connection, request).await {
                Ok(exchange) => return Ok(exchange),
                Err(Attempt::Handed(err)) => return Err(err),
                Err(Attempt::Unsent(unsent, _)) => request = *unsent,
            }
        }
        let connection = self.connect(addr).await?;
        if Instant::now() >= not_after {
            return Err(SendError::NotSent("too late".to_owned()));
        }
        if !may_send() {
            self.put(addr, connection, Duration::MAX);
            return Err(SendError::NotSent("withheld".to_owned()));
        }
        connection.gates.set(gate.cloned());
        self.send_over(addr, connection, request)
            .await
            .map_err(|attempt| match attempt {
                Attempt::Handed(err) => err,
                Attempt::Unsent(_, reason) => SendError::NotSent(reason),
            })
    }

    /// Tries to connect to `addr`, and keeps the connection; tells whether one
    /// could be made.
    pub(crate) async fn warm(&self, addr: SocketAddr) -> bool {
        match self.connect(addr).await {
            Ok(connection) => {
                self.put(addr, connection, Duration::MAX);
                true
            }
            Err(_) => false,
        }
    }

    /// Tells from one attempt to connect to `addr` whether anything listens there; a
    /// connection that is made is kept.
    pub(crate) async fn probe(&self, addr: SocketAddr) -> Probe {
        match self.stream(addr).await {
            Ok(stream) => {
                // Whoever has accepted it may have closed it at once.
                if let Ok(connection) = self.over(stream).await {
                    self.put(addr, connection, Duration::MAX);
                }
                Probe::Open
            }
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
            Err(_) => Probe::Unknown,
        }
    }

    /// Takes over an idle connection to `addr` of another pool, if there is none
    /// here.
    pub(crate) fn take_over(&self, addr: SocketAddr, other: &Self) {
        let has_one = self.lock().contains_key(&addr);
        if !has_one && let Some(connection) = other.take(addr, Reuse::Any) {
            self.put(addr, connection, Duration::MAX);
        }
    }

    /// Closes every idle connection to `addr`, after one to it went silent.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Closes idle connections that are older than the idle timeout.
    pub(crate) fn prune(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Sends `request` and reads its whole answer of at most `max_bytes`, within
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only when nothing of the request was
    /// handed to a socket.
    pub(crate) async fn exchange(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let exchange = self.exchange_with(addr, request, timeout, max_bytes, || true, |_| {});
        let ((), response) = exchange.await?;
        Ok(response)
    }

    /// Does the same as [`exchange`](Self::exchange) if `may_send` says so once a connection
    /// is there, and passes the head of the answer to `on_head` as soon as it has come, also
    /// where the rest does not follow. Returns what that made of the head, too.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only when nothing of the request was
    /// handed to a socket.
    pub(crate) async fn exchange_with<T>(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
        may_send: impl Fn() -> bool,
        on_head: impl FnOnce(&response::Parts) -> T,
    ) -> Result<(T, Response<Bytes>), SendError> {
        let not_after = Instant::now() + timeout;
        let whole = async {
            let sending = self.send_reusing(addr, request, not_after, Reuse::Any, may_send);
            let Exchange { response, lease } = sending.await?;
            let (head, body) = response.into_parts();
            let seen = on_head(&head);
            let body = Limited::new(body, max_bytes)
                .collect()
                .await
                .map_err(|err| SendError::Sent(err.to_string()))?;
            lease.keep().await;
            Ok((seen, Response::from_parts(head, body.to_bytes())))
        };
        match time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(_) => {
                self.forget(addr);
                Err(SendError::Sent("timeout".to_owned()))
            }
        }
    }

    async fn send_over(
        self: &Arc<Self>,
        addr: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Attempt> {
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(Exchange {
                response,
                lease: Lease {
                    pool: Arc::clone(self),
                    addr,
                    connection,
                },
            }),
            Err(mut err) => {
                let reason = err.error().to_string();
                Err(match err.take_message() {
                    Some(request) => Attempt::Unsent(Box::new(request), reason),
                    None => Attempt::Handed(SendError::Sent(reason)),
                })
            }
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        let stream = self.stream(addr).await;
        let stream = stream.map_err(|err| SendError::NotSent(err.to_string()))?;
        self.over(stream).await
    }

    async fn stream(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let connecting = time::timeout(self.settings.connect_timeout, TcpStream::connect(addr));
        let timeout = || io::Error::new(io::ErrorKind::TimedOut, "connect timeout");
        connecting.await.unwrap_or_else(|_| Err(timeout()))
    }

    /// Prepares a stream for requests.
    async fn over(&self, stream: TcpStream) -> Result<Connection, SendError> {
        // Without it small writes wait for acknowledgements; it may fail on a
        // socket that is closed already, which the exchange then finds out.
        let _ = stream.set_nodelay(true);
        let gates = GateSlot::default();
        let stream = GatedStream::new(stream, gates.clone());
        let (sender, driver) = http1::Builder::new()
            .max_header_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| SendError::NotSent(err.to_string()))?;
        let driver = tokio::spawn(async move {
            // What goes wrong on the connection is told to its exchange.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            gates,
            driver: driver.abort_handle(),
        })
    }

    fn take(&self, addr: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.lock();
        let idle = all.get_mut(&addr)?;
        while let Some(newest) = idle.pop() {
            let is_recent = match reuse {
                Reuse::Any => true,
                Reuse::Within(age) => now.duration_since(newest.since) <= age,
            };
            if !is_recent {
                // The ones before it were used longer ago.
                idle.push(newest);
                return None;
            }
            if now < newest.until && newest.connection.sender.is_ready() {
                return Some(newest.connection);
            }
        }
        all.remove(&addr);
        None
    }

    fn put(&self, addr: SocketAddr, connection: Connection, limit: Duration) {
        let mut all = self.lock();
        let idle = all.entry(addr).or_default();
        if idle.len() < self.settings.max_idle {
            let since = Instant::now();
            idle.push(Idle {
                connection,
                since,
                until: since + limit.min(self.settings.idle_timeout),
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        lock(&self.idle)
    }
}

/// Why one connection did not bring an answer.
enum Attempt {
    /// The request was not handed over and comes back.
    Unsent(Box<Request<Full<Bytes>>>, String),
    /// The request was handed over.
    Handed(SendError),
}
