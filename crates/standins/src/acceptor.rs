//! Accepting connections until a stop, then waiting for the open ones.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{AbortHandle, JoinHandle, JoinSet},
    time,
};

use crate::{Error, Result};

/// Pause after a failed accept, so that a lack of descriptors can pass.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Tells a connection when the acceptor stops.
#[derive(Clone, Debug)]
pub(crate) struct Stopped(watch::Receiver<bool>);

impl Stopped {
    /// Waits until the acceptor stops.
    pub(crate) async fn wait(&mut self) {
        // A dropped acceptor counts as stopped.
        let _ = self.0.wait_for(|stop| *stop).await;
    }
}

/// A listener whose connections each have a task.
#[derive(Debug)]
pub(crate) struct Acceptor {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Acceptor {
    /// Listens on `addr` and gives each connection to `serve`; a stop waits for
    /// at most `grace` until they have ended.
    pub(crate) async fn start<S, F>(addr: SocketAddr, grace: Duration, serve: S) -> Result<Self>
    where
        S: Fn(TcpStream, Stopped) -> F + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind(addr)
            .await
            .map_err(|err| Error::Bind(addr, err))?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, grace, Stopped(stopped), serve));
        Ok(Self { addr, stop, task })
    }

    /// Returns the address that it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns what ends it with all its connections at once.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.task.abort_handle()
    }

    /// Stops listening and waits for open connections.
    pub(crate) async fn stop(mut self) {
        self.stop.send_replace(true);
        // A panic of the accept loop has been printed already.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Acceptor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<S, F>(listener: TcpListener, grace: Duration, stopped: Stopped, serve: S)
where
    S: Fn(TcpStream, Stopped) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut until_stop = stopped.clone();
    loop {
        tokio::select! {
            () = until_stop.wait() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, stopped.clone()));
                }
                Err(_) => time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
    drop(listener);
    let drained = async { while connections.join_next().await.is_some() {} };
    // What is left after the grace is idle or silent; dropping the set ends it.
    let _ = time::timeout(grace, drained).await;
}
