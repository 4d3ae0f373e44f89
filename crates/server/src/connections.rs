//! Pool of HTTP/1.1 connections to backend servers and the platform.
//!
//! A connection is returned to the pool only after a complete response. The
//! connection of an abandoned exchange is closed: it may no longer respond, and
//! the rest of its response has no receiver. If the response has not begun, the
//! connection is reset, so that a request which a partition holds up is not
//! delivered once the partition ends.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
    ext::ReasonPhrase,
};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use savoryvane_core::{
    forwarding::{ConnectionHistory, holds_status_line},
    poison::Probe,
};
use tokio::{
    task::AbortHandle,
    time::{self, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    gate::{DiscardFlag, Gate, GateSlot, GatedStream},
    lock::lock,
    network::{Network, TcpNetwork, Transport},
    response_budget::ResponseBudget,
};

/// Bodies of which a second copy is recognised on a connection.
const MAX_KNOWN_BODIES: usize = 8;
/// Maximum size of the head of a response.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

quick_error! {
    /// Why an exchange has no response.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of the request was written to a socket.
        NotSent(reason: String) {
            display("not sent: {reason}")
        }
        /// The request was sent, and its result is unknown.
        Sent(reason: String) {
            display("sent, then: {reason}")
        }
    }
}

/// Settings of a connection pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionSettings {
    /// Maximum time to establish a connection.
    pub(crate) connect_timeout: Duration,
    /// Maximum number of idle connections to one address.
    pub(crate) max_idle: usize,
    /// Time after which an idle connection is closed.
    pub(crate) idle_timeout: Duration,
    /// Maximum size of a response as it is sent, with its head and framing.
    pub(crate) max_response_bytes: u64,
}

/// Which idle connections a request may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Any open connection.
    Any,
    /// A connection used within this time. A request that can't be repeated is
    /// lost if the server closes an older idle connection at the same moment.
    Within(Duration),
    /// None.
    Never,
}

/// Connection pool for any number of addresses.
#[derive(Debug)]
pub(crate) struct Connections {
    settings: ConnectionSettings,
    network: Arc<dyn Network>,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    last_used_at: Instant,
    expires_at: Instant,
}

/// A connection that is closed when dropped, or reset while its request has no response.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    gates: GateSlot,
    budget: ResponseBudget,
    discard: DiscardFlag,
    awaits_response: bool,
    history: ConnectionHistory,
    /// Hashes of the last bodies received on it, by which second copies are recognised.
    bodies: VecDeque<u64>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.awaits_response {
            self.discard.set();
        }
        self.driver.abort();
    }
}

/// A complete response, and the connection that carried it.
#[derive(Debug)]
pub(crate) struct Answer<T> {
    /// What was made of its head.
    pub(crate) head: T,
    /// The response.
    pub(crate) response: Response<Bytes>,
    /// Its connection.
    pub(crate) lease: Lease,
}

/// A response whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The response.
    pub(crate) response: Response<Incoming>,
    /// What the connection carried before the request.
    pub(crate) history: ConnectionHistory,
    /// Connection that carries the response.
    pub(crate) lease: Lease,
}

/// Holds a connection while a response is read; closes it when dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    pool: Arc<Connections>,
    addr: SocketAddr,
    connection: Connection,
}

impl Lease {
    /// Records a body that was received on the connection; returns whether the same one was
    /// received before, so that it is a second copy.
    pub(crate) fn is_copy(&mut self, body: &[u8]) -> bool {
        let hash = xxh3_64(body);
        let bodies = &mut self.connection.bodies;
        if bodies.contains(&hash) {
            return true;
        }
        if bodies.len() == MAX_KNOWN_BODIES {
            bodies.pop_front();
        }
        bodies.push_back(hash);
        false
    }

    /// Returns the connection to the pool after the complete response was read.
    pub(crate) async fn release(self) {
        self.release_for(Duration::MAX).await;
    }

    /// Returns the connection to the pool like [`release`](Self::release), to be reused
    /// only within `limit`, after which the server closes it.
    pub(crate) async fn release_for(self, limit: Duration) {
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
    /// Creates an empty pool of TCP connections.
    pub(crate) fn new(settings: ConnectionSettings) -> Arc<Self> {
        Self::over(TcpNetwork::shared(), settings)
    }

    /// Creates an empty pool of connections over `network`.
    pub(crate) fn over(network: Arc<dyn Network>, settings: ConnectionSettings) -> Arc<Self> {
        Arc::new(Self {
            settings,
            network,
            idle: Mutex::default(),
        })
    }

    /// Sends `request` to `addr` and waits for the head of its response. Sends
    /// nothing once `not_after` has passed.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if no byte of the request was written
    /// to a socket.
    pub(crate) async fn send(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        not_after: Instant,
    ) -> Result<Exchange, SendError> {
        self.send_gated(addr, request, not_after, None).await
    }

    /// Sends `request` like [`send`](Self::send), reusing idle connections only as
    /// `reuse` allows. Before sending over a new connection, `may_send` must return
    /// true.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if no byte of the request was written
    /// to a socket.
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

    /// Sends `request` like [`send`](Self::send) if `gate` opens, which is checked
    /// directly before the first byte is written.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if no byte of the request was written to
    /// a socket; with a gate, only if the gate never opened.
    pub(crate) async fn send_gated(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        not_after: Instant,
        gate: Option<&Arc<Gate>>,
    ) -> Result<Exchange, SendError> {
        let reuse = match gate {
            // The refusal of such a request is believed, so that it must not be a second copy
            // of another one.
            Some(gate) if gate.allows_one_run() => Reuse::Never,
            _ => Reuse::Any,
        };
        let sent = self
            .try_send(addr, request, not_after, gate, reuse, || true)
            .await;
        match (sent, gate) {
            // Once the gate is shut, a pending write does not happen.
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
                Err(SendFailure::Sent(err)) => return Err(err),
                Err(SendFailure::Unsent(unsent, _)) => request = *unsent,
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
            .map_err(|failure| match failure {
                SendFailure::Sent(err) => err,
                SendFailure::Unsent(_, reason) => SendError::NotSent(reason),
            })
    }

    /// Connects to `addr` and adds the connection to the pool. Returns whether the
    /// connection was established.
    pub(crate) async fn preconnect(&self, addr: SocketAddr) -> bool {
        match self.connect(addr).await {
            Ok(connection) => {
                self.put(addr, connection, Duration::MAX);
                true
            }
            Err(_) => false,
        }
    }

    /// Probes with one connection attempt whether a process listens at `addr`. Adds an
    /// established connection to the pool.
    pub(crate) async fn probe(&self, addr: SocketAddr) -> Probe {
        match self.open(addr).await {
            Ok(stream) => {
                // The server may have accepted the connection and closed it at once.
                if let Ok(connection) = self.handshake(stream).await {
                    self.put(addr, connection, Duration::MAX);
                }
                Probe::Open
            }
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
            Err(_) => Probe::Unknown,
        }
    }

    /// Takes an idle connection to `addr` from the pool `other`, if this pool has
    /// none.
    pub(crate) fn take_over(&self, addr: SocketAddr, other: &Self) {
        let has_one = self.lock().contains_key(&addr);
        if !has_one && let Some(connection) = other.take(addr, Reuse::Any) {
            self.put(addr, connection, Duration::MAX);
        }
    }

    /// Closes every idle connection to `addr`, after one of them stopped responding.
    pub(crate) fn close_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Closes every idle connection.
    pub(crate) fn close_all_idle(&self) {
        self.lock().clear();
    }

    /// Closes idle connections that are older than the idle timeout.
    pub(crate) fn prune(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Sends `request` and reads its complete response of at most `max_bytes`
    /// within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if no byte of the request was written
    /// to a socket.
    pub(crate) async fn exchange(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let accept = |_: &response::Parts, _: ConnectionHistory| Ok(());
        let exchange = self.exchange_with(addr, request, timeout, max_bytes, || true, accept);
        let answer = exchange.await?;
        answer.lease.release().await;
        Ok(answer.response)
    }

    /// Works like [`exchange`](Self::exchange), but before sending over a new connection
    /// `may_send` must return true. Calls `on_head` with the head of the response as soon
    /// as it arrives, even if the body does not follow, and returns its result as well; a
    /// response that it rejects, with a reason, counts as lost.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if no byte of the request was written
    /// to a socket.
    pub(crate) async fn exchange_with<T>(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
        may_send: impl Fn() -> bool,
        on_head: impl FnOnce(&response::Parts, ConnectionHistory) -> Result<T, &'static str>,
    ) -> Result<Answer<T>, SendError> {
        let not_after = Instant::now() + timeout;
        let complete = async {
            let sending = self.send_reusing(addr, request, not_after, Reuse::Any, may_send);
            let Exchange {
                response,
                history,
                lease,
            } = sending.await?;
            let (head, body) = response.into_parts();
            let head_result =
                on_head(&head, history).map_err(|reason| SendError::Sent(reason.to_owned()))?;
            let body = Limited::new(body, max_bytes)
                .collect()
                .await
                .map_err(|err| SendError::Sent(err.to_string()))?;
            Ok(Answer {
                head: head_result,
                response: Response::from_parts(head, body.to_bytes()),
                lease,
            })
        };
        match time::timeout(timeout, complete).await {
            Ok(result) => result,
            Err(_) => {
                self.close_idle(addr);
                Err(SendError::Sent("timeout".to_owned()))
            }
        }
    }

    async fn send_over(
        self: &Arc<Self>,
        addr: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendFailure> {
        connection.budget.begin();
        connection.awaits_response = true;
        let history = std::mem::replace(&mut connection.history, ConnectionHistory::Kept);
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.budget.on_head();
                connection.awaits_response = false;
                if declared_bytes(&response) > self.settings.max_response_bytes {
                    let err = SendError::Sent("response is too large".to_owned());
                    return Err(SendFailure::Sent(err));
                }
                if history == ConnectionHistory::Kept && is_joined(&response) {
                    let err = SendError::Sent("two heads are joined".to_owned());
                    return Err(SendFailure::Sent(err));
                }
                Ok(Exchange {
                    response,
                    history,
                    lease: Lease {
                        pool: Arc::clone(self),
                        addr,
                        connection,
                    },
                })
            }
            Err(mut err) => {
                let reason = err.error().to_string();
                Err(match err.take_message() {
                    Some(request) => SendFailure::Unsent(Box::new(request), reason),
                    None => SendFailure::Sent(SendError::Sent(reason)),
                })
            }
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        let stream = self.open(addr).await;
        let stream = stream.map_err(|err| SendError::NotSent(err.to_string()))?;
        self.handshake(stream).await
    }

    async fn open(&self, addr: SocketAddr) -> io::Result<Box<dyn Transport>> {
        let connecting = time::timeout(self.settings.connect_timeout, self.network.connect(addr));
        let timeout = || io::Error::new(io::ErrorKind::TimedOut, "connect timeout");
        connecting.await.unwrap_or_else(|_| Err(timeout()))
    }

    /// Establishes an HTTP connection over a stream.
    async fn handshake(&self, stream: Box<dyn Transport>) -> Result<Connection, SendError> {
        let gates = GateSlot::default();
        let budget = ResponseBudget::new(self.settings.max_response_bytes);
        let discard = DiscardFlag::default();
        let stream = GatedStream::new(stream, gates.clone(), budget.clone(), discard.clone());
        let (sender, driver) = http1::Builder::new()
            .max_header_size(MAX_HEAD_BYTES)
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| SendError::NotSent(err.to_string()))?;
        let driver = tokio::spawn(async move {
            // The exchange gets the errors of its connection.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            gates,
            budget,
            discard,
            awaits_response: false,
            history: ConnectionHistory::New,
            bodies: VecDeque::new(),
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
                Reuse::Within(age) => now.duration_since(newest.last_used_at) <= age,
                Reuse::Never => false,
            };
            if !is_recent {
                // The remaining connections were used even longer ago.
                idle.push(newest);
                return None;
            }
            if now < newest.expires_at && newest.connection.sender.is_ready() {
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
            let last_used_at = Instant::now();
            idle.push(Idle {
                connection,
                last_used_at,
                expires_at: last_used_at + limit.min(self.settings.idle_timeout),
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        lock(&self.idle)
    }
}

/// Returns the length of a response's body, as far as it is declared.
fn declared_bytes(response: &Response<Incoming>) -> u64 {
    response.body().size_hint().lower()
}

/// Returns whether the head of a response is joined with one before it that stopped midway.
fn is_joined(response: &Response<Incoming>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let values = response.headers().values().map(HeaderValue::as_bytes);
    let mut texts = reason.map(ReasonPhrase::as_bytes).into_iter().chain(values);
    texts.any(holds_status_line)
}

/// Why an exchange over one connection failed.
enum SendFailure {
    /// The request was not sent and is returned.
    Unsent(Box<Request<Full<Bytes>>>, String),
    /// The request was sent.
    Sent(SendError),
}
