//! Serving HTTP/1.1 and h2 on one listener, with a graceful stop.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time,
};

use crate::{
    Error, Result,
    body::Body,
    socket::{SocketSwitches, SwitchedSocket},
};

/// Time that a graceful stop waits for open exchanges.
const STOP_GRACE: Duration = Duration::from_secs(10);

/// Pause after a failed accept, so that a lack of descriptors can pass.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Closes the connection without an answer.
#[derive(Debug)]
pub(crate) struct HangUp;

impl std::fmt::Display for HangUp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for HangUp {}

/// What a handler answers.
pub(crate) type Reply = std::result::Result<Response<Body>, HangUp>;

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

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
        let listener = bind(addr).await?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, switches, handler, stopped));
        Ok(Self { addr, stop, task })
    }

    /// Returns the address that it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening and waits for open exchanges to end.
    pub(crate) async fn stop(mut self) {
        self.stop.send_replace(true);
        // A panic of the accept loop has been printed already.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens on `addr`.
pub(crate) async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| Error::Bind(addr, err))
}

async fn accept<H, F>(
    listener: TcpListener,
    switches: Arc<SocketSwitches>,
    handler: H,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let until_stop = stopped.clone();
    loop {
        tokio::select! {
            () = until_set(&mut stopped) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let socket = prepare(stream, &switches);
                    connections.spawn(exchange(socket, handler.clone(), until_stop.clone()));
                }
                Err(_) => time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
    drop(listener);
    let drained = async { while connections.join_next().await.is_some() {} };
    // What is left after the grace is silent or stuck; dropping the set ends it.
    let _ = time::timeout(STOP_GRACE, drained).await;
}

fn prepare(stream: TcpStream, switches: &Arc<SocketSwitches>) -> SwitchedSocket {
    // Without it small writes wait for each other; a failure only costs time.
    let _ = stream.set_nodelay(true);
    SwitchedSocket::new(stream, Arc::clone(switches))
}

async fn exchange<H, F>(socket: SwitchedSocket, handler: H, mut stopped: watch::Receiver<bool>)
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
        () = until_set(&mut stopped) => connection.as_mut().graceful_shutdown(),
    }
    // An error means that the other end went away first.
    let _ = connection.await;
}

/// Waits until a switch is set or its owner is gone.
pub(crate) async fn until_set(switch: &mut watch::Receiver<bool>) {
    let _ = switch.wait_for(|set| *set).await;
}
