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
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time,
};

use crate::{
    Result, client,
    link::{self, LinkFaults, LinkSwitch},
    server::{self, until_set},
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
    addr: SocketAddr,
    state: Arc<State>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
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
        let listener = server::bind(settings.addr).await?;
        let addr = listener.local_addr()?;
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
        let (stop, stopped) = watch::channel(false);
        let check = Duration::from_millis(settings.check_ms);
        let task = tokio::spawn(run(listener, Arc::clone(&state), check, stopped));
        Ok(Self {
            addr,
            state,
            stop,
            task,
        })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults of the connections that it passes on.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.state.link.set(faults);
    }

    /// Stops listening, then waits a while for open connections.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        // A panic of the accept loop has been printed already.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    listener: TcpListener,
    state: Arc<State>,
    check: Duration,
    mut stopped: watch::Receiver<bool>,
) {
    let mut tasks = JoinSet::new();
    let checker = tokio::spawn(check_forever(Arc::clone(&state), check));
    loop {
        tokio::select! {
            () = until_set(&mut stopped) => break,
            Some(_) = tasks.join_next() => {}
            accepted = listener.accept() => if let Ok((caller, _)) = accepted {
                tasks.spawn(forward(caller, Arc::clone(&state)));
            },
        }
    }
    checker.abort();
    drop(listener);
    let drained = async { while tasks.join_next().await.is_some() {} };
    // An idle kept-alive connection never ends by itself.
    let _ = time::timeout(STOP_GRACE, drained).await;
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
