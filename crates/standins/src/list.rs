//! The platform's list of instances and backend servers, which lags.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use savoryvane_wire::platform::{Listed, Listing};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    body::{self, Body, empty, json},
    clock::unix_now_ms,
    history::History,
    server::{Reply, Server},
};

/// Settings of the list.
#[derive(Clone, Debug)]
pub struct ListSettings {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Age of the state that reads describe, in ms.
    pub lag_ms: u64,
}

impl Default for ListSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag_ms: 2000,
        }
    }
}

/// Faults of the list; `POST /fault` replaces them all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListFaults {
    /// Answers 503 to every read.
    pub outage: bool,
}

type Entries = Arc<BTreeMap<String, Listed>>;

#[derive(Debug)]
struct State {
    lag_ms: u64,
    memory: Mutex<Memory>,
}

#[derive(Debug)]
struct Memory {
    entries: History<Entries>,
    faults: ListFaults,
}

/// The list as it runs in this process.
#[derive(Debug)]
pub struct ListServer {
    server: Server,
    state: Arc<State>,
}

impl ListServer {
    /// Starts a list without entries.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn start(settings: ListSettings) -> Result<Self> {
        let state = Arc::new(State {
            lag_ms: settings.lag_ms,
            memory: Mutex::new(Memory {
                entries: History::new(settings.lag_ms, Entries::default()),
                faults: ListFaults::default(),
            }),
        });
        let shared = Arc::clone(&state);
        let handler = move |request| Arc::clone(&shared).answer(request);
        let server = Server::start(settings.addr, Arc::default(), handler).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds or replaces an entry.
    pub fn put(&self, listed: Listed) {
        self.state
            .change(|entries| entries.insert(listed.name.clone(), listed));
    }

    /// Removes an entry.
    pub fn remove(&self, name: &str) {
        self.state.change(|entries| entries.remove(name));
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ListFaults) {
        self.state.memory().faults = faults;
    }

    /// Stops listening and ends open exchanges.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl State {
    fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().expect("no holder of the lock panics")
    }

    fn change<T>(&self, change: impl FnOnce(&mut BTreeMap<String, Listed>) -> T) {
        let mut memory = self.memory();
        let mut entries = BTreeMap::clone(memory.entries.newest());
        change(&mut entries);
        memory.entries.set(Arc::new(entries));
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let name = path.strip_prefix("/v1/instances/");
        let response = match (&method, path.as_str(), name) {
            (&Method::GET, "/v1/instances", _) => self.list(),
            (&Method::PUT, _, Some(name)) => self.put(name, request).await,
            (&Method::DELETE, _, Some(name)) => {
                self.change(|entries| entries.remove(name));
                empty(StatusCode::NO_CONTENT)
            }
            (&Method::POST, "/fault", _) => {
                body::take_json(request, |faults| self.memory().faults = faults).await
            }
            _ => empty(StatusCode::NOT_FOUND),
        };
        Ok(response)
    }

    fn list(&self) -> Response<Body> {
        let mut memory = self.memory();
        if memory.faults.outage {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let entries = memory.entries.lagged();
        let listing = Listing {
            as_of_ms: unix_now_ms().saturating_sub(self.lag_ms),
            entries: entries.values().cloned().collect(),
        };
        json(StatusCode::OK, &listing)
    }

    async fn put(&self, name: &str, request: Request<Incoming>) -> Response<Body> {
        match body::read_json::<Listed, _>(request.into_body()).await {
            Ok(listed) if listed.name == name => {
                self.change(|entries| entries.insert(listed.name.clone(), listed));
                empty(StatusCode::NO_CONTENT)
            }
            Ok(_) => json(StatusCode::BAD_REQUEST, &"name differs from the path's"),
            Err(err) => json(StatusCode::BAD_REQUEST, &err.to_string()),
        }
    }
}
