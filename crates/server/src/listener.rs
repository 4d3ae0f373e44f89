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
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use slog::{Logger, debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{self, Instant},
};
use tokio_util::task::TaskTracker;
use tower::{Service, ServiceExt};

use crate::{
    error::{Error, Result},
    http_body::Body,
    phase::{Phase, Phases},
    settings::Limits,
    shared_stream::SharedStream,
};

/// Streams that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 256;
/// Time to wait after the system refused to accept, in ms.
const ACCEPT_PAUSE_MS: u64 = 50;
/// Time for the first request of a connection that was made just before the
/// instance began to drain; closing it would lose that request.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);
/// Answer to a caller whose first head did not arrive in time.
const TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Answer to a caller for whose connection there is no room.
const TOO_MANY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Binds a listener for `what`.
///
/// # Errors
///
/// Returns [`Error::Listen`] when the address can't be had.
pub(crate) async fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| Error::Listen(what, addr, err))
}

/// A service that answers the requests of a listener's connections.
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

/// What every connection of a listener shares.
#[derive(Clone)]
pub(crate) struct Acceptor {
    /// Where connections that go wrong are noted.
    pub(crate) log: Logger,
    /// Limits on what a connection may send.
    pub(crate) limits: Limits,
    /// Phase of the instance.
    pub(crate) phases: Arc<Phases>,
    /// Connections that are open.
    pub(crate) connections: TaskTracker,
}

impl Acceptor {
    /// Serves `service` on every connection until the instance drains.
    pub(crate) async fn run(self, listener: TcpListener, service: impl Handler) {
        let room = usize::try_from(self.limits.max_connections).unwrap_or(Semaphore::MAX_PERMITS);
        let room = Arc::new(Semaphore::new(room));
        loop {
            // A connection that is made already is taken before the end.
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.phases.reached(Phase::Draining) => return,
            };
            let Some(stream) = self.accepted(accepted).await else {
                continue;
            };
            match Arc::clone(&room).try_acquire_owned() {
                Ok(permit) => self.spawn(stream, permit, service.clone()),
                Err(_) => refuse(stream),
            }
        }
    }

    async fn accepted(&self, accepted: io::Result<(TcpStream, SocketAddr)>) -> Option<TcpStream> {
        match accepted {
            Ok((stream, _)) => Some(stream),
            Err(err) => {
                warn!(self.log, "connection not accepted"; "error" => %err);
                time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                None
            }
        }
    }

    fn spawn(&self, stream: TcpStream, permit: OwnedSemaphorePermit, service: impl Handler) {
        let acceptor = self.clone();
        self.connections.spawn(async move {
            acceptor.serve(stream, service).await;
            drop(permit);
        });
    }

    async fn serve(&self, stream: TcpStream, service: impl Handler) {
        let _ = stream.set_nodelay(true);
        let began = Arc::new(AtomicBool::new(false));
        let phases = Arc::clone(&self.phases);
        let handler = service_fn({
            let began = Arc::clone(&began);
            move |request: Request<Incoming>| {
                began.store(true, Ordering::Relaxed);
                let service = service.clone();
                let phases = Arc::clone(&phases);
                async move {
                    let version = request.version();
                    let mut response = service.oneshot(request).await?;
                    close_if_leaving(&phases, version, &mut response);
                    Ok::<_, Infallible>(response)
                }
            }
        });
        let stream = SharedStream::new(stream);
        let builder = self.builder();
        let connection = builder.serve_connection(TokioIo::new(stream.clone()), handler);
        tokio::pin!(connection);
        let first_head = time::sleep(self.limits.header_timeout());
        tokio::pin!(first_head);
        let mut awaits_first = true;
        let shutdown = time::sleep(Duration::ZERO);
        tokio::pin!(shutdown);
        let (mut is_draining, mut is_shut_down) = (false, false);
        loop {
            tokio::select! {
                ended = connection.as_mut() => {
                    let Err(err) = ended else { return };
                    debug!(self.log, "connection ended early"; "error" => %err);
                    if is_timeout(&*err) && !began.load(Ordering::Relaxed) {
                        too_slow(&stream);
                    }
                    return;
                }
                () = &mut first_head, if awaits_first => {
                    awaits_first = false;
                    if !began.load(Ordering::Relaxed) {
                        return too_slow(&stream);
                    }
                }
                () = self.phases.reached(Phase::Draining), if !is_draining => {
                    is_draining = true;
                    let wait = if began.load(Ordering::Relaxed) {
                        Duration::ZERO
                    } else {
                        FIRST_REQUEST_WAIT
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

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let head_bytes = usize::try_from(self.limits.header_bytes).unwrap_or(usize::MAX);
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout())
            .max_buf_size(head_bytes);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(u32::try_from(head_bytes).unwrap_or(u32::MAX))
            .max_concurrent_streams(MAX_STREAMS);
        builder
    }
}

/// An instance that leaves keeps no connection of HTTP/1.1 open for another
/// request; HTTP/2 has its own notice.
fn close_if_leaving(phases: &Phases, version: Version, response: &mut Response<Body>) {
    if version < Version::HTTP_2 && phases.is_leaving() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

fn is_timeout(err: &(dyn std::error::Error + 'static)) -> bool {
    err.downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_timeout)
}

fn too_slow(stream: &SharedStream) {
    metrics::counter!("savoryvane_slow_connections_total").increment(1);
    stream.try_write_final(TOO_SLOW);
}

fn refuse(stream: TcpStream) {
    metrics::counter!("savoryvane_connections_refused_total").increment(1);
    // A socket that was just accepted has room for these few bytes.
    let _ = stream.try_write(TOO_MANY);
}
