//! Finds out whether a backend server ended under a request.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use savoryvane_core::{
    forwarding::ServerEntry,
    ids::{BackendName, RequestId},
    poison::{
        EndRecord, Evidence, Fate, Probe, Registered, RequestDigest, fate_at_loss, fate_later,
    },
};
use slog::{Logger, info, warn};
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{self, Instant},
};

use super::{freshness::Freshness, knowledge::Knowledge, quarantine::Quarantine};
use crate::connections::Connections;

/// Other servers of a zone that are tried beside the one whose connection was lost:
/// copies of a request that were sent together end several at once.
const NEIGHBOURS: usize = 4;
/// Time between two looks at servers of which it is not known whether they have ended.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which it is given up to learn what became of a server: entries lapse
/// within 4 s, and it takes a second until that is read.
const UNKNOWN_FOR: Duration = Duration::from_secs(10);
/// Time after which a server that is registered still runs: one that had ended would
/// have lapsed by then, and the register been read.
const RUNS_ON_AFTER: Duration = Duration::from_secs(8);
/// Time for which a server that seems to have ended may come back as the same run, as
/// after a partition.
const RETURNS_WITHIN: Duration = Duration::from_secs(60);
/// Age of what is known of the register beyond which it says nothing of single servers,
/// in ms.
const FRESH_MS: u64 = 2_000;
/// Most servers that are looked at; with more, the earlier ones are left as they are.
const MOST_WATCHED: usize = 1_024;

/// Finds out what became of servers whose connections were lost.
#[derive(Debug)]
pub(super) struct ServerEnds {
    log: Logger,
    knowledge: Arc<Knowledge>,
    freshness: Arc<Freshness>,
    servers: Arc<Connections>,
    quarantine: Arc<Quarantine>,
    watched: Mutex<Vec<Watched>>,
    /// Told when there is something to watch.
    has_watched: Notify,
}

/// A request whose connection to its server was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRun<'a> {
    pub(super) request: &'a RequestId,
    pub(super) digest: RequestDigest,
    /// The server, as it was registered when the request was sent.
    pub(super) server: &'a ServerEntry,
    /// Other requests of this instance, or of the same call, that it ran.
    pub(super) others: u32,
}

/// A request whose server has to be looked at again.
#[derive(Clone, Debug)]
struct Watched {
    request: RequestId,
    digest: RequestDigest,
    server: ServerEntry,
    others: u32,
    since: Instant,
    /// What said that the server has ended, unless that is not known.
    evidence: Option<Evidence>,
}

impl Watched {
    fn lost(&self) -> LostRun<'_> {
        LostRun {
            request: &self.request,
            digest: self.digest,
            server: &self.server,
            others: self.others,
        }
    }

    /// Tells whether a server that was taken for ended runs on by what a register says
    /// that is fresh.
    fn runs_on(&self, registered: Registered) -> bool {
        let has_lapsed = self.evidence == Some(Evidence::Lapsed);
        registered == Registered::Ready && (has_lapsed || self.since.elapsed() >= RUNS_ON_AFTER)
    }
}

impl ServerEnds {
    pub(super) fn new(
        knowledge: Arc<Knowledge>,
        freshness: Arc<Freshness>,
        servers: Arc<Connections>,
        quarantine: Arc<Quarantine>,
        log: Logger,
    ) -> Self {
        Self {
            log,
            knowledge,
            freshness,
            servers,
            quarantine,
            watched: Mutex::default(),
            has_watched: Notify::new(),
        }
    }

    /// Finds out what became of the server of a request, within the time for one attempt
    /// to connect, and tells the others if it has ended.
    pub(super) async fn on_lost(&self, lost: LostRun<'_>) -> Fate {
        let (probe, neighbour) = self.probe(lost.server).await;
        let registered = self.knowledge.directory().registered(lost.server);
        let fate = fate_at_loss(registered, probe, neighbour);
        info!(self.log, "connection to server lost"; "request" => %lost.request,
            "digest" => %lost.digest, "server" => %lost.server.id,
            "registered" => ?registered, "probe" => ?probe, "neighbour" => ?neighbour);
        match fate {
            Fate::Ended(evidence) => self.on_ended(lost, evidence).await,
            Fate::Unknown => self.watch(lost, None),
            Fate::NotToBlame => {}
        }
        fate
    }

    /// Looks after a while what became of the server of a request, which stayed silent.
    pub(super) fn on_silent(&self, lost: LostRun<'_>) {
        self.watch(lost, None);
    }

    async fn on_ended(&self, lost: LostRun<'_>, evidence: Evidence) {
        let ends = self.quarantine.on_end(EndRecord {
            digest: lost.digest,
            server: lost.server.id.clone(),
            evidence,
            age_ms: 0,
            is_withdrawn: false,
        });
        warn!(self.log, "server ended under request"; "request" => %lost.request,
            "digest" => %lost.digest, "server" => %lost.server.registered_as,
            "started_ms" => lost.server.started_ms, "service" => %lost.server.service,
            "others" => lost.others, "evidence" => evidence.as_str(), "ends" => ends);
        metrics::counter!("savoryvane_server_ends_total", "evidence" => evidence.as_str())
            .increment(1);
        self.watch(lost, Some(evidence));
        self.quarantine.report().await;
    }

    fn watch(&self, lost: LostRun<'_>, evidence: Option<Evidence>) {
        let mut watched = self.watched();
        if watched.len() >= MOST_WATCHED {
            watched.remove(0);
        }
        watched.push(Watched {
            request: lost.request.clone(),
            digest: lost.digest,
            server: lost.server.clone(),
            others: lost.others,
            since: Instant::now(),
            evidence,
        });
        drop(watched);
        self.has_watched.notify_one();
    }

    /// Tries to connect to a server and to some others of its availability zone, of
    /// which one is to be reached: more than one may have ended at this moment.
    async fn probe(&self, server: &ServerEntry) -> (Probe, Probe) {
        let neighbours: Vec<SocketAddr> = {
            let directory = self.knowledge.directory();
            let neighbours = directory.neighbours(server, NEIGHBOURS);
            neighbours.into_iter().map(|other| other.addr).collect()
        };
        let mut probing = JoinSet::new();
        for addr in neighbours {
            let servers = Arc::clone(&self.servers);
            probing.spawn(async move { servers.probe(addr).await });
        }
        let neighbour = async {
            while let Some(probe) = probing.join_next().await {
                if matches!(probe, Ok(Probe::Open)) {
                    return Probe::Open;
                }
            }
            Probe::Unknown
        };
        tokio::join!(self.servers.probe(server.addr), neighbour)
    }

    /// Looks at what is watched once.
    async fn look(&self) {
        let watched = std::mem::take(&mut *self.watched());
        let mut probes: BTreeMap<BackendName, (Probe, Probe)> = BTreeMap::new();
        let is_fresh = self.freshness.servers_age_ms() < FRESH_MS;
        for item in watched {
            let registered = self.knowledge.directory().registered(&item.server);
            if item.evidence.is_some() {
                if is_fresh && item.runs_on(registered) {
                    self.quarantine.on_running(item.digest, &item.server.id);
                } else if item.since.elapsed() < RETURNS_WITHIN {
                    self.watched().push(item);
                }
                continue;
            }
            let (probe, neighbour) = match probes.get(&item.server.id) {
                Some(probes) => *probes,
                None => {
                    let found = self.probe(&item.server).await;
                    probes.insert(item.server.id.clone(), found);
                    found
                }
            };
            match fate_later(registered, probe, neighbour) {
                Fate::Ended(evidence) => self.on_ended(item.lost(), evidence).await,
                Fate::Unknown if item.since.elapsed() < UNKNOWN_FOR => self.watched().push(item),
                Fate::Unknown | Fate::NotToBlame => {}
            }
        }
    }

    fn watched(&self) -> MutexGuard<'_, Vec<Watched>> {
        self.watched.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Looks at servers whose connections were lost until it is known what became of them.
pub(super) async fn watch(ends: Arc<ServerEnds>) {
    loop {
        if ends.watched().is_empty() {
            ends.has_watched.notified().await;
        }
        time::sleep(LOOK_INTERVAL).await;
        ends.look().await;
    }
}
