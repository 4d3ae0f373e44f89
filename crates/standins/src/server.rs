//! Serving HTTP/1.1 and h2 on one listener, with a graceful stop.

use std::{error, fmt, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};

use tokio::task::AbortHandle;

use crate::{
    Result,
    acceptor::{Acceptor, Stopped},
    body::Body,
    socket::{Exemption, SocketSwitches, SwitchedSocket},
};

/// Time that a graceful stop waits for open exchanges.
const STOP_GRACE: Duration = Duration::from_secs(10);

/// Closes the connection without an answer.
#[derive(Debug)]
pub(crate) struct HangUp;

impl fmt::Display for HangUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl error::Error for HangUp {}

/// What a handler answers.
pub(crate) type Reply = std::result::Result<Response<Body>, HangUp>;

/// A running server.
#[derive(Debug)]
pub(crate) struct Server(Acceptor);

impl Server {
    /// Listens on `addr` and answers every request by `handler`.
    pub(crate) async fn start<H, F>(
        addr: SocketAddr,
        switches: Arc<SocketSwitches>,
        handler: H,
    ) -> Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let acceptor = Acceptor::start(addr, STOP_GRACE, move |stream, stopped| {
            // Without it small writes wait for each other; a failure only costs
            // time.
            let _ = stream.set_nodelay(true);
            let exemption = Exemption::default();
            let socket = SwitchedSocket::new(stream, Arc::clone(&switches), exemption.clone());
            let handler = handler.clone();
            let service = move |mut request: Request<Incoming>| {
                request.extensions_mut().insert(exemption.clone());
                handler(request)
            };
            exchange(socket, service, stopped)
        });
        Ok(Self(acceptor.await?))
    }

    /// Returns the address that it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.0.addr()
    }

    /// Returns what ends it with all its exchanges at once.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.0.abort_handle()
    }

    /// Stops listening and waits for open exchanges to end.
    pub(crate) async fn stop(self) {
        self.0.stop().await;
    }
}

async fn exchange<H, F>(socket: SwitchedSocket, handler: H, mut stopped: Stopped)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(socket), service_fn(handler));
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stopped.wait() => connection.as_mut().graceful_shutdown(),
    }
    // An error means that the other end went away first.
    let _ = connection.await;
}
