//! The platform's balancer: forwards TCP connections round robin to the entry
//! instances that are ready.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode};
use tokio::{net::TcpStream, task::JoinHandle, time};

use crate::{
    Result,
    acceptor::Acceptor,
    client,
    link::{self, LinkFaults, LinkSwitch},
};

/// Time that a stop waits for open connections.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// Time for a connection or a health check.
const TARGET_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Callers' listeners of the entry instances.
    pub targets: Vec<SocketAddr>,
    /// Time between two health checks, in ms.
    pub check_ms: u64,
}

/// The balancer as it runs in this process.
#[derive(Debug)]
pub struct Balancer {
    acceptor: Acceptor,
    state: Arc<State>,
    checker: JoinHandle<()>,
}

#[derive(Debug)]
struct Target {
    addr: SocketAddr,
    ready: AtomicBool,
}

#[derive(Debug)]
struct State {
    targets: Vec<Target>,
    next: AtomicUsize,
    link: LinkSwitch,
}

impl Balancer {
    /// Starts a balancer after a first round of health checks.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn start(settings: BalancerSettings) -> Result<Self> {
        let targets = settings.targets.iter().map(|addr| Target {
            addr: *addr,
            ready: AtomicBool::new(false),
        });
        let state = Arc::new(State {
            targets: targets.collect(),
            next: AtomicUsize::new(0),
            link: LinkSwitch::default(),
        });
        state.check_all().await;
        let shared = Arc::clone(&state);
        let acceptor = Acceptor::start(settings.addr, STOP_GRACE, move |caller, _| {
            forward(caller, Arc::clone(&shared))
        });
        let acceptor = acceptor.await?;
        let pause = Duration::from_millis(settings.check_ms);
        let checker = tokio::spawn(check_forever(Arc::clone(&state), pause));
        Ok(Self {
            acceptor,
            state,
            checker,
        })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.acceptor.addr()
    }

    /// Replaces the faults of the connections that it passes on.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.state.link.set(faults);
    }

    /// Stops listening, then waits a while for open connections.
    pub async fn stop(self) {
        self.checker.abort();
        self.acceptor.stop().await;
    }
}

async fn check_forever(state: Arc<State>, pause: Duration) {
    loop {
        time::sleep(pause).await;
        state.check_all().await;
    }
}

async fn forward(caller: TcpStream, state: Arc<State>) {
    let mut link = state.link.subscribe();
    if !link::opens(&mut link).await {
        return;
    }
    if let Some(target) = state.connect().await {
        link::forward(caller, target, link).await;
    }
}

impl State {
    async fn connect(&self) -> Option<TcpStream> {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.targets.len();
        for step in 0..count {
            let target = &self.targets[(start + step) % count];
            if !target.ready.load(Ordering::Relaxed) {
                continue;
            }
            let connected = time::timeout(TARGET_TIMEOUT, TcpStream::connect(target.addr)).await;
            if let Ok(Ok(stream)) = connected {
                return Some(stream);
            }
            target.ready.store(false, Ordering::Relaxed);
        }
        None
    }

    async fn check_all(&self) {
        for target in &self.targets {
            let ready = is_ready(target.addr).await;
            target.ready.store(ready, Ordering::Relaxed);
        }
    }
}

async fn is_ready(addr: SocketAddr) -> bool {
    let asked = client::exchange(addr, Method::GET, "/ready", "");
    matches!(
        time::timeout(TARGET_TIMEOUT, asked).await,
        Ok(Ok((StatusCode::OK, _)))
    )
}
