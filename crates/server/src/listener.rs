//! Accepts connections and serves HTTP/1.1 and HTTP/2 on them.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, Request, Response, Version, header};
use http_body_util::BodyExt;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use slog::{Logger, debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{self, Instant},
};
use tokio_util::task::TaskTracker;
use tower::{Service, ServiceExt};

use crate::{
    caller_memory::SharedMemory,
    connection_memory::{self, ConnectionMemory},
    endpoint::Endpoint,
    error::{Error, Result},
    held_stream::HeldStream,
    http_body::{Body, WithGuard},
    link_meter::{ConnectionMeter, LinkMeter, MeteredStream},
    load_monitor::LoadMonitor,
    phase::{Phase, Phases},
    settings::Limits,
    shared_stream::SharedStream,
};

/// Maximum number of concurrent streams per HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 32;
/// Maximum size of a request head over HTTP/2, in bytes: many may be sent at once.
const MAX_HTTP2_HEAD_BYTES: u32 = 32 << 10;
/// Bytes that a caller may send over HTTP/2 before they are read, on one stream and on one
/// connection: the smallest that the protocol allows for both. Bodies are read as they arrive.
const HTTP2_WINDOW_BYTES: u32 = 65_535;
/// Delay after a failed `accept` call, in ms.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;
/// Time to wait for the first request of a connection that was opened just before
/// the drain began; closing the connection at once would lose that request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Response on a connection whose first request head did not arrive in time.
const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Response on a connection beyond the connection limit.
const OVERLOAD_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Binds a listener; `purpose` names its users in the error.
///
/// # Errors
///
/// Returns [`Error::Listen`] if the address can't be bound.
pub(crate) async fn bind(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| Error::Listen(purpose, addr, err))
}

/// A service that handles the requests on a listener's connections.
pub(crate) trait Handler:
    Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: Send>
    + Clone
    + Send
    + Sync
    + 'static
{
}

impl<S> Handler for S where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: Send>
        + Clone
        + Send
        + Sync
        + 'static
{
}

/// Accept loop of a listener, and what its connections share.
#[derive(Clone)]
pub(crate) struct Acceptor {
    /// Logger for failed connections.
    pub(crate) log: Logger,
    /// Limits on what a connection may send.
    pub(crate) limits: Limits,
    /// Memory held for the callers of the listener.
    pub(crate) memory: Arc<SharedMemory>,
    /// Lifecycle phase of the instance.
    pub(crate) phases: Arc<Phases>,
    /// Tracker of the open connections.
    pub(crate) connections: TaskTracker,
    /// Monitor that counts what callers send; none for operators and the platform.
    pub(crate) monitor: Option<Arc<LoadMonitor>>,
}

impl Acceptor {
    /// Accepts connections and serves `service` on each until the instance drains. While the
    /// monitor asks for it, the endpoint has no listener, so that connections are refused before
    /// callers have sent anything.
    pub(crate) async fn run_with_pauses(
        self,
        endpoint: Endpoint,
        mut listener: TcpListener,
        service: impl Handler,
    ) {
        loop {
            let pause = self.monitor.as_ref().map_or(Duration::ZERO, |m| m.pause());
            if !pause.is_zero() {
                drop(listener);
                tokio::select! {
                    () = time::sleep(pause) => {}
                    () = self.phases.reached(Phase::Draining) => return,
                }
                listener = self.listen_again(&endpoint).await;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.phases.reached(Phase::Draining) => return,
            };
            self.on_accepted(accepted, service.clone()).await;
        }
    }

    async fn listen_again(&self, endpoint: &Endpoint) -> TcpListener {
        loop {
            match endpoint.listen() {
                Ok(listener) => return listener,
                Err(err) => {
                    warn!(self.log, "not listening"; "addr" => %endpoint.addr(), "error" => %err);
                    time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                }
            }
        }
    }

    /// Accepts connections and serves `service` on each until the instance drains.
    pub(crate) async fn run(self, listener: TcpListener, service: impl Handler) {
        loop {
            // Connections already in the backlog are accepted before the loop ends.
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.phases.reached(Phase::Draining) => return,
            };
            self.on_accepted(accepted, service.clone()).await;
        }
    }

    async fn on_accepted(
        &self,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        service: impl Handler,
    ) {
        let Some(stream) = self.accepted_stream(accepted).await else {
            return;
        };
        if let Some(monitor) = &self.monitor {
            monitor.on_accepted();
        }
        let meter = ConnectionMeter::new(self.link_meter());
        match ConnectionMemory::open(&self.memory, meter, self.limits.header_bytes).await {
            Some(memory) => self.spawn(stream, memory, service),
            None => refuse(stream),
        }
    }

    async fn accepted_stream(
        &self,
        accepted: io::Result<(TcpStream, SocketAddr)>,
    ) -> Option<TcpStream> {
        match accepted {
            Ok((stream, _)) => Some(stream),
            Err(err) => {
                warn!(self.log, "connection not accepted"; "error" => %err);
                time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                None
            }
        }
    }

    fn spawn(&self, stream: TcpStream, memory: Arc<ConnectionMemory>, service: impl Handler) {
        let acceptor = self.clone();
        self.connections.spawn(async move {
            acceptor.serve(stream, memory, service).await;
        });
    }

    async fn serve(&self, stream: TcpStream, memory: Arc<ConnectionMemory>, service: impl Handler) {
        let _ = stream.set_nodelay(true);
        let has_request = Arc::new(AtomicBool::new(false));
        let knows_chunks = Arc::new(AtomicBool::new(true));
        let phases = Arc::clone(&self.phases);
        let monitor = self.monitor.clone();
        let handler = service_fn({
            let has_request = Arc::clone(&has_request);
            let knows_chunks = Arc::clone(&knows_chunks);
            let memory = Arc::clone(&memory);
            move |mut request: Request<Incoming>| {
                let in_progress = memory.on_request();
                connection_memory::begin_request(&memory, &mut request);
                let is_first = !has_request.swap(true, Ordering::Relaxed);
                let monitor = monitor.as_ref();
                let closes = monitor.is_some_and(|monitor| monitor.on_request(is_first));
                knows_chunks.store(request.version() > Version::HTTP_10, Ordering::Relaxed);
                let service = service.clone();
                let phases = Arc::clone(&phases);
                async move {
                    let version = request.version();
                    let mut response = service.oneshot(request).await?;
                    if closes || phases.is_leaving() {
                        close_after(version, &mut response);
                    }
                    let end = |body| WithGuard::new(body, in_progress).boxed_unsync();
                    Ok::<_, Infallible>(response.map(end))
                }
            }
        });
        let stream = SharedStream::new(stream);
        let builder = self.builder();
        let metered = MeteredStream::new(stream.clone(), Arc::clone(memory.meter()));
        let write_timeout = self.limits.write_timeout();
        let held = HeldStream::new(metered, stream.clone(), Arc::clone(&memory), write_timeout);
        let connection = builder.serve_connection(TokioIo::new(held), handler);
        tokio::pin!(connection);
        let first_head = time::sleep(self.limits.header_timeout());
        tokio::pin!(first_head);
        let mut awaits_first_head = true;
        let shutdown = time::sleep(Duration::ZERO);
        tokio::pin!(shutdown);
        let (mut is_draining, mut is_shut_down) = (false, false);
        loop {
            tokio::select! {
                ended = connection.as_mut() => {
                    let Err(err) = ended else { return };
                    debug!(self.log, "connection ended early"; "error" => %err);
                    if !knows_chunks.load(Ordering::Relaxed) {
                        // An orderly close is the end of a complete body in HTTP/1.0.
                        stream.reset_when_dropped();
                    }
                    if is_timeout(&*err) && !has_request.load(Ordering::Relaxed) {
                        refuse_slow(&stream);
                    }
                    return;
                }
                () = memory.evicted() => {
                    if memory.may_close() {
                        return;
                    }
                }
                () = memory.closing(), if !is_shut_down => {
                    is_shut_down = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = &mut first_head, if awaits_first_head => {
                    awaits_first_head = false;
                    if !has_request.load(Ordering::Relaxed) {
                        return refuse_slow(&stream);
                    }
                }
                () = self.phases.reached(Phase::Draining), if !is_draining => {
                    is_draining = true;
                    let wait = if has_request.load(Ordering::Relaxed) {
                        Duration::ZERO
                    } else {
                        FIRST_REQUEST_TIMEOUT
                    };
                    shutdown.as_mut().reset(Instant::now() + wait);
                }
                () = &mut shutdown, if is_draining && !is_shut_down => {
                    is_shut_down = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Returns the meter for the connections of this listener.
    fn link_meter(&self) -> Arc<LinkMeter> {
        let monitored = self.monitor.as_ref();
        monitored.map_or_else(Arc::default, |monitor| Arc::clone(monitor.callers()))
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let max_head_bytes = usize::try_from(self.limits.header_bytes).unwrap_or(usize::MAX);
        let max_http2_head_bytes = u32::try_from(max_head_bytes)
            .unwrap_or(u32::MAX)
            .min(MAX_HTTP2_HEAD_BYTES);
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout())
            .max_buf_size(max_head_bytes);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(max_http2_head_bytes)
            .initial_stream_window_size(HTTP2_WINDOW_BYTES)
            .initial_connection_window_size(HTTP2_WINDOW_BYTES)
            .max_concurrent_streams(MAX_HTTP2_STREAMS);
        builder
    }
}

/// Closes an HTTP/1.1 connection after this response. HTTP/2 connections get a GOAWAY frame
/// when the instance drains.
fn close_after(version: Version, response: &mut Response<Body>) {
    if version < Version::HTTP_2 {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

fn is_timeout(err: &(dyn std::error::Error + 'static)) -> bool {
    err.downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_timeout)
}

fn refuse_slow(stream: &SharedStream) {
    metrics::counter!("savoryvane_slow_connections_total").increment(1);
    stream.try_write_final(TIMEOUT_RESPONSE);
}

fn refuse(stream: TcpStream) {
    metrics::counter!("savoryvane_connections_refused_total").increment(1);
    // The send buffer of a newly accepted socket has space for these few bytes.
    let _ = stream.try_write(OVERLOAD_RESPONSE);
}
