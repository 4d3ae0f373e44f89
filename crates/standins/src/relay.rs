//! A network path to one process that can be cut, silenced, closed or delayed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time,
};

use crate::{
    Result,
    body::{self, empty, json},
    link::{self, LinkFaults, LinkState, LinkSwitch},
    server::{self, Reply, Server, until_set},
};

/// Time that a stop waits for open connections.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Process that connections are passed on to.
    pub to: SocketAddr,
    /// Address for `POST /fault`.
    pub control: SocketAddr,
}

/// A relay as it runs in this process.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    control: Server,
    switch: Arc<LinkSwitch>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay without faults.
    ///
    /// # Errors
    ///
    /// Fails when one of the addresses can't be listened on.
    pub async fn start(settings: RelaySettings) -> Result<Self> {
        let listener = server::bind(settings.addr).await?;
        let addr = listener.local_addr()?;
        let switch = Arc::new(LinkSwitch::default());
        let shared = Arc::clone(&switch);
        let handler = move |request| answer_fault(Arc::clone(&shared), request);
        let control = Server::start(settings.control, Arc::default(), handler).await?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, settings.to, switch.subscribe(), stopped));
        Ok(Self {
            addr,
            control,
            switch,
            stop,
            task,
        })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the address that takes faults.
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.switch.set(faults);
    }

    /// Stops listening, then waits a while for open connections.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        // A panic of the accept loop has been printed already.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    state: watch::Receiver<LinkState>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = until_set(&mut stopped) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => if let Ok((near, _)) = accepted {
                connections.spawn(relay(near, to, state.clone()));
            },
        }
    }
    drop(listener);
    let drained = async { while connections.join_next().await.is_some() {} };
    // An idle or silent connection never ends by itself.
    let _ = time::timeout(STOP_GRACE, drained).await;
}

async fn relay(near: TcpStream, to: SocketAddr, mut state: watch::Receiver<LinkState>) {
    if !link::opens(&mut state).await {
        return;
    }
    if let Ok(far) = TcpStream::connect(to).await {
        link::forward(near, far, state).await;
    }
}

async fn answer_fault(switch: Arc<LinkSwitch>, request: Request<Incoming>) -> Reply {
    if (request.method(), request.uri().path()) != (&Method::POST, "/fault") {
        return Ok(empty(StatusCode::NOT_FOUND));
    }
    Ok(match body::read_json(request.into_body()).await {
        Ok(faults) => {
            switch.set(faults);
            empty(StatusCode::NO_CONTENT)
        }
        Err(err) => json(StatusCode::BAD_REQUEST, &err.to_string()),
    })
}
