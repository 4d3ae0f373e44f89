//! A network path to one process that can be cut, silenced, closed or delayed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::{net::TcpStream, sync::watch};

use crate::{
    Result,
    acceptor::Acceptor,
    body::{self, Body, empty},
    link::{self, LinkFaults, LinkState, LinkSwitch},
    server::Server,
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
    acceptor: Acceptor,
    control: Server,
    switch: Arc<LinkSwitch>,
}

impl Relay {
    /// Starts a relay without faults.
    ///
    /// # Errors
    ///
    /// Fails when one of the addresses can't be listened on.
    pub async fn start(settings: RelaySettings) -> Result<Self> {
        let switch = Arc::new(LinkSwitch::default());
        let shared = Arc::clone(&switch);
        let acceptor = Acceptor::start(settings.addr, STOP_GRACE, move |near, _| {
            relay(near, settings.to, shared.subscribe())
        });
        let acceptor = acceptor.await?;
        let shared = Arc::clone(&switch);
        let control = Server::start(settings.control, Arc::default(), move |request| {
            let switch = Arc::clone(&shared);
            async move { Ok(answer_fault(&switch, request).await) }
        });
        Ok(Self {
            acceptor,
            control: control.await?,
            switch,
        })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.acceptor.addr()
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
    pub async fn stop(self) {
        self.acceptor.stop().await;
        self.control.stop().await;
    }
}

async fn relay(near: TcpStream, to: SocketAddr, mut state: watch::Receiver<LinkState>) {
    if !link::opens(&mut state).await {
        return;
    }
    if let Ok(far) = TcpStream::connect(to).await {
        link::forward(near, far, state).await;
    }
}

async fn answer_fault(switch: &LinkSwitch, request: Request<Incoming>) -> Response<Body> {
    if (request.method(), request.uri().path()) != (&Method::POST, "/fault") {
        return empty(StatusCode::NOT_FOUND);
    }
    body::take_json(request, |faults| switch.set(faults)).await
}
