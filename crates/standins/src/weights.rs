//! The rate-limited weight store that engines load models from.
//!
//! `POST /v1/weights?size_mb=N` answers 204 once that much has been handed out.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::time::{self, Instant};

use crate::{
    Result,
    body::empty,
    client,
    server::{Reply, Server},
};

/// Path of the one exchange.
const PATH: &str = "/v1/weights";

/// Pause before an engine asks again after a failed fetch.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A store that hands out weights at a limited rate to all engines together.
#[derive(Debug)]
pub struct WeightStore {
    mb_per_s: u64,
    busy_until: Mutex<Option<Instant>>,
}

impl WeightStore {
    /// Makes a store that hands out `mb_per_s` in all; 0 lifts the limit.
    pub fn new(mb_per_s: u64) -> Self {
        Self {
            mb_per_s,
            busy_until: Mutex::new(None),
        }
    }

    async fn hand_out(&self, size_mb: u64) {
        if self.mb_per_s == 0 {
            return;
        }
        let takes = Duration::from_millis(size_mb.saturating_mul(1000) / self.mb_per_s);
        let ready = {
            let now = Instant::now();
            let mut busy_until = self
                .busy_until
                .lock()
                .expect("no holder of the lock panics");
            let ready = busy_until.map_or(now, |until| until.max(now)) + takes;
            *busy_until = Some(ready);
            ready
        };
        time::sleep_until(ready).await;
    }
}

/// Where an engine gets weights from.
#[derive(Clone, Debug)]
pub enum WeightSource {
    /// A store in this process.
    Local(Arc<WeightStore>),
    /// A store that runs as a server.
    Remote(SocketAddr),
}

impl WeightSource {
    /// Waits until weights of `size_mb` have been handed out.
    pub(crate) async fn fetch(&self, size_mb: u64) {
        match self {
            Self::Local(store) => store.hand_out(size_mb).await,
            Self::Remote(addr) => {
                while !fetch_remote(*addr, size_mb).await {
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

async fn fetch_remote(addr: SocketAddr, size_mb: u64) -> bool {
    let path = format!("{PATH}?size_mb={size_mb}");
    let fetched = client::exchange(addr, Method::POST, &path, "").await;
    matches!(fetched, Ok((StatusCode::NO_CONTENT, _)))
}

/// The weight store as a server.
#[derive(Debug)]
pub struct WeightServer(Server);

impl WeightServer {
    /// Starts a store that listens on `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn start(addr: SocketAddr, store: WeightStore) -> Result<Self> {
        let store = Arc::new(store);
        let handler = move |request| answer(Arc::clone(&store), request);
        Ok(Self(Server::start(addr, Arc::default(), handler).await?))
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }

    /// Stops listening and ends open exchanges.
    pub async fn stop(self) {
        self.0.stop().await;
    }
}

async fn answer(store: Arc<WeightStore>, request: Request<Incoming>) -> Reply {
    let size_mb = request
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("size_mb="))
        .and_then(|size| size.parse().ok());
    let status = match (request.method(), request.uri().path(), size_mb) {
        (&Method::POST, PATH, Some(size_mb)) => {
            store.hand_out(size_mb).await;
            StatusCode::NO_CONTENT
        }
        (&Method::POST, PATH, None) => StatusCode::BAD_REQUEST,
        _ => StatusCode::NOT_FOUND,
    };
    Ok(empty(status))
}
